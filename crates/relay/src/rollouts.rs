//! Rollouts: an operator orders that a service moves to another version by a deadline.
//!
//! Each node has a state machine per service. During the rollout the new version gets a bounded
//! share of the requests ([`exposure`]). The nodes exchange their results and compare both versions
//! with a sequential test. Requests to the new version are paused after a number of bad responses,
//! whether or not there is a finding. Any node may stop sending requests to the new version on its
//! own. Only completion needs the store, because the old runners stop then: the first final status
//! written to the store is authoritative.

mod comparison;
pub mod exposure;
mod track;
pub mod trial;
mod waits;

pub use self::track::{Action, Phase};

use {
    self::{track::Rollout, trial::TrialReport},
    crate::{store::Revision, view::Splits},
    bilberryfront_decide::{
        id::Incarnation,
        mover::{MoveEvidence, MoveQuery, MoveUpdate},
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

/// Status of a rollout as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Service.
    pub service: CompactString,
    /// Target version.
    pub to: CompactString,
    /// Phase.
    pub phase: Phase,
}

/// All rollouts.
pub struct Rollouts {
    me: Incarnation,
    rollouts: BTreeMap<CompactString, Rollout>,
    statuses: BTreeMap<CompactString, (Revision, RolloutStatus)>,
    /// Whether the orders that were stored before this node started have been applied.
    loaded: bool,
}

impl Rollouts {
    /// Creates the state without any rollouts.
    pub fn new(me: Incarnation) -> Rollouts {
        Rollouts { me, rollouts: BTreeMap::new(), statuses: BTreeMap::new(), loaded: false }
    }

    /// Marks the orders that were stored before this node started as applied.
    pub fn mark_loaded(&mut self) {
        self.loaded = true;
    }

    /// Applies an order with its store revision.
    pub fn apply_order(&mut self, now: Instant, revision: Revision, order: RolloutOrder) {
        let former = self.rollouts.get_mut(&order.service);
        if former.is_some_and(|former| former.covers(revision, &order)) {
            return;
        }
        log::info!(service = order.service.as_str(), to = order.to.as_str(), revision:%,
            time = order.time.as_millis() as u64; "rollout ordered");
        let service = order.service.clone();
        let mut rollout = Rollout::new(now, self.me, revision, order, !self.loaded);
        if let Some((written, status)) = self.statuses.get(&service) {
            rollout.apply_status(now, *written, status);
        }
        if let Some(former) = self.rollouts.get(&service) {
            rollout.set_replaced(former);
        }
        self.rollouts.insert(service, rollout);
    }

    /// Applies a stored status with its store revision.
    pub fn apply_status(&mut self, now: Instant, revision: Revision, status: RolloutStatus) {
        if let Some(rollout) = self.rollouts.get_mut(&status.service) {
            rollout.apply_status(now, revision, &status);
        }
        self.statuses.insert(status.service.clone(), (revision, status));
    }

    /// Applies that the store has no status of a service.
    pub fn remove_status(&mut self, now: Instant, service: &str) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.remove_status(now);
        }
        self.statuses.remove(service);
    }

    /// Applies a report on the first attempt of a request.
    pub fn observe(&mut self, report: &TrialReport) {
        if let Some(rollout) = self.rollouts.get_mut(&report.service) {
            rollout.observe(report.number, &report.event);
        }
    }

    /// Applies a message from a peer.
    pub fn handle_peer_update(&mut self, now: Instant, update: &MoveUpdate) {
        if let Some(rollout) = self.rollouts.get_mut(&update.entry) {
            rollout.handle_peer_update(now, update);
        }
    }

    /// Returns what this node knows of a rollout.
    pub fn answer_query(&self, now: Instant, query: &MoveQuery) -> Vec<MoveEvidence> {
        let rollout = self.rollouts.get(&query.entry);
        rollout.map_or_else(Vec::new, |rollout| rollout.answer_query(now, query))
    }

    /// Applies what a peer knows of a rollout.
    pub fn handle_peer_evidence(&mut self, now: Instant, evidence: &MoveEvidence) {
        if let Some(rollout) = self.rollouts.get_mut(&evidence.entry) {
            rollout.handle_peer_evidence(now, evidence);
        }
    }

    /// Returns messages with this node's last results, for peers.
    pub fn last_updates(&mut self, now: Instant) -> Vec<MoveUpdate> {
        self.rollouts.values_mut().filter_map(|rollout| rollout.last_update(now)).collect()
    }

    /// Sets the number of ready runners of the new version.
    pub fn set_ready_runners(&mut self, service: &str, new: usize) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.set_ready_runners(new);
        }
    }

    /// Returns the services with a rollout and their target versions.
    pub fn pending_versions(&self) -> Vec<(CompactString, CompactString)> {
        let each =
            self.rollouts.iter().map(|(service, rollout)| (service.clone(), rollout.to().clone()));
        each.collect()
    }

    /// Performs due work. `rank` is this node's position among `nodes` nodes: the first one writes
    /// the status, the next ones only if it has not.
    pub fn tick(&mut self, now: Instant, rank: usize, nodes: usize) -> Vec<Action> {
        self.rollouts.values_mut().flat_map(|rollout| rollout.tick(now, rank, nodes)).collect()
    }

    /// Returns the current splits of requests by service.
    pub fn splits(&self) -> Splits {
        let each =
            self.rollouts.iter().map(|(service, rollout)| (service.clone(), rollout.split()));
        Arc::new(each.collect())
    }
}
