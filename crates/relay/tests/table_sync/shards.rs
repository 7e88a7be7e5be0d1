//! Registrations of a large service, divided into shards, in failure domains of up to 120 nodes.

use {
    super::{
        SECOND,
        world::{Node, World},
    },
    bilberryfront_decide::member::{
        PeerMessage,
        message::{StoreReport, TableDigest, TableId},
    },
    bilberryfront_relay::{
        mirror::Mirror,
        readers::Ranking,
        shards::{self, MAX_SHARDS, MIN_RUNNERS, ShardCounts, ShardDigests, shard},
        store::{Revision, Row, Rows},
        table_sync::{Action, TableSync},
    },
    compact_str::{CompactString, format_compact},
    quickcheck::{Gen, QuickCheck},
    std::{collections::BTreeSet, time::Duration},
    tokio::time::Instant,
};

/// Maximum number of rows that a node holds: a shard with twice the minimum mean number of runners, with
/// a margin for hashing, and the row of the operators' table.
const MAX_HELD: usize = 2 * MIN_RUNNERS + MIN_RUNNERS / 4;

fn is_reader(world: &World, index: usize) -> bool {
    world.nodes[index].domain != 0 || world.readers().contains(&index)
}

/// Returns whether the node has applied exactly the registrations of its shard; the few nodes of the
/// second domain hold all.
fn holds_its_shard(node: &Node, world: &World, counts: &ShardCounts) -> bool {
    let count = if node.domain == 0 { counts.of(Some(&"llm".into())) } else { 1 };
    let is_held = |(table, key): &(TableId, CompactString)| {
        *table != TableId::Runners || shards::is_same_shard(shard(&node.name), shard(key), count)
    };
    let held = world.store.contents().into_iter().filter(|(key, _)| is_held(key)).collect();
    node.contents() == held
}

/// Returns the division of the service in a store with this number of registrations, among enough
/// nodes.
fn division(runners: usize) -> ShardCounts {
    let mut digests = ShardDigests::default();
    for index in 0..runners {
        digests.add(Some(&"llm".into()), shard(&format_compact!("r{index}")), 1);
    }
    digests.divide(1_000, &ShardCounts::default())
}

/// Load: more runners. Guards against nodes whose memory and processor time grow with the fleet, as
/// they hold and process the registrations of all runners.
#[tokio::test(start_paused = true)]
async fn held_registrations_do_not_grow_with_the_fleet() {
    for runners in [2_000, 8_000] {
        let mut world = World::new(70, runners);
        world.run(5 * SECOND).await;
        let counts = division(runners);
        assert!(world.nodes.iter().all(|node| holds_its_shard(node, &world, &counts)));
        let mut local = world.nodes.iter().filter(|node| node.domain == 0);
        assert!(local.all(|node| node.rows.len() <= MAX_HELD), "{runners} runners");
        let others = (0..70).filter(|index| !is_reader(&world, *index));
        let copies = others.map(|index| world.nodes[index].sync.row_count(TableId::Runners));
        assert!(copies.max().unwrap() <= MAX_HELD, "{runners} runners");
        let keys = world.nodes.iter().flat_map(|node| node.rows.keys());
        let held: BTreeSet<&CompactString> = keys.map(|(_, key)| key).collect();
        assert_eq!(held.len(), runners + 1, "every runner is held by some node");
    }
}

/// Load: all nodes start at the same time. Guards against nodes that request the registrations again
/// while the responses are on their way, and against whole tables.
#[tokio::test(start_paused = true)]
async fn each_node_gets_its_shard_once_at_a_start() {
    for runners in [2_000, 8_000] {
        let mut world = World::new(70, runners);
        world.run(5 * SECOND).await;
        let limit = 70 * MAX_HELD + (world.nodes.len() - 70) * 2 * runners;
        assert!(world.sent_rows <= limit, "{} rows of {runners} runners", world.sent_rows);
    }
}

