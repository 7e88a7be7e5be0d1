//! Moves during failures of the table, a node or the network.

use {
    crate::{
        drive::Drive,
        fake::{ENTRY, NODES},
    },
    bilberryfront_decide::mover::{MoveError, Standing, Weights, next::Waiting},
    std::time::Duration,
};

/// The new version turns bad while the table is down. The nodes must stop sending to it by
/// exchanging verdicts with each other, and write the verdict when the table is available again.
#[test]
fn version_that_turns_bad_while_the_table_is_down_is_rolled_back() {
    let mut drive = Drive::new(|r| r.at > 100.0);
    drive.start(300);
    assert!(drive.run_until(90, |d| d.world.elapsed_ms() > 99_000));
    drive.world.table.down = true;
    assert!(drive.run_until(90, |d| d.total_share() == 0));
    drive.run(60);
    assert_eq!(drive.total_share(), 0);
    assert!(!drive.is_taken_back());
    drive.world.table.down = false;
    assert!(drive.run_until(10, Drive::is_taken_back));
}

/// A lease holder's raise is in transit for longer than the lease lasts. Another node takes over
/// the lease and doesn't raise yet. The delayed raise expects the current revision of the move's
/// row, but must be rejected, because its sender no longer holds the lease.
#[test]
fn late_raise_of_a_former_holder_is_rejected() {
    let mut drive = Drive::new(|_| false);
    drive.start(300);
    assert!(drive.run_until(10, |d| d.holder().is_some()));
    let old = drive.holder().expect("a node holds the lease");
    let is_raise_near =
        |d: &Drive| matches!(d.status(old).waiting, Waiting::Hold(left) if left < 2_000);
    assert!(drive.run_until(250, is_raise_near));
    drive.world.delayed_commits = Some((old, drive.world.now + Duration::from_secs(20)));
    let others = (0..NODES).filter(|n| *n != old);
    others.for_each(|n| drive.world.movers[n].set_runner_counts(ENTRY, 20, 0));
    assert!(drive.run_until(18, |d| d.holder().is_some_and(|h| h != old)));
    drive.run(20);
    assert_eq!(drive.world.standing(), Some(Standing::Moving(0)));
}

/// The lease holder is paused, and another node takes over the lease with a higher fencing number.
/// When the former holder resumes, it must not send orders, and the move continues.
#[test]
fn paused_holder_sends_no_orders() {
    let mut drive = Drive::new(|_| false);
    drive.start(300);
    assert!(drive.run_until(10, |d| d.holder().is_some()));
    let old = drive.holder().expect("a node holds the lease");
    let fence =
        drive.world.movers[old].fence(drive.world.now, ENTRY).expect("the node holds the lease");
    drive.world.paused_until[old] = drive.world.now + Duration::from_secs(30);
    assert!(drive.run_until(25, |d| d.holder().is_some_and(|h| h != old)));
    let new = drive.holder().expect("a node holds the lease");
    let later =
        drive.world.movers[new].fence(drive.world.now, ENTRY).expect("the node holds the lease");
    assert!(later > fence);
    drive.run_until(30, |d| d.world.paused_until[old] <= d.world.now);
    assert_eq!(drive.world.movers[old].fence(drive.world.now, ENTRY), None);
    assert!(drive.run_until(290, Drive::is_settled));
}

/// A node is disconnected from the table and its peers, and the other nodes roll the move back. The
/// node must stop sending to the new version within 3 s, although it doesn't receive the verdict.
#[test]
fn disconnected_node_stops_sending_to_the_new_version() {
    let mut drive = Drive::new(|_| false);
    drive.start(300);
    assert!(drive.run_until(60, |d| (0..NODES).all(|n| d.world.share(n) > 0)));
    drive.world.partitioned_until[2] = drive.world.now + Duration::from_secs(60);
    drive.world.movers[0].undo(drive.world.now, ENTRY).expect("the move is in progress");
    drive.run(3);
    assert_eq!(drive.total_share(), 0);
}

/// A node is paused with its peers' messages in its buffers. Meanwhile the move is rolled back, and
/// the node doesn't receive the verdict. When it resumes, the buffered messages must not extend its
/// share.
#[test]
fn paused_node_resumes_without_a_share() {
    let mut drive = Drive::new(|_| false);
    drive.start(300);
    assert!(drive.run_until(60, |d| (0..NODES).all(|n| d.world.share(n) > 0)));
    drive.world.paused_until[3] = drive.world.now + Duration::from_secs(10);
    drive.run(9);
    drive.world.partitioned_until[3] = drive.world.now + Duration::from_secs(60);
    drive.world.table.down = true;
    drive.world.movers[0].undo(drive.world.now, ENTRY).expect("the move is in progress");
    drive.run_until(5, |d| d.world.paused_until[3] <= d.world.now);
    for _ in 0..50 {
        assert_eq!(drive.world.share(3), 0);
        drive.run_until(1, |_| true);
    }
}

/// Half of the table's responses are lost after the request took effect. The operator's start must
/// take effect once, and the move must settle.
#[test]
fn lost_responses_are_resolved_by_reads() {
    let mut drive = Drive::new(|_| false);
    drive.world.response_loss = 0.5;
    drive.start(300);
    assert!(drive.run_until(25, |d| d.world.started.len() == 1));
    assert!(drive.world.started[0].1);
    assert!(drive.run_until(290, Drive::is_settled));
}

/// All nodes but one are replaced during a move, and their evidence is lost. The new nodes must
/// read the row and apply its share, and the move must settle.
#[test]
fn replaced_nodes_continue_the_move() {
    let mut drive = Drive::new(|_| false);
    drive.start(400);
    drive.run(60);
    (1..NODES).for_each(|n| drive.world.restart(n));
    assert!(drive.run_until(10, |d| (0..NODES).all(|n| d.world.share(n) > 0)));
    assert!(drive.run_until(390, Drive::is_settled));
}

/// The table is down when an operator starts a move. The start must fail, and the move must not
/// begin later when the table is available again.
#[test]
fn start_fails_while_the_table_is_down() {
    let mut drive = Drive::new(|_| false);
    drive.world.table.down = true;
    drive.start(300);
    assert!(drive.run_until(25, |d| d.world.started.len() == 1));
    assert!(!drive.world.started[0].1);
    drive.world.table.down = false;
    drive.run(20);
    assert_eq!(drive.world.table.row(), None);
}

/// After a rollback, an operator starts a move to the same version again. The earlier verdict must
/// not affect the new move, and a concurrent second start must be rejected.
#[test]
fn verdict_does_not_affect_a_later_move() {
    let mut drive = Drive::new(|_| false);
    drive.start(300);
    assert!(drive.run_until(10, |d| d.world.standing().is_some()));
    drive.run(2);
    drive.world.movers[5].undo(drive.world.now, ENTRY).expect("the move is in progress");
    assert!(drive.run_until(10, Drive::is_taken_back));
    drive.run(2);
    drive.start(300);
    let start =
        drive.world.start_request("v3", Duration::from_secs(300), Weights::default(), false);
    let second = drive.world.movers[0].start(drive.world.now, &start);
    assert!(matches!(second, Err(MoveError::Other(_))), "{second:?}");
    assert!(drive.run_until(10, |d| d.world.standing() == Some(Standing::Moving(0))));
    assert!(drive.run_until(290, Drive::is_settled));
}
