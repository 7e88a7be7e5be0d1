//! Observed prefill rate of a service.

use std::time::Duration;

/// Shortest prefill time per token observed on a service's engines; a lower bound for any engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillRate {
    /// Seconds per prompt token, including queueing; `None` before the first observation.
    seconds_per_token: Option<f64>,
}

impl PrefillRate {
    /// Records the time from the arrival of a prompt to its first event.
    pub fn observe(&mut self, tokens: u32, took: Duration) {
        if tokens > 0 {
            let seconds_per_token = took.as_secs_f64() / f64::from(tokens);
            self.seconds_per_token = Some(
                self.seconds_per_token
                    .map_or(seconds_per_token, |best| best.min(seconds_per_token)),
            );
        }
    }

    /// Returns the number of tokens that are prefilled within `time`; 0 before the first observation.
    pub fn tokens_within(&self, time: Duration) -> u32 {
        self.seconds_per_token.map_or(0, |seconds| (time.as_secs_f64() / seconds) as u32)
    }

    /// Returns whether prefilling the prompt takes longer than `left`; false before the first
    /// observation.
    pub fn exceeds(&self, tokens: u32, left: Duration) -> bool {
        self.seconds_per_token.is_some_and(|seconds_per_token| {
            left.as_secs_f64() < seconds_per_token * f64::from(tokens)
        })
    }
}
