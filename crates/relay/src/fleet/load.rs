//! What nodes have under way at a runner.

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

/// Age at which a node's word is dropped: it repeats it every second while there is something to say.
const STALE: Duration = Duration::from_millis(2_500);

/// Amounts of work at a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests.
    pub running: u32,
    /// Tokens of memory that they take in the end, copies of other requests included.
    pub memory: u32,
    /// Prompt tokens that aren't known to be read yet.
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

/// What other nodes said of one runner.
#[derive(Debug, Default)]
pub(super) struct Others {
    said: Vec<Said>,
}

#[derive(Debug)]
struct Said {
    from: CompactString,
    load: Load,
    at: Instant,
}

impl Others {
    fn take(&mut self, from: &CompactString, load: Load, at: Instant) {
        self.said.retain(|s| s.from != *from && at < s.at + STALE);
        if load != Load::default() {
            self.said.push(Said { from: from.clone(), load, at });
        }
    }

    fn sum(&self, now: Instant) -> Load {
        let fresh = self.said.iter().filter(|s| now < s.at + STALE);
        fresh.fold(Load::default(), |mut sum, said| {
            sum += said.load;
            sum
        })
    }
}

impl Runner {
    /// What all nodes together have under way.
    pub(super) fn load(&self, now: Instant) -> Load {
        let mut sum = self.others.sum(now);
        sum += self.own;
        sum
    }

    fn told(&self) -> RunnerLoad {
        let Load { running, memory, unread } = self.own;
        RunnerLoad { runner: self.registration.id.clone(), running, memory, unread }
    }
}

impl Fleet {
    /// Tells of changes of this node's loads.
    pub fn changes(&self) -> Rc<Notify> {
        self.changed.clone()
    }

    /// What this node has to say since it last did.
    pub fn news(&self) -> message::Load {
        let mut inner = self.inner.borrow_mut();
        let failed = std::mem::take(&mut inner.failures);
        let restarts = std::mem::take(&mut inner.restarts);
        let untold = inner.runners.values_mut().filter(|r| r.untold);
        let tell = |runner: &mut Runner| {
            runner.untold = false;
            runner.told()
        };
        message::Load { runners: untold.map(tell).collect(), failed, restarts }
    }

    /// All loads of this node.
    pub fn loads(&self) -> Vec<RunnerLoad> {
        let inner = self.inner.borrow();
        let loaded = inner.runners.values().filter(|r| r.own != Load::default());
        loaded.map(Runner::told).collect()
    }

    /// Takes what another node says.
    pub fn take(&self, from: &CompactString, said: &message::Load) {
        let inner = &mut *self.inner.borrow_mut();
        let now = Instant::now();
        for &RunnerLoad { ref runner, running, memory, unread } in &said.runners {
            let known = inner.by_id.get(runner).and_then(|key| inner.runners.get_mut(*key));
            if let Some(known) = known {
                known.others.take(from, Load { running, memory, unread }, now);
            }
        }
        for runner in &said.failed {
            if let Some(key) = inner.by_id.get(runner).copied() {
                inner.runners[key].trouble.failed_elsewhere(now);
                inner.doubt_neighbours(key, now);
            }
        }
        if !said.failed.is_empty() {
            self.lost.notify_waiters();
        }
    }
}
