//! Queries on the membership.

use {
    super::{
        Members, SILENCE_TIMEOUT,
        message::{Claim, NodeLocation, NodeState, Usage},
        record::Record,
    },
    crate::id::{CatalogRevision, Incarnation},
    compact_str::CompactString,
    std::collections::BTreeMap,
    tokio::time::Instant,
    xxhash_rust::xxh64::xxh64,
};

/// A node that accepts requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Address {
    /// Name.
    pub name: CompactString,
    /// Base URL for callers.
    pub url: CompactString,
    /// Peer address, `IP:PORT`.
    pub peer: CompactString,
    /// Failure domain.
    pub domain: CompactString,
}

/// Another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Name in the instance list.
    pub name: CompactString,
    /// Incarnation; 0 if unknown.
    pub incarnation: Incarnation,
    /// State.
    pub state: NodeState,
    /// Addresses, if known.
    pub location: Option<NodeLocation>,
    /// Catalogue revision in its last heartbeat.
    pub revision: CatalogRevision,
}

/// Usage of limits by the other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerUsage {
    /// Number of other ready nodes. Silent nodes that are still listed are included, as they may
    /// serve on the other side of a partition.
    pub nodes: u32,
    /// Requests running on them, extrapolated if this node receives heartbeats from some only.
    pub running: Vec<Usage>,
}

impl Members {
    /// Returns the addresses of ready nodes: own failure domain first, in an order that depends on
    /// this node's name.
    pub fn addresses(&self) -> Vec<Address> {
        let own = &self.me.location.domain;
        let seed = xxh64(self.me.name.as_bytes(), 0);
        let me = (self.state == NodeState::Ready).then_some((&self.me.name, &self.me.location));
        let others = self.records.iter().filter(|(_, r)| r.is_serving());
        let others = others.filter_map(|(n, r)| Some((n, r.location.as_ref()?)));
        let mut nodes: Vec<_> = me.into_iter().chain(others).collect();
        nodes.sort_by_cached_key(|(n, p)| (p.domain != *own, xxh64(n.as_bytes(), seed)));
        nodes.into_iter().map(|(name, p)| address(name, p)).collect()
    }

    /// Returns the draining nodes with the start of their drain, in the order of these times.
    pub fn draining(&self) -> Vec<(Instant, Address)> {
        let me = self.draining_since.map(|since| (since, &self.me.name, &self.me.location));
        let others = self.records.iter().filter(|(_, r)| r.state == NodeState::Draining);
        let others = others.filter_map(|(n, r)| Some((r.since, n, r.location.as_ref()?)));
        let mut nodes: Vec<_> = me.into_iter().chain(others).collect();
        nodes.sort_by_key(|&(since, name, _)| (since, name));
        nodes.into_iter().map(|(since, name, p)| (since, address(name, p))).collect()
    }

    /// Returns the usage of limits by the other nodes.
    pub fn usage(&self, now: Instant) -> PeerUsage {
        let nodes =
            self.records.values().filter(|r| r.is_serving() || r.is_lost_but_listed()).count();
        let is_heard = |r: &&Record| r.last_heartbeat.is_some_and(|h| now < h + SILENCE_TIMEOUT);
        let mut sums = BTreeMap::<(&str, &str), u64>::new();
        let mut count = 0;
        for record in self.records.values().filter(is_heard) {
            count += 1;
            for line in &record.usage {
                *sums.entry((&line.entry, &line.account)).or_default() += u64::from(line.running);
            }
        }
        let scale = |n: u64| n * nodes.max(count) as u64 / count as u64;
        let line = |((entry, account), n): ((&str, &str), u64)| Usage {
            entry: entry.into(),
            account: account.into(),
            running: u32::try_from(scale(n)).unwrap_or(u32::MAX),
        };
        PeerUsage { nodes: nodes as u32, running: sums.into_iter().map(line).collect() }
    }

    /// Returns the current catalogue revision.
    pub fn revision(&self) -> CatalogRevision {
        self.revision
    }

    /// Returns the number of other nodes, including dead ones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no other node is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the states of all other nodes.
    pub fn states(&self) -> impl Iterator<Item = (&CompactString, NodeState)> {
        self.records.iter().map(|(n, r)| (n, r.state))
    }

    /// Returns all other nodes.
    pub fn nodes(&self) -> impl Iterator<Item = Node> {
        self.records.iter().map(|(name, r)| Node {
            name: name.clone(),
            incarnation: r.moment.life.incarnation,
            state: r.state,
            location: r.location.clone(),
            revision: r.revision,
        })
    }

    /// Returns claims about all known nodes, including this one, for anti-entropy.
    pub(super) fn claims(&self) -> Vec<Claim> {
        let known = self.records.iter().filter(|(_, r)| r.state != NodeState::Unknown);
        let others = known.map(|(name, r)| r.claim(name, true));
        others.chain([self.own_claim()]).collect()
    }

    /// Returns a claim about this node.
    pub(super) fn own_claim(&self) -> Claim {
        let (name, moment) = (self.me.name.clone(), self.moment());
        Claim { name, moment, state: self.state, location: Some(self.me.location.clone()) }
    }

    /// Returns the number of nodes in the heartbeat topology, including this one.
    pub(super) fn topology_size(&self) -> usize {
        1 + self.records.values().filter(|r| r.is_in_topology()).count()
    }
}

fn address(name: &CompactString, location: &NodeLocation) -> Address {
    let NodeLocation { domain, url, peer } = location.clone();
    Address { name: name.clone(), url, peer, domain }
}
