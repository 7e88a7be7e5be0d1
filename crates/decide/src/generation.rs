//! One generation: which tokens count, and what to do when a runner is lost.
//!
//! The answer to a caller is the concatenation of what several runners wrote. This machine sees every
//! token and lets each index through once, in order, from the current attempt only.

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

/// Most bytes of one token's text. A longer one is a broken runner: without the bound its stream
/// could fill the node's memory.
pub const MAX_TOKEN_BYTES: usize = 4_096;
/// Most runners tried for one generation, so that a prompt that kills runners can't go through all.
pub const MAX_ATTEMPTS: Attempt = 8;

static CHART: LazyLock<Chart<Phase, Signal>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../charts/generation.json")).expect("checked by a test")
});

/// Where a generation is in its life; see `charts/generation.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Wants a runner.
    Asking,
    /// A runner writes.
    Streaming,
    /// The whole answer was delivered.
    Complete,
    /// Part of it was delivered and no more will come.
    Partial,
    /// Nothing was delivered and nothing will come.
    Refused,
    /// The caller left.
    Cancelled,
}

/// What moves a generation along its chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// A runner was found.
    Granted,
    /// The runner died, stalled or broke the rules.
    Lost,
    /// The last token was delivered.
    Finished,
    /// No runner, and nothing delivered so far.
    Refused,
    /// No runner, and something delivered.
    Cut,
    /// The caller left.
    Left,
}

/// What to do with a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenAction {
    /// It is the next one: deliver it.
    Deliver,
    /// Of an older attempt, or delivered before: drop it.
    Drop,
    /// One before it is missing, or it is over-long: the runner can't be believed any more.
    Garbled,
}

/// A generation as seen by the node that serves it.
#[derive(Clone, Debug)]
pub struct Generation {
    phase: Phase,
    attempt: Attempt,
    tried: Attempt,
    next: Index,
    limit: Index,
    digest: Digest,
    seed: Digest,
    pin: Option<CompactString>,
    streamed: bool,
}

impl Generation {
    /// A new generation of at most `limit` tokens. `seed` is the digest of whose request it is and
    /// what it asks; `streamed` says that tokens reach the caller before the end.
    pub fn new(seed: Digest, limit: Index, streamed: bool) -> Generation {
        Generation {
            phase: CHART.initial(),
            attempt: 0,
            tried: 0,
            next: 0,
            limit,
            digest: seed.clone(),
            seed,
            pin: None,
            streamed,
        }
    }

    /// Goes on after the event with this id, whose text the caller sent back. `None` when the text,
    /// the request or the account isn't the one the id was made for.
    pub fn resume(seed: Digest, limit: Index, id: &EventId, text: &str) -> Option<Generation> {
        let mut digest = seed.clone();
        digest.push(text);
        let fits = digest.value() == id.digest && id.next <= limit;
        fits.then(|| Generation {
            attempt: id.attempt,
            next: id.next,
            digest,
            pin: Some(id.version.clone()),
            ..Generation::new(seed, limit, true)
        })
    }

    /// Where it is in its life.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Index of the token wanted next.
    pub fn next(&self) -> Index {
        self.next
    }

    /// The only version that may go on with it; `None` while any may.
    pub fn pin(&self) -> Option<&CompactString> {
        self.pin.as_ref()
    }

    /// Number of the present attempt; 0 before the first.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Starts an attempt at a runner of `version`, and pins the generation to it: tokens of two
    /// versions in one answer would be two answers mixed.
    pub fn start_attempt(&mut self, version: &CompactString) -> Attempt {
        self.step(Signal::Granted);
        self.attempt += 1;
        self.tried += 1;
        self.pin = Some(version.clone());
        self.attempt
    }

    /// Judges a token that the present runner wrote under `attempt`.
    ///
    /// A runner that was paused can wake and go on writing an old attempt, also on a connection that
    /// was used again; the caller would see tokens twice or of another generation. The attempt
    /// number and the index together name each token of the answer once, so dropping all others is
    /// enough.
    pub fn accept(&mut self, attempt: Attempt, token: &Token) -> TokenAction {
        if attempt != self.attempt || token.index < self.next {
            return TokenAction::Drop;
        }
        let fits = token.index == self.next && self.next < self.limit;
        if !fits || token.text.len() > MAX_TOKEN_BYTES {
            return TokenAction::Garbled;
        }
        self.next += 1;
        self.digest.push(&token.text);
        TokenAction::Deliver
    }

    /// Whether the runner's own count at its finish is what was delivered. A smaller answer than the
    /// runner says would miss tokens at the end, where no later index shows the gap.
    pub fn finish(&mut self, finish: &Finish) -> bool {
        let whole = finish.tokens == self.next;
        if whole {
            self.step(Signal::Finished);
        }
        whole
    }

    /// The present runner is lost; another has to be asked, unless the answer is whole already: then
    /// only the runner's finish was lost, and this says what it was.
    pub fn runner_lost(&mut self) -> Option<FinishReason> {
        self.step(Signal::Lost);
        if self.next < self.limit {
            return None;
        }
        self.step(Signal::Finished);
        Some(FinishReason::Length)
    }

    /// Whether another runner may be tried.
    pub fn may_retry(&self) -> bool {
        self.tried < MAX_ATTEMPTS
    }

    /// Starts from nothing with any version, which is possible while the caller has seen no token.
    /// Says whether it was.
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

    /// No runner will be had. Ends it as refused or, when the caller holds a part, as partial.
    pub fn give_up(&mut self) -> Phase {
        let seen = self.streamed && self.next > 0;
        self.step(if seen { Signal::Cut } else { Signal::Refused });
        self.phase
    }

    /// The id of the last event delivered, from which the caller may resume anywhere.
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
        self.phase = next.unwrap_or_else(|| panic!("{signal:?} in phase {:?}", self.phase));
    }
}
