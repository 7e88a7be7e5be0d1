//! A granted runner, held for the time of one attempt.

use {
    crate::{
        control::{
            Control,
            moves::{AttemptResult, Trial},
        },
        metrics::Counter,
    },
    bilberryfront_decide::{
        Event,
        action::Grant,
        event::{Done, Verdict},
    },
    slotmap::Key,
    std::time::Duration,
    tokio::time::Instant,
};

/// A granted runner, given back to the core when dropped. A caller can leave at any await; without
/// this the core would count the request as running for ever.
pub struct Lease {
    /// What was granted.
    pub grant: Grant,
    /// What came of it so far; a drop before anything did means that the caller left.
    pub verdict: Verdict,
    /// Time from the grant to the first token or the answer's head.
    pub first: Option<Duration>,
    /// Whether another runner will be asked for.
    pub will_retry: bool,
    /// Set when an answer that came whole says that the runner failed.
    pub failed: bool,
    /// Time spent waiting for tokens after the first. A caller that reads slowly holds the stream
    /// back, and its time must not count as the runner's.
    pub waited: Duration,
    trial: Option<Trial>,
    control: Control,
    since: Instant,
    tokens: u32,
}

impl Lease {
    /// Holds a grant that was just made.
    pub fn new(control: Control, grant: Grant, trial: Option<Trial>) -> Lease {
        control.metrics().add(Counter::Sends, 1);
        Lease {
            grant,
            verdict: Verdict::Cancelled,
            first: None,
            will_retry: false,
            failed: false,
            waited: Duration::ZERO,
            trial,
            control,
            since: Instant::now(),
            tokens: 0,
        }
    }

    /// Counts a token.
    pub fn count(&mut self) {
        self.tokens += 1;
        self.mark_started();
    }

    /// Notes that the runner has begun to answer.
    pub fn mark_started(&mut self) {
        if self.first.is_none() {
            self.first = Some(self.since.elapsed());
            self.control.send(Event::Begun(self.grant.ticket));
        }
    }
}

impl Lease {
    /// Returns the result of the attempt; `None` if the caller disconnected.
    fn result(&self) -> Option<AttemptResult> {
        let between = self.tokens.checked_sub(1).filter(|n| *n > 0);
        (self.verdict != Verdict::Cancelled).then(|| AttemptResult {
            ok: self.verdict == Verdict::Ok && !self.failed,
            first: self.first,
            pace: between.map(|n| self.waited / n),
            runner: self.grant.runner.data().as_ffi(),
        })
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(counter) = failure(self.verdict) {
            self.control.metrics().add(counter, 1);
        }
        if let Some((trial, result)) = self.trial.take().zip(self.result()) {
            self.control.moves().report_attempt(trial, result);
        }
        self.control.done(Done {
            ticket: self.grant.ticket,
            verdict: self.verdict,
            first: self.first,
            tokens: self.tokens,
            again: self.will_retry,
        });
    }
}

/// Where a runner's failure is counted.
fn failure(verdict: Verdict) -> Option<Counter> {
    match verdict {
        Verdict::Ok | Verdict::Cancelled => None,
        Verdict::Broken => Some(Counter::RunnerBroken),
        Verdict::Stalled => Some(Counter::RunnerStalled),
        Verdict::Rejected => Some(Counter::RunnerRejected),
        Verdict::Garbled => Some(Counter::RunnerGarbled),
    }
}
