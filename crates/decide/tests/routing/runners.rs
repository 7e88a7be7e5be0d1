//! Tests of runners that receive no requests: suspect and leaving ones.

use {
    crate::fixture::{ENTRY, Fixture, V1, engine, grants, load_report, reasons},
    bilberryfront_decide::{
        Event,
        action::{Action, Grant, Reason},
        catalog::Limits,
        event::{Done, Purpose, RunnerRequest, Verdict},
    },
    bilberryfront_wire::{
        instance::{InstanceList, InstanceState},
        runner::LoadReport,
    },
};

fn fixture(runners: usize) -> Fixture {
    let mut fixture = Fixture::new(3, Limits::default(), &[1_000]);
    fixture.set_instances((0..runners).map(|i| engine(&format!("r{i}"), "a", V1)).collect());
    fixture
}

fn fail(fixture: &mut Fixture, grant: &Grant) {
    fixture.done(grant.ticket, Verdict::Broken);
}

/// Sends and ends `count` requests and returns how many of them the runner received.
fn count_sent_to(fixture: &mut Fixture, name: &str, count: usize) -> usize {
    let sent = (0..count).map(|_| {
        let grant = fixture.expect_grant(0);
        let name = fixture.name(grant.runner);
        fixture.done(grant.ticket, Verdict::Cancelled);
        name
    });
    sent.collect::<Vec<_>>().iter().filter(|n| *n == name).count()
}

// Guards against repeated failures at a dead runner. After a request fails, the runner must receive
// nothing until its back-off has elapsed, and then a single request as a probe. If the probe fails,
// the back-off must double.
#[test]
fn a_suspect_gets_one_probe_after_its_back_off() {
    let mut fixture = fixture(2);
    let first = fixture.expect_grant(0);
    let name = fixture.name(first.runner);
    fail(&mut fixture, &first);
    assert_eq!(count_sent_to(&mut fixture, &name, 20), 0);
    fixture.advance(650);
    let probe = fixture.expect_grant(0);
    assert_eq!(fixture.name(probe.runner), name);
    assert_eq!(count_sent_to(&mut fixture, &name, 20), 0);
    fail(&mut fixture, &probe);
    fixture.advance(650);
    assert_eq!(count_sent_to(&mut fixture, &name, 20), 0, "the second back-off must be longer");
    fixture.advance(650);
    let probe = fixture.expect_grant(0);
    assert_eq!(fixture.name(probe.runner), name);
    fixture.done(probe.ticket, Verdict::Ok);
    assert!(count_sent_to(&mut fixture, &name, 20) > 0);
}

#[test]
fn the_first_token_of_a_probe_marks_the_runner_as_healthy() {
    let mut fixture = fixture(2);
    let first = fixture.expect_grant(0);
    fail(&mut fixture, &first);
    fixture.advance(650);
    let probe = fixture.expect_grant(0);
    assert_eq!(probe.runner, first.runner);
    fixture.step(Event::Started(probe.ticket));
    let sent = (0..6).map(|_| fixture.expect_grant(0).runner).collect::<Vec<_>>();
    assert!(sent.contains(&probe.runner), "the recovered runner must receive requests");
}

#[test]
fn a_cancelled_probe_is_followed_by_another() {
    let mut fixture = fixture(2);
    let first = fixture.expect_grant(0);
    fail(&mut fixture, &first);
    fixture.advance(650);
    let probe = fixture.expect_grant(0);
    fixture.done(probe.ticket, Verdict::Cancelled);
    assert_eq!(fixture.expect_grant(0).runner, probe.runner);
}

// A runner that dies breaks all its streams at the same time. They must count as one failure: if each
// of them doubled the back-off, it would reach its maximum of 30 s immediately.
#[test]
fn streams_broken_together_are_one_failure() {
    let mut fixture = fixture(2);
    let grants = (0..12).map(|_| fixture.expect_grant(0)).collect::<Vec<_>>();
    let runner = grants[0].runner;
    for grant in grants.iter().filter(|g| g.runner == runner) {
        fail(&mut fixture, grant);
    }
    fixture.advance(650);
    assert_eq!(fixture.expect_grant(0).runner, runner);
}

