//! Replication of the store's tables within a failure domain of 33 nodes (of 100 in three domains)
//! and of 60 nodes (of 300 in five domains).

#[path = "table_sync/shards.rs"]
mod shards;
#[path = "table_sync/world.rs"]
mod world;

use {
    self::world::{APPLY_TIME, BACKOFF, WAIT, World},
    bilberryfront_decide::member::message::TableId,
    bilberryfront_relay::{
        mirror::Mirror,
        readers::READERS,
        store::{Condition, Revision, Row, Rows},
    },
    compact_str::CompactString,
    quickcheck::{Gen, QuickCheck},
    std::time::Duration,
    tokio::time::Instant,
};

/// Numbers of nodes in one failure domain.
const SIZES: [usize; 2] = [33, 60];
const RUNNERS: usize = 100;
const DOMAINS: usize = 2;
const TABLES: usize = TableId::ALL.len();
/// Least interval of checks of the operators' table in a failure domain.
const CHECK_INTERVAL: Duration = Duration::from_millis(600);
const SECOND: Duration = Duration::from_secs(1);

/// Load: no changes. The number of calls to the store does not depend on the number of nodes.
#[tokio::test(start_paused = true)]
async fn store_calls_do_not_depend_on_the_domain_size() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        world.run(20 * SECOND).await;
        let checks = DOMAINS as f64 * 20.0 / CHECK_INTERVAL.as_secs_f64();
        let limit = (DOMAINS * READERS * TABLES) as f64 * 20.0 / WAIT.as_secs_f64() + checks;
        assert!(f64::from(world.store.calls) <= limit, "{} calls of {size}", world.store.calls);
        let rate = world.sent / 20 / size;
        assert!(rate <= 6, "{rate} messages a second and node");
    }
}

/// Guards against a node that misses a changed catalogue or registration.
#[tokio::test(start_paused = true)]
async fn change_reaches_every_node() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        for (table, key) in [(TableId::Operators, "config"), (TableId::Runners, "r7")] {
            let revision = world.store.put(table, key);
            let elapsed = world.until("changed", |n| n.has(table, key, revision)).await;
            assert!(elapsed <= Duration::from_millis(50), "{elapsed:?}");
        }
    }
}

/// Guards against requests to a removed runner after both readers of a domain are lost.
#[tokio::test(start_paused = true)]
async fn other_nodes_replace_lost_readers() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        for reader in world.readers() {
            world.nodes[reader].dead = true;
        }
        world.store.remove(TableId::Runners, "r7");
        let elapsed = world.until("removed", |n| !n.removed.is_empty()).await;
        assert!(elapsed <= 2 * SECOND, "{elapsed:?}");
        let mut live = world.nodes.iter().filter(|n| !n.dead);
        assert!(live.all(|n| n.removed == [("r7".into(), Duration::ZERO)]), "removed at once");
    }
}

/// Guards against a domain without updates while the store rejects its readers and serves other
/// nodes.
#[tokio::test(start_paused = true)]
async fn node_with_access_to_the_store_reads_for_all() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        for reader in world.readers() {
            world.nodes[reader].rejected = true;
        }
        (0..size).step_by(3).for_each(|index| world.nodes[index].rejected = true);
        let revision = world.store.put(TableId::Operators, "config");
        let key = |n: &world::Node| n.has(TableId::Operators, "config", revision);
        let elapsed = world.until("changed", key).await;
        assert!(elapsed <= 2 * SECOND, "{elapsed:?}");
        world.store.calls = 0;
        world.run(5 * SECOND).await;
        assert!(world.store.calls <= 80, "{} calls of {size} nodes", world.store.calls);
        let reading = world.nodes.iter().filter(|n| n.sync.is_polling()).count();
        assert!(reading <= DOMAINS * READERS + 1, "{reading} nodes poll");
    }
}

/// Guards against a change that waits for the timeout of the readers' polls while the store is silent
/// for them and serves other nodes.
#[tokio::test(start_paused = true)]
async fn change_is_found_while_the_store_is_silent_for_the_readers() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        world.readers().into_iter().for_each(|reader| world.nodes[reader].silent = true);
        // The other domain hears nothing either.
        world.nodes.iter_mut().filter(|n| n.domain == 1).for_each(|n| n.silent = true);
        (0..size).step_by(3).for_each(|index| world.nodes[index].silent = true);
        let revision = world.store.put(TableId::Operators, "config");
        let key = |n: &world::Node| n.domain == 1 || n.has(TableId::Operators, "config", revision);
        let elapsed = world.until("changed", key).await;
        assert!(elapsed <= APPLY_TIME, "{elapsed:?}");
        let other = world.store.put(TableId::Operators, "config");
        let key = |n: &world::Node| n.has(TableId::Operators, "config", other);
        let elapsed = world.until("changed again", key).await;
        assert!(elapsed <= 2 * SECOND, "{elapsed:?}");
        // Further changes must not keep the readers' repeated polls from ending.
        for _ in 0..5 {
            world.run(Duration::from_millis(700)).await;
            world.store.put(TableId::Operators, "config");
        }
        let is_reading = |n: &world::Node| n.domain == 0 && !n.silent && n.sync.is_polling();
        assert!(world.nodes.iter().any(is_reading), "a node with access reads for all");
    }
}

