//! An in-memory table service with faults that a test injects.

use {
    bilberryfront::platform::{
        http::{PlatformError, Result},
        table::Table,
    },
    bilberryfront_standins::rows::RowStore,
    bilberryfront_wire::table::{Commit, Committed, Read, Rows, Scan},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard},
    },
};

/// Fault of one commit.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The commit takes effect, but its reply is lost.
    LoseReply,
    /// The commit is lost before it takes effect; there is no reply.
    LoseCommit,
    /// The service replies that it is down.
    Down,
    /// The commit takes effect, its reply is lost, and the service is down from then on.
    CommitThenDown,
    /// Another commit takes effect before this one.
    Race(Commit),
}

/// The table service; clones share their rows.
#[derive(Clone, Default)]
pub(crate) struct FakeTable {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    rows: RowStore,
    faults: VecDeque<Fault>,
    commits: Vec<Commit>,
    down: bool,
}

impl FakeTable {
    /// Injects faults into the next commits, one each.
    pub(crate) fn inject_faults(&self, faults: impl IntoIterator<Item = Fault>) {
        self.lock().faults.extend(faults);
    }

    /// Sets whether reads and commits fail because the service is down.
    pub(crate) fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Returns an independent table with the same rows and no faults.
    pub(crate) fn fork(&self) -> FakeTable {
        let rows = self.lock().rows.clone();
        FakeTable { state: Arc::new(Mutex::new(State { rows, ..State::default() })) }
    }

    /// Removes the remaining faults.
    pub(crate) fn clear_faults(&self) {
        self.lock().faults.clear();
    }

    /// Returns all commits that were sent, with or without effect.
    pub(crate) fn commits(&self) -> Vec<Commit> {
        self.lock().commits.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

impl Table for FakeTable {
    async fn commit(&self, commit: &Commit) -> Result<Committed> {
        let mut state = self.lock();
        state.commits.push(commit.clone());
        let down = Err(PlatformError::Down("switched off".into()));
        let lost = Err(PlatformError::Lost("switched off".into()));
        let fault = state.faults.pop_front();
        match fault {
            _ if state.down => down,
            None => Ok(state.rows.commit(commit)),
            Some(Fault::Down) => down,
            Some(Fault::LoseCommit) => lost,
            Some(Fault::LoseReply) => {
                state.rows.commit(commit);
                lost
            }
            Some(Fault::CommitThenDown) => {
                state.rows.commit(commit);
                state.down = true;
                lost
            }
            Some(Fault::Race(first)) => {
                state.rows.commit(&first);
                Ok(state.rows.commit(commit))
            }
        }
    }

    async fn read(&self, read: &Read) -> Result<Rows> {
        let state = self.lock();
        if state.down {
            return Err(PlatformError::Down("switched off".into()));
        }
        Ok(state.rows.read(read))
    }

    async fn scan(&self, scan: &Scan) -> Result<Rows> {
        Ok(self.lock().rows.scan(scan))
    }
}
