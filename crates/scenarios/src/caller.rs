//! Simulated callers: what each requested and what it has received.

use {
    crate::{
        language::{Call, Request, Resume},
        node::Node,
        table::TableLink,
        wire::RunnerClient,
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

/// Catalogue entry that all engines serve.
pub(crate) const ENGINE_ENTRY: &str = "llm";
/// Prompt length from which a request counts as medium; the same bound as the callers' endpoint uses.
const MEDIUM_PROMPT_BYTES: usize = 2 << 10;
/// Catalogue entry that all plain services serve.
pub(crate) const SERVICE_ENTRY: &str = "app";

/// Outcome of a response.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum End {
    /// The caller received the complete response.
    Whole,
    /// The response ended with a problem document.
    Problem(Problem),
    /// The connection closed without an error message.
    Cut,
    /// No connection could be made because the node was dead.
    Unreached,
    /// The caller closed the connection.
    HungUp,
}

/// Operation that a caller requested.
#[derive(Clone, Debug)]
pub(crate) enum Operation {
    Generation(Request),
    Call(Call),
}

/// State of one caller.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) name: CompactString,
    pub(crate) node: CompactString,
    pub(crate) operation: Operation,
    /// Identifiers under which runners received its generations, one for each request or resume.
    pub(crate) runner_request_ids: Vec<CompactString>,
    /// Event id and text of each token of a stream.
    pub(crate) tokens: Vec<(CompactString, CompactString)>,
    /// Response body, if the response was not streamed.
    pub(crate) body: String,
    pub(crate) end: Option<End>,
    /// Time of the first request.
    pub(crate) requested_at: Instant,
    /// Time at which it last sent a request or received tokens, before the end.
    pub(crate) last_active_at: Instant,
    /// Time at which the response ended.
    pub(crate) ended_at: Instant,
    /// Whether its node was paused at any time since the request.
    pub(crate) paused: bool,
}

/// Caller shared with the node's task that handles its request.
pub(crate) type SharedCaller = Arc<Mutex<Caller>>;

impl Caller {
    pub(crate) fn new(
        name: &CompactString,
        node: &CompactString,
        operation: Operation,
    ) -> SharedCaller {
        Arc::new(Mutex::new(Caller {
            name: name.clone(),
            node: node.clone(),
            operation,
            runner_request_ids: vec![],
            tokens: vec![],
            body: String::new(),
            end: None,
            requested_at: Instant::now(),
            last_active_at: Instant::now(),
            ended_at: Instant::now(),
            paused: false,
        }))
    }

    /// Returns the text received so far.
    pub(crate) fn text(&self) -> String {
        match self.tokens.is_empty() {
            true => self.body.clone(),
            false => self.tokens.iter().map(|(_, t)| t.as_str()).collect(),
        }
    }

    fn close(&mut self, end: End) {
        self.end = Some(end);
        self.ended_at = Instant::now();
    }
}

/// Records `end` as the outcome, unless the response has already ended.
pub(crate) fn close(caller: &SharedCaller, end: End) {
    let mut caller = caller.lock().unwrap();
    if caller.end.is_none() {
        caller.close(end);
    }
}

/// Sends a generation request, or resumes one, at a node.
pub(crate) fn send_generation(
    node: &mut Node,
    caller: &SharedCaller,
    resume: Option<&Resume>,
) -> AbortHandle {
    let runner_request_id = {
        let mut held = caller.lock().unwrap();
        if let Some(resume) = resume {
            let keep = held.tokens.len().saturating_sub(resume.forget);
            held.tokens.truncate(keep);
            held.body.clear();
        }
        (held.end, held.last_active_at, held.node) = (None, Instant::now(), node.name.clone());
        let runner_request_id =
            format_compact!("{}-{}", held.name, held.runner_request_ids.len() + 1);
        held.runner_request_ids.push(runner_request_id.clone());
        runner_request_id
    };
    let (control, runner_client, caller) =
        (node.control.clone(), node.runner_client.clone(), caller.clone());
    let in_flight = node.leaving.in_flight.clone();
    node.spawn(async move {
        let catalog = control.view().catalog.clone();
        let prepared = InFlight::new(&control, &in_flight)
            .and_then(|e| Ok((e, prepare(&catalog, &caller.lock().unwrap(), runner_request_id)?)));
        match prepared {
            Ok((_entered, (job, generation))) => {
                record_stream(Driver::new(control, runner_client, job, generation), &caller).await;
            }
            Err(problem) => caller.lock().unwrap().close(End::Problem(problem)),
        }
    })
}

