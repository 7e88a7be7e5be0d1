//! Runners that announce in a response that they leave.

use {
    super::{Fleet, RunnerKey},
    crate::log_messages::RUNNER_DRAINING,
};

impl Fleet {
    /// Records that a runner has announced that it leaves.
    pub fn set_draining(&self, key: RunnerKey) {
        let inner = &mut *self.inner.borrow_mut();
        let Some(runner) = inner.runners.get_mut(key) else { return };
        if !std::mem::replace(&mut runner.draining, true) {
            log::info!(runner = runner.registration.id.as_str(); "{RUNNER_DRAINING}");
        }
    }

    /// Whether a runner has announced that it leaves.
    pub fn is_draining(&self, key: RunnerKey) -> bool {
        self.inner.borrow().runners.get(key).is_some_and(|runner| runner.draining)
    }
}
