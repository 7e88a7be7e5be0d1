//! Proof that a process which answers at a runner's address is the restarted runner.
//!
//! An address is assigned to another service only some time after its runner has ended. A process with
//! another id that answers sooner after the runner's last sign of life belongs to the same service.

use {
    super::{Fleet, RunnerKey},
    rustix::time::{ClockId, clock_gettime},
    std::time::Duration,
    tokio::time::Instant,
};

/// Margin for the time that an event of a stream takes to arrive.
const DELIVERY_MARGIN: Duration = Duration::from_millis(200);
/// Shortest wait after which an event was not buffered before the wait.
const MIN_WAIT: Duration = Duration::from_millis(10);
/// Longest wait after which an event was not retransmitted; TCP waits for 200 ms at least.
const MAX_WAIT: Duration = Duration::from_millis(150);

/// Point in time by both the runtime's clock and the one that continues while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    at: Instant,
    boot: Duration,
}

impl Moment {
    /// Returns the current time.
    pub fn now() -> Moment {
        Moment { at: Instant::now(), boot: boot_time() }
    }

    /// Returns the time since then.
    fn elapsed(&self) -> Duration {
        self.at.elapsed().max(boot_time().saturating_sub(self.boot))
    }
}

fn boot_time() -> Duration {
    Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default()
}

impl Fleet {
    /// Sets the minimum time from the end of a runner until its address is assigned to another service;
    /// zero until it is set.
    pub fn set_reuse_delay(&self, delay: Duration) {
        self.inner.borrow_mut().reuse_delay = delay;
    }

    /// Records that a runner was still running at `moment`. Only what the runner itself has sent later
    /// proves this, since another one may respond at its address.
    pub fn record_alive(&self, key: RunnerKey, moment: Moment) {
        if let Some(runner) = self.inner.borrow_mut().runners.get_mut(key) {
            runner.alive_at = Some(moment);
        }
    }

    /// Returns whether the runner's address cannot have been assigned to another service yet.
    pub fn holds_address(&self, key: RunnerKey) -> bool {
        let inner = self.inner.borrow();
        let alive_at = inner.runners.get(key).and_then(|runner| runner.alive_at);
        alive_at.is_some_and(|at| at.elapsed() + DELIVERY_MARGIN < inner.reuse_delay)
    }

    /// Records that data of a runner has arrived after a wait since `start` without any. Data that was
    /// delayed on its way proves nothing.
    pub(super) fn record_arrival(&self, key: RunnerKey, start: Moment) {
        if (MIN_WAIT..MAX_WAIT).contains(&start.elapsed()) {
            self.record_alive(key, start);
        }
    }
}