#[test]
fn a_failed_request_is_not_used_as_a_probe() {
    let mut fixture = fixture(3);
    let [a, b] = [fixture.expect_grant(0), fixture.expect_grant(0)];
    fail(&mut fixture, &a);
    fixture.advance(650);
    let out = fixture.fail_and_retry(&b);
    let grant = grants(&out).pop().expect("a grant");
    assert_ne!(grant.runner, a.runner, "a request that failed once must not be used as a probe");
    assert_ne!(grant.runner, b.runner);
}

#[test]
fn two_missed_load_reports_eject_a_runner_until_the_next_report() {
    let mut fixture = fixture(2);
    let runner = fixture.runner("r0");
    fixture.step(Event::LoadMissing { runner });
    assert!(
        count_sent_to(&mut fixture, "r0", 20) > 0,
        "one missed report must not eject the runner"
    );
    fixture.step(Event::LoadMissing { runner });
    fixture.advance(5_000);
    assert_eq!(
        count_sent_to(&mut fixture, "r0", 20),
        0,
        "a suspect without load reports must not be probed"
    );
    fixture.report_load("r0", load_report(0, 8));
    assert!(count_sent_to(&mut fixture, "r0", 20) > 0);
}

#[test]
fn a_load_report_after_a_failed_request_does_not_mark_the_runner_as_healthy() {
    let mut fixture = fixture(2);
    let first = fixture.expect_grant(0);
    let name = fixture.name(first.runner);
    fail(&mut fixture, &first);
    fixture.report_load(&name, load_report(0, 8));
    assert_eq!(count_sent_to(&mut fixture, &name, 20), 0);
}

#[test]
fn among_suspects_the_one_with_the_oldest_failure_is_used() {
    let mut fixture = fixture(2);
    let first = fixture.expect_grant(0);
    fail(&mut fixture, &first);
    fixture.advance(50);
    let second = fixture.expect_grant(0);
    assert_ne!(first.runner, second.runner);
    fail(&mut fixture, &second);
    assert_eq!(fixture.expect_grant(0).runner, first.runner);
}

#[test]
fn the_runner_to_avoid_is_used_if_it_is_the_only_one() {
    let mut fixture = fixture(1);
    let first = fixture.expect_grant(0);
    let out = fixture.fail_and_retry(&first);
    assert_eq!(grants(&out)[0].runner, first.runner);
}

// Guards against requests sent to a runner that is shutting down. The list marks the runner as
// leaving, and then an older list, read from a lagging replica, lists it as live. The older list
// must be ignored.
#[test]
fn a_stale_list_does_not_restore_a_runner() {
    let mut fixture = fixture(2);
    let mut list = ["r0", "r1"].map(|n| engine(n, "a", V1)).to_vec();
    list[0].state = InstanceState::Leaving;
    fixture.set_instances(list);
    assert_eq!(count_sent_to(&mut fixture, "r0", 20), 0);
    let instances = ["r0", "r1"].map(|n| engine(n, "a", V1)).to_vec();
    fixture.step(Event::Instances(InstanceList { revision: 1, instances }));
    assert_eq!(count_sent_to(&mut fixture, "r0", 20), 0);
}

// Guards against requests sent to a draining runner. The runner reports that it is leaving, and a
// newer list, which doesn't include this yet, still lists it as live. The runner's report must
// apply.
#[test]
fn a_runners_own_report_of_leaving_overrides_the_list() {
    let mut fixture = fixture(2);
    fixture.report_load("r0", LoadReport { leaving: true, ..load_report(0, 8) });
    fixture.set_instances(["r0", "r1"].map(|n| engine(n, "a", V1)).to_vec());
    assert_eq!(count_sent_to(&mut fixture, "r0", 20), 0);
    fixture.report_load("r0", load_report(0, 8));
    assert!(
        count_sent_to(&mut fixture, "r0", 20) > 0,
        "a later report must clear the leaving state"
    );
}

