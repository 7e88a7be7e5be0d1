//! Storage of the catalogue in the platform's table service.
//!
//! Rows, all written in one atomic commit that is conditional on the head that was read:
//! - `catalogue/head`: number of the latest revision; small because every node polls it;
//! - `catalogue/rev/N`: the catalogue of revision N, immutable;
//! - `catalogue/log/N`: author, time, comment and apply id of revision N ([`Change`]).
//!
//! Revision numbers only increase and revisions are never deleted, so a delayed or repeated write
//! can't revert an accepted catalogue. A table that is restored from a backup may lack the latest
//! revisions; the nodes, which have them in force, write the last one again.

use {
    crate::platform::{http::PlatformError, table::Table},
    bilberryfront_decide::{catalog::CatalogDoc, id::Revision},
    bilberryfront_wire::table::{Commit, Read, Row, RowRevision, Write, Written},
    compact_str::{CompactString, format_compact},
    jiff::Timestamp,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::time::Duration,
};

/// A result whose error is a [`StoreError`].
pub type Result<T> = std::result::Result<T, StoreError>;

const HEAD: &str = "catalogue/head";
/// Author of changes that no operator has made.
const AUTHOR: &str = "bilberryfront";
/// Maximum number of times a commit is sent before its outcome is reported as unknown.
const MAX_SENDS: u32 = 4;
/// Pause before a commit with a lost reply is sent again, multiplied by the number of previous
/// sends.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Error of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StoreError {
    /// Nothing was read or written.
    #[error("the table service gives no answer: {0}")]
    Down(PlatformError),
    /// Replies were lost: the change may have been accepted.
    #[error("the table service's replies were lost; change {apply} may have been accepted")]
    Unknown {
        /// The change's id.
        apply: CompactString,
    },
    /// A row is missing or can't be decoded.
    #[error("row {key} is damaged: {reason}")]
    Damaged {
        /// Key of the row.
        key: CompactString,
        /// Reason.
        reason: String,
    },
}

/// A catalogue and its revision number.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CatalogueRevision {
    /// Revision number; 0 before the first catalogue.
    pub revision: Revision,
    /// The catalogue.
    pub catalogue: CatalogDoc,
}

/// The change that created a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Change {
    /// Random id of the change, the same for every send.
    pub apply: CompactString,
    /// Author.
    pub who: CompactString,
    /// Time, by the clock of the node that accepted the change.
    pub when: Timestamp,
    /// Comment of the operator.
    pub comment: String,
}

/// An entry of the catalogue's history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
// Operators get the text of decoding errors, so the name in it stays the same.
#[serde(expecting = "struct Past")]
pub struct HistoryEntry {
    /// The revision.
    pub revision: Revision,
    /// The change that created it.
    #[serde(flatten)]
    pub change: Change,
}

/// Result of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change was applied as this revision.
    Applied(Revision),
    /// Nothing was changed: the latest revision is this one instead of the expected one.
    Conflict(Revision),
}

/// The catalogue in a table service.
#[derive(Clone)]
pub struct Store<T> {
    table: T,
}

impl<T: Table> Store<T> {
    /// Creates a store in `table`.
    pub fn new(table: T) -> Store<T> {
        Store { table }
    }

    /// Returns the number of the latest revision, with one small read suitable for polling.
    pub async fn head(&self) -> Result<Revision> {
        Ok(self.read_head().await?.0)
    }

    /// Returns the latest catalogue; revision 0 and empty before the first.
    pub async fn get(&self) -> Result<CatalogueRevision> {
        match self.head().await? {
            0 => Ok(CatalogueRevision::default()),
            revision => self.revision(revision).await,
        }
    }

    /// Returns the catalogue of a revision.
    pub async fn revision(&self, revision: Revision) -> Result<CatalogueRevision> {
        let key = rev_key(revision);
        let rows = self.read(vec![key.clone()]).await?;
        let row = rows.first().ok_or_else(|| damaged(&key, "it is missing"))?;
        Ok(CatalogueRevision { revision, catalogue: decode(row)? })
    }

    /// Returns the latest `limit` changes, newest first.
    pub async fn history(&self, limit: u32) -> Result<Vec<HistoryEntry>> {
        let head = self.head().await?;
        let oldest = head.saturating_sub(limit.into()) + 1;
        let keys = (oldest..=head).rev().map(log_key).collect::<Vec<_>>();
        if keys.is_empty() {
            return Ok(Vec::new());
        }
        let mut entries = Vec::new();
        for row in self.read(keys).await? {
            entries.push(decode::<HistoryEntry>(&row)?);
        }
        entries.sort_by_key(|e| std::cmp::Reverse(e.revision));
        Ok(entries)
    }

