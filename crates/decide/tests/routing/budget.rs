//! Tests of retries: how soon requests continue after the loss of their runner, and their limits.

use {
    crate::fixture::{Fixture, V1, done, engine, grants, load_report, reasons, rejections},
    bilberryfront_decide::{
        Action, Event,
        action::{Grant, Reason},
        catalog::Limits,
        event::{Purpose, RunnerRequest, Verdict},
    },
    std::collections::BTreeMap,
};

const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn fixture() -> Fixture {
    let mut fixture = Fixture::new(9, Limits::default(), &[1_000]);
    let runners = (0..21).map(|i| engine(&format!("r{i}"), DOMAINS[i % 3], V1));
    fixture.set_instances(runners.collect());
    (0..21).for_each(|i| _ = fixture.report_load(&format!("r{i}"), load_report(0, 8)));
    fixture
}

fn domain(fixture: &Fixture, grant: &Grant) -> String {
    let found = fixture.core.runners().find(|(k, _)| *k == grant.runner);
    found.expect("the runner is known").1.domain.to_string()
}

// Guards against long interruptions of streams. A third of the runners die at the same time, and 56
// streams lose their runner and request another one. They must all continue within two seconds,
// paced, ahead of new requests and spread over the remaining runners.
#[test]
fn streams_of_a_lost_domain_are_resumed_within_seconds() {
    let mut fixture = fixture();
    let running = (0..112).map(|_| fixture.expect_grant(0)).collect::<Vec<_>>();
    let lost = running.iter().filter(|g| domain(&fixture, g) == "a").cloned().collect::<Vec<_>>();
    assert_eq!(lost.len(), 56, "the local domain is full");
    let at_once = lost.iter().flat_map(|g| fixture.fail_and_retry(g)).collect::<Vec<_>>();
    assert!(grants(&at_once).len() < lost.len() / 2, "the retries are paced");
    let later = fixture.advance(2_000);
    let moved = [at_once, later].concat();
    assert_eq!(grants(&moved).len(), lost.len());
    let mut counts = BTreeMap::<_, u32>::new();
    for grant in grants(&moved) {
        assert_ne!(domain(&fixture, &grant), "a");
        *counts.entry(grant.runner).or_default() += 1;
    }
    assert!(counts.values().all(|n| *n <= 8), "{counts:?}");
}

// Guards against overloading healthy runners with retries. A version fails every request, and each
// failure causes a retry, which fails again. The budget must be used up once and then allow retries
// only at its low refill rate.
#[test]
fn a_version_that_always_fails_is_not_retried_indefinitely() {
    let mut fixture = fixture();
    let mut open = (0..20).map(|_| fixture.expect_grant(0)).collect::<Vec<_>>();
    let mut retried = 0;
    let mut rejected = 0;
    for step in 1..=600 {
        let mut out =
            open.drain(..).flat_map(|g| fixture.fail_and_retry(&g)).collect::<Vec<Action>>();
        out.extend(fixture.advance(50));
        retried += grants(&out).len();
        rejected += rejections(&out).iter().filter(|r| r.reason == Reason::NoBudget).count();
        open = grants(&out);
        // The full budget of 20 running requests, and a refill rate of one retry per second.
        assert!(retried <= 20 + step / 20, "{retried} in step {step}");
    }
    assert!(rejected > 0);
}

#[test]
fn a_rejected_retry_has_a_retry_time() {
    let mut fixture = fixture();
    let mut out = Vec::new();
    for _ in 0..200 {
        let grant = fixture.expect_grant(0);
        out.extend(fixture.fail_and_retry(&grant));
    }
    let rejected = rejections(&out);
    assert!(rejected.iter().any(|r| r.reason == Reason::NoBudget));
    assert!(rejected.iter().all(|r| r.retry_after.is_some_and(|t| t.as_secs() >= 1)));
}

#[test]
fn a_retry_keeps_its_admission_and_precedes_first_requests() {
    let limits = Limits { concurrent: 3, queue: 5, ..Limits::default() };
    let mut fixture = Fixture::new(9, limits, &[1_000]);
    fixture.set_instances(vec![engine("r0", "a", V1), engine("r1", "a", V1)]);
    let running = (0..3).map(|_| fixture.expect_grant(0)).collect::<Vec<_>>();
    let (first, out) = fixture.request(0);
    assert!(out.is_empty());
    assert!(fixture.step(done(running[0].ticket, Verdict::Broken, true)).is_empty());
    let request = RunnerRequest {
        ticket: running[0].ticket,
        purpose: Purpose::Retry,
        avoid: Some(running[0].runner),
        ..fixture.new_request(0)
    };
    let out = fixture.step(Event::Request(request));
    assert_eq!(grants(&out)[0].ticket, running[0].ticket);
    let out = fixture.done(running[0].ticket, Verdict::Ok);
    assert_eq!(grants(&out)[0].ticket, first);
}

#[test]
fn a_request_cancelled_between_attempts_releases_its_admission() {
    let limits = Limits { concurrent: 1, queue: 0, ..Limits::default() };
    let mut fixture = Fixture::new(9, limits, &[1_000]);
    fixture.set_instances(vec![engine("r0", "a", V1), engine("r1", "a", V1)]);
    let grant = fixture.expect_grant(0);
    fixture.step(done(grant.ticket, Verdict::Broken, true));
    assert_eq!(reasons(&fixture.request(0).1), [Reason::EntryLimit]);
    fixture.step(Event::Cancel(grant.ticket));
    fixture.expect_grant(0);
}

// Guards against aborting a partially delivered answer. Its runner dies while all others are full,
// and the entry's `wait_ms` is only 100 ms. The retry must wait longer than that.
#[test]
fn a_retry_may_wait_longer_than_a_new_request() {
    let limits = Limits { wait_ms: 100, ..Limits::default() };
    let mut fixture = Fixture::new(9, limits, &[1_000]);
    fixture.set_instances(vec![engine("r0", "a", V1), engine("r1", "a", V1)]);
    ["r0", "r1"].iter().for_each(|r| _ = fixture.report_load(r, load_report(0, 1)));
    let running = (0..4).map(|_| fixture.expect_grant(0)).collect::<Vec<_>>();
    let other = running.iter().find(|g| g.runner != running[0].runner).expect("both are used");
    assert!(fixture.fail_and_retry(&running[0]).is_empty());
    assert!(fixture.advance(1_000).is_empty());
    let out = fixture.done(other.ticket, Verdict::Ok);
    assert_eq!(grants(&out)[0].ticket, running[0].ticket);
}
