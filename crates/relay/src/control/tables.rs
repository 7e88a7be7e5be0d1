//! Application of replicated tables, and execution of the replication's actions.

use {
    super::{
        Control,
        feed::{Change, FeedEvent},
        feeds::{Loaded, WatchedTable},
    },
    crate::{
        records::Records,
        store::{Row, Store},
        table_sync::Action,
    },
    bilberryfront_decide::member::{PeerMessage, message::TableId},
    compact_str::CompactString,
    std::time::Duration,
    tokio::time::Instant,
};

impl<R: Records, S: Store> Control<R, S> {
    pub(super) fn apply_event(&mut self, FeedEvent { table, change }: FeedEvent<WatchedTable>) {
        match table {
            WatchedTable::Nodes => self.apply_nodes(&change),
            WatchedTable::Replicated(table) => {
                let mut out = Vec::new();
                self.sync.on_poll(Instant::now(), table, change, &mut out);
                self.apply_actions(out);
                self.step_sync(Instant::now());
            }
        }
    }

    /// Applies a table that was read directly.
    pub(super) fn apply_loaded(&mut self, loaded: Loaded) {
        let (now, mut out) = (Instant::now(), Vec::new());
        match loaded {
            Loaded::Table(table, Ok(rows)) => {
                self.sync.on_load(now, table, rows, &mut out);
                self.apply_actions(out);
            }
            Loaded::Check(change) => {
                self.sync.on_check(now, change, &mut out);
                self.apply_actions(out);
            }
            Loaded::CheckFailed => {
                self.sync.on_check_failed(&mut out);
                self.apply_actions(out);
            }
            Loaded::Table(_, Err(error)) => {
                log::warn!("{error}");
                self.set_cut_off(true);
            }
        }
    }

    fn apply_nodes(&mut self, change: &Change) {
        self.observe_own_rows(change);
        if let Change::Snapshot(rows) | Change::Rows(rows) = change {
            self.apply_quarantined(&rows.rows);
            self.update_throttles(&rows.rows);
        }
        let Some(membership) = &mut self.membership else { return };
        match change {
            Change::Snapshot(rows) => membership.apply_registrations(rows, true),
            Change::Rows(rows) if !rows.rows.is_empty() => {
                membership.apply_registrations(rows, false);
            }
            _ => {}
        }
    }

    /// Performs due work of the replication.
    pub(super) fn step_sync(&mut self, now: Instant) {
        if self.membership.is_none() {
            return;
        }
        let mut out = Vec::new();
        self.sync.step(now, &mut out);
        self.feeds.set_active(&self.sync);
        self.metrics.set_store_era(self.sync.era());
        self.metrics.set_shards(self.sync.shard_count());
        self.set_cut_off(self.sync.is_cut_off());
        self.apply_actions(out);
    }

    /// Handles a message from a peer about the replicated tables.
    pub(super) fn sync_with(&mut self, from: &CompactString, message: PeerMessage) {
        let mut out = Vec::new();
        self.sync.on_message(Instant::now(), from, message, &mut out);
        self.apply_actions(out);
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Broadcast(message) => {
                    if let Some(membership) = &self.membership {
                        membership.broadcast_local(&message);
                    }
                }
                Action::SendToShard { shard, count, message } => {
                    if let Some(membership) = &self.membership {
                        membership.send_to_shard(shard, count, &message);
                    }
                }
                Action::Exchange(message) => {
                    if let Some(membership) = &self.membership {
                        membership.send_to_readers(&message);
                    }
                }
                Action::Send(to, message) => {
                    if let Some(membership) = &self.membership {
                        membership.send_to(&to, &message);
                    }
                }
                Action::Check => self.feeds.check(self.sync.revision(TableId::Operators)),
                Action::RepeatPolls => self.feeds.repeat_polls(),
                Action::Apply { table, rows, grace } => self.apply_rows(table, &rows, grace),
                Action::Release { keys, .. } => {
                    if self.registry.release(&keys) {
                        self.publish();
                    }
                }
            }
        }
    }

    fn apply_rows(&mut self, table: TableId, rows: &[Row], grace: Duration) {
        match table {
            TableId::Operators => self.apply_operator_rows(rows),
            TableId::Statuses => self.apply_statuses(rows),
            TableId::Runners => {
                if self.registry.update(Instant::now(), rows, grace, &self.records) {
                    self.publish();
                }
            }
        }
    }
}
