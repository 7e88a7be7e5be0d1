//! An in-memory store of versioned rows with a change feed.
//!
//! - `POST /api/rows-tx`: an atomic transaction, conditional on row versions.
//! - `GET /api/rows-get?table=..&from=..`: a page of rows in key order.
//! - `GET /api/rows-feed?table=..&after_revision=..&wait_ms=..`: long-polls for rows changed after a
//!   version; 410 if the store does not have that version.
//!
//! The header `Store-Era` of all responses is the number of times that the store was restored from a
//! backup. Versions that were assigned after the backup was taken are assigned again.

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
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicU32, Ordering},
        },
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

/// Header with the number of restorations.
const ERA: &str = "store-era";
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
///
/// Faults of calls are limited by paths that begin like `/api/rows-feed?table=op`.
#[derive(Clone, Default)]
pub struct FeedStore {
    faults: Arc<FaultInjector>,
    state: Arc<Mutex<State>>,
    /// Sent after each change of the state.
    changed: watch::Sender<()>,
    /// Number of transactions that callers have sent, including rejected ones.
    transactions: Arc<AtomicU32>,
}

#[derive(Clone, Default)]
struct State {
    era: u64,
    /// Whether polls of earlier eras get no response before their wait has passed.
    holds_polls: bool,
    version: u64,
    rows: BTreeMap<(CompactString, CompactString), Row>,
    log: Vec<Row>,
}

/// Contents of a store at some time.
#[derive(Clone)]
pub struct Backup(State);

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

    /// Returns another access to the same rows, with faults of its own.
    pub fn with_own_faults(&self) -> FeedStore {
        FeedStore { faults: Arc::default(), ..self.clone() }
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
        self.lock().put(vec![row]);
        self.changed.send_replace(());
    }

    /// Returns a backup of all rows and their history.
    pub fn back_up(&self) -> Backup {
        Backup(self.lock().clone())
    }

    /// Replaces all rows by those of a backup, and continues from its version. Pending polls end.
    pub fn restore(&self, backup: &Backup) {
        self.replace(backup, false);
    }

    /// Restores a backup as [`Self::restore`] does, but pending polls end only after their wait.
    pub fn restore_silently(&self, backup: &Backup) {
        self.replace(backup, true);
    }

    fn replace(&self, backup: &Backup, holds_polls: bool) {
        let mut state = self.lock();
        *state = State { era: state.era + 1, holds_polls, ..backup.0.clone() };
        drop(state);
        self.changed.send_replace(());
    }

    /// Returns the number of transactions that callers have sent.
    pub fn transaction_count(&self) -> u32 {
        self.transactions.load(Ordering::Relaxed)
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
    fn put(&mut self, rows: Vec<Row>) {
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
    }

    fn is_current(&self, row: &Row) -> bool {
        let current = self.rows.get(&(row.table.clone(), row.key.clone()));
        current.map_or(0, |r| r.ver) == row.ver
    }

    fn respond(&self, rows: Vec<Row>, has_more: bool) -> Response {
        let rows = Rows { rows, ver: self.version, now_ms: 0, has_more };
        let mut response = json(&rows);
        response.headers_mut().insert(ERA, self.era.into());
        response
    }

    fn respond_status(&self, status: StatusCode) -> Response {
        let mut response = status.into_response();
        response.headers_mut().insert(ERA, self.era.into());
        response
    }

    fn changed_since(&self, table: &str, after: u64) -> Vec<Row> {
        let changed = self.log.iter().filter(|r| r.table == table && r.ver > after);
        changed.cloned().collect()
    }
}

async fn write(Extension(store): Extension<FeedStore>, body: Bytes) -> Response {
    store.transactions.fetch_add(1, Ordering::Relaxed);
    let execute = || {
        parse_json(&body, |transaction: Transaction| {
            let Transaction { expected_revision, puts, remove } = transaction;
            let mut state = store.lock();
            if !expected_revision.iter().all(|row| state.is_current(row)) {
                return state.respond_status(StatusCode::PRECONDITION_FAILED);
            }
            let removed = remove.into_iter().map(|row| Row { tombstone: true, ..row });
            state.put(puts.into_iter().chain(removed).collect());
            let response = state.respond(Vec::new(), false);
            drop(state);
            store.changed.send_replace(());
            response
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
        state.respond(rows.into_iter().take(MAX_PAGE_ROWS).collect(), more)
    };
    let path = format!("/api/rows-get?table={}", text(&query, "table"));
    with_faults(&store.faults, &path, execute).await
}

async fn feed(Extension(store): Extension<FeedStore>, uri: Uri) -> Response {
    let query = query(&uri);
    let number = |name| text(&query, name).parse::<u64>().unwrap_or_default();
    let (table, after) = (text(&query, "table"), number("after_revision"));
    let mut changed = store.changed.subscribe();
    let wait = Duration::from_millis(number("wait_ms"));
    let era = store.lock().era;
    // A request that will be rejected must not wait for a change first.
    if store.faults.active().reject.is_none() {
        let ends = changed.wait_for(|()| {
            let state = store.lock();
            match state.era == era {
                true => after > state.version || !state.changed_since(table, after).is_empty(),
                false => !state.holds_polls,
            }
        });
        // If nothing changes within `wait`, the response has no rows.
        _ = timeout(wait, ends).await;
    }
    let execute = || {
        let state = store.lock();
        if after > state.version {
            return state.respond_status(StatusCode::GONE);
        }
        state.respond(state.changed_since(table, after), false)
    };
    let path = format!("/api/rows-feed?table={table}");
    with_faults(&store.faults, &path, execute).await
}

fn query(uri: &Uri) -> HashMap<String, String> {
    let pairs = uri.query().unwrap_or_default().split('&');
    let pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

fn text<'a>(query: &'a HashMap<String, String>, name: &str) -> &'a str {
    query.get(name).map_or("", String::as_str)
}
