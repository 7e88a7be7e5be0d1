//! What requests show about two versions, in counters that nodes exchange.
//!
//! A request is given to the new version at random with a known probability, its share. If the
//! versions are alike, then of the *bad events* (a failure, a late first token, a slow pace) the new
//! version's part is that share too, whatever the load, the hour or the callers do to both at that
//! moment. So each bad event multiplies a likelihood ratio: for the claim that bad events are `r`
//! times as frequent on the new version, against their being at most [`TOLERANCE`] times as frequent.
//! The logarithms add up over requests and nodes, so a node tells one running sum a claim.

use {
    super::split::Choice,
    crate::id::Incarnation,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Claims that are tested together: bad events so many times as frequent on the new version.
pub const RATIOS: [f64; 4] = [4.0, 12.0, 40.0, 150.0];
/// How many times as frequent bad events may be before a version counts as worse.
pub const TOLERANCE: f64 = 1.5;
/// Maximum distinct routes; further ones are counted as [`OTHER`].
pub const ROUTES: usize = 8;
/// Name of the routes past [`ROUTES`].
pub const OTHER: &str = "other";
/// Kinds of bad event.
pub const METRICS: usize = 3;
/// Most node lives whose counters are kept for one move; later ones are not counted.
pub const NODES: usize = 64;

/// Latencies needed, at all nodes, before there is a bound.
const ENOUGH: f64 = 12.0;
/// Latencies that are remembered at most: beyond, older ones count half.
const REMEMBERED: f64 = 256.0;
/// A latency is bad this many standard deviations, of its logarithm, above the old version's mean.
const DEVIATIONS: f64 = 2.0;
/// And by this factor more, for caches that are still cold on new runners.
const SLACK: f64 = 1.25;

/// One request that ended, on its first attempt. Later attempts are pinned to a version, so their
/// version wasn't chosen at random and they say nothing fair.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample<'a> {
    /// How it was given to its version.
    pub choice: Choice,
    /// Class and size of prompt, or path: what may fail alone.
    pub route: &'a str,
    /// Whether it ended well. A caller that leaves is no failure, and no sample.
    pub ok: bool,
    /// Time to the first token or the answer's head.
    pub first: Option<Duration>,
    /// Mean time between tokens.
    pub pace: Option<Duration>,
    /// Any number that tells runners apart.
    pub runner: u64,
    /// Any number that tells accounts apart.
    pub account: u64,
}

/// Counters of one kind of bad event on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Tally {
    /// Bad events of the old version.
    pub old: u32,
    /// Bad events of the new version.
    pub new: u32,
    /// Runners of the new version that had one, a bit for each value of their number modulo 64.
    pub runners: u64,
    /// Logarithm of the likelihood ratio for each of [`RATIOS`].
    pub logs: [f64; RATIOS.len()],
}

impl Tally {
    fn count(&mut self, sample: &Sample<'_>) {
        let share = sample.choice.share.fraction();
        if share <= 0.0 || share >= 1.0 {
            return;
        }
        if sample.choice.new {
            self.new += 1;
            self.runners |= 1 << (sample.runner % 64);
        } else {
            self.old += 1;
        }
        let likelihood = |ratio: f64| {
            let new = share * ratio / (1.0 - share + share * ratio);
            if sample.choice.new { new } else { 1.0 - new }
        };
        let null = likelihood(TOLERANCE);
        for (log, ratio) in self.logs.iter_mut().zip(RATIOS) {
            *log += (likelihood(ratio) / null).ln();
        }
    }

    fn add(&mut self, other: &Tally) {
        self.old += other.old;
        self.new += other.new;
        self.runners |= other.runners;
        self.logs.iter_mut().zip(other.logs).for_each(|(a, b)| *a += b);
    }
}

/// What is usual for the old version: moments of the logarithm of a latency in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Usual {
    count: f64,
    sum: f64,
    squares: f64,
}

impl Usual {
    fn push(&mut self, latency: Duration) {
        if self.count >= REMEMBERED {
            *self =
                Usual { count: self.count / 2.0, sum: self.sum / 2.0, squares: self.squares / 2.0 };
        }
        let log = latency.as_secs_f64().max(1e-6).ln();
        self.count += 1.0;
        self.sum += log;
        self.squares += log * log;
    }

    fn add(&mut self, other: &Usual) {
        self.count += other.count;
        self.sum += other.sum;
        self.squares += other.squares;
    }

    /// Whether `latency` is worse than what was usual. The bound comes from earlier requests only, so
    /// it is fair to a request of either version.
    fn is_exceeded(&self, latency: Duration) -> bool {
        let mean = self.sum / self.count;
        let deviation = (self.squares / self.count - mean * mean).max(0.0).sqrt();
        let bound = (mean + DEVIATIONS * deviation).exp() * SLACK;
        self.count >= ENOUGH && latency.as_secs_f64() > bound
    }
}

