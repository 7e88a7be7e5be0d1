//! Moves while the table, a node or the net fails.

use {
    crate::{
        drive::Drive,
        fake::{ENTRY, NODES},
    },
    bilberryfront_decide::mover::{MoveError, Standing, Weights, next::Waiting},
    std::time::Duration,
};

/// The table goes down; then the new version turns bad. The nodes stop sending to it on each other's
/// word, and the table gets the verdict when it is back.
#[test]
fn badness_while_the_table_is_down() {
    let mut drive = Drive::new(|r| r.at > 100.0);
    drive.start(300);
    assert!(drive.until(90, |d| d.world.since() > 99_000));
    drive.world.table.down = true;
    assert!(drive.until(90, |d| d.shares() == 0));
    drive.run(60);
    assert_eq!(drive.shares(), 0);
    assert!(!drive.is_taken_back());
    drive.world.table.down = false;
    assert!(drive.until(10, Drive::is_taken_back));
}

/// A raise is on its way from the lease's holder for longer than the lease lasts; another node takes
/// it over and waits with the raise. The old one arrives on the row's same revision, and must not
/// count: its holder no longer had a say.
#[test]
fn late_raise_of_an_old_holder_is_refused() {
    let mut drive = Drive::new(|_| false);
    drive.start(300);
    assert!(drive.until(10, |d| d.holder().is_some()));
    let old = drive.holder().expect("just seen");
    let soon = |d: &Drive| matches!(d.status(old).waiting, Waiting::Hold(left) if left < 2_000);
    assert!(drive.until(250, soon));
    drive.world.held = Some((old, drive.world.now + Duration::from_secs(20)));
    let others = (0..NODES).filter(|n| *n != old);
    others.for_each(|n| drive.world.movers[n].set_runner_counts(ENTRY, 20, 0));
    assert!(drive.until(18, |d| d.holder().is_some_and(|h| h != old)));
    drive.run(20);
    assert_eq!(drive.world.standing(), Some(Standing::Moving(0)));
}

/// The lease's holder stands still; another node takes the lease over with a higher fencing number.
/// The holder wakes, may give no orders, and doesn't raise; the move goes on.
#[test]
fn paused_holder_gives_no_orders() {
    let mut drive = Drive::new(|_| false);
    drive.start(300);
    assert!(drive.until(10, |d| d.holder().is_some()));
    let old = drive.holder().expect("just seen");
    let fence = drive.world.movers[old].fence(drive.world.now, ENTRY).expect("it holds");
    drive.world.paused[old] = drive.world.now + Duration::from_secs(30);
    assert!(drive.until(25, |d| d.holder().is_some_and(|h| h != old)));
    let new = drive.holder().expect("just seen");
    let later = drive.world.movers[new].fence(drive.world.now, ENTRY).expect("it holds");
    assert!(later > fence);
    drive.until(30, |d| d.world.paused[old] <= d.world.now);
    assert_eq!(drive.world.movers[old].fence(drive.world.now, ENTRY), None);
    assert!(drive.until(290, Drive::is_settled));
}

/// A node reaches neither table nor peers, and the others take the move back. It can't hear of it,
/// so it stops sending to the new version by itself within 3 s.
#[test]
fn node_cut_off_stops_by_itself() {
    let mut drive = Drive::new(|_| false);
    drive.start(300);
    assert!(drive.until(60, |d| (0..NODES).all(|n| d.world.share(n) > 0)));
    drive.world.cut[2] = drive.world.now + Duration::from_secs(60);
    drive.world.movers[0].undo(drive.world.now, ENTRY).expect("it is under way");
    drive.run(3);
    assert_eq!(drive.shares(), 0);
}

/// A node is paused for a while with its peers' messages in its buffers; meanwhile the move is taken
/// back and the last messages are lost. On waking it must not take the old messages for fresh ones.
#[test]
fn paused_node_wakes_without_a_share() {
    let mut drive = Drive::new(|_| false);
    drive.start(300);
    assert!(drive.until(60, |d| (0..NODES).all(|n| d.world.share(n) > 0)));
    drive.world.paused[3] = drive.world.now + Duration::from_secs(10);
    drive.run(9);
    drive.world.cut[3] = drive.world.now + Duration::from_secs(60);
    drive.world.table.down = true;
    drive.world.movers[0].undo(drive.world.now, ENTRY).expect("it is under way");
    drive.until(5, |d| d.world.paused[3] <= d.world.now);
    for _ in 0..50 {
        assert_eq!(drive.world.share(3), 0);
        drive.until(1, |_| true);
    }
}

/// Every answer of the table is lost after its effect. The operator's start takes effect once, the
/// share grows, and nothing is written twice.
#[test]
fn lost_answers_are_settled_by_reading_back() {
    let mut drive = Drive::new(|_| false);
    drive.world.loss = 0.5;
    drive.start(300);
    assert!(drive.until(25, |d| d.world.started.len() == 1));
    assert!(drive.world.started[0].1);
    assert!(drive.until(290, Drive::is_settled));
}

/// All nodes but one are replaced in the middle of a move. The evidence they had is gone; the new
/// ones read the row, give its share, and the move goes on and is settled.
#[test]
fn replaced_nodes_go_on() {
    let mut drive = Drive::new(|_| false);
    drive.start(400);
    drive.run(60);
    (1..NODES).for_each(|n| drive.world.restart(n));
    assert!(drive.until(10, |d| (0..NODES).all(|n| d.world.share(n) > 0)));
    assert!(drive.until(390, Drive::is_settled));
}

/// The table is down when an operator starts a move, and for a while after. He is told that it
/// doesn't answer; the start was never written, so the move doesn't begin later by itself.
#[test]
fn start_without_the_table() {
    let mut drive = Drive::new(|_| false);
    drive.world.table.down = true;
    drive.start(300);
    assert!(drive.until(25, |d| d.world.started.len() == 1));
    assert!(!drive.world.started[0].1);
    drive.world.table.down = false;
    drive.run(20);
    assert_eq!(drive.world.table.row(), None);
}

/// After a take-back the operator starts the same version again. The old verdict is about another
/// move, so the new one begins; a second start beside it is refused.
#[test]
fn second_try_is_another_move() {
    let mut drive = Drive::new(|_| false);
    drive.start(300);
    assert!(drive.until(10, |d| d.world.standing().is_some()));
    drive.run(2);
    drive.world.movers[5].undo(drive.world.now, ENTRY).expect("it is under way");
    assert!(drive.until(10, Drive::is_taken_back));
    drive.run(2);
    drive.start(300);
    let start = drive.world.wish("v3", Duration::from_secs(300), Weights::default(), false);
    let second = drive.world.movers[0].start(drive.world.now, &start);
    assert!(matches!(second, Err(MoveError::Other(_))), "{second:?}");
    assert!(drive.until(10, |d| d.world.standing() == Some(Standing::Moving(0))));
    assert!(drive.until(290, Drive::is_settled));
}
