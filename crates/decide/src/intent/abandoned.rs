//! Claims that this node abandoned without sending, because the table's reply was lost.

use {super::row::Owner, rustc_hash::FxHashMap, tokio::time::Instant};

/// Maximum number of retained claims; the oldest is evicted. An evicted claim is never sent, so its
/// row stays without an outcome.
pub const MAX_ABANDONED_CLAIMS: usize = 1024;

/// Claims that were abandoned before anything was sent.
///
/// The row of such a claim may still appear in the table at any later time. A later request with
/// the same key at this node may then take the claim over. This removes it from here, and no other
/// copy exists, so the call is sent at most once.
#[derive(Debug, Default)]
pub struct AbandonedClaims {
    claims: FxHashMap<Owner, Instant>,
}

impl AbandonedClaims {
    /// Adds a claim that was made at `claimed_at` and never sent.
    pub fn insert(&mut self, owner: Owner, claimed_at: Instant) {
        if self.claims.len() >= MAX_ABANDONED_CLAIMS
            && let Some(oldest) = self.claims.iter().min_by_key(|(_, t)| **t).map(|(o, _)| *o)
        {
            self.claims.remove(&oldest);
        }
        self.claims.insert(owner, claimed_at);
    }

    /// Returns whether the claim was abandoned and not yet taken over.
    pub fn contains(&self, owner: Owner) -> bool {
        self.claims.contains_key(&owner)
    }

    /// Removes the claim and returns when it was made.
    pub fn remove(&mut self, owner: Owner) -> Option<Instant> {
        self.claims.remove(&owner)
    }
}
