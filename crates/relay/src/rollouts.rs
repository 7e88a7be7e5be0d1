//! Version moves that an operator orders for a service: its requests go over to runners of another
//! version by a deadline, or are taken back.
//!
//! A pure machine for each node; [`crate::control`] carries its wishes to the store and to peers.
//! Until the end, the new version gets a bounded part of the requests ([`exposure`]); nodes pool what
//! they see of both versions and judge it by a sequential test. Lowering the part needs nobody: a node
//! that sees badness, or hears of it, stops at once. Only completing needs the store, since the old
//! runners stop then: the first final word written there counts for all, and any node may write it, so
//! that a move outlives whoever steps it.

pub mod exposure;
mod track;

pub use self::track::{Phase, Wish};

use {
    self::track::Track,
    crate::view::Splits,
    bilberryfront_decide::{
        id::Incarnation,
        mover::{Choice, PeerNews, Sample},
    },
    compact_str::CompactString,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: CompactString,
    /// The version that is to have its requests.
    pub to: CompactString,
    /// Time from the order to its deadline.
    pub time: Duration,
}

/// What the store says of a service's move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The service.
    pub service: CompactString,
    /// The version.
    pub to: CompactString,
    /// How far it has come.
    pub phase: Phase,
}

/// How a request ended that was given to a version while a move was under way.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// The service.
    pub service: CompactString,
    /// The route; one may fail alone.
    pub route: CompactString,
    /// How the version was chosen.
    pub choice: Choice,
    /// Whether it ended well.
    pub ok: bool,
    /// Time to the first event or the answer.
    pub first: Option<Duration>,
    /// Mean time between events.
    pub pace: Option<Duration>,
    /// Any number that tells runners apart.
    pub runner: u64,
}

/// All moves, as one node sees them.
pub struct Moves {
    me: Incarnation,
    tracks: BTreeMap<CompactString, Track>,
    records: BTreeMap<CompactString, (u64, Record)>,
}

impl Moves {
    /// No move yet.
    pub fn new(me: Incarnation) -> Moves {
        Moves { me, tracks: BTreeMap::new(), records: BTreeMap::new() }
    }

    /// Takes an order, written at this version of the store.
    pub fn order(&mut self, now: Instant, revision: u64, order: Order) {
        let known = self.tracks.get(&order.service).is_some_and(|t| t.revision() >= revision);
        if known {
            return;
        }
        log::info!(service = order.service.as_str(), to = order.to.as_str(), revision,
            time = order.time.as_millis() as u64; "a version move is ordered");
        let service = order.service.clone();
        let mut track = Track::new(now, self.me, revision, order);
        if let Some((written, record)) = self.records.get(&service) {
            track.record(*written, record);
        }
        self.tracks.insert(service, track);
    }

    /// Takes what the store says of a move, written at this version.
    pub fn record(&mut self, revision: u64, record: Record) {
        if let Some(track) = self.tracks.get_mut(&record.service) {
            track.record(revision, &record);
        }
        self.records.insert(record.service.clone(), (revision, record));
    }

    /// A request ended.
    pub fn observe(&mut self, trial: &Trial) {
        if let Some(track) = self.tracks.get_mut(&trial.service) {
            track.observe(&Sample {
                choice: trial.choice,
                route: &trial.route,
                ok: trial.ok,
                first: trial.first,
                pace: trial.pace,
                runner: trial.runner,
                account: 0,
            });
        }
    }

    /// A peer's message came.
    pub fn hear(&mut self, now: Instant, news: &PeerNews) {
        if let Some(track) = self.tracks.get_mut(&news.entry) {
            track.hear(now, news);
        }
    }

    /// Ready runners of a service's new version.
    pub fn runners(&mut self, service: &str, new: usize) {
        if let Some(track) = self.tracks.get_mut(service) {
            track.runners(new);
        }
    }

    /// Versions under move, by service.
    pub fn wanted(&self) -> Vec<(CompactString, CompactString)> {
        let each = self.tracks.iter().map(|(service, track)| (service.clone(), track.to().clone()));
        each.collect()
    }

    /// Time has passed: what is to be done. `rank` is this node's place among `nodes`; the first one
    /// writes, and each further one only if those before it haven't.
    pub fn tick(&mut self, now: Instant, rank: usize, nodes: usize) -> Vec<Wish> {
        self.tracks.values_mut().flat_map(|track| track.tick(now, rank, nodes)).collect()
    }

    /// How requests are split.
    pub fn splits(&self) -> Splits {
        let each = self.tracks.iter().map(|(service, track)| (service.clone(), track.split()));
        Arc::new(each.collect())
    }
}
