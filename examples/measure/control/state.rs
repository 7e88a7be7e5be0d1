//! Processing time and memory of one node's state: instance list, view, catalogue and members.

use {
    super::{DOMAINS, SIZES, list, micros},
    crate::process::own_resident,
    bilberryfront::control::view::Published,
    bilberryfront_decide::{
        Core, Event, Location,
        catalog::{Access, Account, Catalog, CatalogDoc, Class, Entry, Kind, Limits},
        event::PeerUse,
        id::Incarnation,
        member::{
            DrainState, Me, Members, PeerMessage,
            message::{Claim, Heartbeat, Moment, NodeIncarnation, NodeState, Usage},
        },
    },
    bilberryfront_wire::{
        completion::{Addresses, NodeAddress},
        instance::{InstanceKind, InstanceList},
    },
    compact_str::format_compact,
    std::{hint::black_box, sync::Arc},
    tokio::time::Instant,
};

/// Number of accounts in a catalogue, from the current number to the design's (750) and beyond.
const ACCOUNTS: [usize; 4] = [10, 100, 750, 3_000];
/// Number of models at the design size.
const ENTRIES: usize = 3;

pub(super) fn run() {
    // Memory is measured first, because later parts reuse memory that earlier ones have freed.
    println!("state of one node, KiB resident:");
    measure_memory();
    println!("\ninstance list:");
    measure_lists();
    println!("\ncatalogue of {ENTRIES} entries, each with every account:");
    measure_catalogues();
    println!("\nview, cost of one publication on the control thread (40 per second):");
    measure_views();
}

fn measure_memory() {
    let list = list(4_900, 1_100);
    let before = own_resident();
    let core = core(&list);
    let with_core = own_resident();
    let members = members(&list);
    let after = own_resident();
    println!("core, 4900 runners, 1100 nodes, 750 accounts, no reports: {}", with_core - before);
    println!("members, 1100 nodes: {}", after - with_core);
    black_box((core, members));
}

fn measure_lists() {
    println!(
        "{:>8} {:>6} {:>10} {:>10} {:>10} {:>12}",
        "runners", "nodes", "bytes", "parse µs", "core µs", "members µs"
    );
    for (runners, nodes) in SIZES {
        let list = list(runners, nodes);
        let text = serde_json::to_vec(&list).expect("wire types always serialize");
        let parse = micros(20, || {
            black_box(
                serde_json::from_slice::<InstanceList>(&text)
                    .expect("the text was just serialized"),
            );
        });
        let (mut core, mut members, now) = (core(&list), members(&list), Instant::now());
        let step = micros(20, || {
            core.step(now, Event::Instances(list.clone()), &mut Vec::new());
        });
        let applied = micros(20, || members.apply_list(now, &list));
        let bytes = text.len();
        println!("{runners:>8} {nodes:>6} {bytes:>10} {parse:>10.0} {step:>10.0} {applied:>12.0}");
    }
}

fn measure_catalogues() {
    println!(
        "{:>8} {:>10} {:>10} {:>10} {:>10}",
        "accounts", "KiB JSON", "read µs", "check µs", "renew µs"
    );
    for accounts in ACCOUNTS {
        let doc = doc(accounts);
        let text = serde_json::to_string(&doc).expect("a catalogue always serializes");
        let read = micros(10, || {
            black_box(
                serde_json::from_str::<CatalogDoc>(&text).expect("the text was just serialized"),
            );
        });
        let check = micros(10, || _ = black_box(doc.check()));
        let old = Catalog::default().updated(1, &doc);
        let renew = micros(10, || _ = black_box(old.updated(2, &doc)));
        let size = text.len() as f64 / 1024.0;
        println!("{accounts:>8} {size:>10.1} {read:>10.0} {check:>10.0} {renew:>10.0}");
    }
}

fn measure_views() {
    println!(
        "{:>8} {:>6} {:>10} {:>10} {:>10} {:>10} {:>14}",
        "runners", "nodes", "tick µs", "usage µs", "core µs", "peers µs", "address bytes"
    );
    for (runners, nodes) in SIZES {
        let list = list(runners, nodes);
        let (mut core, members, published) = (core(&list), members(&list), Published::default());
        published.set_core(&core);
        let tick = micros(50, || publish_members(&members, &published));
        let usage = micros(50, || published.set_usage(core.usage()));
        let whole = micros(50, || published.set_core(&core));
        let peers = micros(50, || send_peers_to_core(&members, &mut core));
        let addresses = published.load().addresses.clone();
        let answer = Addresses { addresses, ttl_seconds: 10 };
        let bytes = serde_json::to_vec(&answer).expect("wire types always serialize").len();
        println!(
            "{runners:>8} {nodes:>6} {tick:>10.1} {usage:>10.1} {whole:>10.1} {peers:>10.1} \
             {bytes:>14}"
        );
    }
}

