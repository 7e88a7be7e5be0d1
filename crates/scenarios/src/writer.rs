//! What an engine writes: tokens that show any mixture, gap or repetition, and its faults.

use {
    crate::{language::RunnerAct, runner::Runner},
    bilberryfront::traffic::upstream::{Failure, Result, RunnerEvent},
    bilberryfront_decide::event::Verdict,
    bilberryfront_wire::{
        completion::FinishReason,
        runner::{Finish, Generate, Token},
    },
    compact_str::{CompactString, format_compact},
    tokio::{sync::mpsc, time::sleep},
    xxhash_rust::xxh64::xxh64,
};

/// Bytes of a token.
pub(crate) const TOKEN: usize = 9;

/// The token that follows `text`. It depends on all that went before, so that any mixture, gap or
/// repetition changes what must follow.
pub(crate) fn token(version: &str, prompt: &str, salt: u64, text: &str) -> CompactString {
    let of = |part: &str, seed| xxh64(part.as_bytes(), seed);
    let hash = of(text, of(prompt, of(version, salt)));
    format_compact!("{:08x} ", hash as u32)
}

/// One generation under way.
pub(crate) struct Writer {
    pub(crate) runner: Runner,
    pub(crate) generate: Generate,
    pub(crate) salt: u64,
    pub(crate) sender: mpsc::UnboundedSender<Result<RunnerEvent>>,
}

impl Writer {
    pub(crate) async fn write(self) {
        self.runner.begun(&self.sender);
        self.tokens().await;
        self.runner.ended(&self.sender);
    }

    async fn tokens(&self) {
        let Generate { index, prefix, max_tokens, .. } = &self.generate;
        let (mut at, mut text) = (*index, prefix.clone());
        let end = self.runner.tokens.min(*max_tokens);
        while !self.sender.is_closed() {
            let first = at == *index;
            sleep(if first { self.runner.first() } else { self.runner.pace() }).await;
            let token = self.next(&text);
            match self.act(at) {
                Some(RunnerAct::DieAt(_)) => return self.runner.die(),
                Some(RunnerAct::CutAt(_)) => {
                    return self.say(Err(Failure::Lost(Verdict::Broken)));
                }
                Some(RunnerAct::StallAt(_)) => std::future::pending().await,
                Some(RunnerAct::EndAt(_)) => return self.say(Ok(RunnerEvent::Done)),
                Some(RunnerAct::FinishAt(_)) => return self.finish(end),
                Some(RunnerAct::SkipAt(_)) => {
                    text.push_str(&token);
                    at += 1;
                    continue;
                }
                Some(RunnerAct::RepeatAt(_)) if at > *index => {
                    let last = text[text.len() - TOKEN..].into();
                    self.token(self.generate.attempt, at - 1, last);
                }
                _ => {}
            }
            if at > end {
                return self.say(Ok(RunnerEvent::Done));
            }
            if at == end {
                self.finish(end);
                at += 1;
                continue;
            }
            if self.runner.crosses() {
                self.token(self.generate.attempt - 1, at, "another0 ".into());
            }
            self.token(self.generate.attempt, at, token.clone());
            text.push_str(&token);
            at += 1;
        }
    }

    fn next(&self, text: &str) -> CompactString {
        token(&self.generate.version, &self.generate.prompt, self.salt, text)
    }

    fn act(&self, at: u32) -> Option<RunnerAct> {
        use RunnerAct::{CutAt, DieAt, EndAt, FinishAt, RepeatAt, SkipAt, StallAt};
        self.runner.take(|act| match act {
            DieAt(n) | CutAt(n) | StallAt(n) | SkipAt(n) | RepeatAt(n) | EndAt(n) | FinishAt(n) => {
                n == at
            }
            _ => false,
        })
    }

    fn token(&self, attempt: u32, index: u32, text: CompactString) {
        self.say(Ok(RunnerEvent::Token(attempt, Token { index, text })));
    }

    fn finish(&self, tokens: u32) {
        let reason = match tokens == self.generate.max_tokens {
            true => FinishReason::Length,
            false => FinishReason::Stop,
        };
        self.say(Ok(RunnerEvent::Finish(Finish { tokens, reason })));
    }

    fn say(&self, said: Result<RunnerEvent>) {
        // The node may have gone.
        _ = self.sender.send(said);
    }
}
