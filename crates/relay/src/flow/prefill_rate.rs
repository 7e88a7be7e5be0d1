//! Observed prefill rate per service.

use std::time::Duration;

/// Best prefill time per token seen on a service's engines: a lower bound for any engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillRate {
    /// Seconds per prompt token, queueing included.
    seconds_per_token: Option<f64>,
}

impl PrefillRate {
    /// Records the time from arrival to the first event.
    pub fn observe(&mut self, tokens: u32, took: Duration) {
        if tokens > 0 {
            let seconds_per_token = took.as_secs_f64() / f64::from(tokens);
            self.seconds_per_token = Some(
                self.seconds_per_token
                    .map_or(seconds_per_token, |best| best.min(seconds_per_token)),
            );
        }
    }

    /// Whether a prompt cannot be prefilled in `left`; false before the first observation.
    pub fn exceeds(&self, tokens: u32, left: Duration) -> bool {
        self.seconds_per_token.is_some_and(|seconds_per_token| {
            left.as_secs_f64() < seconds_per_token * f64::from(tokens)
        })
    }
}
