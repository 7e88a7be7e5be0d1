//! Evidence on the quality of two versions, in counters that nodes exchange.
//!
//! A request is assigned to the new version at random with a known probability, the share. If both
//! versions are equally good, the new version's fraction of the *bad events* (a failure, a late
//! first token, a low token rate, a lost response) equals the share, regardless of load, time of day or callers,
//! which affect both versions alike. Each bad event therefore multiplies a likelihood ratio: of the
//! hypothesis that bad events are `r` times as frequent on the new version, to the hypothesis that
//! they are at most [`TOLERANCE`] times as frequent. The logarithms are summed over requests and
//! nodes, so a node sends one running sum per hypothesis.

use {
    super::split::Choice,
    crate::{id::Incarnation, member::MAX_MEMBERS},
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Tested hypotheses: how many times as frequent bad events are on the new version.
pub const RATIOS: [f64; 4] = [4.0, 12.0, 40.0, 150.0];
/// How many times as frequent bad events may be on the new version before it counts as worse.
pub const TOLERANCE: f64 = 1.5;
/// Maximum distinct routes; further ones are counted as [`OTHER`].
pub const MAX_ROUTES: usize = 8;
/// Combined route for those beyond [`MAX_ROUTES`].
pub const OTHER: &str = "other";
/// Kinds of bad event.
pub const METRICS: usize = 4;
/// Index of the late first tokens among the kinds of bad event.
const SLOW_FIRST: usize = 1;
/// Maximum number of node incarnations whose counters are kept for one move, a few KB each; further
/// ones are ignored.
pub const MAX_NODES: usize = MAX_MEMBERS;

/// Minimum number of latencies, over all nodes, for a bound on good latencies.
const MIN_LATENCIES: f64 = 12.0;
/// Number of latencies at which the weight of the earlier ones is halved.
const MAX_LATENCIES: f64 = 256.0;
/// Standard deviations of a latency's logarithm above the old version's mean at which it is bad.
const DEVIATIONS: f64 = 2.0;
/// Additional factor on that bound, for cold caches on new runners.
const SLACK: f64 = 1.25;
/// Multiple of the old version's median above which a latency is bad as well. Unlike the mean and the
/// deviation, the median hardly changes if some of the old runners are slow.
const MEDIAN_RATIO: f64 = 2.5;
/// Buckets of a histogram of latencies, from 1 ms on; each is [`BUCKET_RATIO`] times as long as the one
/// before.
const BUCKETS: usize = 32;
const BUCKET_RATIO: f64 = std::f64::consts::SQRT_2;
/// Lower limit of the first bucket, in seconds.
const FIRST_BUCKET: f64 = 1e-3;

/// What came of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// The version succeeded.
    Success,
    /// The version failed, or did not respond in time.
    Failure,
    /// The connection or the runner failed, which may have other causes than the version.
    Lost,
}

impl From<bool> for Response {
    /// Returns the response of a version that succeeded or failed.
    fn from(ok: bool) -> Response {
        if ok { Response::Success } else { Response::Failure }
    }
}

/// A request that ended on its first attempt. Later attempts are not sampled: they are pinned to a
/// version, so their version wasn't chosen at random.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample<'a> {
    /// Assignment to its version.
    pub choice: Choice,
    /// Class and prompt size, or path: the categories that may fail independently.
    pub route: &'a str,
    /// Response. Requests cancelled by the caller are not sampled.
    pub response: Response,
    /// Time to the first token or the response head.
    pub first: Option<Duration>,
    /// Mean time between tokens.
    pub pace: Option<Duration>,
    /// Number that identifies the runner.
    pub runner: u64,
    /// Number that identifies the account.
    pub account: u64,
}

/// The wait of a request for its first token or the response head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wait<'a> {
    /// Assignment to its version.
    pub choice: Choice,
    /// As [`Sample::route`].
    pub route: &'a str,
    /// Number that identifies the runner.
    pub runner: u64,
    /// Time of the wait.
    pub time: Duration,
    /// Whether the wait is over; otherwise the time is a lower bound.
    pub is_over: bool,
}

