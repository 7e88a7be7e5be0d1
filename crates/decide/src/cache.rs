//! Prompt prefixes that runners are assumed to have cached. These are hints: a wrong one costs a
//! prefill.

use {
    crate::id::RunnerKey, bilberryfront_wire::runner::CacheEvent, rustc_hash::FxHashMap,
    slotmap::Key, std::collections::VecDeque,
};

/// Maximum number of holders stored per prefix.
const MAX_HOLDERS: usize = 3;

/// Runners of one pool that hold each prefix.
#[derive(Debug, Default)]
pub(crate) struct PrefixHolders {
    prefixes: FxHashMap<u64, [RunnerKey; MAX_HOLDERS]>,
}

impl PrefixHolders {
    /// Returns the runners assumed to hold `prefix`.
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
                holders[MAX_HOLDERS - 1] = runner;
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

/// Prefixes that one runner is assumed to have cached.
#[derive(Debug, Default)]
pub(crate) struct CachedPrefixes {
    /// Sequence number of the newest event applied.
    last_sequence: Option<u64>,
    /// Prefixes in the order in which they were reported.
    order: VecDeque<u64>,
}

impl CachedPrefixes {
    /// Applies the cache events of one report, keeping at most `max_prefixes` prefixes.
    ///
    /// A gap in the sequence numbers may hide the eviction of a prefix, after which requests would
    /// be sent to a runner that has to prefill them completely. All prefixes reported before a gap
    /// are therefore dropped.
    pub(crate) fn apply_events(
        &mut self,
        runner: RunnerKey,
        events: &[CacheEvent],
        max_prefixes: usize,
        holders: &mut PrefixHolders,
    ) {
        let is_restart = |last| events.last().is_some_and(|e| e.sequence < last);
        if self.last_sequence.is_some_and(is_restart) {
            self.clear(runner, holders);
        }
        for event in events {
            match self.last_sequence {
                Some(last) if event.sequence <= last => continue,
                Some(last) if event.sequence > last + 1 => self.clear(runner, holders),
                _ => {}
            }
            self.last_sequence = Some(event.sequence);
            if event.held {
                self.add(runner, event.prefix, max_prefixes, holders);
            } else {
                holders.remove(event.prefix, runner);
            }
        }
    }

    /// Drops all prefixes of the runner.
    pub(crate) fn clear(&mut self, runner: RunnerKey, holders: &mut PrefixHolders) {
        for prefix in self.order.drain(..) {
            holders.remove(prefix, runner);
        }
        self.last_sequence = None;
    }

    fn add(
        &mut self,
        runner: RunnerKey,
        prefix: u64,
        max_prefixes: usize,
        holders: &mut PrefixHolders,
    ) {
        while self.order.len() >= max_prefixes {
            let Some(oldest) = self.order.pop_front() else { break };
            holders.remove(oldest, runner);
        }
        self.order.push_back(prefix);
        holders.add(prefix, runner);
    }
}
