//! Fan-out of load updates.
//!
//! In a small system every node knows the load of every runner: an update is sent to the nodes of
//! the sender's failure domain, and to each other domain through one relay, so that only one copy
//! is sent to each domain. In a large system the nodes and runners of a domain are divided into
//! groups, and the load of a runner is sent to the nodes of its group, through one relay if this is
//! not the sender's group. The number of a node's messages and connections then does not grow with
//! its domain.

use {
    crate::shards::{MAX_SHARDS, shard},
    bilberryfront_decide::member::Target,
    compact_str::CompactString,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
    xxhash_rust::xxh64::xxh64,
};

/// Maximum number of nodes that know the load of all runners.
const SYSTEM_LIMIT: usize = 100;
/// Minimum mean number of nodes in a group; less than twice as many are in one group.
const GROUP_SIZE: usize = 20;
/// Number of relays that a node uses in turn in each other domain or group. An undetected failed
/// relay then loses the updates of one epoch only, and connections to the relays stay open.
const RELAYS_PER_GROUP: usize = 3;
/// Time for which one relay is used.
const EPOCH: Duration = Duration::from_secs(1);

/// A peer and its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Peer.
    pub target: Target,
    /// Failure domain.
    pub domain: CompactString,
}

/// Receivers of a node's updates in a small system.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fanout {
    /// All other nodes of the node's domain.
    pub local: Vec<Target>,
    /// One relay in each other domain.
    pub relays: Vec<Peer>,
}

/// One relay in each group of each failure domain, in a large system.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupRelays {
    domains: BTreeMap<CompactString, Vec<Option<Target>>>,
}

/// Runners whose load a node knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// All runners.
    #[default]
    System,
    /// One group of runners in the node's own failure domain.
    Group {
        /// Index of this node's group.
        index: u32,
        /// Number of groups in the domain.
        count: u32,
    },
}

impl Scope {
    /// Returns the scope of the node `me`; `system` and `domain` are the numbers of nodes in the
    /// system and in its failure domain.
    pub fn new(me: &str, system: usize, domain: usize) -> Scope {
        if system <= SYSTEM_LIMIT {
            return Scope::System;
        }
        let count = group_count(domain);
        Scope::Group { index: group(me, count), count }
    }

    /// Returns whether a node or runner of the same failure domain is within the scope.
    pub fn includes(self, name: &str) -> bool {
        match self {
            Scope::System => true,
            Scope::Group { index, count } => group(name, count) == index,
        }
    }
}

impl Fanout {
    /// Returns the receivers of updates by the node `me` in `epoch`. Relays are selected per
    /// sender, which distributes the forwarding over all nodes.
    pub fn new(me: &str, domain: &str, peers: Vec<Peer>, epoch: u64) -> Fanout {
        let seed = xxh64(me.as_bytes(), 0);
        let mut fanout = Fanout::default();
        let mut domains = BTreeMap::<CompactString, Vec<(u64, Peer)>>::new();
        for peer in peers {
            if peer.domain == domain {
                fanout.local.push(peer.target);
                continue;
            }
            let hash = xxh64(peer.target.name.as_bytes(), seed);
            domains.entry(peer.domain.clone()).or_default().push((hash, peer));
        }
        fanout.relays.extend(domains.into_values().filter_map(|peers| relay(peers, epoch)));
        fanout
    }
}

impl GroupRelays {
    /// Returns the relays of the node `me` in `epoch`.
    pub fn new(me: &str, domain: &str, peers: &[Peer], epoch: u64) -> GroupRelays {
        let seed = xxh64(me.as_bytes(), 0);
        let mut domains = BTreeMap::<CompactString, Vec<&Peer>>::new();
        for peer in peers {
            domains.entry(peer.domain.clone()).or_default().push(peer);
        }
        let relays = |(name, peers): (CompactString, Vec<&Peer>)| {
            let count = group_count(peers.len() + usize::from(name == domain));
            let mut groups = vec![Vec::new(); count as usize];
            for peer in peers {
                let hash = xxh64(peer.target.name.as_bytes(), seed);
                groups[group(&peer.target.name, count) as usize].push((hash, peer.clone()));
            }
            let relays = groups.into_iter().map(|peers| Some(relay(peers, epoch)?.target));
            (name, relays.collect())
        };
        GroupRelays { domains: domains.into_iter().map(relays).collect() }
    }

    /// Returns the relay for the load of a runner in a failure domain.
    pub fn relay(&self, domain: &str, runner: &str) -> Option<&Target> {
        let relays = self.domains.get(domain)?;
        relays[group(runner, relays.len() as u32) as usize].as_ref()
    }
}

/// Returns the relay for `epoch` from the [`RELAYS_PER_GROUP`] candidates with the lowest hashes.
fn relay(mut candidates: Vec<(u64, Peer)>, epoch: u64) -> Option<Peer> {
    candidates.sort_unstable_by_key(|(hash, _)| *hash);
    let turn = epoch as usize % candidates.len().clamp(1, RELAYS_PER_GROUP);
    (turn < candidates.len()).then(|| candidates.swap_remove(turn).1)
}

/// Returns the number of groups in a failure domain with this number of nodes; a power of two, so
/// that a node whose registrations are divided into more shards holds those of its group.
fn group_count(nodes: usize) -> u32 {
    let count = (nodes / GROUP_SIZE).clamp(1, MAX_SHARDS as usize) as u32;
    1 << count.ilog2()
}

/// Returns the group of a node or runner.
fn group(name: &str, count: u32) -> u32 {
    shard(name) % count
}

/// Returns the epoch at `now` of a node started at `start`.
pub fn epoch(start: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(start).div_duration_f64(EPOCH) as u64
}
