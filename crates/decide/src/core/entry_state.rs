//! Per-entry state of the core: queue, retry budget and mean request duration.

use {
    crate::{budget::Budget, queue::Queue},
    std::time::Duration,
};

/// Weight of the newest request in the exponential moving average of durations.
const NEWEST_WEIGHT: f64 = 0.125;

/// State of one entry at this node.
#[derive(Debug, Default)]
pub(crate) struct EntryState {
    /// Waiting requests.
    pub(crate) queue: Queue,
    /// Retry budget.
    pub(crate) budget: Budget,
    /// Exponential moving average of the durations of requests at their runner, in seconds. Includes
    /// only requests that completed successfully.
    mean_secs: Option<f64>,
}

impl EntryState {
    /// Returns the number of waiting requests, including retries, which [`Queue::len`] excludes.
    pub(crate) fn waiting(&self) -> usize {
        self.queue.retries.len() + self.queue.len()
    }

    /// Records a request that completed successfully after `took`.
    pub(crate) fn record_success(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.mean_secs = Some(self.mean_secs.map_or(took, |m| m + (took - m) * NEWEST_WEIGHT));
        self.budget.record_success();
    }

    /// Returns the expected time until `count` requests have ended while `running` run: by Little's
    /// law they end at a rate of `running` divided by the mean duration. Returns `None` before the
    /// first request has completed successfully.
    pub(crate) fn time_to_finish(&self, count: usize, running: u32) -> Option<Duration> {
        let rate = f64::from(running.max(1)) / self.mean_secs?;
        Some(Duration::from_secs_f64(count as f64 / rate))
    }
}
