//! An attempt of a generation at one runner.

use {
    crate::traffic::{
        lease::Lease,
        upstream::{Result, RunnerEvent, Source},
    },
    bilberryfront_decide::catalog::Limits,
    std::time::Duration,
    tokio::time::Instant,
};

/// An attempt under way.
pub(super) struct Open<S> {
    pub(super) upstream: S,
    pub(super) lease: Lease,
    /// Read already, to be judged next.
    pub(super) event: Option<Result<RunnerEvent>>,
}

impl<S: Source> Open<S> {
    /// Waits for the runner. The bound covers only the time spent here: a caller that reads slowly
    /// holds the stream back, and the runner must not be blamed for it.
    pub(super) async fn wait(&mut self, limits: &Limits) -> Result<RunnerEvent> {
        if let Some(event) = self.event.take() {
            return event;
        }
        let bound = match self.lease.first {
            None => millis(limits.first_ms),
            Some(_) => millis(limits.stall_ms),
        };
        let since = Instant::now();
        let event = self.upstream.next(bound).await;
        if self.lease.first.is_some() {
            self.lease.waited += since.elapsed();
        }
        event
    }
}

/// A time of the catalogue's limits.
pub(super) fn millis(ms: u32) -> Duration {
    Duration::from_millis(ms.into())
}
