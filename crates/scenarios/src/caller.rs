//! Callers: what each asked for, and what it holds.

use {
    crate::{
        language::{Call, Request, Resume},
        node::Node,
        table::Link,
        wire::Wire,
    },
    bilberryfront::traffic::{
        InFlight, access, auth,
        problem::{Kind as ProblemKind, not_run},
        send::Reply,
        services::{self, Services, job},
        stream::{Driver, Job, Piece},
    },
    bilberryfront_decide::{
        catalog::{Catalog, Kind},
        generation::{
            Generation,
            event_id::{Digest, EventId},
        },
    },
    bilberryfront_wire::{problem::Problem, runner::prefix_bytes},
    compact_str::{CompactString, format_compact},
    http::{HeaderMap, HeaderValue, header::AUTHORIZATION},
    std::sync::{Arc, Mutex, atomic::AtomicUsize},
    tokio::{task::AbortHandle, time::Instant},
    volo_http::body::Body,
};

/// Entry of the engines.
pub(crate) const ENGINE: &str = "llm";
/// Bytes from which a prompt is of medium length, as the callers' face has it.
const MEDIUM: usize = 2 << 10;
/// Entry of the services.
pub(crate) const SERVICE: &str = "app";

/// How an answer ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum End {
    /// The whole answer is held.
    Whole,
    /// With a problem document.
    Problem(Problem),
    /// The connection closed without a word.
    Cut,
    /// There was no connection: the node is dead.
    Unreached,
    /// The caller itself closed it.
    HungUp,
}

/// What a caller asked for.
#[derive(Clone, Debug)]
pub(crate) enum Asked {
    Generation(Request),
    Call(Call),
}

/// What one caller knows.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) name: CompactString,
    pub(crate) node: CompactString,
    pub(crate) asked: Asked,
    /// Identifiers of its generations at the runners.
    pub(crate) legs: Vec<CompactString>,
    /// Event id and text of each token of a stream.
    pub(crate) tokens: Vec<(CompactString, CompactString)>,
    /// The answer, when it came in one piece.
    pub(crate) body: String,
    pub(crate) end: Option<End>,
    /// When it first asked.
    pub(crate) since: Instant,
    /// When it last sent or heard something, before the end.
    pub(crate) active: Instant,
    /// When it was told the end.
    pub(crate) ended: Instant,
    /// Whether its node was paused meanwhile.
    pub(crate) paused: bool,
}

/// A caller that its task at a node fills.
pub(crate) type Shared = Arc<Mutex<Caller>>;

impl Caller {
    pub(crate) fn new(name: &CompactString, node: &CompactString, asked: Asked) -> Shared {
        Arc::new(Mutex::new(Caller {
            name: name.clone(),
            node: node.clone(),
            asked,
            legs: vec![],
            tokens: vec![],
            body: String::new(),
            end: None,
            since: Instant::now(),
            active: Instant::now(),
            ended: Instant::now(),
            paused: false,
        }))
    }

    /// The text held.
    pub(crate) fn text(&self) -> String {
        match self.tokens.is_empty() {
            true => self.body.clone(),
            false => self.tokens.iter().map(|(_, t)| t.as_str()).collect(),
        }
    }

    fn close(&mut self, end: End) {
        self.end = Some(end);
        self.ended = Instant::now();
    }
}

/// Closes a caller's connection from one end or the other, unless its answer has ended.
pub(crate) fn close(caller: &Shared, end: End) {
    let mut caller = caller.lock().unwrap();
    if caller.end.is_none() {
        caller.close(end);
    }
}

/// Sends a request for an answer, or its resume, to a node.
pub(crate) fn ask(node: &mut Node, caller: &Shared, resume: Option<&Resume>) -> AbortHandle {
    let leg = {
        let mut held = caller.lock().unwrap();
        if let Some(resume) = resume {
            let keep = held.tokens.len().saturating_sub(resume.forget);
            held.tokens.truncate(keep);
            held.body.clear();
        }
        (held.end, held.active, held.node) = (None, Instant::now(), node.name.clone());
        let leg = format_compact!("{}-{}", held.name, held.legs.len() + 1);
        held.legs.push(leg.clone());
        leg
    };
    let (control, wire, caller) = (node.control.clone(), node.wire.clone(), caller.clone());
    let open = node.leaving.in_flight.clone();
    node.spawn(async move {
        let catalog = control.view().catalog.clone();
        let prepared = InFlight::new(&control, &open)
            .and_then(|e| Ok((e, prepare(&catalog, &caller.lock().unwrap(), leg)?)));
        match prepared {
            Ok((_entered, (job, generation))) => {
                follow(Driver::new(control, wire, job, generation), &caller).await;
            }
            Err(problem) => caller.lock().unwrap().close(End::Problem(problem)),
        }
    })
}

