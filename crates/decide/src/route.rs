//! Selection of a runner among those of one entry and version.
//!
//! Candidates are tried in this order: a runner that is due for a probe; a runner that has the
//! prompt prefix cached; the runner that the prefix hashes to at every node; the less loaded of two
//! random runners, local failure domain first; any runner with capacity; and, if all runners are
//! suspect, the one whose last failure is the oldest. Each step looks at a bounded number of
//! candidates, so that the cost doesn't grow with the number of runners.

use {
    crate::{
        cache::PrefixHolders,
        id::RunnerKey,
        runner::{INITIAL_BACKOFF, Runner, State},
    },
    compact_str::CompactString,
    rand::{Rng, rngs::SmallRng},
    slotmap::SlotMap,
    std::{cmp::Reverse, collections::BTreeMap},
    tokio::time::Instant,
    xxhash_rust::xxh64::xxh64,
};

/// Minimum size of a node's subset of a pool, if the pool has as many runners.
const MIN_SUBSET: usize = 64;
/// Average number of nodes that have a runner in their subset, where `MIN_SUBSET` gives fewer.
const NODES_PER_RUNNER: usize = 8;
/// Maximum number of runners examined in one search.
const MAX_SCAN: usize = 64;

/// Arena of runners.
pub(crate) type Runners = SlotMap<RunnerKey, Runner>;

/// Criteria for the selection of a runner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Criteria {
    /// Hash of the prompt prefix.
    pub(crate) prefix: Option<u64>,
    /// Runner that has just failed the request.
    pub(crate) avoid: Option<RunnerKey>,
    /// Whether the request may be used as a probe of a suspect. A request that has already failed
    /// may not.
    pub(crate) may_probe: bool,
}

/// Properties of the node that determine its subset.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeView<'a> {
    /// Seed, different at each node.
    pub(crate) seed: u64,
    /// Failure domain of the node.
    pub(crate) domain: &'a str,
    /// Number of nodes that serve traffic.
    pub(crate) nodes: usize,
}

/// The runners of one entry and version.
#[derive(Debug)]
pub(crate) struct Pool {
    /// Name of the entry.
    pub(crate) entry: CompactString,
    /// The version.
    pub(crate) version: CompactString,
    /// Runners assumed to have each prefix cached.
    pub(crate) holders: PrefixHolders,
    /// All runners, including leaving ones, which may return.
    members: Vec<RunnerKey>,
    /// Whether `subset` contains all eligible runners.
    is_complete: bool,
    subset: Vec<RunnerKey>,
    local: Vec<RunnerKey>,
    remote: Vec<RunnerKey>,
    suspects: Vec<RunnerKey>,
    probeable: Vec<RunnerKey>,
    next_probe: Option<Instant>,
    hash_buckets: Vec<Vec<HashTarget>>,
}

/// A runner that prefixes can hash to.
#[derive(Clone, Copy, Debug)]
struct HashTarget {
    hash: u64,
    runner: RunnerKey,
}

impl Pool {
    /// Creates an empty pool.
    pub(crate) fn new(entry: CompactString, version: CompactString) -> Pool {
        Pool {
            entry,
            version,
            holders: PrefixHolders::default(),
            members: Vec::new(),
            is_complete: true,
            subset: Vec::new(),
            local: Vec::new(),
            remote: Vec::new(),
            suspects: Vec::new(),
            probeable: Vec::new(),
            next_probe: None,
            hash_buckets: Vec::new(),
        }
    }

    /// Adds a runner; [`Pool::choose_subset`] must be called afterwards.
    pub(crate) fn add(&mut self, runner: RunnerKey) {
        self.members.push(runner);
    }

    /// Returns whether it has eligible runners.
    pub(crate) fn has_eligible(&self) -> bool {
        !self.subset.is_empty()
    }

    /// Returns the runners to poll for load: the subset, and runners leaving by their own report,
    /// because only a further report can end that state.
    pub(crate) fn polled(&self, runners: &Runners) -> impl Iterator<Item = RunnerKey> {
        let leaving = self
            .members
            .iter()
            .filter(|k| runners.get(**k).is_some_and(Runner::is_leaving_by_report));
        self.subset.iter().chain(leaving).copied()
    }

    /// Recomputes the subset after members were added, removed or moved to another pool, or after
    /// the number of nodes changed.
    ///
    /// Half of a subset is in the local failure domain and the rest is distributed evenly over the
    /// others, so that the loss of any one domain leaves runners in the subset. Scores depend only
    /// on node and runner, so that the subset changes no more than the members do.
    pub(crate) fn choose_subset(&mut self, runners: &Runners, view: NodeView) {
        self.members.sort_unstable();
        self.members.dedup();
        let (entry, version) = (&self.entry, &self.version);
        self.members.retain(|k| {
            runners
                .get(*k)
                .is_some_and(|r| r.instance.entry == *entry && r.instance.version == *version)
        });
        let eligible = self.members.iter().copied().filter(|k| runners[*k].is_eligible());
        let eligible = eligible.collect::<Vec<_>>();
        let size = MIN_SUBSET.max((eligible.len() * NODES_PER_RUNNER).div_ceil(view.nodes.max(1)));
        self.is_complete = eligible.len() <= size;
        self.subset = match self.is_complete {
            true => eligible,
            false => sample_subset(&eligible, runners, view, size),
        };
        self.classify(runners, view);
    }

