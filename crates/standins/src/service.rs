//! Stand-in for a plain service, which records calls in a ledger.

use {
    crate::{
        fault_injector::FaultInjector,
        lagged::Lagged,
        log::Log,
        register::register,
        server::{Handle, json, with_faults},
    },
    bilberryfront_wire::{
        instance::{Instance, InstanceKind, InstanceState},
        runner::LoadReport,
    },
    compact_str::{CompactString, ToCompactString},
    http::StatusCode,
    serde::{Deserialize, Serialize},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::time::Instant,
    volo_http::{
        body::BodyConversion as _,
        request::Request,
        response::Response,
        server::{
            IntoResponse,
            route::{Router, get},
        },
        utils::Extension,
    },
};

/// Header with the idempotency key of a non-idempotent call.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Configuration of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Name in the instance list.
    pub name: CompactString,
    /// Catalogue entry that it serves.
    pub entry: CompactString,
    /// Version that it runs.
    pub version: CompactString,
    /// Failure domain.
    pub domain: CompactString,
    /// Maximum concurrent calls in load reports; not enforced.
    pub slots: u32,
    /// Age of load reports.
    pub lag: Duration,
    /// Base URL of the instance list in which it registers.
    pub list: Option<CompactString>,
}

impl Default for ServiceConfig {
    fn default() -> ServiceConfig {
        ServiceConfig {
            name: "service".into(),
            entry: "ledger".into(),
            version: "v1".into(),
            domain: "domain".into(),
            slots: 8,
            lag: Duration::ZERO,
            list: None,
        }
    }
}

/// A stand-in for a plain service.
pub struct Service {
    config: ServiceConfig,
    faults: Arc<FaultInjector>,
    executed: Log<Executed>,
    ledger: Mutex<Vec<Record>>,
    running: AtomicU32,
    reports: Mutex<Lagged<LoadReport>>,
}

/// A call that was executed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Executed {
    /// HTTP method.
    pub method: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Value of `Idempotency-Key`.
    pub key: Option<CompactString>,
    /// Body; bytes that are not UTF-8 are replaced.
    pub body: String,
}

/// A record in the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// Number, from 1.
    pub number: usize,
    /// Call that added it.
    pub call: Executed,
}

/// Response of a `POST`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Recorded {
    /// Number of the new record.
    pub number: usize,
}

/// Response of a `GET`: the records of `POST` calls with the same path.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct History {
    /// Records, oldest first.
    pub records: Vec<Record>,
}

/// Response of `GET /admin/log`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceLog {
    /// Executed calls, oldest first.
    pub executed: Vec<Executed>,
}

/// Counts a call as running until dropped.
struct Running<'a>(&'a Service);

impl Service {
    /// Starts a service and registers it in the instance list, if one is configured.
    pub async fn start(listen: SocketAddr, config: ServiceConfig) -> io::Result<Handle> {
        let service = Arc::new(Service::new(config));
        let faults = Arc::clone(&service.faults);
        let router = Router::new()
            .route("/load", get(load))
            .route("/admin/log", get(log))
            .fallback(call)
            .layer(Extension(Arc::clone(&service)));
        let handle = Handle::start(listen, router, faults)?;
        if let Some(list) = &service.config.list {
            register(list, &service.instance(&handle)).await?;
        }
        Ok(handle)
    }

    fn new(config: ServiceConfig) -> Service {
        let first = report(&config, 0);
        let reports = Mutex::new(Lagged::new(config.lag, Instant::now(), first));
        let faults = Arc::new(FaultInjector::default());
        faults.update_activity(|activity| activity.version = config.version.clone());
        Service {
            config,
            faults,
            executed: Log::default(),
            ledger: Mutex::default(),
            running: AtomicU32::new(0),
            reports,
        }
    }

    fn instance(&self, handle: &Handle) -> Instance {
        Instance {
            name: self.config.name.clone(),
            kind: InstanceKind::Service,
            url: handle.url().into(),
            domain: self.config.domain.clone(),
            entry: self.config.entry.clone(),
            version: self.config.version.clone(),
            state: InstanceState::Live,
            fenced: false,
            peer: None,
        }
    }

    fn execute(&self, call: Executed) -> Response {
        self.faults.update_activity(|activity| activity.calls += 1);
        self.executed.push(call.clone());
        let mut ledger = self.ledger.lock().expect("no holder of this lock panics");
        match call.method.as_str() {
            "POST" => {
                let number = ledger.len() + 1;
                ledger.push(Record { number, call });
                json(&Recorded { number })
            }
            "GET" => {
                let same = ledger.iter().filter(|record| record.call.path == call.path);
                json(&History { records: same.cloned().collect() })
            }
            _ => StatusCode::METHOD_NOT_ALLOWED.into_response(),
        }
    }

    fn track_call(&self) -> Running<'_> {
        self.record_load(self.running.fetch_add(1, Ordering::Relaxed) + 1);
        Running(self)
    }

    /// Records the number of running calls for the load reports.
    fn record_load(&self, running: u32) {
        let mut reports = self.reports.lock().expect("no holder of this lock panics");
        self.faults.update_activity(|activity| activity.running = running);
        reports.set(self.faults.clock(), report(&self.config, running));
    }

    fn load(&self) -> LoadReport {
        let mut reports = self.reports.lock().expect("no holder of this lock panics");
        reports.visible(self.faults.clock()).clone()
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.record_load(self.0.running.fetch_sub(1, Ordering::Relaxed) - 1);
    }
}

fn report(config: &ServiceConfig, running: u32) -> LoadReport {
    LoadReport {
        version: config.version.clone(),
        running,
        waiting: running.saturating_sub(config.slots),
        slots: config.slots,
        leaving: false,
        cache: Vec::new(),
    }
}

async fn call(Extension(service): Extension<Arc<Service>>, request: Request) -> Response {
    let _running = service.track_call();
    let (parts, body) = request.into_parts();
    let Ok(body) = body.into_bytes().await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let key = parts.headers.get(IDEMPOTENCY_KEY).and_then(|key| key.to_str().ok());
    let call = Executed {
        method: parts.method.as_str().into(),
        path: parts.uri.to_compact_string(),
        key: key.map(CompactString::from),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    let path = call.path.clone();
    with_faults(&service.faults, &path, || service.execute(call)).await
}

async fn load(Extension(service): Extension<Arc<Service>>) -> Response {
    with_faults(&service.faults, "/load", || json(&service.load())).await
}

async fn log(Extension(service): Extension<Arc<Service>>) -> Response {
    json(&ServiceLog { executed: service.executed.entries() })
}
