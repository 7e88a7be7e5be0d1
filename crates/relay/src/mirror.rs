//! Local copy of a table of the store, merged from the store's and from peers' rows.

use {
    crate::{
        shards::{self, ShardCounts, ShardDigests},
        store::{Condition, Revision, Row, Rows},
    },
    bytes::Bytes,
    compact_str::CompactString,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
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
    /// Returns the service of a registration; `None` in a table without registrations.
    service_of: Option<ServiceOf>,
    digests: ShardDigests,
    revision: Option<Revision>,
    /// Latest known era of the store.
    era: u64,
    /// Latest revision of a tombstone that was deleted.
    pruned: Revision,
}

/// Returns the service of a registration with this key and content; `None` if it is invalid.
pub type ServiceOf = fn(&str, &[u8]) -> Option<CompactString>;

#[derive(Clone, Debug)]
struct Version {
    revision: Revision,
    /// `None` for a tombstone.
    value: Option<Bytes>,
    /// Service of a registration.
    service: Option<CompactString>,
}

impl Mirror {
    /// Creates an empty copy of a table of registrations.
    pub fn of_registrations(service_of: ServiceOf) -> Mirror {
        Mirror { service_of: Some(service_of), ..Mirror::default() }
    }

    /// Returns the revision up to which the copy is complete; `None` until the whole table has been
    /// read once.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns a hash of all rows, which is equal for equal copies. It does not cover the eras, so that
    /// rows that a restored store still has need not be sent again.
    pub fn hash(&self) -> u64 {
        self.digests.hash(None, &ShardCounts::default())
    }

    /// Returns the hash of the rows that a node at the position `shard` holds.
    pub fn shard_hash(&self, shard: u32, counts: &ShardCounts) -> u64 {
        self.digests.hash(Some(shard), counts)
    }

    /// Returns the number of shards of each divided service in a failure domain with this number of
    /// nodes; `counts` are the present ones.
    pub fn divide(&self, nodes: usize, counts: &ShardCounts) -> ShardCounts {
        self.digests.divide(nodes, counts)
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
        let listed: BTreeSet<&str> = rows.iter().map(|r| r.key.as_str()).collect();
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
        self.rows_where(|_, version| version.value.is_some())
    }

    /// Returns the rows that a node at the position `shard` holds, or all rows.
    pub fn held_rows(&self, shard: Option<u32>, counts: &ShardCounts) -> Vec<Row> {
        self.rows_where(|key, version| {
            version.value.is_some() && version.is_held(key, shard, counts)
        })
    }

    /// Returns the rows of [`Mirror::held_rows`] that changed after a revision, with tombstones; `None`
    /// if they are not known.
    pub fn changes_since(
        &self,
        since: Revision,
        shard: Option<u32>,
        counts: &ShardCounts,
    ) -> Option<Vec<Row>> {
        let is_known = self.revision.is_some_and(|known| known.era == since.era)
            && self.pruned <= since
            && !self.is_outdated(since);
        let is_changed = |key: &CompactString, version: &Version| {
            version.revision > since && version.is_held(key, shard, counts)
        };
        is_known.then(|| self.rows_where(is_changed))
    }

    /// Deletes the rows that a node at the position `shard` does not hold, and returns their keys.
    pub fn retain_shard(&mut self, shard: u32, counts: &ShardCounts) -> Vec<CompactString> {
        let Mirror { rows, digests, .. } = self;
        let is_released = |(key, version): &(&CompactString, &Version)| {
            !version.is_held(key, Some(shard), counts)
        };
        let released: Vec<CompactString> =
            rows.iter().filter(is_released).map(|(key, _)| key.clone()).collect();
        for key in &released {
            rows.remove(key).iter().for_each(|version| version.leave(key, digests));
        }
        released
    }

