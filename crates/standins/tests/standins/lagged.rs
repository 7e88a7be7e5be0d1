//! Values that readers see with a delay.

use {
    bilberryfront_standins::lagged::{Clock, Lagged},
    std::time::Duration,
    tokio::time::Instant,
};

/// Returns a clock at `now` seconds after `start`, of which readers see `visible` seconds.
fn clock(start: Instant, now: u64, visible: u64) -> Clock {
    let at = |seconds| start + Duration::from_secs(seconds);
    Clock { now: at(now), visible: at(visible) }
}

#[test]
fn delays_each_state_by_the_lag() {
    let start = Instant::now();
    let mut lagged = Lagged::new(Duration::from_secs(5), start, "first");
    lagged.set(clock(start, 1, 1), "second");
    lagged.set(clock(start, 3, 3), "third");
    assert_eq!(*lagged.newest(), "third");
    assert_eq!(*lagged.visible(clock(start, 5, 5)), "first");
    assert_eq!(*lagged.visible(clock(start, 6, 6)), "second");
    assert_eq!(*lagged.visible(clock(start, 7, 7)), "second");
    assert_eq!(*lagged.visible(clock(start, 8, 8)), "third");
}

/// A reader sees the first state until the clock is released, whatever was set meanwhile, and then
/// the newest visible one without those in between.
#[test]
fn stops_while_frozen() {
    let start = Instant::now();
    let mut lagged = Lagged::new(Duration::from_secs(5), start, "first");
    lagged.set(clock(start, 1, 0), "second");
    lagged.set(clock(start, 30, 0), "third");
    assert_eq!(*lagged.visible(clock(start, 40, 0)), "first");
    assert_eq!(*lagged.visible(clock(start, 40, 40)), "third");
}
