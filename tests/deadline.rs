//! Deadlines in the form that operators write.

use {
    bilberryfront::operator::deadline::Deadline,
    jiff::{SignedDuration, Timestamp},
};

#[test]
fn times_and_durations_are_distinguished() {
    let now = Timestamp::from_second(1_000).unwrap();
    let seconds = |text: &str| {
        let deadline: Deadline = text.parse().unwrap();
        deadline.from(now).unwrap().as_second()
    };
    assert_eq!(seconds("30m"), 1_000 + 1_800);
    assert_eq!(seconds("1h 30m"), 1_000 + 5_400);
    assert_eq!(seconds("PT45S"), 1_045);
    assert_eq!(seconds("1970-01-01T01:00:00Z"), 3_600);
    assert_eq!(seconds("1970-01-01T01:00:00+01:00"), 0);
}

#[test]
fn deadlines_survive_a_round_trip() {
    let time = Deadline::At(Timestamp::from_second(1_800_000_000).unwrap());
    let span = Deadline::In(SignedDuration::from_millis(90_500));
    for deadline in [time, span] {
        let text = serde_json::to_string(&deadline).unwrap();
        assert_eq!(serde_json::from_str::<Deadline>(&text).unwrap(), deadline, "{text}");
    }
}

#[test]
fn invalid_texts_are_rejected_with_an_example() {
    for text in ["", "tomorrow", "30", "2026-12-03", "1 month"] {
        let error = text.parse::<Deadline>().unwrap_err().to_string();
        assert!(error.contains("1h 30m"), "{text}: {error}");
    }
}
