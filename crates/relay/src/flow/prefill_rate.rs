//! Observed prefill rate per service.

use std::time::Duration;

/// Best prefill time per token seen on a service's engines: a lower bound for any engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillRate {
    /// Seconds per prompt token, queueing included.
    read: Option<f64>,
}

impl PrefillRate {
    /// Records the time from arrival to the first event.
    pub fn observe(&mut self, tokens: u32, took: Duration) {
        if tokens > 0 {
            let read = took.as_secs_f64() / f64::from(tokens);
            self.read = Some(self.read.map_or(read, |best| best.min(read)));
        }
    }

    /// Whether a prompt cannot be prefilled in `left`; false before the first observation.
    pub fn exceeds(&self, tokens: u32, left: Duration) -> bool {
        self.read.is_some_and(|read| left.as_secs_f64() < read * f64::from(tokens))
    }
}
