//! Metrics of one request.

use {
    crate::metrics::{Counter, Metrics, Timing},
    bilberryfront_wire::problem::{Problem, Run},
    tokio::time::Instant,
};

/// The metrics of a request. If it is dropped before its end, the request counts as abandoned by
/// its caller.
pub struct Meter {
    metrics: Metrics,
    since: Instant,
    has_tokens: bool,
    has_ended: bool,
}

impl Meter {
    /// Counts a request that was just received.
    pub fn start(metrics: &Metrics) -> Meter {
        metrics.add(Counter::Requests, 1);
        Meter {
            metrics: metrics.clone(),
            since: Instant::now(),
            has_tokens: false,
            has_ended: false,
        }
    }

    /// Counts tokens that are sent to the caller.
    pub fn tokens(&mut self, count: usize) {
        self.metrics.add(Counter::Tokens, count as u64);
        if !self.has_tokens {
            self.has_tokens = true;
            self.metrics.time(Timing::FirstToken, self.since.elapsed());
        }
    }

    /// Counts the request as completed.
    pub fn complete(&mut self) {
        self.end(Counter::Completed);
    }

    /// Counts the request as ended with a problem.
    pub fn problem(&mut self, problem: &Problem) {
        self.end(match problem.run {
            Run::NotRun => Counter::Refused,
            Run::Unknown => Counter::Unknown,
            Run::Partial => Counter::Partial,
        });
    }

    fn end(&mut self, counter: Counter) {
        self.has_ended = true;
        self.metrics.add(counter, 1);
        self.metrics.time(Timing::Request, self.since.elapsed());
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        if !self.has_ended {
            self.metrics.add(Counter::Abandoned, 1);
        }
    }
}
