//! Applies replicated tables and carries out the replication's actions.

use {
    super::{
        Control, Peers,
        feed::{Change, FeedEvent},
        feeds::Watched,
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
    pub(super) fn apply_event(&mut self, FeedEvent { table, change }: FeedEvent<Watched>) {
        let Some(Peers { membership, sync }) = &mut self.joined else { return };
        match (table, change) {
            (Watched::Nodes, Change::Whole(rows)) => membership.list(&rows, true),
            (Watched::Nodes, Change::Rows(rows)) if !rows.rows.is_empty() => {
                membership.list(&rows, false);
            }
            (Watched::Nodes, _) => {}
            (Watched::Replicated(table), change) => {
                let mut out = Vec::new();
                sync.polled(Instant::now(), table, change, &mut out);
                self.carry_out(out);
                self.step_sync(Instant::now());
            }
        }
    }

    /// Performs due work of the replication.
    pub(super) fn step_sync(&mut self, now: Instant) {
        let Some(Peers { sync, .. }) = &mut self.joined else { return };
        let mut out = Vec::new();
        sync.step(now, &mut out);
        self.feeds.set_active(sync);
        let cut_off = sync.is_cut_off();
        self.set_cut_off(cut_off);
        self.carry_out(out);
    }

    /// Handles a peer's message about the tables.
    pub(super) fn sync_with(&mut self, from: &CompactString, message: PeerMessage) {
        let Some(Peers { sync, .. }) = &mut self.joined else { return };
        let mut out = Vec::new();
        sync.received(Instant::now(), from, message, &mut out);
        self.carry_out(out);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            let Some(Peers { membership, .. }) = &self.joined else { return };
            match action {
                Action::Broadcast(message) => membership.broadcast_local(&message),
                Action::Send(to, message) => membership.send_to(&to, &message),
                Action::Apply { table, rows, grace } => self.apply_rows(table, &rows, grace),
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
