//! Replication of the store's tables within a failure domain: 33 nodes of 100 in three domains, and
//! 60 of 300 in five.

#[path = "table_sync/world.rs"]
mod world;

use {
    self::world::{BACKOFF, WAIT, World},
    bilberryfront_decide::member::message::TableId,
    bilberryfront_relay::{
        mirror::Mirror,
        readers::READERS,
        store::{Row, Rows},
    },
    quickcheck::{Gen, QuickCheck},
    std::time::Duration,
    tokio::time::Instant,
};

/// Nodes of one failure domain.
const SIZES: [usize; 2] = [33, 60];
const RUNNERS: usize = 100;
const DOMAINS: usize = 2;
const TABLES: usize = TableId::ALL.len();
const SECOND: Duration = Duration::from_secs(1);

/// Load: quiet. The number of calls to the store does not depend on the number of nodes.
#[tokio::test(start_paused = true)]
async fn calls_do_not_grow_with_the_domain() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        world.run(20 * SECOND).await;
        let limit = (DOMAINS * READERS * TABLES) as f64 * 20.0 / WAIT.as_secs_f64();
        assert!(f64::from(world.store.calls) <= limit, "{} calls of {size}", world.store.calls);
        let rate = world.sent / 20 / size;
        assert!(rate <= 6, "{rate} messages a second and node");
    }
}

/// Guards against a node that misses a changed catalogue or registration.
#[tokio::test(start_paused = true)]
async fn a_change_reaches_every_node_at_once() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        for (table, key) in [(TableId::Operators, "config"), (TableId::Runners, "r7")] {
            let revision = world.store.put(table, key);
            let took = world.until("changed", |n| n.has(table, key, revision)).await;
            assert!(took <= Duration::from_millis(50), "{took:?}");
        }
    }
}

/// Guards against requests to a removed runner after both readers of a domain are lost.
#[tokio::test(start_paused = true)]
async fn other_nodes_take_over_from_lost_readers() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        for reader in world.readers() {
            world.nodes[reader].dead = true;
        }
        world.store.remove(TableId::Runners, "r7");
        let took = world.until("removed", |n| !n.removed.is_empty()).await;
        assert!(took <= 2 * SECOND, "{took:?}");
        let mut live = world.nodes.iter().filter(|n| !n.dead);
        assert!(live.all(|n| n.removed == [("r7".into(), Duration::ZERO)]), "removed at once");
    }
}

/// Guards against a domain without news while the store rejects its readers and serves others.
#[tokio::test(start_paused = true)]
async fn a_node_that_the_store_serves_reads_for_all() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        for reader in world.readers() {
            world.nodes[reader].refused = true;
        }
        (0..size).step_by(3).for_each(|index| world.nodes[index].refused = true);
        let revision = world.store.put(TableId::Operators, "config");
        let key = |n: &world::Node| n.has(TableId::Operators, "config", revision);
        let took = world.until("changed", key).await;
        assert!(took <= 2 * SECOND, "{took:?}");
        world.store.calls = 0;
        world.run(5 * SECOND).await;
        assert!(world.store.calls <= 80, "{} calls of {size} nodes", world.store.calls);
        let reading = world.nodes.iter().filter(|n| n.sync.is_polling()).count();
        assert!(reading <= DOMAINS * READERS + 1, "{reading} nodes poll");
    }
}

/// Guards against a domain without news while the store rejects all its nodes.
#[tokio::test(start_paused = true)]
async fn another_domain_helps_one_that_the_store_rejects() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        world.nodes.iter_mut().filter(|n| n.domain == 0).for_each(|n| n.refused = true);
        world.run(5 * SECOND).await;
        world.store.remove(TableId::Runners, "r7");
        let took = world.until("removed", |n| !n.removed.is_empty()).await;
        assert!(took <= 2 * SECOND, "{took:?}");
    }
}

