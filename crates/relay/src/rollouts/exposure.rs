//! Exposure of a new version: the requests that it gets during its rollout.
//!
//! The bound is global: a share of all requests during the rollout plus a fixed slack. Each node
//! applies the share to its own requests, and each one that has followed the rollout from its start
//! uses an equal part of the slack, so the bound holds without coordination.

use {
    crate::view::{Rule, Split},
    bilberryfront_decide::mover::{Choice, MoveId, Share},
};

/// Share of the bound that is used; the rest covers requests in flight during a rollback and nodes
/// that have just joined.
const MARGIN: f64 = 0.6;
/// Share of the requests that are sent to the new version while the bound allows.
pub(super) const CANARY_SHARE: Share = Share(2_500);

/// Global bound on the requests of a new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Share of all requests.
    pub share: f64,
    /// Additional requests of the whole system.
    pub slack: f64,
}

/// Requests assigned by this node during one rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Exposure {
    id: Option<MoveId>,
    all: u32,
    new: u32,
}

impl Exposure {
    /// Assigns a request to a version, as one of `nodes` nodes; `hash` is uniformly distributed.
    pub fn choose(&mut self, split: &Split, bound: &Bound, nodes: usize, hash: u64) -> Choice {
        if self.id != Some(split.id) {
            *self = Exposure { id: Some(split.id), ..Exposure::default() };
        }
        self.all += 1;
        let share = match split.rule {
            Rule::OnlyOld => Share::NONE,
            Rule::OnlyNew => Share::ALL,
            Rule::Canary if self.has_budget(split, bound, nodes) => CANARY_SHARE,
            Rule::Canary => Share::NONE,
        };
        let new = share.holds(hash);
        self.new += u32::from(new);
        Choice { id: Some(split.id), new, share }
    }

    fn has_budget(&self, split: &Split, bound: &Bound, nodes: usize) -> bool {
        // A node that has restarted has used its part already.
        let slack = if split.has_slack { bound.slack / nodes.max(1) as f64 } else { 0.0 };
        let allowed = bound.share * f64::from(self.all) + slack;
        f64::from(self.new) + 1.0 <= allowed * MARGIN
    }
}
