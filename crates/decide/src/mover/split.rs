//! The request path's view of a move: small, copied out, and good for a short time only.

use {
    super::{record::MoveId, units::Share},
    compact_str::CompactString,
    tokio::time::Instant,
};

/// How requests of an entry are split between two versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// The move.
    pub id: MoveId,
    /// Old version.
    pub from: CompactString,
    /// New version.
    pub to: CompactString,
    /// Share of the new version.
    pub share: Share,
    /// Expiry of the share; `None` for no expiry. Afterwards the new version gets nothing.
    ///
    /// A node that is cut off or suspended cannot see a rollback, so its share expires.
    pub until: Option<Instant>,
}

/// How a request was given to a version. Kept with the request until it ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Choice {
    /// The move under way; `None` when there was none.
    pub id: Option<MoveId>,
    /// Whether the new version got it.
    pub new: bool,
    /// The new version's share at that moment.
    pub share: Share,
}

impl Split {
    /// The share at `now`.
    pub fn share(&self, now: Instant) -> Share {
        let holds = self.until.is_none_or(|until| now < until);
        if holds { self.share } else { Share::NONE }
    }

    /// Gives a request to a version. `hash` is evenly spread and the same for a request's repeats.
    /// Not for attempts after the first: those stay with their version.
    pub fn choose(&self, now: Instant, hash: u64) -> Choice {
        let share = self.share(now);
        Choice { id: Some(self.id), new: share.holds(hash), share }
    }

    /// The version of a choice.
    pub fn version(&self, choice: Choice) -> &CompactString {
        if choice.new { &self.to } else { &self.from }
    }
}
