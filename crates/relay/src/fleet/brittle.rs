//! Runners that fall over when they have to reject too many requests for lack of room.
//!
//! Such a runner states how many rejections per second it bears, of all nodes together. While it does,
//! nodes send it only what it probably has room for, and each one that is rejected pauses for so long that
//! all of them together stay below that number.

use {
    super::{Fleet, Inner, Runner, RunnerKey},
    crate::log_messages::{BRITTLE, BRITTLE_ENDED},
    compact_str::CompactString,
    rand::Rng,
    rustc_hash::FxHashMap,
    std::time::Duration,
    tokio::time::Instant,
};

/// Age at which the statement of a runner expires if no response confirms it.
const STATEMENT_TTL: Duration = Duration::from_secs(10);
/// Maximum pause after a rejection.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Range of the random part of a pause, as a share of it.
const PAUSE_JITTER: f64 = 0.5;

/// Statement of a runner that it is brittle.
#[derive(Clone, Copy, Debug)]
pub(super) struct Brittle {
    /// Rejections per second that the runner bears.
    max_rejections: u32,
    at: Instant,
    /// Number of nodes that send calls to the runner, if it is a plain one.
    senders: u32,
    /// Maximum number of this node's calls in flight, if it is a plain one.
    share: u32,
}

impl Fleet {
    /// Records whether a runner states in a response that it is brittle, with the number of rejections per
    /// second that it bears.
    pub fn set_brittle(&self, key: RunnerKey, max_rejections: Option<u32>) {
        let now = Instant::now();
        let inner = &mut *self.inner.borrow_mut();
        let Some(runner) = inner.runners.get_mut(key) else { return };
        let id = runner.registration.id.as_str();
        match (&mut runner.brittle, max_rejections) {
            (None, None) => {}
            (known @ Some(_), None) => {
                log::info!(runner = id; "{BRITTLE_ENDED}");
                *known = None;
            }
            (Some(known), Some(max_rejections)) => {
                known.max_rejections = max_rejections;
                known.at = now;
            }
            (unknown @ None, Some(max_rejections)) => {
                log::info!(runner = id, max_rejections; "{BRITTLE}");
                *unknown = Some(Brittle { max_rejections, at: now, senders: 1, share: 0 });
                inner.divide_brittle_rooms();
            }
        }
    }

    /// Records that a runner rejected a request of this node for lack of room; a brittle one is paused.
    pub fn record_rejection(&self, key: RunnerKey) {
        let now = Instant::now();
        self.record_overload(key, now);
        let inner = &mut *self.inner.borrow_mut();
        let nodes = inner.nodes.len() as u32;
        let Some(runner) = inner.runners.get_mut(key) else { return };
        let Some(brittle) = runner.brittle.filter(|brittle| brittle.is_in_force(now)) else {
            return;
        };
        let senders = if runner.calls > 0 { brittle.senders } else { nodes };
        let seconds = f64::from(senders) / f64::from(brittle.max_rejections.max(1));
        let jitter = self.random.borrow_mut().random_range(1.0..1.0 + PAUSE_JITTER);
        let pause = Duration::from_secs_f64(seconds * jitter).min(MAX_PAUSE);
        runner.paused_until = runner.paused_until.max(Some(now + pause));
    }
}

impl Inner {
    /// Recomputes this node's share of the room of all brittle runners, after these, nodes or other
    /// runners have changed. All runners of a service are brittle at the same time, so the statement of
    /// one is assumed for those that have not responded to this node yet.
    pub(super) fn divide_brittle_rooms(&mut self) {
        let statement =
            |runner: &Runner| Some((runner.registration.service.clone(), runner.brittle?));
        let statements: FxHashMap<CompactString, Brittle> =
            self.runners.values().filter_map(statement).collect();
        for (service, brittle) in statements {
            for key in self.services.get(&service).into_iter().flatten() {
                self.runners[*key].brittle.get_or_insert(brittle);
            }
        }
        let brittle = self.runners.iter().filter(|(_, runner)| runner.brittle.is_some());
        let brittle: Vec<RunnerKey> = brittle.map(|(key, _)| key).collect();
        brittle.into_iter().for_each(|key| self.divide_room(key));
    }

    fn divide_room(&mut self, key: RunnerKey) {
        let runner = &self.runners[key];
        let slots = runner.registration.slots;
        let owners = self.owners(runner, slots as usize);
        let senders = owners.len().max(1) as u32;
        let share = if owners.contains(&self.me) { (slots / senders).max(1) } else { 0 };
        if let Some(brittle) = &mut self.runners[key].brittle {
            (brittle.senders, brittle.share) = (senders, share);
        }
    }
}

impl Runner {
    /// Returns whether the runner probably has room for another request of this node, if it is brittle.
    pub(super) fn has_room(&self, is_plain: bool, now: Instant) -> bool {
        let brittle = self.brittle.filter(|brittle| brittle.is_in_force(now));
        brittle.is_none_or(|brittle| match is_plain {
            true => self.calls < brittle.share,
            false => self.load(now).running < self.registration.slots,
        })
    }
}

impl Brittle {
    fn is_in_force(&self, now: Instant) -> bool {
        now < self.at + STATEMENT_TTL
    }
}
