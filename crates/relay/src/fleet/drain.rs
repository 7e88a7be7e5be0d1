//! Runners that announce in a response that they are draining.
//!
//! An announcement is final for an incarnation. It takes effect before the registration changes,
//! which happens later, or never while the store is unavailable.

use {
    super::{Fleet, Inner, Runner, RunnerKey},
    crate::{log_messages::RUNNER_DRAINING, view::State},
    bilberryfront_decide::member::message::DrainNotice,
    std::time::Duration,
    tokio::time::Instant,
};

/// Time for which an announcement is repeated to peers, for those that missed the first report.
const REPEAT_PERIOD: Duration = Duration::from_secs(2);

/// Announcement received by this node or by a peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Announcement {
    at: Instant,
    /// Whether this node received it from the runner itself.
    own: bool,
    /// Whether it still has to be reported to peers.
    dirty: bool,
}

impl Fleet {
    /// Records that a runner has announced that it is draining.
    pub fn set_draining(&self, key: RunnerKey) {
        let announced = self.inner.borrow_mut().announce_drain(key, true);
        if announced {
            self.changed.notify_one();
        }
    }

    /// Returns whether a runner has announced that it is draining.
    pub fn is_draining(&self, key: RunnerKey) -> bool {
        self.inner.borrow().runners.get(key).is_some_and(|runner| runner.drain.is_some())
    }

    /// Returns the announcements that were not reported to peers yet, and marks them as reported.
    pub(super) fn take_drain_notices(&self) -> Vec<DrainNotice> {
        self.drain_notices(|drain| std::mem::take(&mut drain.dirty))
    }

    /// Returns the announcements that peers may have missed.
    pub(super) fn recent_drain_notices(&self) -> Vec<DrainNotice> {
        let now = Instant::now();
        self.drain_notices(|drain| drain.own && now < drain.at + REPEAT_PERIOD)
    }

    fn drain_notices(&self, relevant: impl Fn(&mut Announcement) -> bool) -> Vec<DrainNotice> {
        let mut inner = self.inner.borrow_mut();
        let leaving = inner.runners.values_mut().filter_map(|runner| {
            let is_relevant = runner.drain.as_mut().is_some_and(&relevant);
            is_relevant.then(|| runner.drain_notice())
        });
        leaving.collect()
    }
}

impl Inner {
    /// Records an announcement; returns whether it is new.
    fn announce_drain(&mut self, key: RunnerKey, own: bool) -> bool {
        let now = Instant::now();
        let Some(runner) = self.runners.get_mut(key) else { return false };
        let is_new = runner.drain.is_none();
        if is_new {
            runner.drain = Some(Announcement { at: now, own, dirty: own });
            log::info!(runner = runner.registration.id.as_str(); "{RUNNER_DRAINING}");
            self.divide_limits(now);
        }
        is_new
    }

    /// Applies a peer's report, unless it is about another incarnation.
    pub(super) fn apply_drain_notice(&mut self, notice: &DrainNotice) {
        let Some(key) = self.by_id.get(&notice.runner).copied() else { return };
        if self.runners[key].registration.born == notice.born {
            self.announce_drain(key, false);
        }
    }
}

impl Runner {
    /// Returns whether the runner accepts new requests according to its registration and its
    /// announcements.
    pub(super) fn is_ready(&self) -> bool {
        self.registration.state == State::Ready && self.drain.is_none()
    }

    fn drain_notice(&self) -> DrainNotice {
        let (runner, born) = (self.registration.id.clone(), self.registration.born);
        DrainNotice { runner, born }
    }
}
