//! Where prompts with a known prefix go, and which domain the others go to.

use {
    crate::world::{V1, World, engine, grants, held, node, report},
    bilberryfront_decide::{
        Core, Event, Location,
        catalog::Limits,
        event::{Purpose, RunnerRequest, Verdict},
        id::Ticket,
    },
    bilberryfront_wire::{
        instance::{Instance, InstanceList},
        runner::{CacheEvent, LoadReport},
    },
    std::collections::BTreeSet,
};

const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn world(seed: u64, runners: usize) -> World {
    let mut world = World::new(seed, Limits::default(), &[1_000]);
    world.list(spread(runners));
    world
}

fn spread(runners: usize) -> Vec<Instance> {
    (0..runners).map(|i| engine(&format!("r{i}"), DOMAINS[i % 3], V1)).collect()
}

fn cached(events: &[CacheEvent]) -> LoadReport {
    LoadReport { cache: events.to_vec(), ..report(0, 8) }
}

fn free(world: &mut World, ticket: Ticket) {
    world.done(ticket, Verdict::Ok);
}

/// Names of the prefix's home and of another runner.
fn home(world: &mut World, prefix: u64) -> (String, &'static str) {
    let home = sent_and_done(world, prefix);
    let other = if home == "r3" { "r4" } else { "r3" };
    (home, other)
}

#[test]
fn a_prefix_goes_to_the_runner_that_holds_it() {
    let mut world = world(1, 20);
    let (_, other) = home(&mut world, 77);
    world.load(other, cached(&[held(1, 77)]));
    assert_eq!(world.sent_to(77).1, other);
}

#[test]
fn a_full_holder_is_passed_over() {
    let mut world = world(1, 20);
    world.load("r3", LoadReport { running: 8, ..cached(&[held(1, 77)]) });
    assert_ne!(world.sent_to(77).1, "r3");
}

// The caller sees a slower first token: its prompt went to a runner that had dropped the prefix.
// 1. The runner tells that it holds the prefix. 2. The event that drops it gets lost. 3. The next
// event's number shows the gap. Whatever was dropped unheard, nothing older is believed then.
#[test]
fn a_gap_ends_what_was_believed() {
    let mut world = world(1, 20);
    let (home, other) = home(&mut world, 77);
    world.load(other, cached(&[held(1, 77)]));
    world.load(other, cached(&[held(3, 78)]));
    assert_eq!(world.sent_to(77).1, home);
    assert_eq!(world.sent_to(78).1, other);
}

#[test]
fn late_events_are_taken_once() {
    let mut world = world(1, 20);
    let (home, other) = home(&mut world, 77);
    let dropped = CacheEvent { held: false, ..held(2, 77) };
    world.load(other, cached(&[held(1, 77), dropped]));
    world.load(other, cached(&[held(1, 77), dropped, held(3, 5)]));
    assert_eq!(world.sent_to(77).1, home);
}

#[test]
fn a_restarted_runner_holds_nothing_but_what_it_tells_anew() {
    let mut world = world(1, 20);
    let (home, other) = home(&mut world, 77);
    world.load(other, cached(&[held(900, 77)]));
    world.load(other, cached(&[held(1, 78)]));
    assert_eq!(world.sent_to(77).1, home);
    assert_eq!(world.sent_to(78).1, other);
}

#[test]
fn beliefs_are_bounded() {
    let mut world = world(1, 20);
    let (home, other) = home(&mut world, 1);
    let events = (1..=5_000).map(|i| held(i, i)).collect::<Vec<_>>();
    world.load(other, cached(&events));
    assert_eq!(world.sent_to(1).1, home);
    assert_eq!(world.sent_to(5_000).1, other);
}

