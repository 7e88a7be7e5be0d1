//! Schedule of a move's steps, planned so that the move settles before its deadline.

use {
    super::units::{Millis, Share},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A result whose error is [`DeadlineTooClose`].
pub type Result<T> = std::result::Result<T, DeadlineTooClose>;

/// Requests of the new version that must have ended within each step.
pub const REQUESTS_PER_STEP: u32 = 24;
/// Minimum duration of a step: a few exchanges of evidence between nodes.
pub const MIN_HOLD: Duration = Duration::from_secs(10);
/// Minimum duration of the last step, for faults that only appear after some time.
pub const MIN_SOAK: Duration = Duration::from_secs(30);
/// Minimum reserve between the planned settling and the deadline.
const MIN_MARGIN: Duration = Duration::from_secs(10);

/// Minimum and maximum first share. With a smaller one, the evidence would take hours; with a
/// larger one, a version that is bad from the start would affect too many requests.
const FIRST_SHARE_RANGE: [u16; 2] = [100, 1_000];
/// Shares after the first. The last one leaves the old version enough requests for a comparison.
const LATER_SHARES: [u16; 4] = [500, 2_000, 5_000, 9_000];
/// Fraction of the total time in which the first step should collect its evidence.
const FIRST_STEP_FRACTION: f64 = 0.25;
/// Fraction of the total time for the last step, if longer than [`MIN_SOAK`].
const SOAK_FRACTION: f64 = 0.10;
/// Fraction of the total time that is kept in reserve, if longer than [`MIN_MARGIN`].
const MARGIN_FRACTION: f64 = 0.05;
/// Fractions of the used spare time for the first step and for the middle steps together; the rest
/// is for the last step.
const SPARE_FRACTIONS: [f64; 2] = [0.6, 0.2];

/// An operator's priorities; only their proportions matter.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Meeting the deadline: half of the spare time is kept in reserve.
    pub on_time: f64,
    /// Detecting bad versions: the spare time is used for longer steps.
    pub take_back: f64,
    /// Not running two versions side by side for long: the spare time is not used.
    pub extra_use: f64,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights { on_time: 1.0, take_back: 1.0, extra_use: 1.0 }
    }
}

impl Weights {
    /// Returns the fraction of the spare time that the steps may use.
    fn spend_fraction(&self) -> f64 {
        fraction(self.take_back + self.on_time / 2.0, self.on_time / 2.0 + self.extra_use)
    }

    /// Returns the fraction of the evidence that a step requires when the time is running out.
    pub fn evidence_fraction(&self) -> f64 {
        fraction(self.take_back, self.on_time)
    }
}

fn fraction(of: f64, rest: f64) -> f64 {
    let sum = of + rest;
    if sum > 0.0 { (of / sum).clamp(0.0, 1.0) } else { 0.5 }
}

/// A planned step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Share of the new version.
    pub share: Share,
    /// Planned duration, in milliseconds.
    pub hold: Millis,
    /// Minimum duration in which its evidence can be expected, in milliseconds.
    pub least: Millis,
    /// Requests of the new version required.
    pub need: u32,
}

/// The deadline is too close to collect sufficient evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the deadline is too close: sufficient evidence takes {} s", earliest.as_secs())]
pub struct DeadlineTooClose {
    /// Shortest sufficient time from now.
    pub earliest: Duration,
}

/// Plans the steps of a move that has `time` until its deadline, for an entry with `rate` requests
/// per second. With `force`, steps are shortened to fit if the time is too short.
pub fn plan(time: Duration, rate: f64, weights: &Weights, force: bool) -> Result<Vec<Step>> {
    let total = time.as_secs_f64();
    let rate = rate.max(1e-3);
    let shares = shares(total, rate);
    let soak = MIN_SOAK.as_secs_f64().max(total * SOAK_FRACTION);
    let margin = MIN_MARGIN.as_secs_f64().max(total * MARGIN_FRACTION);
    let mut holds: Vec<f64> = shares.iter().map(|s| min_hold(*s, rate)).collect();
    let last = holds.len() - 1;
    holds[last] = holds[last].max(soak);
    let used = holds.iter().sum::<f64>() + margin;
    let spare = total - used;
    let min_holds = holds.clone();
    if spare < 0.0 && !force {
        return Err(DeadlineTooClose { earliest: earliest(rate, weights) });
    }
    if spare < 0.0 {
        let shrink = total / used;
        holds.iter_mut().for_each(|h| *h *= shrink);
    } else {
        distribute(&mut holds, spare * weights.spend_fraction());
    }
    let need = if spare < 0.0 { 1 } else { REQUESTS_PER_STEP };
    let millis = |seconds: f64| (seconds * 1e3) as Millis;
    let step = |((share, hold), least): ((Share, f64), f64)| Step {
        share,
        hold: millis(hold),
        least: millis(least.min(hold)),
        need,
    };
    Ok(shares.into_iter().zip(holds).zip(min_holds).map(step).collect())
}

/// Returns the shortest time in which every step can collect its evidence, to within 10%.
fn earliest(rate: f64, weights: &Weights) -> Duration {
    let mut time = MIN_SOAK;
    while plan(time, rate, weights, true).is_ok_and(|steps| steps[0].need < REQUESTS_PER_STEP) {
        time = time.mul_f64(1.1);
    }
    time
}

fn shares(total: f64, rate: f64) -> Vec<Share> {
    let wanted =
        f64::from(REQUESTS_PER_STEP) / (rate * total * FIRST_STEP_FRACTION).max(1e-9) * 1e4;
    let first = (wanted.ceil() as u16).clamp(FIRST_SHARE_RANGE[0], FIRST_SHARE_RANGE[1]);
    let rest = LATER_SHARES.into_iter().filter(|s| *s > first);
    std::iter::once(first).chain(rest).map(Share).collect()
}

/// Returns the minimum duration of a step, in seconds.
fn min_hold(share: Share, rate: f64) -> f64 {
    MIN_HOLD.as_secs_f64().max(f64::from(REQUESTS_PER_STEP) / (rate * share.fraction()))
}

fn distribute(holds: &mut [f64], spare: f64) {
    let last = holds.len() - 1;
    let middle = holds.len().saturating_sub(2).max(1) as f64;
    for (i, hold) in holds.iter_mut().enumerate() {
        *hold += spare
            * match i {
                0 => SPARE_FRACTIONS[0],
                i if i == last => 1.0 - SPARE_FRACTIONS[0] - SPARE_FRACTIONS[1],
                _ => SPARE_FRACTIONS[1] / middle,
            };
    }
}

/// Returns the minimum time for the steps after `step` and the reserve, in milliseconds.
pub fn min_remaining(steps: &[Step], step: usize) -> Millis {
    let after: Millis = steps.iter().skip(step + 1).map(|s| s.least).sum();
    after + MIN_MARGIN.as_millis() as Millis
}
