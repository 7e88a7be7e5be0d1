//! Counts one request of a caller, whatever comes of it.

use {
    crate::metrics::{Counter, Metrics, Timing},
    bilberryfront_wire::problem::{Problem, Run},
    tokio::time::Instant,
};

/// A request being counted; one that is dropped before its end was left by its caller.
pub struct Meter {
    metrics: Metrics,
    since: Instant,
    begun: bool,
    ended: bool,
}

impl Meter {
    /// Counts a request that has just come.
    pub fn start(metrics: &Metrics) -> Meter {
        metrics.add(Counter::Requests, 1);
        Meter { metrics: metrics.clone(), since: Instant::now(), begun: false, ended: false }
    }

    /// Counts tokens on their way to the caller.
    pub fn tokens(&mut self, count: usize) {
        self.metrics.add(Counter::Tokens, count as u64);
        if !self.begun {
            self.begun = true;
            self.metrics.time(Timing::FirstToken, self.since.elapsed());
        }
    }

    /// The whole answer went to the caller.
    pub fn complete(&mut self) {
        self.end(Counter::Completed);
    }

    /// The request ended with a problem.
    pub fn problem(&mut self, problem: &Problem) {
        self.end(match problem.run {
            Run::NotRun => Counter::Refused,
            Run::Unknown => Counter::Unknown,
            Run::Partial => Counter::Partial,
        });
    }

    fn end(&mut self, counter: Counter) {
        self.ended = true;
        self.metrics.add(counter, 1);
        self.metrics.time(Timing::Request, self.since.elapsed());
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        if !self.ended {
            self.metrics.add(Counter::Abandoned, 1);
        }
    }
}