/// As the callers' face prepares a request; its reading of HTTP is tested through processes.
fn prepare(
    catalog: &Catalog,
    caller: &Caller,
    leg: CompactString,
) -> Result<(Job, Generation), Problem> {
    let Asked::Generation(request) = &caller.asked else { panic!("{} is a call", caller.name) };
    let account = auth::account(catalog, &key(&request.account))?;
    let (key, entry) = access::find(catalog, account, ENGINE, Kind::Engine)?;
    let max = entry.limits.max_tokens;
    let seed = Digest::new(&request.account, ENGINE, &request.prompt, max);
    let held = caller.text();
    let generation = match caller.tokens.last() {
        None => Generation::new(seed, max, !request.whole),
        Some((id, _)) => {
            let event = id.parse::<EventId>().expect("nodes write event ids");
            let gone = || not_run(ProblemKind::ResumeMismatch, "its version is gone");
            let listed = entry.versions.contains(&event.version);
            let resumed = Generation::resume(seed, max, &event, &held);
            resumed.filter(|_| listed).ok_or_else(gone)?
        }
    };
    let prompt = request.prompt.to_string();
    let job = Job {
        request: caller.name.clone(),
        runner_request: leg,
        entry: key,
        account,
        limits: entry.limits,
        model: ENGINE.into(),
        route: if prompt.len() < MEDIUM { "interactive/short" } else { "interactive/medium" }
            .into(),
        prefix: xxhash_rust::xxh64::xxh64(prefix_bytes(&prompt), 0),
        prompt,
        max,
        priority: 8,
        resumed_text: held,
    };
    Ok((job, generation))
}

async fn follow(mut driver: Driver<Wire>, caller: &Shared) {
    let whole = matches!(&caller.lock().unwrap().asked, Asked::Generation(r) if r.whole);
    while let Some(piece) = driver.next().await {
        let mut caller = caller.lock().unwrap();
        match piece {
            Piece::Tokens(_) if whole => {}
            Piece::Tokens(tokens) => {
                caller.active = Instant::now();
                caller.tokens.extend(tokens.into_iter().map(|t| (t.id, t.text)));
            }
            Piece::Finish(_) if whole => {
                caller.body = driver.into_text();
                return caller.close(End::Whole);
            }
            Piece::Finish(_) => caller.close(End::Whole),
            Piece::Failed(problem) => caller.close(End::Problem(problem)),
        }
    }
}

/// Calls a plain service through a node.
pub(crate) fn call(node: &mut Node, caller: &Shared) -> AbortHandle {
    let (services, caller) = (node.services.clone(), caller.clone());
    let open = node.leaving.in_flight.clone();
    node.spawn(async move {
        let Asked::Call(call) = caller.lock().unwrap().asked.clone() else { panic!("no call") };
        let answer = route(services, &open, &call).await;
        let mut caller = caller.lock().unwrap();
        match answer {
            Ok(reply) => {
                caller.body = String::from_utf8_lossy(&reply.body).into();
                caller.close(End::Whole);
            }
            Err(problem) => caller.close(End::Problem(problem)),
        }
    })
}

async fn route(
    services: Services<Link, Wire>,
    open: &Arc<AtomicUsize>,
    call: &Call,
) -> Result<Reply, Problem> {
    let entered = InFlight::new(&services.control, open)?;
    let catalog = services.control.view().catalog.clone();
    let job = read(&catalog, call).await?;
    match call.key.clone() {
        Some(key) => services::once::run(services, job, key, entered).await,
        None => services::repeat::run(&services, &job).await,
    }
}

async fn read(catalog: &Catalog, call: &Call) -> Result<job::Job, Problem> {
    let account = auth::account(catalog, &key(&call.account))?;
    let method = if call.key.is_some() { "POST" } else { "GET" };
    let mut request = http::Request::builder()
        .method(method)
        .uri(format!("/v1/services/{SERVICE}/corrections"))
        .header("call", call.name.as_str());
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", key.as_str());
    }
    let (head, ()) = request.body(()).expect("scenarios have plain names").into_parts();
    job::Job::read(catalog, account, &head, Body::from(call.body.to_string())).await
}

/// The headers of an account, whose key is its name.
fn key(account: &str) -> HeaderMap {
    let value = HeaderValue::from_str(&format!("Bearer {account}"));
    HeaderMap::from_iter([(AUTHORIZATION, value.expect("scenarios have plain names"))])
}
