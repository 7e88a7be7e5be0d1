//! `POST /v1/completions`: completions by model engines.

use {
    super::{
        InFlight, Traffic, access, addresses, auth, body,
        meter::Meter,
        problem::{self, Kind, not_run},
        stream::{Delivered, Driver, Job, Piece},
        upstream::{Engines, HttpEngines},
    },
    bilberryfront_decide::{
        catalog::{Class, Entry, Kind as EntryKind},
        generation::{
            Generation,
            event_id::{Digest, EventId},
        },
    },
    bilberryfront_wire::{
        completion::{Choice, Completion, CompletionRequest, FinishReason, Usage},
        problem::Problem,
        runner::{DONE, prefix_bytes},
    },
    bytes::Bytes,
    compact_str::{CompactString, format_compact},
    futures_util::stream::{self, StreamExt},
    http::{HeaderMap, HeaderValue, Version, header},
    std::fmt::Write,
    sync_wrapper::SyncStream,
    volo_http::{body::Body, request::Request, response::Response, utils::Extension},
};

/// A result whose error is the response to the caller.
pub type Result<T> = std::result::Result<T, Problem>;

/// Header with the id of the last event that the caller received.
const LAST_EVENT_ID: &str = "last-event-id";
/// Priority of interactive requests at a runner.
const INTERACTIVE_PRIORITY: u8 = 8;
/// Priority of batch requests at a runner.
const BATCH_PRIORITY: u8 = 2;

/// Responds to a completion request with a JSON document or with server-sent events.
///
/// The future is boxed because the server keeps the memory of the handler's future as long as the
/// connection lasts: a stream would hold memory that only its start needs.
pub async fn complete(Extension(traffic): Extension<Traffic>, request: Request) -> Response {
    Box::pin(respond(traffic, request)).await
}

async fn respond(traffic: Traffic, request: Request) -> Response {
    let mut meter = Meter::start(traffic.control.metrics());
    let (head, body) = request.into_parts();
    let version = head.version;
    let guard = match traffic.begin_request() {
        Ok(guard) => guard,
        Err(problem) => return failed(&problem, &mut meter),
    };
    match prepare(&traffic, &head.headers, body).await {
        Err(problem) => failed(&problem, &mut meter),
        Ok((driver, true)) => {
            close_without_chunks(respond_stream(driver, meter, guard).await, version)
        }
        Ok((driver, false)) => respond_json(driver, meter).await,
    }
}

fn failed(problem: &Problem, meter: &mut Meter) -> Response {
    meter.problem(problem);
    problem::response(problem)
}

async fn prepare(
    traffic: &Traffic,
    headers: &HeaderMap,
    body: Body,
) -> Result<(Driver<HttpEngines>, bool)> {
    let view = traffic.control.view();
    let catalog = &view.catalog;
    let account = auth::account(catalog, headers)?;
    let bytes = body::read(body, access::largest_body(catalog)).await?;
    let request = parse(&bytes)?;
    let (key, entry) = access::find(catalog, account, &request.model, EntryKind::Engine)?;
    body::check(&bytes, entry.limits.body_bytes)?;
    let max = max_tokens(&request, entry)?;
    let name = &catalog.accounts[account].name;
    let seed = Digest::new(name, &request.model, &request.prompt, max);
    let new_id: CompactString = format_compact!("{:032x}", rand::random::<u128>());
    let (id, generation) = match last_event(headers)? {
        None if request.resume.is_some() => {
            return Err(not_run(Kind::BadRequest, "`resume` goes with `Last-Event-ID`"));
        }
        None => (new_id.clone(), Generation::new(seed, max, request.stream)),
        Some(event) => (event.request.clone(), resumed(seed, max, &request, entry, &event)?),
    };
    let job = Job {
        request: id,
        runner_request: new_id,
        entry: key,
        account,
        limits: entry.limits,
        prefix: xxhash_rust::xxh64::xxh64(prefix_bytes(&request.prompt), 0),
        route: route(entry.class, &request.prompt),
        model: request.model,
        prompt: request.prompt,
        max,
        priority: priority(entry.class),
        resumed_text: request.resume.unwrap_or_default(),
    };
    Ok((
        Driver::new(traffic.control.clone(), traffic.engines.clone(), job, generation),
        request.stream,
    ))
}

