//! Watchers of all tables.

use {
    super::{
        feed::{self, Change, FeedEvent, FeedWatcher, PROBE_BACKOFF_MAX, STANDBY_BACKOFF_MAX},
        join,
    },
    crate::{
        metrics::Metrics,
        records::Records,
        settings::Settings,
        store::{Result, Revision, Rows, Store, StoreError},
        table_sync::TableSync,
    },
    bilberryfront_decide::member::message::TableId,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        sync::{Notify, mpsc, watch},
        time::timeout,
    },
};

/// Long-poll wait for operators' rows; limits the time until a lost response is detected.
const OPERATORS_WAIT: Duration = Duration::from_secs(5);
/// Minimum long-poll wait for runner registrations; limits the time until an outage without error
/// responses is detected.
const RUNNERS_WAIT_MIN: Duration = Duration::from_secs(1);
/// Long-poll wait per reader of the whole system, so that the total poll rate does not depend on
/// their number.
const RUNNERS_WAIT_READER: Duration = Duration::from_millis(400);
/// Maximum long-poll wait for runner registrations.
const RUNNERS_WAIT_MAX: Duration = Duration::from_secs(5);
/// Long-poll wait for rows that are also distributed by gossip, or that change rarely.
const RARE_WAIT: Duration = Duration::from_secs(30);
/// Minimum interval of polls for node registrations, so that nodes that start at the same time do
/// not fetch each other's rows one by one.
const NODES_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum interval of polls for runner registrations, as a share of the time within which new
/// requests to a draining runner must stop. The rest is reserved for repeating a failed poll.
const RUNNERS_SHARE: f64 = 0.45;
/// Time after which a check is passed on to another node.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Capacity of the event channel.
const EVENTS: usize = 64;

/// A watched table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchedTable {
    /// Table that is replicated within the failure domain.
    Replicated(TableId),
    /// Registrations of nodes, which are replicated by gossip.
    Nodes,
}

/// Rows that were read without a watcher.
pub(super) enum Loaded {
    /// Contents of a table, before the replication provides it.
    Table(TableId, Result<Rows>),
    /// Change of the operators' table that a check has found.
    Check(Change),
    /// The store has not responded to a check in time.
    CheckFailed,
}

/// Handles that control the watchers.
pub(super) struct Feeds {
    /// Whether the operators' table is polled.
    polling: watch::Sender<bool>,
    /// Whether the other tables are polled.
    reading: watch::Sender<bool>,
    revisions: [Rc<Cell<Option<Revision>>>; TableId::ALL.len()],
    nodes_revision: Rc<Cell<Option<Revision>>>,
    /// Number of recoveries of the store; see [`FeedWatcher::recoveries`].
    recoveries: watch::Sender<u32>,
    /// Latest known era of the store.
    era: Cell<u64>,
    runners_wait: Rc<Cell<Duration>>,
    load: Rc<Notify>,
    /// Revision from which the operators' table is to be checked.
    check: watch::Sender<Option<Revision>>,
}

impl Feeds {
    /// Starts the watchers, which do not poll before [`Feeds::set_active`].
    pub(super) fn start<R: Records, S: Store>(
        settings: &Settings,
        store: &S,
        metrics: &Metrics,
    ) -> (Feeds, mpsc::Receiver<FeedEvent<WatchedTable>>, mpsc::Receiver<Loaded>) {
        let (sender, events) = mpsc::channel(EVENTS);
        let (loader, loaded) = mpsc::channel(EVENTS);
        let feeds = Feeds {
            polling: watch::Sender::new(false),
            reading: watch::Sender::new(false),
            revisions: Default::default(),
            nodes_revision: Rc::default(),
            recoveries: watch::Sender::new(0),
            era: Cell::default(),
            runners_wait: Rc::new(Cell::new(RUNNERS_WAIT_MIN)),
            load: Rc::default(),
            check: watch::Sender::new(None),
        };
        let watch = |name, table, min_interval, wait: &Rc<Cell<Duration>>| {
            let (revision, max_backoff, active) = match table {
                WatchedTable::Replicated(TableId::Operators) => {
                    (feeds.revision(TableId::Operators), PROBE_BACKOFF_MAX, &feeds.polling)
                }
                WatchedTable::Replicated(id) => {
                    (feeds.revision(id), STANDBY_BACKOFF_MAX, &feeds.reading)
                }
                WatchedTable::Nodes => {
                    (feeds.nodes_revision.clone(), STANDBY_BACKOFF_MAX, &feeds.reading)
                }
            };
            let watcher = FeedWatcher {
                store: store.clone(),
                name,
                table,
                min_interval,
                wait: wait.clone(),
                max_backoff,
                active: active.subscribe(),
                revision,
                recoveries: feeds.recoveries.clone(),
                metrics: metrics.clone(),
            };
            tokio::task::spawn_local(watcher.run(sender.clone()));
        };
        let fixed = |wait| Rc::new(Cell::new(wait));
        let replicated = WatchedTable::Replicated;
        let runners_every = settings.bounds.drain_reaction_time().mul_f64(RUNNERS_SHARE);
        watch(R::ORDERS, replicated(TableId::Operators), Duration::ZERO, &fixed(OPERATORS_WAIT));
        watch(R::RUNNERS, replicated(TableId::Runners), runners_every, &feeds.runners_wait);
        watch(R::STATUS, replicated(TableId::Statuses), Duration::ZERO, &fixed(RARE_WAIT));
        watch(join::TABLE, WatchedTable::Nodes, NODES_INTERVAL, &fixed(RARE_WAIT));
        for (name, table) in [(R::ORDERS, TableId::Operators), (R::RUNNERS, TableId::Runners)] {
            let load = load(store.clone(), name, table, feeds.load.clone(), loader.clone());
            tokio::task::spawn_local(load);
        }
        let check =
            check(store.clone(), R::ORDERS, feeds.check.subscribe(), loader, metrics.clone());
        tokio::task::spawn_local(check);
        (feeds, events, loaded)
    }

