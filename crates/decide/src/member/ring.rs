//! Heartbeat topology.

use {compact_str::CompactString, std::cmp::Reverse, xxhash_rust::xxh64::xxh64};

/// Maximum size of a full mesh.
pub(super) const MESH: usize = 8;

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
    /// The neighbours of `me`; `others` are all other nodes, each once.
    pub(super) fn new(me: &str, others: &[&CompactString]) -> Ring {
        let size = others.len() + 1;
        if size <= MESH {
            let all: Vec<CompactString> = others.iter().map(|&n| n.clone()).collect();
            return Ring { targets: all.clone(), watched: all };
        }
        let mut ring = Ring::default();
        for seed in 0..rings(size) {
            let own = xxh64(me.as_bytes(), seed);
            let ahead = |n: &&&CompactString| xxh64(n.as_bytes(), seed).wrapping_sub(own);
            add(&mut ring.targets, others.iter().min_by_key(ahead));
            add(&mut ring.watched, others.iter().min_by_key(|n| Reverse(ahead(n))));
        }
        ring
    }
}

/// Number of rings: half of log2, plus one for a lost neighbour.
fn rings(size: usize) -> u64 {
    u64::from(size.next_power_of_two().ilog2()).div_ceil(2) + 1
}

fn add(names: &mut Vec<CompactString>, name: Option<&&CompactString>) {
    if let Some(&name) = name
        && !names.contains(name)
    {
        names.push(name.clone());
    }
}
