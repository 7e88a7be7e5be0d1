//! Runners that keep to the platform's protocol, and record each request that arrives.

use {
    super::{
        record::{KILLED, Record, Run},
        trouble::{EARLY, Trouble},
    },
    async_stream::stream,
    bytes::Bytes,
    http::{HeaderMap, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::{
        body::{Body as _, Frame, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    rand::Rng,
    serde_json::{Value, json},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        io,
        net::SocketAddr,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, Waker, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{TcpListener, TcpStream},
        sync::mpsc,
        task::AbortHandle,
        time::{Instant, sleep},
    },
};

/// Events of a complete stream.
pub(crate) const EVENTS: u64 = 130;
/// Memory of an engine in tokens.
pub(crate) const MEMORY: u32 = 55_000;
/// Requests that a runner runs at the same time.
pub(crate) const SLOTS: usize = 10;
/// Time for which an unused replica is kept.
pub(crate) const REPLICA_TTL: Duration = Duration::from_secs(4);
/// Share of the responses that a runner in trouble corrupts.
const CORRUPTED_SHARE: f64 = 0.5;
/// Bytes from which a request is a long upload.
pub(crate) const LONG: u64 = 100_000;
/// Events after which a replica is extended.
const REPLICA_EVENTS: u64 = 5;

pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// What a runner is: an engine if it has a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Role {
    pub(crate) service: &'static str,
    pub(crate) model: Option<&'static str>,
}

/// The runners that run, by address, and the record of the test.
#[derive(Default)]
pub(crate) struct Registry {
    pub(crate) runners: RefCell<HashMap<SocketAddr, Rc<Runner>>>,
    pub(crate) record: Record,
}

/// Directions in which a connection carries nothing.
#[derive(Clone, Copy, Default)]
struct Cut {
    reads: bool,
    writes: bool,
    /// Whether that does not end.
    is_final: bool,
}

/// One process of a runner.
pub(crate) struct Runner {
    pub(crate) id: String,
    pub(crate) role: Role,
    pub(crate) address: SocketAddr,
    /// Start of its process in milliseconds since the Unix epoch.
    pub(crate) born: u64,
    /// Time before each event.
    gap: Duration,
    /// Time before the first event of a run without a replica, and for a call.
    work: Duration,
    /// Time before the first event of a run from a replica.
    resume: Duration,
    /// Whether its process has ended.
    pub(crate) gone: Cell<bool>,
    /// Whether it neither reads nor writes nor generates.
    dark: Cell<bool>,
    /// Whether its streams generate nothing; it responds otherwise.
    pub(crate) stalled: Cell<bool>,
    /// Whether the response of its next call is lost.
    pub(crate) loses_response: Cell<bool>,
    /// Whether it rejects nearly all requests.
    pub(crate) rejects: Cell<bool>,
    /// How it corrupts its responses.
    pub(crate) trouble: Cell<Option<Trouble>>,
    /// Whether its connections are closed, and not reset, as it crashes.
    is_killed: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
    /// Tasks that serve its connections, the first one accepts them, with what is cut of each.
    tasks: RefCell<Vec<(AbortHandle, Rc<Cell<Cut>>)>>,
    /// Events of the active runs, by attempt id.
    active: RefCell<HashMap<String, u64>>,
    /// Replicas that it holds, by the value of `Kv-From`, with the time of their last part.
    replicas: RefCell<HashMap<String, Instant>>,
    registry: Rc<Registry>,
}

impl Runner {
    /// Starts a runner at an address that no other one listens on.
    pub(crate) async fn start(
        registry: &Rc<Registry>,
        id: String,
        role: Role,
        address: SocketAddr,
        [gap, work, resume]: [Duration; 3],
    ) -> Rc<Runner> {
        let listener = TcpListener::bind(address).await.expect("the address is free");
        let runner = Rc::new(Runner {
            id,
            role,
            address,
            born: registry.record.unix_millis(Instant::now()),
            gap,
            work,
            resume,
            gone: Cell::new(false),
            dark: Cell::new(false),
            stalled: Cell::new(false),
            loses_response: Cell::new(false),
            rejects: Cell::new(false),
            trouble: Cell::default(),
            is_killed: Cell::default(),
            wakers: RefCell::default(),
            tasks: RefCell::default(),
            active: RefCell::default(),
            replicas: RefCell::default(),
            registry: registry.clone(),
        });
        registry.runners.borrow_mut().insert(address, runner.clone());
        let accepting = runner.clone();
        let task = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepting.clone().serve(stream);
            }
        });
        runner.tasks.borrow_mut().push((task.abort_handle(), Rc::default()));
        runner
    }

    /// Ends its process: its connections are reset or closed, new ones are refused.
    pub(crate) fn crash(&self) {
        self.gone.set(true);
        self.is_killed.set(rand::random());
        if self.is_killed.get() {
            self.registry.record.disturb(&self.id, KILLED, Duration::ZERO);
        }
        self.tasks.take().into_iter().for_each(|(task, _)| task.abort());
        let mut runners = self.registry.runners.borrow_mut();
        if runners.get(&self.address).is_some_and(|runner| runner.id == self.id) {
            runners.remove(&self.address);
        }
    }

    /// Stops or resumes everything that it does; its connections stay open.
    pub(crate) fn set_dark(&self, dark: bool) {
        self.dark.set(dark);
        self.wakers.take().into_iter().for_each(Waker::wake);
    }

    /// Resets its connections.
    pub(crate) fn reset_connections(&self) {
        self.tasks.borrow().iter().skip(1).for_each(|(task, _)| task.abort());
    }

    /// Lets its connections go silent for good, without a reset; new ones work.
    pub(crate) fn silence_connections(&self) {
        let cut = Cut { reads: true, writes: true, is_final: true };
        self.tasks.borrow().iter().skip(1).for_each(|(_, connection)| connection.set(cut));
    }

    /// Cuts its connections for a time; new ones work.
    pub(crate) fn cut_connections(&self, reads: bool, writes: bool) {
        let cut = Cut { reads, writes, is_final: false };
        let tasks = self.tasks.borrow();
        let open = tasks.iter().skip(1).filter(|(_, connection)| !connection.get().is_final);
        open.for_each(|(_, connection)| connection.set(cut));
    }

    /// Ends the cuts of its connections.
    pub(crate) fn restore_connections(&self) {
        let tasks = self.tasks.borrow();
        let open = tasks.iter().skip(1).filter(|(_, connection)| !connection.get().is_final);
        open.for_each(|(_, connection)| connection.set(Cut::default()));
        self.wakers.take().into_iter().for_each(Waker::wake);
    }

    fn poll_awake(&self, is_cut: bool, context: &Context<'_>) -> Poll<()> {
        if self.dark.get() || is_cut {
            self.wakers.borrow_mut().push(context.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(())
    }

    async fn awake(&self) {
        std::future::poll_fn(|context| self.poll_awake(false, context)).await;
    }

    fn serve(self: Rc<Runner>, stream: TcpStream) {
        let cut = Rc::<Cell<Cut>>::default();
        let state = cut.clone();
        let trouble = Rc::<Cell<_>>::default();
        let current = trouble.clone();
        let stream = Connection { runner: self.clone(), stream, cut, trouble, is_served: false };
        let runner = self.clone();
        let service = service_fn(move |request| {
            let runner = runner.clone();
            let is_own = request.uri().path().starts_with("/api/");
            let is_corrupted = || rand::rng().random_bool(CORRUPTED_SHARE);
            let is_long = request.size_hint().lower() > LONG;
            let trouble = runner.trouble.get().filter(|_| !is_own && is_corrupted());
            let trouble =
                trouble.map(|trouble| if is_long && is_corrupted() { EARLY } else { trouble });
            current.set(trouble);
            async move {
                let response = respond(runner.clone(), request, trouble).await?;
                Ok::<_, io::Error>(match trouble {
                    Some(trouble) => {
                        runner.registry.record.count(trouble.name());
                        trouble.apply(response)
                    }
                    None => response,
                })
            }
        });
        let task = tokio::task::spawn_local(async move {
            let mut stream = stream;
            _ = http1::Builder::new().serve_connection(TokioIo::new(&mut stream), service).await;
            stream.is_served = stream.trouble.get().is_none_or(|trouble| !trouble.is_reset());
        });
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|(task, _)| !task.is_finished());
        tasks.push((task.abort_handle(), state));
    }

    fn report(&self) -> Value {
        let active = self.active.borrow();
        let runs: Vec<Value> = active.iter().map(|(id, n)| json!([id, 5_200, n, 5])).collect();
        json!({"stage": "both", "models": [{"name": self.role.model, "version": 1, "adapters": []}],
            "busy": false, "seq": 0, "waiting": 0, "running": active.len(),
            "kv_used": 5_200 * active.len(), "kv_total": MEMORY, "handles": 0, "runs": runs, "born": self.born})
    }

    /// Copies a run's memory to another engine.
    fn copy(&self, body: &[u8]) -> Response<Body> {
        let request: Value = serde_json::from_slice(body).unwrap_or_default();
        let id = request["id"].as_str().unwrap_or_default();
        let Some(events) = self.active.borrow().get(id).copied() else { return status(404) };
        let to = request["to"].as_str().and_then(|to| to.parse().ok());
        let handle = format!("h{events}-{id}");
        let is_copied =
            to.is_some_and(|to| self.replicate(to, format!("{}/{handle}", self.address)));
        match is_copied {
            true => json_response(&json!({"handle": handle, "created": events})),
            false => status(503),
        }
    }

    /// Creates or extends a replica; returns whether there is an engine at the address.
    fn replicate(&self, to: SocketAddr, reference: String) -> bool {
        let runners = self.registry.runners.borrow();
        let holder = runners.get(&to).filter(|r| r.role.model.is_some() && !r.dark.get());
        holder.is_some_and(|h| {
            h.replicas.borrow_mut().insert(reference, Instant::now());
            true
        })
    }

    /// Uses a replica, if there is one.
    fn take_replica(&self, reference: &str) -> bool {
        let part = self.replicas.borrow_mut().remove(reference);
        part.is_some_and(|part| part.elapsed() < REPLICA_TTL)
    }
}

