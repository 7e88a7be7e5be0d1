//! The request path's view of a move: a small copy that expires soon.

use {
    super::{record::MoveId, units::Share},
    compact_str::CompactString,
    tokio::time::Instant,
};

/// Traffic split of an entry between two versions.
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

/// Assignment of a request to a version, stored with the request until it ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Choice {
    /// The move in progress; `None` if there was none.
    pub id: Option<MoveId>,
    /// Whether the request was assigned to the new version.
    pub new: bool,
    /// The new version's share at the time of the assignment.
    pub share: Share,
}

impl Choice {
    /// Returns whether the request could have been assigned to either version.
    pub fn is_random(&self) -> bool {
        self.share != Share::NONE && self.share != Share::ALL
    }
}

impl Split {
    /// Returns the share at `now`.
    pub fn share(&self, now: Instant) -> Share {
        let is_valid = self.until.is_none_or(|until| now < until);
        if is_valid { self.share } else { Share::NONE }
    }

    /// Assigns a request to a version. `hash` is uniformly distributed and the same for repeats of
    /// a request. Only for a request's first attempt; later attempts stay with its version.
    pub fn choose(&self, now: Instant, hash: u64) -> Choice {
        let share = self.share(now);
        Choice { id: Some(self.id), new: share.holds(hash), share }
    }

    /// Returns the version of a choice.
    pub fn version(&self, choice: Choice) -> &CompactString {
        if choice.new { &self.to } else { &self.from }
    }
}
