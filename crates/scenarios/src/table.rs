//! In-memory version of the platform's table, and each node's connection to it.

use {
    crate::{
        gate::Gate,
        language::TableAction,
        net::{Net, PLATFORM},
    },
    bilberryfront::platform::{
        http::{PlatformError, Result},
        table::Table,
    },
    bilberryfront_standins::rows::RowStore,
    bilberryfront_wire::table::{Commit, Committed, Read, Rows, Scan},
    compact_str::CompactString,
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering::SeqCst},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

/// The table service; clones share the state.
#[derive(Clone, Default)]
pub(crate) struct TableService {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    rows: RowStore,
    /// Rows that a restoration brings back.
    backup: RowStore,
    /// Rows that reads return instead of `rows`.
    stale: Option<RowStore>,
    down: bool,
    slow: Duration,
    lost_replies: u32,
    lost_commits: u32,
}

/// One node's connection to the table service.
#[derive(Clone)]
pub(crate) struct TableLink {
    pub(crate) name: CompactString,
    pub(crate) net: Net,
    pub(crate) service: TableService,
    pub(crate) gate: Gate,
    pub(crate) cut: Arc<AtomicBool>,
}

impl TableService {
    /// Applies an action or a fault.
    pub(crate) fn apply_action(&self, action: TableAction) {
        let mut state = self.state.lock().unwrap();
        match action {
            TableAction::Up => {
                let rows = std::mem::take(&mut state.rows);
                let backup = std::mem::take(&mut state.backup);
                *state = State { rows, backup, ..State::default() };
            }
            TableAction::Down => state.down = true,
            TableAction::Slow(ms) => state.slow = Duration::from_millis(ms),
            TableAction::LoseReplies(count) => state.lost_replies = count,
            TableAction::LoseCommits(count) => state.lost_commits = count,
            TableAction::StaleReads => state.stale = Some(state.rows.clone()),
            TableAction::BackUp => state.backup = state.rows.clone(),
            TableAction::Restore => state.rows = state.backup.clone(),
        }
    }

    fn down(&self) -> bool {
        self.state.lock().unwrap().down
    }

    fn slow(&self) -> Duration {
        Duration::from_millis(2) + self.state.lock().unwrap().slow
    }
}

impl TableLink {
    async fn exchange<A>(&self, action: impl FnOnce(&mut State) -> Result<A>) -> Result<A> {
        self.gate.wait_until_running().await;
        sleep(self.service.slow() / 2).await;
        if self.service.down()
            || self.cut.load(SeqCst)
            || !self.net.is_connected(&self.name, PLATFORM)
        {
            return Err(PlatformError::Down("fake: table not reachable".into()));
        }
        let answer = action(&mut self.service.state.lock().unwrap());
        sleep(self.service.slow() / 2).await;
        self.gate.wait_until_running().await;
        answer
    }
}

impl Table for TableLink {
    async fn commit(&self, commit: &Commit) -> Result<Committed> {
        self.exchange(|state| {
            if state.lost_commits > 0 {
                state.lost_commits -= 1;
                return Err(PlatformError::Lost("fake: commit lost before it took effect".into()));
            }
            let done = state.rows.commit(commit);
            if state.lost_replies > 0 {
                state.lost_replies -= 1;
                return Err(PlatformError::Lost(
                    "fake: reply lost after the commit took effect".into(),
                ));
            }
            Ok(done)
        })
        .await
    }

    async fn read(&self, read: &Read) -> Result<Rows> {
        self.exchange(|state| {
            let rows = state.stale.as_ref().unwrap_or(&state.rows);
            Ok(rows.read(read))
        })
        .await
    }

    async fn scan(&self, scan: &Scan) -> Result<Rows> {
        self.exchange(|state| Ok(state.rows.scan(scan))).await
    }
}
