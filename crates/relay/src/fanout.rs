//! Fan-out of load updates: directly within the failure domain, through one relay to each other
//! domain.
//!
//! A relayed update crosses each border once. Relays change every second, so that an undetected
//! failed relay costs its domain the updates of one epoch only.

use {
    bilberryfront_decide::member::Target,
    compact_str::CompactString,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
    xxhash_rust::xxh64::xxh64,
};

/// Time for which relays are kept.
const EPOCH: Duration = Duration::from_secs(1);

/// A peer and its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Peer.
    pub target: Target,
    /// Failure domain.
    pub domain: CompactString,
}

/// Receivers of a node's updates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fanout {
    /// All nodes of its own domain.
    pub local: Vec<Target>,
    /// One relay in each other domain.
    pub relays: Vec<Target>,
}

impl Fanout {
    /// Receivers of the node `me` in `epoch`. Relays are chosen per sender, which spreads the work.
    pub fn new(me: &str, domain: &str, peers: Vec<Peer>, epoch: u64) -> Fanout {
        let seed = xxh64(me.as_bytes(), epoch);
        let mut routes = Fanout::default();
        let mut far = BTreeMap::<CompactString, (u64, Target)>::new();
        for Peer { target, domain: theirs } in peers {
            if theirs == domain {
                routes.local.push(target);
                continue;
            }
            let mark = xxh64(target.name.as_bytes(), seed);
            if far.get(&theirs).is_none_or(|(best, _)| mark > *best) {
                far.insert(theirs, (mark, target));
            }
        }
        routes.relays = far.into_values().map(|(_, target)| target).collect();
        routes
    }
}

/// Epoch at `now` of a node started at `start`.
pub fn epoch(start: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(start).div_duration_f64(EPOCH) as u64
}
