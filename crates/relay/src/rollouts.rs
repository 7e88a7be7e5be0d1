//! Rollouts: an operator orders a service to move to another version by a deadline.
//!
//! A state machine per node and service. During the rollout the new version gets a bounded share of
//! the requests ([`exposure`]); nodes pool their evidence and compare both versions with a
//! sequential test. Any node may reduce the share on its own. Only completion needs the store,
//! because the old runners stop then: the first final status written there is authoritative.

pub mod exposure;
mod track;

pub use self::track::{Action, Phase};

use {
    self::track::Track,
    crate::view::Splits,
    bilberryfront_decide::{
        id::Incarnation,
        mover::{Choice, MoveUpdate, Sample},
    },
    compact_str::CompactString,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// A rollout order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service.
    pub service: CompactString,
    /// Target version.
    pub to: CompactString,
    /// Time from the order to the deadline.
    pub time: Duration,
}

/// Rollout status as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Service.
    pub service: CompactString,
    /// Target version.
    pub to: CompactString,
    /// Phase.
    pub phase: Phase,
}

/// Outcome of a request during a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// Service.
    pub service: CompactString,
    /// Route.
    pub route: CompactString,
    /// Version assignment.
    pub choice: Choice,
    /// Whether it succeeded.
    pub ok: bool,
    /// Time to the first event or the response.
    pub first: Option<Duration>,
    /// Mean time between events.
    pub pace: Option<Duration>,
    /// Distinguishes runners.
    pub runner: u64,
}

/// All rollouts.
pub struct Rollouts {
    me: Incarnation,
    tracks: BTreeMap<CompactString, Track>,
    records: BTreeMap<CompactString, (u64, Record)>,
}

impl Rollouts {
    /// No rollouts.
    pub fn new(me: Incarnation) -> Rollouts {
        Rollouts { me, tracks: BTreeMap::new(), records: BTreeMap::new() }
    }

    /// Applies an order with its store revision.
    pub fn order(&mut self, now: Instant, revision: u64, order: RolloutOrder) {
        let known = self.tracks.get(&order.service).is_some_and(|t| t.revision() >= revision);
        if known {
            return;
        }
        log::info!(service = order.service.as_str(), to = order.to.as_str(), revision,
            time = order.time.as_millis() as u64; "rollout ordered");
        let service = order.service.clone();
        let mut track = Track::new(now, self.me, revision, order);
        if let Some((written, record)) = self.records.get(&service) {
            track.record(*written, record);
        }
        self.tracks.insert(service, track);
    }

    /// Applies a stored status with its store revision.
    pub fn record(&mut self, revision: u64, record: Record) {
        if let Some(track) = self.tracks.get_mut(&record.service) {
            track.record(revision, &record);
        }
        self.records.insert(record.service.clone(), (revision, record));
    }

    /// Records an outcome.
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

    /// Applies a peer's message.
    pub fn handle_peer_update(&mut self, now: Instant, news: &MoveUpdate) {
        if let Some(track) = self.tracks.get_mut(&news.entry) {
            track.handle_peer_update(now, news);
        }
    }

    /// Sets the number of ready runners of the new version.
    pub fn runners(&mut self, service: &str, new: usize) {
        if let Some(track) = self.tracks.get_mut(service) {
            track.runners(new);
        }
    }

    /// Target versions by service.
    pub fn pending_versions(&self) -> Vec<(CompactString, CompactString)> {
        let each = self.tracks.iter().map(|(service, track)| (service.clone(), track.to().clone()));
        each.collect()
    }

    /// Advances time. `rank` is this node's position among `nodes`: the first one writes, the next
    /// ones only if it has not.
    pub fn tick(&mut self, now: Instant, rank: usize, nodes: usize) -> Vec<Action> {
        self.tracks.values_mut().flat_map(|track| track.tick(now, rank, nodes)).collect()
    }

    /// Current request splits.
    pub fn splits(&self) -> Splits {
        let each = self.tracks.iter().map(|(service, track)| (service.clone(), track.split()));
        Arc::new(each.collect())
    }
}
