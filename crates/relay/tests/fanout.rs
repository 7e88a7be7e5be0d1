//! Fan-out of load updates in systems of 100 and 300 nodes.

use {
    bilberryfront_decide::member::Target,
    bilberryfront_relay::fanout::{Fanout, GroupRelays, Peer, Scope, epoch},
    compact_str::{CompactString, format_compact},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

const NODES: usize = 100;
const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];

fn node(index: usize) -> Peer {
    let name = format_compact!("node-{index}");
    let address = format_compact!("10.0.0.{index}:7200");
    Peer { target: Target { name, address }, domain: DOMAINS[index % DOMAINS.len()].into() }
}

fn nodes() -> Vec<Peer> {
    (0..NODES).map(node).collect()
}

fn others(me: &Peer) -> Vec<Peer> {
    nodes().into_iter().filter(|n| n != me).collect()
}

fn routes(me: &Peer, epoch: u64) -> Fanout {
    Fanout::new(&me.target.name, &me.domain, others(me), epoch)
}

/// Returns how often each node receives one update sent by `me` in `epoch`, if the relays in `dead`
/// do not forward it.
fn received(me: &Peer, epoch: u64, dead: &[CompactString]) -> BTreeMap<CompactString, u32> {
    let mut received = BTreeMap::new();
    let mut record = |name: &CompactString| *received.entry(name.clone()).or_insert(0) += 1;
    let Fanout { local, relays } = routes(me, epoch);
    local.iter().for_each(|t| record(&t.name));
    for relay in relays.iter().filter(|r| !dead.contains(&r.target.name)) {
        record(&relay.target.name);
        routes(relay, epoch).local.iter().for_each(|t| record(&t.name));
    }
    received
}

/// Load: a hundred nodes in four domains report every stream. An update is sent to each other
/// domain once.
#[test]
fn update_is_sent_once_to_each_domain_and_reaches_every_node() {
    for me in nodes() {
        assert_eq!(routes(&me, 7).relays.len(), DOMAINS.len() - 1);
        let received = received(&me, 7, &[]);
        assert_eq!(received.len(), NODES - 1);
        assert!(received.values().all(|times| *times == 1), "{received:?}");
    }
}

/// Load: all nodes report at the same time. No node forwards the updates of many others.
#[test]
fn forwarding_is_spread_over_all_nodes() {
    let mut relay_counts = BTreeMap::<CompactString, u32>::new();
    for me in nodes() {
        routes(&me, 3)
            .relays
            .iter()
            .for_each(|r| *relay_counts.entry(r.target.name.clone()).or_default() += 1);
    }
    let max = relay_counts.values().max().unwrap();
    assert!(*max <= 12, "{max} of {NODES} nodes chose one relay");
}

/// Guards against a domain that receives no updates of a node whose relay is dead.
#[test]
fn dead_relay_is_replaced_in_the_next_epoch() {
    let dead: Vec<CompactString> = (0..4).map(|i| node(i).target.name).collect();
    for me in nodes().into_iter().skip(4) {
        let mut reached: Vec<CompactString> = Vec::new();
        for epoch in 0..4 {
            reached.extend(received(&me, epoch, &dead).into_keys());
        }
        let missed = others(&me).into_iter().filter(|n| !reached.contains(&n.target.name));
        let live = missed.filter(|n| !dead.contains(&n.target.name)).count();
        assert_eq!(live, 0, "of {}", me.target.name);
    }
}

#[test]
fn epoch_lasts_one_second() {
    let start = Instant::now();
    let at = |ms| epoch(start, start + Duration::from_millis(ms));
    assert_eq!([at(0), at(999), at(1_000), at(2_500)], [0, 0, 1, 2]);
    assert_eq!(epoch(start + Duration::from_secs(1), start), 0, "0 before the start");
}

/// Returns the nodes of a system with three domains of a hundred nodes each.
fn large_system() -> Vec<Peer> {
    let peer = |index: usize| {
        let Peer { target, .. } = node(index);
        Peer { target, domain: DOMAINS[index % 3].into() }
    };
    (0..300).map(peer).collect()
}

/// Load: every node of a large system reports streams on runners in all domains. A report is sent
/// to a relay in the group of the runner, and each node connects to few relays.
#[test]
fn reports_in_a_large_system_use_few_relays() {
    let system = large_system();
    for me in &system {
        let peers: Vec<Peer> = system.iter().filter(|peer| *peer != me).cloned().collect();
        let relays = GroupRelays::new(&me.target.name, &me.domain, &peers, 5);
        let mut used = BTreeSet::new();
        for runner in (0..900).map(|index| format_compact!("runner-{index}")) {
            for domain in DOMAINS.iter().take(3) {
                let relay = relays.relay(domain, &runner).unwrap();
                let scope = Scope::new(&relay.name, system.len(), 100);
                assert!(scope.includes(&runner), "{} does not know {runner}", relay.name);
                used.insert(relay.name.clone());
            }
        }
        assert!(used.len() <= 15, "{} relays", used.len());
    }
}

/// Guards against a group that receives no reports of a node whose relay is dead.
#[test]
fn dead_group_relay_is_replaced_in_the_next_epoch() {
    let system = large_system();
    let relays = |epoch| GroupRelays::new("node-0", "a", &system[1..], epoch);
    let relay = |epoch| relays(epoch).relay("b", "runner-7").unwrap().clone();
    assert_ne!(relay(1), relay(2));
    assert_eq!(relay(1), relay(4), "connections to relays are reused");
}
