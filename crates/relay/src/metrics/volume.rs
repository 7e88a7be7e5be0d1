//! Traffic counters: bytes exchanged with runners and sent to peers, and polls of the store.

use {
    bilberryfront_decide::member::PeerMessage,
    prometheus_client::{
        encoding::{EncodeLabelSet, EncodeLabelValue},
        metrics::{counter::Counter, family::Family},
        registry::Registry,
    },
};

/// Kind of bytes exchanged with a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub enum Part {
    /// Request bodies.
    Request,
    /// Response bodies.
    Answer,
    /// Stream events.
    Events,
}

/// Kind of peer message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
enum MessageKind {
    Heartbeat,
    Load,
    Catalogue,
    Membership,
    Move,
    Store,
    Notice,
}

/// Outcome of a poll of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub enum PollOutcome {
    /// New rows.
    Changed,
    /// No changes.
    Unchanged,
    /// The store was restored from a backup.
    Restored,
    /// Error or rejection.
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RunnerBytes {
    part: Part,
    /// Whether the runner is in another failure domain.
    border: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct PeerSent {
    kind: MessageKind,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct StorePolled {
    table: String,
    outcome: PollOutcome,
}

/// All traffic counters. Clones share their values.
#[derive(Clone, Default)]
pub(super) struct Volume {
    runner_bytes: Family<RunnerBytes, Counter>,
    peer_sent: Family<PeerSent, Counter>,
    store_polled: Family<StorePolled, Counter>,
}

impl Volume {
    pub(super) fn register(&self, registry: &mut Registry) {
        let runner_bytes = "Bytes of bodies exchanged with runners";
        registry.register("runner_bytes", runner_bytes, self.runner_bytes.clone());
        let peer_sent = "Bytes of messages to other nodes, each counted for each receiver";
        registry.register("peer_bytes", peer_sent, self.peer_sent.clone());
        registry.register("store_polls", "Polls of the store", self.store_polled.clone());
    }

    pub(super) fn count_runner_bytes(&self, part: Part, border: bool, bytes: usize) {
        self.runner_bytes.get_or_create(&RunnerBytes { part, border }).inc_by(bytes as u64);
    }

    pub(super) fn count_peer_bytes(&self, message: &PeerMessage, bytes: usize) {
        let kind = kind(message);
        self.peer_sent.get_or_create(&PeerSent { kind }).inc_by(bytes as u64);
    }

    pub(super) fn count_store_poll(&self, table: &str, outcome: PollOutcome) {
        self.store_polled.get_or_create(&StorePolled { table: table.into(), outcome }).inc();
    }
}

fn kind(message: &PeerMessage) -> MessageKind {
    match message {
        PeerMessage::Heartbeat(_) => MessageKind::Heartbeat,
        PeerMessage::Load(_) | PeerMessage::RelayedLoad(_) => MessageKind::Load,
        PeerMessage::Revision(_) | PeerMessage::CatalogPull(_) | PeerMessage::CatalogPush(_) => {
            MessageKind::Catalogue
        }
        PeerMessage::MembersPull
        | PeerMessage::MembersPush(_)
        | PeerMessage::Claims(_)
        | PeerMessage::Leave(_) => MessageKind::Membership,
        PeerMessage::Move(_) | PeerMessage::MoveQuery(_) | PeerMessage::MoveEvidence(_) => {
            MessageKind::Move
        }
        PeerMessage::Notice(_) => MessageKind::Notice,
        PeerMessage::Table(_) | PeerMessage::TablePull(_) | PeerMessage::StoreReport(_) => {
            MessageKind::Store
        }
    }
}
