//! Batching of conditional writes into few commits.
//!
//! The table's rate limit counts a commit as one write, regardless of its number of rows. While the
//! maximum number of commits is in flight, or this node's share of the rate is used up, further
//! writes are queued and then committed together.

use {
    super::breaker::CircuitBreaker,
    crate::platform::{
        http::{PlatformError, Result},
        table::Table,
    },
    bilberryfront_wire::table::{Commit, Committed, Write, Written},
    std::{
        collections::VecDeque,
        mem,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{Notify, oneshot},
        task::{AbortHandle, JoinSet},
        time::{Instant, sleep_until, timeout},
    },
};

/// Limits of the batching.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of rows in a commit.
    pub rows: usize,
    /// Maximum size of the keys and values in a commit, in bytes. A single larger row is committed
    /// alone.
    pub bytes: usize,
    /// Maximum number of concurrent commits.
    pub in_flight: usize,
    /// Minimum time between the starts of two commits: the reciprocal of this node's share of the
    /// table's write rate.
    pub interval: Duration,
    /// Maximum number of queued writes.
    pub queue: usize,
    /// Age at which a queued write is rejected. Its caller would not wait longer. Besides, a write
    /// that is hours old, as in a process that was paused, may expect the revision of a row that
    /// was swept in the meantime, and that revision may belong to another row now.
    pub timeout: Duration,
    /// Maximum time to wait for a commit or a read; after it the reply counts as lost.
    pub reply_timeout: Duration,
    /// Interval between two probes while the table fails.
    pub probe: Duration,
}

impl Default for Limits {
    /// The limits for one of six nodes that share 300 writes per second.
    fn default() -> Limits {
        Limits {
            rows: 256,
            bytes: 512 << 10,
            in_flight: 2,
            interval: Duration::from_millis(20),
            queue: 4096,
            timeout: Duration::from_secs(2),
            reply_timeout: Duration::from_millis(500),
            probe: Duration::from_secs(1),
        }
    }
}

impl Limits {
    /// Returns the number of queued writes that can be committed before they time out. One more is
    /// rejected immediately instead of after its timeout.
    fn capacity(&self) -> usize {
        let interval = self.interval.as_secs_f64().max(f64::MIN_POSITIVE);
        let commits = (self.timeout.as_secs_f64() / interval) as usize;
        self.queue.min(commits.max(1).saturating_mul(self.rows))
    }
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Commits that the table answered.
    pub commits: u64,
    /// Rows in these commits.
    pub rows: u64,
    /// Commits that failed or whose reply was lost.
    pub failed: u64,
    /// Writes rejected without being sent: the queue was full, the breaker was open, or the write
    /// timed out in the queue.
    pub refused: u64,
}

/// A handle to the task that commits the batches; dropping the handle aborts the task.
pub(super) struct Batch {
    shared: Arc<Shared>,
    task: AbortHandle,
}

struct Shared {
    limits: Limits,
    state: Mutex<State>,
    /// Notified when a write was queued.
    queued: Notify,
}

struct State {
    queue: VecDeque<QueuedWrite>,
    breaker: CircuitBreaker,
    stats: Stats,
}

struct QueuedWrite {
    write: Write,
    reply: oneshot::Sender<Result<Written>>,
    queued_at: Instant,
}

impl QueuedWrite {
    fn size(&self) -> usize {
        self.write.key.len() + self.write.value.as_ref().map_or(0, String::len)
    }

    /// Sends the result, unless the receiver was dropped.
    fn answer(self, result: Result<Written>) {
        _ = self.reply.send(result);
    }
}

impl Batch {
    /// Starts the committing task.
    pub(super) fn start<T: Table>(table: T, limits: Limits) -> Batch {
        let breaker = CircuitBreaker::new(limits.probe);
        let state = State { queue: VecDeque::new(), breaker, stats: Stats::default() };
        let shared = Arc::new(Shared { limits, state: Mutex::new(state), queued: Notify::new() });
        let committer = Committer {
            table,
            shared: shared.clone(),
            in_flight: JoinSet::new(),
            next_start: Instant::now(),
        };
        let task = tokio::spawn(committer.run()).abort_handle();
        Batch { shared, task }
    }

    /// Queues a write and waits for its result. Fails immediately while the breaker is open or the
    /// queue is full.
    pub(super) async fn write(&self, write: Write) -> Result<Written> {
        let (reply, answer) = oneshot::channel();
        self.shared.push(QueuedWrite { write, reply, queued_at: Instant::now() })?;
        self.shared.queued.notify_one();
        answer.await.unwrap_or_else(|_| Err(PlatformError::Lost("the node is stopping".into())))
    }

    /// Returns whether the circuit breaker is open, because the table failed recently.
    pub(super) fn is_open(&self) -> bool {
        self.shared.lock().breaker.is_open()
    }

    pub(super) fn stats(&self) -> Stats {
        self.shared.lock().stats
    }
}

