//! How much of a service's requests an unproved version gets.
//!
//! The platform bounds the requests of a bad version by a part of all that come between the order and
//! its deadline, and a fixed slack besides. Each node keeps to its part of both by counting its own, so
//! that the sum holds without any talk, also while nodes are cut off from each other.

use {
    crate::view::{Rule, Split},
    bilberryfront_decide::mover::{Choice, MoveId, Share},
};

/// Part of the bound that is used: the rest covers requests that are on their way when a version is
/// found bad, and nodes that join and take a part that others still use.
const MARGIN: f64 = 0.6;
/// Part of the requests that go to the new version while the bound allows any: enough to tell a
/// failing version within some twenty requests, and few enough that most callers aren't touched.
pub(super) const SHARE: Share = Share(2_500);

/// The bound, as the platform sets it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Part of all requests.
    pub share: f64,
    /// Requests of the whole system besides.
    pub slack: f64,
}

/// What one node has given to a version under move.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Given {
    id: Option<MoveId>,
    all: u32,
    new: u32,
}

impl Given {
    /// Gives a request to a version, as one of `nodes` nodes; `hash` is evenly spread.
    pub fn choose(&mut self, split: &Split, bound: &Bound, nodes: usize, hash: u64) -> Choice {
        if self.id != Some(split.id) {
            *self = Given { id: Some(split.id), ..Given::default() };
        }
        self.all += 1;
        let share = match split.rule {
            Rule::Old => Share::NONE,
            Rule::New => Share::ALL,
            Rule::Trial if self.is_free(bound, nodes) => SHARE,
            Rule::Trial => Share::NONE,
        };
        let new = share.holds(hash);
        self.new += u32::from(new);
        Choice { id: Some(split.id), new, share }
    }

    fn is_free(&self, bound: &Bound, nodes: usize) -> bool {
        let slack = bound.slack / nodes.max(1) as f64;
        let allowed = bound.share * f64::from(self.all) + slack;
        f64::from(self.new) + 1.0 <= allowed * MARGIN
    }
}
