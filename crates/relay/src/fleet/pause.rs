//! Runners that reject this node's requests for a stated time.

use {
    super::{Fleet, Runner, RunnerKey},
    std::time::Duration,
    tokio::time::Instant,
};

impl Fleet {
    /// Records that a runner wants no request of this node for some time.
    pub fn pause(&self, key: RunnerKey, time: Duration) {
        let end = Instant::now() + time;
        if let Some(runner) = self.inner.borrow_mut().runners.get_mut(key) {
            runner.paused_until = runner.paused_until.max(Some(end));
        }
    }

    /// End of a runner's pause, if it lasts.
    pub fn paused_until(&self, key: RunnerKey) -> Option<Instant> {
        let inner = self.inner.borrow();
        inner.runners.get(key)?.paused_until.filter(|end| Instant::now() < *end)
    }

    /// Time until this node may send to any runner of a service, if only pauses and rate limits of
    /// runners prevent it.
    pub fn time_until_ready(&self, service: &str) -> Option<Duration> {
        let now = Instant::now();
        let inner = self.inner.borrow();
        let keys = inner.services.get(service)?.iter();
        let ready = keys.map(|key| &inner.runners[*key]).filter(|runner| runner.is_ready());
        ready.filter_map(|runner| runner.time_until_ready(now)).min().filter(|wait| !wait.is_zero())
    }
}

impl Runner {
    /// Whether it may be sent a request, by its backpressure signals.
    pub(super) fn accepts_requests(&self, now: Instant) -> bool {
        self.is_ready() && self.pause_left(now).is_zero() && self.has_token(now)
    }

    /// Time until its pause and its rate limit allow a request; `None` if this node has no part of the
    /// limit.
    fn time_until_ready(&self, now: Instant) -> Option<Duration> {
        Some(self.pause_left(now).max(self.time_until_token(now)?))
    }

    pub(super) fn pause_left(&self, now: Instant) -> Duration {
        self.paused_until.map_or(Duration::ZERO, |end| end.saturating_duration_since(now))
    }
}
