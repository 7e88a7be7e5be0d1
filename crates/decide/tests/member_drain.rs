//! Draining of the local node.

use {
    bilberryfront_decide::member::{Drain, DrainState},
    std::time::Duration,
    tokio::time::Instant,
};

const TTL: Duration = Duration::from_secs(10);

/// A node drains while callers hold address responses that contain it, and a stream runs for an
/// hour. It must be removed from new responses immediately, serve until the last earlier response
/// has expired, and exit only after the end of the stream.
#[test]
fn a_draining_node_serves_until_its_address_responses_have_expired() {
    let start = Instant::now();
    let mut drain = Drain::new(TTL);
    assert!(drain.accepts(start) && drain.listed());
    drain.leave(start);
    assert!(!drain.listed());
    assert!(drain.accepts(start + TTL - Duration::from_millis(1)));
    assert!(!drain.finished(start + TTL / 2, 0));
    assert!(!drain.accepts(start + TTL));
    assert!(!drain.finished(start + Duration::from_secs(3_600), 1));
    assert_eq!(drain.state(), DrainState::Refusing);
    assert!(drain.finished(start + Duration::from_secs(3_601), 0));
    assert!(!drain.accepts(start + Duration::from_secs(3_601)));
}

#[test]
fn draining_twice_does_not_extend_the_time() {
    let start = Instant::now();
    let mut drain = Drain::new(TTL);
    drain.leave(start);
    drain.leave(start + TTL / 2);
    assert!(!drain.accepts(start + TTL));
}

#[test]
fn a_node_that_is_not_draining_never_finishes() {
    let start = Instant::now();
    let mut drain = Drain::new(TTL);
    assert!(!drain.finished(start + TTL * 100, 0));
    assert_eq!(drain.state(), DrainState::Serving);
}
