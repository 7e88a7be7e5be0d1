//! The catalogue as the platform's table service keeps it.
//!
//! Rows, all written by one atomic commit that is conditional on the head that was read:
//! - `catalogue/head`: the newest revision's number, small because every node polls it;
//! - `catalogue/rev/N`: the catalogue of revision N, never written again;
//! - `catalogue/log/N`: who made revision N, when, why and by which apply id ([`Change`]).
//!
//! Revisions only grow and are never deleted, so a catalogue that was accepted can't be undone by
//! a late or repeated write.

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
/// Sends of one commit before its outcome is called unknown.
const SENDS: u32 = 4;
/// Pause before a commit with a lost reply is sent again; grows with each send.
const PAUSE: Duration = Duration::from_millis(100);

/// Why the store gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StoreError {
    /// Nothing was read or written.
    #[error("the table service gives no answer: {0}")]
    Down(PlatformError),
    /// Replies were lost: the change may or may not be accepted.
    #[error("the table service's replies were lost; change {apply} may have been accepted")]
    Unknown {
        /// The change's id.
        apply: CompactString,
    },
    /// A row is missing or unreadable.
    #[error("row {key} is damaged: {reason}")]
    Damaged {
        /// The row.
        key: CompactString,
        /// What is wrong with it.
        reason: String,
    },
}

/// A catalogue and its number.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CatalogueRevision {
    /// 0 before the first catalogue.
    pub revision: Revision,
    /// The catalogue.
    pub catalogue: CatalogDoc,
}

/// How a revision came about.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Change {
    /// Random id, the same in every send of one change.
    pub apply: CompactString,
    /// Who made it.
    pub who: CompactString,
    /// When, by the clock of the node that accepted it.
    pub when: Timestamp,
    /// Why, in the operator's words.
    pub comment: String,
}

/// A line of the catalogue's history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct HistoryEntry {
    /// The revision.
    pub revision: Revision,
    /// How it came about.
    #[serde(flatten)]
    pub change: Change,
}

/// What came of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change is in force as this revision.
    Applied(Revision),
    /// Nothing was changed: the newest revision is this and not the expected one.
    Conflict(Revision),
}

/// The catalogue kept in a table service.
#[derive(Clone)]
pub struct Store<T> {
    table: T,
}

impl<T: Table> Store<T> {
    /// The catalogue in `table`.
    pub fn new(table: T) -> Store<T> {
        Store { table }
    }

    /// The newest revision's number; one small read, for polling.
    pub async fn head(&self) -> Result<Revision> {
        Ok(self.read_head().await?.0)
    }

    /// The newest catalogue; revision 0 and empty before the first.
    pub async fn get(&self) -> Result<CatalogueRevision> {
        match self.head().await? {
            0 => Ok(CatalogueRevision::default()),
            revision => self.revision(revision).await,
        }
    }

    /// The catalogue of one revision.
    pub async fn revision(&self, revision: Revision) -> Result<CatalogueRevision> {
        let key = rev_key(revision);
        let rows = self.read(vec![key.clone()]).await?;
        let row = rows.first().ok_or_else(|| damaged(&key, "it is missing"))?;
        Ok(CatalogueRevision { revision, catalogue: decode(row)? })
    }

    /// The newest `limit` changes, the newest first.
    pub async fn history(&self, limit: u32) -> Result<Vec<HistoryEntry>> {
        let head = self.head().await?;
        let oldest = head.saturating_sub(limit.into()) + 1;
        let keys = (oldest..=head).rev().map(log_key).collect::<Vec<_>>();
        if keys.is_empty() {
            return Ok(Vec::new());
        }
        let mut past = Vec::new();
        for row in self.read(keys).await? {
            past.push(decode::<HistoryEntry>(&row)?);
        }
        past.sort_by_key(|p| std::cmp::Reverse(p.revision));
        Ok(past)
    }

    /// Makes `doc` the revision after `expected`, unless there is one already.
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
        let (now, row) = self.read_head().await?;
        if now != expected {
            return self.settle(expected + 1, change).await;
        }
        let commit = commit(doc, expected + 1, row, change);
        let mut lost = false;
        for send in 0..SENDS {
            tokio::time::sleep(PAUSE * send).await;
            match self.table.commit(&commit).await {
                Ok(done) if done.results.iter().all(|w| matches!(w, Written::Done(_))) => {
                    return Ok(Outcome::Applied(expected + 1));
                }
                Ok(_) => return self.settle_lost(expected + 1, change, lost).await,
                Err(PlatformError::Down(reason)) if !lost => {
                    return Err(StoreError::Down(PlatformError::Down(reason)));
                }
                Err(PlatformError::Down(_)) => {}
                Err(PlatformError::Lost(_)) => lost = true,
            }
        }
        Err(StoreError::Unknown { apply: change.apply.clone() })
    }

    /// Tells by the log whether `revision` came about by `change`.
    async fn settle(&self, revision: Revision, change: &Change) -> Result<Outcome> {
        let rows = self.read(vec![HEAD.into(), log_key(revision)]).await?;
        let mut now = 0;
        for row in &rows {
            match row.key == HEAD {
                true => now = decode::<Revision>(row)?,
                false if decode::<HistoryEntry>(row)?.change.apply == change.apply => {
                    return Ok(Outcome::Applied(revision));
                }
                false => {}
            }
        }
        Ok(Outcome::Conflict(now))
    }

    /// As [`Store::settle`], but a failed read leaves a change unknown whose reply was lost.
    async fn settle_lost(&self, next: Revision, change: &Change, lost: bool) -> Result<Outcome> {
        match self.settle(next, change).await {
            Err(StoreError::Down(_)) if lost => {
                Err(StoreError::Unknown { apply: change.apply.clone() })
            }
            settled => settled,
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
    let past = HistoryEntry { revision, change: change.clone() };
    let writes = vec![
        write(HEAD.into(), head, &revision),
        write(rev_key(revision), 0, doc),
        write(log_key(revision), 0, &past),
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
