//! Tests of which tokens of a generation reach the caller, for arbitrary output of its runners.

use {
    bilberryfront_decide::generation::{
        Generation, MAX_TOKEN_BYTES, Phase, TokenAction,
        event_id::{Digest, EventId, MAX_EVENT_ID_BYTES},
    },
    bilberryfront_wire::{
        completion::FinishReason,
        runner::{Finish, Token},
    },
    compact_str::{CompactString, format_compact},
    quickcheck::{Arbitrary, Gen, QuickCheck},
};

const LIMIT: u32 = 24;
const SEED: u64 = 0x00b1_1be2;
const CASES: u64 = 2_000;

/// An action of a runner at the next token of its attempt.
#[derive(Clone, Copy, Debug)]
enum RunnerAction {
    Write,
    Repeat(u32),
    Skip,
    /// A token of the previous attempt, as sent by a runner that resumes after a pause.
    Stale(u32),
    Oversized,
    /// A finish message that counts one token more than was sent.
    ShortFinish,
    Die,
}

impl Arbitrary for RunnerAction {
    fn arbitrary(g: &mut Gen) -> RunnerAction {
        let back = u32::arbitrary(g) % LIMIT;
        match u8::arbitrary(g) % 16 {
            0 => RunnerAction::Repeat(back),
            1 => RunnerAction::Skip,
            2 => RunnerAction::Stale(back),
            3 => RunnerAction::Oversized,
            4 => RunnerAction::ShortFinish,
            5 => RunnerAction::Die,
            _ => RunnerAction::Write,
        }
    }
}

/// Naive model: the list of token indexes delivered to the caller.
#[derive(Default)]
struct Model {
    delivered: Vec<u32>,
}

impl Model {
    fn accept(&mut self, current: u32, attempt: u32, token: &Token) -> TokenAction {
        let next = self.delivered.len() as u32;
        if attempt != current || self.delivered.contains(&token.index) {
            return TokenAction::Drop;
        }
        if token.index != next || next >= LIMIT || token.text.len() > MAX_TOKEN_BYTES {
            return TokenAction::Garbled;
        }
        self.delivered.push(token.index);
        TokenAction::Deliver
    }
}

fn request_digest() -> Digest {
    Digest::new("desk", "verify-llm", "a prompt", LIMIT)
}

/// Returns a token whose text contains its attempt, so that a token of another attempt is visible.
fn token(attempt: u32, index: u32) -> Token {
    Token { index, text: format_compact!(" {attempt}:{index}") }
}

fn output(action: RunnerAction, current: u32, next: u32) -> Option<(u32, Token)> {
    match action {
        RunnerAction::Write => Some((current, token(current, next))),
        RunnerAction::Repeat(back) => Some((current, token(current, back.min(next)))),
        RunnerAction::Skip => Some((current, token(current, next + 1))),
        RunnerAction::Stale(index) => Some((current - 1, token(current - 1, index))),
        RunnerAction::Oversized => {
            let text = CompactString::from("x".repeat(MAX_TOKEN_BYTES + 1));
            Some((current, Token { index: next, text }))
        }
        RunnerAction::ShortFinish | RunnerAction::Die => None,
    }
}

/// Guards against missing, repeated and reordered tokens. Runners send, repeat and skip tokens,
/// send tokens of old attempts and oversized ones, finish early or die. The state machine and the
/// naive model must agree on each token.
#[test]
fn each_token_is_delivered_once() {
    fn property(actions: Vec<RunnerAction>) -> bool {
        let mut generation = Generation::new(request_digest(), LIMIT, true);
        let mut model = Model::default();
        let mut current = generation.start_attempt(&"v1".into());
        for action in actions {
            let next = generation.next();
            let lost = match output(action, current, next) {
                None => {
                    let finish = Finish { tokens: next + 1, reason: FinishReason::Stop };
                    assert!(!generation.finish(&finish), "a token is missing");
                    true
                }
                Some((attempt, token)) => {
                    let token_action = generation.accept(attempt, &token);
                    assert_eq!(token_action, model.accept(current, attempt, &token), "{action:?}");
                    token_action == TokenAction::Garbled
                }
            };
            if lost {
                if generation.runner_lost().is_some() {
                    break;
                }
                current = generation.start_attempt(&"v1".into());
            }
        }
        model.delivered == (0..generation.next()).collect::<Vec<_>>()
    }
    let property = property as fn(Vec<RunnerAction>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(120, SEED)).tests(CASES).quickcheck(property);
}

