//! Runners in memory, and requests for them.

use {
    async_stream::stream,
    bilberryfront_platform::{Http, RowCodec},
    bilberryfront_relay::{
        body::ResponseBody,
        budget::Allowance,
        call::Call,
        catalog::Catalog,
        dialect::Dialect,
        fanout::Scope,
        fleet::{Criteria, Fleet},
        flow::Traffic,
        network::Network,
        records::Records,
        rollouts::exposure::Bound,
        view::{NodeAddress, Published, Registration, Splits, State, View},
    },
    bytes::Bytes,
    http::{HeaderMap, Request, Response, StatusCode},
    http_body_util::{BodyExt, StreamBody},
    hyper::{
        body::{Frame, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        convert::Infallible,
        io,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, DuplexStream},
        task::{AbortHandle, LocalSet},
        time::{Instant, sleep},
    },
};

/// Bytes that a connection in memory holds each way.
const WINDOW: usize = 64 << 10;
/// Service of the model engines.
pub(crate) const ENGINES: &str = "llm";
/// Service of the plain runners.
pub(crate) const PLAIN: &str = "desk";

/// What a runner does with a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Script {
    /// Answers in whole.
    Whole(u16, &'static str),
    /// Vouches that it didn't run it.
    NotRun,
    /// Streams events up to this id, one each time; `ends` says what comes then.
    Events {
        /// Id of the last event.
        last: u64,
        /// Time before each event.
        gap: Duration,
        /// What comes after the last.
        ends: Ends,
    },
    /// Answers as if to another request.
    Crossed,
    /// Takes the request and closes the connection.
    Close,
    /// Takes the request and says nothing.
    Hang,
}

/// How a stream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ends {
    /// With its end.
    Whole,
    /// With a cut in the middle of the next event.
    Torn,
    /// In the middle of the next event, as if that were its end.
    Short,
}

/// A request that a runner has seen.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// When it came.
    pub(crate) at: Instant,
    /// Its headers.
    pub(crate) headers: HeaderMap,
}

/// A runner in memory.
pub(crate) struct Runner {
    /// Its id.
    pub(crate) id: String,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// Its failure domain.
    pub(crate) domain: &'static str,
    /// Service it belongs to.
    pub(crate) service: &'static str,
    /// What it does with each request.
    pub(crate) script: RefCell<Script>,
    /// What it does instead with a request that goes on from a copy.
    pub(crate) from_copy: RefCell<Option<Script>>,
    /// Prompts whose own part is in its cache.
    pub(crate) cache: RefCell<Vec<&'static str>>,
    /// Where it was asked to copy its run.
    pub(crate) copies: RefCell<Vec<String>>,
    /// Copies that it was told to drop.
    pub(crate) forgotten: Cell<u32>,
    /// Events that it says it has made of its last request.
    pub(crate) made: Cell<u32>,
    /// Whether it neither answers nor takes connections.
    pub(crate) dark: Cell<bool>,
    /// Whether its process is gone.
    pub(crate) down: Cell<bool>,
    /// Id of the process that started at its address later, and the model that it says it runs.
    pub(crate) restarted: RefCell<Option<(&'static str, &'static str)>>,
    /// Requests a second that it states in its answers.
    pub(crate) rate_limit: Cell<Option<f64>>,
    /// Whether its answers say that it leaves.
    pub(crate) leaving: Cell<bool>,
    /// `Retry-After` of its rejections.
    pub(crate) retry_after: Cell<Option<&'static str>>,
    /// Requests that it has seen; questions aside.
    pub(crate) seen: RefCell<Vec<Seen>>,
    /// Its connections.
    pub(crate) log_messages: RefCell<Vec<AbortHandle>>,
}

impl Runner {
    /// A runner that is up and has seen nothing.
    pub(crate) fn new(
        id: &str,
        address: SocketAddr,
        service: &'static str,
        domain: &'static str,
        script: Script,
    ) -> Runner {
        Runner {
            id: id.into(),
            address,
            domain,
            service,
            script: RefCell::new(script),
            from_copy: RefCell::default(),
            cache: RefCell::default(),
            copies: RefCell::default(),
            forgotten: Cell::new(0),
            made: Cell::new(0),
            dark: Cell::new(false),
            down: Cell::new(false),
            restarted: RefCell::default(),
            rate_limit: Cell::new(None),
            leaving: Cell::new(false),
            retry_after: Cell::new(None),
            seen: RefCell::default(),
            log_messages: RefCell::default(),
        }
    }

