//! A granted runner, held for the duration of one attempt.

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

/// A granted runner, returned to the core when dropped. A caller can disconnect at any await point;
/// without this guard the core would count the request as running forever.
pub struct Lease {
    /// The grant.
    pub grant: Grant,
    /// Outcome of the attempt. Initially `Cancelled`: if it is still unchanged on drop, the caller
    /// disconnected.
    pub verdict: Verdict,
    /// Time from the grant to the first token or to the response header, if one arrived.
    pub first: Option<Duration>,
    /// Whether another runner will be requested.
    pub will_retry: bool,
    /// Whether a service sent a complete response with a server error. The verdict is then `Ok`, as
    /// the runner works; only the result of a trial counts it as a failure.
    pub failed: bool,
    /// Time spent waiting for tokens after the first; gives the mean time between tokens. It excludes
    /// back-pressure from a slow caller, which must not count against the runner.
    pub waited: Duration,
    /// Whether the core has already granted another runner in place of this one.
    pub is_replaced: bool,
    trial: Option<Trial>,
    control: Control,
    granted_at: Instant,
    tokens: u32,
}

impl Lease {
    /// Creates a lease for a new grant.
    pub fn new(control: Control, grant: Grant, trial: Option<Trial>) -> Lease {
        control.metrics().add(Counter::Sends, 1);
        Lease {
            grant,
            verdict: Verdict::Cancelled,
            first: None,
            will_retry: false,
            failed: false,
            waited: Duration::ZERO,
            is_replaced: false,
            trial,
            control,
            granted_at: Instant::now(),
            tokens: 0,
        }
    }

    /// Counts a token.
    pub fn count_token(&mut self) {
        self.tokens += 1;
        self.mark_started();
    }

    /// Records that the runner has started to respond.
    pub fn mark_started(&mut self) {
        if self.first.is_none() {
            self.first = Some(self.granted_at.elapsed());
            self.control.send(Event::Started(self.grant.ticket));
        }
    }
}

impl Lease {
    /// Returns the end of the attempt for the core.
    pub fn done(&self, verdict: Verdict, will_retry: bool) -> Done {
        let (ticket, first, tokens) = (self.grant.ticket, self.first, self.tokens);
        Done { ticket, verdict, first, tokens, will_retry }
    }

    /// Returns the result of the attempt; `None` if the caller disconnected.
    fn result(&self) -> Option<AttemptResult> {
        let intervals = self.tokens.checked_sub(1).filter(|n| *n > 0);
        (self.verdict != Verdict::Cancelled).then(|| AttemptResult {
            ok: self.verdict == Verdict::Ok && !self.failed,
            first: self.first,
            pace: intervals.map(|n| self.waited / n),
            runner: self.grant.runner.data().as_ffi(),
        })
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(counter) = failure_counter(self.verdict) {
            self.control.metrics().add(counter, 1);
        }
        if let Some((trial, result)) = self.trial.take().zip(self.result()) {
            self.control.moves().report_attempt(trial, result);
        }
        if !self.is_replaced {
            self.control.done(self.done(self.verdict, self.will_retry));
        }
    }
}

/// Returns the counter for a runner's failure.
fn failure_counter(verdict: Verdict) -> Option<Counter> {
    match verdict {
        Verdict::Ok | Verdict::Cancelled => None,
        Verdict::Broken => Some(Counter::RunnerBroken),
        Verdict::Stalled => Some(Counter::RunnerStalled),
        Verdict::Rejected => Some(Counter::RunnerRejected),
        Verdict::Garbled => Some(Counter::RunnerGarbled),
    }
}
