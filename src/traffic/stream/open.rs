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

/// An attempt in progress.
pub(super) struct OpenAttempt<S> {
    pub(super) upstream: S,
    pub(super) lease: Lease,
    /// Event that was read but not processed yet.
    pub(super) pending: Option<Result<RunnerEvent>>,
}

impl<S: Source> OpenAttempt<S> {
    /// Waits for the next event. The timeout covers only the time spent here: back-pressure from a
    /// slow caller must not count against the runner.
    pub(super) async fn wait(&mut self, limits: &Limits) -> Result<RunnerEvent> {
        if let Some(event) = self.pending.take() {
            return event;
        }
        self.wait_for(match self.lease.first {
            None => millis(limits.first_ms),
            Some(_) => millis(limits.stall_ms),
        })
        .await
    }

    /// Waits at most `timeout` for the next event.
    pub(super) async fn wait_for(&mut self, timeout: Duration) -> Result<RunnerEvent> {
        let started_at = Instant::now();
        let event = self.upstream.next(timeout).await;
        if self.lease.first.is_some() {
            self.lease.waited += started_at.elapsed();
        }
        event
    }
}

/// Converts a time of the entry's limits.
pub(super) fn millis(ms: u32) -> Duration {
    Duration::from_millis(ms.into())
}
