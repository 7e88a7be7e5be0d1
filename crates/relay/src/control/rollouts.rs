//! Advances the rollouts and carries out their actions.

use {
    super::{Control, members::Membership},
    crate::{
        records::Records,
        rollouts::{Action, RolloutStatus},
        store::{Row, Store, Write},
        view::State,
    },
    bilberryfront_decide::{
        member::{PeerMessage, message::TableId},
        mover::{MoveQuery, MoveUpdate},
    },
    compact_str::CompactString,
    tokio::time::Instant,
};

impl<R: Records, S: Store> Control<R, S> {
    /// Advances the rollouts and carries out their actions.
    pub(super) fn step_rollouts(&mut self) {
        for (service, to) in self.rollouts.pending_versions() {
            let runners = self.registry.runners();
            let new = runners.iter().filter(|r| r.service == service && r.version == to);
            let ready = new.filter(|r| r.state == State::Ready).count();
            self.rollouts.set_ready_runners(&service, ready);
        }
        let name = self.membership.as_ref().map(Membership::name);
        let mut names: Vec<&CompactString> = self.nodes.iter().map(|n| &n.name).collect();
        names.sort_unstable();
        let rank = names.iter().position(|n| Some(*n) == name).unwrap_or(names.len());
        for action in self.rollouts.tick(Instant::now(), rank, names.len()) {
            match action {
                Action::Broadcast(update) => self.broadcast_rollout(update),
                Action::Query { query, attempt } => self.query_rollout(query, attempt),
                Action::Write(status) => self.write_status(&status),
            }
        }
        let splits = self.rollouts.splits();
        if splits != self.splits {
            self.splits = splits;
            self.publish();
        }
    }

    /// Writes a status if the stored one is the one that this node has read.
    fn write_status(&self, status: &RolloutStatus) {
        let (key, value) = self.records.encode_status(status);
        let Some(condition) = self.sync.condition(TableId::Statuses, &key) else { return };
        let row = Write { table: R::STATUS.into(), key, value: Some(value), condition };
        tokio::task::spawn_local(write_status(self.store.clone(), row));
    }

    fn broadcast_rollout(&self, update: MoveUpdate) {
        if let Some(membership) = &self.membership {
            membership.broadcast(&PeerMessage::Move(update));
        }
    }

    /// Asks some other nodes for their evidence, others with each attempt.
    fn query_rollout(&self, query: MoveQuery, attempt: usize) {
        if let Some(membership) = &self.membership {
            membership.send_to_some(attempt, &PeerMessage::MoveQuery(query));
        }
    }

    /// Sends what this node knows of a rollout to another one.
    pub(super) fn answer_rollout_query(&self, from: &str, query: &MoveQuery) {
        let Some(membership) = &self.membership else { return };
        for evidence in self.rollouts.answer_query(Instant::now(), query) {
            membership.send_to(from, &PeerMessage::MoveEvidence(evidence));
        }
    }

    /// Sends this node's last results to the others before it exits.
    pub(super) fn send_last_results(&mut self) {
        for update in self.rollouts.last_updates(Instant::now()) {
            self.broadcast_rollout(update);
        }
    }

    /// Applies a rollout order.
    pub(super) fn apply_rollout_order(&mut self, row: &Row) {
        let Some(value) = &row.value else { return };
        match self.records.parse_order(&row.key, value) {
            Some(Ok(order)) => self.rollouts.apply_order(Instant::now(), row.revision, order),
            Some(Err(error)) => {
                log::warn!(key = row.key.as_str(); "invalid rollout order: {error}");
            }
            None => {}
        }
    }

    pub(super) fn apply_statuses(&mut self, rows: &[Row]) {
        let now = Instant::now();
        for row in rows {
            let Some(value) = &row.value else {
                let service = self.records.status_service(&row.key);
                service.iter().for_each(|service| self.rollouts.remove_status(now, service));
                continue;
            };
            match self.records.parse_status(&row.key, value) {
                Some(Ok(status)) => self.rollouts.apply_status(now, row.revision, status),
                Some(Err(error)) => {
                    log::warn!(key = row.key.as_str(); "invalid rollout status: {error}");
                }
                None => {}
            }
        }
    }
}

/// Writes a status. The rollout retries a failed write.
async fn write_status<S: Store>(store: S, row: Write) {
    match store.write(std::slice::from_ref(&row)).await {
        Ok(_) => log::info!(key = row.key.as_str(); "rollout status written"),
        Err(error) => log::warn!(key = row.key.as_str(); "cannot write a rollout status: {error}"),
    }
}
