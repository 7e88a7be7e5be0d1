//! Watching tables of the store during outages.

use {
    bilberryfront_relay::{
        control::feed::{Change, FeedEvent, FeedWatcher, PROBE_BACKOFF_MAX, STANDBY_BACKOFF_MAX},
        metrics::Metrics,
        store::{Result, Revision, Row, Rows, Store, StoreError, Write},
    },
    std::{cell::Cell, collections::BTreeSet, future::pending, rc::Rc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        task::LocalSet,
        time::{Instant, sleep, timeout},
    },
};

/// A store that does not respond while it is silent. Both tables have one row.
#[derive(Clone, Default)]
struct SilentStore(Rc<SilentState>);

#[derive(Default)]
struct SilentState {
    silent: Cell<bool>,
    revision: Cell<Revision>,
}

impl SilentStore {
    fn rows(&self) -> Rows {
        let revision = self.0.revision.get();
        let row = Row { key: "k".into(), value: None, revision };
        Rows { rows: vec![row], revision }
    }
}

impl Store for SilentStore {
    async fn read(&self, _: &str) -> Result<Rows> {
        Ok(self.rows())
    }

    async fn feed(&self, _: &str, after: Revision, wait: Duration) -> Result<Rows> {
        let start = Instant::now();
        if self.0.silent.get() {
            sleep(wait + Duration::from_millis(1_500)).await;
            return Err(StoreError::Lost("no answer in time".into()));
        }
        while start.elapsed() < wait && self.0.revision.get() <= after {
            sleep(Duration::from_millis(10)).await;
            if self.0.silent.get() {
                // The connection delivers no response, even if the store becomes available again.
                sleep(wait + Duration::from_millis(1_500)).await;
                return Err(StoreError::Lost("no answer in time".into()));
            }
        }
        Ok(self.rows())
    }

    async fn write(&self, _: &[Write]) -> Result<Revision> {
        pending().await
    }
}

/// Guards against an outdated catalogue after an outage in which a long poll was lost without an
/// error.
#[tokio::test(start_paused = true)]
async fn poll_lost_in_an_outage_is_repeated() {
    LocalSet::new()
        .run_until(async {
            let store = SilentStore::default();
            let recoveries = watch::Sender::new(0);
            let active = watch::Sender::new(true);
            let (sender, mut events) = mpsc::channel(64);
            for (table, wait) in [("orders", 5_000), ("runners", 1_000)] {
                let watcher = FeedWatcher {
                    store: store.clone(),
                    name: table,
                    table,
                    active: active.subscribe(),
                    revision: Rc::default(),
                    min_interval: Duration::ZERO,
                    wait: Rc::new(Cell::new(Duration::from_millis(wait))),
                    max_backoff: PROBE_BACKOFF_MAX,
                    recoveries: recoveries.clone(),
                    metrics: Metrics::default(),
                };
                tokio::task::spawn_local(watcher.run(sender.clone()));
            }
            sleep(Duration::from_millis(100)).await;
            store.0.silent.set(true);
            sleep(Duration::from_secs(4)).await;
            store.0.silent.set(false);
            store.0.revision.set(Revision::new(0, 7));
            let recovered_at = Instant::now();
            let orders = async {
                loop {
                    match events.recv().await.unwrap() {
                        FeedEvent { table: "orders", change: Change::Rows(rows) }
                            if rows.revision.number == 7 =>
                        {
                            return;
                        }
                        _ => {}
                    }
                }
            };
            timeout(Duration::from_secs(30), orders).await.unwrap();
            assert!(
                recovered_at.elapsed() < Duration::from_millis(1_500),
                "{:?}",
                recovered_at.elapsed()
            );
        })
        .await;
}

/// A store that counts requests and rejects them while it is down.
#[derive(Clone, Default)]
struct RejectingStore(Rc<RejectingState>);

#[derive(Default)]
struct RejectingState {
    down: Cell<bool>,
    calls: Cell<u32>,
}

impl RejectingStore {
    fn rows(&self) -> Result<Rows> {
        self.0.calls.set(self.0.calls.get() + 1);
        match self.0.down.get() {
            true => Err(StoreError::Unavailable("down".into())),
            false => Ok(Rows { rows: Vec::new(), revision: Revision::new(0, 1) }),
        }
    }
}

impl Store for RejectingStore {
    async fn read(&self, _: &str) -> Result<Rows> {
        self.rows()
    }

    async fn feed(&self, _: &str, _: Revision, wait: Duration) -> Result<Rows> {
        let rows = self.rows()?;
        sleep(wait).await;
        Ok(rows)
    }

    async fn write(&self, _: &[Write]) -> Result<Revision> {
        pending().await
    }
}

/// Load: an outage of eight seconds. One watcher polls often to detect its end, the others poll
/// rarely and are notified.
#[tokio::test(start_paused = true)]
async fn one_watcher_detects_the_end_of_an_outage_for_all() {
    LocalSet::new()
        .run_until(async {
            let store = RejectingStore::default();
            let recoveries = watch::Sender::new(0);
            let active = watch::Sender::new(true);
            let (sender, mut events) = mpsc::channel(64);
            for table in ["orders", "runners", "nodes", "status"] {
                let watcher = FeedWatcher {
                    store: store.clone(),
                    name: table,
                    table,
                    active: active.subscribe(),
                    revision: Rc::default(),
                    min_interval: Duration::ZERO,
                    wait: Rc::new(Cell::new(Duration::from_secs(1))),
                    max_backoff: if table == "orders" {
                        PROBE_BACKOFF_MAX
                    } else {
                        STANDBY_BACKOFF_MAX
                    },
                    recoveries: recoveries.clone(),
                    metrics: Metrics::default(),
                };
                tokio::task::spawn_local(watcher.run(sender.clone()));
            }
            sleep(Duration::from_millis(100)).await;
            store.0.down.set(true);
            sleep(Duration::from_secs(1)).await;
            store.0.calls.set(0);
            sleep(Duration::from_secs(8)).await;
            let calls = store.0.calls.get();
            assert!((8..=36).contains(&calls), "{calls} polls");
            store.0.down.set(false);
            let recovered_at = Instant::now();
            let mut recovered = BTreeSet::new();
            while recovered.len() < 4 {
                let FeedEvent { table, change } = events.recv().await.unwrap();
                if matches!(change, Change::Available) {
                    recovered.insert(table);
                }
            }
            assert!(recovered_at.elapsed() <= PROBE_BACKOFF_MAX, "{:?}", recovered_at.elapsed());
        })
        .await;
}