    /// Checks once whether the store has later rows of the operators' table than at a revision.
    pub(super) fn check(&self, revision: Option<Revision>) {
        self.check.send_replace(revision);
    }

    /// Repeats the polls that have been pending for some time.
    pub(super) fn repeat_polls(&self) {
        self.recoveries.send_modify(|count| *count += 1);
    }

    /// Reads once each table that is needed to serve requests.
    pub(super) fn load_once(&self) {
        self.load.notify_waiters();
    }

    /// Starts or stops polling. Feeds resume from the revisions of the replicated tables. Polls from
    /// before a restoration are repeated, whichever table or peer has shown it.
    pub(super) fn set_active(&self, sync: &TableSync) {
        if self.era.replace(sync.era()) < sync.era() {
            self.recoveries.send_modify(|count| *count += 1);
        }
        if *self.polling.borrow() != sync.is_polling() {
            log::info!(active = sync.is_polling(); "polling of the store started or stopped");
        }
        self.switch(&self.polling, sync.is_polling(), &[TableId::Operators], sync);
        let others = [TableId::Runners, TableId::Statuses];
        self.switch(&self.reading, sync.is_reading(), &others, sync);
    }

    fn switch(&self, active: &watch::Sender<bool>, to: bool, tables: &[TableId], sync: &TableSync) {
        if *active.borrow() == to {
            return;
        }
        for table in tables {
            self.revision(*table).set(sync.revision(*table));
        }
        active.send_replace(to);
    }

    /// Sets the revision from which the feed of node registrations resumes.
    pub(super) fn set_nodes_revision(&self, revision: Revision) {
        self.nodes_revision.set(Some(revision));
    }

    /// Adapts the long-poll wait for runner registrations to the number of readers of the whole
    /// system.
    pub(super) fn set_readers(&self, readers: usize) {
        let wait = RUNNERS_WAIT_READER.mul_f64(readers as f64);
        self.runners_wait.set(wait.clamp(RUNNERS_WAIT_MIN, RUNNERS_WAIT_MAX));
    }

    fn revision(&self, table: TableId) -> Rc<Cell<Option<Revision>>> {
        self.revisions[table as usize].clone()
    }
}

/// Reads a table each time it is requested.
async fn load<S: Store>(
    store: S,
    name: &'static str,
    table: TableId,
    requested: Rc<Notify>,
    loader: mpsc::Sender<Loaded>,
) {
    loop {
        requested.notified().await;
        let rows = store.read(name).await;
        if loader.send(Loaded::Table(table, rows)).await.is_err() {
            return;
        }
    }
}

/// Checks the operators' table each time it is requested. The table is not read if the store does not
/// respond to this node.
async fn check<S: Store>(
    store: S,
    name: &'static str,
    mut requested: watch::Receiver<Option<Revision>>,
    loader: mpsc::Sender<Loaded>,
    metrics: Metrics,
) {
    while requested.changed().await.is_ok() {
        let Some(revision) = *requested.borrow_and_update() else { continue };
        let response = store.feed(name, revision, Duration::ZERO);
        tokio::pin!(response);
        let response = match timeout(CHECK_TIMEOUT, &mut response).await {
            Ok(response) => response,
            Err(_) => {
                if loader.send(Loaded::CheckFailed).await.is_err() {
                    return;
                }
                response.await
            }
        };
        metrics.count_store_poll(name, feed::outcome(&response));
        let change = match response {
            Err(StoreError::Compacted | StoreError::Restored) => {
                store.read(name).await.map(Change::Snapshot)
            }
            rows => rows.map(Change::Rows),
        };
        let result = change.map_or_else(
            |error| {
                log::debug!(table = name; "check failed: {error}");
                Loaded::CheckFailed
            },
            Loaded::Check,
        );
        if loader.send(result).await.is_err() {
            return;
        }
    }
}
