//! An in-memory store of versioned rows with a change feed.
//!
//! - `POST /api/rows-tx`: an atomic transaction, conditional on row versions.
//! - `GET /api/rows-get?table=..&from=..`: a page of rows in key order.
//! - `GET /api/rows-feed?table=..&after_revision=..&wait_ms=..`: long-polls for rows changed after a
//!   version.

use {
    crate::{
        fault_injector::FaultInjector,
        server::{Handle, json, parse_json, with_faults},
    },
    bytes::Bytes,
    compact_str::CompactString,
    http::{StatusCode, Uri},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{sync::watch, time::timeout},
    volo_http::{
        response::Response,
        server::{
            IntoResponse,
            route::{Router, get, post},
        },
        utils::Extension,
    },
};

/// Maximum rows per page.
const MAX_PAGE_ROWS: usize = 500;

/// A row in requests and responses.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Row {
    /// Table.
    pub table: CompactString,
    /// Partition of the table; tests use a single one.
    #[serde(default)]
    pub part: CompactString,
    /// Key.
    pub key: CompactString,
    /// Base64.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// Version of the row, or in a condition the expected version, 0 for an absent row.
    #[serde(default)]
    pub ver: u64,
    /// Whether the row was removed.
    #[serde(default)]
    pub tombstone: bool,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct Transaction {
    expected_revision: Vec<Row>,
    puts: Vec<Row>,
    remove: Vec<Row>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Rows {
    rows: Vec<Row>,
    ver: u64,
    now_ms: u64,
    has_more: bool,
}

/// A stand-in for the row store. Clones share their state.
#[derive(Clone, Default)]
pub struct FeedStore {
    faults: Arc<FaultInjector>,
    state: Arc<Mutex<State>>,
    version: watch::Sender<u64>,
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<(CompactString, CompactString), Row>,
    log: Vec<Row>,
}

impl FeedStore {
    /// Starts an empty store.
    pub fn start(&self, listen: SocketAddr) -> io::Result<Handle> {
        let router = Router::new()
            .route("/api/rows-tx", post(write))
            .route("/api/rows-get", get(read))
            .route("/api/rows-feed", get(feed))
            .layer(Extension(self.clone()));
        Handle::start(listen, router, self.faults.clone())
    }

    /// Writes a row without a condition; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<String>) {
        let row = Row {
            table: table.into(),
            part: CompactString::default(),
            key: key.into(),
            tombstone: value.is_none(),
            value,
            ver: 0,
        };
        let version = self.lock().put(vec![row]);
        self.version.send_replace(version);
    }

    /// Returns the value of a row.
    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        self.lock().rows.get(&(table.into(), key.into()))?.value.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }
}

impl State {
    fn put(&mut self, rows: Vec<Row>) -> u64 {
        self.version += 1;
        for row in rows {
            let row = Row { ver: self.version, ..row };
            let key = (row.table.clone(), row.key.clone());
            match row.tombstone {
                true => _ = self.rows.remove(&key),
                false => _ = self.rows.insert(key, row.clone()),
            }
            self.log.push(row);
        }
        self.version
    }

    fn is_current(&self, row: &Row) -> bool {
        let current = self.rows.get(&(row.table.clone(), row.key.clone()));
        current.map_or(0, |r| r.ver) == row.ver
    }

    fn response(&self, rows: Vec<Row>, has_more: bool) -> Rows {
        Rows { rows, ver: self.version, now_ms: 0, has_more }
    }

    fn changed_since(&self, table: &str, after: u64) -> Vec<Row> {
        let changed = self.log.iter().filter(|r| r.table == table && r.ver > after);
        changed.cloned().collect()
    }
}

async fn write(Extension(store): Extension<FeedStore>, body: Bytes) -> Response {
    let execute = || {
        parse_json(&body, |transaction: Transaction| {
            let Transaction { expected_revision, puts, remove } = transaction;
            let mut state = store.lock();
            if !expected_revision.iter().all(|row| state.is_current(row)) {
                return StatusCode::PRECONDITION_FAILED.into_response();
            }
            let removed = remove.into_iter().map(|row| Row { tombstone: true, ..row });
            let version = state.put(puts.into_iter().chain(removed).collect());
            drop(state);
            store.version.send_replace(version);
            json(&store.lock().response(Vec::new(), false))
        })
    };
    with_faults(&store.faults, "/api/rows-tx", execute).await
}

async fn read(Extension(store): Extension<FeedStore>, uri: Uri) -> Response {
    let query = query(&uri);
    let execute = || {
        let state = store.lock();
        let (table, from) = (text(&query, "table"), text(&query, "from"));
        let rows = state.rows.values().filter(|r| r.table == table && r.key.as_str() >= from);
        let rows: Vec<Row> = rows.take(MAX_PAGE_ROWS + 1).cloned().collect();
        let more = rows.len() > MAX_PAGE_ROWS;
        json(&state.response(rows.into_iter().take(MAX_PAGE_ROWS).collect(), more))
    };
    with_faults(&store.faults, "/api/rows-get", execute).await
}

async fn feed(Extension(store): Extension<FeedStore>, uri: Uri) -> Response {
    let query = query(&uri);
    let number = |name| text(&query, name).parse::<u64>().unwrap_or_default();
    let (table, after) = (text(&query, "table"), number("after_revision"));
    let mut version = store.version.subscribe();
    let wait = Duration::from_millis(number("wait_ms"));
    // A request that will be rejected must not wait for a change first.
    if store.faults.active().reject.is_none() {
        let changed = version.wait_for(|_| !store.lock().changed_since(table, after).is_empty());
        // If nothing changes within `wait`, the response has no rows.
        _ = timeout(wait, changed).await;
    }
    let execute = || {
        let state = store.lock();
        json(&state.response(state.changed_since(table, after), false))
    };
    with_faults(&store.faults, "/api/rows-feed", execute).await
}

fn query(uri: &Uri) -> HashMap<String, String> {
    let pairs = uri.query().unwrap_or_default().split('&');
    let pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

fn text<'a>(query: &'a HashMap<String, String>, name: &str) -> &'a str {
    query.get(name).map_or("", String::as_str)
}
