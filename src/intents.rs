//! Non-idempotent calls, at most once, backed by the table.
//!
//! [`Intents::claim`] claims a call. The holder of a [`Permit`] sends the call once and returns the
//! permit with [`Intents::settle`]; all others get the recorded outcome.

pub mod answer;
pub mod batch;
pub mod call;
mod gate;
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
            Action, Event, Fault, Found, Holder, Intent, Life, Outcome, Owner, Verdict, peek,
        },
    },
    bilberryfront_wire::table::{Read, Row, Write, Written},
    compact_str::CompactString,
    permit::{Held, Orphan, SharedShelf, step},
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

/// Most exchanges with the table for one claim. Each further one needs another request that changed
/// the row in between, so only a table that contradicts itself gets here.
const ROUNDS: usize = 8;
/// First and longest pause between two looks, or two tries to record.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));
/// How long an outcome is tried to be recorded. Well within the core's `RECORD_WITHIN`.
const RECORD_TRIES: Duration = Duration::from_secs(60);
/// Most outcomes that wait for the table to come back; with bodies of at most 16 KiB, 16 MB.
const RECORDS: usize = 1024;

/// What became of a claim.
pub enum Claim {
    /// This request may send the call, once.
    Granted(Permit),
    /// The call's recorded outcome, never [`Outcome::NotRun`].
    Outcome(Outcome),
    /// This claim has the call and has recorded no outcome.
    Busy(Holder),
    /// The key came with another method, path or body before.
    Mismatch,
    /// Nothing of this request was or will be run, and this node never sent another with its key.
    /// While the table is down, one that an other node sent can't be known of.
    NotRun(PlatformError),
    /// Nothing of this request was or will be run, but another with its key may have been.
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
    shelf: SharedShelf,
    recent: Mutex<Recent>,
    orphans: mpsc::Sender<Orphan>,
    records: Semaphore,
}

impl<T: Table> Intents<T> {
    /// Starts the committing task. `incarnation` must be random and new at each start of the node.
    pub fn start(table: T, incarnation: Incarnation, limits: Limits) -> Intents<T> {
        let (orphans, receiver) = mpsc::channel(RECORDS);
        let inner = Arc::new(Inner {
            batch: Batch::start(table.clone(), limits),
            table,
            incarnation,
            limits,
            claims: AtomicU64::new(0),
            unrecorded: AtomicU64::new(0),
            shelf: SharedShelf::default(),
            recent: Mutex::default(),
            orphans,
            records: Semaphore::new(RECORDS),
        });
        tokio::spawn(adopt(Arc::downgrade(&inner), receiver));
        Intents { inner }
    }

    /// Claims a call by inserting its row.
    ///
    /// Runs to its end even when the caller leaves and this future is dropped: the permit is then
    /// dropped too, which records that nothing was run.
    pub async fn claim(&self, call: Call) -> Claim {
        self.enter(call, Event::Claim).await
    }

    /// Looks again, with growing jittered pauses, until a busy call has an outcome or may be
    /// claimed, or `timeout` is over.
    ///
    /// `timeout` is the longest time that a call takes. An owner whose claim is older will hardly
    /// say any more what came of it, and its call is not waited for.
    pub async fn wait(&self, call: &Call, timeout: Duration) -> Claim {
        let deadline = Instant::now() + timeout;
        let mut pause = PAUSES.0;
        loop {
            sleep(jitter(pause)).await;
            pause = (pause * 2).min(PAUSES.1);
            let claim = self.enter(call.clone(), Event::Look).await;
            let open = match &claim {
                Claim::Busy(holder) => {
                    unix_now() <= holder.created.saturating_add(timeout.as_secs())
                }
                Claim::Unknown => true,
                _ => false,
            };
            if !open || Instant::now() + pause > deadline {
                return claim;
            }
        }
    }

    /// What is known of a call that this request won't claim, for instance as no runner can take it.
    /// Costs a read and no write; never grants a permit. [`Claim::NotRun`] says that nobody ran it.
    ///
    /// Without it a retry of a call that ran would be refused as "not run" when its runner has died
    /// since, and the caller would post it under a new key.
    pub async fn peek(&self, call: &Call) -> Claim {
        self.inner.peek(call).await
    }

    /// Records what came of a call. Waits no longer than one slow commit and returns whether it is
    /// recorded by then; the tries go on for a minute, also when this future is dropped.
    pub async fn settle(&self, permit: Permit, outcome: Outcome) -> bool {
        let Some(held) = permit.release() else { return false };
        let inner = self.inner.clone();
        let record = tokio::spawn(async move { inner.record(held, outcome).await });
        matches!(timeout(self.inner.limits.reply_timeout, record).await, Ok(Ok(true)))
    }

    /// Counts since the start.
    pub fn stats(&self) -> Stats {
        self.inner.batch.stats()
    }

    /// Outcomes that could not be recorded.
    pub fn unrecorded(&self) -> u64 {
        self.inner.unrecorded.load(Ordering::Relaxed)
    }

    async fn enter(&self, call: Call, first: Event) -> Claim {
        let inner = self.inner.clone();
        let claim = tokio::spawn(async move { inner.enter(&call, first).await });
        claim.await.unwrap_or(Claim::Unknown)
    }
}

/// Records the outcomes of dropped permits.
async fn adopt<T: Table>(inner: Weak<Inner<T>>, mut orphans: mpsc::Receiver<Orphan>) {
    while let Some((held, outcome)) = orphans.recv().await {
        let Some(inner) = inner.upgrade() else { return };
        tokio::spawn(async move { inner.record(held, outcome).await });
    }
}

