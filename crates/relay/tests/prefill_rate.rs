//! What can't be read in time is refused at once.

use {bilberryfront_relay::flow::prefill_rate::PrefillRate, std::time::Duration};

const SECOND: Duration = Duration::from_secs(1);

/// Load: all instances lost power, and callers whose connections hung come back with their streams after
/// eighteen seconds, some within the last second before their patience ends. A prompt that can't be read by
/// then at the best speed that was ever seen isn't begun, and doesn't hold up those that can.
#[test]
fn a_prompt_that_cannot_be_read_in_time_is_not_begun() {
    let mut pace = PrefillRate::default();
    pace.observe(5_000, SECOND);
    pace.observe(5_000, SECOND * 9);
    assert!(pace.exceeds(5_000, SECOND * 9 / 10));
    assert!(!pace.exceeds(5_000, SECOND * 11 / 10), "one slow engine makes no prompt hopeless");
    assert!(!pace.exceeds(0, Duration::from_millis(5)), "a runner has it");
}

/// A node that has just started knows no speed: it tries whatever comes.
#[test]
fn nothing_is_hopeless_before_a_prompt_was_read() {
    assert!(!PrefillRate::default().exceeds(5_000, Duration::ZERO));
}