/// Parses a request; the problem names the field and the line.
pub fn parse(bytes: &[u8]) -> Result<CompletionRequest> {
    let mut json = serde_json::Deserializer::from_slice(bytes);
    let request = serde_path_to_error::deserialize(&mut json);
    let request = request.map_err(|error| {
        let (field, detail) = (format!("`{}`", error.path()), error.inner().to_string());
        let named = error.path().iter().next().is_none() || detail.contains(&field);
        let detail = if named { detail } else { format!("{field}: {detail}") };
        not_run(Kind::BadRequest, detail)
    })?;
    json.end().map_err(|error| not_run(Kind::BadRequest, error.to_string()))?;
    Ok(request)
}

fn max_tokens(request: &CompletionRequest, entry: &Entry) -> Result<u32> {
    let limit = entry.limits.max_tokens;
    match request.max_tokens {
        None => Ok(limit),
        Some(max) if (1..=limit).contains(&max) => Ok(max),
        Some(_) => {
            Err(not_run(Kind::BadRequest, format!("`max_tokens`: send a number from 1 to {limit}")))
        }
    }
}

fn last_event(headers: &HeaderMap) -> Result<Option<EventId>> {
    let Some(value) = headers.get(LAST_EVENT_ID) else { return Ok(None) };
    let id = value.to_str().ok().and_then(|v| v.parse().ok());
    id.map(Some).ok_or_else(|| {
        not_run(Kind::BadRequest, "`Last-Event-ID`: send the id of the last event as it came")
    })
}

fn resumed(
    seed: Digest,
    max: u32,
    request: &CompletionRequest,
    entry: &Entry,
    event: &EventId,
) -> Result<Generation> {
    let mismatch = |detail| not_run(Kind::ResumeMismatch, detail);
    if !request.stream {
        return Err(not_run(Kind::BadRequest, "`Last-Event-ID` goes with `stream`"));
    }
    if !entry.versions.contains(&event.version) {
        return Err(mismatch("the version that began the answer is gone: ask anew"));
    }
    let text = request.resume.as_deref().unwrap_or_default();
    Generation::resume(seed, max, event, text)
        .ok_or_else(|| mismatch("send the same body, and in `resume` all text up to that event"))
}

/// Returns the class and the size of the prompt: a faulty version may fail for long prompts only.
fn route(class: Class, prompt: &str) -> CompactString {
    /// Size below which a prompt is short, in bytes.
    const SHORT: usize = 2 << 10;
    /// Size from which a prompt is long, in bytes.
    const LONG: usize = 32 << 10;
    let class = match class {
        Class::Interactive => "interactive",
        Class::Batch => "batch",
    };
    let size = match prompt.len() {
        ..SHORT => "short",
        SHORT..LONG => "medium",
        _ => "long",
    };
    format_compact!("{class}/{size}")
}

fn priority(class: Class) -> u8 {
    match class {
        Class::Interactive => INTERACTIVE_PRIORITY,
        Class::Batch => BATCH_PRIORITY,
    }
}

async fn respond_json<E: Engines>(mut driver: Driver<E>, mut meter: Meter) -> Response {
    loop {
        match driver.next().await {
            Some(Piece::Tokens(tokens)) => meter.tokens(tokens.len()),
            Some(Piece::Finish(reason)) => {
                meter.complete();
                return addresses::json(&completion(driver, reason));
            }
            Some(Piece::Failed(problem)) => return failed(&problem, &mut meter),
            None => unreachable!("a generation ends with a finish or a failure"),
        }
    }
}

