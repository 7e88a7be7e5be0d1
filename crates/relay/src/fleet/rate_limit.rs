//! Rate limits stated by runners.

use {
    super::{Fleet, RunnerKey},
    crate::log_messages::{RATE_LIMITED, RATE_UNLIMITED},
};

impl Fleet {
    /// Records the rate limit in a runner's response, in requests per second of all nodes together.
    pub fn set_rate_limit(&self, key: RunnerKey, limit: Option<f64>) {
        let inner = &mut *self.inner.borrow_mut();
        let Some(runner) = inner.runners.get_mut(key) else { return };
        if runner.rate_limit == limit {
            return;
        }
        runner.rate_limit = limit;
        let id = runner.registration.id.as_str();
        match limit {
            Some(limit) => log::info!(runner = id, limit; "{RATE_LIMITED}"),
            None => log::info!(runner = id; "{RATE_UNLIMITED}"),
        }
    }

    /// Whether a runner states a rate limit.
    pub fn is_rate_limited(&self, key: RunnerKey) -> bool {
        self.inner.borrow().runners.get(key).is_some_and(|runner| runner.rate_limit.is_some())
    }
}