#[test]
fn all_nodes_hash_a_prefix_to_one_runner() {
    let mut nodes = (0..6).map(|seed| world(seed, 20)).collect::<Vec<_>>();
    for prefix in 0..50 {
        let homes = nodes.iter_mut().map(|w| w.sent_to(prefix)).collect::<Vec<_>>();
        assert!(homes.iter().all(|(_, h)| *h == homes[0].1), "prefix {prefix}: {homes:?}");
        nodes.iter_mut().zip(homes).for_each(|(w, (ticket, _))| free(w, ticket));
    }
}

#[test]
fn a_lost_runner_moves_no_other_runners_prefixes() {
    let mut world = world(1, 20);
    let before = (0..100).map(|p| sent_and_done(&mut world, p)).collect::<Vec<_>>();
    world.list(spread(20).into_iter().filter(|r| r.name != "r5").collect());
    let moved = (0..100).filter(|&p| {
        let after = sent_and_done(&mut world, p);
        before[p as usize] != "r5" && before[p as usize] != after
    });
    assert_eq!(moved.count(), 0);
}

fn sent_and_done(world: &mut World, prefix: u64) -> String {
    let (ticket, name) = world.sent_to(prefix);
    free(world, ticket);
    name
}

#[test]
fn the_own_domain_comes_first_and_others_take_what_it_cannot() {
    let mut world = world(1, 6);
    (0..6).for_each(|i| _ = world.load(&format!("r{i}"), report(0, 4)));
    let domain = |world: &World, key| {
        let found = world.core.runners().find(|(k, _)| *k == key);
        found.expect("the runner is known").1.domain.to_string()
    };
    let sent = (0..24).map(|_| world.granted(0).runner).collect::<Vec<_>>();
    let domains = sent.iter().map(|k| domain(&world, *k)).collect::<Vec<_>>();
    assert!(domains[..8].iter().all(|d| d == "a"), "{domains:?}");
    assert!(domains[8..].iter().all(|d| d != "a"), "{domains:?}");
}

// The caller would see refusals: the one domain that its node's runners were all in is lost. So at
// a size where a node talks to some runners only, each domain must be among them.
#[test]
fn a_subset_covers_each_domain_with_every_other_lost() {
    for seed in 0..20 {
        let mut world = World::new(seed, Limits::default(), &[1_000]);
        let mut list = spread(1_600);
        list.extend((0..400).map(|i| node(&format!("n{i}"))));
        world.list(list);
        let watched = world.core.polled().map(|(_, r)| r.domain.clone()).collect::<Vec<_>>();
        assert_eq!(watched.len(), 64);
        for domain in DOMAINS {
            let here = watched.iter().filter(|d| *d == domain).count();
            assert!(here >= 16, "{here} in {domain}");
        }
    }
}

#[test]
fn each_runner_is_in_some_nodes_subset() {
    let mut list = spread(600);
    list.extend((0..60).map(|i| node(&format!("n{i}"))));
    let list = InstanceList { revision: 1, instances: list };
    let mut seen = BTreeSet::new();
    for seed in 0..60 {
        let domain = DOMAINS[seed as usize % 3].into();
        let mut core = Core::new(seed, Location { region: "east-mids".into(), domain });
        let now = tokio::time::Instant::now();
        core.step(now, Event::Instances(list.clone()), &mut Vec::new());
        seen.extend(core.polled().map(|(_, r)| r.name.to_string()));
    }
    assert_eq!(seen.len(), 600);
}

#[test]
fn the_pinned_version_is_what_the_runner_reports() {
    let mut world = world(1, 2);
    world.load("r1", LoadReport { version: "v2".into(), ..report(0, 8) });
    let ask = RunnerRequest { pin: Some("v2".into()), purpose: Purpose::Resume, ..world.draft(0) };
    let grant = grants(&world.step(Event::Request(ask))).pop().expect("a grant");
    assert_eq!(world.name(grant.runner), "r1");
    world.list(spread(2));
    let other = world.granted(0);
    assert_eq!(world.name(other.runner), "r0", "the list still calls r1 a v1");
}
