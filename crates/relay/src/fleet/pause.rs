//! Runners that have rejected requests of this node with a `Retry-After`.

use {
    super::{Fleet, Runner, RunnerKey},
    std::time::Duration,
    tokio::time::Instant,
};

impl Fleet {
    /// Records that a runner rejects requests of this node for this time.
    pub fn pause(&self, key: RunnerKey, time: Duration) {
        let end = Instant::now() + time;
        if let Some(runner) = self.inner.borrow_mut().runners.get_mut(key) {
            runner.paused_until = runner.paused_until.max(Some(end));
        }
    }

    /// Returns the end of a runner's pause, unless it has passed.
    pub fn paused_until(&self, key: RunnerKey) -> Option<Instant> {
        let inner = self.inner.borrow();
        inner.runners.get(key)?.paused_until.filter(|end| Instant::now() < *end)
    }

    /// Returns the time until this node may send to any runner of a service, if only pauses and
    /// rate limits prevent it now.
    pub fn time_until_ready(&self, service: &str) -> Option<Duration> {
        let now = Instant::now();
        let inner = self.inner.borrow();
        let keys = inner.services.get(service)?.iter();
        let ready = keys.map(|key| &inner.runners[*key]).filter(|runner| runner.is_ready());
        ready.filter_map(|runner| runner.time_until_ready(now)).min().filter(|wait| !wait.is_zero())
    }
}

impl Runner {
    /// Returns whether this node may send a request to the runner, considering its state, pause and
    /// rate limit.
    pub(super) fn accepts_requests(&self, now: Instant) -> bool {
        self.is_ready() && self.pause_left(now).is_zero() && self.has_token(now)
    }

    /// Returns the time until the runner's pause and rate limit allow a request; `None` if this
    /// node has no share of the limit.
    fn time_until_ready(&self, now: Instant) -> Option<Duration> {
        Some(self.pause_left(now).max(self.time_until_token(now)?))
    }

    pub(super) fn pause_left(&self, now: Instant) -> Duration {
        self.paused_until.map_or(Duration::ZERO, |end| end.saturating_duration_since(now))
    }
}
