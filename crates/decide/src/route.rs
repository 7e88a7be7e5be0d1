//! Which runner of an entry and version gets a request.
//!
//! In this order: a runner that is due for a probe; a runner that holds the prompt's prefix; the
//! runner that every node would choose for the prefix; the less loaded of two random runners, first
//! in the own failure domain; any runner with room; and, when all are suspect, the one whose failure
//! is longest ago. A step's candidates are bounded, so the cost doesn't grow with the runners.

use {
    crate::{
        cache::Holders,
        id::RunnerKey,
        runner::{BACKOFF_FIRST, Runner, State},
    },
    compact_str::CompactString,
    rand::{Rng, rngs::SmallRng},
    slotmap::SlotMap,
    std::{cmp::Reverse, collections::BTreeMap},
    tokio::time::Instant,
    xxhash_rust::xxh64::xxh64,
};

/// Fewest runners of a pool that a node talks to, if there are so many.
const SUBSET: usize = 64;
/// Nodes that talk to each runner, on average, where `SUBSET` would give fewer.
const REPLICAS: usize = 8;
/// Most runners looked at in one search.
const SCAN: usize = 64;

/// Arena of runners.
pub(crate) type Runners = SlotMap<RunnerKey, Runner>;

/// What a request wants of its runner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Want {
    /// Prefix of its prompt.
    pub(crate) prefix: Option<u64>,
    /// Runner that has just failed it.
    pub(crate) avoid: Option<RunnerKey>,
    /// Whether it may be a suspect's probe. One that has failed already may not.
    pub(crate) probe: bool,
}

/// Where a node stands in the choice of its subset.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View<'a> {
    /// Tells the nodes apart.
    pub(crate) seed: u64,
    /// The node's failure domain.
    pub(crate) domain: &'a str,
    /// Nodes taking traffic.
    pub(crate) nodes: usize,
}

/// The runners of one entry and version.
#[derive(Debug)]
pub(crate) struct Pool {
    /// Name of the entry.
    pub(crate) entry: CompactString,
    /// The version.
    pub(crate) version: CompactString,
    /// Believed holders of prefixes.
    pub(crate) holders: Holders,
    /// All of them, those that leave as well: they may come back.
    members: Vec<RunnerKey>,
    /// Whether `subset` is all that may have requests.
    whole: bool,
    subset: Vec<RunnerKey>,
    near: Vec<RunnerKey>,
    far: Vec<RunnerKey>,
    suspects: Vec<RunnerKey>,
    probes: Vec<RunnerKey>,
    due: Option<Instant>,
    homes: Vec<Vec<Home>>,
}

/// A runner that prefixes can be hashed to.
#[derive(Clone, Copy, Debug)]
struct Home {
    hash: u64,
    runner: RunnerKey,
}

impl Pool {
    /// A pool with no runners.
    pub(crate) fn new(entry: CompactString, version: CompactString) -> Pool {
        Pool {
            entry,
            version,
            holders: Holders::default(),
            members: Vec::new(),
            whole: true,
            subset: Vec::new(),
            near: Vec::new(),
            far: Vec::new(),
            suspects: Vec::new(),
            probes: Vec::new(),
            due: None,
            homes: Vec::new(),
        }
    }

    /// Adds a runner; [`Pool::choose`] must follow.
    pub(crate) fn add(&mut self, runner: RunnerKey) {
        self.members.push(runner);
    }

    /// Whether it has runners that may have requests.
    pub(crate) fn serves(&self) -> bool {
        !self.subset.is_empty()
    }

    /// Runners to poll for load: eligible ones, and draining ones, as only their own report can end
    /// the draining state.
    pub(crate) fn watched(&self, runners: &Runners) -> impl Iterator<Item = RunnerKey> {
        let leaving =
            self.members.iter().filter(|k| runners.get(**k).is_some_and(Runner::withdrawn));
        self.subset.iter().chain(leaving).copied()
    }

