//! Comparison of the bad events of two versions once the requests to the new one have been paused, or
//! it is about to be completed.
//!
//! The sequential test looks at the evidence all the time and at bad events only. This one looks at the
//! end and compares proportions, so that it needs far less evidence, also if both versions have many
//! bad events.

use {
    bilberryfront_decide::mover::{
        Cause,
        evidence::{Counts, METRICS, Tally},
        verdict::CAUSES,
    },
    compact_str::CompactString,
    std::collections::BTreeMap,
};

/// Probability with which a version that is no worse has this many of the bad events, below which it is
/// rejected, by kind. Lost responses come in bursts, so that they are less independent.
const MAX_CHANCE: [f64; METRICS] = [1e-2, 1e-2, 1e-2, 1e-3];

/// Minimum share of good requests of a version that is completed, as a part of the old version's share.
const MIN_GOOD: f64 = 0.5;

/// Returns whether the requests of the new version speak for it: of each kind of bad event, it has not far
/// fewer requests without one than the old version. Too few requests for a significant difference are no
/// reason to complete a version that was mostly bad. Lost responses have too many other causes.
pub(super) fn is_favourable(routes: &BTreeMap<CompactString, Counts>) -> bool {
    let mut total = Counts::default();
    routes.values().for_each(|counts| total.add(counts));
    let is_favourable = |metric: usize| {
        let [control, all] = total.compared(metric).map(f64::from);
        let Tally { new, old, .. } = total.bad[metric];
        let (good, usual) = (all - f64::from(new), control - f64::from(old));
        good * control >= MIN_GOOD * usual * all
    };
    (0..METRICS).filter(|metric| CAUSES[*metric] != Cause::Lost).all(is_favourable)
}

/// Returns the kind of bad event and the route on which the new version is worse; the route is empty
/// for the total of all routes.
pub(super) fn find_worse(
    routes: &BTreeMap<CompactString, Counts>,
) -> Option<(Cause, CompactString)> {
    let mut total = Counts::default();
    routes.values().for_each(|counts| total.add(counts));
    let all = CompactString::default();
    let cells = routes
        .iter()
        .chain([(&all, &total)])
        .flat_map(|(route, counts)| (0..METRICS).map(move |metric| (route, counts, metric)));
    let worse = cells.into_iter().find(|(_, counts, metric)| is_worse(counts, *metric));
    worse.map(|(route, _, metric)| (CAUSES[metric], route.clone()))
}

/// Returns whether the new version has significantly more bad events of a kind than the old one.
fn is_worse(counts: &Counts, metric: usize) -> bool {
    let Tally { new, old, .. } = counts.bad[metric];
    let [control, all] = counts.compared(metric);
    chance([all, control], [new, old]) < MAX_CHANCE[metric]
}

/// Returns the probability that the first of two groups has at least its number of bad events if all bad
/// events are distributed among both at random (Fisher's exact test).
fn chance([first, second]: [u32; 2], bad: [u32; 2]) -> f64 {
    let all_bad = bad[0].saturating_add(bad[1]);
    // Logarithms of the relative probabilities of each number of bad events in the first group.
    let mut logs = Vec::new();
    let mut log = 0.0;
    for k in all_bad.saturating_sub(second)..=all_bad.min(first) {
        logs.push((k, log));
        let up = f64::from(first - k) * f64::from(all_bad - k);
        let down = f64::from(k + 1) * (f64::from(second) + f64::from(k + 1) - f64::from(all_bad));
        log += (up / down).ln();
    }
    let top = logs.iter().map(|(_, log)| *log).fold(f64::NEG_INFINITY, f64::max);
    let sum = |least: u32| -> f64 {
        logs.iter().filter(|(k, _)| *k >= least).map(|(_, log)| f64::exp(log - top)).sum()
    };
    sum(bad[0]) / sum(0)
}
