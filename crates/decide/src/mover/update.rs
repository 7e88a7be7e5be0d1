//! What nodes tell each other about a move, and how fresh a node's own knowledge is.

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
pub const FRESH: Duration = Duration::from_millis(2_500);
/// Time between two messages.
pub const TELL: Duration = Duration::from_millis(500);
/// Own messages remembered.
const SENT: usize = 32;
/// Most acknowledgements in a message.
const ACKS: usize = 64;

/// One node's message about one entry's move.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MoveUpdate {
    /// Who says it.
    pub from: Incarnation,
    /// Its number among the sender's messages about this entry.
    pub sequence: u64,
    /// Latest message got from each peer.
    pub acks: Vec<(Incarnation, u64)>,
    /// Catalogue entry.
    pub entry: CompactString,
    /// The move the sender knows of.
    pub id: MoveId,
    /// The decision to take it back, if the sender knows of one.
    pub verdict: Option<Verdict>,
    /// The sender's counters, when they have changed.
    pub evidence: Option<Evidence>,
}

/// Age of the information a share is based on.
///
/// A message may have been buffered while this node was suspended. A peer's message is therefore as
/// old as the last of our own messages that it acknowledges, by our clock.
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
    /// Sets the peers that must be reachable while the table is not.
    pub fn set_peers(&mut self, peers: &[Incarnation]) {
        self.peers.retain(|peer, _| peers.contains(peer));
        for peer in peers {
            self.peers.entry(*peer).or_default();
        }
    }

    /// How many nodes there are, this one too.
    pub fn nodes(&self) -> usize {
        self.peers.len() + 1
    }

    /// The table answered a question sent at `sent`.
    pub fn table(&mut self, sent: Instant) {
        self.table = self.table.max(Some(sent));
    }

    /// Numbers a message sent at `now`, and says what to acknowledge in it.
    pub fn send(&mut self, now: Instant) -> (u64, Vec<(Incarnation, u64)>) {
        self.next += 1;
        self.sent.push_back((self.next, now));
        if self.sent.len() > SENT {
            self.sent.pop_front();
        }
        let acked_peer = self.peers.iter().filter(|(_, h)| h.sequence > 0);
        (self.next, acked_peer.map(|(peer, h)| (*peer, h.sequence)).take(ACKS).collect())
    }

    /// A peer's message came.
    pub fn hear(&mut self, me: Incarnation, news: &MoveUpdate) {
        let Some(acked_peer) = self.peers.get_mut(&news.from) else { return };
        acked_peer.sequence = acked_peer.sequence.max(news.sequence);
        let ack = news.acks.iter().find(|(peer, _)| *peer == me);
        let sent = ack.and_then(|(_, ack)| self.sent.iter().find(|(number, _)| number == ack));
        if let Some((_, at)) = sent {
            acked_peer.acked = acked_peer.acked.max(Some(*at));
        }
    }

    /// Time until which the information is valid; `None` if there is none.
    pub fn until(&self) -> Option<Instant> {
        let oldest = self.peers.values().map(|h| h.acked).min().flatten();
        self.table.max(oldest).map(|at| at + FRESH)
    }
}

/// Received verdicts, including those of unknown moves.
#[derive(Clone, Debug, Default)]
pub struct Verdicts(VecDeque<(MoveId, Verdict)>);

impl Verdicts {
    /// Most moves of one entry whose verdict is remembered.
    const KEPT: usize = 16;

    /// Adds a verdict; says whether it changed anything.
    pub fn add(&mut self, id: MoveId, verdict: &Verdict) -> bool {
        if let Some((_, known)) = self.0.iter_mut().find(|(known, _)| *known == id) {
            let higher = verdict > known;
            if higher {
                *known = verdict.clone();
            }
            return higher;
        }
        if self.0.len() == Verdicts::KEPT {
            self.0.pop_front();
        }
        self.0.push_back((id, verdict.clone()));
        true
    }

    /// The verdict on a move.
    pub fn get(&self, id: MoveId) -> Option<&Verdict> {
        self.0.iter().find(|(known, _)| *known == id).map(|(_, v)| v)
    }
}
