//! Stand-in for the platform's table service, in memory.

use {
    crate::{
        fault_injector::FaultInjector,
        rows::RowStore,
        server::{Handle, json, parse_json, with_faults},
    },
    bilberryfront_wire::table::{Commit, Committed, Read, Rows, Scan, Written},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
    },
    volo_http::{
        response::Response,
        server::route::{Router, get, post},
        utils::Extension,
    },
};

/// Response of `GET /admin/counts`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Executed commits, including those whose writes conflicted.
    pub commits: u64,
    /// Applied writes.
    pub writes: u64,
    /// Executed reads and scans.
    pub reads: u64,
    /// Existing rows.
    pub rows: u64,
}

/// A stand-in for the table service.
#[derive(Default)]
pub struct Table {
    faults: Arc<FaultInjector>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    rows: RowStore,
    counts: Counts,
}

impl Table {
    /// Starts an empty table.
    pub async fn start(listen: SocketAddr) -> io::Result<Handle> {
        let table = Arc::new(Table::default());
        let faults = Arc::clone(&table.faults);
        let router = Router::new()
            .route("/commit", post(commit))
            .route("/read", post(read))
            .route("/scan", post(scan))
            .route("/admin/counts", get(counts))
            .layer(Extension(table));
        Handle::start(listen, router, faults)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }
}

impl State {
    fn commit(&mut self, commit: &Commit) -> Committed {
        let committed = self.rows.commit(commit);
        let done = committed.results.iter().filter(|w| matches!(w, Written::Done(_)));
        self.counts.commits += 1;
        self.counts.writes += done.count() as u64;
        committed
    }

    fn read(&mut self, read: &Read) -> Rows {
        self.counts.reads += 1;
        self.rows.read(read)
    }

    fn scan(&mut self, scan: &Scan) -> Rows {
        self.counts.reads += 1;
        self.rows.scan(scan)
    }
}

async fn commit(Extension(table): Extension<Arc<Table>>, body: Bytes) -> Response {
    with_faults(&table.faults, "/commit", || {
        parse_json(&body, |commit| json(&table.lock().commit(&commit)))
    })
    .await
}

async fn read(Extension(table): Extension<Arc<Table>>, body: Bytes) -> Response {
    with_faults(&table.faults, "/read", || {
        parse_json(&body, |read| json(&table.lock().read(&read)))
    })
    .await
}

async fn scan(Extension(table): Extension<Arc<Table>>, body: Bytes) -> Response {
    with_faults(&table.faults, "/scan", || {
        parse_json(&body, |scan| json(&table.lock().scan(&scan)))
    })
    .await
}

async fn counts(Extension(table): Extension<Arc<Table>>) -> Response {
    let state = table.lock();
    json(&Counts { rows: state.rows.len() as u64, ..state.counts })
}