impl<T: Table> Inner<T> {
    async fn enter(&self, call: &Call, first: Event) -> Claim {
        let claim = self.claims.fetch_add(1, Ordering::Relaxed);
        let owner = Owner { incarnation: self.incarnation, claim };
        let life = Life::new(owner, call.digest.clone(), Instant::now(), unix_now());
        self.drive(Held { row: call.row(), life }, first).await
    }

    async fn peek(&self, call: &Call) -> Claim {
        let row = call.row();
        let read = match self.batch.is_shut() {
            true => Err(PlatformError::Down("the table has just failed".into())),
            false => self.read(&row).await,
        };
        match read {
            Ok(found) => {
                self.say(peek(found.as_ref().map(|f| &f.intent), &call.digest), &row, None)
            }
            Err(why) => self.say(Verdict::NotRun, &row, Some(why)),
        }
    }

    async fn drive(&self, mut held: Held, first: Event) -> Claim {
        let mut why = None;
        let mut action = step(&mut held.life, first, &self.shelf);
        for _ in 0..ROUNDS {
            let outcome = match action {
                Action::Write(found) => self.write(&held.row, &found).await.map(Event::Written),
                Action::Read => self.read(&held.row).await.map(Event::Row),
                end => return self.claim(end, held, why),
            };
            let event = outcome.unwrap_or_else(|error| failed(error, &mut why));
            action = step(&mut held.life, event, &self.shelf);
        }
        self.claim(action, held, why)
    }

    fn claim(&self, end: Action, held: Held, why: Option<PlatformError>) -> Claim {
        match end {
            Action::Permit => {
                let row = held.life.row().expect("a permit comes with a row");
                self.recent().note(&held.row, row.intent.holder());
                Claim::Granted(Permit::new(held, self.shelf.clone(), self.orphans.clone()))
            }
            Action::Say(verdict) => self.say(verdict, &held.row, why),
            _ => Claim::Unknown,
        }
    }

    fn say(&self, verdict: Verdict, row: &CompactString, why: Option<PlatformError>) -> Claim {
        match verdict {
            Verdict::Outcome(outcome) => Claim::Outcome(outcome),
            Verdict::Busy(holder) => Claim::Busy(holder),
            Verdict::Mismatch => Claim::Mismatch,
            Verdict::Unclear => Claim::Unknown,
            Verdict::NotRun => {
                let why = why.unwrap_or(PlatformError::Down("the call is not in the table".into()));
                let holder = self.recent().holder(row);
                holder.map_or(Claim::NotRun(why), Claim::Busy)
            }
        }
    }

    fn recent(&self) -> MutexGuard<'_, Recent> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn record(&self, mut held: Held, outcome: Outcome) -> bool {
        let deadline = Instant::now() + RECORD_TRIES;
        let mut pause = PAUSES.0;
        let mut waits = None;
        if outcome == Outcome::NotRun {
            self.recent().forget(&held.row, held.life.owner());
        }
        let end = Event::End(outcome, Instant::now());
        let mut action = step(&mut held.life, end, &self.shelf);
        while let Action::Write(found) = action {
            let outcome = self.write(&held.row, &found).await.map(Event::Written);
            let event = outcome.unwrap_or_else(|error| failed(error, &mut None));
            action = step(&mut held.life, event, &self.shelf);
            if action == Action::Rest {
                return true;
            }
            waits = waits.or_else(|| self.records.try_acquire().ok());
            if waits.is_none() || Instant::now() > deadline {
                break;
            }
            sleep(jitter(pause)).await;
            pause = (pause * 2).min(PAUSES.1);
        }
        step(&mut held.life, Event::GiveUp, &self.shelf);
        self.unrecorded.fetch_add(1, Ordering::Relaxed);
        false
    }

    async fn write(&self, row: &CompactString, found: &Found) -> Result<Written> {
        let value = serde_json::to_string(&found.intent).expect("plain data serializes");
        let expect = Some(found.revision);
        self.batch.write(Write { key: row.clone(), expect, value: Some(value) }).await
    }

    async fn read(&self, row: &CompactString) -> Result<Option<Found>> {
        let read = Read { keys: vec![row.clone()] };
        let rows = match timeout(self.limits.reply_timeout, self.table.read(&read)).await {
            Ok(rows) => rows?.rows,
            Err(_) => return Err(PlatformError::Lost("the table is slow".into())),
        };
        rows.into_iter().find(|r| r.key == *row).map(|r| found(&r)).transpose()
    }
}

/// A row that is no intent is as good as none that can be read: nobody may send the call.
fn found(row: &Row) -> Result<Found> {
    let intent: Intent =
        serde_json::from_str(&row.value).map_err(|e| PlatformError::Lost(e.to_string()))?;
    Ok(Found { revision: row.revision, intent })
}

fn failed(error: PlatformError, why: &mut Option<PlatformError>) -> Event {
    let fault = match &error {
        PlatformError::Down(_) => Fault::Down,
        PlatformError::Lost(_) => Fault::Lost,
    };
    *why = Some(error);
    Event::Failed(fault)
}

/// Between a half and one and a half of `pause`, so that waiting nodes don't ask together.
fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.5))
}

/// Seconds since the Unix epoch.
pub(crate) fn unix_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs())
}
