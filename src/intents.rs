//! At-most-once execution of non-idempotent calls, backed by rows in the table service.
//!
//! [`Intents::claim`] claims a call. The holder of a [`Permit`] sends the call once and returns the
//! permit with [`Intents::settle`]; every other request for the call gets the recorded outcome.

pub mod answer;
pub mod batch;
mod breaker;
pub mod call;
pub mod permit;
mod recent;
pub mod sweep;

pub use {
    batch::{Limits, Stats},
    call::Call,
    permit::Permit,
};

use {
    crate::platform::{
        http::{PlatformError, Result},
        table::Table,
    },
    batch::Batch,
    bilberryfront_decide::{
        id::Incarnation,
        intent::{
            Action, Event, Fault, Holder, Intent, IntentRow, Outcome, Owner, RequestLifecycle,
            Verdict, peek,
        },
    },
    bilberryfront_wire::table::{Read, Row, Write, Written},
    compact_str::CompactString,
    permit::{DroppedPermit, HeldClaim, SharedClaims, step},
    recent::Recent,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError, Weak,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::{Semaphore, mpsc},
        time::{Instant, sleep, timeout},
    },
};

/// Maximum number of table operations for one claim. Each additional one requires that another
/// request changed the row in between, so only a table with inconsistent replies reaches the limit.
const MAX_STEPS: usize = 8;
/// First and longest pause between two reads of a busy call, or two attempts to record an outcome.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));
/// How long to retry recording an outcome. Well within the `RECORD_WITHIN` of the state machine.
const RECORD_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of outcomes that wait to be recorded while the table is down. With bodies of at
/// most 16 KiB they use up to 16 MiB.
const MAX_PENDING_RECORDS: usize = 1024;

/// Result of a claim.
pub enum Claim {
    /// This request may send the call, once.
    Granted(Permit),
    /// The call's recorded outcome, never [`Outcome::NotRun`].
    Outcome(Outcome),
    /// Another claim owns the call and has not recorded an outcome.
    Busy(Holder),
    /// The key was used before with another method, path or body.
    Mismatch,
    /// This request did not and will not run the call, and this node never sent another request
    /// with its key. While the table is down, a request that another node sent can't be detected.
    NotRun(PlatformError),
    /// This request did not and will not run the call, but another with its key may have run it.
    Unknown,
}

/// Claims calls and records their outcomes. Cheap to clone.
pub struct Intents<T> {
    inner: Arc<Inner<T>>,
}

impl<T> Clone for Intents<T> {
    fn clone(&self) -> Intents<T> {
        Intents { inner: self.inner.clone() }
    }
}

struct Inner<T> {
    table: T,
    incarnation: Incarnation,
    limits: Limits,
    batch: Batch,
    claims: AtomicU64,
    unrecorded: AtomicU64,
    abandoned: SharedClaims,
    recent: Mutex<Recent>,
    dropped: mpsc::Sender<DroppedPermit>,
    /// Limits the number of outcomes that wait to be recorded.
    pending_records: Semaphore,
}

impl<T: Table> Intents<T> {
    /// Starts the tasks that commit writes and record the outcomes of dropped permits.
    /// `incarnation` must be a new random value at each start of the node.
    pub fn start(table: T, incarnation: Incarnation, limits: Limits) -> Intents<T> {
        let (dropped, receiver) = mpsc::channel(MAX_PENDING_RECORDS);
        let inner = Arc::new(Inner {
            batch: Batch::start(table.clone(), limits),
            table,
            incarnation,
            limits,
            claims: AtomicU64::new(0),
            unrecorded: AtomicU64::new(0),
            abandoned: SharedClaims::default(),
            recent: Mutex::default(),
            dropped,
            pending_records: Semaphore::new(MAX_PENDING_RECORDS),
        });
        tokio::spawn(record_dropped(Arc::downgrade(&inner), receiver));
        Intents { inner }
    }

    /// Claims a call by inserting its row.
    ///
    /// Runs to completion even when the caller disconnects and this future is dropped: the permit
    /// is then dropped too, which records that the call was not run.
    pub async fn claim(&self, call: Call) -> Claim {
        self.spawn_claim(call, Event::Claim).await
    }

