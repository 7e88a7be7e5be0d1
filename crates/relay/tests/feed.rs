//! Watching tables of the store through outages.

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

/// A store that swallows every request while it is silent. Both tables hold one row.
#[derive(Clone, Default)]
struct Silent(Rc<State>);

#[derive(Default)]
struct State {
    silent: Cell<bool>,
    revision: Cell<Revision>,
}

impl Silent {
    fn rows(&self) -> Rows {
        let revision = self.0.revision.get();
        let row = Row { key: "k".into(), value: None, revision };
        Rows { rows: vec![row], revision }
    }
}

impl Store for Silent {
    async fn read(&self, _: &str) -> Result<Rows> {
        Ok(self.rows())
    }

    async fn feed(&self, _: &str, after: Revision, wait: Duration) -> Result<Rows> {
        let asked = Instant::now();
        if self.0.silent.get() {
            sleep(wait + Duration::from_millis(1_500)).await;
            return Err(StoreError::Lost("no answer in time".into()));
        }
        while asked.elapsed() < wait && self.0.revision.get() <= after {
            sleep(Duration::from_millis(10)).await;
            if self.0.silent.get() {
                // The connection delivers nothing further, whatever becomes of the store.
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

/// Guards against an outdated catalogue after a silent outage that swallowed a long poll.
#[tokio::test(start_paused = true)]
async fn a_poll_that_an_outage_swallowed_is_repeated() {
    LocalSet::new()
        .run_until(async {
            let store = Silent::default();
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
            store.0.revision.set(7);
            let back = Instant::now();
            let orders = async {
                loop {
                    match events.recv().await.unwrap() {
                        FeedEvent { table: "orders", change: Change::Rows(rows) }
                            if rows.revision == 7 =>
                        {
                            return;
                        }
                        _ => {}
                    }
                }
            };
            timeout(Duration::from_secs(30), orders).await.unwrap();
            assert!(back.elapsed() < Duration::from_millis(1_500), "{:?}", back.elapsed());
        })
        .await;
}

/// A store that rejects requests while it is down, and counts them.
#[derive(Clone, Default)]
struct Refusing(Rc<Refusals>);

#[derive(Default)]
struct Refusals {
    down: Cell<bool>,
    asked: Cell<u32>,
}

impl Refusing {
    fn rows(&self) -> Result<Rows> {
        self.0.asked.set(self.0.asked.get() + 1);
        match self.0.down.get() {
            true => Err(StoreError::Unavailable("down".into())),
            false => Ok(Rows { rows: Vec::new(), revision: 1 }),
        }
    }
}

impl Store for Refusing {
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

/// Load: an outage of eight seconds; one watcher probes for its end, the others wait for the result.
#[tokio::test(start_paused = true)]
async fn one_watcher_detects_the_end_of_an_outage_for_all() {
    LocalSet::new()
        .run_until(async {
            let store = Refusing::default();
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
            store.0.asked.set(0);
            sleep(Duration::from_secs(8)).await;
            let asked = store.0.asked.get();
            assert!((8..=36).contains(&asked), "{asked} questions");
            store.0.down.set(false);
            let back = Instant::now();
            let mut up = BTreeSet::new();
            while up.len() < 4 {
                let FeedEvent { table, change } = events.recv().await.unwrap();
                if matches!(change, Change::Available) {
                    up.insert(table);
                }
            }
            assert!(back.elapsed() <= PROBE_BACKOFF_MAX, "{:?}", back.elapsed());
        })
        .await;
}
