//! Receipts for reports of retry budgets.
//!
//! A peer whose reports arrive may not receive those of this node: links fail in one direction, and reports are
//! late. Each complete report states which reports of the sender's peers have arrived.

use {
    bilberryfront_decide::member::message::Receipts,
    compact_str::CompactString,
    rustc_hash::FxHashMap,
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Age of an acknowledged report from which its receiver counts as unreachable. Reports are sent, and so
/// acknowledged, once a second.
const ACKNOWLEDGED_TTL: Duration = Duration::from_millis(3_500);
/// Delay of a receipt that a peer waits for.
const EARLY_RECEIPT_DELAY: Duration = Duration::from_millis(50);

/// Complete reports that were exchanged with peers.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// Time at which a receipt is due before the next complete report.
    due: Option<Instant>,
    /// Ids and times of this node's reports.
    sent: VecDeque<(u32, Instant)>,
    peers: FxHashMap<CompactString, Peer>,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    /// Id of its latest report.
    latest: u32,
    /// Time of its receipt.
    at: Instant,
    /// Time of the last report of this node that it has received.
    acknowledged: Option<Instant>,
}

impl Exchange {
    /// Returns the receipts for a report that is sent now.
    pub(super) fn send(&mut self, now: Instant) -> Receipts {
        let id = rand::random();
        self.due = None;
        self.sent.retain(|(_, at)| now < *at + ACKNOWLEDGED_TTL);
        self.sent.push_back((id, now));
        self.peers.retain(|_, peer| now < peer.at + ACKNOWLEDGED_TTL);
        let is_awaited = self.peers.values().any(|peer| peer.acknowledged.is_none());
        Receipts { id, received: self.peers.values().map(|peer| peer.latest).collect(), is_awaited }
    }

    /// Applies the receipts of a peer.
    pub(super) fn receive(&mut self, now: Instant, from: &CompactString, receipts: &Receipts) {
        let is_received = |(id, _): &&(u32, Instant)| receipts.received.contains(id);
        let received_at = self.sent.iter().rev().find(is_received).map(|(_, at)| *at);
        if receipts.is_awaited {
            self.due.get_or_insert(now + EARLY_RECEIPT_DELAY);
        }
        let known = self.peers.get(from).and_then(|peer| peer.acknowledged);
        let acknowledged = received_at.max(known);
        self.peers.insert(from.clone(), Peer { latest: receipts.id, at: now, acknowledged });
    }

    /// Returns the time at which a receipt is due before the next complete report.
    pub(super) fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Withholds receipts, as there is nothing to report.
    pub(super) fn skip(&mut self) {
        self.due = None;
    }

    /// Returns the time of this node's last report that a peer has received; `None` if that is too old.
    pub(super) fn acknowledged(&self, now: Instant, peer: &str) -> Option<Instant> {
        let at = self.peers.get(peer)?.acknowledged?;
        (now < at + ACKNOWLEDGED_TTL).then_some(at)
    }
}
