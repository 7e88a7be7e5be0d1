//! Messages between nodes about a move, and the age of a node's information.

use {
    super::{evidence::Evidence, record::MoveId, standing::Verdict},
    crate::id::Incarnation,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Time for which a share is valid after the last update from the table or from all peers.
pub const SHARE_TTL: Duration = Duration::from_millis(2_500);
/// Interval of messages to the peers.
pub const BROADCAST_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of own messages whose send times are remembered.
const MAX_SENT: usize = 32;
/// Maximum number of acknowledgements in a message.
const MAX_ACKS: usize = 64;

/// One node's message about one entry's move.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MoveUpdate {
    /// Sender.
    pub from: Incarnation,
    /// Sequence number among the sender's messages about this entry.
    pub sequence: u64,
    /// Highest sequence number received from each peer.
    pub acks: Vec<(Incarnation, u64)>,
    /// Catalogue entry.
    pub entry: CompactString,
    /// Latest move known to the sender.
    pub id: MoveId,
    /// The decision to roll it back, if the sender knows of one.
    pub verdict: Option<Verdict>,
    /// The sender's counters, if they changed since its last message.
    pub evidence: Option<Evidence>,
    /// Time since the order of a move whose start is not stored, as far as the sender knows, in
    /// milliseconds; otherwise 0.
    pub elapsed_ms: u64,
    /// Number of requests of the new version with bad events, at all nodes that the sender knows of.
    pub bad: u32,
}

/// Query of a process that has started during a move, for what others know of it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MoveQuery {
    /// Catalogue entry.
    pub entry: CompactString,
    /// The move.
    pub id: MoveId,
}

/// What a process knows of a move.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MoveEvidence {
    /// Catalogue entry.
    pub entry: CompactString,
    /// The move.
    pub id: MoveId,
    /// Whether the sender knows the evidence of processes that ended before it was started, and this is
    /// the last message of its response.
    pub is_complete: bool,
    /// As [`MoveUpdate::elapsed_ms`].
    pub elapsed_ms: u64,
    /// As [`MoveUpdate::bad`].
    pub bad: u32,
    /// Counters by process.
    pub nodes: Vec<(Incarnation, Evidence)>,
}

/// Age of the information that a share is based on.
///
/// A message may have been buffered while this node was suspended. The age of a peer's message is
/// therefore the age of the latest own message that it acknowledges, by this node's clock.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    table: Option<Instant>,
    sent: VecDeque<(u64, Instant)>,
    next: u64,
    peers: BTreeMap<Incarnation, PeerAck>,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerAck {
    sequence: u64,
    acked: Option<Instant>,
}

impl Freshness {
    /// Sets the peers, all of which must be reachable while the table is not.
    pub fn set_peers(&mut self, peers: &[Incarnation]) {
        self.peers.retain(|peer, _| peers.contains(peer));
        for peer in peers {
            self.peers.entry(*peer).or_default();
        }
    }

    /// Returns the number of nodes, including this one.
    pub fn nodes(&self) -> usize {
        self.peers.len() + 1
    }

    /// Records that the table responded to a request that was sent at `sent_at`.
    pub fn table_responded(&mut self, sent_at: Instant) {
        self.table = self.table.max(Some(sent_at));
    }

    /// Returns the sequence number and the acknowledgements of a message sent at `now`.
    pub fn next_message(&mut self, now: Instant) -> (u64, Vec<(Incarnation, u64)>) {
        self.next += 1;
        self.sent.push_back((self.next, now));
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
        let heard_from = self.peers.iter().filter(|(_, p)| p.sequence > 0);
        (self.next, heard_from.map(|(peer, p)| (*peer, p.sequence)).take(MAX_ACKS).collect())
    }

    /// Handles a peer's message.
    pub fn receive(&mut self, me: Incarnation, update: &MoveUpdate) {
        let Some(peer) = self.peers.get_mut(&update.from) else { return };
        peer.sequence = peer.sequence.max(update.sequence);
        let ack = update.acks.iter().find(|(peer, _)| *peer == me);
        let sent = ack.and_then(|(_, ack)| self.sent.iter().find(|(number, _)| number == ack));
        if let Some((_, at)) = sent {
            peer.acked = peer.acked.max(Some(*at));
        }
    }

    /// Returns the time until which the information is valid; `None` if there is none.
    pub fn valid_until(&self) -> Option<Instant> {
        let oldest = self.peers.values().map(|p| p.acked).min().flatten();
        self.table.max(oldest).map(|at| at + SHARE_TTL)
    }
}

/// Received verdicts, including those on moves that this node doesn't know yet.
#[derive(Clone, Debug, Default)]
pub struct Verdicts(VecDeque<(MoveId, Verdict)>);

impl Verdicts {
    /// Maximum number of moves of one entry whose verdict is remembered.
    const MAX_MOVES: usize = 16;

    /// Adds a verdict; returns whether it is new or higher than the known one.
    pub fn add(&mut self, id: MoveId, verdict: &Verdict) -> bool {
        if let Some((_, known)) = self.0.iter_mut().find(|(known, _)| *known == id) {
            let higher = verdict > known;
            if higher {
                *known = verdict.clone();
            }
            return higher;
        }
        if self.0.len() == Verdicts::MAX_MOVES {
            self.0.pop_front();
        }
        self.0.push_back((id, verdict.clone()));
        true
    }

    /// Returns the verdict on a move.
    pub fn get(&self, id: MoveId) -> Option<&Verdict> {
        self.0.iter().find(|(known, _)| *known == id).map(|(_, v)| v)
    }
}
