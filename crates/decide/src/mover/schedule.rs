//! When a move takes its steps, worked out backwards from the deadline.

use {
    super::units::{Millis, Share},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A result whose error is [`DeadlineTooClose`].
pub type Result<T> = std::result::Result<T, DeadlineTooClose>;

/// Requests of the new version that a step wants to have seen end.
pub const NEED: u32 = 24;
/// Shortest stay at a step: a few exchanges of evidence between nodes.
pub const MIN_HOLD: Duration = Duration::from_secs(10);
/// Shortest stay at the last step, for faults that only show after a while.
pub const MIN_SOAK: Duration = Duration::from_secs(30);
/// Least time left between the planned settling and the deadline.
const MIN_MARGIN: Duration = Duration::from_secs(10);

/// Smallest and largest first share. Below the first, the evidence takes hours; above the second, a
/// version that is bad from the start hurts too many.
const FIRST: [u16; 2] = [100, 1_000];
/// Shares after the first. The last leaves the old version enough to be compared with.
const LADDER: [u16; 4] = [500, 2_000, 5_000, 9_000];
/// Part of the whole time in which the first step should gather its evidence.
const FIRST_PART: f64 = 0.25;
/// Part of the whole time that is kept for the soak, if longer than [`MIN_SOAK`].
const SOAK_PART: f64 = 0.10;
/// Part of the whole time that is kept in reserve, if longer than the least margin.
const MARGIN_PART: f64 = 0.05;
/// How spare time that is to be spent is shared: first step, then the others, then the soak.
const SPREAD: [f64; 2] = [0.6, 0.2];

/// What an operator cares for; only the proportions count.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Being done by the deadline: half of the spare time is kept in reserve.
    pub on_time: f64,
    /// Finding bad versions: spare time is spent at small shares and in the soak.
    pub take_back: f64,
    /// Runners of two versions side by side: spare time is not used at all.
    pub extra_use: f64,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights { on_time: 1.0, take_back: 1.0, extra_use: 1.0 }
    }
}

impl Weights {
    /// Part of the spare time that the steps may use.
    fn spend(&self) -> f64 {
        part(self.take_back + self.on_time / 2.0, self.on_time / 2.0 + self.extra_use)
    }

    /// Part of the evidence that a step insists on when the time is running out.
    pub fn insist(&self) -> f64 {
        part(self.take_back, self.on_time)
    }
}

fn part(of: f64, rest: f64) -> f64 {
    let whole = of + rest;
    if whole > 0.0 { (of / whole).clamp(0.0, 1.0) } else { 0.5 }
}

/// A planned step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Share of the new version.
    pub share: Share,
    /// Planned stay, in milliseconds.
    pub hold: Millis,
    /// Shortest stay in which its evidence can be expected, in milliseconds.
    pub least: Millis,
    /// Requests of the new version to be seen in it.
    pub need: u32,
}

/// The deadline is too close for the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the evidence takes {} s", earliest.as_secs())]
pub struct DeadlineTooClose {
    /// Shortest time from now that would do.
    pub earliest: Duration,
}

/// Plans the steps of a move that has `time` until its deadline, for an entry with `rate` requests a
/// second. With `force`, steps are shortened to fit where they would be too long.
pub fn plan(time: Duration, rate: f64, weights: &Weights, force: bool) -> Result<Vec<Step>> {
    let whole = time.as_secs_f64();
    let rate = rate.max(1e-3);
    let shares = shares(whole, rate);
    let soak = MIN_SOAK.as_secs_f64().max(whole * SOAK_PART);
    let margin = MIN_MARGIN.as_secs_f64().max(whole * MARGIN_PART);
    let mut holds: Vec<f64> = shares.iter().map(|s| least(*s, rate)).collect();
    let last = holds.len() - 1;
    holds[last] = holds[last].max(soak);
    let used = holds.iter().sum::<f64>() + margin;
    let spare = whole - used;
    let short = holds.clone();
    if spare < 0.0 && !force {
        return Err(DeadlineTooClose { earliest: earliest(rate, weights) });
    }
    if spare < 0.0 {
        let shrink = whole / used;
        holds.iter_mut().for_each(|h| *h *= shrink);
    } else {
        spread(&mut holds, spare * weights.spend());
    }
    let need = if spare < 0.0 { 1 } else { NEED };
    let millis = |seconds: f64| (seconds * 1e3) as Millis;
    let step = |((share, hold), least): ((Share, f64), f64)| Step {
        share,
        hold: millis(hold),
        least: millis(least.min(hold)),
        need,
    };
    Ok(shares.into_iter().zip(holds).zip(short).map(step).collect())
}

/// The shortest time in which a move can be done well, to within a tenth.
fn earliest(rate: f64, weights: &Weights) -> Duration {
    let mut time = MIN_SOAK;
    while plan(time, rate, weights, true).is_ok_and(|steps| steps[0].need < NEED) {
        time = time.mul_f64(1.1);
    }
    time
}

fn shares(whole: f64, rate: f64) -> Vec<Share> {
    let wanted = f64::from(NEED) / (rate * whole * FIRST_PART).max(1e-9) * 1e4;
    let first = (wanted.ceil() as u16).clamp(FIRST[0], FIRST[1]);
    let rest = LADDER.into_iter().filter(|s| *s > first);
    std::iter::once(first).chain(rest).map(Share).collect()
}

/// Shortest stay at a share, in seconds.
fn least(share: Share, rate: f64) -> f64 {
    MIN_HOLD.as_secs_f64().max(f64::from(NEED) / (rate * share.fraction()))
}

fn spread(holds: &mut [f64], spare: f64) {
    let last = holds.len() - 1;
    let middle = holds.len().saturating_sub(2).max(1) as f64;
    for (i, hold) in holds.iter_mut().enumerate() {
        *hold += spare
            * match i {
                0 => SPREAD[0],
                i if i == last => 1.0 - SPREAD[0] - SPREAD[1],
                _ => SPREAD[1] / middle,
            };
    }
}

/// Shortest time, in milliseconds, that the steps after `step` still take with their evidence.
pub fn rest(steps: &[Step], step: usize) -> Millis {
    let after: Millis = steps.iter().skip(step + 1).map(|s| s.least).sum();
    after + MIN_MARGIN.as_millis() as Millis
}
