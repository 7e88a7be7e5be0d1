//! Watchers of tables in the store.

use {
    crate::{
        log_messages::STORE_RECOVERED,
        metrics::{Metrics, PollOutcome},
        store::{Result, Revision, Rows, Store, StoreError},
    },
    rand::Rng,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, sleep, sleep_until},
    },
};

/// Backoff after the first failure, before jitter; doubles with each further failure.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Maximum backoff of the watcher that detects the end of a store outage.
pub const PROBE_BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Maximum backoff of all other watchers, which are notified when the store outage ends. They poll as
/// well, because the store may reject a single table only.
pub const STANDBY_BACKOFF_MAX: Duration = Duration::from_millis(3_200);

/// Age from which a pending poll is abandoned after an outage or a restoration of the store, or if a peer
/// has a change that it has not brought. A store that dropped the request never responds to it, and the
/// timeout of a poll is long.
const STALE_POLL_AGE: Duration = Duration::from_millis(500);

/// Event of a watched table.
#[derive(Clone, Debug)]
pub struct FeedEvent<T> {
    /// Table.
    pub table: T,
    /// Change.
    pub change: Change,
}

/// Change of a table.
#[derive(Clone, Debug)]
pub enum Change {
    /// Complete contents of the table.
    Snapshot(Rows),
    /// Changed rows.
    Rows(Rows),
    /// The store has become unavailable.
    Unavailable,
    /// The store has become available again.
    Available,
}

/// Watcher that polls one table while it is active.
pub struct FeedWatcher<S, T> {
    /// Store.
    pub store: S,
    /// Name of the table in the store.
    pub name: &'static str,
    /// Table.
    pub table: T,
    /// Minimum interval of polls.
    pub min_interval: Duration,
    /// Long-poll wait; may change at any time.
    pub wait: Rc<Cell<Duration>>,
    /// Maximum backoff.
    pub max_backoff: Duration,
    /// Whether to poll.
    pub active: watch::Receiver<bool>,
    /// Revision up to which the table is known, if it is; may be advanced by others.
    pub revision: Rc<Cell<Option<Revision>>>,
    /// Number of recoveries detected, shared by all watchers. An outage counts once for each watcher
    /// that detects its end, a restoration and a change that the polls have not brought once.
    pub recoveries: watch::Sender<u32>,
    /// Metrics.
    pub metrics: Metrics,
}

impl<S: Store, T: Copy> FeedWatcher<S, T> {
    /// Sends events until the receiver or the sender of `active` is dropped.
    pub async fn run(mut self, sender: mpsc::Sender<FeedEvent<T>>) {
        // The sender of `active` exists as long as the control thread.
        while self.active.wait_for(|active| *active).await.is_ok() {
            let mut active = self.active.clone();
            tokio::select! {
                () = self.watch(&sender) => return,
                _ = active.wait_for(|active| !*active) => {}
            }
        }
    }

    /// Polls until the receiver is dropped. The first poll and those after a failure or an abandoned poll
    /// do not wait for changes, so that the response shows immediately whether the store is available.
    async fn watch(&self, sender: &mpsc::Sender<FeedEvent<T>>) {
        let mut failures = 0;
        let mut first = true;
        let mut recoveries = self.recoveries.subscribe();
        loop {
            recoveries.mark_unchanged();
            let poll_start = Instant::now();
            let resumed = self.revision.get().is_some();
            let wait = if first || failures > 0 { Duration::ZERO } else { self.wait.get() };
            let Some(response) = self.poll_unless_stale(wait).await else {
                first = true;
                continue;
            };
            first = false;
            self.metrics.count_store_poll(self.name, outcome(&response));
            for change in self.changes(response, &mut failures) {
                if sender.send(FeedEvent { table: self.table, change }).await.is_err() {
                    return;
                }
            }
            if resumed && self.revision.get().is_none() {
                // The store is available: the whole table is read without a pause.
                continue;
            }
            match failures {
                0 => sleep_until(poll_start + self.min_interval).await,
                failures => self.back_off(failures, &mut recoveries).await,
            }
        }
    }

    /// Evaluates a response, and counts consecutive failures.
    fn changes(&self, response: Result<Rows>, failures: &mut u32) -> Vec<Change> {
        let mut changes = Vec::new();
        if response.is_ok() && *failures > 0 {
            log::info!(table = self.name; "{STORE_RECOVERED}");
            changes.push(Change::Available);
            self.recoveries.send_modify(|count| *count += 1);
        }
        match response {
            Ok(rows) => {
                *failures = 0;
                let is_first = self.revision.replace(Some(rows.revision)).is_none();
                changes.push(if is_first { Change::Snapshot(rows) } else { Change::Rows(rows) });
            }
            Err(error @ (StoreError::Compacted | StoreError::Restored)) => {
                log::info!(table = self.name; "reading the whole table: {error}");
                self.revision.set(None);
            }
            Err(error) => {
                if *failures == 0 {
                    log::warn!(table = self.name; "{error}");
                    changes.push(Change::Unavailable);
                }
                *failures += 1;
            }
        }
        changes
    }

    /// Waits for the backoff after a failure, or until another watcher finds the store available.
    async fn back_off(&self, failures: u32, recoveries: &mut watch::Receiver<u32>) {
        tokio::select! {
            () = sleep(backoff(failures, self.max_backoff)) => {}
            // The sender exists as long as `self`.
            _ = recoveries.changed() => {}
        }
    }

    /// Polls the store. Returns `None` if the poll has been pending for at least [`STALE_POLL_AGE`]
    /// and a recovery has been detected since the poll started: the request may have been lost in the
    /// outage, or be for an era that has ended.
    async fn poll_unless_stale(&self, wait: Duration) -> Option<Result<Rows>> {
        let mut recoveries = self.recoveries.subscribe();
        let stale = async {
            sleep(STALE_POLL_AGE).await;
            // The sender exists as long as `self`.
            _ = recoveries.changed().await;
        };
        tokio::select! {
            biased;
            response = self.poll(wait) => Some(response),
            () = stale => None,
        }
    }

    async fn poll(&self, wait: Duration) -> Result<Rows> {
        match self.revision.get() {
            Some(after) => self.store.feed(self.name, after, wait).await,
            None => self.store.read(self.name).await,
        }
    }
}

/// Returns the outcome of a poll, for metrics.
pub(super) fn outcome(response: &Result<Rows>) -> PollOutcome {
    match response {
        Ok(rows) if rows.rows.is_empty() => PollOutcome::Unchanged,
        Ok(_) => PollOutcome::Changed,
        Err(StoreError::Restored) => PollOutcome::Restored,
        Err(_) => PollOutcome::Failed,
    }
}

/// Returns the backoff after a number of failures, with jitter so that nodes do not poll at the
/// same time.
fn backoff(failures: u32, max_backoff: Duration) -> Duration {
    let backoff = BACKOFF_MIN * 2u32.saturating_pow(failures.min(8) - 1);
    backoff.min(max_backoff).mul_f64(rand::rng().random_range(0.5..1.0))
}