    /// Chooses the subset anew after members came, left or moved to another pool, or the number of
    /// nodes changed.
    ///
    /// Half of a subset is in the own domain, and the rest evenly in the others, so that whichever
    /// domain is lost, the entry still has runners here. Scores depend on node and runner alone, so
    /// a subset changes no more than the members do.
    pub(crate) fn choose(&mut self, runners: &Runners, view: View) {
        self.members.sort_unstable();
        self.members.dedup();
        let (entry, version) = (&self.entry, &self.version);
        self.members.retain(|k| {
            runners
                .get(*k)
                .is_some_and(|r| r.instance.entry == *entry && r.instance.version == *version)
        });
        let present = self.members.iter().copied().filter(|k| runners[*k].present());
        let present = present.collect::<Vec<_>>();
        let size = SUBSET.max((present.len() * REPLICAS).div_ceil(view.nodes.max(1)));
        self.whole = present.len() <= size;
        self.subset = match self.whole {
            true => present,
            false => sample(&present, runners, view, size),
        };
        self.sort(runners, view);
    }

    /// Sorts the subset by state and domain after a runner's state changed.
    pub(crate) fn sort(&mut self, runners: &Runners, view: View) {
        let domain = |k: &RunnerKey| runners[*k].instance.domain == view.domain;
        let (healthy, suspects) =
            self.subset.iter().partition::<Vec<_>, _>(|k| runners[**k].state() == State::Healthy);
        self.suspects = suspects;
        self.probes = self.suspects.iter().copied().filter(|k| runners[*k].audible()).collect();
        self.due = self.probes.iter().filter_map(|k| runners[*k].due()).min();
        (self.near, self.far) = healthy.into_iter().partition(domain);
        self.house(runners);
    }

    /// Lays out the runners that prefixes are hashed to: all of them where every node talks to all,
    /// so that all nodes choose alike; else those of the own domain.
    fn house(&mut self, runners: &Runners) {
        let far = if self.whole || self.near.is_empty() { &self.far[..] } else { &[] };
        let buckets = self.subset.len().div_ceil(SCAN).next_power_of_two();
        self.homes = vec![Vec::new(); buckets];
        for &runner in self.near.iter().chain(far) {
            let hash = runners[runner].hash;
            self.homes[bucket(hash, buckets)].push(Home { hash, runner });
        }
    }

    /// Picks a runner with room, if there is one.
    pub(crate) fn pick(
        &self,
        runners: &Runners,
        now: Instant,
        rng: &mut SmallRng,
        want: &Want,
    ) -> Option<RunnerKey> {
        self.probe(runners, now, want)
            .or_else(|| self.affine(runners, want))
            .or_else(|| self.spread(runners, rng, want))
            .or_else(|| self.last(runners, now, want))
    }

    fn probe(&self, runners: &Runners, now: Instant, want: &Want) -> Option<RunnerKey> {
        if !want.probe || self.due.is_none_or(|due| due > now) {
            return None;
        }
        let due = |k: &RunnerKey| runners[*k].due().is_some_and(|due| due <= now);
        self.probes.iter().copied().find(|k| due(k) && runners[*k].load.room())
    }

    /// The prefix's holder or home, while it would not be slowed down.
    fn affine(&self, runners: &Runners, want: &Want) -> Option<RunnerKey> {
        let prefix = want.prefix?;
        let good = |k: &RunnerKey| {
            want.avoid != Some(*k)
                && runners.get(*k).is_some_and(|r| r.state() == State::Healthy && r.load.fits())
        };
        self.holders
            .of(prefix)
            .filter(good)
            .reduce(|a, b| lesser(runners, a, b))
            .or_else(|| self.home(prefix, want.avoid).filter(good))
    }

    /// Rendezvous hashing: the highest score wins, so a runner that comes or goes moves no other
    /// runner's prefixes.
    fn home(&self, prefix: u64, avoid: Option<RunnerKey>) -> Option<RunnerKey> {
        let first = bucket(mix(prefix, 0), self.homes.len());
        (0..self.homes.len()).map(|i| &self.homes[(first + i) % self.homes.len()]).find_map(
            |homes| {
                let fit = homes.iter().filter(|h| avoid != Some(h.runner));
                fit.max_by_key(|h| mix(prefix, h.hash)).map(|h| h.runner)
            },
        )
    }

