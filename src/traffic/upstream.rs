//! Client for an attempt of a generation at a runner.

pub mod events;

use {
    crate::platform::http::is_unsent,
    bilberryfront_decide::{event::Verdict, id::Attempt},
    bilberryfront_relay::framing::Framing,
    bilberryfront_wire::runner::{DONE, FINISH, Finish, Generate, Token},
    compact_str::format_compact,
    events::{BadEvent, EventFrames},
    futures_util::FutureExt,
    http::{Method, StatusCode},
    std::time::Duration,
    tokio::time::timeout,
    volo_http::{
        body::Body,
        client::{
            Client,
            sse::{SseEvent, SseReader},
        },
        error::BoxError,
        response::Response,
    },
};

/// A result whose error is the failure of the attempt.
pub type Result<T> = std::result::Result<T, Failure>;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The attempt failed; another runner may succeed.
    Lost(Verdict),
    /// No connection was established, so no byte of the request was sent.
    Unsent,
    /// The runner rejected the request as invalid; another runner would do the same.
    Refused(StatusCode),
}

/// An event of a runner's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum RunnerEvent {
    /// A token and the attempt it belongs to.
    Token(Attempt, Token),
    /// All tokens have been sent.
    Finish(Finish),
    /// The end of the stream.
    Done,
}

/// Opens attempts at runners; tests replace it by fakes.
pub trait Engines: Send + Sync + 'static {
    /// An open stream.
    type Stream: Source;

    /// Sends the request to the runner at `url`, and waits at most `wait` for the head of the
    /// response.
    fn open(
        &self,
        url: &str,
        generate: &Generate,
        wait: Duration,
    ) -> impl Future<Output = Result<Self::Stream>> + Send;
}

/// The response stream of a runner. Dropping it cancels the generation at the runner.
pub trait Source: Send + 'static {
    /// Waits at most `wait` for the next event.
    fn next(&mut self, wait: Duration) -> impl Future<Output = Result<RunnerEvent>> + Send;

    /// Returns the next event if it has already arrived.
    fn try_next(&mut self) -> Option<Result<RunnerEvent>>;
}

/// Engines over HTTP.
#[derive(Clone)]
pub struct HttpEngines {
    client: Client,
}

impl HttpEngines {
    /// Creates engines that are accessed with `client`.
    pub fn new(client: Client) -> HttpEngines {
        HttpEngines { client }
    }
}

/// A runner's response stream over HTTP.
pub struct Upstream {
    reader: SseReader<EventFrames>,
}

impl Engines for HttpEngines {
    type Stream = Upstream;

    async fn open(&self, url: &str, generate: &Generate, wait: Duration) -> Result<Upstream> {
        let body = serde_json::to_vec(generate).expect("wire types always serialize");
        let request = self
            .client
            .post(format_compact!("{url}/generate").as_str())
            .header("content-type", "application/json")
            .body(Body::from(body));
        let response = match timeout(wait, request.send::<Body>()).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if is_unsent(&error) => return Err(Failure::Unsent),
            Ok(Err(_)) => return Err(Failure::Lost(Verdict::Broken)),
            Err(_) => return Err(Failure::Lost(Verdict::Stalled)),
        };
        let (head, body) = response.into_parts();
        Framing::of(&Method::POST, &head).map_err(|_| garbled())?;
        Upstream::new(Response::from_parts(head, body))
    }
}

impl Upstream {
    /// Returns the stream in a runner's response.
    pub fn new(response: Response) -> Result<Upstream> {
        check_status(response.status())?;
        let (head, body) = response.into_parts();
        let events = Response::from_parts(head, EventFrames::new(body));
        let reader = SseReader::into_sse(events).map_err(|_| garbled())?;
        Ok(Upstream { reader })
    }
}

impl Source for Upstream {
    async fn next(&mut self, wait: Duration) -> Result<RunnerEvent> {
        match timeout(wait, self.reader.read()).await {
            Ok(read) => convert(read),
            Err(_) => Err(Failure::Lost(Verdict::Stalled)),
        }
    }

    fn try_next(&mut self) -> Option<Result<RunnerEvent>> {
        self.reader.read().now_or_never().map(convert)
    }
}

fn convert(read: std::result::Result<Option<SseEvent>, BoxError>) -> Result<RunnerEvent> {
    match read {
        Ok(Some(event)) => parse(&event),
        Ok(None) => Err(garbled()),
        Err(error) if error.is::<BadEvent>() => Err(garbled()),
        Err(_) => Err(Failure::Lost(Verdict::Broken)),
    }
}

fn check_status(status: StatusCode) -> Result<()> {
    match status {
        StatusCode::OK => Ok(()),
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => Err(Failure::Refused(status)),
        _ => Err(Failure::Lost(Verdict::Rejected)),
    }
}

fn parse(event: &SseEvent) -> Result<RunnerEvent> {
    let data = event.data().unwrap_or_default();
    if data == DONE {
        return Ok(RunnerEvent::Done);
    }
    if event.event() == FINISH {
        return serde_json::from_str(data).map(RunnerEvent::Finish).map_err(|_| garbled());
    }
    let attempt = event
        .id()
        .and_then(|id| id.split_once(':'))
        .and_then(|(attempt, _)| attempt.parse().ok())
        .ok_or_else(garbled)?;
    let token = serde_json::from_str(data).map_err(|_| garbled())?;
    Ok(RunnerEvent::Token(attempt, token))
}

fn garbled() -> Failure {
    Failure::Lost(Verdict::Garbled)
}