    /// Polls a busy call, with exponential backoff and jitter, until it has an outcome or may be
    /// claimed, or `timeout` has elapsed.
    ///
    /// `timeout` is the longest time that a call takes. An owner whose claim is older is unlikely
    /// to record an outcome any more, so its call is not waited for.
    pub async fn wait(&self, call: &Call, timeout: Duration) -> Claim {
        let deadline = Instant::now() + timeout;
        let mut pause = RETRY_PAUSES.0;
        loop {
            sleep(jitter(pause)).await;
            pause = (pause * 2).min(RETRY_PAUSES.1);
            let claim = self.spawn_claim(call.clone(), Event::Look).await;
            let is_pending = match &claim {
                Claim::Busy(holder) => {
                    unix_now() <= holder.created.saturating_add(timeout.as_secs())
                }
                Claim::Unknown => true,
                _ => false,
            };
            if !is_pending || Instant::now() + pause > deadline {
                return claim;
            }
        }
    }

    /// Returns the recorded state of a call that this request won't claim, for example because no
    /// runner is available. Costs one read and no write, and never grants a permit.
    /// [`Claim::NotRun`] means that no request ran the call, as far as the table and this node
    /// know.
    ///
    /// Without it the retry of a call that did run would be rejected as "not run" if its runner has
    /// failed in the meantime, and the caller would send the call again under a new key.
    pub async fn peek(&self, call: &Call) -> Claim {
        self.inner.peek(call).await
    }

    /// Records the outcome of a call. Waits for at most [`Limits::reply_timeout`] and returns
    /// whether the outcome is recorded by then; attempts continue in the background for up to a
    /// minute, even if this future is dropped.
    pub async fn settle(&self, permit: Permit, outcome: Outcome) -> bool {
        let Some(held) = permit.release() else { return false };
        let inner = self.inner.clone();
        let record = tokio::spawn(async move { inner.record(held, outcome).await });
        matches!(timeout(self.inner.limits.reply_timeout, record).await, Ok(Ok(true)))
    }

    /// Returns the counters since the start.
    pub fn stats(&self) -> Stats {
        self.inner.batch.stats()
    }

    /// Returns the number of outcomes that could not be recorded.
    pub fn unrecorded(&self) -> u64 {
        self.inner.unrecorded.load(Ordering::Relaxed)
    }

    async fn spawn_claim(&self, call: Call, first: Event) -> Claim {
        let inner = self.inner.clone();
        let claim = tokio::spawn(async move { inner.start_claim(&call, first).await });
        claim.await.unwrap_or(Claim::Unknown)
    }
}

/// Records the outcomes of dropped permits.
async fn record_dropped<T: Table>(
    inner: Weak<Inner<T>>,
    mut dropped: mpsc::Receiver<DroppedPermit>,
) {
    while let Some((held, outcome)) = dropped.recv().await {
        let Some(inner) = inner.upgrade() else { return };
        tokio::spawn(async move { inner.record(held, outcome).await });
    }
}

impl<T: Table> Inner<T> {
    async fn start_claim(&self, call: &Call, first: Event) -> Claim {
        let claim = self.claims.fetch_add(1, Ordering::Relaxed);
        let owner = Owner { incarnation: self.incarnation, claim };
        let lifecycle =
            RequestLifecycle::new(owner, call.digest.clone(), Instant::now(), unix_now());
        self.run_claim(HeldClaim { row: call.row(), lifecycle }, first).await
    }

    async fn peek(&self, call: &Call) -> Claim {
        let row = call.row();
        let read = match self.batch.is_open() {
            true => Err(PlatformError::Down("the table has just failed".into())),
            false => self.read(&row).await,
        };
        match read {
            Ok(found) => {
                self.to_claim(peek(found.as_ref().map(|f| &f.intent), &call.digest), &row, None)
            }
            Err(error) => self.to_claim(Verdict::NotRun, &row, Some(error)),
        }
    }

    async fn run_claim(&self, mut held: HeldClaim, first: Event) -> Claim {
        let mut last_error = None;
        let mut action = step(&mut held.lifecycle, first, &self.abandoned);
        for _ in 0..MAX_STEPS {
            let outcome = match action {
                Action::Write(found) => self.write(&held.row, &found).await.map(Event::Written),
                Action::Read => self.read(&held.row).await.map(Event::Row),
                last => return self.finish_claim(last, held, last_error),
            };
            let event = outcome.unwrap_or_else(|error| failed(error, &mut last_error));
            action = step(&mut held.lifecycle, event, &self.abandoned);
        }
        self.finish_claim(action, held, last_error)
    }

