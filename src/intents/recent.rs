//! Calls that this node may have sent.

use {
    bilberryfront_decide::intent::{Holder, Owner},
    compact_str::CompactString,
    rustc_hash::FxHashMap,
    std::collections::VecDeque,
};

/// Maximum number of remembered calls, about 3 MB.
const MAX_RECENT: usize = 16_384;

/// The most recent permits of this node, by row key.
///
/// While the table is down, a retry can't be looked up there. Without this cache the node that has
/// just sent a call would answer "not run" to its retry, and the caller would send it again under a
/// new key.
#[derive(Debug, Default)]
pub(super) struct Recent {
    holders: FxHashMap<CompactString, Holder>,
    order: VecDeque<CompactString>,
}

impl Recent {
    /// Adds a permit; evicts the oldest one when full.
    pub(super) fn insert(&mut self, row: &CompactString, holder: Holder) {
        if self.holders.insert(row.clone(), holder).is_some() {
            return;
        }
        self.order.push_back(row.clone());
        if self.order.len() > MAX_RECENT
            && let Some(oldest) = self.order.pop_front()
        {
            self.holders.remove(&oldest);
        }
    }

    /// Removes a permit whose call was not sent.
    pub(super) fn remove(&mut self, row: &CompactString, owner: Owner) {
        if self.holder(row).is_some_and(|h| h.owner == owner) {
            self.holders.remove(row);
        }
    }

    /// Returns the claim under which this node was last permitted to send the call.
    pub(super) fn holder(&self, row: &CompactString) -> Option<Holder> {
        self.holders.get(row).copied()
    }
}