    /// Classifies the subset by state and domain after the state of a runner changed.
    pub(crate) fn classify(&mut self, runners: &Runners, view: NodeView) {
        let is_local = |k: &RunnerKey| runners[*k].instance.domain == view.domain;
        let (healthy, suspects) =
            self.subset.iter().partition::<Vec<_>, _>(|k| runners[**k].state() == State::Healthy);
        self.suspects = suspects;
        self.probeable =
            self.suspects.iter().copied().filter(|k| runners[*k].is_probeable()).collect();
        self.next_probe = self.probeable.iter().filter_map(|k| runners[*k].probe_at()).min();
        (self.local, self.remote) = healthy.into_iter().partition(is_local);
        self.build_hash_buckets(runners);
    }

    /// Rebuilds the buckets of runners that prefixes hash to. These are all healthy runners if the
    /// subset is complete, so that all nodes choose the same one, and else those of the local
    /// domain.
    fn build_hash_buckets(&mut self, runners: &Runners) {
        let remote = if self.is_complete || self.local.is_empty() { &self.remote[..] } else { &[] };
        let buckets = self.subset.len().div_ceil(MAX_SCAN).next_power_of_two();
        self.hash_buckets = vec![Vec::new(); buckets];
        for &runner in self.local.iter().chain(remote) {
            let hash = runners[runner].hash;
            self.hash_buckets[bucket(hash, buckets)].push(HashTarget { hash, runner });
        }
    }

    /// Picks a runner with capacity, if there is one.
    pub(crate) fn pick(
        &self,
        runners: &Runners,
        now: Instant,
        rng: &mut SmallRng,
        criteria: &Criteria,
    ) -> Option<RunnerKey> {
        self.pick_probe(runners, now, criteria)
            .or_else(|| self.pick_by_prefix(runners, criteria))
            .or_else(|| self.pick_least_loaded(runners, rng, criteria))
            .or_else(|| self.pick_suspect(runners, now, criteria))
    }

    fn pick_probe(
        &self,
        runners: &Runners,
        now: Instant,
        criteria: &Criteria,
    ) -> Option<RunnerKey> {
        if !criteria.may_probe || self.next_probe.is_none_or(|due| due > now) {
            return None;
        }
        let is_due = |k: &RunnerKey| runners[*k].probe_at().is_some_and(|due| due <= now);
        self.probeable.iter().copied().find(|k| is_due(k) && runners[*k].load.has_room())
    }

    /// Picks the least loaded holder of the prefix, or the runner that the prefix hashes to, if it
    /// has a free slot.
    fn pick_by_prefix(&self, runners: &Runners, criteria: &Criteria) -> Option<RunnerKey> {
        let prefix = criteria.prefix?;
        let is_suitable = |k: &RunnerKey| {
            criteria.avoid != Some(*k)
                && runners
                    .get(*k)
                    .is_some_and(|r| r.state() == State::Healthy && r.load.has_free_slot())
        };
        self.holders
            .of(prefix)
            .filter(is_suitable)
            .reduce(|a, b| less_loaded(runners, a, b))
            .or_else(|| self.hash_target(prefix, criteria.avoid).filter(is_suitable))
    }

    /// Returns the runner that the prefix hashes to. With rendezvous hashing the highest score
    /// wins, so adding or removing a runner doesn't move the prefixes of other runners.
    fn hash_target(&self, prefix: u64, avoid: Option<RunnerKey>) -> Option<RunnerKey> {
        let first = bucket(mix(prefix, 0), self.hash_buckets.len());
        (0..self.hash_buckets.len())
            .map(|i| &self.hash_buckets[(first + i) % self.hash_buckets.len()])
            .find_map(|targets| {
                let candidates = targets.iter().filter(|t| avoid != Some(t.runner));
                candidates.max_by_key(|t| mix(prefix, t.hash)).map(|t| t.runner)
            })
    }

    fn pick_least_loaded(
        &self,
        runners: &Runners,
        rng: &mut SmallRng,
        criteria: &Criteria,
    ) -> Option<RunnerKey> {
        let local = less_loaded_of_two(runners, &self.local, rng, criteria.avoid);
        if local.is_some_and(|k| runners[k].load.has_free_slot()) {
            return local;
        }
        let remote = less_loaded_of_two(runners, &self.remote, rng, criteria.avoid);
        if remote.is_some_and(|k| runners[k].load.has_free_slot()) {
            return remote;
        }
        self.scan(runners, rng, |k, r| r.load.has_free_slot() && criteria.avoid != Some(k)).or_else(
            || {
                let best =
                    local.into_iter().chain(remote).reduce(|a, b| less_loaded(runners, a, b));
                best.filter(|k| runners[*k].load.has_room()).or_else(|| {
                    self.scan(runners, rng, |k, r| r.load.has_room() && criteria.avoid != Some(k))
                })
            },
        )
    }

