//! Watches tables of the store.

use {
    crate::{
        log_messages::STORE_BACK,
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

/// Initial backoff; doubles with each failure.
const BACKOFF_LEAST: Duration = Duration::from_millis(100);
/// Maximum backoff of the watcher that detects the store's return.
pub const PROBE_PAUSE: Duration = Duration::from_millis(800);
/// Maximum backoff of all others, which are notified of it. They keep polling, because the store
/// may reject a single table only.
pub const REST_PAUSE: Duration = Duration::from_millis(3_200);

/// Age from which a pending poll is abandoned once another poll succeeds after an outage. A silent
/// store never responds to it, and its timeout is long.
const STALE_QUESTION: Duration = Duration::from_millis(500);

/// An event of a table.
#[derive(Clone, Debug)]
pub struct FeedEvent {
    /// Table.
    pub table: &'static str,
    /// Change.
    pub change: Change,
}

/// Change of a table.
#[derive(Clone, Debug)]
pub enum Change {
    /// Complete contents.
    Whole(Rows),
    /// Changed rows.
    Rows(Rows),
    /// The store became unavailable.
    Down,
    /// The store became available.
    Up,
}

/// Watches one table.
pub struct FeedWatcher<S> {
    /// Store.
    pub store: S,
    /// Table.
    pub table: &'static str,
    /// Minimum interval of polls.
    pub every: Duration,
    /// Long-poll wait; may change.
    pub wait: Rc<Cell<Duration>>,
    /// Maximum backoff.
    pub pause: Duration,
    /// Counts the store's returns, as seen by any watcher.
    pub returns: watch::Sender<u32>,
    /// Metrics.
    pub metrics: Metrics,
}

impl<S: Store> FeedWatcher<S> {
    /// Sends events until the receiver is dropped.
    pub async fn run(self, sender: mpsc::Sender<FeedEvent>) {
        let mut revision = None;
        let mut failures = 0;
        let mut returns = self.returns.subscribe();
        loop {
            returns.mark_unchanged();
            let store_polled = Instant::now();
            let Some(answer) = self.ask_unless_stale(revision, failures).await else { continue };
            self.metrics.store_polled(self.table, peer_reports(&answer));
            let mut changes = Vec::new();
            if answer.is_ok() && failures > 0 {
                log::info!(table = self.table; "{STORE_BACK}");
                changes.push(Change::Up);
                self.returns.send_modify(|count| *count += 1);
            }
            match answer {
                Ok(rows) => {
                    failures = 0;
                    let whole = revision.replace(rows.revision).is_none();
                    changes.push(if whole { Change::Whole(rows) } else { Change::Rows(rows) });
                }
                Err(StoreError::Compacted) => {
                    log::info!(table = self.table; "store history compacted: reading the whole table");
                    revision = None;
                }
                Err(error) => {
                    if failures == 0 {
                        log::warn!(table = self.table; "{error}");
                        changes.push(Change::Down);
                    }
                    failures += 1;
                }
            }
            for change in changes {
                if sender.send(FeedEvent { table: self.table, change }).await.is_err() {
                    return;
                }
            }
            match failures {
                0 => sleep_until(store_polled + self.every).await,
                failures => self.rest(failures, &mut returns).await,
            }
        }
    }

    /// Backs off after a failure, or until another watcher has found the store available.
    async fn rest(&self, failures: u32, returns: &mut watch::Receiver<u32>) {
        tokio::select! {
            () = sleep(backoff(failures, self.pause)) => {}
            // The sender lives as long as `self`.
            _ = returns.changed() => {}
        }
    }

    /// Polls the store; `None` if another watcher found it back from an outage that may have
    /// swallowed the poll.
    async fn ask_unless_stale(
        &self,
        revision: Option<Revision>,
        failures: u32,
    ) -> Option<Result<Rows>> {
        let mut returns = self.returns.subscribe();
        let stale = async {
            sleep(STALE_QUESTION).await;
            // The sender lives as long as `self`.
            _ = returns.changed().await;
        };
        tokio::select! {
            biased;
            answer = self.ask(revision, failures) => Some(answer),
            () = stale => None,
        }
    }

    /// Polls the store, without waiting for changes after a failure.
    async fn ask(&self, revision: Option<Revision>, failures: u32) -> Result<Rows> {
        let wait = if failures == 0 { self.wait.get() } else { Duration::ZERO };
        match revision {
            Some(after) => self.store.feed(self.table, after, wait).await,
            None => self.store.read(self.table).await,
        }
    }
}

fn peer_reports(answer: &Result<Rows>) -> PollOutcome {
    match answer {
        Ok(rows) if rows.rows.is_empty() => PollOutcome::Unchanged,
        Ok(_) => PollOutcome::Changed,
        Err(_) => PollOutcome::Failed,
    }
}

/// Jitter, so that nodes do not return all at once.
fn backoff(failures: u32, most: Duration) -> Duration {
    let pause = BACKOFF_LEAST * 2u32.saturating_pow(failures.min(8) - 1);
    pause.min(most).mul_f64(rand::rng().random_range(0.5..1.0))
}
