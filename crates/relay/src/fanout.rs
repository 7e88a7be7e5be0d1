//! Who is told of a node's loads: its own failure domain directly, every other one through one node there.
//!
//! Sent to each node by itself, a word crosses a border between failure domains once for each node behind it,
//! and those bytes are dear. Through a relay it crosses once, and comes some milliseconds later. The relay
//! is another node each second: while the chosen one is down or cut off and isn't known to be, its domain
//! misses what is said in that second, and hears all of it again with the next repetition.

use {
    bilberryfront_decide::member::Target,
    compact_str::CompactString,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
    xxhash_rust::xxh64::xxh64,
};

/// Time for which one relay of a domain is kept.
const TURN: Duration = Duration::from_secs(1);

/// A node to tell, and its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The node.
    pub target: Target,
    /// Its failure domain.
    pub domain: CompactString,
}

/// Whom a node tells itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes {
    /// All nodes of its own domain.
    pub near: Vec<Target>,
    /// One node of each other domain, to pass it on there.
    pub relays: Vec<Target>,
}

impl Routes {
    /// The routes of the node `me` in `domain` to all others, in its turn number `turn`.
    ///
    /// Nodes choose their relays apart from each other, so that no node relays for all.
    pub fn new(me: &str, domain: &str, peers: Vec<Peer>, turn: u64) -> Routes {
        let seed = xxh64(me.as_bytes(), turn);
        let mut routes = Routes::default();
        let mut far = BTreeMap::<CompactString, (u64, Target)>::new();
        for Peer { target, domain: theirs } in peers {
            if theirs == domain {
                routes.near.push(target);
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

/// The number of the turn at `now` of a node that started at `start`.
pub fn turn(start: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(start).div_duration_f64(TURN) as u64
}