// Guards against a runner that never serves again after it was drained to load a new version. It
// reports that it is leaving. If the node stopped polling its load, it would not learn that the
// runner is back.
#[test]
fn a_runner_leaving_by_its_own_report_is_still_polled() {
    let mut fixture = fixture(2);
    let is_polled = |f: &Fixture| f.core.polled().any(|(_, r)| r.name == "r0");
    fixture.report_load("r0", LoadReport { leaving: true, ..load_report(0, 8) });
    assert!(is_polled(&fixture));
    let mut list = ["r0", "r1"].map(|n| engine(n, "a", V1)).to_vec();
    list[0].state = InstanceState::Leaving;
    fixture.set_instances(list);
    assert!(!is_polled(&fixture), "a report can't undo the leaving state of the list");
}

#[test]
fn a_request_is_rejected_if_all_runners_are_leaving() {
    let mut fixture = fixture(1);
    fixture.report_load("r0", LoadReport { leaving: true, ..load_report(0, 8) });
    let (_, out) = fixture.request(0);
    assert_eq!(reasons(&out), [Reason::NoRunner]);
}

#[test]
fn a_request_for_a_version_without_runners_is_rejected() {
    let mut fixture = fixture(1);
    let request = RunnerRequest {
        pin: Some("v9".into()),
        purpose: Purpose::Resume,
        ..fixture.new_request(0)
    };
    assert_eq!(reasons(&fixture.step(Event::Request(request))), [Reason::NoRunner]);
    assert!(fixture.core.runners().all(|(_, r)| r.entry == ENTRY));
}

/// Asks for another runner in place of a silent one.
fn replace(fixture: &mut Fixture, grant: &Grant) -> Vec<Action> {
    let request = RunnerRequest {
        ticket: grant.ticket,
        pin: Some(grant.version.clone()),
        avoid: Some(grant.runner),
        purpose: Purpose::Retry,
        ..fixture.new_request(0)
    };
    let (verdict, first, tokens) = (Verdict::Stalled, None, 0);
    let done = Done { ticket: grant.ticket, verdict, first, tokens, will_retry: true };
    fixture.step(Event::Replace { request, done })
}

// Guards against requests that lose their silent runners when the budget allows no more retries: they keep
// them, and their admission, and get another runner later.
#[test]
fn a_silent_runner_is_kept_until_another_one_is_granted() {
    const REQUESTS: u32 = 8;
    let mut fixture = fixture(2);
    let all: Vec<Grant> = (0..REQUESTS).map(|_| fixture.expect_grant(0)).collect();
    let silent: Vec<&Grant> = all.iter().filter(|grant| grant.runner == all[0].runner).collect();
    let mut replaced = 0;
    for grant in &silent {
        let out = replace(&mut fixture, grant);
        match grants(&out).pop() {
            Some(other) => {
                assert_ne!(other.runner, grant.runner);
                replaced += 1;
            }
            None => assert_eq!(reasons(&out), [Reason::NoBudget]),
        }
    }
    assert!((1..silent.len()).contains(&replaced), "{replaced} of {}", silent.len());
    let last = silent.last().unwrap();
    fixture.advance(1_000);
    let other = grants(&replace(&mut fixture, last)).pop().expect("a grant");
    assert_ne!(other.runner, last.runner);
    let running: u32 = fixture.core.usage().iter().map(|(_, _, running)| running).sum();
    assert_eq!(running, REQUESTS);
}

// Guards against a replacement by a runner that is silent as well, and against one of a request that has ended.
#[test]
fn a_silent_runner_is_not_replaced_by_a_suspect_one() {
    let mut fixture = fixture(2);
    let [first, second] = [fixture.expect_grant(0), fixture.expect_grant(0)];
    assert_ne!(first.runner, second.runner);
    fixture.done(second.ticket, Verdict::Stalled);
    assert_eq!(reasons(&replace(&mut fixture, &first)), [Reason::NoRunner]);
    fixture.done(first.ticket, Verdict::Ok);
    assert_eq!(reasons(&replace(&mut fixture, &first)), [Reason::NoRunner]);
}
