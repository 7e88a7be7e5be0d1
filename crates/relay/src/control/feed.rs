//! Following a table of the store.

use {
    crate::{
        lines::STORE_BACK,
        metrics::{Heard, Metrics},
        store::{Result, Revision, Rows, Store, StoreError},
    },
    rand::Rng,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, sleep, sleep_until},
    },
};

/// Pause after the first failure; it doubles with each.
const BACKOFF_LEAST: Duration = Duration::from_millis(100);
/// Longest pause of the one follower that finds out when the store is back: what is said while it is away
/// must be known soon after.
pub const PROBE_PAUSE: Duration = Duration::from_millis(800);
/// Longest pause of all others, which are told of the store's return. They still ask by themselves: the
/// store may turn away the questions for one table only.
pub const REST_PAUSE: Duration = Duration::from_millis(3_200);

/// Age from which a question is given up once the store answers another one after an outage. A store that
/// was silent never answers what it was asked meanwhile, and the question's own timeout is longer than the
/// time in which a catalogue must be in force.
const STALE_QUESTION: Duration = Duration::from_millis(500);

/// What a follower tells.
#[derive(Clone, Debug)]
pub struct News {
    /// The table.
    pub table: &'static str,
    /// What happened to it.
    pub change: Change,
}

/// What happened to a table.
#[derive(Clone, Debug)]
pub enum Change {
    /// These are all its rows.
    Whole(Rows),
    /// These rows changed.
    Rows(Rows),
    /// The store stopped answering.
    Down,
    /// The store answers again.
    Up,
}

/// Follows one table for as long as somebody listens.
pub struct Follower<S> {
    /// The store.
    pub store: S,
    /// Its table.
    pub table: &'static str,
    /// Least time between two questions.
    pub every: Duration,
    /// Longest wait of the store for a change; may change.
    pub wait: Rc<Cell<Duration>>,
    /// Longest pause after failures.
    pub pause: Duration,
    /// How often the store has come back, as seen by all followers together.
    pub returns: watch::Sender<u32>,
    /// What is counted.
    pub metrics: Metrics,
}

impl<S: Store> Follower<S> {
    /// Reads the table, and tells of what changes in it until nobody listens.
    pub async fn run(self, sender: mpsc::Sender<News>) {
        let mut revision = None;
        let mut failures = 0;
        let mut returns = self.returns.subscribe();
        loop {
            returns.mark_unchanged();
            let asked = Instant::now();
            let Some(answer) = self.ask_unless_stale(revision, failures).await else { continue };
            self.metrics.asked(self.table, heard(&answer));
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
                    log::info!(table = self.table; "the store's history is gone: reading anew");
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
                if sender.send(News { table: self.table, change }).await.is_err() {
                    return;
                }
            }
            match failures {
                0 => sleep_until(asked + self.every).await,
                failures => self.rest(failures, &mut returns).await,
            }
        }
    }

    /// Pauses after a failure, at most until another follower has found the store back since this one asked:
    /// each question that an outage refuses costs as much as one that is answered, and one follower's are
    /// enough to see its end.
    async fn rest(&self, failures: u32, returns: &mut watch::Receiver<u32>) {
        tokio::select! {
            () = sleep(backoff(failures, self.pause)) => {}
            // The sender lives as long as this follower.
            _ = returns.changed() => {}
        }
    }

    /// Asks the store; `None` when another follower found it back from an outage that may have swallowed
    /// the question.
    async fn ask_unless_stale(
        &self,
        revision: Option<Revision>,
        failures: u32,
    ) -> Option<Result<Rows>> {
        let mut returns = self.returns.subscribe();
        let stale = async {
            sleep(STALE_QUESTION).await;
            // The sender lives as long as this follower.
            _ = returns.changed().await;
        };
        tokio::select! {
            biased;
            answer = self.ask(revision, failures) => Some(answer),
            () = stale => None,
        }
    }

    /// Asks for news. After a failure the store needn't wait for any: its return would be known only after a
    /// whole wait, and that of the others with it.
    async fn ask(&self, revision: Option<Revision>, failures: u32) -> Result<Rows> {
        let wait = if failures == 0 { self.wait.get() } else { Duration::ZERO };
        match revision {
            Some(after) => self.store.feed(self.table, after, wait).await,
            None => self.store.read(self.table).await,
        }
    }
}

fn heard(answer: &Result<Rows>) -> Heard {
    match answer {
        Ok(rows) if rows.rows.is_empty() => Heard::Nothing,
        Ok(_) => Heard::News,
        Err(_) => Heard::Failed,
    }
}

/// With jitter: nodes that lost the store together mustn't ask it again all at once.
fn backoff(failures: u32, most: Duration) -> Duration {
    let pause = BACKOFF_LEAST * 2u32.saturating_pow(failures.min(8) - 1);
    pause.min(most).mul_f64(rand::rng().random_range(0.5..1.0))
}