/// Prepares a generation as the callers' endpoint does. HTTP parsing is covered by tests that run the
/// real processes.
fn prepare(
    catalog: &Catalog,
    caller: &Caller,
    runner_request_id: CompactString,
) -> Result<(Job, Generation), Problem> {
    let Operation::Generation(request) = &caller.operation else {
        panic!("{} is a call", caller.name)
    };
    let account = auth::account(catalog, &auth_headers(&request.account))?;
    let (key, entry) = access::find(catalog, account, ENGINE_ENTRY, Kind::Engine)?;
    let max = entry.limits.max_tokens;
    let seed = Digest::new(&request.account, ENGINE_ENTRY, &request.prompt, max);
    let held = caller.text();
    let generation = match caller.tokens.last() {
        None => Generation::new(seed, max, !request.whole),
        Some((id, _)) => {
            let event = id.parse::<EventId>().expect("nodes send valid event ids");
            let gone = || {
                not_run(ProblemKind::ResumeMismatch, "the version is no longer in the catalogue")
            };
            let listed = entry.versions.contains(&event.version);
            let resumed = Generation::resume(seed, max, &event, &held);
            resumed.filter(|_| listed).ok_or_else(gone)?
        }
    };
    let prompt = request.prompt.to_string();
    let job = Job {
        request: caller.name.clone(),
        runner_request: runner_request_id,
        entry: key,
        account,
        limits: entry.limits,
        model: ENGINE_ENTRY.into(),
        route: if prompt.len() < MEDIUM_PROMPT_BYTES {
            "interactive/short"
        } else {
            "interactive/medium"
        }
        .into(),
        prefix: xxhash_rust::xxh64::xxh64(prefix_bytes(&prompt), 0),
        prompt,
        max,
        priority: 8,
        resumed_text: held,
    };
    Ok((job, generation))
}

async fn record_stream(mut driver: Driver<RunnerClient>, caller: &SharedCaller) {
    let whole = matches!(&caller.lock().unwrap().operation, Operation::Generation(r) if r.whole);
    while let Some(piece) = driver.next().await {
        let mut caller = caller.lock().unwrap();
        match piece {
            Piece::Tokens(_) if whole => {}
            Piece::Tokens(tokens) => {
                caller.last_active_at = Instant::now();
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

/// Sends a call to a plain service through a node.
pub(crate) fn send_call(node: &mut Node, caller: &SharedCaller) -> AbortHandle {
    let (services, caller) = (node.services.clone(), caller.clone());
    let in_flight = node.leaving.in_flight.clone();
    node.spawn(async move {
        let Operation::Call(call) = caller.lock().unwrap().operation.clone() else {
            panic!("the operation is not a call")
        };
        let answer = run_call(services, &in_flight, &call).await;
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

async fn run_call(
    services: Services<TableLink, RunnerClient>,
    in_flight: &Arc<AtomicUsize>,
    call: &Call,
) -> Result<Reply, Problem> {
    let entered = InFlight::new(&services.control, in_flight)?;
    let catalog = services.control.view().catalog.clone();
    let job = read_job(&catalog, call).await?;
    match call.key.clone() {
        Some(key) => services::once::run(services, job, key, entered).await,
        None => services::repeat::run(&services, &job).await,
    }
}

async fn read_job(catalog: &Catalog, call: &Call) -> Result<job::Job, Problem> {
    let account = auth::account(catalog, &auth_headers(&call.account))?;
    let method = if call.key.is_some() { "POST" } else { "GET" };
    let mut request = http::Request::builder()
        .method(method)
        .uri(format!("/v1/services/{SERVICE_ENTRY}/corrections"))
        .header("call", call.name.as_str());
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", key.as_str());
    }
    let (head, ()) = request.body(()).expect("names are valid in headers").into_parts();
    job::Job::read(catalog, account, &head, Body::from(call.body.to_string())).await
}

/// Returns the authorization header of an account. Its API key is the account's name.
fn auth_headers(account: &str) -> HeaderMap {
    let value = HeaderValue::from_str(&format!("Bearer {account}"));
    HeaderMap::from_iter([(AUTHORIZATION, value.expect("names are valid in headers"))])
}
