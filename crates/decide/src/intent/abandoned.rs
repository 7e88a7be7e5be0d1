//! Claims of this node whose reply was lost and that nobody may send any more.

use {super::row::Owner, rustc_hash::FxHashMap, tokio::time::Instant};

/// Most claims remembered. A forgotten one is never sent: its row then stays without an outcome.
pub const MAX_ABANDONED_CLAIMS: usize = 1024;

/// Claims that were given up before anything was sent.
///
/// Such a claim's row may appear in the table at any later time. A later request with the same key
/// at this node may then take the claim over: the shelf is the only place it can come from, and
/// taking removes it, so it is sent at most once.
#[derive(Debug, Default)]
pub struct AbandonedClaims {
    claims: FxHashMap<Owner, Instant>,
}

impl AbandonedClaims {
    /// Remembers a claim made at `born` and never sent.
    pub fn put(&mut self, owner: Owner, born: Instant) {
        if self.claims.len() >= MAX_ABANDONED_CLAIMS
            && let Some(oldest) = self.claims.iter().min_by_key(|(_, t)| **t).map(|(o, _)| *o)
        {
            self.claims.remove(&oldest);
        }
        self.claims.insert(owner, born);
    }

    /// Whether the claim is here.
    pub fn has(&self, owner: Owner) -> bool {
        self.claims.contains_key(&owner)
    }

    /// Takes the claim, and when it was made.
    pub fn take(&mut self, owner: Owner) -> Option<Instant> {
        self.claims.remove(&owner)
    }
}
