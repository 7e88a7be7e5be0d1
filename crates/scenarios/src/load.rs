//! Steady loads: requests sent at a fixed interval for a limited time.

use {
    crate::{
        caller::End,
        language::{Load, Request, Step},
        moves,
        world::{Result, World},
    },
    compact_str::{CompactString, format_compact},
    std::time::Duration,
    tokio::time::Instant,
};

/// Time for which the invariants are still checked for a caller whose response has ended.
const CHECKED_AFTER_END: Duration = Duration::from_secs(1);

/// A load that is running or has ended.
pub(crate) struct ActiveLoad {
    load: Load,
    next: Instant,
    until: Instant,
    sent: usize,
    /// Number of callers whose response ended incomplete.
    pub(crate) failed: usize,
}

impl ActiveLoad {
    pub(crate) fn new(load: &Load) -> ActiveLoad {
        let (load, next) = (load.clone(), Instant::now());
        let until = next + Duration::from_millis(load.for_ms);
        ActiveLoad { load, next, until, sent: 0, failed: 0 }
    }

    fn next_due(&self) -> Option<Instant> {
        Some(self.next).filter(|n| *n < self.until)
    }

    fn request(&mut self, nodes: &[CompactString]) -> Request {
        self.next += Duration::from_millis(self.load.every_ms);
        self.sent += 1;
        let prompt = format_compact!("{:.<1$}", self.sent, self.load.bytes);
        Request {
            name: format_compact!("{}/{}", self.load.name, self.sent),
            node: nodes[self.sent % nodes.len()].clone(),
            prompt,
            account: self.load.account.clone(),
            whole: false,
        }
    }
}

impl World {
    /// Returns the time of the next request of any load.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.loads.values().filter_map(ActiveLoad::next_due).min()
    }

    /// Sends the requests that are due, to the running nodes.
    pub(crate) fn send_due_requests(&mut self) -> Result {
        let nodes = self.nodes.values().filter(|n| moves::is_running(n)).map(|n| n.name.clone());
        let nodes = nodes.collect::<Vec<_>>();
        let now = Instant::now();
        let is_due =
            |u: &&mut ActiveLoad| !nodes.is_empty() && u.next_due().is_some_and(|d| d <= now);
        let requests = self.loads.values_mut().filter(is_due).map(|u| u.request(&nodes));
        let requests = requests.map(Step::Request).collect::<Vec<_>>();
        requests.iter().try_for_each(|r| self.apply_step(r))
    }

    /// Removes the callers of loads whose response ended long enough ago, and counts the failed ones.
    pub(crate) fn remove_finished_callers(&mut self) {
        let done = |end: &Option<End>, ended: Instant| {
            end.is_some() && ended.elapsed() > CHECKED_AFTER_END
        };
        let over = self.callers.iter().filter(|(name, caller)| {
            let caller = caller.lock().unwrap();
            name.contains('/') && done(&caller.end, caller.ended_at)
        });
        let over = over.map(|(name, _)| name.clone()).collect::<Vec<_>>();
        for name in over {
            let caller = self.callers.remove(&name).expect("the caller is in the map");
            let load = name.split('/').next().unwrap_or_default();
            if caller.lock().unwrap().end != Some(End::Whole)
                && let Some(active_load) = self.loads.get_mut(load)
            {
                active_load.failed += 1;
            }
        }
    }
}
