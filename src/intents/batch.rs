//! Many conditional writes in few commits.
//!
//! The table counts a commit as one write whatever its rows. While commits are under way, or the
//! node's share of the table's writes is used up, further writes wait and then go together.

use {
    super::gate::Gate,
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

/// Bounds of the batching.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Most rows in a commit.
    pub rows: usize,
    /// Most bytes of keys and values in a commit; one larger row goes alone.
    pub bytes: usize,
    /// Most commits under way.
    pub in_flight: usize,
    /// Shortest time between the starts of two commits: one over this node's share of writes.
    pub interval: Duration,
    /// Most writes that wait.
    pub queue: usize,
    /// Age at which a write that still waits for its commit is refused. Its caller wouldn't wait
    /// longer; and only a process that was paused has writes that are hours old, whose rows may have
    /// been swept meanwhile, so that the revisions they expect belong to other rows.
    pub timeout: Duration,
    /// Longest wait for a commit or a read; its reply then counts as lost.
    pub reply_timeout: Duration,
    /// Time between two probes while the table fails.
    pub probe: Duration,
}

impl Default for Limits {
    /// For one of six nodes that share 300 writes a second.
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
    /// Writes that can wait and still go in time. One more is refused at once, rather than after a
    /// wait in vain.
    fn room(&self) -> usize {
        let gap = self.interval.as_secs_f64().max(f64::MIN_POSITIVE);
        let commits = (self.timeout.as_secs_f64() / gap) as usize;
        self.queue.min(commits.max(1).saturating_mul(self.rows))
    }
}

/// What has been done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Commits that the table answered.
    pub commits: u64,
    /// Rows in these.
    pub rows: u64,
    /// Commits that failed or whose reply was lost.
    pub failed: u64,
    /// Writes refused at once: the queue was full or the table failing.
    pub refused: u64,
}

/// A handle to the committing task, which ends with it.
pub(super) struct Batch {
    shared: Arc<Shared>,
    task: AbortHandle,
}

struct Shared {
    limits: Limits,
    state: Mutex<State>,
    bell: Notify,
}

struct State {
    waiting: VecDeque<Item>,
    gate: Gate,
    stats: Stats,
}

struct Item {
    write: Write,
    reply: oneshot::Sender<Result<Written>>,
    born: Instant,
}

impl Item {
    fn size(&self) -> usize {
        self.write.key.len() + self.write.value.as_ref().map_or(0, String::len)
    }

    /// The receiver may be gone.
    fn answer(self, result: Result<Written>) {
        _ = self.reply.send(result);
    }
}

impl Batch {
    /// Starts the committing task.
    pub(super) fn start<T: Table>(table: T, limits: Limits) -> Batch {
        let gate = Gate::new(limits.probe);
        let state = State { waiting: VecDeque::new(), gate, stats: Stats::default() };
        let shared = Arc::new(Shared { limits, state: Mutex::new(state), bell: Notify::new() });
        let committer = Committer {
            table,
            shared: shared.clone(),
            flights: JoinSet::new(),
            slot: Instant::now(),
        };
        let task = tokio::spawn(committer.run()).abort_handle();
        Batch { shared, task }
    }

    /// Writes one row with others. Refuses at once when the table fails or too many wait.
    pub(super) async fn write(&self, write: Write) -> Result<Written> {
        let (reply, answer) = oneshot::channel();
        self.shared.push(Item { write, reply, born: Instant::now() })?;
        self.shared.bell.notify_one();
        answer.await.unwrap_or_else(|_| Err(PlatformError::Lost("the node is stopping".into())))
    }

