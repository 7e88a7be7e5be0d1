//! Local copy of a table of the store, merged from the store's and from peers' rows.

use {
    crate::store::{Revision, Row, Rows},
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
/// any order and more than once.
#[derive(Debug, Default)]
pub struct Mirror {
    rows: BTreeMap<CompactString, Version>,
    removed: VecDeque<(Instant, CompactString)>,
    /// Sum of the hashes of all rows.
    hash: u64,
    revision: Option<Revision>,
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

    /// Returns a hash over keys and revisions of all rows, which is equal for equal copies.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Marks the copy as complete up to a revision.
    pub fn confirm(&mut self, revision: Revision) {
        self.revision = self.revision.map(|known| known.max(revision));
    }

    /// Merges some rows and returns those that changed. Returns nothing before the first
    /// [`Mirror::replace`], which returns all rows.
    pub fn merge(&mut self, now: Instant, rows: Vec<Row>) -> Vec<Row> {
        let changed: Vec<Row> = rows.into_iter().filter(|row| self.put(now, row)).collect();
        if self.revision.is_some() { changed } else { Vec::new() }
    }

    /// Returns the keys of rows that [`Mirror::merge`] would ignore because a later version is known,
    /// with the revision of that version.
    pub fn outdated<'a>(&'a self, rows: &'a [Row]) -> impl Iterator<Item = (&'a Row, Revision)> {
        rows.iter().filter_map(|row| {
            let known = self.rows.get(&row.key)?.revision;
            (known > row.revision).then_some((row, known))
        })
    }

    /// Merges a snapshot of the whole table and returns the rows that changed, including removed
    /// ones.
    pub fn replace(&mut self, now: Instant, snapshot: Rows) -> Vec<Row> {
        let Rows { rows, revision } = snapshot;
        let first = self.revision.is_none();
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
        if first { self.rows() } else { changed }
    }

    /// Returns all rows except tombstones.
    pub fn rows(&self) -> Vec<Row> {
        let live = |(key, version): (&CompactString, &Version)| {
            let value = Some(version.value.clone()?);
            Some(Row { key: key.clone(), value, revision: version.revision })
        };
        self.rows.iter().filter_map(live).collect()
    }

    fn put(&mut self, now: Instant, row: &Row) -> bool {
        let known = self.rows.get(&row.key);
        if known.is_some_and(|known| known.revision >= row.revision) {
            return false;
        }
        if let Some(Version { revision, value: Some(_) }) = known {
            self.hash = self.hash.wrapping_sub(hash(&row.key, *revision));
        }
        match &row.value {
            Some(_) => self.hash = self.hash.wrapping_add(hash(&row.key, row.revision)),
            None => self.removed.push_back((now, row.key.clone())),
        }
        let version = Version { revision: row.revision, value: row.value.clone() };
        self.rows.insert(row.key.clone(), version);
        self.prune(now);
        true
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

fn hash(key: &str, revision: Revision) -> u64 {
    xxh64(key.as_bytes(), revision)
}
