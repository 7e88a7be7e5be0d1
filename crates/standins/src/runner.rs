//! Stand-in for a model engine.

mod calls;

pub use calls::{Call, Ended, Ordered, RunnerLog};

use {
    crate::{
        cache::Cache,
        fault_injector::FaultInjector,
        lagged::Lagged,
        log::Log,
        register::register,
        server::{Handle, json, parse_json, with_faults},
        slots::Slots,
        stream::Generation,
        text::{Answer, Sampling},
    },
    bilberryfront_wire::{
        instance::{Instance, InstanceKind, InstanceState},
        runner::{Generate, LoadReport, Order, OrderKind},
    },
    bytes::Bytes,
    compact_str::CompactString,
    http::{StatusCode, header},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::time::Instant,
    volo_http::{
        body::Body,
        response::Response,
        server::{
            IntoResponse,
            route::{Router, get, post},
        },
        utils::Extension,
    },
    xxhash_rust::xxh64::xxh64,
};

/// Configuration of a runner.
#[derive(Clone, Debug)]
pub struct RunnerConfig {
    /// Name in the instance list.
    pub name: CompactString,
    /// Catalogue entry that it serves.
    pub entry: CompactString,
    /// Version that is loaded at the start.
    pub version: CompactString,
    /// Failure domain.
    pub domain: CompactString,
    /// Time per token; zero generates as fast as possible.
    pub pace: Duration,
    /// Maximum concurrent generations.
    pub slots: u32,
    /// Age of load reports.
    pub lag: Duration,
    /// Whether it rejects orders with an outdated fencing token.
    pub fenced: bool,
    /// Tokens of every answer; derived from the prompt if absent.
    pub answer: Option<u32>,
    /// Base URL of the instance list in which it registers.
    pub list: Option<CompactString>,
}

impl Default for RunnerConfig {
    fn default() -> RunnerConfig {
        RunnerConfig {
            name: "runner".into(),
            entry: "model".into(),
            version: "v1".into(),
            domain: "domain".into(),
            pace: Duration::ZERO,
            slots: 8,
            lag: Duration::ZERO,
            fenced: true,
            answer: None,
            list: None,
        }
    }
}

/// A stand-in for a model engine.
pub struct Runner {
    pub(crate) config: RunnerConfig,
    pub(crate) faults: Arc<FaultInjector>,
    pub(crate) slots: Arc<Slots>,
    pub(crate) calls: Log<Call>,
    orders: Log<Ordered>,
    state: Mutex<State>,
}

struct State {
    version: CompactString,
    fence: u64,
    leaving: bool,
    cache: Cache,
    reports: Lagged<LoadReport>,
}

impl Runner {
    /// Starts a runner and registers it in the instance list, if one is configured.
    pub async fn start(listen: SocketAddr, config: RunnerConfig) -> io::Result<Handle> {
        let runner = Arc::new(Runner::new(config));
        let faults = Arc::clone(&runner.faults);
        let router = Router::new()
            .route("/generate", post(generate))
            .route("/load", get(load))
            .route("/orders", post(order))
            .route("/admin/log", get(log))
            .layer(Extension(Arc::clone(&runner)));
        let handle = Handle::start(listen, router, faults)?;
        if let Some(list) = &runner.config.list {
            register(list, &runner.instance(&handle)).await?;
        }
        Ok(handle)
    }

    fn new(config: RunnerConfig) -> Runner {
        let slots = Arc::new(Slots::new(config.slots));
        let first = LoadReport {
            version: config.version.clone(),
            running: 0,
            waiting: 0,
            slots: config.slots,
            leaving: false,
            cache: Vec::new(),
        };
        let state = State {
            version: config.version.clone(),
            fence: 0,
            leaving: false,
            cache: Cache::default(),
            reports: Lagged::new(config.lag, Instant::now(), first),
        };
        let faults = Arc::new(FaultInjector::default());
        faults.update_activity(|activity| activity.version = config.version.clone());
        Runner {
            config,
            faults,
            slots,
            calls: Log::default(),
            orders: Log::default(),
            state: Mutex::new(state),
        }
    }

    fn instance(&self, handle: &Handle) -> Instance {
        Instance {
            name: self.config.name.clone(),
            kind: InstanceKind::Engine,
            url: handle.url().into(),
            domain: self.config.domain.clone(),
            entry: self.config.entry.clone(),
            version: self.config.version.clone(),
            state: InstanceState::Live,
            fenced: self.config.fenced,
            peer: None,
        }
    }