/// Guards against a domain without updates while the store rejects all its nodes.
#[tokio::test(start_paused = true)]
async fn rejected_domain_gets_changes_from_another_domain() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        world.nodes.iter_mut().filter(|n| n.domain == 0).for_each(|n| n.rejected = true);
        world.run(5 * SECOND).await;
        world.store.remove(TableId::Runners, "r7");
        let elapsed = world.until("removed", |n| !n.removed.is_empty()).await;
        assert!(elapsed <= 2 * SECOND, "{elapsed:?}");
    }
}

/// Load: an outage of the store. The number of attempts does not depend on the size of the domain.
/// Guards against removing runners whose registrations expired during the outage: all nodes keep
/// them for the time in which they may register again.
#[tokio::test(start_paused = true)]
async fn outage_causes_few_calls_and_is_known_to_all_nodes() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        world.store.down = true;
        world.run(5 * SECOND).await;
        // One table per reader, and two attempts per second in each domain.
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

/// Load: all nodes start at the same time. Only few of them read the store.
#[tokio::test(start_paused = true)]
async fn simultaneous_start_causes_few_calls() {
    for size in SIZES {
        let mut world = World::new(size, RUNNERS);
        let elapsed = world.until("loaded", |n| n.rows.len() == RUNNERS + 1).await;
        assert!(elapsed <= Duration::from_millis(300), "{elapsed:?}");
        assert!(world.store.calls <= 12, "{} calls of {size} nodes", world.store.calls);
    }
}

/// Guards against a start that waits for readers that are not running.
#[tokio::test(start_paused = true)]
async fn simultaneous_start_without_readers_causes_few_calls() {
    for size in SIZES {
        let mut world = World::new(size, RUNNERS);
        for reader in world.readers() {
            world.nodes[reader].dead = true;
        }
        let elapsed = world.until("loaded", |n| n.rows.len() == RUNNERS + 1).await;
        assert!(elapsed <= Duration::from_millis(500), "{elapsed:?}");
        assert!(world.store.calls <= 20, "{} calls of {size} nodes", world.store.calls);
    }
}

/// Guards against a node that missed an update and keeps the old row.
#[tokio::test(start_paused = true)]
async fn lost_update_is_repaired() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        let readers = world.readers();
        let unreachable = (0..size).find(|index| !readers.contains(index)).unwrap();
        world.unreachable.insert(world.nodes[unreachable].name.clone());
        let revision = world.store.put(TableId::Runners, "r7");
        world.run(Duration::from_millis(100)).await;
        world.unreachable.clear();
        let elapsed = world.until("repaired", |n| n.has(TableId::Runners, "r7", revision)).await;
        assert!(elapsed <= Duration::from_millis(1_300), "{elapsed:?}");
    }
}

/// Guards against nodes that keep rows which the store lost when it was restored, or miss rows at
/// revisions that it has assigned again.
#[tokio::test(start_paused = true)]
async fn every_node_follows_a_restored_store() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        let backup = world.store.back_up();
        for key in ["r1", "lost"] {
            world.store.put(TableId::Runners, key);
        }
        world.store.remove(TableId::Runners, "r2");
        world.store.put(TableId::Operators, "config");
        world.run(SECOND).await;
        world.store.restore(&backup);
        let revision = world.store.put(TableId::Operators, "config");
        world.store.put(TableId::Runners, "r3");
        let contents = world.store.contents();
        let elapsed = world.until("restored", |n| n.contents() == contents).await;
        assert!(elapsed <= SECOND, "{elapsed:?}");
        assert!(world.nodes.iter().all(|n| n.has(TableId::Operators, "config", revision)));
        let has_grace =
            |(key, grace): &(CompactString, Duration)| key == "lost" && !grace.is_zero();
        let nodes = || world.nodes.iter();
        assert!(nodes().all(|n| n.removed.iter().any(has_grace)), "lost runners register again");
    }
}

/// Load: the store is restored. The nodes read it as rarely as at any other time, and do not send
/// each other the rows that it still has.
#[tokio::test(start_paused = true)]
async fn restoration_causes_few_calls_and_messages() {
    for size in SIZES {
        let mut world = World::settled(size, RUNNERS).await;
        let backup = world.store.back_up();
        world.store.put(TableId::Operators, "config");
        world.run(SECOND).await;
        (world.store.calls, world.sent, world.sent_rows) = (0, 0, 0);
        world.store.restore(&backup);
        world.run(2 * SECOND).await;
        let calls = DOMAINS * READERS * TABLES * 3;
        assert!(world.store.calls as usize <= calls, "{} calls of {size}", world.store.calls);
        assert!(world.sent_rows <= 4 * world.nodes.len(), "{} rows", world.sent_rows);
    }
}

