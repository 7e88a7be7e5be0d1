//! A table in memory, with a latency and faults to come.

use {
    bilberryfront::platform::{
        http::{PlatformError, Result},
        table::Table,
    },
    bilberryfront_standins::rows::RowStore,
    bilberryfront_wire::table::{Commit, Committed, Read, Rows, Scan},
    std::{
        collections::VecDeque,
        future::pending,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::time::sleep,
};

/// What is to go wrong with one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing: an exchange that goes well.
    Fine,
    /// No effect, and the table says so.
    Down,
    /// No effect, and no reply.
    LostBefore,
    /// The effect, but no reply.
    LostAfter,
    /// The effect, and never a reply.
    Hang,
}

/// A table in memory. Clones share it.
#[derive(Clone, Default)]
pub(crate) struct FakeTable {
    latency: Duration,
    /// What each row of a commit adds to its latency.
    pub(crate) row_cost: Duration,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
pub(crate) struct State {
    pub(crate) rows: RowStore,
    /// Faults of the next commits, in order; then `always`.
    pub(crate) commits: VecDeque<Fault>,
    /// Faults of the next reads, in order; then `always`.
    pub(crate) reads: VecDeque<Fault>,
    /// Fault of every other exchange.
    pub(crate) always: Option<Fault>,
    /// Rows of each commit so far.
    pub(crate) commit_sizes: Vec<usize>,
}

impl FakeTable {
    pub(crate) fn new(latency: Duration) -> FakeTable {
        FakeTable { latency, row_cost: Duration::ZERO, state: Arc::default() }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no test panics while it holds the table")
    }

    async fn reply<A>(&self, fault: Fault, effect: impl FnOnce(&mut State) -> A) -> Result<A> {
        sleep(self.latency / 2).await;
        if fault == Fault::Down {
            return Err(PlatformError::Down("fake".into()));
        }
        let lost = Err(PlatformError::Lost("fake".into()));
        if fault == Fault::LostBefore {
            return lost;
        }
        let answer = effect(&mut self.state());
        sleep(self.latency / 2).await;
        match fault {
            Fault::LostAfter => lost,
            Fault::Hang => pending().await,
            _ => Ok(answer),
        }
    }
}

impl Table for FakeTable {
    async fn commit(&self, commit: &Commit) -> Result<Committed> {
        let fault = {
            let mut state = self.state();
            state.commit_sizes.push(commit.writes.len());
            let always = state.always;
            state.commits.pop_front().or(always).unwrap_or(Fault::Fine)
        };
        sleep(self.row_cost * commit.writes.len() as u32).await;
        self.reply(fault, |state| state.rows.commit(commit)).await
    }

    async fn read(&self, read: &Read) -> Result<Rows> {
        let fault = {
            let mut state = self.state();
            let always = state.always;
            state.reads.pop_front().or(always).unwrap_or(Fault::Fine)
        };
        self.reply(fault, |state| state.rows.read(read)).await
    }

    async fn scan(&self, scan: &Scan) -> Result<Rows> {
        self.reply(Fault::Fine, |state| state.rows.scan(scan)).await
    }
}