    /// Ends its process: connections break, new ones are refused.
    pub(crate) fn crash(&self) {
        self.down.set(true);
        self.log_messages.borrow_mut().drain(..).for_each(|line| line.abort());
    }

    /// A header of its last request.
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        let seen = self.seen.borrow();
        Some(seen.last()?.headers.get(name)?.to_str().ok()?.to_owned())
    }

    /// How many requests it has seen.
    pub(crate) fn count(&self) -> usize {
        self.seen.borrow().len()
    }
}

/// Connections to the runners.
#[derive(Clone, Default)]
pub(crate) struct Net {
    runners: Rc<RefCell<HashMap<SocketAddr, Rc<Runner>>>>,
}

impl Network for Net {
    type Stream = DuplexStream;

    async fn connect(&self, address: SocketAddr, limit: Duration) -> io::Result<DuplexStream> {
        let runner = self.runners.borrow().get(&address).cloned();
        match runner {
            Some(runner) if runner.dark.get() => {
                sleep(limit).await;
                Err(io::ErrorKind::TimedOut.into())
            }
            Some(runner) if !runner.down.get() => Ok(accept(runner)),
            _ => Err(io::ErrorKind::ConnectionRefused.into()),
        }
    }
}

fn accept(runner: Rc<Runner>) -> DuplexStream {
    let (near, far) = tokio::io::duplex(WINDOW);
    serve(runner, far);
    near
}

/// Answers what comes on a connection to a runner.
pub(crate) fn serve(runner: Rc<Runner>, stream: impl AsyncRead + AsyncWrite + Unpin + 'static) {
    let serving = runner.clone();
    let service = service_fn(move |request| {
        let runner = runner.clone();
        async move { respond(&runner, request).await }
    });
    let task = tokio::task::spawn_local(async move {
        // Ends with the caller or with the runner.
        _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    });
    serving.log_messages.borrow_mut().push(task.abort_handle());
}

type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, io::Error>;

async fn respond(runner: &Rc<Runner>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    if runner.dark.get() {
        std::future::pending::<Infallible>().await;
    }
    match request.uri().path() {
        "/api/report" => return Ok(json(report(runner))),
        "/api/kv-events" => return Ok(json(cache(runner))),
        "/api/kv-move" => return Ok(json(copy(runner, request).await)),
        path if path.starts_with("/api/kv-handle/") => {
            runner.forgotten.set(runner.forgotten.get() + 1);
            return Ok(json("{}".into()));
        }
        _ => {}
    }
    if let Some((id, _)) = *runner.restarted.borrow() {
        return Ok(misdirected(id));
    }
    let (parts, body) = request.into_parts();
    body.collect().await.map_err(io::Error::other)?;
    runner.seen.borrow_mut().push(Seen { at: Instant::now(), headers: parts.headers.clone() });
    let copied = parts.headers.contains_key("kv-from");
    let script = match runner.from_copy.borrow().clone() {
        Some(script) if copied => script,
        _ => runner.script.borrow().clone(),
    };
    let id = parts.headers["x-bilberryfront-attempt-id"].clone();
    let is_rejected = script == Script::NotRun;
    let mut response = match script {
        Script::Whole(status, text) => whole(status, text),
        Script::NotRun => {
            let mut response = whole(503, "");
            response.headers_mut().insert("x-bilberryfront-not-executed", "1".parse().unwrap());
            response
        }
        Script::Events { last, gap, ends } => {
            let header = parts.headers.get("last-event-id").and_then(|v| v.to_str().ok());
            let after = header.and_then(|v| v.parse().ok()).unwrap_or(0);
            events(runner.clone(), after, last, gap, ends)
        }
        Script::Crossed => {
            let mut response = whole(200, "somebody else's");
            response.headers_mut().insert("x-bilberryfront-attempt-id", "other".parse().unwrap());
            response
        }
        Script::Close => return Err(io::ErrorKind::ConnectionReset.into()),
        Script::Hang => std::future::pending().await,
    };
    let headers = response.headers_mut();
    headers.entry("x-bilberryfront-attempt-id").or_insert(id);
    if !is_rejected {
        headers.insert("x-bilberryfront-server-stamp", runner.id.parse().unwrap());
    }
    if runner.leaving.get() {
        headers.insert("server-leaving", "1".parse().unwrap());
    }
    if let Some(seconds) = runner.retry_after.get().filter(|_| is_rejected) {
        headers.insert("retry-after", seconds.parse().unwrap());
    }
    if let Some(limit) = runner.rate_limit.get() {
        headers.insert("server-limit", limit.to_string().parse().unwrap());
    }
    Ok(response)
}

