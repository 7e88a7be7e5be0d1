//! Heartbeat topology.

use {
    compact_str::CompactString, rustc_hash::FxHashMap, std::cmp::Reverse, xxhash_rust::xxh64::xxh64,
};

/// Maximum size of a full mesh.
pub(super) const MAX_MESH: usize = 8;

/// Number of rings over all nodes. The other rings connect the nodes of one failure domain each, so
/// that most heartbeats stay within a domain.
const GLOBAL_RINGS: u64 = 3;
/// Minimum size of a failure domain with rings of its own; the nodes of smaller domains share
/// rings.
const MIN_RING_DOMAIN: usize = 8;

/// A node and its failure domain.
#[derive(Clone, Copy, Debug)]
pub(super) struct Neighbour<'a> {
    /// Name.
    pub(super) name: &'a CompactString,
    /// Failure domain.
    pub(super) domain: &'a CompactString,
}

/// Heartbeat neighbours of a node.
///
/// The nodes form several rings, each ordered by a different hash of the names; a node sends to its
/// successor on each ring. The topology needs no coordination, has balanced degrees, and spreads
/// gossip in O(log n) rounds.
#[derive(Clone, Debug, Default)]
pub(super) struct Ring {
    /// Heartbeat targets.
    pub(super) targets: Vec<CompactString>,
    /// Nodes whose heartbeats this node expects.
    pub(super) watched: Vec<CompactString>,
}

impl Ring {
    /// Computes the neighbours of the node `me` in `domain`; `others` are all other nodes, each
    /// once.
    pub(super) fn new(me: &str, domain: &str, others: &[Neighbour<'_>]) -> Ring {
        let size = others.len() + 1;
        if size <= MAX_MESH {
            let all: Vec<CompactString> = others.iter().map(|n| n.name.clone()).collect();
            return Ring { targets: all.clone(), watched: all };
        }
        let mut sizes = FxHashMap::<&str, usize>::default();
        others.iter().for_each(|n| *sizes.entry(n.domain).or_default() += 1);
        *sizes.entry(domain).or_default() += 1;
        let is_large = |domain: &str| sizes[domain] >= MIN_RING_DOMAIN;
        let shares_rings =
            |other: &str| if is_large(domain) { other == domain } else { !is_large(other) };
        let mut ring = Ring::default();
        for seed in 0..rings(size) {
            let own = xxh64(me.as_bytes(), seed);
            let ahead = |n: &&Neighbour<'_>| xxh64(n.name.as_bytes(), seed).wrapping_sub(own);
            let on_ring = |n: &&Neighbour<'_>| seed < GLOBAL_RINGS || shares_rings(n.domain);
            let nodes = || others.iter().filter(on_ring);
            push_unique(&mut ring.targets, nodes().min_by_key(ahead));
            push_unique(&mut ring.watched, nodes().min_by_key(|n| Reverse(ahead(n))));
        }
        ring
    }
}

/// Returns the number of rings: half of log2 of the size, plus one that allows for a lost
/// neighbour.
fn rings(size: usize) -> u64 {
    u64::from(size.next_power_of_two().ilog2()).div_ceil(2) + 1
}

fn push_unique(names: &mut Vec<CompactString>, node: Option<&Neighbour<'_>>) {
    if let Some(node) = node
        && !names.contains(node.name)
    {
        names.push(node.name.clone());
    }
}
