//! An in-memory table with a latency and injected faults.

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

/// Fault of one request to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No fault: the request succeeds.
    None,
    /// The request has no effect, and the table reports that it is down.
    Down,
    /// The request is lost and has no effect.
    LoseRequest,
    /// The request takes effect, but its reply is lost.
    LoseReply,
    /// The request takes effect, but the reply never comes and the connection stays open.
    Hang,
}

/// An in-memory table. Clones share their rows and faults.
#[derive(Clone, Default)]
pub(crate) struct FakeTable {
    latency: Duration,
    /// Latency that each row of a commit adds.
    pub(crate) row_cost: Duration,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
pub(crate) struct State {
    pub(crate) rows: RowStore,
    /// Faults of the next commits, in order; `default_fault` applies after them.
    pub(crate) commit_faults: VecDeque<Fault>,
    /// Faults of the next reads, in order; `default_fault` applies after them.
    pub(crate) read_faults: VecDeque<Fault>,
    /// Fault of each read and commit without a listed one.
    pub(crate) default_fault: Option<Fault>,
    /// Number of rows in each commit so far.
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
        if fault == Fault::LoseRequest {
            return lost;
        }
        let answer = effect(&mut self.state());
        sleep(self.latency / 2).await;
        match fault {
            Fault::LoseReply => lost,
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
            let default_fault = state.default_fault;
            state.commit_faults.pop_front().or(default_fault).unwrap_or(Fault::None)
        };
        sleep(self.row_cost * commit.writes.len() as u32).await;
        self.reply(fault, |state| state.rows.commit(commit)).await
    }

    async fn read(&self, read: &Read) -> Result<Rows> {
        let fault = {
            let mut state = self.state();
            let default_fault = state.default_fault;
            state.read_faults.pop_front().or(default_fault).unwrap_or(Fault::None)
        };
        self.reply(fault, |state| state.rows.read(read)).await
    }

    async fn scan(&self, scan: &Scan) -> Result<Rows> {
        self.reply(Fault::None, |state| state.rows.scan(scan)).await
    }
}
