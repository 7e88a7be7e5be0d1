//! Queue of gossip updates.

use {
    super::{
        MAX_MEMBERS,
        message::{Hint, Update},
    },
    compact_str::CompactString,
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Updates per heartbeat that fit one datagram; more are sent if the queue is longer than
/// [`QUEUE_HEARTBEATS`] datagrams.
const PER_HEARTBEAT: usize = 32;
/// Number of heartbeats within which all updates are sent, so that the time until a change is known to
/// all nodes does not grow with the number of changes.
const QUEUE_HEARTBEATS: usize = 4;
/// Transmissions of each update to every target.
const REPEATS: u8 = 3;
/// Number of targets from which one transmission suffices, because each node then receives every
/// update from as many senders.
const REDUNDANT: usize = 4;
/// Capacity of the queue. The oldest update is dropped; anti-entropy spreads it later.
const CAPACITY: usize = MAX_MEMBERS;
/// Maximum updates per heartbeat.
pub const MAX_UPDATES: usize = CAPACITY / QUEUE_HEARTBEATS;
/// Maximum number of recent hints.
const MAX_HINTS: usize = 512;
/// Time for which a repeated hint is suppressed.
const HINT_AGE: Duration = Duration::from_secs(5);

/// Pending updates, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateQueue {
    /// Updates and their number of transmissions so far.
    items: VecDeque<(Update, u8)>,
    hints: VecDeque<(Hint, Instant)>,
}

impl UpdateQueue {
    /// Queues an update; replaces an older one about the same subject.
    pub(super) fn push(&mut self, update: Update) {
        self.items.retain(|(known, _)| subject(known) != subject(&update));
        if self.items.len() == CAPACITY {
            self.items.pop_front();
        }
        self.items.push_back((update, 0));
    }

    /// Queues a hint; returns whether it is new.
    pub(super) fn hint(&mut self, now: Instant, hint: &Hint) -> bool {
        self.hints.retain(|(_, at)| now < *at + HINT_AGE);
        if self.hints.len() == MAX_HINTS || self.hints.iter().any(|(h, _)| h == hint) {
            return false;
        }
        self.hints.push_back((hint.clone(), now));
        self.push(Update::Runner(hint.clone()));
        true
    }

    /// Returns the updates for the next heartbeat to this number of targets, least transmitted
    /// first.
    pub(super) fn next(&mut self, targets: usize) -> Vec<Update> {
        let repeats = if targets < REDUNDANT { REPEATS } else { 1 };
        self.items.make_contiguous().sort_by_key(|(_, sent)| *sent);
        let count = PER_HEARTBEAT.max(self.items.len().div_ceil(QUEUE_HEARTBEATS));
        let count = count.min(self.items.len());
        let batch: Vec<(Update, u8)> = self.items.drain(..count).collect();
        let again = batch.iter().filter(|(_, sent)| sent + 1 < repeats);
        self.items.extend(again.map(|(update, sent)| (update.clone(), sent + 1)));
        batch.into_iter().map(|(update, _)| update).collect()
    }
}

fn subject(update: &Update) -> (bool, &CompactString) {
    match update {
        Update::Node(claim) => (true, &claim.name),
        Update::Runner(hint) => (false, &hint.runner),
    }
}
