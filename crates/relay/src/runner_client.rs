//! One send of a request to one runner.

mod restart;

use {
    crate::{
        call::Call,
        dialect::{Answer, Dialect, Identity, Order, Progress},
        fleet::{Fleet, Place},
        headers,
        lines::{ANSWER_LOST, NOT_RUN, RUN_FAILED},
        metrics::{Metrics, Part},
        network::Network,
        pool::{Line, SendError},
        view::Published,
    },
    bytes::Bytes,
    compact_str::CompactString,
    http::{
        HeaderMap, Method, Request, StatusCode, Uri, header, response::Parts, uri::PathAndQuery,
    },
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    std::{net::SocketAddr, str::FromStr, time::Duration},
    tokio::time::{Instant, sleep, timeout, timeout_at},
};

/// Most bytes of an answer that is held whole before it is passed on.
pub const ANSWER_BYTES: usize = 4 << 20;
/// Most bytes of a runner's "not run" that are read so that its connection can be used again.
const REFUSAL_BYTES: usize = 16 << 10;
/// Longest wait for them.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);
/// Part of the objective after which a runner that has sent nothing is asked. Later questions cost less;
/// what is left of the objective must do for another runner to read the prompt.
const PROBE_AFTER: f64 = 0.3;
/// Time between two questions.
const PROBE_EVERY: Duration = Duration::from_millis(400);
/// Events that a runner says it made, and that didn't come, after which its answer is taken for lost:
/// fewer may be on their way, or be sent before the report that tells of them is made.
const LOST_EVENTS: u32 = 8;
/// Longest wait for the answer to such a question, which needs no slot at the runner.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait for a runner's word on its cache: several times its way there and back, and a small part
/// of a pause that is on time.
const CACHE_TIMEOUT: Duration = Duration::from_millis(60);
/// Longest wait for a copy of a run's memory: at tens of gigabits a second one takes a fraction of a
/// second, and waits behind others.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);
/// Questions in a row without an answer after which a runner is taken for dead: one packet in thirty
/// may be lost on a bad link, and leaving a living runner throws away what it has read.
const PROBES: u32 = 2;

/// What came of a send.
pub enum Sent {
    /// A runner answered.
    Answered(Box<Reply>),
    /// The runner vouches that the request hasn't run there.
    NotRun,
    /// No byte left.
    Unsent,
    /// It may have run, and there is no answer.
    Lost(SendError),
}

/// A runner's answer whose body is still to come.
pub struct Reply {
    /// Its head.
    pub parts: Parts,
    /// What the head says.
    pub answer: Answer,
    /// Its body.
    pub body: Incoming,
    /// The connection, to be kept once the body has ended.
    pub line: Line,
}

/// How requests get to runners.
#[derive(Clone)]
pub struct Exchange<D, N> {
    /// How runners spell things.
    pub dialect: D,
    /// How they are connected to.
    pub network: N,
    /// The runners.
    pub fleet: Fleet,
    /// What the control thread has published.
    pub published: Published,
    /// What is counted.
    pub metrics: Metrics,
}

