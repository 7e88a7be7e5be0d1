//! Messages from and to peers.

use {
    super::Control,
    crate::{load_sync::PeerReport, records::Records, store::Row},
    bilberryfront_decide::member::{
        PeerMessage,
        message::{Load, Restart},
    },
    bilberryfront_peer::Received,
    compact_str::CompactString,
    tokio::time::Instant,
};

impl<R: Records> Control<R> {
    pub(super) fn publish_load(&mut self, load: Load) {
        self.adopt_restarts(&load.restarts);
        if let Some(membership) = &mut self.membership {
            membership.gossip_failures(Instant::now(), &load.failed);
            membership.send_load(Instant::now(), load);
        }
    }

    pub(super) fn handle_peer_event(&mut self, event: Received) {
        if let Received::Message { message: PeerMessage::Move(news), .. } = &event {
            return self.rollouts.handle_peer_update(Instant::now(), news);
        }
        let event = match event {
            Received::Message { from, message: PeerMessage::Load(load) } => {
                return self.forward_load(from, load);
            }
            Received::Message { message: PeerMessage::RelayedLoad(relayed), .. } => {
                if let Some(membership) = &self.membership {
                    membership.relay_load(&relayed);
                }
                return self.forward_load(relayed.origin, relayed.load);
            }
            event => event,
        };
        if let Received::Message { message: PeerMessage::CatalogPush(push), .. } = event {
            let row = Row {
                table: R::ORDERS.into(),
                key: R::CATALOG.into(),
                value: Some(push.doc.into()),
                revision: push.revision,
            };
            return self.put_in_force(&row);
        }
        if let Some(membership) = &mut self.membership {
            let lost = membership.receive(Instant::now(), event, self.row.as_ref());
            self.forward_failures(lost);
        }
    }

    fn forward_load(&mut self, from: CompactString, load: Load) {
        self.adopt_restarts(&load.restarts);
        // The receiver lives as long as the process.
        _ = self.peer_reports.send(PeerReport { from, load });
    }

    /// Applies restarts found by this node or a peer.
    fn adopt_restarts(&mut self, restarts: &[Restart]) {
        if !restarts.is_empty() && self.registry.adopt_restarts(restarts) {
            self.publish();
        }
    }

    /// Forwards failures reported by gossip, which does not name the reporter.
    pub(super) fn forward_failures(&self, failed: Vec<CompactString>) {
        if !failed.is_empty() {
            let load = Load { failed, ..Load::default() };
            // The receiver lives as long as the process.
            _ = self.peer_reports.send(PeerReport { from: CompactString::default(), load });
        }
    }
}
