//! Which tokens of a generation reach the caller, whatever its runners write.

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

/// What a runner does with the next token of its own attempt.
#[derive(Clone, Copy, Debug)]
enum Act {
    Write,
    Repeat(u32),
    Skip,
    /// A token of the attempt before, as a runner writes that was paused and woke.
    Old(u32),
    Huge,
    /// A finish that counts one token more than came, then nothing.
    Short,
    Die,
}

impl Arbitrary for Act {
    fn arbitrary(g: &mut Gen) -> Act {
        let back = u32::arbitrary(g) % LIMIT;
        match u8::arbitrary(g) % 16 {
            0 => Act::Repeat(back),
            1 => Act::Skip,
            2 => Act::Old(back),
            3 => Act::Huge,
            4 => Act::Short,
            5 => Act::Die,
            _ => Act::Write,
        }
    }
}

/// What the caller got, as a plain list of indexes.
#[derive(Default)]
struct Naive {
    got: Vec<u32>,
}

impl Naive {
    fn take(&mut self, current: u32, attempt: u32, token: &Token) -> TokenAction {
        let next = self.got.len() as u32;
        if attempt != current || self.got.contains(&token.index) {
            return TokenAction::Drop;
        }
        if token.index != next || next >= LIMIT || token.text.len() > MAX_TOKEN_BYTES {
            return TokenAction::Garbled;
        }
        self.got.push(token.index);
        TokenAction::Deliver
    }
}

fn seed() -> Digest {
    Digest::new("desk", "verify-llm", "a prompt", LIMIT)
}

/// Tokens that differ with the attempt, so that a token of another attempt shows in the text.
fn token(attempt: u32, index: u32) -> Token {
    Token { index, text: format_compact!(" {attempt}:{index}") }
}

fn written(act: Act, current: u32, next: u32) -> Option<(u32, Token)> {
    match act {
        Act::Write => Some((current, token(current, next))),
        Act::Repeat(back) => Some((current, token(current, back.min(next)))),
        Act::Skip => Some((current, token(current, next + 1))),
        Act::Old(index) => Some((current - 1, token(current - 1, index))),
        Act::Huge => {
            let text = CompactString::from("x".repeat(MAX_TOKEN_BYTES + 1));
            Some((current, Token { index: next, text }))
        }
        Act::Short | Act::Die => None,
    }
}

/// The caller sees each index once and in order. Runners write, repeat, skip, send old attempts and
/// over-long tokens, finish early or die; the machine and the naive list judge each token alike.
#[test]
fn every_token_once() {
    fn property(acts: Vec<Act>) -> bool {
        let mut generation = Generation::new(seed(), LIMIT, true);
        let mut naive = Naive::default();
        let mut current = generation.start_attempt(&"v1".into());
        for act in acts {
            let next = generation.next();
            let lost = match written(act, current, next) {
                None => {
                    let finish = Finish { tokens: next + 1, reason: FinishReason::Stop };
                    assert!(!generation.finish(&finish), "a token is missing");
                    true
                }
                Some((attempt, token)) => {
                    let take = generation.accept(attempt, &token);
                    assert_eq!(take, naive.take(current, attempt, &token), "{act:?}");
                    take == TokenAction::Garbled
                }
            };
            if lost {
                if generation.runner_lost().is_some() {
                    break;
                }
                current = generation.start_attempt(&"v1".into());
            }
        }
        naive.got == (0..generation.next()).collect::<Vec<_>>()
    }
    let property = property as fn(Vec<Act>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(120, SEED)).tests(CASES).quickcheck(property);
}

/// The caller resumes at another node after any event and gets the rest. The id carries the whole
/// position; a text with a piece missing, another request's or another account's is refused.
#[test]
fn resumes_after_any_event() {
    for cut in 1..LIMIT {
        let mut first = Generation::new(seed(), LIMIT, true);
        let attempt = first.start_attempt(&"v2.1".into());
        let mut text = String::new();
        for index in 0..cut {
            let token = token(attempt, index);
            assert_eq!(first.accept(attempt, &token), TokenAction::Deliver);
            text.push_str(&token.text);
        }
        let id: EventId = first.event_id(&"abc".into()).to_string().parse().unwrap();
        let mut second = Generation::resume(seed(), LIMIT, &id, &text).expect("it fits");
        assert_eq!((second.next(), second.pin().unwrap().as_str()), (cut, "v2.1"));
        let again = second.start_attempt(&"v2.1".into());
        assert!(again > attempt);
        assert_eq!(second.accept(attempt, &token(attempt, cut)), TokenAction::Drop);
        assert_eq!(second.accept(again, &token(again, cut)), TokenAction::Deliver);

        let missing = &text[..text.len() - 1];
        assert!(Generation::resume(seed(), LIMIT, &id, missing).is_none());
        for (account, prompt) in [("desk", "another prompt"), ("other", "a prompt")] {
            let other = Digest::new(account, "verify-llm", prompt, LIMIT);
            assert!(Generation::resume(other, LIMIT, &id, &text).is_none());
        }
    }
}

/// The caller gets the whole answer although the runner dies after the last token: the limit is
/// reached, so nothing but the finish was lost.
#[test]
fn death_after_the_last_token() {
    let mut generation = Generation::new(seed(), 2, true);
    let attempt = generation.start_attempt(&"v1".into());
    for index in 0..2 {
        generation.accept(attempt, &token(attempt, index));
    }
    assert_eq!(generation.runner_lost(), Some(FinishReason::Length));
    assert_eq!(generation.phase(), Phase::Complete);
}

/// The caller who has seen a token of one version never gets one of another: the generation ends as
/// partial. One who has seen none gets a whole new answer.
#[test]
fn versions_never_mix() {
    let mut seen = Generation::new(seed(), LIMIT, true);
    let attempt = seen.start_attempt(&"v1".into());
    seen.accept(attempt, &token(attempt, 0));
    assert_eq!(seen.runner_lost(), None);
    assert!(!seen.try_restart());
    assert_eq!(seen.give_up(), Phase::Partial);

    let mut unseen = Generation::new(seed(), LIMIT, false);
    let attempt = unseen.start_attempt(&"v1".into());
    unseen.accept(attempt, &token(attempt, 0));
    assert_eq!(unseen.runner_lost(), None);
    assert!(unseen.try_restart());
    assert_eq!((unseen.next(), unseen.pin()), (0, None));
    assert!(!unseen.try_restart(), "a second restart without a grant would go round for ever");
    assert_eq!(unseen.give_up(), Phase::Refused);
}

/// The caller's header is any bytes: an id is read back as it was, or refused, and never a panic.
#[test]
fn event_ids_from_anywhere() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck hands its cases over")]
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