/// Guards against a resumption at the wrong position. The event id contains the complete position,
/// so that another node can resume after any event. An incomplete text, another request or another
/// account must be rejected.
#[test]
fn a_generation_resumes_after_any_event() {
    for cut in 1..LIMIT {
        let mut first = Generation::new(request_digest(), LIMIT, true);
        let attempt = first.start_attempt(&"v2.1".into());
        let mut text = String::new();
        for index in 0..cut {
            let token = token(attempt, index);
            assert_eq!(first.accept(attempt, &token), TokenAction::Deliver);
            text.push_str(&token.text);
        }
        let id: EventId = first.event_id(&"abc".into()).to_string().parse().unwrap();
        let mut second = Generation::resume(request_digest(), LIMIT, &id, &text).expect("it fits");
        assert_eq!((second.next(), second.pin().unwrap().as_str()), (cut, "v2.1"));
        let again = second.start_attempt(&"v2.1".into());
        assert!(again > attempt);
        assert_eq!(second.accept(attempt, &token(attempt, cut)), TokenAction::Drop);
        assert_eq!(second.accept(again, &token(again, cut)), TokenAction::Deliver);

        let missing = &text[..text.len() - 1];
        assert!(Generation::resume(request_digest(), LIMIT, &id, missing).is_none());
        for (account, prompt) in [("desk", "another prompt"), ("other", "a prompt")] {
            let other = Digest::new(account, "verify-llm", prompt, LIMIT);
            assert!(Generation::resume(other, LIMIT, &id, &text).is_none());
        }
    }
}

/// Guards against a failed answer if the runner dies after the last token. The limit is reached, so
/// only the finish message was lost.
#[test]
fn an_answer_is_complete_if_its_runner_dies_after_the_last_token() {
    let mut generation = Generation::new(request_digest(), 2, true);
    let attempt = generation.start_attempt(&"v1".into());
    for index in 0..2 {
        generation.accept(attempt, &token(attempt, index));
    }
    assert_eq!(generation.runner_lost(), Some(FinishReason::Length));
    assert_eq!(generation.phase(), Phase::Complete);
}

/// Guards against an answer with tokens of two versions. If the caller has received a token, the
/// generation must end as partial; if it has received none, it must restart with any version.
#[test]
fn an_answer_never_mixes_versions() {
    let mut seen = Generation::new(request_digest(), LIMIT, true);
    let attempt = seen.start_attempt(&"v1".into());
    seen.accept(attempt, &token(attempt, 0));
    assert_eq!(seen.runner_lost(), None);
    assert!(!seen.try_restart());
    assert_eq!(seen.give_up(), Phase::Partial);

    let mut unseen = Generation::new(request_digest(), LIMIT, false);
    let attempt = unseen.start_attempt(&"v1".into());
    unseen.accept(attempt, &token(attempt, 0));
    assert_eq!(unseen.runner_lost(), None);
    assert!(unseen.try_restart());
    assert_eq!((unseen.next(), unseen.pin()), (0, None));
    assert!(!unseen.try_restart(), "a second restart without a grant would cause an endless loop");
    assert_eq!(unseen.give_up(), Phase::Refused);
}

/// Guards against a panic on a malformed header of a caller. Any text must either round-trip as an
/// id or be rejected.
#[test]
fn event_ids_round_trip_or_are_rejected() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes its cases by value")]
    fn property(text: String) -> bool {
        match text.parse::<EventId>() {
            Ok(id) => id.to_string().parse() == Ok(id),
            Err(_) => true,
        }
    }
    let property = property as fn(String) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(64, SEED)).tests(CASES).quickcheck(property);
    let huge = format!("a.1.1.0000000000000000.{}", "v".repeat(MAX_EVENT_ID_BYTES));
    assert!(huge.parse::<EventId>().is_err());
    for bad in ["", "....", "a.1.1.0", "a.-1.1.0.v", "a.1.99999999999.0.v", "a.1.1.xyz.v"] {
        assert!(bad.parse::<EventId>().is_err(), "{bad}");
    }
}
