//! Which runners are sent nothing: suspects, and those that leave.

use {
    crate::world::{ENTRY, V1, World, engine, grants, reasons, report},
    bilberryfront_decide::{
        Event,
        action::{Grant, Reason},
        catalog::Limits,
        event::{Purpose, RunnerRequest, Verdict},
    },
    bilberryfront_wire::{
        instance::{InstanceList, InstanceState},
        runner::LoadReport,
    },
};

fn world(runners: usize) -> World {
    let mut world = World::new(3, Limits::default(), &[1_000]);
    world.list((0..runners).map(|i| engine(&format!("r{i}"), "a", V1)).collect());
    world
}

fn fail(world: &mut World, grant: &Grant) {
    world.done(grant.ticket, Verdict::Broken);
}

/// Sends and ends `count` requests; gives how many went to the runner.
fn got(world: &mut World, name: &str, count: usize) -> usize {
    let sent = (0..count).map(|_| {
        let grant = world.granted(0);
        let name = world.name(grant.runner);
        world.done(grant.ticket, Verdict::Cancelled);
        name
    });
    sent.collect::<Vec<_>>().iter().filter(|n| *n == name).count()
}

// The caller sees a request fail at a dead runner, and the next ones must not. 1. A request breaks
// at it. 2. Until its back-off is over it gets nothing. 3. Then one request is its probe, and
// nothing else until that ends. 4. The probe breaks, and the back-off doubles.
#[test]
fn a_suspect_gets_one_probe_after_its_back_off() {
    let mut world = world(2);
    let first = world.granted(0);
    let name = world.name(first.runner);
    fail(&mut world, &first);
    assert_eq!(got(&mut world, &name, 20), 0);
    world.wait(650);
    let probe = world.granted(0);
    assert_eq!(world.name(probe.runner), name);
    assert_eq!(got(&mut world, &name, 20), 0);
    fail(&mut world, &probe);
    world.wait(650);
    assert_eq!(got(&mut world, &name, 20), 0, "the second back-off is longer");
    world.wait(650);
    let probe = world.granted(0);
    assert_eq!(world.name(probe.runner), name);
    world.done(probe.ticket, Verdict::Ok);
    assert!(got(&mut world, &name, 20) > 0);
}

#[test]
fn a_probes_first_token_ends_the_suspicion() {
    let mut world = world(2);
    let first = world.granted(0);
    fail(&mut world, &first);
    world.wait(650);
    let probe = world.granted(0);
    assert_eq!(probe.runner, first.runner);
    world.step(Event::Started(probe.ticket));
    let sent = (0..6).map(|_| world.granted(0).runner).collect::<Vec<_>>();
    assert!(sent.contains(&probe.runner), "its load goes up with the other's");
}

#[test]
fn a_probe_whose_caller_leaves_is_followed_by_another() {
    let mut world = world(2);
    let first = world.granted(0);
    fail(&mut world, &first);
    world.wait(650);
    let probe = world.granted(0);
    world.done(probe.ticket, Verdict::Cancelled);
    assert_eq!(world.granted(0).runner, probe.runner);
}

// Callers would wait half a minute longer than needed: a runner that dies breaks all its streams
// at once, and if each of them doubled the back-off it would be at its longest at once.
#[test]
fn streams_broken_together_are_one_failure() {
    let mut world = world(2);
    let grants = (0..12).map(|_| world.granted(0)).collect::<Vec<_>>();
    let runner = grants[0].runner;
    for grant in grants.iter().filter(|g| g.runner == runner) {
        fail(&mut world, grant);
    }
    world.wait(650);
    assert_eq!(world.granted(0).runner, runner);
}

#[test]
fn a_failed_request_is_no_probe() {
    let mut world = world(3);
    let [a, b] = [world.granted(0), world.granted(0)];
    fail(&mut world, &a);
    world.wait(650);
    let out = world.again(&b);
    let grant = grants(&out).pop().expect("a grant");
    assert_ne!(grant.runner, a.runner, "due for a probe, but not with a request that failed once");
    assert_ne!(grant.runner, b.runner);
}