impl<D: Dialect, N: Network> Exchange<D, N> {
    /// Sends a request and waits for the head of the answer.
    pub async fn send(&self, call: &Call, place: &Place, order: &Order, until: Instant) -> Sent {
        let request = || {
            let headers = self.dialect.send(call, order);
            request(&call.method, &call.path, place.address, headers, call.body.clone())
        };
        let (response, line) = match self.carry(place, request, until).await {
            Ok(answered) => answered,
            Err(SendError::Unsent) => {
                log::info!(request = call.head.id.as_str(), runner = place.id.as_str();
                    "a runner took no connection");
                return Sent::Unsent;
            }
            Err(error) => {
                log::warn!(request = call.head.id.as_str(), runner = place.id.as_str();
                    "{ANSWER_LOST}{error}");
                return Sent::Lost(error);
            }
        };
        self.carried(Part::Request, place, call.body.len());
        let (mut parts, body) = response.into_parts();
        let answer = self.dialect.answer(&parts);
        if answer.unrun {
            log::info!(request = call.head.id.as_str(), runner = place.id.as_str(),
                status = parts.status.as_u16(), copy = order.copy.is_some();
                "{NOT_RUN}");
            self.refused(place, &answer, body, line).await;
            if let Some(id) = answer.runner.filter(|_| answer.moved) {
                tokio::task::spawn_local(restart::recognize(self.clone(), place.clone(), id));
            }
            return Sent::NotRun;
        }
        // An answer to another request can come on this connection when a runner sends one too many.
        // Whose it is only its id tells; passed on, it would be somebody else's data.
        if !answer.signed || !answer.fits(&call.head.id) {
            let status = parts.status.as_u16();
            log::warn!(request = call.head.id.as_str(), runner = place.id.as_str(), status;
                "an answer isn't signed or isn't this request's: dropped with its connection");
            return Sent::Lost(SendError::Broken);
        }
        headers::strip(&mut parts.headers);
        self.fleet.alive(place.key, Instant::now());
        Sent::Answered(Box::new(Reply { parts, answer, body, line }))
    }

    /// Reads the whole of an answer and keeps its connection.
    pub async fn whole(
        &self,
        reply: Box<Reply>,
        place: &Place,
        until: Instant,
    ) -> Result<(Parts, Bytes), SendError> {
        let Reply { parts, answer, body, line } = *reply;
        let read = Limited::new(body, ANSWER_BYTES).collect();
        let read = timeout_at(until, read).await;
        let runner = place.id.as_str();
        let request = answer.id.as_deref().unwrap_or_default();
        let error = match read {
            Ok(Ok(bytes)) => {
                let bytes = bytes.to_bytes();
                self.carried(Part::Answer, place, bytes.len());
                if is_failure(parts.status) {
                    log::info!(request, runner, status = parts.status.as_u16();
                        "{RUN_FAILED}");
                }
                self.fleet.keep(place.key, line, answer.idle);
                return Ok((parts, bytes));
            }
            Ok(Err(_)) => SendError::Broken,
            Err(_) => SendError::Silent,
        };
        log::warn!(request, runner; "{ANSWER_LOST}{error}, within its body");
        Err(error)
    }

    /// Counts a body, or a part of one.
    pub fn carried(&self, part: Part, place: &Place, bytes: usize) {
        self.metrics.carried(part, self.fleet.is_far(&place.domain), bytes);
    }

    /// Returns when a stream whose first event is awaited is better sent elsewhere: its runner doesn't
    /// answer questions, or says that it has made events which never came.
    ///
    /// A dead runner and a lost answer look alike from here, as silence, and so does a long prompt. The
    /// question tells them apart; without it the caller would wait until its patience ends. It is asked at once
    /// when somebody else has just lost that runner.
    pub async fn until_lost(&self, call: &Call, place: &Place) {
        tokio::select! {
            () = sleep(call.route.objective.mul_f64(PROBE_AFTER)) => {}
            () = self.fleet.until_lost(place.key) => {}
        }
        let mut missed = 0;
        while missed < PROBES {
            match self.progress(call, place).await {
                None => missed += 1,
                Some(Progress::Made(events)) if events >= LOST_EVENTS => {
                    log::info!(request = call.head.id.as_str(), runner = place.id.as_str(), events;
                        "a runner's answer is lost");
                    return;
                }
                Some(_) => {
                    missed = 0;
                    sleep(PROBE_EVERY).await;
                }
            }
        }
    }

    /// What a runner says of a request; `None` when it doesn't answer.
    async fn progress(&self, call: &Call, place: &Place) -> Option<Progress> {
        let body = self.ask(place, self.dialect.report_path(), PROBE_TIMEOUT).await?;
        Some(self.dialect.progress(&body, &call.head.id))
    }

