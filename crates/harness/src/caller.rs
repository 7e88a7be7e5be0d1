//! Client of the HTTP API for callers. It fetches node addresses, streams completions and resumes an
//! interrupted stream on another node.

use {
    crate::http::{Answer, call, client},
    bilberryfront_wire::{
        completion::{Addresses, Completion, CompletionRequest, FinishReason},
        problem::Problem,
        runner::DONE,
    },
    http::Method,
    std::{io, time::Duration},
    tokio::time::{Instant, sleep},
    volo_http::{
        body::Body,
        client::{
            Client,
            sse::{SseEvent, SseReader},
        },
    },
};

/// Maximum resumes of one completion.
const MAX_RESUMES: u32 = 20;
/// Delay before a resume after a failed connection or an incomplete stream without a problem. A
/// problem states its own delay in `retry_after`, or ends the completion if it states none.
const RESUME_DELAY: Duration = Duration::from_millis(100);

/// A caller with an API key.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    bearer: String,
}

/// The received part of a streamed completion.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Received {
    /// Text of all events.
    pub text: String,
    /// Number of events without a finish reason.
    pub events: u32,
    /// Id of the last event.
    pub last: String,
    /// Why it ended; `None` if it is incomplete.
    pub finish: Option<FinishReason>,
    /// Token count reported by the node.
    pub tokens: u32,
    /// Longest time between two consecutive events without a finish reason; after a resume, from its
    /// request to its first event.
    pub gap: Duration,
    /// Time to the first event without a finish reason, from the request of the attempt that received
    /// it.
    pub first: Duration,
    /// Problem that ended the last attempt, if any.
    pub problem: Option<Problem>,
    /// Number of resumes.
    pub resumes: u32,
}

impl Received {
    /// Returns whether the completion was received to its end.
    pub fn is_whole(&self) -> bool {
        self.finish.is_some()
    }
}

impl Caller {
    /// Creates a caller with an API key.
    pub fn new(key: &str) -> Caller {
        Caller { client: client(), bearer: format!("Bearer {key}") }
    }

    /// Fetches the addresses of the nodes to use.
    pub async fn addresses(&self, node: &str) -> io::Result<Addresses> {
        let url = format!("{node}/v1/addresses");
        let headers = [("authorization", self.bearer.as_str())];
        call(&self.client, Method::GET, &url, &headers, Vec::new()).await?.json()
    }

    /// Sends a completion request and reads the whole response.
    pub async fn complete(&self, node: &str, request: &CompletionRequest) -> io::Result<Answer> {
        let url = format!("{node}/v1/completions");
        let headers =
            [("authorization", self.bearer.as_str()), ("content-type", "application/json")];
        call(&self.client, Method::POST, &url, &headers, to_json(request)).await
    }

    /// Calls a plain service.
    pub async fn service(
        &self,
        node: &str,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: Vec<u8>,
    ) -> io::Result<Answer> {
        let url = format!("{node}/v1/services/{path}");
        let mut headers =
            vec![("authorization", self.bearer.as_str()), ("content-type", "application/json")];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        call(&self.client, method, &url, &headers, body).await
    }

    /// Streams a completion, and calls `on_event` after each event. Resumes the completion on the next
    /// node in turn until it is complete, fails with a problem without `retry_after`, or has been
    /// resumed [`MAX_RESUMES`] times.
    pub async fn stream(
        &self,
        nodes: &[String],
        request: &CompletionRequest,
        on_event: impl FnMut(&Received),
    ) -> io::Result<Received> {
        let mut received = Received::default();
        let mut on_event = on_event;
        for attempt in 0..=MAX_RESUMES {
            let node = &nodes[attempt as usize % nodes.len()];
            received.resumes = attempt;
            received.problem = None;
            // After a connection error, the loop resumes the stream.
            _ = self.stream_once(node, request, &mut received, &mut on_event).await;
            let is_final = received.problem.as_ref().is_some_and(|p| p.retry_after.is_none());
            if received.is_whole() || is_final {
                break;
            }
            let retry_after = received.problem.as_ref().and_then(|p| p.retry_after);
            sleep(retry_after.map_or(RESUME_DELAY, |s| Duration::from_secs(s.into()))).await;
        }
        Ok(received)
    }

    /// Streams a completion from one node, resuming after the part in `received`. Calls `on_event`
    /// after each event, including errors and the event with the finish reason.
    pub async fn stream_once(
        &self,
        node: &str,
        request: &CompletionRequest,
        received: &mut Received,
        on_event: &mut impl FnMut(&Received),
    ) -> io::Result<()> {
        let mut request = CompletionRequest { stream: true, ..request.clone() };
        let mut post = self.client.post(format!("{node}/v1/completions"));
        post = post.header("authorization", self.bearer.as_str());
        if !received.last.is_empty() {
            request.resume = Some(received.text.clone());
            post = post.header("last-event-id", received.last.as_str());
        }
        let mut last_event_at = Instant::now();
        let response = post
            .body(Body::from(to_json(&request)))
            .send::<Body>()
            .await
            .map_err(io::Error::other)?;
        if !response.status().is_success() {
            received.problem = Some(parse_problem(response).await?);
            return Ok(());
        }
        let mut reader = SseReader::into_sse(response).map_err(io::Error::other)?;
        while let Some(event) = reader.read().await.map_err(io::Error::other)? {
            if event.data() == Some(DONE) {
                return Ok(());
            }
            apply_event(&event, received, &mut last_event_at)?;
            on_event(received);
        }
        Ok(())
    }
}

/// Adds an event to the received part. `last_event_at` is the time of the previous event, or of the
/// request before the first one.
fn apply_event(
    event: &SseEvent,
    received: &mut Received,
    last_event_at: &mut Instant,
) -> io::Result<()> {
    let data = event.data().unwrap_or_default();
    if event.event() == "error" {
        received.problem = Some(serde_json::from_str(data).map_err(io::Error::other)?);
        return Ok(());
    }
    let part: Completion = serde_json::from_str(data).map_err(io::Error::other)?;
    let choice = part
        .choices
        .first()
        .ok_or_else(|| io::Error::other("received an event without a choice"))?;
    let elapsed = last_event_at.elapsed();
    *last_event_at = Instant::now();
    match choice.finish_reason {
        Some(reason) => {
            received.finish = Some(reason);
            received.tokens = part.usage.map_or(0, |u| u.completion_tokens);
        }
        None if received.events == 0 => received.first = elapsed,
        None => received.gap = received.gap.max(elapsed),
    }
    received.text.push_str(&choice.text);
    received.events += u32::from(choice.finish_reason.is_none());
    received.last = event.id().unwrap_or_default().to_owned();
    Ok(())
}

async fn parse_problem(response: volo_http::response::Response) -> io::Result<Problem> {
    use volo_http::body::BodyConversion;
    let body = response.into_body().into_vec().await.map_err(io::Error::other)?;
    serde_json::from_slice(&body).map_err(io::Error::other)
}

fn to_json(request: &CompletionRequest) -> Vec<u8> {
    serde_json::to_vec(request).expect("wire types always serialize")
}