/// Guards against any order of writes, restorations, outages, lost messages and restarts after which
/// the nodes do not agree with the store.
#[test]
fn nodes_agree_with_the_store_after_any_faults() {
    fn agree(steps: &[(u8, u8)]) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(async {
            let mut world = World::settled(5, 6).await;
            world.run_faults(steps).await;
            world.run(15 * SECOND).await;
            let contents = world.store.contents();
            world.nodes.iter().all(|n| n.contents() == contents)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 0x5eed))
        .tests(60)
        .quickcheck((|steps| agree(&steps)) as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against a delayed message from before a restoration that replaces a row of the restored
/// store, which has a lower number.
#[test]
fn rows_of_an_ended_era_are_ignored() {
    let now = Instant::now();
    let row = |era, number, value: &'static str| Row {
        key: "r1".into(),
        value: Some(value.as_bytes().into()),
        revision: Revision::new(era, number),
    };
    let rows = |row: Row| Rows { revision: row.revision, rows: vec![row] };
    let mut mirror = Mirror::default();
    mirror.replace(now, rows(row(0, 3, "old")));
    mirror.confirm(Revision::new(1, 4));
    assert_eq!(mirror.merge(now, vec![row(0, 9, "lost")]), []);
    assert_eq!(mirror.replace(now, rows(row(0, 9, "lost"))), []);
    assert_eq!(mirror.rows(), [row(1, 3, "old")], "confirmed in the new era");
    assert_eq!(mirror.merge(now, vec![row(1, 5, "new")]), [row(1, 5, "new")]);
}

/// Guards against a lost row that stays for good: the whole table comes from a node that has not read the
/// restored store itself, and whose rows still have the revisions of the ended era.
#[test]
fn whole_table_replaces_a_lost_row() {
    let now = Instant::now();
    let row = |number, value: &'static str| Row {
        key: "r1".into(),
        value: Some(value.as_bytes().into()),
        revision: Revision::new(0, number),
    };
    let read = |row: Row| {
        let mut mirror = Mirror::default();
        mirror.replace(now, Rows { revision: row.revision, rows: vec![row] });
        mirror
    };
    let (mut from, mut to) = (read(row(3, "kept")), read(row(5, "lost")));
    from.confirm(Revision::new(1, 4));
    to.replace(now, Rows { rows: from.rows(), revision: from.revision().unwrap() });
    assert_eq!((to.hash(), to.rows()), (from.hash(), from.rows()));
}

/// Guards against a conditional write at a number that the store has assigned again, and against one
/// that is never tried although the store still has the row.
#[test]
fn condition_is_of_the_era_in_which_the_copy_is_complete() {
    let now = Instant::now();
    let revision = Revision::new(0, 3);
    let row = |key: &str, revision| Row { key: key.into(), value: Some("v".into()), revision };
    let mut mirror = Mirror::default();
    assert_eq!(mirror.condition("r1"), None, "not read yet");
    mirror.replace(now, Rows { rows: vec![row("r1", revision)], revision });
    assert_eq!(mirror.condition("r1"), Some(Condition::At(revision)));
    mirror.merge(now, vec![row("r2", Revision::new(1, 2))]);
    assert_eq!(mirror.condition("r1"), None, "other rows of the new era may be missing");
    mirror.confirm(Revision::new(1, 3));
    assert_eq!(mirror.condition("r1"), Some(Condition::At(Revision::new(1, 3))));
    assert_eq!(mirror.condition("r3"), Some(Condition::Absent));
}

/// Guards against replacing a row by an older version when updates of two readers arrive out of
/// order.
#[test]
fn copies_agree_for_any_order_of_updates() {
    /// Updates as key and revision, and whether each of them arrives late.
    type Case = (Vec<(u8, u16)>, Vec<bool>);
    fn agree((updates, late): &Case) -> bool {
        let now = Instant::now();
        let row = |&(key, revision): &(u8, u16)| Row {
            key: (key % 8).to_string().into(),
            value: (revision % 3 > 0).then(|| b"v".as_slice().into()),
            revision: Revision::new(0, u64::from(revision) * 8 + u64::from(key % 8) + 1),
        };
        let rows: Vec<Row> = updates.iter().map(row).collect();
        let start = || {
            let mut mirror = Mirror::default();
            mirror.replace(now, Rows::default());
            mirror
        };
        let (mut in_order, mut reordered) = (start(), start());
        in_order.merge(now, rows.clone());
        let is_late = |index: usize| late.get(index).copied().unwrap_or_default();
        let (late, early): (Vec<_>, Vec<_>) =
            rows.into_iter().enumerate().partition(|(index, _)| is_late(*index));
        let rows = |part: &[(usize, Row)]| part.iter().map(|(_, row)| row.clone()).collect();
        reordered.merge(now, rows(&early));
        reordered.merge(now, rows(&late));
        reordered.merge(now, rows(&early));
        in_order.hash() == reordered.hash() && in_order.rows() == reordered.rows()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 0x5eed))
        .tests(500)
        .quickcheck((|case| agree(&case)) as fn(Case) -> bool);
}
