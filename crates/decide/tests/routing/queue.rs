//! Tests of the queue: order, waiting time and length.

use {
    crate::fixture::{Fixture, V1, V2, engine, grants, load_report, reasons, rejections},
    bilberryfront_decide::{
        Event,
        action::Reason,
        catalog::Limits,
        event::{Purpose, RunnerRequest, Verdict},
        id::Ticket,
    },
    std::time::Duration,
};

/// Creates a fixture with one runner with two slots, which accepts three requests by
/// overcommitment.
fn fixture(queue: u32, wait_ms: u32) -> Fixture {
    let limits = Limits { queue, wait_ms, ..Limits::default() };
    let mut fixture = Fixture::new(5, limits, &[1_000, 1_000, 1_000]);
    fixture.set_instances(vec![engine("r0", "a", V1)]);
    fixture.report_load("r0", load_report(0, 2));
    fixture
}

/// Sends the three requests that fill the runner.
fn fill(fixture: &mut Fixture) -> Vec<Ticket> {
    (0..3).map(|_| fixture.expect_grant(0).ticket).collect()
}

#[test]
fn a_request_waits_until_there_is_capacity() {
    let mut fixture = fixture(10, 1_000);
    let running = fill(&mut fixture);
    let (ticket, out) = fixture.request(0);
    assert!(out.is_empty());
    let out = fixture.done(running[0], Verdict::Ok);
    assert_eq!(grants(&out)[0].ticket, ticket);
}

#[test]
fn a_request_is_rejected_at_its_deadline() {
    let mut fixture = fixture(10, 1_000);
    fill(&mut fixture);
    fixture.request(0);
    assert!(fixture.advance(950).is_empty());
    let out = fixture.advance(50);
    assert_eq!(reasons(&out), [Reason::WaitTooLong]);
    assert!(rejections(&out)[0].retry_after.is_some());
}

// Guards against a useless wait before a rejection. Requests take 4 s each, three run concurrently,
// and two are queued. A third queued request would start after 4 s, later than the allowed 3 s. It
// must be rejected immediately, with a retry time of 1 s, after which a new request would be in
// time.
#[test]
fn a_request_with_too_long_an_expected_wait_is_rejected_immediately() {
    let mut fixture = fixture(10, 3_000);
    let first = fixture.expect_grant(0);
    fixture.now += Duration::from_secs(4);
    fixture.done(first.ticket, Verdict::Ok);
    fill(&mut fixture);
    assert!(fixture.request(0).1.is_empty());
    assert!(fixture.request(0).1.is_empty());
    let (_, out) = fixture.request(0);
    assert_eq!(reasons(&out), [Reason::WaitTooLong]);
    assert_eq!(rejections(&out)[0].retry_after, Some(Duration::from_secs(1)));
}

#[test]
fn a_full_queue_sheds_the_newest_request_of_the_largest_account() {
    let mut fixture = fixture(3, 5_000);
    fill(&mut fixture);
    let flood = (0..3).map(|_| fixture.request(0).0).collect::<Vec<_>>();
    let (small, out) = fixture.request(1);
    assert_eq!(rejections(&out)[0].ticket, flood[2]);
    assert_eq!(reasons(&out), [Reason::EntryLimit]);
    assert_eq!(fixture.core.waiting(fixture.entry), 3);
    let (_, out) = fixture.request(0);
    assert_eq!(out.len(), 1, "another request of the flooding account replaces one of its own");
    assert_ne!(rejections(&out)[0].ticket, small);
}

#[test]
fn without_a_queue_requests_are_rejected_immediately() {
    let mut fixture = fixture(0, 5_000);
    fill(&mut fixture);
    assert_eq!(reasons(&fixture.request(0).1), [Reason::EntryLimit]);
}

// Guards against requests of one account waiting behind hundreds of another. The account with the
// fewest running requests must be served first, regardless of the order of arrival.
#[test]
fn a_flood_delays_only_its_own_account() {
    let mut fixture = fixture(100, 5_000);
    let running = fill(&mut fixture);
    (0..50).for_each(|_| _ = fixture.request(0));
    let small = [fixture.request(1).0, fixture.request(2).0];
    let mut order = Vec::new();
    for ticket in running {
        let out = fixture.done(ticket, Verdict::Cancelled);
        order.extend(grants(&out).iter().map(|g| g.ticket));
    }
    assert_eq!(order[..2], small);
}

