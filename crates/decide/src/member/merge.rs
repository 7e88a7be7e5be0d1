//! What becomes of the things that nodes say of each other.

use {
    super::{
        CONFIRM, Members, Output,
        message::{Claim, News, NodeState, PeerMessage},
        record::Learned,
    },
    tokio::time::Instant,
};

/// Whether what was learned goes into the next heartbeats.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Spread {
    Yes,
    No,
}

impl Members {
    /// Takes claims and answers those that are out of date. Heartbeats only go round the rings in one
    /// direction: without an answer, who spreads a false suspicion would be the last to hear so.
    pub(super) fn check<'a>(
        &mut self,
        now: Instant,
        from: &str,
        claims: impl IntoIterator<Item = &'a Claim>,
        out: &mut Vec<Output>,
    ) {
        let claims = claims.into_iter();
        let answer: Vec<Claim> =
            claims.filter_map(|c| self.learn(now, c, Spread::Yes, out)).collect();
        if !answer.is_empty() {
            self.send(from, PeerMessage::Claims(answer), out);
        }
    }

    /// Takes a claim; returns what to hold against it if it is out of date.
    pub(super) fn learn(
        &mut self,
        now: Instant,
        claim: &Claim,
        spread: Spread,
        out: &mut Vec<Output>,
    ) -> Option<Claim> {
        if claim.name == self.me.name {
            return self.learn_self(now, claim);
        }
        let record = self.record(now, &claim.name)?;
        let (from, counted) = (record.state, record.counts());
        let learned = record.learn(now, claim.moment, claim.state);
        if learned != Learned::Outdated && claim.place.is_some() {
            record.place.clone_from(&claim.place);
        }
        let (to, counts) = (record.state, record.counts());
        let held = record.claim(&claim.name, !record.listed);
        self.stale_ring |= counted != counts;
        if to == NodeState::Suspect {
            self.sweep = self.sweep.min(now + CONFIRM);
        }
        if from != to {
            out.push(Output::Changed { name: claim.name.clone(), from, to });
        }
        if (learned, spread) == (Learned::Changed, Spread::Yes) {
            self.news.push(News::Node(held.clone()));
        }
        (learned == Learned::Outdated).then_some(held)
    }

    /// Others may think this node dead, or think another life of it newer; both are set right.
    fn learn_self(&mut self, now: Instant, claim: &Claim) -> Option<Claim> {
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
        let place = Some(self.me.place.clone());
        let held = Claim { name, moment, state: self.state, place };
        self.news.push(News::Node(held.clone()));
        self.hurry(now);
        Some(held)
    }
}
