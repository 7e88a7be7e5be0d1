//! Following the store's tables through outages.

use {
    bilberryfront_relay::{
        control::follow::{Change, Follower, News},
        store::{Result, Revision, Row, Rows, Store, StoreError, Write},
    },
    std::{cell::Cell, future::pending, rc::Rc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        task::LocalSet,
        time::{Instant, sleep, timeout},
    },
};

/// A store that swallows every question that it is asked while it is silent. Both its tables hold one
/// row, which the orders' feed tells of once.
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
        let row = Row { table: "t".into(), key: "k".into(), value: None, revision };
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

/// The store is silent for four seconds. The question for orders, which waits long since orders are rare,
/// is swallowed; the one for runners fails and is answered again as soon as the store is back. Callers
/// of the newest catalogue would be refused by the older one until the first question's timeout; so it
/// is asked anew when the other one is answered.
#[tokio::test(start_paused = true)]
async fn a_question_that_an_outage_swallowed_is_asked_anew() {
    LocalSet::new()
        .run_until(async {
            let store = Silent::default();
            let returns = watch::Sender::new(0);
            let (sender, mut news) = mpsc::channel(64);
            for (table, wait) in [("orders", 5_000), ("runners", 1_000)] {
                let follower = Follower {
                    store: store.clone(),
                    table,
                    every: Duration::ZERO,
                    wait: Rc::new(Cell::new(Duration::from_millis(wait))),
                    returns: returns.clone(),
                };
                tokio::task::spawn_local(follower.run(sender.clone()));
            }
            sleep(Duration::from_millis(100)).await;
            store.0.silent.set(true);
            sleep(Duration::from_secs(4)).await;
            store.0.silent.set(false);
            store.0.revision.set(7);
            let back = Instant::now();
            let orders = async {
                loop {
                    match news.recv().await.unwrap() {
                        News { table: "orders", change: Change::Rows(rows) }
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
