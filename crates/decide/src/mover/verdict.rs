//! Sequential test of whether the new version is worse than the old one.
//!
//! Every node evaluates the evidence several times per second, so a fixed-size test would sooner or
//! later reject any good version (Johari et al. 2017, "Peeking at A/B tests"). The running
//! likelihood ratios of [`super::evidence`] are non-negative supermartingales as long as the
//! version is no worse, as in Wald's sequential test (1945). By Ville's inequality (1939; Robbins
//! 1970), the probability that their mean over several hypotheses ever exceeds `1/a` during a move
//! is at most
//! `a`. To detect versions that turn bad later, a new ratio starts at each of [`EPOCHS`] times, and
//! the mean is taken over these starts too. This costs a constant factor of detection speed and
//! keeps the bound valid. The permitted probability is divided equally among routes, kinds of bad
//! event and nodes.

use {
    super::{
        evidence::{Counts, MAX_ROUTES, METRICS, RATIOS},
        standing::Cause,
    },
    compact_str::CompactString,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Probability that a good version is rolled back because of its evidence, over a whole move.
pub const FALSE_ALARM: f64 = 0.01;
/// Number of times at which a new ratio starts.
pub const EPOCHS: u32 = 64;
/// Weight of the ratio that starts with the move.
const INITIAL_WEIGHT: f64 = 0.25;
/// Number of tested cells: for each kind of bad event, the routes, [`super::evidence::OTHER`] and
/// the total.
const CELLS: f64 = ((MAX_ROUTES + 2) * METRICS) as f64;

/// Score at which a version becomes suspect: bad events less the credit of good ones.
const SUSPECT_SCORE: f64 = 4.0;
/// Fraction of a bad event that a good request compensates, by kind. On a good version, failures
/// are rare, while a few percent of the requests are late or slow.
const GOOD_CREDIT: [f64; METRICS] = [0.1, 0.25, 0.25, 0.1];
/// Score at which a suspicion is cleared by good requests on the same route.
const CLEARED_SCORE: f64 = 1.0;
/// Duration of the first suspicion; each further one is twice as long, up to [`MAX_SUSPICION`].
const MIN_SUSPICION: Duration = Duration::from_secs(10);
/// Maximum duration of a suspicion.
const MAX_SUSPICION: Duration = Duration::from_secs(160);

/// Causes by kind of bad event.
pub const CAUSES: [Cause; METRICS] =
    [Cause::Failing, Cause::SlowFirst, Cause::SlowPace, Cause::Lost];

/// Test of one kind of bad event on one route.
#[derive(Clone, Debug)]
struct Cell {
    /// Log-likelihood ratios of the last evaluation.
    logs: [f64; RATIOS.len()],
    /// Logarithm of the weighted sum of the ratios over all starts, for each hypothesis.
    ratios: [f64; RATIOS.len()],
    /// Bad events and requests of the new version at the last evaluation.
    seen: [u32; 2],
    score: f64,
    is_suspect: bool,
}

impl Cell {
    /// Creates a cell; `weight` is the total weight of the starts so far.
    fn new(weight: f64) -> Cell {
        Cell {
            logs: [0.0; 4],
            ratios: [weight.ln(); 4],
            seen: [0; 2],
            score: 0.0,
            is_suspect: false,
        }
    }

    fn update(&mut self, counts: &Counts, metric: usize) {
        let tally = &counts.bad[metric];
        for (k, log) in tally.logs.into_iter().enumerate() {
            self.ratios[k] += log - self.logs[k];
        }
        self.logs = tally.logs;
        let bad = f64::from(tally.new.saturating_sub(self.seen[0]));
        let [_, new] = counts.compared(metric);
        let all = f64::from(new.saturating_sub(self.seen[1]));
        self.seen = [tally.new, new];
        self.score = (self.score + bad - GOOD_CREDIT[metric] * (all - bad).max(0.0)).max(0.0);
        self.is_suspect =
            self.score >= SUSPECT_SCORE || self.is_suspect && self.score > CLEARED_SCORE;
    }

    /// Returns the logarithm of the mean ratio.
    fn log_mean(&self) -> f64 {
        let top = self.ratios.into_iter().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = self.ratios.iter().map(|r| (r - top).exp()).sum();
        top + (sum / RATIOS.len() as f64).ln()
    }
}

/// Evidence that the new version is worse.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Kind of bad event.
    pub cause: Cause,
    /// Route; empty for the total of all routes.
    pub route: CompactString,
}