    /// Returns the rows that a node at the position `shard` holds since its former division changed,
    /// and the keys of those that it no longer holds; it held all rows except `fresh` ones if
    /// `former` is `None`.
    pub fn moved(
        &self,
        shard: u32,
        former: Option<&ShardCounts>,
        counts: &ShardCounts,
        fresh: &[Row],
    ) -> (Vec<Row>, Vec<CompactString>) {
        let fresh: BTreeSet<&str> = fresh.iter().map(|row| row.key.as_str()).collect();
        let was_held = |key: &str, version: &Version| {
            former.is_none_or(|former| version.is_held(key, Some(shard), former))
        };
        let added = self.rows_where(|key, version| {
            let is_added = !was_held(key, version) && version.is_held(key, Some(shard), counts);
            is_added && version.value.is_some() && !fresh.contains(key.as_str())
        });
        let is_removed = |(key, version): &(&CompactString, &Version)| {
            was_held(key, version) && !version.is_held(key, Some(shard), counts)
        };
        let removed = self.rows.iter().filter(is_removed).map(|(key, _)| key.clone());
        (added, removed.collect())
    }

    /// Returns the number of rows, with tombstones.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns whether a node at the position `shard` holds a row; `None` if there is no such row.
    pub fn is_held(&self, key: &str, shard: u32, counts: &ShardCounts) -> Option<bool> {
        let version = self.rows.get(key).filter(|version| version.value.is_some())?;
        Some(version.is_held(key, Some(shard), counts))
    }

    /// Returns the service of a registration.
    pub fn service(&self, key: &str) -> Option<&CompactString> {
        self.rows.get(key)?.service.as_ref()
    }

    fn rows_where(&self, is_wanted: impl Fn(&CompactString, &Version) -> bool) -> Vec<Row> {
        let complete = self.revision.map_or(0, |revision| revision.era);
        let wanted = self.rows.iter().filter(|(key, version)| is_wanted(key, version));
        let row = |(key, version): (&CompactString, &Version)| {
            let Revision { era, number } = version.revision;
            let revision = Revision::new(era.max(complete), number);
            Row { key: key.clone(), value: version.value.clone(), revision }
        };
        wanted.map(row).collect()
    }

    /// Stores a version unless a later one is known. Returns whether the row changed; it has not if a
    /// restored store still has the same version.
    fn put(&mut self, now: Instant, row: &Row) -> bool {
        let known = self.rows.get(&row.key);
        if known.is_some_and(|known| known.revision >= row.revision) {
            return false;
        }
        let value = row.value.clone();
        // A tombstone is forwarded like the row that it removes.
        let service = match (&value, self.service_of) {
            (Some(value), Some(service_of)) => service_of(&row.key, value),
            _ => known.and_then(|known| known.service.clone()),
        };
        let version = Version { revision: row.revision, value, service };
        let is_same = known.is_some_and(|known| known.is_same(&version));
        self.era = self.era.max(row.revision.era);
        if let Some(known) = known {
            known.leave(&row.key, &mut self.digests);
        }
        version.enter(&row.key, &mut self.digests);
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
            if let Some(version) = self.rows.get(key).filter(|version| version.value.is_none()) {
                self.pruned = self.pruned.max(version.revision);
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

    fn is_held(&self, key: &str, shard: Option<u32>, counts: &ShardCounts) -> bool {
        let count = counts.of(self.service.as_ref());
        shard.is_none_or(|own| shards::is_same_shard(own, shards::shard(key), count))
    }

    fn enter(&self, key: &str, digests: &mut ShardDigests) {
        if let Some(hash) = self.hash(key) {
            digests.add(self.service.as_ref(), shards::shard(key), hash);
        }
    }

    fn leave(&self, key: &str, digests: &mut ShardDigests) {
        if let Some(hash) = self.hash(key) {
            digests.remove(self.service.as_ref(), shards::shard(key), hash);
        }
    }

    /// Returns a hash of the row; `None` for a tombstone.
    fn hash(&self, key: &str) -> Option<u64> {
        Some(xxh64(self.value.as_ref()?, xxh64(key.as_bytes(), self.revision.number)))
    }
}
