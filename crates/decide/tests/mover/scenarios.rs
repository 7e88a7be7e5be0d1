//! Scenarios with good and bad versions, and with operators' requests.

use {
    crate::{
        drive::{Drive, Fault},
        fake::{ENTRY, NODES},
    },
    bilberryfront_decide::mover::{Cause, MoveError, Standing, Weights},
    std::time::Duration,
};

/// The new version is good. Its share grows step by step, the move settles before the deadline, and
/// the catalogue then names the new version.
#[test]
fn good_version_settles_in_time() {
    let mut drive = Drive::new(|_| false);
    drive.start(300);
    assert!(drive.run_until(290, Drive::is_settled));
    assert!(drive.run_until(15, |d| d.world.standing() == Some(Standing::Adopted)));
    assert_eq!(drive.world.catalog, "v2");
    drive.run(7);
    assert!((0..NODES).all(|n| drive.world.split(n).is_none()));
}

/// The new version fails from its first request on. Only a few requests may fail before the move is
/// rolled back; after that, no node may send it any.
#[test]
fn version_bad_from_the_start_is_rolled_back() {
    let mut drive = Drive::new(|_| true);
    drive.start(300);
    assert!(drive.run_until(290, Drive::is_taken_back));
    assert!(drive.bad * 50 <= 300 * 20, "{} bad requests", drive.bad);
    drive.run(3);
    let bad = drive.bad;
    drive.run(30);
    assert_eq!(drive.bad, bad);
}

/// The new version is as good as the old one until it becomes slow after 150 s, with late first
/// tokens. The move must be rolled back soon after that.
#[test]
fn version_that_turns_bad_is_rolled_back() {
    let mut drive = Drive::new(|r| r.at > 180.0);
    drive.fault = Fault::Slow;
    drive.start(300);
    assert!(drive.run_until(290, Drive::is_taken_back));
    let cause = drive.world.standing().and_then(|s| s.verdict().map(|v| v.cause));
    assert_eq!(cause, Some(Cause::SlowFirst));
    assert!(drive.bad * 50 <= 300 * 20, "{} bad requests", drive.bad);
}

/// The new version fails only at a share of 40% or more. It passes the smaller steps; the move must
/// be rolled back at the larger ones.
#[test]
fn version_bad_under_load_is_rolled_back() {
    let mut drive = Drive::new(|r| r.share >= 0.4);
    drive.start(300);
    assert!(drive.run_until(320, Drive::is_taken_back));
    assert!(drive.bad * 50 <= 300 * 20, "{} bad requests", drive.bad);
}

/// The new version fails on the smaller of two routes. Few requests fail in total, so the failures
/// are only detected by a comparison per route.
#[test]
fn version_bad_on_one_route_is_rolled_back() {
    let mut drive = Drive::new(|r| r.route == "large");
    drive.start(300);
    assert!(drive.run_until(290, Drive::is_taken_back));
    let route = drive.world.standing().and_then(|s| s.verdict().map(|v| v.route.clone()));
    assert_eq!(route.as_deref(), Some("large"));
    assert!(drive.bad * 50 <= 300 * 20, "{} bad requests", drive.bad);
}

/// An operator requests a move with a deadline that is too close for sufficient evidence. The
/// request is rejected immediately with the required time, and nothing is written.
#[test]
fn impossible_deadline_is_rejected_immediately() {
    let mut drive = Drive::new(|_| false);
    let mut start =
        drive.world.start_request("v2", Duration::from_secs(40), Weights::default(), false);
    let answer = drive.world.movers[0].start(drive.world.now, &start);
    let Err(MoveError::Late(late)) = answer else { panic!("{answer:?}") };
    assert!(late.earliest > Duration::from_secs(40) && late.earliest < Duration::from_secs(300));
    drive.run(5);
    assert_eq!(drive.world.table.row(), None);
    start.by += (late.earliest.as_millis() - 40_000) as u64;
    assert!(drive.world.movers[0].start(drive.world.now, &start).is_ok());
}

/// Two operators concurrently start different moves of one entry at two nodes. One start succeeds,
/// the other one fails, and the table holds the move that succeeded.
#[test]
fn one_of_two_concurrent_starts_succeeds() {
    let mut drive = Drive::new(|_| false);
    for (node, to) in [(1, "v2"), (4, "v3")] {
        let start =
            drive.world.start_request(to, Duration::from_secs(300), Weights::default(), false);
        drive.world.movers[node].start(drive.world.now, &start).expect("no move is known yet");
    }
    drive.run(5);
    let mut results: Vec<bool> = drive.world.started.iter().map(|(_, ok)| *ok).collect();
    results.sort_unstable();
    assert_eq!(results, [false, true]);
    let (id, _) = drive.world.started.iter().find(|(_, ok)| *ok).expect("one start succeeded");
    assert_eq!(drive.world.table.row().map(|(_, r)| r.moved.id), Some(*id));
}

/// An operator undoes a move while the lease holder raises the share. Whichever write comes first,
/// no node may send requests to the new version from 3 s later on.
#[test]
fn undo_takes_precedence_over_a_raise() {
    let mut drive = Drive::new(|_| false);
    drive.world.max_delay = Duration::from_millis(400);
    drive.start(300);
    drive.run_until(30, |d| d.world.standing().is_some());
    let raised = |d: &Drive| matches!(d.world.standing(), Some(Standing::Moving(step)) if step > 0);
    assert!(drive.run_until(250, raised));
    let node = (drive.holder().expect("a raise requires the lease") + 1) % NODES;
    drive.world.movers[node].undo(drive.world.now, ENTRY).expect("the move is in progress");
    assert_eq!(drive.world.share(node), 0);
    drive.run(3);
    for _ in 0..600 {
        assert_eq!(drive.total_share(), 0);
        drive.run_until(1, |_| true);
    }
    assert!(drive.is_taken_back());
}

/// There are no requests. The move must be rolled back at its deadline rather than settle without
/// evidence.
#[test]
fn move_without_evidence_is_rolled_back_at_the_deadline() {
    let mut drive = Drive::new(|_| false);
    drive.start(300);
    let world = &mut drive.world;
    let start = world.now;
    while world.now < start + Duration::from_secs(302) {
        world.tick(&mut |_| {});
    }
    let verdict = world.standing().and_then(|s| s.verdict().map(|v| v.cause));
    assert_eq!(verdict, Some(Cause::Deadline));
}