    /// Finds a suitable runner among at most [`MAX_SCAN`] local ones, then as many remote ones,
    /// each from a random start.
    fn scan(
        &self,
        runners: &Runners,
        rng: &mut SmallRng,
        is_suitable: impl Fn(RunnerKey, &Runner) -> bool,
    ) -> Option<RunnerKey> {
        [&self.local, &self.remote].into_iter().filter(|list| !list.is_empty()).find_map(|list| {
            let start = rng.random_range(0..list.len());
            let candidates = (0..list.len().min(MAX_SCAN)).map(|i| list[(start + i) % list.len()]);
            candidates.into_iter().find(|&k| is_suitable(k, &runners[k]))
        })
    }

    /// Picks the suspect whose last failure is the oldest, if only suspects are left. It is the
    /// most likely to have recovered, and the suspicion may be wrong, while a rejection certainly
    /// fails the request. The runner to avoid is picked only if there is no other. If it failed
    /// again while suspect, it is used at most once per [`INITIAL_BACKOFF`]: otherwise a request
    /// would spend all its attempts within a quarter of a second on a runner that recovers in a
    /// second.
    fn pick_suspect(
        &self,
        runners: &Runners,
        now: Instant,
        criteria: &Criteria,
    ) -> Option<RunnerKey> {
        let is_avoided = |k: &RunnerKey| criteria.avoid == Some(*k);
        let healthy = self.local.iter().chain(&self.remote).copied();
        let mut healthy = healthy.take(2);
        if healthy.any(|k| !is_avoided(&k)) {
            return None;
        }
        let has_room = |k: &RunnerKey| runners[*k].load.has_room();
        let is_rested = |k: &RunnerKey| {
            runners[*k].last_failure_as_suspect.is_none_or(|r| now >= r + INITIAL_BACKOFF)
        };
        let others = self.suspects.iter().copied().take(MAX_SCAN).filter(|k| !is_avoided(k));
        match others.clone().next() {
            Some(_) => others.filter(has_room).min_by_key(|k| runners[*k].last_failure),
            None => self.subset.iter().copied().find(is_avoided).filter(has_room).filter(is_rested),
        }
    }
}

/// Returns a subset of `size` runners, half of them in the local domain.
fn sample_subset(
    eligible: &[RunnerKey],
    runners: &Runners,
    view: NodeView,
    size: usize,
) -> Vec<RunnerKey> {
    let mut domains = BTreeMap::<&str, Vec<(u64, RunnerKey)>>::new();
    for &key in eligible {
        let runner = &runners[key];
        let score = mix(view.seed, runner.hash);
        domains.entry(&runner.instance.domain).or_default().push((score, key));
    }
    domains.values_mut().for_each(|d| d.sort_unstable_by_key(|&(score, k)| (Reverse(score), k)));
    let local = domains.remove(view.domain).unwrap_or_default();
    let mut others = domains
        .into_values()
        .enumerate()
        .flat_map(|(i, d)| d.into_iter().enumerate().map(move |(rank, (_, k))| (rank, i, k)))
        .collect::<Vec<_>>();
    others.sort_unstable();
    let local_count = local.len().min((size / 2).max(size.saturating_sub(others.len())));
    let remote = others.into_iter().map(|(.., k)| k).take(size - local_count);
    local.iter().map(|&(_, k)| k).take(local_count).chain(remote).collect()
}

/// Returns the less loaded of two distinct random runners of `list`.
fn less_loaded_of_two(
    runners: &Runners,
    list: &[RunnerKey],
    rng: &mut SmallRng,
    avoid: Option<RunnerKey>,
) -> Option<RunnerKey> {
    if list.len() < 2 {
        return list.first().copied().filter(|k| avoid != Some(*k));
    }
    let i = rng.random_range(0..list.len());
    let j = (i + rng.random_range(1..list.len())) % list.len();
    let pair = [list[i], list[j]].into_iter().filter(|k| avoid != Some(*k));
    pair.reduce(|a, b| less_loaded(runners, a, b))
}

fn less_loaded(runners: &Runners, a: RunnerKey, b: RunnerKey) -> RunnerKey {
    if runners[b].load.is_less_than(&runners[a].load) { b } else { a }
}

fn bucket(hash: u64, buckets: usize) -> usize {
    (hash >> 32) as usize & (buckets - 1)
}

/// Returns the hash of a runner's name, which is the same at every node.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxh64(name.as_bytes(), 0)
}

/// Mixes two hashes into a score with the finalizer of SplitMix64.
fn mix(a: u64, b: u64) -> u64 {
    let mut x = a.wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ b;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