    /// Records the current state for the load reports.
    pub(crate) fn record_load(&self) {
        let occupancy = self.slots.occupancy();
        let mut state = self.lock();
        let report = LoadReport {
            version: state.version.clone(),
            running: occupancy.running,
            waiting: occupancy.waiting,
            slots: self.config.slots,
            leaving: state.leaving,
            cache: state.cache.events(),
        };
        self.faults.update_activity(|activity| {
            activity.version = report.version.clone();
            activity.running = report.running;
        });
        state.reports.set(self.faults.clock(), report);
    }

    fn generate(self: &Arc<Runner>, request: Generate) -> Response {
        let sampling = self.sampling(&request);
        let answer = Answer::new(&request.version, &request.prompt, sampling, self.config.answer);
        let mut call = Call {
            request: request.request.clone(),
            attempt: request.attempt,
            version: request.version.clone(),
            index: request.index,
            coherent: answer.text(request.index) == request.prefix,
            written: 0,
            ended: None,
        };
        if let Some(rejection) = self.rejection(&request) {
            call.ended = Some(Ended::Refused);
            self.calls.push(call);
            return rejection;
        }
        self.faults.update_activity(|activity| activity.calls += 1);
        self.lock().cache.touch(&request.prompt);
        let entry = self.calls.push(call);
        let generation = Generation::new(Arc::clone(self), request, answer, entry);
        let body = Body::from_stream(generation.into_stream());
        ([(header::CONTENT_TYPE, "text/event-stream")], Response::new(body)).into_response()
    }

    fn sampling(&self, request: &Generate) -> Sampling {
        match self.faults.active().differs {
            true => Sampling::Differs {
                attempt: request.attempt,
                prefix: xxh64(request.prefix.as_bytes(), 0),
            },
            false => Sampling::Same,
        }
    }

    /// Returns the response that rejects a request; `None` if it is accepted.
    fn rejection(&self, request: &Generate) -> Option<Response> {
        let state = self.lock();
        if state.leaving {
            let retry = [(header::RETRY_AFTER, "1")];
            return Some((retry, StatusCode::SERVICE_UNAVAILABLE).into_response());
        }
        (state.version != request.version).then(|| StatusCode::CONFLICT.into_response())
    }

    fn load(&self) -> LoadReport {
        let gaps = self.faults.active().gaps;
        let mut report = self.lock().reports.visible(self.faults.clock()).clone();
        report.cache.retain(|event| !gaps || event.sequence % 2 == 0);
        report
    }

    fn order(&self, order: Order) -> Response {
        let check_fence = self.config.fenced && !self.faults.active().unfenced;
        let done = self.apply_order(&order, check_fence);
        self.orders.push(Ordered { order, done });
        self.record_load();
        match done {
            true => StatusCode::NO_CONTENT.into_response(),
            false => StatusCode::CONFLICT.into_response(),
        }
    }

    /// Applies an order; false if its fencing token is checked and outdated.
    fn apply_order(&self, order: &Order, check_fence: bool) -> bool {
        let mut state = self.lock();
        if check_fence && order.fence < state.fence {
            return false;
        }
        state.fence = order.fence;
        match &order.kind {
            OrderKind::Load { version } => state.version = version.clone(),
            OrderKind::Drain => state.leaving = true,
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }
}

async fn generate(Extension(runner): Extension<Arc<Runner>>, body: Bytes) -> Response {
    with_faults(&runner.faults, "/generate", || {
        parse_json(&body, |request| runner.generate(request))
    })
    .await
}

async fn load(Extension(runner): Extension<Arc<Runner>>) -> Response {
    with_faults(&runner.faults, "/load", || json(&runner.load())).await
}

async fn order(Extension(runner): Extension<Arc<Runner>>, body: Bytes) -> Response {
    with_faults(&runner.faults, "/orders", || parse_json(&body, |order| runner.order(order))).await
}

async fn log(Extension(runner): Extension<Arc<Runner>>) -> Response {
    let calls = runner.calls.entries();
    let cancelled = calls.iter().filter(|call| call.ended == Some(Ended::Cancelled)).count();
    json(&RunnerLog { calls, orders: runner.orders.entries(), cancelled })
}
