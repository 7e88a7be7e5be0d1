//! Merges claims of other nodes.

use {
    super::{
        CONFIRM, Members, Output,
        message::{Claim, NodeState, PeerMessage, Update},
        record::Merged,
    },
    tokio::time::Instant,
};

/// Whether a merged claim is gossiped.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Gossip {
    Yes,
    No,
}

impl Members {
    /// Merges claims and refutes outdated ones. Heartbeats travel in one direction around the
    /// rings, so the sender of a false suspicion would otherwise learn last.
    pub(super) fn check<'a>(
        &mut self,
        now: Instant,
        from: &str,
        claims: impl IntoIterator<Item = &'a Claim>,
        out: &mut Vec<Output>,
    ) {
        let claims = claims.into_iter();
        let answer: Vec<Claim> =
            claims.filter_map(|c| self.merge(now, c, Gossip::Yes, out)).collect();
        if !answer.is_empty() {
            self.send(from, PeerMessage::Claims(answer), out);
        }
    }

    /// Merges a claim; returns a refutation if it is outdated.
    pub(super) fn merge(
        &mut self,
        now: Instant,
        claim: &Claim,
        gossip: Gossip,
        out: &mut Vec<Output>,
    ) -> Option<Claim> {
        if claim.name == self.me.name {
            return self.merge_self(now, claim);
        }
        let record = self.record(now, &claim.name)?;
        let (from, counted) = (record.state, record.counts());
        let learned = record.merge(now, claim.moment, claim.state);
        if learned != Merged::Outdated && claim.location.is_some() {
            record.location.clone_from(&claim.location);
        }
        let (to, counts) = (record.state, record.counts());
        // The platform's list may not name the node to the receivers.
        let is_new = matches!(from, NodeState::Unknown | NodeState::Gone | NodeState::Forgotten);
        let held = record.claim(&claim.name, is_new || !record.listed);
        self.stale_ring |= counted != counts;
        if to == NodeState::Suspect {
            self.sweep = self.sweep.min(now + CONFIRM);
        }
        if from != to {
            out.push(Output::Changed { name: claim.name.clone(), from, to });
        }
        if (learned, gossip) == (Merged::Changed, Gossip::Yes) {
            self.updates.push(Update::Node(held.clone()));
        }
        (learned == Merged::Outdated).then_some(held)
    }

    /// Refutes claims that this node is dead or has a newer incarnation.
    fn merge_self(&mut self, now: Instant, claim: &Claim) -> Option<Claim> {
        let newer = claim.moment.life > self.me.life;
        if newer {
            self.me.life.epoch = claim.moment.life.epoch.saturating_add(1);
        }
        let doubted = claim.moment.life == self.me.life
            && matches!(claim.state, NodeState::Suspect | NodeState::Gone);
        if !newer && !doubted {
            return None;
        }
        if claim.moment.life == self.me.life {
            self.beat = self.beat.max(claim.moment.beat);
        }
        self.beat += 1;
        let (name, moment) = (self.me.name.clone(), self.moment());
        let location = Some(self.me.location.clone());
        let held = Claim { name, moment, state: self.state, location };
        self.updates.push(Update::Node(held.clone()));
        self.hurry(now);
        Some(held)
    }
}
