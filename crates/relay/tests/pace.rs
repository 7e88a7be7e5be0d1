//! What can't be finished in time is refused at once.

use {bilberryfront_relay::flow::pace::Pace, std::time::Duration};

const SECOND: Duration = Duration::from_secs(1);

/// Prompts of 5,000 tokens in a second, streams of 100 events in four.
fn seen() -> Pace {
    let mut pace = Pace::default();
    pace.has_read(5_000, SECOND);
    pace.has_read(5_000, SECOND * 3);
    pace.has_ended(100, SECOND * 4);
    pace
}

/// Load: all instances lost power, and callers whose connections hung come back with their streams after
/// eighteen seconds, seven or less before their patience ends. Six in seven of those streams used to be
/// cut by the callers before their end, and their prompts were read for nothing. What needs more than
/// the time left at the best speed that was ever seen isn't begun; what may be finished is.
#[test]
fn a_stream_that_cannot_be_finished_is_not_begun() {
    let pace = seen();
    assert!(pace.is_hopeless(5_000, 10, SECOND), "its prompt alone takes a second");
    assert!(pace.is_hopeless(5_000, 10, SECOND * 2), "and then half of 90 events 1.8 s");
    assert!(!pace.is_hopeless(5_000, 10, SECOND * 3));
    assert!(!pace.is_hopeless(5_000, 90, SECOND * 3 / 2), "few events are left");
    assert!(!pace.is_hopeless(0, 90, SECOND / 2), "a runner has its prompt");
    assert!(!pace.is_hopeless(5_000, 400, SECOND * 3 / 2), "it is longer than usual");
}

/// A node that has just started knows no speed: it tries whatever comes.
#[test]
fn nothing_is_hopeless_before_a_stream_was_seen() {
    let mut pace = Pace::default();
    assert!(!pace.is_hopeless(5_000, 10, Duration::ZERO));
    pace.has_read(5_000, SECOND);
    assert!(!pace.is_hopeless(5_000, 10, Duration::ZERO));
}

/// One slow engine, or one that answered from its cache, doesn't make a usual stream hopeless.
#[test]
fn the_best_speed_counts() {
    let mut pace = seen();
    pace.has_read(5_000, SECOND * 9);
    pace.has_ended(100, SECOND * 40);
    assert!(!pace.is_hopeless(5_000, 10, SECOND * 3));
}