/// Load: all nodes of a large domain start at the same time, and the responses of its readers take
/// seconds on their links. Guards against requests that are repeated while the response is on its way.
#[test]
fn shard_on_its_way_is_not_requested_again() {
    const NODES: usize = 190;
    const INTERVAL: Duration = Duration::from_millis(50);
    let names = (0..NODES).map(|index| format_compact!("node-{index}"));
    let ranking = Ranking::new(names);
    let reader = ranking.readers()[0].clone();
    let me = format_compact!("node-{}", if reader == "node-7" { 8 } else { 7 });
    let (start, mut out) = (Instant::now(), Vec::new());
    let mut sync = TableSync::new(1, me, |_, _| Some("llm".into()), Duration::from_secs(2));
    sync.set_ranking(ranking);
    sync.start(start);
    let digest = |table| {
        let revision = Revision::new(0, 5);
        TableDigest { table, revision, hash: 1, shard_hash: 2 }
    };
    let digests: Vec<TableDigest> = TableId::ALL.into_iter().map(digest).collect();
    let report = StoreReport { available: true, digests, services: Vec::new(), checker: None };
    for tick in 0..60 {
        let now = start + INTERVAL * tick;
        if tick % 8 == 4 {
            let message = PeerMessage::StoreReport(report.clone());
            sync.on_message(now, &reader, message, &mut out);
        }
        sync.step(now, &mut out);
    }
    let is_pull = |action: &&Action| {
        let pull = |message: &PeerMessage| matches!(message, PeerMessage::TablePull(pull) if pull.table == TableId::Runners);
        matches!(action, Action::Send(_, message) if pull(message))
    };
    let pulls = out.iter().filter(is_pull).count();
    // One before the first report, and one after it.
    assert!(pulls <= 2, "{pulls} requests in three seconds");
}

/// Load: a release, in which registrations change continuously. Guards against nodes that request
/// tables whenever the digests differ, and against changes that are sent to all nodes.
#[tokio::test(start_paused = true)]
async fn changes_are_sent_to_the_holders_of_a_shard() {
    const CHANGES: usize = 100;
    const SHARDS: usize = 8;
    let mut world = World::new(120, 8_000);
    world.run(5 * SECOND).await;
    world.sent_rows = 0;
    for index in 0..CHANGES {
        world.store.put(TableId::Runners, &format!("r{index}"));
        world.run(SECOND / 20).await;
    }
    // Two readers send each change to the holders of its shard, and to the other domain.
    let copies = 2 * 120 / SHARDS + world.nodes.len() - 120;
    let limit = CHANGES * (copies + copies / 2);
    assert!(world.sent_rows <= limit, "{} rows, not {limit}", world.sent_rows);
    assert!(world.nodes.iter().all(|n| holds_its_shard(n, &world, &division(8_000))));
}

/// Guards against a node that becomes a reader and serves only its own shard.
#[tokio::test(start_paused = true)]
async fn new_readers_serve_all_shards() {
    let mut world = World::new(30, 2_000);
    world.run(5 * SECOND).await;
    for reader in world.readers() {
        world.nodes[reader].dead = true;
    }
    world.run(5 * SECOND).await;
    for index in 0..20 {
        world.store.put(TableId::Runners, &format!("r{index}"));
        world.store.remove(TableId::Runners, &format!("r{}", 100 + index));
    }
    world.run(5 * SECOND).await;
    let counts = division(1_980);
    assert!(world.nodes.iter().filter(|n| !n.dead).all(|n| holds_its_shard(n, &world, &counts)));
}

/// Guards against a reader that never gets its tables, because the store rejects it from its start on
/// and serves the others.
#[tokio::test(start_paused = true)]
async fn reader_that_the_store_rejects_gets_the_tables_from_its_peers() {
    for runners in [100, 2_000] {
        let mut world = World::new(30, runners);
        let reader = world.readers()[0];
        world.nodes[reader].rejected = true;
        world.run(8 * SECOND).await;
        let counts = division(runners);
        assert!(world.nodes.iter().all(|n| holds_its_shard(n, &world, &counts)), "{runners}");
        world.store.put(TableId::Runners, "r1");
        world.run(3 * SECOND).await;
        assert!(world.nodes.iter().all(|n| holds_its_shard(n, &world, &counts)), "{runners}");
    }
}

