//! The time at which a draining node stops accepting connections.

use {
    bilberryfront_relay::drain::{Closing, Drain},
    std::time::Duration,
    tokio::time::Instant,
};

const GRACE: Duration = Duration::from_secs(8);
const TTL: Duration = Duration::from_secs(1);

/// Returns the time in milliseconds from the start of the drain until the node closes its listener.
/// `is_listed` and `is_idle` are the node's state at a time in milliseconds.
fn closing_time(is_listed: impl Fn(u64) -> bool, is_idle: impl Fn(u64) -> bool) -> u64 {
    let start = Instant::now();
    let mut closing = Closing::new(&Drain::new(GRACE), start, TTL);
    let is_due =
        |ms: &u64| closing.is_due(start + Duration::from_millis(*ms), is_listed(*ms), is_idle(*ms));
    (0..8_000).step_by(50).find(is_due).expect("a node closes before it is killed")
}

/// Guards against callers with an older address response who find a closed listener.
#[test]
fn idle_node_closes_once_address_responses_have_expired() {
    assert_eq!(closing_time(|_| false, |_| true), 3_000);
}

/// Guards against refused connections while a node that accepts none stays until its streams end.
#[test]
fn node_with_streams_accepts_until_they_end() {
    assert_eq!(closing_time(|_| false, |ms| ms >= 5_500), 5_500);
}

/// Guards against callers without any instance while all of them stop at the same time.
#[test]
fn idle_node_accepts_while_it_is_listed() {
    assert_eq!(closing_time(|ms| ms < 4_000, |_| true), 4_850);
    assert_eq!(closing_time(|ms| ms < 1_000, |_| true), 3_000);
}

/// Guards against connections that are cut when the process is killed.
#[test]
fn node_closes_before_it_is_killed() {
    assert_eq!(closing_time(|_| true, |_| false), 6_700);
}

/// Guards against callers with an address response that lists a draining node which has closed. Another
/// node removes it up to a second after its listing time, and callers use the response for three times
/// its time to live.
#[test]
fn draining_node_accepts_until_it_is_unlisted_everywhere() {
    let listing = Drain::listing_time(GRACE).as_millis() as u64;
    assert!(listing > 4_000, "{listing} ms");
    assert!(closing_time(|_| true, |_| false) >= listing + 1_000 + 3 * 300);
    assert_eq!(Drain::listing_time(Duration::from_millis(500)), Duration::ZERO);
}
