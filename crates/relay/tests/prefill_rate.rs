//! Rejection of prompts that cannot be prefilled before the deadline.

use {bilberryfront_relay::flow::prefill_rate::PrefillRate, std::time::Duration};

const SECOND: Duration = Duration::from_secs(1);

/// Load: callers resume their streams late after a loss of power. Guards against prefilling prompts for
/// callers that leave before the first event.
#[test]
fn a_prompt_that_cannot_be_read_in_time_is_not_begun() {
    let mut pace = PrefillRate::default();
    pace.observe(5_000, SECOND);
    pace.observe(5_000, SECOND * 9);
    assert!(pace.exceeds(5_000, SECOND * 9 / 10));
    assert!(!pace.exceeds(5_000, SECOND * 11 / 10), "one slow engine makes no prompt hopeless");
    assert!(!pace.exceeds(0, Duration::from_millis(5)), "a runner has it");
}

/// Guards against rejections by a node that has no observation yet.
#[test]
fn nothing_is_hopeless_before_a_prompt_was_read() {
    assert!(!PrefillRate::default().exceeds(5_000, Duration::ZERO));
}
