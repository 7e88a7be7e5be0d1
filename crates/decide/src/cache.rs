//! Which runners are believed to hold which prompt prefix. Hints only: a wrong one costs a prefill.

use {
    crate::id::RunnerKey, bilberryfront_wire::runner::CacheEvent, rustc_hash::FxHashMap,
    slotmap::Key, std::collections::VecDeque,
};

/// Most holders remembered for one prefix.
const HOLDERS: usize = 3;

/// Holders of each prefix, among the runners of one pool.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    prefixes: FxHashMap<u64, [RunnerKey; HOLDERS]>,
}

impl Holders {
    /// Runners believed to hold `prefix`.
    pub(crate) fn of(&self, prefix: u64) -> impl Iterator<Item = RunnerKey> {
        let holders = self.prefixes.get(&prefix).copied().unwrap_or_default();
        holders.into_iter().filter(|k| !k.is_null())
    }

    fn add(&mut self, prefix: u64, runner: RunnerKey) {
        let holders = self.prefixes.entry(prefix).or_default();
        if holders.contains(&runner) {
            return;
        }
        match holders.iter_mut().find(|k| k.is_null()) {
            Some(slot) => *slot = runner,
            None => {
                holders.rotate_left(1);
                holders[HOLDERS - 1] = runner;
            }
        }
    }

    fn remove(&mut self, prefix: u64, runner: RunnerKey) {
        let Some(holders) = self.prefixes.get_mut(&prefix) else { return };
        for slot in holders.iter_mut().filter(|k| **k == runner) {
            *slot = RunnerKey::null();
        }
        if holders.iter().all(|k| k.is_null()) {
            self.prefixes.remove(&prefix);
        }
    }
}

/// What is believed of one runner's cache.
#[derive(Debug, Default)]
pub(crate) struct Belief {
    /// Number of the newest event taken.
    last: Option<u64>,
    /// Prefixes in order of arrival.
    order: VecDeque<u64>,
}

impl Belief {
    /// Takes the cache events of one report, keeping at most `most` prefixes.
    ///
    /// After a gap a dropped prefix may have gone unheard, and the node would send to a runner that
    /// must prefill from nothing; so everything believed before a gap is dropped.
    pub(crate) fn take(
        &mut self,
        runner: RunnerKey,
        events: &[CacheEvent],
        most: usize,
        holders: &mut Holders,
    ) {
        let restarted = |last| events.last().is_some_and(|e| e.sequence < last);
        if self.last.is_some_and(restarted) {
            self.clear(runner, holders);
        }
        for event in events {
            match self.last {
                Some(last) if event.sequence <= last => continue,
                Some(last) if event.sequence > last + 1 => self.clear(runner, holders),
                _ => {}
            }
            self.last = Some(event.sequence);
            if event.held {
                self.add(runner, event.prefix, most, holders);
            } else {
                holders.remove(event.prefix, runner);
            }
        }
    }

    /// Drops everything believed.
    pub(crate) fn clear(&mut self, runner: RunnerKey, holders: &mut Holders) {
        for prefix in self.order.drain(..) {
            holders.remove(prefix, runner);
        }
        self.last = None;
    }

    fn add(&mut self, runner: RunnerKey, prefix: u64, most: usize, holders: &mut Holders) {
        while self.order.len() >= most {
            let Some(oldest) = self.order.pop_front() else { break };
            holders.remove(oldest, runner);
        }
        self.order.push_back(prefix);
        holders.add(prefix, runner);
    }
}