/// A run, which ends when it is dropped.
struct ActiveRun {
    runner: Rc<Runner>,
    id: String,
    index: usize,
}

impl Drop for ActiveRun {
    fn drop(&mut self) {
        self.runner.active.borrow_mut().remove(&self.id);
        self.runner.registry.record.runs.borrow_mut()[self.index].end = Some(Instant::now());
    }
}

async fn respond(
    runner: Rc<Runner>,
    request: Request<Incoming>,
    trouble: Option<Trouble>,
) -> io::Result<Response<Body>> {
    let (parts, body) = request.into_parts();
    let id = text(&parts.headers, "x-bilberryfront-attempt-id");
    let sent = || Some(runner.registry.record.attempts.borrow().get(id.as_ref()?)?.body.clone());
    let body = match trouble {
        Some(trouble) if trouble.is_early() => sent().unwrap_or_default(),
        _ => body.collect().await.map_err(io::Error::other)?.to_bytes(),
    };
    let is_engine = runner.role.model.is_some();
    match parts.uri.path() {
        "/api/report" if is_engine => return Ok(json_response(&runner.report())),
        "/api/kv-events" if is_engine => {
            return Ok(json_response(&json!({"epoch": 1, "next": 1, "lost": false, "events": []})));
        }
        "/api/kv-move" if is_engine => return Ok(runner.copy(&body)),
        path if is_engine && path.starts_with("/api/kv-handle/") => return Ok(status(200)),
        _ => {}
    }
    let Some(id) = id else { return Ok(not_executed(400, "")) };
    let number = |name| text(&parts.headers, name).and_then(|value| value.parse::<u64>().ok());
    let (after, left) = (number("last-event-id"), number("x-bilberryfront-deadline-ms"));
    let from = text(&parts.headers, "kv-from");
    let mut run = Run {
        id: id.clone(),
        runner: runner.id.clone(),
        role: runner.role,
        address: runner.address,
        path: parts.uri.path().to_owned(),
        body: body.clone(),
        tenant: text(&parts.headers, "x-bilberryfront-tenant"),
        from: from.clone(),
        after,
        left: left.map(Duration::from_millis),
        at: Instant::now(),
        first: None,
        end: None,
        rejected: None,
        trouble,
    };
    let expected = text(&parts.headers, "x-bilberryfront-expect-instance");
    run.rejected = match () {
        () if expected.is_some_and(|expected| expected != runner.id) => Some(421),
        () if runner.active.borrow().len() >= SLOTS => Some(503),
        () if runner.rejects.get() && rand::rng().random_bool(0.9) => Some(503),
        () if is_engine && from.as_deref().is_some_and(|from| !runner.take_replica(from)) => {
            Some(503)
        }
        () => None,
    };
    let rejected = run.rejected;
    let index = runner.registry.record.add(run);
    let own = runner.id.parse().expect("an id is a valid header");
    if let Some(status) = rejected {
        let mut response = not_executed(status, &id);
        response.headers_mut().insert("x-bilberryfront-instance-id", own);
        return Ok(response);
    }
    runner.active.borrow_mut().insert(id.clone(), 0);
    let active = ActiveRun { runner: runner.clone(), id: id.clone(), index };
    let left = Duration::from_millis(left.unwrap_or(60_000));
    let mut response = match is_engine {
        true => {
            let backup = text(&parts.headers, "x-bilberryfront-kv-backup");
            let backup = backup.and_then(|address| address.parse().ok());
            let prefill = if from.is_some() { runner.resume } else { runner.work };
            generate(active, after.unwrap_or(0), prefill, left, backup)
        }
        false => {
            sleep(runner.work.min(left)).await;
            runner.awake().await;
            drop(active);
            if runner.loses_response.take() {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let mut response = Response::new(full(format!("done {id}").into()));
            if run_fails(parts.uri.path()) {
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            }
            response
        }
    };
    let headers = response.headers_mut();
    headers.insert("x-bilberryfront-attempt-id", id.parse().expect("it came in a header"));
    headers.insert("x-bilberryfront-server-stamp", own);
    Ok(response)
}

/// Returns whether a runner fails a call: one in seven of the lookups, each time.
fn run_fails(path: &str) -> bool {
    let number = path.strip_prefix("/look/q").and_then(|id| u64::from_str_radix(id, 16).ok());
    number.is_some_and(|number| number.is_multiple_of(7))
}

/// Streams the events after `after`.
fn generate(
    run: ActiveRun,
    after: u64,
    prefill: Duration,
    left: Duration,
    backup: Option<SocketAddr>,
) -> Response<Body> {
    let (sender, mut receiver) = mpsc::channel::<io::Result<Frame<Bytes>>>(16);
    tokio::task::spawn_local(async move {
        let runner = &run.runner;
        let generate = async {
            sleep(prefill).await;
            for event in after + 1..=EVENTS {
                sleep(runner.gap).await;
                while runner.stalled.get() {
                    sleep(runner.gap).await;
                }
                runner.awake().await;
                runner.active.borrow_mut().insert(run.id.clone(), event);
                runner.registry.record.start_run(run.index);
                if let Some(holder) = backup.filter(|_| event % REPLICA_EVENTS == 0) {
                    runner.replicate(holder, format!("{holder}/{}", run.id));
                }
                let text = format!("id: {event}\ndata: {event} {}\n\n", run.id);
                if sender.send(Ok(Frame::data(text.into()))).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = generate => {}
            () = sleep(left) => {
                _ = sender.send(Err(io::ErrorKind::TimedOut.into())).await;
            }
            () = sender.closed() => {}
        }
    });
    let frames = stream! {
        while let Some(frame) = receiver.recv().await {
            yield frame;
        }
    };
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let kind = "text/event-stream".parse().expect("a valid header");
    response.headers_mut().insert("content-type", kind);
    response
}

/// A connection that carries nothing in the directions that are cut, or while its runner is dark, and is reset if its task is aborted, unless its
/// runner is killed.
struct Connection {
    runner: Rc<Runner>,
    stream: TcpStream,
    cut: Rc<Cell<Cut>>,
    /// How the current response is corrupted.
    trouble: Rc<Cell<Option<Trouble>>>,
    is_served: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if !self.is_served && !self.runner.is_killed.get() {
            _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.runner.poll_awake(self.cut.get().reads, context));
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.runner.poll_awake(self.cut.get().writes, context));
        let corrupted = self.trouble.get().and_then(|trouble| trouble.corrupt(bytes));
        Pin::new(&mut self.stream).poll_write(context, corrupted.as_deref().unwrap_or(bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.runner.poll_awake(self.cut.get().writes, context));
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.runner.poll_awake(self.cut.get().writes, context));
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Returns the value of a header.
pub(crate) fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn not_executed(code: u16, id: &str) -> Response<Body> {
    let mut response = status(code);
    let headers = response.headers_mut();
    headers.insert("x-bilberryfront-not-executed", "1".parse().expect("a valid header"));
    if !id.is_empty() {
        headers.insert("x-bilberryfront-attempt-id", id.parse().expect("it came in a header"));
    }
    response
}

fn status(code: u16) -> Response<Body> {
    let mut response = json_response(&json!({}));
    *response.status_mut() = code.try_into().expect("a valid status");
    response
}

fn json_response(value: &Value) -> Response<Body> {
    Response::new(full(value.to_string().into()))
}

fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
