//! Exchange of messages with peers.

use {
    super::Control,
    crate::{
        load_sync::{PeerReport, Update},
        records::Records,
        store::{Row, Store},
    },
    bilberryfront_decide::member::{
        PeerMessage,
        message::{CatalogPush, Load, Notice, NoticeContent, RelayedLoad, Restart},
    },
    bilberryfront_peer::Received,
    compact_str::CompactString,
    tokio::time::Instant,
};

impl<R: Records, S: Store> Control<R, S> {
    pub(super) fn publish_update(&mut self, update: Update) {
        let Update { load, crashes, repeated, quarantined, partitions, prompts, .. } = update;
        self.write_quarantined(&quarantined, &update.patterns);
        self.adopt_restarts(&load.restarts);
        let Some(membership) = &mut self.membership else { return };
        if !load.is_empty() {
            membership.gossip_failures(Instant::now(), &load.failed);
            membership.send_load(&load, |id| self.registry.domain(id));
        }
        if !crashes.is_empty() {
            membership.send_notice(NoticeContent::Crashes(crashes));
        }
        if !repeated.is_empty() {
            membership.repeat_notice(NoticeContent::Crashes(repeated));
        }
        if !prompts.is_empty() {
            membership.send_notice(NoticeContent::Prompts(prompts));
        }
        if !update.repeated_patterns.is_empty() {
            membership.repeat_notice(NoticeContent::Prompts(update.repeated_patterns));
        }
        if let Some(services) = partitions {
            membership.send_notice(NoticeContent::Partitions(services));
        }
        if !update.repeated_throttles.is_empty() {
            membership.repeat_notice(NoticeContent::Throttles(update.repeated_throttles));
        }
    }

    pub(super) fn handle_peer_event(&mut self, event: Received) {
        let Received::Message { from, message } = event else {
            return self.handle_membership_event(event);
        };
        match message {
            PeerMessage::Move(update) => {
                self.rollouts.handle_peer_update(Instant::now(), &update);
            }
            PeerMessage::MoveQuery(query) => self.answer_rollout_query(&from, &query),
            PeerMessage::MoveEvidence(evidence) => {
                self.rollouts.handle_peer_evidence(Instant::now(), &evidence);
            }
            PeerMessage::Load(load) => self.forward_load(from, *load),
            PeerMessage::RelayedLoad(relayed) => {
                if let Some(membership) = &self.membership {
                    membership.relay_load(&relayed);
                }
                let RelayedLoad { origin, load, .. } = *relayed;
                self.forward_load(origin, load);
            }
            PeerMessage::Notice(notice) => self.handle_notice(notice),
            PeerMessage::CatalogPush(push) => self.apply_gossiped_catalog(push),
            message @ (PeerMessage::Table(_)
            | PeerMessage::TablePull(_)
            | PeerMessage::StoreReport(_)) => self.sync_with(&from, message),
            message => self.handle_membership_event(Received::Message { from, message }),
        }
    }

    fn handle_notice(&self, notice: Notice) {
        if let Some(membership) = &self.membership {
            membership.forward_notice(&notice);
        }
        let Notice { origin: from, content, .. } = notice;
        self.report(match content {
            NoticeContent::Crashes(crashes) => PeerReport::Crashes(crashes),
            NoticeContent::Prompts(report) => PeerReport::Prompts(report),
            NoticeContent::Partitions(services) => PeerReport::Partitions { from, services },
            NoticeContent::Throttles(rows) => PeerReport::Throttles(rows),
        });
    }

    fn handle_membership_event(&mut self, event: Received) {
        if let Some(membership) = &mut self.membership {
            let failed = membership.receive(Instant::now(), event, self.row.as_ref());
            self.forward_failures(failed);
        }
    }

    fn apply_gossiped_catalog(&mut self, push: CatalogPush) {
        let CatalogPush { revision, doc } = push;
        let row = Row { key: R::CATALOG.into(), value: Some(doc.into()), revision: revision.row };
        self.sync.on_gossip(Instant::now(), row.clone());
        self.apply_catalog(&row);
    }

    fn forward_load(&mut self, from: CompactString, load: Load) {
        self.adopt_restarts(&load.restarts);
        self.report(PeerReport::Load { from, load });
    }

    /// Sends a report of a peer to the traffic thread.
    pub(super) fn report(&self, report: PeerReport) {
        // The receiver exists as long as the process.
        _ = self.peer_reports.send(report);
    }

    /// Applies restarts of runners found by this node or a peer.
    fn adopt_restarts(&mut self, restarts: &[Restart]) {
        let settled = self.sync.is_settled(Instant::now());
        if !restarts.is_empty() && self.registry.adopt_restarts(restarts, settled) {
            self.publish();
        }
    }

    /// Forwards failures of runners received by gossip to the traffic thread; gossip does not
    /// include the reporting node.
    pub(super) fn forward_failures(&self, failed: Vec<CompactString>) {
        if !failed.is_empty() {
            let load = Load { failed, ..Load::default() };
            self.report(PeerReport::Load { from: CompactString::default(), load });
        }
    }
}
