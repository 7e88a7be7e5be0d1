//! Order of catalogues across restorations of the store.

use {
    bilberryfront_decide::id::{CatalogRevision, StoreRevision},
    quickcheck::{Gen, QuickCheck},
};

fn revision(version: u64, era: u64, number: u64, hash: u32) -> CatalogRevision {
    CatalogRevision { version, row: StoreRevision::new(era, number), hash }
}

/// Guards against a restored store that brings back an older catalogue, or one that hides the
/// catalogues written after the restoration.
#[test]
fn version_decides_which_catalogue_is_newer() {
    let applied = revision(55, 0, 64, 1);
    for (other, supersedes) in [
        (revision(51, 1, 59, 2), false),
        (revision(55, 1, 60, 1), false),
        (revision(55, 1, 60, 2), true),
        (revision(55, 0, 63, 2), false),
        (revision(55, 0, 65, 2), true),
        (revision(58, 1, 61, 2), true),
        (revision(58, 0, 65, 2), true),
    ] {
        assert_eq!(other.supersedes(applied), supersedes, "{other:?}");
    }
}

/// Guards against nodes that settle on different catalogues, depending on the order of messages.
#[test]
fn nodes_agree_on_a_catalogue_for_any_order_of_messages() {
    const NODES: usize = 4;
    /// Catalogues as version, era and number, and the node that receives each of them.
    type Case = Vec<(u8, u8, u8, u8)>;
    fn agree(catalogues: &Case) -> bool {
        let mut nodes = [CatalogRevision::default(); NODES];
        let receive = |node: &mut CatalogRevision, other: CatalogRevision| {
            let newer = other.supersedes(*node);
            let before = *node;
            if newer {
                *node = other;
            }
            node.version >= before.version
        };
        let mut is_monotonic = true;
        for (version, era, number, node) in catalogues {
            let [version, era, number] = [version % 4, era % 3, number % 4].map(u64::from);
            // Some transactions write the same content again.
            let hash = (version + era + number) % 3;
            let other = revision(version, era, number, hash as u32);
            is_monotonic &= receive(&mut nodes[usize::from(*node) % NODES], other);
        }
        for _ in 0..NODES {
            for (from, to) in (0..NODES).flat_map(|a| (0..NODES).map(move |b| (a, b))) {
                let other = nodes[from];
                is_monotonic &= receive(&mut nodes[to], other);
            }
        }
        is_monotonic
            && nodes.iter().all(|n| (n.version, n.hash) == (nodes[0].version, nodes[0].hash))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 0x5eed))
        .tests(2_000)
        .quickcheck((|case| agree(&case)) as fn(Case) -> bool);
}
