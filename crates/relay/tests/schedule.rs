//! Updates of the state that is derived from all nodes.

use {bilberryfront_relay::control::schedule::Schedule, std::time::Duration, tokio::time::Instant};

const TICK: Duration = Duration::from_millis(50);

/// Returns the number of updates in ten seconds.
fn updates(nodes: usize, changes_on: impl Fn(usize) -> bool) -> usize {
    let (start, mut schedule) = (Instant::now(), Schedule::default());
    let is_update = |tick: usize| {
        let now = start + TICK * tick as u32;
        if changes_on(tick) {
            schedule.mark_changed();
        }
        let is_due = schedule.is_due(now, nodes);
        if is_due {
            schedule.mark_updated(now);
        }
        is_due
    };
    (0..200).map(is_update).filter(|updated| *updated).count()
}

/// Load: nodes change continuously. Guards against a node that derives its state from all nodes at each
/// tick, which takes the whole processor share of a small instance in a large system.
#[test]
fn work_for_changed_nodes_does_not_grow_with_the_system() {
    for nodes in [100, 1_000, 2_000] {
        let work = updates(nodes, |_| true) * nodes;
        assert!(work <= 22_000, "{work} nodes are visited at {nodes} nodes");
    }
    assert_eq!(updates(6, |_| true), 200, "a small system is updated at each tick");
}

/// Guards against updates at each tick while nothing changes.
#[test]
fn unchanged_nodes_cause_few_updates() {
    for nodes in [6, 1_000] {
        assert!(updates(nodes, |_| false) <= 11);
    }
}

/// Guards against a stopping node that is in the address responses until the next update.
#[test]
fn urgent_change_is_not_delayed() {
    let (now, mut schedule) = (Instant::now(), Schedule::default());
    schedule.mark_updated(now);
    schedule.mark_changed();
    assert!(!schedule.is_due(now + TICK, 1_000));
    schedule.mark_urgent();
    assert!(schedule.is_due(now + TICK, 1_000));
}
