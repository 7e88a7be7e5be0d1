//! Shards of large services, so that what a node holds does not grow with the number of runners.
//!
//! The registrations of a service with many runners are divided into shards by a hash of the runner
//! ids. A node holds one shard of each such service, selected by a hash of its name, and all
//! registrations of smaller services. Readers of the store mirror all registrations.

use {compact_str::CompactString, std::collections::BTreeMap, xxhash_rust::xxh64::xxh64};

/// Maximum number of shards of a service; a power of two.
pub const MAX_SHARDS: u32 = 64;
/// Minimum mean number of runners per shard when a service is divided.
pub const MIN_RUNNERS: usize = 512;
/// Minimum mean number of holders per shard in a failure domain when a service is divided. Runners of a
/// shard without holders would get no requests.
pub const MIN_HOLDERS: usize = 8;
/// Share of [`MIN_RUNNERS`] below which a service is divided into fewer shards again, so that a
/// service near the limit is not divided differently with each change.
const MERGE_SHARE: f64 = 0.75;
/// Mean number of holders below which a service is divided into fewer shards again. Many nodes may be
/// lost for a short time.
const MERGE_HOLDERS: usize = 2;

/// Position of a name among [`MAX_SHARDS`] shards. With a smaller number of shards, which is a
/// power of two, its shard is the remainder.
pub fn shard(name: &str) -> u32 {
    xxh64(name.as_bytes(), 0) as u32 % MAX_SHARDS
}

/// Returns whether two positions are in the same of `count` shards.
pub fn is_same_shard(a: u32, b: u32, count: u32) -> bool {
    a % count == b % count
}

/// Returns the largest number of shards for which two positions are in the same shard.
pub fn common_shards(a: u32, b: u32) -> u32 {
    (1 << (a ^ b).trailing_zeros().min(MAX_SHARDS.ilog2())).min(MAX_SHARDS)
}

/// Returns whether a service of which a node holds so many runners may be divided.
pub fn may_be_divided(runners: usize) -> bool {
    runners as f64 >= MIN_RUNNERS as f64 * MERGE_SHARE
}

/// Number of shards of each divided service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardCounts(BTreeMap<CompactString, u32>);

impl ShardCounts {
    /// Creates the counts of a list of services; invalid counts are replaced by the next valid one.
    pub fn new(counts: impl IntoIterator<Item = (CompactString, u32)>) -> ShardCounts {
        let valid = |count: u32| count.clamp(1, MAX_SHARDS).next_power_of_two();
        let counts = counts.into_iter().map(|(service, count)| (service, valid(count)));
        ShardCounts(counts.filter(|(_, count)| *count > 1).collect())
    }

    /// Returns the number of shards of a service.
    pub fn of(&self, service: Option<&CompactString>) -> u32 {
        service.and_then(|service| self.0.get(service)).copied().unwrap_or(1)
    }

    /// Returns the largest number of shards of any service.
    pub fn max(&self) -> u32 {
        self.0.values().copied().max().unwrap_or(1)
    }

    /// Returns the divided services with their counts.
    pub fn iter(&self) -> impl Iterator<Item = (&CompactString, u32)> {
        self.0.iter().map(|(service, count)| (service, *count))
    }
}

/// Number of rows and sum of their hashes in each shard of one service.
#[derive(Clone, Debug)]
struct ServiceDigest {
    rows: usize,
    hashes: [u64; MAX_SHARDS as usize],
}

impl Default for ServiceDigest {
    fn default() -> ServiceDigest {
        ServiceDigest { rows: 0, hashes: [0; MAX_SHARDS as usize] }
    }
}

/// Digests of all services; each change of a row takes constant time.
#[derive(Clone, Debug, Default)]
pub struct ShardDigests {
    services: BTreeMap<Option<CompactString>, ServiceDigest>,
}

impl ShardDigests {
    /// Adds a row; `service` is `None` if the row is not a registration.
    pub fn add(&mut self, service: Option<&CompactString>, shard: u32, hash: u64) {
        let digest = self.services.entry(service.cloned()).or_default();
        digest.rows += 1;
        let sum = &mut digest.hashes[shard as usize];
        *sum = sum.wrapping_add(hash);
    }

    /// Removes a row that was added.
    pub fn remove(&mut self, service: Option<&CompactString>, shard: u32, hash: u64) {
        let service = service.cloned();
        let Some(digest) = self.services.get_mut(&service) else { return };
        digest.rows -= 1;
        let sum = &mut digest.hashes[shard as usize];
        *sum = sum.wrapping_sub(hash);
        if digest.rows == 0 {
            self.services.remove(&service);
        }
    }

    /// Returns the sum of the hashes of the rows that a node at the position `shard` holds; `None`
    /// for all rows.
    pub fn hash(&self, shard: Option<u32>, counts: &ShardCounts) -> u64 {
        let held = |count, index: u32| shard.is_none_or(|own| is_same_shard(own, index, count));
        let sums = self.services.iter().flat_map(|(service, digest)| {
            let count = counts.of(service.as_ref());
            let hashes = digest.hashes.iter().zip(0..MAX_SHARDS);
            hashes.filter(move |(_, index)| held(count, *index)).map(|(hash, _)| *hash)
        });
        sums.fold(0, u64::wrapping_add)
    }

    /// Returns the number of shards of each divided service in a failure domain with this number of
    /// nodes; `counts` are the present ones.
    pub fn divide(&self, nodes: usize, counts: &ShardCounts) -> ShardCounts {
        let services = self.services.iter().filter_map(|(service, digest)| {
            let service = service.as_ref()?;
            Some((service.clone(), shard_count(digest.rows, nodes, counts.of(Some(service)))))
        });
        ShardCounts::new(services)
    }
}

/// Returns the number of shards for a number of runners and nodes; `present` is kept near a limit.
fn shard_count(runners: usize, nodes: usize, present: u32) -> u32 {
    let is_too_many = |count: u32| {
        let (runners, count) = (runners as f64, count as usize);
        runners / (count as f64) < MIN_RUNNERS as f64 * MERGE_SHARE || nodes / count < MERGE_HOLDERS
    };
    let is_enough = |count: u32| {
        runners / count as usize >= MIN_RUNNERS && nodes / count as usize >= MIN_HOLDERS
    };
    let mut count = present;
    while count > 1 && is_too_many(count) {
        count /= 2;
    }
    while count < MAX_SHARDS && is_enough(count * 2) {
        count *= 2;
    }
    count
}
