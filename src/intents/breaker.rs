//! Circuit breaker for the table service.

use {std::time::Duration, tokio::time::Instant};

/// Consecutive failures that open the breaker. A single lost reply is no outage.
const FAILURE_THRESHOLD: u32 = 3;

/// A circuit breaker: open while the table fails, except for one probe per interval.
///
/// Without it every call during an outage would wait for its own timeout before its caller learns
/// that the call was not run.
#[derive(Debug)]
pub(super) struct CircuitBreaker {
    probe_interval: Duration,
    failures: u32,
    /// Time of the next probe while the breaker is open.
    open: Option<Instant>,
}

impl CircuitBreaker {
    pub(super) fn new(probe_interval: Duration) -> CircuitBreaker {
        CircuitBreaker { probe_interval, failures: 0, open: None }
    }

    /// Returns whether a write may be sent now. While open, allows one per probe interval.
    pub(super) fn allow(&mut self, now: Instant) -> bool {
        match self.open {
            None => true,
            Some(next) if now < next => false,
            Some(_) => {
                self.open = Some(now + self.probe_interval);
                true
            }
        }
    }

    /// Returns whether the table failed recently.
    pub(super) fn is_open(&self) -> bool {
        self.open.is_some()
    }

    pub(super) fn record_success(&mut self) {
        self.failures = 0;
        self.open = None;
    }

    /// Counts a failure; a single commit that timed out opens the breaker. Returns whether the
    /// breaker is open.
    pub(super) fn record_failure(&mut self, now: Instant, timed_out: bool) -> bool {
        self.failures += 1;
        if timed_out || self.failures >= FAILURE_THRESHOLD {
            self.open = Some(now + self.probe_interval);
        }
        self.is_open()
    }
}