/// Counters of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Requests that the old version ended.
    pub old: u32,
    /// Requests that the new version ended.
    pub new: u32,
    /// Runners of the new version seen, as in [`Tally::runners`].
    pub runners: u64,
    /// Accounts that the new version served, as in [`Tally::runners`].
    pub accounts: u64,
    /// Failures, late first tokens, slow paces.
    pub bad: [Tally; METRICS],
    /// The old version's times to the first token, and paces.
    pub usual: [Usual; 2],
}

impl Counts {
    /// Adds another node's or route's counters.
    pub fn add(&mut self, other: &Counts) {
        self.old += other.old;
        self.new += other.new;
        self.runners |= other.runners;
        self.accounts |= other.accounts;
        self.bad.iter_mut().zip(&other.bad).for_each(|(a, b)| a.add(b));
        self.usual.iter_mut().zip(&other.usual).for_each(|(a, b)| a.add(b));
    }
}

/// One node's counters for one move. Of two from one node, the one with the higher number holds.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Evidence {
    /// Grows with each change.
    pub sequence: u64,
    /// By route.
    pub routes: BTreeMap<CompactString, Counts>,
}

impl Evidence {
    fn is_bounded(&self) -> bool {
        let finite = |t: &Tally| t.logs.iter().all(|l| l.is_finite());
        self.routes.len() <= ROUTES + 1 && self.routes.values().all(|c| c.bad.iter().all(finite))
    }
}

/// Turns this node's samples into its counters.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    evidence: Evidence,
}

impl Collector {
    /// Takes one request that ended. `pooled` is what all nodes know so far: a thin route has too
    /// few requests at one node to tell what is usual.
    pub fn observe(&mut self, sample: &Sample<'_>, pooled: &BTreeMap<CompactString, Counts>) {
        let routes = &mut self.evidence.routes;
        let known = routes.contains_key(sample.route) || routes.len() < ROUTES;
        let route = CompactString::from(if known { sample.route } else { OTHER });
        let usual = pooled.get(&route).map(|c| c.usual);
        let counts = routes.entry(route).or_default();
        let latencies = [sample.first, sample.pace];
        let slow: [bool; 2] = std::array::from_fn(|i| {
            let usual = usual.as_ref().map(|u| &u[i]);
            latencies[i].is_some_and(|l| usual.is_some_and(|u| u.is_exceeded(l)))
        });
        if sample.choice.new {
            counts.new += 1;
            counts.runners |= 1 << (sample.runner % 64);
            counts.accounts |= 1 << (sample.account % 64);
        } else {
            counts.old += 1;
            let pairs = counts.usual.iter_mut().zip(latencies);
            pairs.for_each(|(usual, latency)| latency.into_iter().for_each(|l| usual.push(l)));
        }
        let bad = [!sample.ok, slow[0], slow[1]];
        let tallies = counts.bad.iter_mut().zip(bad).filter(|(_, bad)| *bad);
        tallies.for_each(|(tally, _)| tally.count(sample));
        self.evidence.sequence += 1;
    }

    /// Forgets the counters, for a new move; keeps what is usual for the version that stays.
    pub fn renew(&mut self) {
        for counts in self.evidence.routes.values_mut() {
            *counts = Counts { usual: counts.usual, ..Counts::default() };
        }
    }

    /// The counters so far.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }
}

/// All nodes' counters for one move.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PooledEvidence {
    nodes: BTreeMap<Incarnation, Evidence>,
    changed: bool,
}

impl PooledEvidence {
    /// Takes a node's counters unless newer ones of that node are known. Repeated and reordered
    /// messages change nothing.
    pub fn merge(&mut self, node: Incarnation, evidence: &Evidence) {
        let room = self.nodes.len() < NODES || self.nodes.contains_key(&node);
        if !room || !evidence.is_bounded() {
            return;
        }
        let known = self.nodes.entry(node).or_default();
        if evidence.sequence > known.sequence {
            *known = evidence.clone();
            self.changed = true;
        }
    }

    /// The sum over nodes by route, if it changed since the last call.
    pub fn take_changed(&mut self) -> Option<BTreeMap<CompactString, Counts>> {
        std::mem::take(&mut self.changed).then(|| self.routes())
    }

    /// The sum over nodes, by route.
    pub fn routes(&self) -> BTreeMap<CompactString, Counts> {
        let mut sum: BTreeMap<CompactString, Counts> = BTreeMap::new();
        for (route, counts) in self.nodes.values().flat_map(|e| &e.routes) {
            sum.entry(route.clone()).or_default().add(counts);
        }
        sum
    }
}
