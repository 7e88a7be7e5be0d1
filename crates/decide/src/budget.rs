//! Retry budget: limits how many requests may be sent to another runner after one failed.
//!
//! There are two limits. The budget is a token bucket: each success adds a fifth of a retry, a low
//! rate is added over time, and the capacity is half the number of running requests plus a minimum.
//! A full bucket covers the loss of a whole failure domain, while a version that fails every
//! request empties it once and then gets the low rate only, so that retries can't multiply the
//! load. The pace, a second bucket, spreads the retries allowed by the budget over about a second,
//! so that load reports keep up and the remaining runners don't receive all retries and resumes at
//! once.

use {std::time::Duration, tokio::time::Instant};

/// Retries added to the budget per successful request.
const RETRIES_PER_SUCCESS: f64 = 0.2;
/// Capacity of the budget without running requests, in retries.
const MIN_CAPACITY: f64 = 10.0;
/// Additional capacity per running request, in retries.
const CAPACITY_PER_RUNNING: f64 = 0.5;
/// Time in which the refill rate alone fills the budget.
const FILL_SECS: f64 = 60.0;
/// Minimum refill rate.
const MIN_RETRIES_PER_SEC: f64 = 1.0;
/// Time over which the pace spreads a full budget.
const PACE_SECS: f64 = 1.0;
/// Fraction of a full budget that may be sent in one burst.
const BURST_RATIO: f64 = 0.25;
/// Factor applied to the refill rate and to the retries per success under overload.
const OVERLOAD_FACTOR: f64 = 0.5;

/// Retry budget of one entry at this node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    retries: f64,
    pace_tokens: f64,
    /// Capacity for `retries`.
    capacity: f64,
    is_overloaded: bool,
    refilled_at: Option<Instant>,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            retries: MIN_CAPACITY,
            pace_tokens: MIN_CAPACITY * BURST_RATIO,
            capacity: MIN_CAPACITY,
            is_overloaded: false,
            refilled_at: None,
        }
    }
}

impl Budget {
    /// Refills both buckets for the time since the last call. `running` is the number of requests
    /// admitted at this node.
    pub(crate) fn refill(&mut self, now: Instant, running: u32, is_overloaded: bool) {
        let elapsed_secs = self.refilled_at.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        let capacity = MIN_CAPACITY + CAPACITY_PER_RUNNING * f64::from(running);
        // The capacity follows the number of running requests; the fill ratio is kept.
        self.retries = self.retries * capacity / self.capacity;
        (self.refilled_at, self.capacity, self.is_overloaded) =
            (Some(now), capacity, is_overloaded);
        self.retries = (self.retries + elapsed_secs * self.refill_rate()).min(capacity);
        self.pace_tokens =
            (self.pace_tokens + elapsed_secs * self.pace_rate()).min(self.pace_capacity());
    }

    /// Adds the retries earned by a successful request.
    pub(crate) fn record_success(&mut self) {
        self.retries =
            (self.retries + RETRIES_PER_SUCCESS * self.overload_factor()).min(self.capacity);
    }

    /// Returns whether both budget and pace allow a retry now.
    pub(crate) fn can_retry(&self) -> bool {
        self.has_budget() && self.is_within_pace()
    }

    /// Returns whether the budget alone allows a retry now.
    pub(crate) fn has_budget(&self) -> bool {
        self.retries >= 1.0
    }

    /// Returns whether the pace alone allows a request now.
    pub(crate) fn is_within_pace(&self) -> bool {
        self.pace_tokens >= 1.0
    }

    /// Records a retry in budget and pace.
    pub(crate) fn consume_retry(&mut self) {
        self.retries -= 1.0;
        self.consume_pace();
    }

    /// Records a request that is limited by the pace only.
    pub(crate) fn consume_pace(&mut self) {
        self.pace_tokens -= 1.0;
    }

    /// Returns the expected wait of a retry behind `ahead` others.
    pub(crate) fn expected_wait(&self, ahead: usize) -> Duration {
        let needed = ahead as f64 + 1.0;
        let pace_secs = (needed - self.pace_tokens) / self.pace_rate();
        let budget_secs = (needed - self.retries) / self.refill_rate();
        Duration::from_secs_f64(pace_secs.max(budget_secs).max(0.0))
    }

    fn refill_rate(&self) -> f64 {
        (self.capacity / FILL_SECS).max(MIN_RETRIES_PER_SEC) * self.overload_factor()
    }

    fn pace_rate(&self) -> f64 {
        self.capacity / PACE_SECS
    }

    fn pace_capacity(&self) -> f64 {
        (self.capacity * BURST_RATIO).max(1.0)
    }

    fn overload_factor(&self) -> f64 {
        if self.is_overloaded { OVERLOAD_FACTOR } else { 1.0 }
    }
}
