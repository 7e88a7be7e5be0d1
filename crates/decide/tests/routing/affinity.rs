//! Tests of prefix affinity, of the preference for the local domain and of subsets.

use {
    crate::fixture::{Fixture, V1, engine, grants, held_event, load_report, node},
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

fn fixture(seed: u64, runners: usize) -> Fixture {
    let mut fixture = Fixture::new(seed, Limits::default(), &[1_000]);
    fixture.set_instances(engines(runners));
    fixture
}

fn engines(runners: usize) -> Vec<Instance> {
    (0..runners).map(|i| engine(&format!("r{i}"), DOMAINS[i % 3], V1)).collect()
}

fn cache_report(events: &[CacheEvent]) -> LoadReport {
    LoadReport { cache: events.to_vec(), ..load_report(0, 8) }
}

fn finish(fixture: &mut Fixture, ticket: Ticket) {
    fixture.done(ticket, Verdict::Ok);
}

/// Returns the names of the runner that the prefix hashes to and of another runner.
fn hash_target_and_other(fixture: &mut Fixture, prefix: u64) -> (String, &'static str) {
    let hash_target = send_and_finish(fixture, prefix);
    let other = if hash_target == "r3" { "r4" } else { "r3" };
    (hash_target, other)
}

#[test]
fn a_prefix_goes_to_the_runner_that_holds_it() {
    let mut fixture = fixture(1, 20);
    let (_, other) = hash_target_and_other(&mut fixture, 77);
    fixture.report_load(other, cache_report(&[held_event(1, 77)]));
    assert_eq!(fixture.send_with_prefix(77).1, other);
}

#[test]
fn a_full_holder_is_skipped() {
    let mut fixture = fixture(1, 20);
    fixture.report_load("r3", LoadReport { running: 8, ..cache_report(&[held_event(1, 77)]) });
    assert_ne!(fixture.send_with_prefix(77).1, "r3");
}

// Guards against requests sent to a runner that has evicted their prefix, which slows down the
// first token. The runner reports a prefix, the event of its eviction is lost, and the next event
// has a gap in its sequence number. All prefixes reported before the gap must be dropped.
#[test]
fn a_sequence_gap_drops_earlier_prefixes() {
    let mut fixture = fixture(1, 20);
    let (hash_target, other) = hash_target_and_other(&mut fixture, 77);
    fixture.report_load(other, cache_report(&[held_event(1, 77)]));
    fixture.report_load(other, cache_report(&[held_event(3, 78)]));
    assert_eq!(fixture.send_with_prefix(77).1, hash_target);
    assert_eq!(fixture.send_with_prefix(78).1, other);
}

#[test]
fn repeated_events_are_applied_once() {
    let mut fixture = fixture(1, 20);
    let (hash_target, other) = hash_target_and_other(&mut fixture, 77);
    let dropped = CacheEvent { held: false, ..held_event(2, 77) };
    fixture.report_load(other, cache_report(&[held_event(1, 77), dropped]));
    fixture.report_load(other, cache_report(&[held_event(1, 77), dropped, held_event(3, 5)]));
    assert_eq!(fixture.send_with_prefix(77).1, hash_target);
}

#[test]
fn a_restart_drops_earlier_prefixes() {
    let mut fixture = fixture(1, 20);
    let (hash_target, other) = hash_target_and_other(&mut fixture, 77);
    fixture.report_load(other, cache_report(&[held_event(900, 77)]));
    fixture.report_load(other, cache_report(&[held_event(1, 78)]));
    assert_eq!(fixture.send_with_prefix(77).1, hash_target);
    assert_eq!(fixture.send_with_prefix(78).1, other);
}

#[test]
fn cached_prefixes_are_bounded() {
    let mut fixture = fixture(1, 20);
    let (hash_target, other) = hash_target_and_other(&mut fixture, 1);
    let events = (1..=5_000).map(|i| held_event(i, i)).collect::<Vec<_>>();
    fixture.report_load(other, cache_report(&events));
    assert_eq!(fixture.send_with_prefix(1).1, hash_target);
    assert_eq!(fixture.send_with_prefix(5_000).1, other);
}

#[test]
fn all_nodes_hash_a_prefix_to_the_same_runner() {
    let mut nodes = (0..6).map(|seed| fixture(seed, 20)).collect::<Vec<_>>();
    for prefix in 0..50 {
        let targets = nodes.iter_mut().map(|f| f.send_with_prefix(prefix)).collect::<Vec<_>>();
        assert!(targets.iter().all(|(_, t)| *t == targets[0].1), "prefix {prefix}: {targets:?}");
        nodes.iter_mut().zip(targets).for_each(|(f, (ticket, _))| finish(f, ticket));
    }
}

#[test]
fn losing_a_runner_moves_no_prefixes_of_others() {
    let mut fixture = fixture(1, 20);
    let before = (0..100).map(|p| send_and_finish(&mut fixture, p)).collect::<Vec<_>>();
    fixture.set_instances(engines(20).into_iter().filter(|r| r.name != "r5").collect());
    let moved = (0..100).filter(|&p| {
        let after = send_and_finish(&mut fixture, p);
        before[p as usize] != "r5" && before[p as usize] != after
    });
    assert_eq!(moved.count(), 0);
}

fn send_and_finish(fixture: &mut Fixture, prefix: u64) -> String {
    let (ticket, name) = fixture.send_with_prefix(prefix);
    finish(fixture, ticket);
    name
}

#[test]
fn the_local_domain_is_preferred_until_full() {
    let mut fixture = fixture(1, 6);
    (0..6).for_each(|i| _ = fixture.report_load(&format!("r{i}"), load_report(0, 4)));
    let domain = |fixture: &Fixture, key| {
        let found = fixture.core.runners().find(|(k, _)| *k == key);
        found.expect("the runner is known").1.domain.to_string()
    };
    let sent = (0..24).map(|_| fixture.expect_grant(0).runner).collect::<Vec<_>>();
    let domains = sent.iter().map(|k| domain(&fixture, *k)).collect::<Vec<_>>();
    assert!(domains[..8].iter().all(|d| d == "a"), "{domains:?}");
    assert!(domains[8..].iter().all(|d| d != "a"), "{domains:?}");
}

// Guards against rejections after the loss of a failure domain that contains the whole subset of a
// node. When the subset is smaller than the pool, it must include runners of each domain.
#[test]
fn a_subset_covers_each_domain() {
    for seed in 0..20 {
        let mut fixture = Fixture::new(seed, Limits::default(), &[1_000]);
        let mut list = engines(1_600);
        list.extend((0..400).map(|i| node(&format!("n{i}"))));
        fixture.set_instances(list);
        let polled = fixture.core.polled().map(|(_, r)| r.domain.clone()).collect::<Vec<_>>();
        assert_eq!(polled.len(), 64);
        for domain in DOMAINS {
            let here = polled.iter().filter(|d| *d == domain).count();
            assert!(here >= 16, "{here} in {domain}");
        }
    }
}

#[test]
fn each_runner_is_in_some_nodes_subset() {
    let mut list = engines(600);
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
    let mut fixture = fixture(1, 2);
    fixture.report_load("r1", LoadReport { version: "v2".into(), ..load_report(0, 8) });
    let request = RunnerRequest {
        pin: Some("v2".into()),
        purpose: Purpose::Resume,
        ..fixture.new_request(0)
    };
    let grant = grants(&fixture.step(Event::Request(request))).pop().expect("a grant");
    assert_eq!(fixture.name(grant.runner), "r1");
    fixture.set_instances(engines(2));
    let other = fixture.expect_grant(0);
    assert_eq!(fixture.name(other.runner), "r0", "the list still gives v1 as the version of r1");
}