/// Load: an outage of the store. Attempts do not grow with the domain. Guards against dropping
/// runners whose registrations expired meanwhile: all nodes know that they may return.
#[tokio::test(start_paused = true)]
async fn an_outage_costs_few_calls_and_is_known_to_all() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        world.store.down = true;
        world.run(5 * SECOND).await;
        // One table of each reader, and two attempts a second in each domain.
        let limit = (DOMAINS * READERS) as f64 * 5.0 / BACKOFF.as_secs_f64() + 2.0 * 10.0;
        assert!(f64::from(world.store.calls) <= limit, "{} calls of {size}", world.store.calls);
        assert!(world.nodes.iter().all(|n| !n.sync.is_settled(Instant::now())));
        world.store.remove(TableId::Runners, "r7");
        world.store.down = false;
        world.until("removed", |n| !n.removed.is_empty()).await;
        let grace = Duration::from_secs(2);
        assert!(world.nodes.iter().all(|n| n.removed[0].1 >= grace), "may return");
        world.run(3 * SECOND).await;
        assert!(world.nodes.iter().all(|n| n.sync.is_settled(Instant::now())));
    }
}

/// Load: all nodes start at once. Few of them read the store.
#[tokio::test(start_paused = true)]
async fn a_common_start_is_no_stampede() {
    for size in SIZES {
        let mut world = World::new(size, RUNNERS);
        let took = world.until("loaded", |n| n.rows.len() == RUNNERS + 1).await;
        assert!(took <= Duration::from_millis(300), "{took:?}");
        assert!(world.store.calls <= 12, "{} calls of {size} nodes", world.store.calls);
    }
}

/// Guards against a start that waits for readers that are down.
#[tokio::test(start_paused = true)]
async fn a_start_without_readers_is_no_stampede_either() {
    for size in SIZES {
        let mut world = World::new(size, RUNNERS);
        for reader in world.readers() {
            world.nodes[reader].dead = true;
        }
        let took = world.until("loaded", |n| n.rows.len() == RUNNERS + 1).await;
        assert!(took <= Duration::from_millis(500), "{took:?}");
        assert!(world.store.calls <= 20, "{} calls of {size} nodes", world.store.calls);
    }
}

/// Guards against a node that lost an update and keeps the old row for good.
#[tokio::test(start_paused = true)]
async fn a_lost_update_is_repaired() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        let readers = world.readers();
        let deaf = (0..size).find(|index| !readers.contains(index)).unwrap();
        world.deaf.insert(world.nodes[deaf].name.clone());
        let revision = world.store.put(TableId::Runners, "r7");
        world.run(Duration::from_millis(100)).await;
        world.deaf.clear();
        let took = world.until("repaired", |n| n.has(TableId::Runners, "r7", revision)).await;
        assert!(took <= Duration::from_millis(1_300), "{took:?}");
    }
}

/// Guards against a row that goes back when updates of two readers cross.
#[test]
fn copies_agree_whatever_the_order_of_updates() {
    /// Updates as key and revision, and which of them arrive late.
    type Case = (Vec<(u8, u16)>, Vec<bool>);
    fn agree((updates, late): &Case) -> bool {
        let now = Instant::now();
        let row = |&(key, revision): &(u8, u16)| Row {
            key: (key % 8).to_string().into(),
            value: (revision % 3 > 0).then(|| b"v".as_slice().into()),
            revision: u64::from(revision) * 8 + u64::from(key % 8) + 1,
        };
        let rows: Vec<Row> = updates.iter().map(row).collect();
        let start = || {
            let mut mirror = Mirror::default();
            mirror.replace(now, Rows::default());
            mirror
        };
        let (mut straight, mut crossed) = (start(), start());
        straight.merge(now, rows.clone());
        let is_late = |index: usize| late.get(index).copied().unwrap_or_default();
        let (late, soon): (Vec<_>, Vec<_>) =
            rows.into_iter().enumerate().partition(|(index, _)| is_late(*index));
        let rows = |part: &[(usize, Row)]| part.iter().map(|(_, row)| row.clone()).collect();
        crossed.merge(now, rows(&soon));
        crossed.merge(now, rows(&late));
        crossed.merge(now, rows(&soon));
        straight.hash() == crossed.hash() && straight.rows() == crossed.rows()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 0x5eed))
        .tests(500)
        .quickcheck((|case| agree(&case)) as fn(Case) -> bool);
}
