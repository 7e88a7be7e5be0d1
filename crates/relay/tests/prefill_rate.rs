//! Detection of prompts that cannot be prefilled before the deadline.

use {bilberryfront_relay::flow::prefill_rate::PrefillRate, std::time::Duration};

const SECOND: Duration = Duration::from_secs(1);

/// Load: callers resume their streams late after a power failure. Guards against prefilling prompts
/// for callers that disconnect before the first event.
#[test]
fn prompt_that_cannot_be_prefilled_in_time_is_detected() {
    let mut rate = PrefillRate::default();
    rate.observe(5_000, SECOND);
    rate.observe(5_000, SECOND * 9);
    assert!(rate.exceeds(5_000, SECOND * 9 / 10));
    assert!(!rate.exceeds(5_000, SECOND * 11 / 10), "one slow engine does not rule out the prompt");
    assert!(!rate.exceeds(0, Duration::from_millis(5)), "the prompt is cached");
}

/// Guards against rejections by a node without any observation.
#[test]
fn no_prompt_is_rejected_before_the_first_observation() {
    assert!(!PrefillRate::default().exceeds(5_000, Duration::ZERO));
}