impl Drop for Batch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, item: QueuedWrite) -> Result<()> {
        let mut state = self.lock();
        let rejection = if state.queue.len() >= self.limits.capacity() {
            Some("too many writes wait")
        } else if !state.breaker.allow(Instant::now()) {
            Some("the table has just failed")
        } else {
            None
        };
        if let Some(text) = rejection {
            state.stats.refused += 1;
            return Err(PlatformError::Down(text.into()));
        }
        state.queue.push_back(item);
        Ok(())
    }

    /// Removes and returns the writes that have timed out in the queue, which is ordered by age.
    fn take_expired(&self) -> Vec<QueuedWrite> {
        let mut state = self.lock();
        let is_expired = |item: &&QueuedWrite| item.queued_at.elapsed() >= self.limits.timeout;
        let count = state.queue.iter().take_while(is_expired).count();
        state.stats.refused += count as u64;
        state.queue.drain(..count).collect()
    }

    /// Removes and returns the writes of the next commit.
    fn take_batch(&self) -> Vec<QueuedWrite> {
        let mut state = self.lock();
        let fits = state.queue.iter().scan(0, |bytes, item| {
            *bytes += item.size();
            Some(*bytes <= self.limits.bytes)
        });
        let count = fits.take(self.limits.rows).take_while(|fits| *fits).count();
        let count = count.max(1).min(state.queue.len());
        state.queue.drain(..count).collect()
    }

    fn is_idle(&self) -> bool {
        self.lock().queue.is_empty()
    }
}

/// A completed commit, and its writes.
struct CompletedCommit {
    items: Vec<QueuedWrite>,
    result: Result<Committed>,
    /// Whether there was no reply within [`Limits::reply_timeout`].
    timed_out: bool,
}

struct Committer<T> {
    table: T,
    shared: Arc<Shared>,
    in_flight: JoinSet<CompletedCommit>,
    /// Earliest start of the next commit.
    next_start: Instant,
}

impl<T: Table> Committer<T> {
    async fn run(mut self) {
        loop {
            let can_start = self.in_flight.len() < self.shared.limits.in_flight;
            let due = can_start && !self.shared.is_idle();
            tokio::select! {
                biased;
                Some(completed) = self.in_flight.join_next() => {
                    self.complete_commit(completed.expect("a commit doesn't panic"));
                }
                () = sleep_until(self.next_start), if due => self.start_commit(),
                () = self.shared.queued.notified(), if !due => {}
            }
        }
    }

    fn start_commit(&mut self) {
        let limits = self.shared.limits;
        let expired = self.shared.take_expired();
        let rejection = PlatformError::Down("the write waited too long".into());
        expired.into_iter().for_each(|i| i.answer(Err(rejection.clone())));
        let items = self.shared.take_batch();
        if items.is_empty() {
            return;
        }
        self.next_start = Instant::now() + limits.interval;
        let table = self.table.clone();
        self.in_flight.spawn(async move {
            let writes = items.iter().map(|i| i.write.clone()).collect();
            let commit = Commit { atomic: false, writes };
            match timeout(limits.reply_timeout, table.commit(&commit)).await {
                Ok(result) => CompletedCommit { items, result, timed_out: false },
                Err(_) => {
                    let result = Err(PlatformError::Lost("the table is slow".into()));
                    CompletedCommit { items, result, timed_out: true }
                }
            }
        });
    }

    fn complete_commit(&mut self, CompletedCommit { items, result, timed_out }: CompletedCommit) {
        match check_row_count(result, items.len()) {
            Ok(committed) => {
                self.record_success(items.len());
                for (item, written) in items.into_iter().zip(committed.results) {
                    item.answer(Ok(written));
                }
            }
            Err(error) => {
                let rejected = self.record_failure(timed_out);
                items.into_iter().for_each(|i| i.answer(Err(error.clone())));
                let down = PlatformError::Down(error.to_string());
                rejected.into_iter().for_each(|i| i.answer(Err(down.clone())));
            }
        }
    }

    fn record_success(&self, rows: usize) {
        let mut state = self.shared.lock();
        state.breaker.record_success();
        state.stats.commits += 1;
        state.stats.rows += rows as u64;
    }

    /// Counts a failure. If the breaker is then open, removes and returns the queued writes, which
    /// are rejected too: they would wait for one timeout after another while their callers could
    /// have used another node.
    fn record_failure(&self, timed_out: bool) -> VecDeque<QueuedWrite> {
        let mut state = self.shared.lock();
        state.stats.failed += 1;
        if !state.breaker.record_failure(Instant::now(), timed_out) {
            return VecDeque::new();
        }
        let queue = mem::take(&mut state.queue);
        state.stats.refused += queue.len() as u64;
        queue
    }
}

/// Treats a reply with another number of rows than the commit as lost: its results can't be
/// assigned to rows.
fn check_row_count(result: Result<Committed>, rows: usize) -> Result<Committed> {
    let committed = result?;
    match committed.results.len() == rows {
        true => Ok(committed),
        false => Err(PlatformError::Lost("the table answered for other rows".into())),
    }
}
