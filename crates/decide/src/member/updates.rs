//! Queue of gossip updates.

use {
    super::message::{Hint, Update},
    compact_str::CompactString,
    std::{cmp::Reverse, collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Maximum updates per heartbeat; fits one datagram.
pub(super) const PER_HEARTBEAT: usize = 32;
/// Transmissions of each update to every target.
const REPEATS: u8 = 3;
/// Capacity; the oldest update is dropped and left to anti-entropy.
const CAPACITY: usize = 512;
/// Time for which a repeated hint is suppressed.
const HINT_AGE: Duration = Duration::from_secs(5);

/// Pending updates, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateQueue {
    items: VecDeque<(Update, u8)>,
    hints: VecDeque<(Hint, Instant)>,
}

impl UpdateQueue {
    /// Queues an update; replaces an older one about the same subject.
    pub(super) fn push(&mut self, updates: Update) {
        self.items.retain(|(n, _)| subject(n) != subject(&updates));
        if self.items.len() == CAPACITY {
            self.items.pop_front();
        }
        self.items.push_back((updates, REPEATS));
    }

    /// Queues a hint; returns whether it is new.
    pub(super) fn hint(&mut self, now: Instant, hint: &Hint) -> bool {
        self.hints.retain(|(_, at)| now < *at + HINT_AGE);
        if self.hints.len() == CAPACITY || self.hints.iter().any(|(h, _)| h == hint) {
            return false;
        }
        self.hints.push_back((hint.clone(), now));
        self.push(Update::Runner(hint.clone()));
        true
    }

    /// Updates for the next heartbeat, least transmitted first.
    pub(super) fn next(&mut self) -> Vec<Update> {
        self.items.make_contiguous().sort_by_key(|(_, left)| Reverse(*left));
        let count = self.items.len().min(PER_HEARTBEAT);
        let batch: Vec<(Update, u8)> = self.items.drain(..count).collect();
        let again = batch.iter().filter(|(_, left)| *left > 1);
        self.items.extend(again.map(|(updates, left)| (updates.clone(), left - 1)));
        batch.into_iter().map(|(updates, _)| updates).collect()
    }
}

fn subject(updates: &Update) -> (bool, &CompactString) {
    match updates {
        Update::Node(claim) => (true, &claim.name),
        Update::Runner(hint) => (false, &hint.runner),
    }
}