/// Counters of one kind of bad event on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Tally {
    /// Bad events of the old version.
    pub old: u32,
    /// Bad events of the new version.
    pub new: u32,
    /// Runners of the new version with bad events, as a bit set of their numbers modulo 64.
    pub runners: u64,
    /// Logarithm of the likelihood ratio for each hypothesis in [`RATIOS`].
    pub logs: [f64; RATIOS.len()],
}

impl Tally {
    fn record(&mut self, choice: Choice, runner: u64) {
        if !choice.is_random() {
            return;
        }
        let share = choice.share.fraction();
        if choice.new {
            self.new += 1;
            self.runners |= runner_bit(runner);
        } else {
            self.old += 1;
        }
        let likelihood = |ratio: f64| {
            let new = share * ratio / (1.0 - share + share * ratio);
            if choice.new { new } else { 1.0 - new }
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

/// Statistics of the old version's latencies: moments of the logarithm of the seconds, and a histogram.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LatencyStats {
    count: f64,
    sum: f64,
    squares: f64,
    buckets: [u32; BUCKETS],
}

impl LatencyStats {
    fn record(&mut self, latency: Duration) {
        if self.count >= MAX_LATENCIES {
            *self = LatencyStats {
                count: self.count / 2.0,
                sum: self.sum / 2.0,
                squares: self.squares / 2.0,
                buckets: self.buckets.map(|count| count / 2),
            };
        }
        let bucket = (latency.as_secs_f64() / FIRST_BUCKET).log(BUCKET_RATIO);
        self.buckets[(bucket as usize).min(BUCKETS - 1)] += 1;
        let log = latency.as_secs_f64().max(1e-6).ln();
        self.count += 1.0;
        self.sum += log;
        self.squares += log * log;
    }

    fn add(&mut self, other: &LatencyStats) {
        self.count += other.count;
        self.sum += other.sum;
        self.squares += other.squares;
        self.buckets.iter_mut().zip(other.buckets).for_each(|(a, b)| *a = a.saturating_add(b));
    }

    /// Returns the median in seconds, interpolated within its bucket.
    fn median(&self) -> f64 {
        let half = self.buckets.iter().map(|count| f64::from(*count)).sum::<f64>() / 2.0;
        let mut below = 0.0;
        for (bucket, count) in self.buckets.into_iter().map(f64::from).enumerate() {
            if count > 0.0 && below + count >= half {
                let position = bucket as f64 + (half - below) / count;
                return FIRST_BUCKET * BUCKET_RATIO.powf(position);
            }
            below += count;
        }
        f64::INFINITY
    }

    /// Returns whether `latency` is significantly above the old version's. The bound depends on
    /// earlier requests only, so it is unbiased for a request of either version.
    fn is_exceeded_by(&self, latency: Duration) -> bool {
        let mean = self.sum / self.count;
        let deviation = (self.squares / self.count - mean * mean).max(0.0).sqrt();
        let bound = (mean + DEVIATIONS * deviation).exp() * SLACK;
        let bound = bound.min(self.median() * MEDIAN_RATIO);
        self.is_sufficient() && latency.as_secs_f64() > bound
    }

    /// Returns whether there are enough latencies for a bound.
    fn is_sufficient(&self) -> bool {
        self.count >= MIN_LATENCIES
    }
}

/// Counters of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Requests that ended on the old version.
    pub old: u32,
    /// Requests that ended on the new version.
    pub new: u32,
    /// Requests among `old` that could have been assigned to the new version.
    pub control: u32,
    /// Requests, of those of the old version that could have been assigned to the new one and of the new
    /// one, whose first token came or is late; they may not have ended.
    pub judged: [u32; 2],
    /// Runners of the new version, as a bit set like [`Tally::runners`].
    pub runners: u64,
    /// Accounts served by the new version, as a bit set like [`Tally::runners`].
    pub accounts: u64,
    /// Failures, late first tokens, low token rates and lost responses.
    pub bad: [Tally; METRICS],
    /// The old version's times to the first token, and times between tokens.
    pub usual: [LatencyStats; 2],
}

impl Counts {
    /// Returns the numbers of requests that could have had a bad event of a kind: those of the old version
    /// that could have been assigned to the new one, and those of the new one.
    pub fn compared(&self, metric: usize) -> [u32; 2] {
        match metric {
            SLOW_FIRST => self.judged,
            _ => [self.control, self.new],
        }
    }

