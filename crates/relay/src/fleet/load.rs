//! Load of each runner, by this node and as reported by peers.

use {
    super::{Fleet, Runner},
    bilberryfront_decide::member::message::{self, RunnerLoad},
    compact_str::CompactString,
    std::{
        ops::{AddAssign, SubAssign},
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// Age at which a peer's report expires; peers repeat theirs every second.
const REPORT_TTL: Duration = Duration::from_millis(2_500);

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// KV memory reserved by these requests and by replicas, in tokens.
    pub memory: u32,
    /// Number of prompt tokens that are not prefilled yet.
    pub unread: u32,
}

impl AddAssign for Load {
    fn add_assign(&mut self, other: Load) {
        self.running += other.running;
        self.memory += other.memory;
        self.unread += other.unread;
    }
}

impl SubAssign for Load {
    fn sub_assign(&mut self, other: Load) {
        self.running -= other.running;
        self.memory -= other.memory;
        self.unread -= other.unread;
    }
}

/// Latest report of each peer on one runner.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    reports: Vec<PeerLoad>,
}

#[derive(Debug)]
struct PeerLoad {
    from: CompactString,
    load: Load,
    at: Instant,
}

impl PeerLoads {
    fn apply_peer_load(&mut self, from: &CompactString, load: Load, at: Instant) {
        self.reports.retain(|s| s.from != *from && at < s.at + REPORT_TTL);
        if load != Load::default() {
            self.reports.push(PeerLoad { from: from.clone(), load, at });
        }
    }

    fn sum(&self, now: Instant) -> Load {
        let fresh = self.reports.iter().filter(|s| now < s.at + REPORT_TTL);
        fresh.fold(Load::default(), |mut sum, peer| {
            sum += peer.load;
            sum
        })
    }
}

impl Runner {
    /// Returns the load by all nodes together.
    pub(super) fn load(&self, now: Instant) -> Load {
        let mut sum = self.peer_loads.sum(now);
        sum += self.own_load;
        sum
    }

    pub(super) fn is_idle(&self, now: Instant) -> bool {
        self.calls == 0 && self.load(now).running == 0
    }

    fn report(&self) -> RunnerLoad {
        let Load { running, memory, unread } = self.own_load;
        RunnerLoad { runner: self.registration.id.clone(), running, memory, unread }
    }
}

impl Fleet {
    /// Returns a handle that is notified when [`Fleet::take_update`] has something to report.
    pub fn changes(&self) -> Rc<Notify> {
        self.changed.clone()
    }

    /// Takes the changes since the last call, for peers.
    pub fn take_update(&self) -> message::Load {
        let (limits, draining) = (self.take_limits(), self.take_drain_notices());
        let mut inner = self.inner.borrow_mut();
        let failed = std::mem::take(&mut inner.failures);
        let restarts = std::mem::take(&mut inner.restarts);
        let paces = inner.take_paces(false);
        let dirty = inner.runners.values_mut().filter(|r| r.dirty);
        let report = |runner: &mut Runner| {
            runner.dirty = false;
            runner.report()
        };
        message::Load {
            runners: dirty.map(report).collect(),
            failed,
            restarts,
            limits,
            draining,
            paces,
            ..message::Load::default()
        }
    }

    /// Returns this node's load on all runners in use, recent rate limits and drain announcements, and
    /// speeds that this node has observed and not reported recently.
    pub fn snapshot(&self) -> message::Load {
        let (limits, draining) = (self.recent_limits(), self.recent_drain_notices());
        let mut inner = self.inner.borrow_mut();
        let paces = inner.take_paces(true);
        let loaded = inner.runners.values().filter(|r| r.own_load != Load::default());
        let runners = loaded.map(Runner::report).collect();
        message::Load { runners, limits, draining, paces, ..message::Load::default() }
    }

    /// Applies an update from a peer.
    pub fn apply_peer_load(&self, from: &CompactString, update: &message::Load) {
        let inner = &mut *self.inner.borrow_mut();
        let now = Instant::now();
        for &RunnerLoad { ref runner, running, memory, unread } in &update.runners {
            let known = inner.by_id.get(runner).and_then(|key| inner.runners.get_mut(*key));
            if let Some(known) = known {
                known.peer_loads.apply_peer_load(from, Load { running, memory, unread }, now);
            }
        }
        for runner in &update.failed {
            if let Some(key) = inner.by_id.get(runner).copied() {
                inner.runners[key].health.record_peer_failure(now);
                inner.suspect_neighbours(key, now);
            }
        }
        update.limits.iter().for_each(|limit| inner.apply_limit(limit, now));
        update.draining.iter().for_each(|notice| inner.apply_drain_notice(notice));
        update.paces.iter().for_each(|pace| inner.apply_pace(from, pace, now));
        if !update.failed.is_empty() {
            self.lost.notify_waiters();
        }
    }
}
