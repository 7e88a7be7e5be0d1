//! Whether the evidence says that the new version is worse.
//!
//! Every node looks at the evidence many times a second, so a fixed-size test would find "worse"
//! sooner or later in any good version (Johari et al. 2017, "Peeking at A/B tests"). The running
//! likelihood ratios of [`super::evidence`] are non-negative supermartingales while the version is no
//! worse, as in Wald's sequential test (1945). By Ville's inequality (1939; Robbins 1970) their mean
//! over several claims exceeds `1/a` at any time of a whole move with a probability of at most `a`.
//! For versions that turn bad later, a new ratio starts at each of [`EPOCHS`] times, and the mean
//! is taken over the starts too: that costs a fixed factor and leaves the bound in force. Routes, kinds of bad event and nodes share
//! the permitted probability equally.

use {
    super::{
        evidence::{Counts, METRICS, RATIOS, ROUTES},
        standing::Cause,
    },
    compact_str::CompactString,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Probability that a good version is taken back for its evidence, in a whole move.
pub const FALSE_ALARM: f64 = 0.01;
/// Times at which a new ratio starts.
pub const EPOCHS: u32 = 64;
/// Weight of the ratio that starts with the move.
const FIRST_WEIGHT: f64 = 0.25;
/// Cells tested: routes, the one for further routes, and all together, for each kind of bad event.
const CELLS: f64 = ((ROUTES + 2) * METRICS) as f64;

/// Bad events, less the credit of good ones, that make a version suspect.
const SUSPECT: f64 = 4.0;
/// How much of a bad event a good one makes up for. Failures are rare in a good version; late and
/// slow requests are some in a hundred.
const GOOD_CREDIT: [f64; METRICS] = [0.1, 0.25, 0.25];
/// Score at which a suspicion is cleared, by good requests on the same route.
const CLEARED: f64 = 1.0;
/// Length of the first suspicion; each further one is twice as long, up to [`SUSPECT_MOST`].
const SUSPECT_HOLD: Duration = Duration::from_secs(10);
/// Longest suspicion.
const SUSPECT_MOST: Duration = Duration::from_secs(160);

const CAUSES: [Cause; METRICS] = [Cause::Failing, Cause::SlowFirst, Cause::SlowPace];

#[derive(Clone, Debug)]
struct Cell {
    logs: [f64; RATIOS.len()],
    ratios: [f64; RATIOS.len()],
    seen: [u32; 2],
    score: f64,
    suspect: bool,
}

impl Cell {
    /// A cell whose starting times so far have the sum of weights `weight`.
    fn new(weight: f64) -> Cell {
        Cell { logs: [0.0; 4], ratios: [weight.ln(); 4], seen: [0; 2], score: 0.0, suspect: false }
    }

    fn update(&mut self, counts: &Counts, metric: usize) {
        let tally = &counts.bad[metric];
        for (k, log) in tally.logs.into_iter().enumerate() {
            self.ratios[k] += log - self.logs[k];
        }
        self.logs = tally.logs;
        let bad = f64::from(tally.new.saturating_sub(self.seen[0]));
        let all = f64::from(counts.new.saturating_sub(self.seen[1]));
        self.seen = [tally.new, counts.new];
        self.score = (self.score + bad - GOOD_CREDIT[metric] * (all - bad).max(0.0)).max(0.0);
        self.suspect = self.score >= SUSPECT || self.suspect && self.score > CLEARED;
    }

    /// Logarithm of the mean ratio.
    fn value(&self) -> f64 {
        let top = self.ratios.into_iter().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = self.ratios.iter().map(|r| (r - top).exp()).sum();
        top + (sum / RATIOS.len() as f64).ln()
    }
}

/// What was found against a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Kind of bad event.
    pub cause: Cause,
    /// Route, or empty for all together.
    pub route: CompactString,
}

/// Judges one move.
#[derive(Clone, Debug)]
pub struct SequentialTest {
    began: Instant,
    epoch: u32,
    length: Duration,
    cells: BTreeMap<(CompactString, usize), Cell>,
    suspected: Option<Instant>,
    hold: Duration,
}

impl SequentialTest {
    /// A judge of a move that began at `now` and has `time` until its deadline.
    pub fn new(now: Instant, time: Duration) -> SequentialTest {
        let length = (time / EPOCHS).max(Duration::from_secs(1));
        SequentialTest {
            began: now,
            epoch: 0,
            length,
            cells: BTreeMap::new(),
            suspected: None,
            hold: SUSPECT_HOLD,
        }
    }

    /// Looks at the evidence by route, as one of `nodes` nodes that do so.
    pub fn evaluate(
        &mut self,
        now: Instant,
        routes: &BTreeMap<CompactString, Counts>,
        nodes: usize,
    ) -> Option<Finding> {
        self.restart(now);
        let mut total = Counts::default();
        routes.values().for_each(|c| total.add(c));
        let all = (CompactString::default(), total);
        let bound = (CELLS * nodes.max(1) as f64 / FALSE_ALARM).ln();
        let weight = self.weight();
        let mut found = None;
        let mut suspect = false;
        for (route, counts) in routes.iter().map(|(r, c)| (r.clone(), *c)).chain([all]) {
            for (metric, cause) in CAUSES.into_iter().enumerate() {
                let key = (route.clone(), metric);
                let cell = self.cells.entry(key).or_insert_with(|| Cell::new(weight));
                cell.update(&counts, metric);
                suspect |= cell.suspect;
                if cell.value() >= bound && is_broad(&counts, metric) {
                    found = found.or(Some(Finding { cause, route: route.clone() }));
                }
            }
        }
        if suspect {
            self.suspect(now);
        }
        found
    }

    /// Begins or goes on with a suspicion.
    ///
    /// A version that is bad under load only looks well again at the smaller share. With suspicions
    /// of one length it would get its load back every few seconds, for the rest of the move.
    fn suspect(&mut self, now: Instant) {
        match self.suspected {
            Some(until) if now < until => self.suspected = Some(until.max(now + SUSPECT_HOLD)),
            _ => {
                self.suspected = Some(now + self.hold);
                self.hold = (self.hold * 2).min(SUSPECT_MOST);
            }
        }
    }

    /// Whether the new version looks bad, without the proof yet: it then gets a smaller share, at
    /// which the old version's part of the requests is large enough to compare soon.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.suspected.is_some_and(|until| now < until)
    }

    fn restart(&mut self, now: Instant) {
        let due = (now - self.began).div_duration_f64(self.length) as u32;
        while self.epoch < due.min(EPOCHS - 1) {
            self.epoch += 1;
            let weight = later_weight();
            for ratio in self.cells.values_mut().flat_map(|c| &mut c.ratios) {
                *ratio = (ratio.exp() + weight).ln();
            }
        }
    }

    fn weight(&self) -> f64 {
        FIRST_WEIGHT + f64::from(self.epoch) * later_weight()
    }
}

fn later_weight() -> f64 {
    (1.0 - FIRST_WEIGHT) / f64::from(EPOCHS - 1)
}

/// A single runner that dies or limps gives bad events on its own version only, and would look like a
/// bad version. Bad events from two runners are needed, unless only one was ever seen.
fn is_broad(counts: &Counts, metric: usize) -> bool {
    counts.bad[metric].runners.count_ones() >= 2 || counts.runners.count_ones() <= 1
}
