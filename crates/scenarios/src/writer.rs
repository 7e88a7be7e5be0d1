//! Output of an engine: tokens that reveal any mixture, gap or repetition, and injected faults.

use {
    crate::{language::RunnerAction, runner::Runner},
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

/// Length of a token, in bytes.
pub(crate) const TOKEN_BYTES: usize = 9;

/// Returns the token that follows `text`. It depends on the whole text before it, so that any mixture,
/// gap or repetition changes every token after it.
pub(crate) fn token_text(version: &str, prompt: &str, salt: u64, text: &str) -> CompactString {
    let of = |part: &str, seed| xxh64(part.as_bytes(), seed);
    let hash = of(text, of(prompt, of(version, salt)));
    format_compact!("{:08x} ", hash as u32)
}

/// Writer of one running generation.
pub(crate) struct GenerationWriter {
    pub(crate) runner: Runner,
    pub(crate) generate: Generate,
    pub(crate) salt: u64,
    pub(crate) sender: mpsc::UnboundedSender<Result<RunnerEvent>>,
}

impl GenerationWriter {
    pub(crate) async fn write(self) {
        self.runner.record_stream_start(&self.sender);
        self.write_tokens().await;
        self.runner.record_stream_end(&self.sender);
    }

    async fn write_tokens(&self) {
        let Generate { index, prefix, max_tokens, .. } = &self.generate;
        let (mut at, mut text) = (*index, prefix.clone());
        let end = self.runner.tokens.min(*max_tokens);
        while !self.sender.is_closed() {
            let first = at == *index;
            sleep(if first { self.runner.first_token_delay() } else { self.runner.pace() }).await;
            let token = self.next_token(&text);
            match self.take_action(at) {
                Some(RunnerAction::DieAt(_)) => return self.runner.die(),
                Some(RunnerAction::CutAt(_)) => {
                    return self.send(Err(Failure::Lost(Verdict::Broken)));
                }
                Some(RunnerAction::StallAt(_)) => std::future::pending().await,
                Some(RunnerAction::EndAt(_)) => return self.send(Ok(RunnerEvent::Done)),
                Some(RunnerAction::FinishAt(_)) => return self.send_finish(end),
                Some(RunnerAction::SkipAt(_)) => {
                    text.push_str(&token);
                    at += 1;
                    continue;
                }
                Some(RunnerAction::RepeatAt(_)) if at > *index => {
                    let last = text[text.len() - TOKEN_BYTES..].into();
                    self.send_token(self.generate.attempt, at - 1, last);
                }
                _ => {}
            }
            if at > end {
                return self.send(Ok(RunnerEvent::Done));
            }
            if at == end {
                self.send_finish(end);
                at += 1;
                continue;
            }
            if self.runner.writes_foreign_tokens() {
                self.send_token(self.generate.attempt - 1, at, "another0 ".into());
            }
            self.send_token(self.generate.attempt, at, token.clone());
            text.push_str(&token);
            at += 1;
        }
    }

    fn next_token(&self, text: &str) -> CompactString {
        token_text(&self.generate.version, &self.generate.prompt, self.salt, text)
    }

    fn take_action(&self, at: u32) -> Option<RunnerAction> {
        use RunnerAction::{CutAt, DieAt, EndAt, FinishAt, RepeatAt, SkipAt, StallAt};
        self.runner.take_action(|act| match act {
            DieAt(n) | CutAt(n) | StallAt(n) | SkipAt(n) | RepeatAt(n) | EndAt(n) | FinishAt(n) => {
                n == at
            }
            _ => false,
        })
    }

    fn send_token(&self, attempt: u32, index: u32, text: CompactString) {
        self.send(Ok(RunnerEvent::Token(attempt, Token { index, text })));
    }

    fn send_finish(&self, tokens: u32) {
        let reason = match tokens == self.generate.max_tokens {
            true => FinishReason::Length,
            false => FinishReason::Stop,
        };
        self.send(Ok(RunnerEvent::Finish(Finish { tokens, reason })));
    }

    fn send(&self, event: Result<RunnerEvent>) {
        // The receiver is closed if the node has stopped.
        _ = self.sender.send(event);
    }
}
