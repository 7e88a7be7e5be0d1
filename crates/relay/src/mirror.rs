//! Local copy of a table of the store, merged from the store's and from peers' rows.

use {
    crate::store::{Condition, Revision, Row, Rows},
    bytes::Bytes,
    compact_str::CompactString,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
    tokio::time::Instant,
    xxhash_rust::xxh64::xxh64,
};

/// Retention time of tombstones; longer than the delay of any message.
const TOMBSTONE_TTL: Duration = Duration::from_secs(60);

/// Copy of a table that is read by some nodes and forwarded to the others.
///
/// The version of a row with the highest revision wins, so updates of several readers may arrive in
/// any order and more than once. Rows of an era that has ended are ignored.
#[derive(Debug, Default)]
pub struct Mirror {
    rows: BTreeMap<CompactString, Version>,
    removed: VecDeque<(Instant, CompactString)>,
    /// Sum of the hashes of all rows.
    hash: u64,
    revision: Option<Revision>,
    /// Latest known era of the store.
    era: u64,
}

#[derive(Clone, Debug)]
struct Version {
    revision: Revision,
    /// `None` for a tombstone.
    value: Option<Bytes>,
}

impl Mirror {
    /// Returns the revision up to which the copy is complete; `None` until the whole table has been
    /// read once.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns a hash of all rows, which is equal for equal copies. It does not cover the eras, so that
    /// rows that a restored store still has need not be sent again.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the latest known era of the store.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Returns whether rows at this revision are of an era that has ended.
    pub fn is_outdated(&self, revision: Revision) -> bool {
        revision.era < self.era
    }

    /// Returns the condition that a row is as known; `None` if the copy may lack rows of the latest era.
    pub fn condition(&self, key: &str) -> Option<Condition> {
        let Revision { era, .. } = self.revision.filter(|revision| revision.era == self.era)?;
        let live = self.rows.get(key).filter(|version| version.value.is_some());
        let at = |version: &Version| Condition::At(Revision { era, ..version.revision });
        Some(live.map_or(Condition::Absent, at))
    }

    /// Marks the copy as complete up to a revision.
    pub fn confirm(&mut self, revision: Revision) {
        self.revision = self.revision.map(|known| known.max(revision));
        self.era = self.era.max(revision.era);
    }

    /// Merges some rows and returns those that changed. Returns nothing before the first
    /// [`Mirror::replace`], which returns all rows.
    pub fn merge(&mut self, now: Instant, rows: Vec<Row>) -> Vec<Row> {
        let is_current = |row: &Row| !self.is_outdated(row.revision);
        let rows: Vec<Row> = rows.into_iter().filter(is_current).collect();
        let changed: Vec<Row> = rows.into_iter().filter(|row| self.put(now, row)).collect();
        if self.revision.is_some() { changed } else { Vec::new() }
    }

    /// Returns the rows that [`Mirror::merge`] would ignore because a later version is known, with the
    /// revision of that version.
    pub fn superseded<'a>(&'a self, rows: &'a [Row]) -> impl Iterator<Item = (&'a Row, Revision)> {
        rows.iter().filter_map(|row| {
            let known = self.rows.get(&row.key)?.revision;
            (known > row.revision).then_some((row, known))
        })
    }

    /// Merges a snapshot of the whole table and returns the rows that changed, including removed
    /// ones. A snapshot of an era that has ended is ignored unless it is the first one.
    pub fn replace(&mut self, now: Instant, snapshot: Rows) -> Vec<Row> {
        let Rows { rows, revision } = snapshot;
        let first = self.revision.is_none();
        if !first && self.is_outdated(revision) {
            return Vec::new();
        }
        let listed: std::collections::BTreeSet<&str> =
            rows.iter().map(|r| r.key.as_str()).collect();
        let removed = |(key, version): (&CompactString, &Version)| {
            let is_removed = version.value.is_some()
                && version.revision <= revision
                && !listed.contains(key.as_str());
            is_removed.then(|| Row { key: key.clone(), value: None, revision })
        };
        let removed_rows: Vec<Row> = self.rows.iter().filter_map(removed).collect();
        let changed =
            removed_rows.into_iter().chain(rows).filter(|row| self.put(now, row)).collect();
        self.revision = Some(self.revision.unwrap_or_default().max(revision));
        self.era = self.era.max(revision.era);
        if first { self.rows() } else { changed }
    }

    /// Returns all rows except tombstones. Their revisions are of the era in which the copy is complete,
    /// also if their versions are older: the restored store still has them.
    pub fn rows(&self) -> Vec<Row> {
        let complete = self.revision.map_or(0, |revision| revision.era);
        let live = |(key, version): (&CompactString, &Version)| {
            let value = Some(version.value.clone()?);
            let Revision { era, number } = version.revision;
            Some(Row {
                key: key.clone(),
                value,
                revision: Revision::new(era.max(complete), number),
            })
        };
        self.rows.iter().filter_map(live).collect()
    }

    /// Stores a version unless a later one is known. Returns whether the row changed; it has not if a
    /// restored store still has the same version.
    fn put(&mut self, now: Instant, row: &Row) -> bool {
        let version = Version { revision: row.revision, value: row.value.clone() };
        let known = self.rows.get(&row.key);
        if known.is_some_and(|known| known.revision >= row.revision) {
            return false;
        }
        let is_same = known.is_some_and(|known| known.is_same(&version));
        self.era = self.era.max(row.revision.era);
        if let Some(known) = known {
            self.hash = self.hash.wrapping_sub(known.hash(&row.key));
        }
        self.hash = self.hash.wrapping_add(version.hash(&row.key));
        if version.value.is_none() {
            self.removed.push_back((now, row.key.clone()));
        }
        self.rows.insert(row.key.clone(), version);
        self.prune(now);
        !is_same
    }

    fn prune(&mut self, now: Instant) {
        while let Some((at, key)) = self.removed.front() {
            if now < *at + TOMBSTONE_TTL {
                return;
            }
            if self.rows.get(key).is_some_and(|version| version.value.is_none()) {
                self.rows.remove(key);
            }
            self.removed.pop_front();
        }
    }
}

impl Version {
    /// Returns whether both have the same number and content, as a row that was not lost when the store
    /// was restored.
    fn is_same(&self, other: &Version) -> bool {
        self.revision.number == other.revision.number && self.value == other.value
    }

    fn hash(&self, key: &str) -> u64 {
        let Some(value) = &self.value else { return 0 };
        xxh64(value, xxh64(key.as_bytes(), self.revision.number))
    }
}
