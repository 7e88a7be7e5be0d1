//! State machine of one generation: which tokens to deliver, and what to do when a runner is lost.
//!
//! The answer to a caller may be concatenated from the output of several runners. The state machine
//! examines every token and accepts each index once, in order, from the current attempt only.

pub mod event_id;

use {
    crate::{
        chart::Chart,
        id::{Attempt, Index},
    },
    bilberryfront_wire::{
        completion::FinishReason,
        runner::{Finish, Token},
    },
    compact_str::CompactString,
    event_id::{Digest, EventId},
    serde::Deserialize,
    std::sync::LazyLock,
};

/// Maximum size of one token's text in bytes. A longer token is treated as a protocol violation:
/// without the limit, the stream of a faulty runner could exhaust the node's memory.
pub const MAX_TOKEN_BYTES: usize = 4_096;
/// Maximum number of runners tried per generation, so that a prompt that crashes runners can't
/// crash all of them.
pub const MAX_ATTEMPTS: Attempt = 8;

static CHART: LazyLock<Chart<Phase, Signal>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../charts/generation.json"))
        .expect("charts/generation.json is valid")
});

/// State of a generation; see `charts/generation.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Waiting for a runner.
    Asking,
    /// A runner is sending tokens.
    Streaming,
    /// The complete answer was delivered.
    Complete,
    /// A part of the answer was delivered, and the rest can't be.
    Partial,
    /// Nothing was delivered, and nothing can be.
    Refused,
    /// The caller disconnected.
    Cancelled,
}

/// Input of the state chart of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// A runner was granted.
    Granted,
    /// The runner died, stalled or violated the protocol.
    Lost,
    /// The last token was delivered.
    Finished,
    /// No runner is available and nothing has been delivered.
    Refused,
    /// No runner is available and a part has been delivered.
    Cut,
    /// The caller disconnected.
    Left,
}

/// What to do with a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenAction {
    /// It is the expected token: deliver it.
    Deliver,
    /// It belongs to an older attempt or was already delivered: drop it.
    Drop,
    /// A previous token is missing, or the token exceeds the answer's limit or the maximum size:
    /// the runner's stream can't be trusted.
    Garbled,
}

/// A generation at the node that serves it.
#[derive(Clone, Debug)]
pub struct Generation {
    phase: Phase,
    attempt: Attempt,
    runners_tried: Attempt,
    next: Index,
    limit: Index,
    digest: Digest,
    seed: Digest,
    pin: Option<CompactString>,
    streamed: bool,
}

impl Generation {
    /// Creates a generation of at most `limit` tokens. `seed` is the digest of account and request;
    /// `streamed` means that tokens are sent to the caller before the answer is complete.
    pub fn new(seed: Digest, limit: Index, streamed: bool) -> Generation {
        Generation {
            phase: CHART.initial(),
            attempt: 0,
            runners_tried: 0,
            next: 0,
            limit,
            digest: seed.clone(),
            seed,
            pin: None,
            streamed,
        }
    }

    /// Resumes a generation after the event with this id, with the text that the caller received.
    /// Returns `None` if the id was not made for this text, request and account.
    pub fn resume(seed: Digest, limit: Index, id: &EventId, text: &str) -> Option<Generation> {
        let mut digest = seed.clone();
        digest.push(text);
        let is_valid = digest.value() == id.digest && id.next <= limit;
        is_valid.then(|| Generation {
            attempt: id.attempt,
            next: id.next,
            digest,
            pin: Some(id.version.clone()),
            ..Generation::new(seed, limit, true)
        })
    }

    /// Returns the state of the generation.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the index of the next expected token.
    pub fn next(&self) -> Index {
        self.next
    }

    /// Returns the only version that may continue the generation; `None` if any version may.
    pub fn pin(&self) -> Option<&CompactString> {
        self.pin.as_ref()
    }

    /// Returns the number of the current attempt; 0 before the first.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Starts an attempt at a runner of `version` and pins the generation to it, so that the answer
    /// never mixes tokens of two versions. Returns the number of the attempt.
    pub fn start_attempt(&mut self, version: &CompactString) -> Attempt {
        self.step(Signal::Granted);
        self.attempt += 1;
        self.runners_tried += 1;
        self.pin = Some(version.clone());
        self.attempt
    }

    /// Returns what to do with a token received for `attempt`.
    ///
    /// A runner resuming after a pause can continue to send tokens of an old attempt, even on a
    /// connection that has been reused. The caller would receive duplicate tokens or tokens of
    /// another generation. Attempt number and index uniquely identify each token of the answer, so
    /// dropping all others is sufficient.
    pub fn accept(&mut self, attempt: Attempt, token: &Token) -> TokenAction {
        if attempt != self.attempt || token.index < self.next {
            return TokenAction::Drop;
        }
        let is_valid = token.index == self.next && self.next < self.limit;
        if !is_valid || token.text.len() > MAX_TOKEN_BYTES {
            return TokenAction::Garbled;
        }
        self.next += 1;
        self.digest.push(&token.text);
        TokenAction::Deliver
    }

    /// Completes the generation if the runner's final token count matches the number of delivered
    /// tokens, and returns whether it does. A mismatch means that tokens at the end are missing,
    /// where no later index reveals the gap.
    pub fn finish(&mut self, finish: &Finish) -> bool {
        let is_complete = finish.tokens == self.next;
        if is_complete {
            self.step(Signal::Finished);
        }
        is_complete
    }

    /// Records the loss of the current runner. Returns the finish reason if the answer is already
    /// complete and only the runner's finish message was lost; otherwise another runner is needed.
    pub fn runner_lost(&mut self) -> Option<FinishReason> {
        self.step(Signal::Lost);
        if self.next < self.limit {
            return None;
        }
        self.step(Signal::Finished);
        Some(FinishReason::Length)
    }

    /// Returns whether another runner may be tried.
    pub fn may_retry(&self) -> bool {
        self.runners_tried < MAX_ATTEMPTS
    }

    /// Restarts the generation from the first token, with any version, if the caller has received
    /// no token. Returns whether it was restarted.
    pub fn try_restart(&mut self) -> bool {
        let unseen = !self.streamed || self.next == 0;
        if unseen && self.pin.is_some() {
            self.pin = None;
            self.next = 0;
            self.digest = self.seed.clone();
            return true;
        }
        false
    }

    /// Ends the generation for lack of a runner: as partial if the caller has received tokens, and
    /// else as refused.
    pub fn give_up(&mut self) -> Phase {
        let seen = self.streamed && self.next > 0;
        self.step(if seen { Signal::Cut } else { Signal::Refused });
        self.phase
    }

    /// Returns the id of the last delivered event, from which the caller can resume at any node.
    pub fn event_id(&self, request: &CompactString) -> EventId {
        EventId {
            request: request.clone(),
            attempt: self.attempt,
            next: self.next,
            digest: self.digest.value(),
            version: self.pin.clone().unwrap_or_default(),
        }
    }

    fn step(&mut self, signal: Signal) {
        let next = CHART.next(self.phase, signal);
        self.phase = next.unwrap_or_else(|| {
            panic!("signal {signal:?} is not allowed in phase {:?}", self.phase)
        });
    }
}
