//! The fixed ramp, for comparison: four steps of equal duration, with a check of the totals every
//! 30 s.

use {
    crate::{
        load::{Request, Scene},
        table::Outcome,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

const SHARES: [f64; 4] = [0.1, 0.25, 0.5, 1.0];
const CHECK_INTERVAL_S: f64 = 30.0;
const STEP_S: f64 = 0.1;

#[derive(Default)]
struct Totals {
    ended: f64,
    failed: f64,
    first: f64,
    pace: f64,
}

impl Totals {
    fn add(&mut self, request: &Request) {
        self.ended += 1.0;
        self.failed += f64::from(u8::from(!request.ok));
        self.first += request.first;
        self.pace += request.pace;
    }

    /// Returns whether more than 5% of the requests fail, or a mean latency is more than twice the
    /// old version's.
    fn is_worse(&self, old: &Totals) -> bool {
        let mean = |t: &Totals| [t.first / t.ended, t.pace / t.ended];
        let slow = mean(self).into_iter().zip(mean(old)).any(|(new, old)| new > 2.0 * old);
        self.ended >= 20.0 && (self.failed / self.ended > 0.05 || slow)
    }
}

/// Runs the fixed ramp with the same kind of requests.
pub(crate) fn run(scene: &Scene) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(scene.seed);
    let mut outcome = Outcome::new(scene);
    let mut totals = [Totals::default(), Totals::default()];
    let mut in_progress: Vec<(bool, Request)> = Vec::new();
    let mut next_check = CHECK_INTERVAL_S;
    for tick in 0.. {
        let at = f64::from(tick) * STEP_S;
        let step = (at / (scene.site.time * 0.24)) as usize;
        let Some(share) = SHARES.get(step) else { break };
        for _ in 0..scene.arrivals(&mut rng, STEP_S) {
            let new = rng.random_bool(*share);
            let request = scene.request(&mut rng, at, new, *share);
            outcome.record(&request, new, at, None);
            in_progress.push((new, request));
        }
        for (new, request) in in_progress.extract_if(.., |(_, r)| r.end <= at) {
            totals[usize::from(new)].add(&request);
        }
        if at >= next_check {
            next_check += CHECK_INTERVAL_S;
            if totals[1].is_worse(&totals[0]) {
                outcome.rolled_back_at = Some(at);
                return outcome;
            }
        }
    }
    outcome.settled_at = Some(scene.site.time * 0.96);
    outcome
}
