//! How much this node says to whom: what crosses the borders between failure domains is dear, and so is each
//! question to the store.

use {
    bilberryfront_decide::member::PeerMessage,
    prometheus_client::{
        encoding::{EncodeLabelSet, EncodeLabelValue},
        metrics::{counter::Counter, family::Family},
        registry::Registry,
    },
};

/// A part of what is exchanged with runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub enum Part {
    /// Bodies of requests.
    Request,
    /// Bodies of whole answers.
    Answer,
    /// Events of streams.
    Events,
}

/// What a message to other nodes is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
enum About {
    Heartbeat,
    Load,
    Catalogue,
    Membership,
    Move,
}

/// What came of a question to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub enum Heard {
    /// Rows.
    News,
    /// That nothing has changed.
    Nothing,
    /// No answer, or a refusal.
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Carried {
    part: Part,
    /// Whether it crossed the border of this node's failure domain.
    border: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Told {
    about: About,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Asked {
    table: String,
    heard: Heard,
}

/// The counters.
#[derive(Clone, Default)]
pub(super) struct Volume {
    carried: Family<Carried, Counter>,
    told: Family<Told, Counter>,
    asked: Family<Asked, Counter>,
}

impl Volume {
    pub(super) fn register(&self, registry: &mut Registry) {
        let carried = "Bytes of bodies exchanged with runners";
        registry.register("runner_bytes", carried, self.carried.clone());
        let told = "Bytes of messages to other nodes, each counted for each receiver";
        registry.register("peer_bytes", told, self.told.clone());
        registry.register("store_questions", "Questions for news", self.asked.clone());
    }

    pub(super) fn carried(&self, part: Part, border: bool, bytes: usize) {
        self.carried.get_or_create(&Carried { part, border }).inc_by(bytes as u64);
    }

    pub(super) fn told(&self, message: &PeerMessage, bytes: usize) {
        let about = about(message);
        self.told.get_or_create(&Told { about }).inc_by(bytes as u64);
    }

    pub(super) fn asked(&self, table: &str, heard: Heard) {
        self.asked.get_or_create(&Asked { table: table.into(), heard }).inc();
    }
}

fn about(message: &PeerMessage) -> About {
    match message {
        PeerMessage::Heartbeat(_) => About::Heartbeat,
        PeerMessage::Load(_) | PeerMessage::Relayed(_) => About::Load,
        PeerMessage::Revision(_) | PeerMessage::CatalogPull(_) | PeerMessage::CatalogPush(_) => {
            About::Catalogue
        }
        PeerMessage::MembersPull
        | PeerMessage::MembersPush(_)
        | PeerMessage::Claims(_)
        | PeerMessage::Goodbye(_) => About::Membership,
        PeerMessage::Move(_) => About::Move,
    }
}