    /// Stores `doc` as the revision after `expected`, unless that revision exists already.
    ///
    /// The table's response may be lost after the commit. The commit is then retried with the same
    /// apply id: it is conditional on the same head, so it takes effect at most once, and the
    /// revision's row identifies its author.
    pub async fn apply(
        &self,
        doc: &CatalogDoc,
        expected: Revision,
        change: &Change,
    ) -> Result<Outcome> {
        let (latest, row) = self.read_head().await?;
        if latest != expected {
            return self.resolve(expected + 1, change).await;
        }
        let commit = commit(doc, expected + 1, row, change);
        let mut lost = false;
        for send in 0..MAX_SENDS {
            tokio::time::sleep(RETRY_PAUSE * send).await;
            match self.table.commit(&commit).await {
                Ok(done) if done.results.iter().all(|w| matches!(w, Written::Done(_))) => {
                    return Ok(Outcome::Applied(expected + 1));
                }
                Ok(_) => return self.resolve_lost(expected + 1, change, lost).await,
                Err(PlatformError::Down(reason)) if !lost => {
                    return Err(StoreError::Down(PlatformError::Down(reason)));
                }
                Err(PlatformError::Down(_)) => {}
                Err(PlatformError::Lost(_)) => lost = true,
            }
        }
        Err(StoreError::Unknown { apply: change.apply.clone() })
    }

    /// Stores a revision again that a restored table has lost, so that its number is not assigned to
    /// another catalogue. Does nothing if the table has this revision or a later one.
    pub async fn write_again(&self, lost: &CatalogueRevision) -> Result<()> {
        let (latest, row) = self.read_head().await?;
        if latest >= lost.revision {
            return Ok(());
        }
        let change = Change {
            apply: format_compact!("{:032x}", rand::random::<u128>()),
            who: AUTHOR.into(),
            when: Timestamp::now(),
            comment: "written again: the table service had lost it".into(),
        };
        // Another node may write it first. A commit without effect is repeated after the next poll.
        let commit = commit(&lost.catalogue, lost.revision, row, &change);
        self.table.commit(&commit).await.map_err(StoreError::Down)?;
        Ok(())
    }

    /// Determines from the log whether `revision` was created by `change`.
    async fn resolve(&self, revision: Revision, change: &Change) -> Result<Outcome> {
        let rows = self.read(vec![HEAD.into(), log_key(revision)]).await?;
        let mut latest = 0;
        for row in &rows {
            match row.key == HEAD {
                true => latest = decode::<Revision>(row)?,
                false if decode::<HistoryEntry>(row)?.change.apply == change.apply => {
                    return Ok(Outcome::Applied(revision));
                }
                false => {}
            }
        }
        Ok(Outcome::Conflict(latest))
    }

    /// Like [`Store::resolve`], but after a lost reply a failed read leaves the outcome unknown.
    async fn resolve_lost(&self, next: Revision, change: &Change, lost: bool) -> Result<Outcome> {
        match self.resolve(next, change).await {
            Err(StoreError::Down(_)) if lost => {
                Err(StoreError::Unknown { apply: change.apply.clone() })
            }
            resolved => resolved,
        }
    }

    async fn read_head(&self) -> Result<(Revision, RowRevision)> {
        match self.read(vec![HEAD.into()]).await?.first() {
            Some(row) => Ok((decode::<Revision>(row)?, row.revision)),
            None => Ok((0, 0)),
        }
    }

    async fn read(&self, keys: Vec<CompactString>) -> Result<Vec<Row>> {
        let rows = self.table.read(&Read { keys }).await.map_err(StoreError::Down)?;
        Ok(rows.rows)
    }
}

fn commit(doc: &CatalogDoc, revision: Revision, head: RowRevision, change: &Change) -> Commit {
    let entry = HistoryEntry { revision, change: change.clone() };
    let writes = vec![
        write(HEAD.into(), head, &revision),
        write(rev_key(revision), 0, doc),
        write(log_key(revision), 0, &entry),
    ];
    Commit { atomic: true, writes }
}

fn write(key: CompactString, expect: RowRevision, value: &impl Serialize) -> Write {
    let value = serde_json::to_string(value).expect("rows always serialize");
    Write { key, expect: Some(expect), value: Some(value) }
}

fn decode<V: DeserializeOwned>(row: &Row) -> Result<V> {
    serde_json::from_str(&row.value).map_err(|e| damaged(&row.key, &e.to_string()))
}

fn damaged(key: &str, reason: &str) -> StoreError {
    StoreError::Damaged { key: key.into(), reason: reason.into() }
}

fn rev_key(revision: Revision) -> CompactString {
    format_compact!("catalogue/rev/{revision}")
}

fn log_key(revision: Revision) -> CompactString {
    format_compact!("catalogue/log/{revision}")
}
