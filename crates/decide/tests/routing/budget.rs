//! Requests that lost their runner: how soon they go on, and when they no longer may.

use {
    crate::world::{V1, World, done, engine, grants, reasons, refusals, report},
    bilberryfront_decide::{
        Action, Event,
        action::{Grant, Reason},
        catalog::Limits,
        event::{Purpose, RunnerRequest, Verdict},
    },
    std::collections::BTreeMap,
};

const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn world() -> World {
    let mut world = World::new(9, Limits::default(), &[1_000]);
    let runners = (0..21).map(|i| engine(&format!("r{i}"), DOMAINS[i % 3], V1));
    world.list(runners.collect());
    (0..21).for_each(|i| _ = world.load(&format!("r{i}"), report(0, 8)));
    world
}

fn domain(world: &World, grant: &Grant) -> String {
    let found = world.core.runners().find(|(k, _)| *k == grant.runner);
    found.expect("the runner is known").1.domain.to_string()
}

// The caller sees its stream stand still for a moment. 1. A third of the runners die at once, and
// 56 streams with them. 2. Each asks for another runner. 3. They go on paced, ahead of new
// requests, spread over the runners that are left, all within two seconds.
#[test]
fn the_streams_of_a_dead_domain_go_on_elsewhere_within_seconds() {
    let mut world = world();
    let running = (0..112).map(|_| world.granted(0)).collect::<Vec<_>>();
    let lost = running.iter().filter(|g| domain(&world, g) == "a").cloned().collect::<Vec<_>>();
    assert_eq!(lost.len(), 56, "the own domain is full");
    let at_once = lost.iter().flat_map(|g| world.again(g)).collect::<Vec<_>>();
    assert!(grants(&at_once).len() < lost.len() / 2, "no stampede");
    let later = world.wait(2_000);
    let moved = [at_once, later].concat();
    assert_eq!(grants(&moved).len(), lost.len());
    let mut counts = BTreeMap::<_, u32>::new();
    for grant in grants(&moved) {
        assert_ne!(domain(&world, &grant), "a");
        *counts.entry(grant.runner).or_default() += 1;
    }
    assert!(counts.values().all(|n| *n <= 8), "{counts:?}");
}

// Callers of healthy runners would see them drown: 1. A version fails every request. 2. Each
// failure asks for another runner, which fails it again. Without a bound each request would be sent
// without end. The bucket drains once, and then only the small flow is left.
#[test]
fn a_version_that_fails_everything_is_not_retried_without_end() {
    let mut world = world();
    let mut open = (0..20).map(|_| world.granted(0)).collect::<Vec<_>>();
    let mut retried = 0;
    let mut refused = 0;
    for step in 1..=600 {
        let mut out = open.drain(..).flat_map(|g| world.again(&g)).collect::<Vec<Action>>();
        out.extend(world.wait(50));
        retried += grants(&out).len();
        refused += refusals(&out).iter().filter(|r| r.reason == Reason::NoBudget).count();
        open = grants(&out);
        // The full bucket of 20 running requests, and the flow of one a second.
        assert!(retried <= 20 + step / 20, "{retried} in step {step}");
    }
    assert!(refused > 0);
}

#[test]
fn a_refused_retry_is_told_when_to_come_back() {
    let mut world = world();
    let mut out = Vec::new();
    for _ in 0..200 {
        let grant = world.granted(0);
        out.extend(world.again(&grant));
    }
    let refused = refusals(&out);
    assert!(refused.iter().any(|r| r.reason == Reason::NoBudget));
    assert!(refused.iter().all(|r| r.retry_after.is_some_and(|t| t.as_secs() >= 1)));
}

#[test]
fn a_retry_keeps_its_admission_and_goes_before_firsts() {
    let limits = Limits { concurrent: 3, queue: 5, ..Limits::default() };
    let mut world = World::new(9, limits, &[1_000]);
    world.list(vec![engine("r0", "a", V1), engine("r1", "a", V1)]);
    let running = (0..3).map(|_| world.granted(0)).collect::<Vec<_>>();
    let (first, out) = world.ask(0);
    assert!(out.is_empty());
    assert!(world.step(done(running[0].ticket, Verdict::Broken, true)).is_empty());
    let ask = RunnerRequest {
        ticket: running[0].ticket,
        purpose: Purpose::Retry,
        avoid: Some(running[0].runner),
        ..world.draft(0)
    };
    let out = world.step(Event::Request(ask));
    assert_eq!(grants(&out)[0].ticket, running[0].ticket);
    let out = world.done(running[0].ticket, Verdict::Ok);
    assert_eq!(grants(&out)[0].ticket, first);
}

#[test]
fn a_request_forgotten_between_two_runners_gives_its_admission_back() {
    let limits = Limits { concurrent: 1, queue: 0, ..Limits::default() };
    let mut world = World::new(9, limits, &[1_000]);
    world.list(vec![engine("r0", "a", V1), engine("r1", "a", V1)]);
    let grant = world.granted(0);
    world.step(done(grant.ticket, Verdict::Broken, true));
    assert_eq!(reasons(&world.ask(0).1), [Reason::EntryLimit]);
    world.step(Event::Cancel(grant.ticket));
    world.granted(0);
}

// The caller holds half an answer when its runner dies, and the entry lets new requests wait for no
// more than 100 ms. Its own waits longer than that for a place, rather than be cut.
#[test]
fn a_retry_outwaits_the_bound_of_new_requests() {
    let limits = Limits { wait_ms: 100, ..Limits::default() };
    let mut world = World::new(9, limits, &[1_000]);
    world.list(vec![engine("r0", "a", V1), engine("r1", "a", V1)]);
    ["r0", "r1"].iter().for_each(|r| _ = world.load(r, report(0, 1)));
    let running = (0..4).map(|_| world.granted(0)).collect::<Vec<_>>();
    let other = running.iter().find(|g| g.runner != running[0].runner).expect("both are used");
    assert!(world.again(&running[0]).is_empty());
    assert!(world.wait(1_000).is_empty());
    let out = world.done(other.ticket, Verdict::Ok);
    assert_eq!(grants(&out)[0].ticket, running[0].ticket);
}
