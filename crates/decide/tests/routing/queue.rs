//! Requests that wait: their order, their time, their number.

use {
    crate::world::{V1, V2, World, engine, grants, reasons, refusals, report},
    bilberryfront_decide::{
        Event,
        action::Reason,
        catalog::Limits,
        event::{Purpose, RunnerRequest, Verdict},
        id::Ticket,
    },
    std::time::Duration,
};

/// One runner that takes two at once (and one more by overcommitment).
fn world(queue: u32, wait_ms: u32) -> World {
    let limits = Limits { queue, wait_ms, ..Limits::default() };
    let mut world = World::new(5, limits, &[1_000, 1_000, 1_000]);
    world.list(vec![engine("r0", "a", V1)]);
    world.load("r0", report(0, 2));
    world
}

/// Three requests that fill the runner.
fn fill(world: &mut World) -> Vec<Ticket> {
    (0..3).map(|_| world.granted(0).ticket).collect()
}

#[test]
fn a_request_waits_for_room_and_goes_when_there_is_some() {
    let mut world = world(10, 1_000);
    let running = fill(&mut world);
    let (ticket, out) = world.ask(0);
    assert!(out.is_empty());
    let out = world.done(running[0], Verdict::Ok);
    assert_eq!(grants(&out)[0].ticket, ticket);
}

#[test]
fn a_request_whose_wait_runs_out_is_refused_then() {
    let mut world = world(10, 1_000);
    fill(&mut world);
    world.ask(0);
    assert!(world.wait(950).is_empty());
    let out = world.wait(50);
    assert_eq!(reasons(&out), [Reason::WaitTooLong]);
    assert!(refusals(&out)[0].retry_after.is_some());
}

// The caller would wait for nothing: 1. Requests take 4 s each, three at once. 2. Two wait already.
// 3. A third would go in 4 s, which is past the 3 s that it may wait. It hears so at once, and the
// time to come back: in a second, a new one would go in time.
#[test]
fn a_request_that_would_be_late_is_refused_at_once() {
    let mut world = world(10, 3_000);
    let first = world.granted(0);
    world.now += Duration::from_secs(4);
    world.done(first.ticket, Verdict::Ok);
    fill(&mut world);
    assert!(world.ask(0).1.is_empty());
    assert!(world.ask(0).1.is_empty());
    let (_, out) = world.ask(0);
    assert_eq!(reasons(&out), [Reason::WaitTooLong]);
    assert_eq!(refusals(&out)[0].retry_after, Some(Duration::from_secs(1)));
}

#[test]
fn a_full_queue_drops_the_newest_of_the_account_that_has_most() {
    let mut world = world(3, 5_000);
    fill(&mut world);
    let flood = (0..3).map(|_| world.ask(0).0).collect::<Vec<_>>();
    let (small, out) = world.ask(1);
    assert_eq!(refusals(&out)[0].ticket, flood[2]);
    assert_eq!(reasons(&out), [Reason::EntryLimit]);
    assert_eq!(world.core.waiting(world.entry), 3);
    let (_, out) = world.ask(0);
    assert_eq!(out.len(), 1, "the flood gains nothing by going on");
    assert_ne!(refusals(&out)[0].ticket, small);
}

#[test]
fn no_queue_means_a_refusal_at_once() {
    let mut world = world(0, 5_000);
    fill(&mut world);
    assert_eq!(reasons(&world.ask(0).1), [Reason::EntryLimit]);
}

// The caller of a small account sees its one request wait behind hundreds of a large one's.
// Instead the account with the least running goes first, whoever came first.
#[test]
fn a_flood_delays_only_itself() {
    let mut world = world(100, 5_000);
    let running = fill(&mut world);
    (0..50).for_each(|_| _ = world.ask(0));
    let small = [world.ask(1).0, world.ask(2).0];
    let mut order = Vec::new();
    for ticket in running {
        let out = world.done(ticket, Verdict::Cancelled);
        order.extend(grants(&out).iter().map(|g| g.ticket));
    }
    assert_eq!(order[..2], small);
}

