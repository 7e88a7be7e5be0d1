//! Human-readable output of differences and moves.

use {
    bilberryfront::{
        catalogue::diff::Difference,
        operator::message::{MoveReport, MoveState, MoveVerdict},
        output::{Output, human::Human},
    },
    bilberryfront_decide::mover::{Cause, Next, RouteStatus, Share, Side, Waiting, Weights},
    jiff::Timestamp,
    std::slice,
};

fn difference(part: &str, field: &str, before: &str, after: &str) -> Difference {
    let value = |text: &str| (!text.is_empty()).then(|| text.to_owned());
    Difference {
        part: part.into(),
        field: field.into(),
        before: value(before),
        after: value(after),
    }
}

fn words(text: &str) -> Vec<String> {
    let rows = text.lines().filter(|l| !l.starts_with(['─', '═']));
    rows.map(|l| l.split_whitespace().collect::<Vec<_>>().join(" ")).collect()
}

#[test]
fn a_part_that_is_added_or_removed_has_one_row() {
    let differences = [
        difference("account desk", "keys", "", "[]"),
        difference("account desk", "name", "", "desk"),
        difference("account subs", "keys", "[]", ""),
        difference("account subs", "name", "subs", ""),
        difference("entry app", "accounts.desk.concurrent", "", "5"),
    ];
    assert_eq!(
        words(&Human.differences(3, &differences)),
        [
            "part field in force file",
            "account desk all - new",
            "account subs all in force -",
            "entry app accounts.desk.concurrent - 5",
            "5 differences from revision 3",
        ]
    );
}

#[test]
fn long_values_are_shortened_and_one_difference_is_singular() {
    let change = difference("account desk", "keys", &"a".repeat(64), &"b".repeat(40));
    let shown = words(&Human.differences(3, slice::from_ref(&change)));
    assert_eq!(shown[1], format!("account desk keys {}… {}", "a".repeat(40), "b".repeat(40)));
    assert_eq!(shown[2], "1 difference from revision 3");
}

fn move_report() -> MoveReport {
    let old = Side { ended: 180, failed: 0, late: 2, slow: 1 };
    let new = Side { ended: 20, failed: 1, late: 0, slow: 0 };
    let route = RouteStatus { route: "batch/long".into(), old, new, accounts: 3 };
    MoveReport {
        id: "00000000000000ab".into(),
        entry: "verify-llm".into(),
        from: "v1".into(),
        to: "v2".into(),
        started: Timestamp::UNIX_EPOCH,
        by: Timestamp::from_second(3_600).unwrap(),
        left: 3_540_000,
        force: false,
        weights: Weights::default(),
        state: MoveState::Moving,
        step: Some(1),
        steps: 4,
        verdict: None,
        share: Share(1_000),
        here: Share(250),
        holder: Some("tg-1".into()),
        waiting: Waiting::Evidence { route: "batch/long".into(), have: 20, need: 24 },
        next: Next::Raise { step: 1, share: Share(2_000) },
        routes: vec![route],
    }
}

#[test]
fn a_move_shows_what_it_waits_for_and_the_next_step() {
    assert_eq!(
        words(&Human.move_of(&move_report())),
        [
            "move 00000000000000ab of verify-llm from v1 to v2",
            "state moving, step 1 of 4",
            "share 10 % allowed, 2.5 % at the node that was asked",
            "waits for ended requests of the new version on batch/long: 20 of 24",
            "next step 2, which raises the share to 20 %",
            "time left 59m, until 1970-01-01 01:00:00Z",
            "stepped by tg-1",
            "route version ended failed late first token slow tokens accounts",
            "batch/long v1 180 0 2 1",
            "v2 20 1 0 0 3",
        ]
    );
}

#[test]
fn a_move_taken_back_shows_the_cause() {
    let verdict =
        MoveVerdict { cause: Cause::Failing, route: "batch/long".into(), node: "tg-2".into() };
    let report = MoveReport {
        state: MoveState::TakenBack,
        step: None,
        verdict: Some(verdict),
        waiting: Waiting::Nothing,
        next: Next::Nothing,
        ..move_report()
    };
    let shown = words(&Human.move_of(&report));
    assert_eq!(
        shown[1..3],
        [
            "state taken back",
            "because the new version fails more often, on route batch/long; decided by tg-2",
        ]
    );
    assert_eq!(
        words(&Human.moves(&[report])),
        [
            "entry from to state share here left waits for",
            "verify-llm v1 v2 taken back 10 % 2.5 % - nothing",
        ]
    );
}