    /// Whether the table has just failed.
    pub(super) fn is_shut(&self) -> bool {
        self.shared.lock().gate.is_shut()
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

    fn push(&self, item: Item) -> Result<()> {
        let mut state = self.lock();
        let refusal = if state.waiting.len() >= self.limits.room() {
            Some("too many writes wait")
        } else if !state.gate.admit(Instant::now()) {
            Some("the table has just failed")
        } else {
            None
        };
        if let Some(text) = refusal {
            state.stats.refused += 1;
            return Err(PlatformError::Down(text.into()));
        }
        state.waiting.push_back(item);
        Ok(())
    }

    /// The writes that have waited too long; the oldest stand in front.
    fn take_late(&self) -> Vec<Item> {
        let mut state = self.lock();
        let late = |item: &&Item| item.born.elapsed() >= self.limits.timeout;
        let count = state.waiting.iter().take_while(late).count();
        state.stats.refused += count as u64;
        state.waiting.drain(..count).collect()
    }

    /// The writes of the next commit.
    fn take(&self) -> Vec<Item> {
        let mut state = self.lock();
        let room = state.waiting.iter().scan(0, |bytes, item| {
            *bytes += item.size();
            Some(*bytes <= self.limits.bytes)
        });
        let count = room.take(self.limits.rows).take_while(|fits| *fits).count();
        let count = count.max(1).min(state.waiting.len());
        state.waiting.drain(..count).collect()
    }

    fn is_idle(&self) -> bool {
        self.lock().waiting.is_empty()
    }
}

/// A commit that came back, and the writes it carried.
struct Landed {
    items: Vec<Item>,
    result: Result<Committed>,
    /// No reply within [`Limits::reply_timeout`].
    hung: bool,
}

struct Committer<T> {
    table: T,
    shared: Arc<Shared>,
    flights: JoinSet<Landed>,
    /// Earliest start of the next commit.
    slot: Instant,
}

impl<T: Table> Committer<T> {
    async fn run(mut self) {
        loop {
            let can_start = self.flights.len() < self.shared.limits.in_flight;
            let due = can_start && !self.shared.is_idle();
            tokio::select! {
                biased;
                Some(landed) = self.flights.join_next() => {
                    self.land(landed.expect("a commit doesn't panic"));
                }
                () = sleep_until(self.slot), if due => self.launch(),
                () = self.shared.bell.notified(), if !due => {}
            }
        }
    }

    fn launch(&mut self) {
        let limits = self.shared.limits;
        let late = self.shared.take_late();
        let refusal = PlatformError::Down("the write waited too long".into());
        late.into_iter().for_each(|i| i.answer(Err(refusal.clone())));
        let items = self.shared.take();
        if items.is_empty() {
            return;
        }
        self.slot = Instant::now() + limits.interval;
        let table = self.table.clone();
        self.flights.spawn(async move {
            let writes = items.iter().map(|i| i.write.clone()).collect();
            let commit = Commit { atomic: false, writes };
            match timeout(limits.reply_timeout, table.commit(&commit)).await {
                Ok(result) => Landed { items, result, hung: false },
                Err(_) => {
                    let result = Err(PlatformError::Lost("the table is slow".into()));
                    Landed { items, result, hung: true }
                }
            }
        });
    }

    fn land(&mut self, Landed { items, result, hung }: Landed) {
        match check(result, items.len()) {
            Ok(committed) => {
                self.note_success(items.len());
                for (item, written) in items.into_iter().zip(committed.results) {
                    item.answer(Ok(written));
                }
            }
            Err(error) => {
                let refused = self.note_failure(hung);
                items.into_iter().for_each(|i| i.answer(Err(error.clone())));
                let down = PlatformError::Down(error.to_string());
                refused.into_iter().for_each(|i| i.answer(Err(down.clone())));
            }
        }
    }

    fn note_success(&self, rows: usize) {
        let mut state = self.shared.lock();
        state.gate.succeeded();
        state.stats.commits += 1;
        state.stats.rows += rows as u64;
    }

    /// Counts a failure. When it shuts the gate, what waits is refused too: it would else wait for
    /// one timeout after another while its caller could have gone elsewhere.
    fn note_failure(&self, hung: bool) -> VecDeque<Item> {
        let mut state = self.shared.lock();
        state.stats.failed += 1;
        if !state.gate.failed(Instant::now(), hung) {
            return VecDeque::new();
        }
        let waiting = mem::take(&mut state.waiting);
        state.stats.refused += waiting.len() as u64;
        waiting
    }
}

/// An answer that doesn't match the commit tells nothing of any row.
fn check(result: Result<Committed>, rows: usize) -> Result<Committed> {
    let committed = result?;
    match committed.results.len() == rows {
        true => Ok(committed),
        false => Err(PlatformError::Lost("the table answered for other rows".into())),
    }
}