// Compares each grant with a naive choice: an account with the fewest running requests among those
// with waiting requests.
#[test]
fn each_grant_goes_to_an_account_with_the_fewest_running() {
    let mut fixture = fixture(100, 60_000);
    let mut running = fill(&mut fixture).into_iter().map(|t| (t, 0)).collect::<Vec<_>>();
    let mut waiting = Vec::new();
    for i in 0..90_usize {
        let account = [0, 0, 0, 1, 0, 2][i % 6];
        let (ticket, out) = fixture.request(account);
        assert!(out.is_empty());
        waiting.push((ticket, account));
    }
    for step in 0..90_usize {
        let (ended, _) = running.remove(step * 5 % running.len());
        let out = fixture.done(ended, Verdict::Cancelled);
        let count = |a: usize| running.iter().filter(|(_, b)| *b == a).count();
        let least =
            waiting.iter().map(|(_, a)| count(*a)).min().expect("some requests are waiting");
        let ticket = grants(&out)[0].ticket;
        let at = waiting.iter().position(|(t, _)| *t == ticket).expect("the request was waiting");
        let (_, account) = waiting.remove(at);
        assert_eq!(count(account), least, "step {step}");
        assert!(
            waiting[..at].iter().all(|(_, a)| *a != account),
            "requests of an account are granted in order"
        );
        running.push((ticket, account));
    }
}

#[test]
fn a_cancelled_request_gets_no_answer() {
    let mut fixture = fixture(10, 1_000);
    let running = fill(&mut fixture);
    let (ticket, _) = fixture.request(0);
    assert!(fixture.step(Event::Cancel(ticket)).is_empty());
    assert!(fixture.done(running[0], Verdict::Ok).is_empty());
    assert!(fixture.advance(2_000).is_empty());
}

#[test]
fn a_resume_precedes_first_requests() {
    let mut fixture = fixture(10, 5_000);
    let running = fill(&mut fixture);
    fixture.request(0);
    let request =
        RunnerRequest { purpose: Purpose::Resume, pin: Some(V1.into()), ..fixture.new_request(0) };
    let ticket = request.ticket;
    fixture.step(Event::Request(request));
    let out = fixture.done(running[0], Verdict::Ok);
    assert_eq!(grants(&out)[0].ticket, ticket);
}

#[test]
fn a_new_runner_receives_queued_requests() {
    let mut fixture = fixture(10, 5_000);
    fill(&mut fixture);
    let (ticket, _) = fixture.request(0);
    let out = fixture.set_instances(vec![engine("r0", "a", V1), engine("r1", "a", V1)]);
    assert_eq!(grants(&out)[0].ticket, ticket);
}

#[test]
fn a_queued_request_is_rejected_when_the_catalogue_drops_its_entry_or_access() {
    let mut fixture = fixture(10, 5_000);
    let running = fill(&mut fixture);
    let [one, two] = [fixture.request(1).0, fixture.request(2).0];
    let out = fixture.update_catalog(|doc| doc.entries[0].accounts.truncate(2));
    assert_eq!((rejections(&out)[0].ticket, reasons(&out)), (two, vec![Reason::NoAccess]));
    let out = fixture.update_catalog(|doc| doc.entries.clear());
    assert_eq!((rejections(&out)[0].ticket, reasons(&out)), (one, vec![Reason::NoEntry]));
    running.into_iter().for_each(|t| assert!(fixture.done(t, Verdict::Ok).is_empty()));
    assert_eq!(reasons(&fixture.request(0).1), [Reason::NoEntry]);
    assert!(fixture.core.usage().is_empty());
}

#[test]
fn a_queued_request_is_sent_to_the_version_current_at_its_grant() {
    let mut fixture = fixture(10, 5_000);
    fill(&mut fixture);
    fixture.set_instances(vec![engine("r0", "a", V1), engine("r1", "a", V2)]);
    let (ticket, out) = fixture.request(0);
    assert!(out.is_empty());
    let out = fixture.update_catalog(|doc| doc.entries[0].version = V2.into());
    assert_eq!((grants(&out)[0].ticket, grants(&out)[0].version.as_str()), (ticket, V2));
}

// Guards against a useless wait before a rejection. A request is queued for the only runner, and
// the runner disappears from the list. A new request would be rejected immediately, so the queued
// one must be rejected at the next tick and not at its deadline.
#[test]
fn a_request_is_rejected_at_the_next_tick_after_its_last_runner_is_gone() {
    let mut fixture = fixture(10, 60_000);
    fill(&mut fixture);
    let (ticket, _) = fixture.request(0);
    fixture.set_instances(vec![]);
    let out = fixture.advance(50);
    assert_eq!(reasons(&out), [Reason::NoRunner]);
    assert_eq!(rejections(&out)[0].ticket, ticket);
}