    fn finish_claim(&self, last: Action, held: HeldClaim, error: Option<PlatformError>) -> Claim {
        match last {
            Action::Permit => {
                let row = held.lifecycle.row().expect("a permit comes with a row");
                self.recent().insert(&held.row, row.intent.holder());
                Claim::Granted(Permit::new(held, self.abandoned.clone(), self.dropped.clone()))
            }
            Action::Respond(verdict) => self.to_claim(verdict, &held.row, error),
            _ => Claim::Unknown,
        }
    }

    fn to_claim(
        &self,
        verdict: Verdict,
        row: &CompactString,
        error: Option<PlatformError>,
    ) -> Claim {
        match verdict {
            Verdict::Outcome(outcome) => Claim::Outcome(outcome),
            Verdict::Busy(holder) => Claim::Busy(holder),
            Verdict::Mismatch => Claim::Mismatch,
            Verdict::Unclear => Claim::Unknown,
            Verdict::NotRun => {
                let error =
                    error.unwrap_or(PlatformError::Down("the call is not in the table".into()));
                let holder = self.recent().holder(row);
                holder.map_or(Claim::NotRun(error), Claim::Busy)
            }
        }
    }

    fn recent(&self) -> MutexGuard<'_, Recent> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn record(&self, mut held: HeldClaim, outcome: Outcome) -> bool {
        let deadline = Instant::now() + RECORD_TIMEOUT;
        let mut pause = RETRY_PAUSES.0;
        let mut pending = None;
        if outcome == Outcome::NotRun {
            self.recent().remove(&held.row, held.lifecycle.owner());
        }
        let end = Event::End(outcome, Instant::now());
        let mut action = step(&mut held.lifecycle, end, &self.abandoned);
        while let Action::Write(found) = action {
            let outcome = self.write(&held.row, &found).await.map(Event::Written);
            let event = outcome.unwrap_or_else(|error| failed(error, &mut None));
            action = step(&mut held.lifecycle, event, &self.abandoned);
            if action == Action::Finish {
                return true;
            }
            pending = pending.or_else(|| self.pending_records.try_acquire().ok());
            if pending.is_none() || Instant::now() > deadline {
                break;
            }
            sleep(jitter(pause)).await;
            pause = (pause * 2).min(RETRY_PAUSES.1);
        }
        step(&mut held.lifecycle, Event::GiveUp, &self.abandoned);
        self.unrecorded.fetch_add(1, Ordering::Relaxed);
        false
    }

    async fn write(&self, row: &CompactString, found: &IntentRow) -> Result<Written> {
        let value = serde_json::to_string(&found.intent).expect("plain data serializes");
        let expect = Some(found.revision);
        self.batch.write(Write { key: row.clone(), expect, value: Some(value) }).await
    }

    async fn read(&self, row: &CompactString) -> Result<Option<IntentRow>> {
        let read = Read { keys: vec![row.clone()] };
        let rows = match timeout(self.limits.reply_timeout, self.table.read(&read)).await {
            Ok(rows) => rows?.rows,
            Err(_) => return Err(PlatformError::Lost("the table is slow".into())),
        };
        rows.into_iter().find(|r| r.key == *row).map(|r| decode(&r)).transpose()
    }
}

/// Decodes a row. A row that can't be decoded counts as a lost reply, so that no request may send
/// the call.
fn decode(row: &Row) -> Result<IntentRow> {
    let intent: Intent =
        serde_json::from_str(&row.value).map_err(|e| PlatformError::Lost(e.to_string()))?;
    Ok(IntentRow { revision: row.revision, intent })
}

/// Returns the event for an error, and keeps the error in `last_error`.
fn failed(error: PlatformError, last_error: &mut Option<PlatformError>) -> Event {
    let fault = match &error {
        PlatformError::Down(_) => Fault::Down,
        PlatformError::Lost(_) => Fault::Lost,
    };
    *last_error = Some(error);
    Event::Failed(fault)
}

/// Returns a random duration between 0.5 and 1.5 times `pause`, so that waiting nodes don't poll at
/// the same time.
fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.5))
}

/// Returns the seconds since the Unix epoch.
pub(crate) fn unix_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs())
}