#[test]
fn silent_load_reports_make_a_suspect_and_a_report_clears_it() {
    let mut world = world(2);
    let runner = world.runner("r0");
    world.step(Event::LoadMissing { runner });
    assert!(got(&mut world, "r0", 20) > 0, "one missed report is no evidence");
    world.step(Event::LoadMissing { runner });
    world.wait(5_000);
    assert_eq!(got(&mut world, "r0", 20), 0, "no request is risked while it is silent");
    world.load("r0", report(0, 8));
    assert!(got(&mut world, "r0", 20) > 0);
}

#[test]
fn a_load_report_does_not_clear_a_failed_request() {
    let mut world = world(2);
    let first = world.granted(0);
    let name = world.name(first.runner);
    fail(&mut world, &first);
    world.load(&name, report(0, 8));
    assert_eq!(got(&mut world, &name, 20), 0);
}

#[test]
fn with_only_suspects_the_one_that_failed_longest_ago_serves() {
    let mut world = world(2);
    let first = world.granted(0);
    fail(&mut world, &first);
    world.wait(50);
    let second = world.granted(0);
    assert_ne!(first.runner, second.runner);
    fail(&mut world, &second);
    assert_eq!(world.granted(0).runner, first.runner);
}

#[test]
fn the_runner_to_avoid_serves_when_it_is_the_only_one() {
    let mut world = world(1);
    let first = world.granted(0);
    let out = world.again(&first);
    assert_eq!(grants(&out)[0].runner, first.runner);
}

// The caller sees its request refused or cut by a runner on its way out. 1. The list says that the
// runner leaves. 2. An older list, read from a lagging replica, calls it live. It is ignored.
#[test]
fn a_stale_list_brings_no_runner_back() {
    let mut world = world(2);
    let mut list = ["r0", "r1"].map(|n| engine(n, "a", V1)).to_vec();
    list[0].state = InstanceState::Leaving;
    world.list(list);
    assert_eq!(got(&mut world, "r0", 20), 0);
    let instances = ["r0", "r1"].map(|n| engine(n, "a", V1)).to_vec();
    world.step(Event::Instances(InstanceList { revision: 1, instances }));
    assert_eq!(got(&mut world, "r0", 20), 0);
}

// The caller sees its request refused by a draining runner. 1. The runner reports that it leaves.
// 2. A newer list, which hasn't heard of it, still calls it live. Its own word counts.
#[test]
fn a_runners_own_word_that_it_leaves_outlasts_the_list() {
    let mut world = world(2);
    world.load("r0", LoadReport { leaving: true, ..report(0, 8) });
    world.list(["r0", "r1"].map(|n| engine(n, "a", V1)).to_vec());
    assert_eq!(got(&mut world, "r0", 20), 0);
    world.load("r0", report(0, 8));
    assert!(got(&mut world, "r0", 20) > 0, "and so does its word that it stays");
}

// Operators see a drained runner that was told to load a version and never serves again. 1. It
// reports that it leaves. 2. The node stops asking for its load. 3. So it can't hear that the
// runner is back.
#[test]
fn a_runner_that_said_it_leaves_is_still_listened_to() {
    let mut world = world(2);
    let is_polled = |w: &World| w.core.polled().any(|(_, r)| r.name == "r0");
    world.load("r0", LoadReport { leaving: true, ..report(0, 8) });
    assert!(is_polled(&world));
    let mut list = ["r0", "r1"].map(|n| engine(n, "a", V1)).to_vec();
    list[0].state = InstanceState::Leaving;
    world.list(list);
    assert!(!is_polled(&world), "the list's word is not the runner's to undo");
}

#[test]
fn with_leaving_runners_only_a_request_is_refused() {
    let mut world = world(1);
    world.load("r0", LoadReport { leaving: true, ..report(0, 8) });
    let (_, out) = world.ask(0);
    assert_eq!(reasons(&out), [Reason::NoRunner]);
}

#[test]
fn a_version_that_no_runner_has_is_refused() {
    let mut world = world(1);
    let ask = RunnerRequest { pin: Some("v9".into()), purpose: Purpose::Resume, ..world.draft(0) };
    assert_eq!(reasons(&world.step(Event::Request(ask))), [Reason::NoRunner]);
    assert!(world.core.runners().all(|(_, r)| r.entry == ENTRY));
}