fn completion<E: Engines>(driver: Driver<E>, reason: FinishReason) -> Completion {
    let tokens = driver.tokens();
    let Job { request, model, .. } = driver.job().clone();
    let choice = Choice { index: 0, text: driver.into_text(), finish_reason: Some(reason) };
    let usage = Some(Usage { completion_tokens: tokens });
    Completion { id: request, model, choices: vec![choice], usage }
}

/// Responds with a stream. The head is sent with the first piece, so that a request that gets no
/// runner is rejected with its own status.
async fn respond_stream<E: Engines>(
    mut driver: Driver<E>,
    mut meter: Meter,
    guard: InFlight,
) -> Response {
    let first = match driver.next().await {
        Some(Piece::Failed(problem)) => return failed(&problem, &mut meter),
        Some(piece) => piece,
        None => unreachable!("a generation begins with a piece"),
    };
    count(&first, &mut meter);
    let first = render(&driver, &first);
    let state = (driver, meter, guard);
    let rest = stream::unfold(state, |(mut driver, mut meter, guard)| async {
        let piece = driver.next().await?;
        count(&piece, &mut meter);
        Some((render(&driver, &piece), (driver, meter, guard)))
    });
    let events = stream::once(async { first }).chain(rest);
    let frames = events.map(|bytes| Ok(http_body::Frame::data(bytes)));
    http::Response::builder()
        .header(header::CONTENT_TYPE, "text/event-stream")
        .header(header::CACHE_CONTROL, "no-cache")
        .body(Body::from_stream(SyncStream::new(frames)))
        .expect("statuses and headers are constants")
}

/// Returns a stream's response for a caller that speaks `version`. Without chunks it ends with the connection, but the
/// server would state that the connection is kept if the caller asked for it.
fn close_without_chunks(mut response: Response, version: Version) -> Response {
    if version < Version::HTTP_11 {
        *response.version_mut() = Version::HTTP_10;
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn count(piece: &Piece, meter: &mut Meter) {
    match piece {
        Piece::Tokens(tokens) => meter.tokens(tokens.len()),
        Piece::Finish(_) => meter.complete(),
        Piece::Failed(problem) => meter.problem(problem),
    }
}

/// Formats a piece as server-sent events.
fn render<E: Engines>(driver: &Driver<E>, piece: &Piece) -> Bytes {
    let mut out = String::new();
    match piece {
        Piece::Tokens(tokens) => tokens.iter().for_each(|t| write_token(&mut out, driver.job(), t)),
        Piece::Finish(reason) => write_finish(&mut out, driver, *reason),
        Piece::Failed(problem) => {
            let data = serde_json::to_string(problem).expect("wire types always serialize");
            write!(out, "event: error\ndata: {data}\n\n").expect("writing to a String can't fail");
        }
    }
    out.into()
}

fn write_token(out: &mut String, job: &Job, token: &Delivered) {
    let choice = Choice { index: 0, text: token.text.as_str().into(), finish_reason: None };
    write_event(out, &token.id, job, choice, None);
}

fn write_finish<E: Engines>(out: &mut String, driver: &Driver<E>, reason: FinishReason) {
    let choice = Choice { index: 0, text: String::new(), finish_reason: Some(reason) };
    let usage = Some(Usage { completion_tokens: driver.tokens() });
    write_event(out, &driver.event_id(), driver.job(), choice, usage);
    write!(out, "data: {DONE}\n\n").expect("writing to a String can't fail");
}

fn write_event(out: &mut String, id: &str, job: &Job, choice: Choice, usage: Option<Usage>) {
    let choices = vec![choice];
    let (request, model) = (job.request.clone(), job.model.clone());
    let data = Completion { id: request, model, choices, usage };
    let data = serde_json::to_string(&data).expect("wire types always serialize");
    write!(out, "id: {id}\ndata: {data}\n\n").expect("writing to a String can't fail");
}
