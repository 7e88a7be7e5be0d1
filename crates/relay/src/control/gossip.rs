//! What this node tells the others, and what they tell it.

use {
    super::Control,
    crate::{loads::Heard, records::Records, store::Row},
    bilberryfront_decide::member::{
        PeerMessage,
        message::{Load, Restart},
    },
    bilberryfront_peer::Received,
    compact_str::CompactString,
    tokio::time::Instant,
};

impl<R: Records> Control<R> {
    pub(super) fn tell(&mut self, load: Load) {
        self.take_over(&load.restarts);
        if let Some(membership) = &mut self.membership {
            membership.spread_failures(Instant::now(), &load.failed);
            membership.tell_load(Instant::now(), load);
        }
    }

    pub(super) fn hear(&mut self, event: Received) {
        if let Received::Message { message: PeerMessage::Move(news), .. } = &event {
            return self.moves.hear(Instant::now(), news);
        }
        let event = match event {
            Received::Message { from, message: PeerMessage::Load(load) } => {
                return self.hear_load(from, load);
            }
            Received::Message { message: PeerMessage::Relayed(relayed), .. } => {
                if let Some(membership) = &self.membership {
                    membership.pass_on(&relayed);
                }
                return self.hear_load(relayed.origin, relayed.load);
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
            let lost = membership.hear(Instant::now(), event, self.row.as_ref());
            self.pass_on(lost);
        }
    }

    fn hear_load(&mut self, from: CompactString, load: Load) {
        self.take_over(&load.restarts);
        // The receiver goes away only when the process ends.
        _ = self.heard.send(Heard { from, load });
    }

    /// Lists runners that this node or another one found to have started anew.
    fn take_over(&mut self, restarts: &[Restart]) {
        if !restarts.is_empty() && self.listing.take_over(restarts) {
            self.publish();
        }
    }

    /// Passes on which runners other nodes lost. Whose word it was is gone by the time it has come
    /// round; only the runners matter.
    pub(super) fn pass_on(&self, failed: Vec<CompactString>) {
        if !failed.is_empty() {
            let load = Load { failed, ..Load::default() };
            // The receiver goes away only when the process ends.
            _ = self.heard.send(Heard { from: CompactString::default(), load });
        }
    }
}