    fn spread(&self, runners: &Runners, rng: &mut SmallRng, want: &Want) -> Option<RunnerKey> {
        let near = two(runners, &self.near, rng, want.avoid);
        if near.is_some_and(|k| runners[k].load.fits()) {
            return near;
        }
        let far = two(runners, &self.far, rng, want.avoid);
        if far.is_some_and(|k| runners[k].load.fits()) {
            return far;
        }
        self.scan(runners, rng, |k, r| r.load.fits() && want.avoid != Some(k)).or_else(|| {
            let best = near.into_iter().chain(far).reduce(|a, b| lesser(runners, a, b));
            best.filter(|k| runners[*k].load.room())
                .or_else(|| self.scan(runners, rng, |k, r| r.load.room() && want.avoid != Some(k)))
        })
    }

    /// Finds a good runner among at most [`SCAN`] from a random place on, the own domain first.
    fn scan(
        &self,
        runners: &Runners,
        rng: &mut SmallRng,
        good: impl Fn(RunnerKey, &Runner) -> bool,
    ) -> Option<RunnerKey> {
        [&self.near, &self.far].into_iter().filter(|list| !list.is_empty()).find_map(|list| {
            let start = rng.random_range(0..list.len());
            let some = (0..list.len().min(SCAN)).map(|i| list[(start + i) % list.len()]);
            some.into_iter().find(|&k| good(k, &runners[k]))
        })
    }

    /// With nothing but suspects left a request goes to the one that failed longest ago, the
    /// likeliest to be back: the suspicion may be wrong, and a refusal certainly helps no one. The
    /// runner to be avoided is the last of all. If it failed again as a suspect, it is asked each
    /// [`BACKOFF_FIRST`] only: a request would else spend all its tries in a quarter of a second on
    /// a runner that is back in one.
    fn last(&self, runners: &Runners, now: Instant, want: &Want) -> Option<RunnerKey> {
        let avoided = |k: &RunnerKey| want.avoid == Some(*k);
        let healthy = self.near.iter().chain(&self.far).copied();
        let mut healthy = healthy.take(2);
        if healthy.any(|k| !avoided(&k)) {
            return None;
        }
        let room = |k: &RunnerKey| runners[*k].load.room();
        let rested = |k: &RunnerKey| runners[*k].relapse.is_none_or(|r| now >= r + BACKOFF_FIRST);
        let others = self.suspects.iter().copied().take(SCAN).filter(|k| !avoided(k));
        match others.clone().next() {
            Some(_) => others.filter(room).min_by_key(|k| runners[*k].failed),
            None => self.subset.iter().copied().find(avoided).filter(room).filter(rested),
        }
    }
}

/// A subset of `size` runners, half of them in the own domain.
fn sample(present: &[RunnerKey], runners: &Runners, view: View, size: usize) -> Vec<RunnerKey> {
    let mut domains = BTreeMap::<&str, Vec<(u64, RunnerKey)>>::new();
    for &key in present {
        let runner = &runners[key];
        let score = mix(view.seed, runner.hash);
        domains.entry(&runner.instance.domain).or_default().push((score, key));
    }
    domains.values_mut().for_each(|d| d.sort_unstable_by_key(|&(score, k)| (Reverse(score), k)));
    let own = domains.remove(view.domain).unwrap_or_default();
    let mut rest = domains
        .into_values()
        .enumerate()
        .flat_map(|(i, d)| d.into_iter().enumerate().map(move |(rank, (_, k))| (rank, i, k)))
        .collect::<Vec<_>>();
    rest.sort_unstable();
    let near = own.len().min((size / 2).max(size.saturating_sub(rest.len())));
    let far = rest.into_iter().map(|(.., k)| k).take(size - near);
    own.iter().map(|&(_, k)| k).take(near).chain(far).collect()
}

/// The less loaded of two different random runners of `list`.
fn two(
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
    pair.reduce(|a, b| lesser(runners, a, b))
}

fn lesser(runners: &Runners, a: RunnerKey, b: RunnerKey) -> RunnerKey {
    if runners[b].load.less(&runners[a].load) { b } else { a }
}

fn bucket(hash: u64, buckets: usize) -> usize {
    (hash >> 32) as usize & (buckets - 1)
}

/// Hash of a runner's name, the same at every node.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxh64(name.as_bytes(), 0)
}

/// Mixes two hashes into a score (the finaliser of SplitMix64).
fn mix(a: u64, b: u64) -> u64 {
    let mut x = a.wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ b;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