    /// Adds another node's or route's counters.
    pub fn add(&mut self, other: &Counts) {
        self.old += other.old;
        self.new += other.new;
        self.control += other.control;
        self.judged.iter_mut().zip(other.judged).for_each(|(a, b)| *a += b);
        self.runners |= other.runners;
        self.accounts |= other.accounts;
        self.bad.iter_mut().zip(&other.bad).for_each(|(a, b)| a.add(b));
        self.usual.iter_mut().zip(&other.usual).for_each(|(a, b)| a.add(b));
    }
}

/// One node's counters for one move. Of two from the same node, the one with the higher sequence
/// number is valid.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Evidence {
    /// Sequence number; increases with each change.
    pub sequence: u64,
    /// By route.
    pub routes: BTreeMap<CompactString, Counts>,
    /// Requests of the new version with bad events other than a lost response.
    pub bad: u32,
}

impl Evidence {
    /// Returns whether the counters of a peer are within their limits.
    fn is_valid(&self) -> bool {
        let finite = |t: &Tally| t.logs.iter().all(|l| l.is_finite());
        self.routes.len() <= MAX_ROUTES + 1
            && self.routes.values().all(|c| c.bad.iter().all(finite))
    }
}

/// Aggregates this node's samples.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    evidence: Evidence,
}

impl Collector {
    /// Records a request that ended. `pooled` is the evidence of all nodes, because a route with
    /// little traffic has too few latencies on one node.
    pub fn observe(&mut self, sample: &Sample<'_>, pooled: &BTreeMap<CompactString, Counts>) {
        let &Sample { choice, route, runner, .. } = sample;
        let is_slow = sample.first.is_some_and(|time| {
            let wait = Wait { choice, route, runner, time, is_over: true };
            let is_slow = self.judge_wait(&wait, pooled);
            self.observe_wait(&wait);
            is_slow.unwrap_or_else(|| {
                self.count_wait(&wait, false);
                false
            })
        });
        self.observe_end(sample, is_slow, pooled);
    }

    /// Records the time of a wait that is over, as the old version's are what others are compared with.
    pub fn observe_wait(&mut self, wait: &Wait<'_>) {
        if !wait.choice.new {
            let route = self.route(wait.route);
            self.evidence.routes.entry(route).or_default().usual[0].record(wait.time);
            self.evidence.sequence += 1;
        }
    }

    /// Judges the wait of a request for its first token, if that is over or has been too long, and counts
    /// the result; returns whether it has been too long. `None` if that is not known yet; a request must
    /// not be judged again otherwise.
    pub fn judge_wait(
        &mut self,
        wait: &Wait<'_>,
        pooled: &BTreeMap<CompactString, Counts>,
    ) -> Option<bool> {
        let usual = pooled.get(&self.route(wait.route)).map(|counts| counts.usual[0]);
        let usual = usual.filter(LatencyStats::is_sufficient)?;
        let is_slow = usual.is_exceeded_by(wait.time);
        if !wait.is_over && !is_slow {
            return None;
        }
        self.count_wait(wait, is_slow);
        Some(is_slow)
    }

    fn count_wait(&mut self, wait: &Wait<'_>, is_slow: bool) {
        let route = self.route(wait.route);
        let counts = self.evidence.routes.entry(route).or_default();
        if wait.choice.new {
            counts.judged[1] += 1;
            counts.runners |= runner_bit(wait.runner);
            self.evidence.bad += u32::from(is_slow);
        } else {
            counts.judged[0] += u32::from(wait.choice.is_random());
        }
        if is_slow {
            counts.bad[SLOW_FIRST].record(wait.choice, wait.runner);
        }
        self.evidence.sequence += 1;
    }