    /// Tokens of a prompt's own part in the runner's cache; 0 when it doesn't answer in time.
    pub async fn cached(&self, place: &Place, prompt: u64) -> u32 {
        let answer = self.ask(place, self.dialect.cache_path(), CACHE_TIMEOUT).await;
        answer.map_or(0, |body| self.dialect.cached(&body, prompt))
    }

    /// Asks a runner to copy a run's memory to another one; the copy's name, when it is complete.
    pub async fn copy(&self, source: &Place, to: &Place, id: &str) -> Option<CompactString> {
        let order = self.dialect.copy_order(id, to.address).into();
        let path = self.dialect.copy_path();
        let answer = self.question(source, &Method::POST, path, order, COPY_TIMEOUT).await?;
        self.dialect.copied(&answer)
    }

    /// Tells a runner to drop a copy that it made, at both ends.
    pub async fn forget(&self, source: &Place, handle: &str) {
        let path = self.dialect.forget_path(handle);
        let forgotten =
            self.question(source, &Method::DELETE, &path, Bytes::new(), PROBE_TIMEOUT).await;
        if forgotten.is_none() {
            log::debug!("a copy wasn't dropped; it lapses by itself");
        }
    }

    /// Who the runner at an address says it is.
    async fn identity(&self, place: &Place) -> Option<Identity> {
        let body = self.ask(place, self.dialect.report_path(), PROBE_TIMEOUT).await?;
        self.dialect.identity(&body)
    }

    /// Asks a runner something that needs no slot there.
    async fn ask(&self, place: &Place, path: &'static str, limit: Duration) -> Option<Bytes> {
        self.question(place, &Method::GET, path, Bytes::new(), limit).await
    }

    async fn question(
        &self,
        place: &Place,
        method: &Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Option<Bytes> {
        let path = PathAndQuery::from_str(path).ok()?;
        let request = || request(method, &path, place.address, HeaderMap::new(), body.clone());
        let asked = async {
            let until = Instant::now() + limit;
            let (response, line) = self.carry(place, request, until).await.ok()?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, ANSWER_BYTES).collect().await.ok()?.to_bytes();
            self.fleet.alive(place.key, Instant::now());
            self.fleet.keep(place.key, line, self.dialect.answer(&parts).idle);
            parts.status.is_success().then_some(body)
        };
        timeout(limit, asked).await.ok()?
    }

    /// Sends over an idle connection, or over a new one if that has just been closed: as long as no
    /// byte has left, a second try can't make the request run twice.
    async fn carry(
        &self,
        place: &Place,
        request: impl Fn() -> Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<(http::Response<Incoming>, Line), SendError> {
        if let Some(mut line) = self.fleet.idle(place.key, Instant::now()) {
            match line.send(request(), until).await {
                Ok(response) => return Ok((response, line)),
                Err(SendError::Unsent) => {}
                Err(error) => return Err(error),
            }
        }
        let mut line = Line::connect(&self.network, place.address).await?;
        let response = line.send(request(), until).await?;
        Ok((response, line))
    }

    /// Reads the rest of a "not run", so that its connection can be used again.
    async fn refused(&self, place: &Place, answer: &Answer, body: Incoming, line: Line) {
        let now = Instant::now();
        match answer.moved {
            true => self.fleet.failed(place.key, now),
            false => self.fleet.full(place.key, now),
        }
        let read = Limited::new(body, REFUSAL_BYTES).collect();
        if let Ok(Ok(_)) = timeout(REFUSAL_TIMEOUT, read).await {
            self.fleet.keep(place.key, line, answer.idle);
        }
    }
}

/// Whether an answer is one that another runner may better.
pub fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

fn request(
    method: &Method,
    path: &PathAndQuery,
    address: SocketAddr,
    mut headers: HeaderMap,
    body: Bytes,
) -> Request<Full<Bytes>> {
    if !headers.contains_key(header::HOST) {
        let host = header::HeaderValue::from_str(&address.to_string());
        headers.insert(header::HOST, host.expect("an address is a valid header"));
    }
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method.clone();
    *request.uri_mut() = Uri::from(path.clone());
    *request.headers_mut() = headers;
    request
}