// Against a naive pick at every step: of the accounts that wait, one with the least running.
#[test]
fn each_pick_is_of_an_account_with_the_least_running() {
    let mut world = world(100, 60_000);
    let mut running = fill(&mut world).into_iter().map(|t| (t, 0)).collect::<Vec<_>>();
    let mut waiting = Vec::new();
    for i in 0..90_usize {
        let account = [0, 0, 0, 1, 0, 2][i % 6];
        let (ticket, out) = world.ask(account);
        assert!(out.is_empty());
        waiting.push((ticket, account));
    }
    for step in 0..90_usize {
        let (ended, _) = running.remove(step * 5 % running.len());
        let out = world.done(ended, Verdict::Cancelled);
        let count = |a: usize| running.iter().filter(|(_, b)| *b == a).count();
        let least = waiting.iter().map(|(_, a)| count(*a)).min().expect("some wait");
        let ticket = grants(&out)[0].ticket;
        let at = waiting.iter().position(|(t, _)| *t == ticket).expect("it waited");
        let (_, account) = waiting.remove(at);
        assert_eq!(count(account), least, "step {step}");
        assert!(waiting[..at].iter().all(|(_, a)| *a != account), "in order within an account");
        running.push((ticket, account));
    }
}

#[test]
fn a_forgotten_request_hears_nothing_more() {
    let mut world = world(10, 1_000);
    let running = fill(&mut world);
    let (ticket, _) = world.ask(0);
    assert!(world.step(Event::Cancel(ticket)).is_empty());
    assert!(world.done(running[0], Verdict::Ok).is_empty());
    assert!(world.wait(2_000).is_empty());
}

#[test]
fn a_resume_goes_before_the_firsts() {
    let mut world = world(10, 5_000);
    let running = fill(&mut world);
    world.ask(0);
    let ask = RunnerRequest { purpose: Purpose::Resume, pin: Some(V1.into()), ..world.draft(0) };
    let ticket = ask.ticket;
    world.step(Event::Request(ask));
    let out = world.done(running[0], Verdict::Ok);
    assert_eq!(grants(&out)[0].ticket, ticket);
}

#[test]
fn a_new_runner_takes_what_waits() {
    let mut world = world(10, 5_000);
    fill(&mut world);
    let (ticket, _) = world.ask(0);
    let out = world.list(vec![engine("r0", "a", V1), engine("r1", "a", V1)]);
    assert_eq!(grants(&out)[0].ticket, ticket);
}

#[test]
fn a_waiting_request_is_refused_when_the_catalogue_drops_its_entry_or_access() {
    let mut world = world(10, 5_000);
    let running = fill(&mut world);
    let [one, two] = [world.ask(1).0, world.ask(2).0];
    let out = world.renew(|doc| doc.entries[0].accounts.truncate(2));
    assert_eq!((refusals(&out)[0].ticket, reasons(&out)), (two, vec![Reason::NoAccess]));
    let out = world.renew(|doc| doc.entries.clear());
    assert_eq!((refusals(&out)[0].ticket, reasons(&out)), (one, vec![Reason::NoEntry]));
    running.into_iter().for_each(|t| assert!(world.done(t, Verdict::Ok).is_empty()));
    assert_eq!(reasons(&world.ask(0).1), [Reason::NoEntry]);
    assert!(world.core.usage().is_empty());
}

#[test]
fn what_waits_goes_to_the_version_in_force_when_it_goes() {
    let mut world = world(10, 5_000);
    fill(&mut world);
    world.list(vec![engine("r0", "a", V1), engine("r1", "a", V2)]);
    let (ticket, out) = world.ask(0);
    assert!(out.is_empty());
    let out = world.renew(|doc| doc.entries[0].version = V2.into());
    assert_eq!((grants(&out)[0].ticket, grants(&out)[0].version.as_str()), (ticket, V2));
}

// The caller would wait for nothing: 1. It waits for room at the only runner. 2. The list drops the
// runner. 3. A new request would be refused at once, so the one that waits is told at the next tick
// and not when its time is over.
#[test]
fn a_request_whose_last_runner_went_is_refused_at_the_next_tick() {
    let mut world = world(10, 60_000);
    fill(&mut world);
    let (ticket, _) = world.ask(0);
    world.list(vec![]);
    let out = world.wait(50);
    assert_eq!(reasons(&out), [Reason::NoRunner]);
    assert_eq!(refusals(&out)[0].ticket, ticket);
}
