//! The prompt cache of a runner.

use {
    bilberryfront_wire::runner::{CacheEvent, prefix_bytes},
    std::collections::VecDeque,
    xxhash_rust::xxh64::xxh64,
};

/// Maximum cached prefixes; the least recently used one is evicted.
const CAPACITY: usize = 64;
/// Number of newest events in a report. Several readers poll a runner, so that each event is
/// reported more than once; readers identify it by its sequence number.
const MAX_REPORTED_EVENTS: usize = 32;

/// Cached prefixes, least recently used first, and the latest changes.
#[derive(Default)]
pub(crate) struct Cache {
    prefixes: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl Cache {
    /// Marks the prefix of `prompt` as used and adds it if it is not cached.
    pub(crate) fn touch(&mut self, prompt: &str) {
        let prefix = xxh64(prefix_bytes(prompt), 0);
        match self.prefixes.iter().position(|cached| *cached == prefix) {
            Some(position) => drop(self.prefixes.remove(position)),
            None => self.record_event(prefix, true),
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > CAPACITY
            && let Some(oldest) = self.prefixes.pop_front()
        {
            self.record_event(oldest, false);
        }
    }

    /// Returns the newest events, oldest first.
    pub(crate) fn events(&self) -> Vec<CacheEvent> {
        self.events.iter().copied().collect()
    }

    fn record_event(&mut self, prefix: u64, held: bool) {
        self.sequence += 1;
        self.events.push_back(CacheEvent { sequence: self.sequence, prefix, held });
        if self.events.len() > MAX_REPORTED_EVENTS {
            self.events.pop_front();
        }
    }
}