    /// Records the end of a request whose wait has been recorded. `is_bad` is whether it was too long.
    pub fn observe_end(
        &mut self,
        sample: &Sample<'_>,
        is_bad: bool,
        pooled: &BTreeMap<CompactString, Counts>,
    ) {
        let route = self.route(sample.route);
        let usual = pooled.get(&route).map(|counts| counts.usual[1]);
        let is_slow = |pace| usual.is_some_and(|usual| usual.is_exceeded_by(pace));
        let is_slow = sample.pace.is_some_and(is_slow);
        let counts = self.evidence.routes.entry(route).or_default();
        if sample.choice.new {
            counts.new += 1;
            counts.runners |= runner_bit(sample.runner);
            counts.accounts |= 1 << (sample.account % 64);
        } else {
            counts.old += 1;
            counts.control += u32::from(sample.choice.is_random());
            sample.pace.into_iter().for_each(|pace| counts.usual[1].record(pace));
        }
        let is_lost = sample.response == Response::Lost;
        let bad = [sample.response == Response::Failure, false, is_slow, is_lost];
        let is_new_bad = sample.choice.new && !is_bad && !is_lost && bad.contains(&true);
        self.evidence.bad += u32::from(is_new_bad);
        let tallies = counts.bad.iter_mut().zip(bad).filter(|(_, bad)| *bad);
        tallies.for_each(|(tally, _)| tally.record(sample.choice, sample.runner));
        self.evidence.sequence += 1;
    }

    /// Returns the route that a request is counted for.
    fn route(&self, route: &str) -> CompactString {
        let routes = &self.evidence.routes;
        let is_separate = routes.contains_key(route) || routes.len() < MAX_ROUTES;
        CompactString::from(if is_separate { route } else { OTHER })
    }

    /// Resets the counters for a new move; keeps the latency statistics.
    pub fn reset(&mut self) {
        for counts in self.evidence.routes.values_mut() {
            *counts = Counts { usual: counts.usual, ..Counts::default() };
        }
        self.evidence.bad = 0;
    }

    /// Returns the counters.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }
}

/// Returns a runner's bit in [`Tally::runners`].
fn runner_bit(runner: u64) -> u64 {
    1 << (runner % 64)
}

/// All nodes' counters for one move.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PooledEvidence {
    nodes: BTreeMap<Incarnation, Evidence>,
    changed: bool,
}

impl PooledEvidence {
    /// Merges a node's counters unless newer ones of that node are known. Idempotent and
    /// independent of the order of messages.
    pub fn merge(&mut self, node: Incarnation, evidence: &Evidence) {
        let has_room = self.nodes.len() < MAX_NODES || self.nodes.contains_key(&node);
        if !has_room || !evidence.is_valid() {
            return;
        }
        let known = self.nodes.entry(node).or_default();
        if evidence.sequence > known.sequence {
            *known = evidence.clone();
            self.changed = true;
        }
    }

    /// Returns the counters by process.
    pub fn nodes(&self) -> impl Iterator<Item = (Incarnation, &Evidence)> {
        self.nodes.iter().map(|(node, evidence)| (*node, evidence))
    }

    /// Returns the number of requests of the new version with bad events.
    pub fn bad(&self) -> u32 {
        self.nodes.values().map(|evidence| evidence.bad).sum()
    }

    /// Returns the sum over nodes by route, if it changed since the last call.
    pub fn take_changed(&mut self) -> Option<BTreeMap<CompactString, Counts>> {
        std::mem::take(&mut self.changed).then(|| self.routes())
    }

    /// Returns the sum over nodes by route.
    pub fn routes(&self) -> BTreeMap<CompactString, Counts> {
        let mut sum: BTreeMap<CompactString, Counts> = BTreeMap::new();
        for (route, counts) in self.nodes.values().flat_map(|e| &e.routes) {
            sum.entry(route.clone()).or_default().add(counts);
        }
        sum
    }
}