/// Publishes the members, as the membership does at each tick.
fn publish_members(members: &Members, published: &Published) {
    let addresses = members.addresses().into_iter();
    let addresses = addresses.map(|a| NodeAddress { url: a.url, domain: a.domain }).collect();
    published.set_members(addresses, members.nodes().collect(), DrainState::Serving);
}

/// Sends the usage of the peers to the core, as the membership does at each tick.
fn send_peers_to_core(members: &Members, core: &mut Core) {
    let now = Instant::now();
    let (usage, catalog) = (members.usage(now), core.catalog().clone());
    let keyed =
        |u: &Usage| Some((catalog.entry(&u.entry)?, catalog.account(&u.account)?, u.running));
    let running = usage.running.iter().filter_map(keyed).collect();
    core.step(now, Event::Peers(PeerUse { nodes: usage.nodes, running }), &mut Vec::new());
}

fn core(list: &InstanceList) -> Core {
    let location = Location { region: "region-0".into(), domain: "east-mids-0".into() };
    let mut core = Core::new(1, location);
    let (now, doc) = (Instant::now(), Arc::new(doc(750)));
    core.step(now, Event::Catalog { revision: 1, doc }, &mut Vec::new());
    core.step(now, Event::Instances(list.clone()), &mut Vec::new());
    core
}

/// Returns the members as one node knows them after it has learned of all.
fn members(list: &InstanceList) -> Members {
    let now = Instant::now();
    let nodes = list.instances.iter().filter(|i| i.kind == InstanceKind::Node);
    let location = |i: &bilberryfront_wire::instance::Instance| {
        let peer = i.peer.clone().unwrap_or_default();
        bilberryfront_decide::member::message::NodeLocation {
            domain: i.domain.clone(),
            url: i.url.clone(),
            peer,
        }
    };
    let claims = nodes.clone().enumerate().skip(1).map(|(n, i)| Claim {
        name: i.name.clone(),
        moment: Moment { life: life(n), beat: 1 },
        state: NodeState::Ready,
        location: Some(location(i)),
    });
    let claims = claims.collect::<Vec<_>>();
    let first = nodes.clone().next().expect("every size has nodes");
    let me = Me { name: first.name.clone(), life: life(0), location: location(first) };
    let mut members = Members::new(1, now, me);
    members.apply_list(now, list);
    members.ready();
    let from = claims[0].name.clone();
    members.receive(now, &from, &PeerMessage::MembersPush(claims), &mut Vec::new());
    for (n, node) in nodes.enumerate().skip(1).take(7) {
        let heartbeat = heartbeat(n, location(node));
        members.receive(now, &node.name, &PeerMessage::Heartbeat(heartbeat), &mut Vec::new());
    }
    members
}

/// Returns a heartbeat as a node sends it while the membership doesn't change.
pub(super) fn heartbeat(
    n: usize,
    location: bilberryfront_decide::member::message::NodeLocation,
) -> Heartbeat {
    let usage = (0..4).map(|i| Usage {
        entry: "model-0".into(),
        account: format_compact!("account-{i:04}"),
        running: 8,
    });
    Heartbeat {
        moment: Moment { life: life(n), beat: 2 },
        state: NodeState::Ready,
        location: Some(location),
        revision: 1.into(),
        usage: usage.collect(),
        updates: Vec::new(),
    }
}

fn life(n: usize) -> NodeIncarnation {
    NodeIncarnation { epoch: 1_764_720_000_000, incarnation: Incarnation(n as u64 + 1) }
}

fn doc(accounts: usize) -> CatalogDoc {
    let name = |i: usize| format_compact!("account-{i:04}");
    let entry = |e| Entry {
        name: format_compact!("model-{e}"),
        owner: "desk".into(),
        class: Class::Interactive,
        kind: Kind::Engine,
        versions: vec!["2026-11-01".into()],
        version: "2026-11-01".into(),
        limits: Limits { concurrent: 100_000, ..Limits::default() },
        accounts: (0..accounts).map(|i| Access { account: name(i), concurrent: 1_000 }).collect(),
    };
    let account =
        |i| Account { name: name(i), keys: vec![format_compact!("{:064x}", i * DOMAINS + 1)] };
    CatalogDoc {
        accounts: (0..accounts).map(account).collect(),
        entries: (0..ENTRIES).map(entry).collect(),
    }
}