/// Guards against nodes that keep the registrations of their former shard, or lack those of the new
/// one, when a service has grown or shrunk.
#[tokio::test(start_paused = true)]
async fn service_is_divided_again_when_its_size_changes() {
    let mut world = World::new(70, 900);
    world.run(5 * SECOND).await;
    assert!(world.nodes.iter().all(|node| node.rows.len() == 901), "not divided");
    for (from, to) in [(900, 2_100), (2_100, 4_200)] {
        for index in from..to {
            world.store.put(TableId::Runners, &format!("r{index}"));
        }
        world.run(8 * SECOND).await;
        let counts = division(to);
        assert!(world.nodes.iter().all(|node| holds_its_shard(node, &world, &counts)), "{to}");
    }
    for index in 300..4_200 {
        world.store.remove(TableId::Runners, &format!("r{index}"));
    }
    world.run(8 * SECOND).await;
    assert!(world.nodes.iter().all(|node| node.rows.len() == 301), "not divided any more");
}

/// Guards against any order of writes, restorations, outages, lost messages and restarts after which
/// nodes lack registrations of their shard.
#[test]
fn shards_agree_with_the_store_after_any_faults() {
    const RUNNERS: usize = 1_200;
    fn agree(steps: &[(u8, u8)]) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(async {
            let mut world = World::new(16, RUNNERS);
            world.run(5 * SECOND).await;
            world.run_faults(steps).await;
            world.run(20 * SECOND).await;
            let counts = division(RUNNERS);
            world.nodes.iter().all(|node| holds_its_shard(node, &world, &counts))
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 0x5eed))
        .tests(12)
        .quickcheck((|steps| agree(&steps)) as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against a service near a limit that is divided differently with each changed registration.
#[test]
fn division_is_stable_near_a_limit() {
    let mut digests = ShardDigests::default();
    let llm: CompactString = "llm".into();
    let add = |digests: &mut ShardDigests, runners: usize| {
        (0..runners).for_each(|index| digests.add(Some(&llm), index as u32 % MAX_SHARDS, 1));
    };
    add(&mut digests, 2 * MIN_RUNNERS);
    let divided = digests.divide(100, &ShardCounts::default());
    assert_eq!(divided.max(), 2);
    (0..100).for_each(|index| digests.remove(Some(&llm), index % MAX_SHARDS, 1));
    assert_eq!(digests.divide(100, &ShardCounts::default()).max(), 1, "without a former division");
    assert_eq!(digests.divide(100, &divided), divided);
    add(&mut digests, 60 * MIN_RUNNERS);
    assert_eq!(digests.divide(1_000, &divided).max(), 32);
}

/// Guards against runners that no node holds, in a system of few nodes and many runners, and against a
/// new division each time that some nodes are lost.
#[tokio::test(start_paused = true)]
async fn every_shard_has_holders() {
    let mut digests = ShardDigests::default();
    (0..10_000).for_each(|index| digests.add(Some(&"llm".into()), index % MAX_SHARDS, 1));
    let divided = digests.divide(190, &ShardCounts::default());
    assert_eq!(divided.max(), 16);
    assert_eq!(digests.divide(70, &divided), divided, "many nodes are lost");
    assert_eq!(digests.divide(20, &divided).max(), 8);
    for nodes in [1, 6, 15] {
        assert_eq!(digests.divide(nodes, &ShardCounts::default()).max(), 1, "{nodes} nodes");
    }
    let mut world = World::new(6, 2_000);
    world.run(5 * SECOND).await;
    assert!(world.nodes.iter().all(|node| node.rows.len() == 2_001));
}

/// Guards against a node that misses a removal because the tombstone was deleted before it requested
/// the changes.
#[tokio::test(start_paused = true)]
async fn changes_since_a_deleted_tombstone_are_unknown() {
    let row = |key: &str, value: Option<&'static str>, number| Row {
        key: key.into(),
        value: value.map(|value| value.as_bytes().into()),
        revision: Revision::new(0, number),
    };
    let mut mirror = Mirror::default();
    let rows = vec![row("r1", Some("v"), 1), row("r2", Some("v"), 2)];
    mirror.replace(Instant::now(), Rows { rows, revision: Revision::new(0, 2) });
    mirror.merge(Instant::now(), vec![row("r1", None, 3)]);
    mirror.confirm(Revision::new(0, 3));
    let changes =
        |mirror: &Mirror| mirror.changes_since(Revision::new(0, 2), None, &ShardCounts::default());
    assert_eq!(changes(&mirror), Some(vec![row("r1", None, 3)]));
    tokio::time::advance(100 * SECOND).await;
    mirror.merge(Instant::now(), vec![row("r2", Some("w"), 4)]);
    assert_eq!(changes(&mirror), None);
}