/// Its last request, with the events that it says it has made of it.
fn report(runner: &Runner) -> String {
    let made = runner.made.get();
    let model = runner.restarted.borrow().map_or("m", |(_, model)| model);
    format!(
        r#"{{"stage":"both","models":[{{"name":"{model}","version":1}}],"waiting":0,
            "kv_total":55000,"running":1,"runs":[["a1",5000,{made},5]]}}"#
    )
}

/// What a runner answers that isn't the expected one.
fn misdirected(id: &'static str) -> Response<Body> {
    let mut response = whole(421, "");
    response.headers_mut().insert("x-bilberryfront-instance-id", id.parse().unwrap());
    response
}

/// Makes a copy of its run, for whoever the request names.
async fn copy(runner: &Runner, request: Request<Incoming>) -> String {
    let body = request.into_body().collect().await.unwrap().to_bytes();
    let order: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!((order["id"].as_str(), order["last"].as_bool()), (Some("a1"), Some(false)));
    runner.copies.borrow_mut().push(order["to"].as_str().unwrap().to_owned());
    r#"{"handle":"h1","created":5}"#.into()
}

fn cache(runner: &Runner) -> String {
    let event = |id: &&str| format!(r#"[1,"+","","{id}",5000,"m"]"#);
    let events: Vec<String> = runner.cache.borrow().iter().map(event).collect();
    format!(r#"{{"epoch":1,"next":2,"lost":false,"events":[{}]}}"#, events.join(","))
}

fn json(text: String) -> Response<Body> {
    Response::new(full(text.into()))
}

fn whole(status: u16, text: &'static str) -> Response<Body> {
    let mut response = Response::new(full(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    response
}

fn full(bytes: Bytes) -> Body {
    http_body_util::Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

fn events(runner: Rc<Runner>, after: u64, last: u64, gap: Duration, ends: Ends) -> Response<Body> {
    // Whether the runner is dark is read by the stream, which must be `Send` for the body's type.
    let (sender, mut receiver) = tokio::sync::mpsc::channel::<io::Result<Frame<Bytes>>>(1);
    tokio::task::spawn_local(async move {
        for id in after + 1..=last {
            sleep(gap).await;
            if runner.dark.get() {
                std::future::pending::<Infallible>().await;
            }
            let text = format!("id: {id}\ndata: token {id}\n\n");
            if sender.send(Ok(Frame::data(text.into()))).await.is_err() {
                return;
            }
        }
        match ends {
            Ends::Whole => {}
            Ends::Short => _ = sender.send(Ok(Frame::data(Bytes::from_static(b"id: 9")))).await,
            Ends::Torn => {
                _ = sender.send(Ok(Frame::data(Bytes::from_static(b"id: 9")))).await;
                sleep(Duration::from_millis(1)).await;
                _ = sender.send(Err(io::ErrorKind::ConnectionReset.into())).await;
            }
        }
    });
    let frames = stream! {
        while let Some(frame) = receiver.recv().await {
            yield frame;
        }
    };
    Response::new(StreamBody::new(frames).boxed_unsync())
}

/// Runners, and the traffic before them.
#[derive(Clone)]
pub(crate) struct World {
    /// The traffic.
    pub(crate) traffic: Traffic<Http, Net>,
    /// The runners.
    pub(crate) runners: Vec<Rc<Runner>>,
    /// The node's name.
    name: String,
    net: Net,
}

impl World {
    /// Runners of `service`, one in each of `domains`, which all do `script`.
    pub(crate) fn new(service: &'static str, domains: &[&'static str], script: &Script) -> World {
        let net = Net::default();
        let published = Published::default();
        let allowance = Allowance { ratio: 0.8, slack: 100.0, window: Duration::from_secs(10) };
        let bound = Bound { share: 0.1, slack: 50.0 };
        let mut traffic = Traffic::new(Http, net.clone(), published, allowance, bound);
        traffic.client.fleet = Fleet::seeded(7);
        let mut world = World { traffic, runners: Vec::new(), name: "n1".into(), net };
        for (index, domain) in domains.iter().enumerate() {
            world.add(index as u8, service, domain, script);
        }
        world.publish();
        world
    }

    fn add(&mut self, index: u8, service: &'static str, domain: &'static str, script: &Script) {
        let address = SocketAddr::from(([127, 0, 0, index + 1], 8_000));
        let id = format!("r-{index}");
        let runner = Rc::new(Runner::new(&id, address, service, domain, script.clone()));
        self.net.runners.borrow_mut().insert(runner.address, runner.clone());
        self.runners.push(runner);
    }

    /// The same runners, behind the node `n{index}` of a failure domain.
    pub(crate) fn node(&self, index: u8, domain: &'static str) -> World {
        let mut world = self.clone();
        let allowance = Allowance { ratio: 0.8, slack: 100.0, window: Duration::from_secs(10) };
        let bound = Bound { share: 0.1, slack: 50.0 };
        world.traffic =
            Traffic::new(Http, self.net.clone(), Published::default(), allowance, bound);
        world.traffic.client.fleet = Fleet::seeded(u64::from(index));
        world.traffic.client.fleet.set_domain(&domain.into());
        world.name = format!("n{index}");
        world
    }

    /// Publishes the catalogue, the runners and two nodes, as the control thread would.
    pub(crate) fn publish(&self) {
        self.publish_nodes(vec![node("n1", 1, "a"), node("n2", 2, "a")]);
    }

    /// Publishes the catalogue, the runners and these nodes.
    pub(crate) fn publish_nodes(&self, nodes: Vec<NodeAddress>) {
        let nodes = Arc::new(nodes);
        let registration = |runner: &Rc<Runner>| Registration {
            id: runner.id.as_str().into(),
            born: 1,
            service: runner.service.into(),
            address: runner.address,
            domain: runner.domain.into(),
            version: "v1".into(),
            slots: 8,
            state: State::Ready,
            assumed: false,
        };
        let runners: Vec<Registration> = self.runners.iter().map(registration).collect();
        self.traffic.client.fleet.update(&runners);
        self.traffic.client.fleet.set_nodes(&self.name.as_str().into(), &nodes);
        self.traffic.published.store(View {
            catalog: Some(Arc::new(catalog())),
            runners: Arc::new(runners),
            listed: true,
            nodes,
            scope: Scope::System,
            splits: Splits::default(),
            cut_off: false,
        });
    }

    /// Serves a request in the platform's spelling.
    pub(crate) async fn serve(
        &self,
        path: &str,
        headers: &[(&'static str, &'static str)],
    ) -> Received {
        let response = self.answer(path, headers).await;
        let (parts, body) = response.into_parts();
        let mut bytes = Vec::new();
        let mut body = body;
        let whole = loop {
            match body.frame().await {
                Some(Ok(frame)) => bytes.extend_from_slice(frame.data_ref().unwrap()),
                Some(Err(_)) => break false,
                None => break true,
            }
        };
        let text = String::from_utf8(bytes).unwrap();
        Received { status: parts.status.as_u16(), headers: parts.headers, text, whole }
    }

    /// The same, up to the head of the answer.
    pub(crate) async fn answer(
        &self,
        path: &str,
        headers: &[(&'static str, &'static str)],
    ) -> Response<ResponseBody> {
        self.traffic.serve(call(path, headers)).await
    }

    /// Ids of the runners that are asked for a prompt's cache.
    pub(crate) fn preferred(&self, prompt: u64) -> Vec<String> {
        let criteria = Criteria {
            service: ENGINES,
            except: &[],
            prompt: Some(prompt),
            memory: 55_000,
            avoid_domain: None,
            version: None,
            stable: false,
        };
        let preferred = self.traffic.client.fleet.preferred(&criteria).into_iter();
        preferred.map(|place| place.id.to_string()).collect()
    }

    /// All requests that runners have seen.
    pub(crate) fn sends(&self) -> usize {
        self.runners.iter().map(|r| r.count()).sum()
    }
}

/// A node's addresses.
pub(crate) fn node(name: &str, index: u8, domain: &'static str) -> NodeAddress {
    let address = |port| SocketAddr::from(([10, 0, 0, index], port));
    NodeAddress {
        name: name.into(),
        domain: domain.into(),
        callers: address(80),
        peers: address(81),
    }
}

/// What a caller got.
#[derive(Debug)]
pub(crate) struct Received {
    /// Status.
    pub(crate) status: u16,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body, as far as it came.
    pub(crate) text: String,
    /// Whether the body ended as complete.
    pub(crate) whole: bool,
}

impl Received {
    /// Ids of its events, in order.
    pub(crate) fn ids(&self) -> Vec<u64> {
        let log_messages = self.text.lines().filter_map(|line| line.strip_prefix("id: "));
        log_messages.map(|id| id.parse().unwrap()).collect()
    }
}

/// Routes to both services, as operators spell them.
pub(crate) fn catalog() -> Catalog {
    let text = r#"{
        "version": 3,
        "routes": [
            {"name": "stream", "host": "desk.example", "prefix": "/stream/", "kind": "streaming",
             "timeout_ms": 20000, "target_latency_ms": 4000, "target_gap_ms": 700, "priority": 1,
             "service": "llm", "max_attempts": 5, "resumable": true},
            {"name": "fixed", "host": "desk.example", "prefix": "/fixed/", "kind": "streaming",
             "timeout_ms": 20000, "target_latency_ms": 4000, "target_gap_ms": 700, "priority": 1,
             "service": "llm", "max_attempts": 5},
            {"name": "lodge", "host": "desk.example", "prefix": "/lodge/", "kind": "non_idempotent",
             "timeout_ms": 800, "target_latency_ms": 100, "priority": 2, "service": "desk",
             "max_attempts": 1},
            {"name": "look", "host": "desk.example", "prefix": "/look/", "kind": "idempotent",
             "timeout_ms": 800, "target_latency_ms": 100, "priority": 2, "service": "desk",
             "max_attempts": 2}
        ],
        "services": [
            {"name": "llm", "max_conns": 100, "engine": {"slots": 8, "kv_tokens": 55000,
             "backups": true, "handle_s": 4, "models": [{"name": "m"}, {"name": "both"}]}},
            {"name": "other", "engine": {"slots": 8, "kv_tokens": 55000,
             "models": [{"name": "theirs"}, {"name": "both"}]}},
            {"name": "desk", "max_conns": 100}
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    }"#;
    RowCodec.parse_catalog(text.as_bytes()).unwrap()
}

fn call(path: &str, headers: &[(&'static str, &'static str)]) -> Call {
    let mut request = Request::post(path).header("host", "desk.example");
    request = request.header("x-bilberryfront-attempt-id", "a1");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let (parts, ()) = request.body(()).unwrap().into_parts();
    let head = Http.parse_request(&parts).unwrap();
    let (route, account) = catalog().admit(&head.host, path, None).unwrap();
    let service = route.target(0.0).clone();
    Call {
        head,
        method: parts.method,
        path: parts.uri.path_and_query().unwrap().clone(),
        body: Bytes::from_static(b"{}"),
        route,
        account,
        start: Instant::now(),
        service,
        version: None,
    }
}

/// Plays a test on one thread, as an instance's traffic runs.
pub(crate) async fn play<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(test).await
}

/// Milliseconds.
pub(crate) const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}
