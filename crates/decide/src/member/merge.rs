//! Merging of claims from other nodes.

use {
    super::{
        CONFIRM_TIMEOUT, Members, Output,
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
    /// Merges claims and sends refutations of outdated ones to `from`. Heartbeats travel in one
    /// direction around the rings, so the sender of a false suspicion would otherwise be the last
    /// to receive the refutation.
    pub(super) fn merge_claims<'a>(
        &mut self,
        now: Instant,
        from: &str,
        claims: impl IntoIterator<Item = &'a Claim>,
        out: &mut Vec<Output>,
    ) {
        let claims = claims.into_iter();
        let refutations: Vec<Claim> =
            claims.filter_map(|c| self.merge(now, c, Gossip::Yes, out)).collect();
        if !refutations.is_empty() {
            self.send(from, PeerMessage::Claims(refutations), out);
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
        let (from, was_in_topology) = (record.state, record.is_in_topology());
        let merged = record.merge(now, claim.moment, claim.state);
        if merged != Merged::Outdated && claim.location.is_some() {
            record.location.clone_from(&claim.location);
        }
        let (to, is_in_topology) = (record.state, record.is_in_topology());
        // The receivers may not find the node's addresses in the platform's list.
        let is_new = matches!(from, NodeState::Unknown | NodeState::Gone | NodeState::Forgotten);
        let current = record.claim(&claim.name, is_new || !record.listed);
        self.ring_is_stale |= was_in_topology != is_in_topology;
        if to == NodeState::Suspect {
            self.sweep_at = self.sweep_at.min(now + CONFIRM_TIMEOUT);
        }
        if from != to {
            out.push(Output::Changed { name: claim.name.clone(), from, to });
        }
        if (merged, gossip) == (Merged::Changed, Gossip::Yes) {
            self.updates.push(Update::Node(current.clone()));
        }
        (merged == Merged::Outdated).then_some(current)
    }

    /// Refutes claims that this node is dead or has a newer incarnation.
    fn merge_self(&mut self, now: Instant, claim: &Claim) -> Option<Claim> {
        let is_newer = claim.moment.life > self.me.life;
        if is_newer {
            self.me.life.epoch = claim.moment.life.epoch.saturating_add(1);
        }
        let is_suspicion = claim.moment.life == self.me.life
            && matches!(claim.state, NodeState::Suspect | NodeState::Gone);
        if !is_newer && !is_suspicion {
            return None;
        }
        if claim.moment.life == self.me.life {
            self.beat = self.beat.max(claim.moment.beat);
        }
        self.beat += 1;
        let refutation = self.own_claim();
        self.updates.push(Update::Node(refutation.clone()));
        self.schedule_early_heartbeat(now);
        Some(refutation)
    }
}