/// Sequential test for one move.
#[derive(Clone, Debug)]
pub struct SequentialTest {
    started: Instant,
    epoch: u32,
    epoch_length: Duration,
    /// By route and kind of bad event.
    cells: BTreeMap<(CompactString, usize), Cell>,
    suspect_until: Option<Instant>,
    /// Duration of the next suspicion.
    next_suspicion: Duration,
}

impl SequentialTest {
    /// Creates a test for a move that started at `now` and has `time` until its deadline.
    pub fn new(now: Instant, time: Duration) -> SequentialTest {
        let epoch_length = (time / EPOCHS).max(Duration::from_secs(1));
        SequentialTest {
            started: now,
            epoch: 0,
            epoch_length,
            cells: BTreeMap::new(),
            suspect_until: None,
            next_suspicion: MIN_SUSPICION,
        }
    }

    /// Evaluates the evidence by route, as one of `nodes` nodes that do so.
    pub fn evaluate(
        &mut self,
        now: Instant,
        routes: &BTreeMap<CompactString, Counts>,
        nodes: usize,
    ) -> Option<Finding> {
        self.start_ratios(now);
        let mut total = Counts::default();
        routes.values().for_each(|c| total.add(c));
        let all = (CompactString::default(), total);
        let bound = (CELLS * nodes.max(1) as f64 / FALSE_ALARM).ln();
        let weight = self.weight();
        let mut finding = None;
        let mut is_suspect = false;
        for (route, counts) in routes.iter().map(|(r, c)| (r.clone(), *c)).chain([all]) {
            for (metric, cause) in CAUSES.into_iter().enumerate() {
                let key = (route.clone(), metric);
                let cell = self.cells.entry(key).or_insert_with(|| Cell::new(weight));
                cell.update(&counts, metric);
                is_suspect |= cell.is_suspect;
                if cell.log_mean() >= bound && affects_several_runners(&counts, metric) {
                    finding = finding.or(Some(Finding { cause, route: route.clone() }));
                }
            }
        }
        if is_suspect {
            self.suspect(now);
        }
        finding
    }

    /// Starts or extends a suspicion.
    ///
    /// A version that is only bad under load recovers at the smaller share. With suspicions of
    /// constant duration, it would receive the full load again every few seconds, for the rest of
    /// the move.
    fn suspect(&mut self, now: Instant) {
        match self.suspect_until {
            Some(until) if now < until => self.suspect_until = Some(until.max(now + MIN_SUSPICION)),
            _ => {
                self.suspect_until = Some(now + self.next_suspicion);
                self.next_suspicion = (self.next_suspicion * 2).min(MAX_SUSPICION);
            }
        }
    }

    /// Returns whether the new version appears bad, but without sufficient evidence yet. It then
    /// receives a smaller share, at which the old version serves enough requests for a comparison.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }

    fn start_ratios(&mut self, now: Instant) {
        let due = (now - self.started).div_duration_f64(self.epoch_length) as u32;
        while self.epoch < due.min(EPOCHS - 1) {
            self.epoch += 1;
            let weight = later_weight();
            for ratio in self.cells.values_mut().flat_map(|c| &mut c.ratios) {
                *ratio = (ratio.exp() + weight).ln();
            }
        }
    }

    fn weight(&self) -> f64 {
        INITIAL_WEIGHT + f64::from(self.epoch) * later_weight()
    }
}

fn later_weight() -> f64 {
    (1.0 - INITIAL_WEIGHT) / f64::from(EPOCHS - 1)
}

/// Returns whether the bad events come from at least two runners, or there is only one. A single
/// failed or slow runner causes bad events on its own version only, which would otherwise look like
/// a bad version.
fn affects_several_runners(counts: &Counts, metric: usize) -> bool {
    counts.bad[metric].runners.count_ones() >= 2 || counts.runners.count_ones() <= 1
}
