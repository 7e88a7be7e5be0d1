//! HTTP client for runners.

mod connect;
mod restart;

use {
    crate::{
        body::{ResponseBody, end_with_connection},
        call::Call,
        dialect::{Dialect, Identity, Progress, ResponseHead, SendOptions},
        fleet::{Endpoint, Fleet, Moment},
        framing::{Framing, has_no_body},
        headers,
        log_messages::{
            ENDED_BY_CLOSE, REJECTED_BY_RUNNER, REQUEST_SENT, RESPONSE_LOST, RUNNER_ERROR,
            WRONG_SERVICE,
        },
        metrics::{Metrics, Part, ResponseEnd},
        network::Network,
        pool::{Connection, Exchange, Response, SendError},
        view::Published,
    },
    bytes::Bytes,
    compact_str::CompactString,
    http::{
        HeaderMap, Method, Request, StatusCode, Uri, Version, header, response::Parts,
        uri::PathAndQuery,
    },
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    std::{cell::Cell, io, net::SocketAddr, str::FromStr, time::Duration},
    tokio::{
        io::AsyncReadExt,
        time::{Instant, sleep, sleep_until, timeout, timeout_at},
    },
};

/// Maximum size of a buffered response body.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Maximum size of a rejection's body that is read so that its connection can be reused.
const MAX_REJECTION_BYTES: usize = 16 << 10;
/// Timeout for reading the body of a rejection.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(50);
/// Share of the latency objective after which a runner that has sent no event is probed.
const PROBE_AFTER_SHARE: f64 = 0.3;
/// Probe interval.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Number of generated but undelivered events from which a response counts as lost; fewer events
/// may still be in transit.
const LOST_EVENT_COUNT: u32 = 8;
/// Probe timeout.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a cache lookup.
const CACHE_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of a replication request.
const REPLICATE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the connection that shows whether a runner has crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(50);
/// Timeout of that connection through another node.
const TUNNEL_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time within which that connection is closed if something else accepts it.
const CRASH_CLOSE_TIMEOUT: Duration = Duration::from_millis(20);
/// Consecutive failed probes after which a runner counts as lost.
const MAX_FAILED_PROBES: u32 = 2;

/// Outcome of a send.
pub enum SendOutcome {
    /// Response head received.
    Answered(Box<Reply>),
    /// Rejected without being run.
    NotRun,
    /// No connection could be established, so nothing was sent.
    Unsent,
    /// Nothing was sent, because there is no path to the runner at the moment.
    NoPath,
    /// Nothing was sent, because the runner is draining, paused, has no rate limit left for this node, or
    /// belongs to another service.
    Withheld,
    /// Nothing was sent, because the sender does not admit it any more.
    NotAdmitted,
    /// Sent, but no valid response was received; the request may have run.
    Lost(SendError),
}

/// Decision on a send, which is made once there is a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decision {
    Send,
    /// The runner may not get a request now.
    Withhold,
    /// The sender does not admit it any more.
    Reject,
}

/// Result of a check whether a runner has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashCheck {
    /// Its host refuses connections, or closes them at once.
    Crashed,
    /// It accepts connections.
    Running,
    /// It cannot be reached.
    Unreachable,
}

/// Sign that a request without a response is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossSign {
    /// The runner does not respond to probes.
    Unresponsive,
    /// Events that the runner has generated have not arrived.
    EventsMissing,
    /// The runner's version was rolled back.
    VersionRejected,
}

/// A response whose body is not read yet.
pub struct Reply {
    /// Head.
    pub parts: Parts,
    /// Decoded headers.
    pub head: ResponseHead,
    /// Body.
    pub body: Incoming,
    /// How the end of the body is stated.
    pub framing: Framing,
    /// Connection, which can be reused after the body.
    pub connection: Connection,
}

/// A response with its body, complete by its framing.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Head.
    pub parts: Parts,
    /// Body.
    pub body: Bytes,
    /// How the end of the body was stated.
    pub framing: Framing,
}

impl Answer {
    /// Returns whether the runner stated where the body ends. Otherwise it may have been killed within the body.
    pub fn is_confirmed(&self) -> bool {
        self.framing != Framing::Close
    }

    /// Returns whether the status and the body are those of `other`.
    pub fn equals(&self, other: &Answer) -> bool {
        self.parts.status == other.parts.status && self.body == other.body
    }

    /// Returns the response to the caller. The end of its body is stated only if the runner's was.
    pub fn into_response(self) -> http::Response<ResponseBody> {
        let is_confirmed = self.is_confirmed();
        let Answer { mut parts, body, .. } = self;
        if is_confirmed {
            return http::Response::from_parts(parts, body.into());
        }
        end_with_connection(&mut parts);
        http::Response::from_parts(parts, ResponseBody::until_close(body))
    }
}

/// A request to a runner itself, which needs no slot.
struct ControlRequest<'a> {
    method: Method,
    path: &'a str,
    body: Bytes,
    exchange: Exchange,
}

impl ControlRequest<'_> {
    fn without_body(method: Method, path: &str) -> ControlRequest<'_> {
        ControlRequest { method, path, body: Bytes::new(), exchange: Exchange::WithoutId }
    }
}

/// Client for all runners.
#[derive(Clone)]
pub struct RunnerClient<D, N> {
    /// Wire format.
    pub dialect: D,
    /// Transport.
    pub network: N,
    /// Known runners.
    pub fleet: Fleet,
    /// Latest view published by the control thread.
    pub published: Published,
    /// Metrics.
    pub metrics: Metrics,
}

impl<D: Dialect, N: Network> RunnerClient<D, N> {
    /// Sends a request, unless the runner may not get one now, and waits for the response head. `admit` is called
    /// once there is a connection for the request, and states whether it may be sent.
    pub async fn send(
        &self,
        call: &Call,
        endpoint: &Endpoint,
        options: &SendOptions,
        deadline: Instant,
        admit: impl Fn() -> bool,
    ) -> SendOutcome {
        let decision = Cell::new(None);
        let request = || {
            let is_first = decision.get().is_none();
            if is_first {
                decision.set(Some(match () {
                    () if !self.fleet.may_send(endpoint.key) => Decision::Withhold,
                    () if !admit() => Decision::Reject,
                    () if !self.fleet.admit(endpoint.key) => Decision::Withhold,
                    () => Decision::Send,
                }));
            }
            if decision.get() != Some(Decision::Send) {
                return None;
            }
            if is_first {
                self.log_send(call, endpoint, options);
            }
            let headers = self.dialect.request_headers(call, options);
            Some(request(&call.method, &call.path, endpoint.address, headers, call.body.clone()))
        };
        if let Some(registered) = self.fleet.service(endpoint.key).filter(|s| *s != call.service) {
            log::error!(request = call.head.id.as_str(), runner = endpoint.id.as_str(),
                service = call.service.as_str(), registered = registered.as_str(); "{WRONG_SERVICE}");
            return SendOutcome::Withheld;
        }
        if !self.fleet.may_send(endpoint.key) {
            return SendOutcome::Withheld;
        }
        if self.fleet.is_rate_limited(endpoint.key) {
            self.metrics.count_limited_send(options.earlier);
        }
        let sent_at = Moment::now();
        let exchange = Exchange::Call(call.head.id.clone());
        let exchanged = self.exchange(endpoint, &exchange, request, deadline).await;
        let (response, connection) = match exchanged {
            Ok(exchanged) => exchanged,
            Err(_) if decision.get() == Some(Decision::Withhold) => return SendOutcome::Withheld,
            Err(_) if decision.get() == Some(Decision::Reject) => return SendOutcome::NotAdmitted,
            Err(error @ (SendError::Unsent | SendError::NoPath)) => {
                log::info!(request = call.head.id.as_str(), runner = endpoint.id.as_str();
                    "cannot connect to the runner: {error}");
                return match error {
                    SendError::NoPath => SendOutcome::NoPath,
                    _ => SendOutcome::Unsent,
                };
            }
            Err(error) => {
                log::warn!(request = call.head.id.as_str(), runner = endpoint.id.as_str();
                    "{RESPONSE_LOST}{error}");
                // A runner with a malformed response has responded.
                if !matches!(error, SendError::Malformed(_)) {
                    self.record_lost_response(endpoint);
                }
                return SendOutcome::Lost(error);
            }
        };
        self.count_bytes(Part::Request, endpoint, call.body.len());
        let Response { mut parts, body, framing } = response;
        let head = self.dialect.parse_response(&parts);
        let is_valid = head.signed || head.not_run;
        // A runner may send an additional response, also to a request that it rejected. It would be read
        // as the response to the next request on the connection.
        if !is_valid || !head.is_for(&call.head.id) {
            let status = parts.status.as_u16();
            log::warn!(request = call.head.id.as_str(), runner = endpoint.id.as_str(), status,
                response = head.id.as_deref().unwrap_or_default();
                "response unsigned or for another request: connection closed");
            return SendOutcome::Lost(SendError::Disconnected);
        }
        self.apply_signals(endpoint, &head);
        if head.not_run {
            log::info!(request = call.head.id.as_str(), runner = endpoint.id.as_str(),
                status = parts.status.as_u16(), from_replica = options.from_replica.is_some(),
                retry_after = head.retry_after.unwrap_or_default().as_millis() as u64,
                response = head.id.as_deref().unwrap_or_default();
                "{REJECTED_BY_RUNNER}");
            self.finish_rejected(endpoint, &head, body, connection).await;
            if let Some(id) = head.runner.filter(|_| head.misdirected) {
                let is_restart = self.fleet.holds_address(endpoint.key);
                let found = restart::Found { id, is_restart };
                tokio::task::spawn_local(restart::identify(self.clone(), endpoint.clone(), found));
            }
            return SendOutcome::NotRun;
        }
        headers::strip(&mut parts.headers);
        // The caller's connection has its own version, and frames the body anew.
        parts.version = Version::HTTP_11;
        if !has_no_body(&call.method, parts.status) {
            parts.headers.remove(header::CONTENT_LENGTH);
        }
        self.fleet.record_alive(endpoint.key, sent_at);
        self.fleet.record_response(endpoint.key, Instant::now());
        SendOutcome::Answered(Box::new(Reply { parts, head, body, framing, connection }))
    }

    /// Logs where a request is sent, and why the runner serves it: its registration, or a replica.
    fn log_send(&self, call: &Call, endpoint: &Endpoint, options: &SendOptions) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let registered = self.fleet.registered(endpoint.key).unwrap_or_default();
        let from = options.from_replica.as_ref().map(|replica| replica.address.to_string());
        let view = self.published.load();
        log::debug!(request = call.head.id.as_str(), runner = endpoint.id.as_str(),
            address = endpoint.address.to_string().as_str(), route = call.route.name.as_str(),
            service = call.service.as_str(), registered = registered.service.as_str(),
            version = registered.version.as_str(), assumed = registered.assumed,
            from_replica = from.unwrap_or_default().as_str(), earlier = options.earlier,
            left = call.time_left().as_millis() as u64,
            catalogue = view.catalog.as_ref().map_or(0, |catalog| catalog.version);
            "{REQUEST_SENT}");
    }

    /// Applies the backpressure signals of a response: pause, drain announcement and rate limit. A
    /// missing rate limit ends an earlier one only if the request was run. Another runner at the address
    /// says nothing about this one.
    fn apply_signals(&self, endpoint: &Endpoint, head: &ResponseHead) {
        if head.misdirected {
            return;
        }
        if let Some(time) = head.retry_after.filter(|_| head.not_run) {
            self.fleet.pause(endpoint.key, time);
        }
        if head.draining {
            self.fleet.set_draining(endpoint.key);
        }
        self.fleet.set_brittle(endpoint.key, head.max_rejections);
        if head.rate_limit.is_some() || !head.not_run {
            self.fleet.set_rate_limit(endpoint.key, head.rate_limit);
        }
    }

    /// Reads the response body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// [`SendError::Disconnected`] if the body is incomplete by its framing, or too long;
    /// [`SendError::Malformed`] if it is longer than stated; [`SendError::Timeout`] at the deadline.
    pub async fn read_body(
        &self,
        reply: Box<Reply>,
        call: &Call,
        endpoint: &Endpoint,
        deadline: Instant,
    ) -> Result<Answer, SendError> {
        let Reply { parts, head, body, framing, connection } = *reply;
        let read = Limited::new(body, MAX_RESPONSE_BYTES).collect();
        let read = match timeout_at(deadline, read).await {
            Ok(Ok(body)) => connection.check_length().map(|()| body.to_bytes()),
            Ok(Err(_)) => Err(SendError::Disconnected),
            Err(_) => Err(SendError::Timeout),
        };
        let runner = endpoint.id.as_str();
        let request = call.head.id.as_str();
        let is_tunneled = connection.is_tunneled();
        let end = match &read {
            Ok(_) => ResponseEnd::Regular,
            Err(SendError::Timeout) => ResponseEnd::Silent,
            Err(SendError::Malformed(_)) => ResponseEnd::Disorder,
            Err(_) => ResponseEnd::Cut,
        };
        self.metrics.count_response_end(&call.service, framing, end);
        let error = match read {
            Ok(bytes) => {
                self.count_bytes(Part::Answer, endpoint, bytes.len());
                if is_failure(parts.status) {
                    log::info!(request, runner, status = parts.status.as_u16();
                        "{RUNNER_ERROR}");
                }
                match framing {
                    Framing::Close => log::info!(request, runner, bytes = bytes.len(),
                        tunneled = is_tunneled; "{ENDED_BY_CLOSE}"),
                    _ => self.fleet.return_connection(endpoint.key, connection, head.idle),
                }
                return Ok(Answer { parts, body: bytes, framing });
            }
            Err(error) => error,
        };
        log::warn!(request, runner, framing:?, tunneled = is_tunneled;
            "{RESPONSE_LOST}{error}, while reading the body");
        Err(error)
    }

    /// Counts bytes exchanged with a runner.
    pub fn count_bytes(&self, part: Part, endpoint: &Endpoint, bytes: usize) {
        self.metrics.count_runner_bytes(part, self.fleet.is_remote(&endpoint.domain), bytes);
    }

    /// Waits until a stream without events should be sent to another runner, because the runner
    /// fails its probes or has generated events that did not arrive. Probing starts earlier if
    /// another request finds the runner lost.
    pub async fn wait_until_lost(&self, call: &Call, endpoint: &Endpoint) -> LossSign {
        tokio::select! {
            () = sleep(call.route.objective.mul_f64(PROBE_AFTER_SHARE)) => {}
            () = self.fleet.wait_until_lost(endpoint.key) => {}
        }
        let mut missed = 0;
        while missed < MAX_FAILED_PROBES {
            if let Some(end) = self.fleet.paused_until(endpoint.key) {
                sleep_until(end).await;
            }
            match self.progress(call, endpoint).await {
                None => missed += 1,
                Some(Progress::Made(events)) if events >= LOST_EVENT_COUNT => {
                    log::info!(request = call.head.id.as_str(), runner = endpoint.id.as_str(), events;
                        "events generated by the runner have not arrived");
                    return LossSign::EventsMissing;
                }
                Some(_) => {
                    missed = 0;
                    sleep(PROBE_INTERVAL).await;
                }
            }
        }
        LossSign::Unresponsive
    }

    /// Waits until the runner of a request responds to a probe and reports the request.
    pub async fn wait_until_reported(&self, call: &Call, endpoint: &Endpoint) {
        while !self.is_reported(call, endpoint).await {
            sleep(PROBE_INTERVAL).await;
        }
    }

    /// Returns whether the runner of a request responds to a probe and reports the request. One that has
    /// restarted responds, but the request is lost.
    pub async fn is_reported(&self, call: &Call, endpoint: &Endpoint) -> bool {
        let progress = self.progress(call, endpoint).await;
        progress.is_some_and(|progress| progress != Progress::Unknown)
    }

    /// Returns whether a runner has responded just now, or responds to a probe. One that does not is
    /// marked as suspect.
    pub async fn is_responsive(&self, endpoint: &Endpoint) -> bool {
        if self.fleet.last_seen(endpoint.key).is_some_and(|at| at.elapsed() < PROBE_TIMEOUT) {
            return true;
        }
        let response = self.report(endpoint).await;
        if response.is_none() {
            self.record_lost_response(endpoint);
            self.fleet.mark_suspect(endpoint.key, Instant::now());
        }
        response.is_some()
    }

    /// Requests the progress of a request from its runner; `None` on failure, also if the report is malformed.
    async fn progress(&self, call: &Call, endpoint: &Endpoint) -> Option<Progress> {
        let control = ControlRequest::without_body(Method::GET, self.dialect.report_path());
        let decode = |body: Bytes| {
            let progress = self.dialect.progress(&body, &call.head.id)?;
            // A runner that has restarted with its id may have got the request since.
            let is_known = progress != Progress::Unknown || !self.is_replaced(endpoint, &body);
            is_known.then_some(progress)
        };
        self.query(endpoint, control, PROBE_TIMEOUT, decode).await
    }

    /// Requests the load report of a runner; `None` on failure, or if another process responds at its address.
    async fn report(&self, endpoint: &Endpoint) -> Option<Bytes> {
        let control = ControlRequest::without_body(Method::GET, self.dialect.report_path());
        let decode = |body: Bytes| (!self.is_replaced(endpoint, &body)).then_some(body);
        self.query(endpoint, control, PROBE_TIMEOUT, decode).await
    }

    /// Returns whether a load report was sent by another process than the runner's, and records that.
    fn is_replaced(&self, endpoint: &Endpoint, report: &[u8]) -> bool {
        let reported = self.dialect.born(report).ok().flatten();
        let registered = self.fleet.born(endpoint.key);
        let is_replaced = registered.is_some() && reported.is_some() && registered != reported;
        if is_replaced {
            log::info!(runner = endpoint.id.as_str(), born = reported.unwrap_or_default();
                "another process responds at the runner's address");
            self.fleet.record_replacement(endpoint.key, Instant::now());
        }
        is_replaced
    }

    /// Requests the number of the prompt's tokens in the runner's cache; 0 on failure.
    pub async fn cached_tokens(&self, endpoint: &Endpoint, prompt: u64) -> u32 {
        let head = self.get(endpoint, self.dialect.cache_path(), CACHE_TIMEOUT).await;
        head.map_or(0, |body| self.dialect.cached_tokens(&body, prompt))
    }

    /// Replicates a run to another runner and returns the handle of the complete replica.
    pub async fn replicate(
        &self,
        source: &Endpoint,
        to: &Endpoint,
        id: &str,
    ) -> Option<CompactString> {
        let options = self.dialect.replicate_body(id, to.address).into();
        let path = self.dialect.replicate_path();
        let (method, exchange) = (Method::POST, Exchange::Replication);
        let request = ControlRequest { method, path, body: options, exchange };
        let decode = |body: Bytes| self.dialect.replicated_handle(&body);
        self.query(source, request, REPLICATE_TIMEOUT, decode).await
    }

    /// Drops a replica on its source and its holder.
    pub async fn drop_replica(&self, source: &Endpoint, handle: &str) {
        let path = self.dialect.drop_replica_path(handle);
        let request = ControlRequest::without_body(Method::DELETE, &path);
        let dropped = self.query(source, request, PROBE_TIMEOUT, Some).await;
        if dropped.is_none() {
            log::debug!("cannot drop a replica; it will expire");
        }
    }

    /// Checks with a new connection whether a runner's process has ended. A broken connection alone is no
    /// evidence of a crash.
    pub async fn check_crash(&self, endpoint: &Endpoint) -> CrashCheck {
        match self.connect_for_check(endpoint).await {
            Ok(mut stream) => {
                let closed = timeout(CRASH_CLOSE_TIMEOUT, stream.read_u8()).await;
                match closed.is_ok_and(|read| read.is_err()) {
                    true => CrashCheck::Crashed,
                    false => CrashCheck::Running,
                }
            }
            Err(error) => match error.kind() {
                io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable => CrashCheck::Unreachable,
                _ => CrashCheck::Crashed,
            },
        }
    }

    /// Checks whether the process of a silent runner, which was started at `born`, has ended. One that
    /// accepts connections without a response may continue.
    pub async fn check_incarnation(&self, endpoint: &Endpoint, born: Option<u64>) -> CrashCheck {
        let start = Instant::now();
        if let Some(check) = self.check_report(endpoint, born).await {
            return check;
        }
        let last_seen = self.fleet.last_seen(endpoint.key);
        if last_seen.is_some_and(|last_seen| last_seen >= start) {
            return CrashCheck::Running;
        }
        match self.check_crash(endpoint).await {
            CrashCheck::Running => CrashCheck::Unreachable,
            check => check,
        }
    }

    /// Returns whether the process that has sent a response is up; see [`RunnerClient::check_sender`].
    pub async fn is_up(&self, endpoint: &Endpoint) -> bool {
        self.check_sender(endpoint).await == CrashCheck::Running
    }

    /// Checks whether the process that has sent a response has ended. Another one may accept connections at its address
    /// by now; the load reports of engines tell them apart.
    pub async fn check_sender(&self, endpoint: &Endpoint) -> CrashCheck {
        if !self.is_engine(endpoint) {
            return self.check_crash(endpoint).await;
        }
        match self.check_report(endpoint, self.fleet.born(endpoint.key)).await {
            Some(check) => check,
            None => self.check_crash(endpoint).await,
        }
    }

    /// Checks by the load report of a runner whether its process, which was started at `born`, has ended; `None` if it
    /// does not report.
    async fn check_report(&self, endpoint: &Endpoint, born: Option<u64>) -> Option<CrashCheck> {
        let control = ControlRequest::without_body(Method::GET, self.dialect.report_path());
        let decode = |body: Bytes| self.dialect.born(&body).ok();
        let reported = self.query(endpoint, control, PROBE_TIMEOUT, decode).await?;
        let is_replaced = reported.is_some() && born.is_some() && reported != born;
        if is_replaced {
            self.fleet.record_replacement(endpoint.key, Instant::now());
        }
        Some(if is_replaced { CrashCheck::Crashed } else { CrashCheck::Running })
    }

    async fn connect_for_check(&self, endpoint: &Endpoint) -> io::Result<N::Stream> {
        if self.fleet.needs_tunnel(endpoint.key) {
            return timeout(TUNNEL_CHECK_TIMEOUT, self.connect_through_nodes(endpoint)).await?;
        }
        if self.fleet.is_partitioned(endpoint.key) {
            return Err(io::ErrorKind::HostUnreachable.into());
        }
        self.network.connect(endpoint.address, CRASH_CHECK_TIMEOUT).await
    }

    /// Requests the identity of the runner at an address.
    async fn identity(&self, endpoint: &Endpoint) -> Option<Identity> {
        let body = self.get(endpoint, self.dialect.report_path(), PROBE_TIMEOUT).await?;
        self.dialect.identity(&body)
    }

    async fn get(&self, endpoint: &Endpoint, path: &'static str, limit: Duration) -> Option<Bytes> {
        self.query(endpoint, ControlRequest::without_body(Method::GET, path), limit, Some).await
    }

    /// Sends a control request and decodes the body of a successful response. If that fails, the response
    /// may be another one's, and the connection is closed.
    async fn query<T>(
        &self,
        endpoint: &Endpoint,
        control: ControlRequest<'_>,
        limit: Duration,
        decode: impl FnOnce(Bytes) -> Option<T>,
    ) -> Option<T> {
        if self.fleet.paused_until(endpoint.key).is_some() {
            return None;
        }
        let ControlRequest { method, path, body, exchange } = control;
        let path = PathAndQuery::from_str(path).ok()?;
        let request =
            || Some(request(&method, &path, endpoint.address, HeaderMap::new(), body.clone()));
        let answer = async {
            let deadline = Instant::now() + limit;
            let exchanged = self.exchange(endpoint, &exchange, request, deadline).await;
            let (response, connection) = exchanged.ok()?;
            let Response { parts, body, .. } = response;
            let head = self.dialect.parse_response(&parts);
            // An additional response to a request: the response to this one is still to come.
            if let Some(id) = &head.id {
                log::warn!(runner = endpoint.id.as_str(), status = parts.status.as_u16(),
                    response = id.as_str();
                    "response of a request to a control request: connection closed");
                return None;
            }
            if head.draining {
                self.fleet.set_draining(endpoint.key);
            }
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await.ok()?.to_bytes();
            let is_success = parts.status.is_success();
            let decoded = if is_success { decode(body) } else { None };
            // Another error of an engine is what a runner of another service at its address responds.
            let is_error = !is_success && !self.is_engine(endpoint);
            if decoded.is_some() || is_overloaded(parts.status) || is_error {
                self.fleet.record_response(endpoint.key, Instant::now());
            }
            if decoded.is_some() || !is_success {
                self.fleet.return_connection(endpoint.key, connection, head.idle);
            }
            decoded
        };
        timeout(limit, answer).await.ok()?
    }

    /// Returns whether a runner is listed as one of a service with engines, which respond to control requests.
    fn is_engine(&self, endpoint: &Endpoint) -> bool {
        let (view, service) = (self.published.load(), self.fleet.service(endpoint.key));
        let services = view.catalog.as_ref().map(|catalog| &catalog.services);
        let service = services.zip(service).and_then(|(services, name)| services.get(&name));
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Sends a request on an idle connection that is suited for it, or on a new one if there is none or
    /// the idle one was closed before the request was sent. Nothing is sent if `request` returns `None`.
    async fn exchange(
        &self,
        endpoint: &Endpoint,
        exchange: &Exchange,
        request: impl Fn() -> Option<Request<Full<Bytes>>>,
        deadline: Instant,
    ) -> Result<(Response, Connection), SendError> {
        let idle = self.fleet.take_idle_connection(endpoint.key, Instant::now(), exchange);
        if let Some(mut connection) = idle {
            let Some(request) = request() else {
                self.fleet.return_connection(endpoint.key, connection, None);
                return Err(SendError::Unsent);
            };
            match connection.send(request, exchange, deadline).await {
                Ok(response) => return Ok((response, connection)),
                Err(SendError::Unsent) => {}
                Err(error) => return Err(error),
            }
        }
        let mut connection = self.connect(endpoint).await?;
        let Some(request) = request() else {
            self.fleet.return_connection(endpoint.key, connection, None);
            return Err(SendError::Unsent);
        };
        let response = connection.send(request, exchange, deadline).await?;
        Ok((response, connection))
    }

    /// Records a rejection and reads its body, so that the connection can be reused.
    async fn finish_rejected(
        &self,
        endpoint: &Endpoint,
        head: &ResponseHead,
        body: Incoming,
        connection: Connection,
    ) {
        let now = Instant::now();
        match head.misdirected {
            true => self.fleet.record_replacement(endpoint.key, now),
            false => self.fleet.record_rejection(endpoint.key),
        }
        let read = Limited::new(body, MAX_REJECTION_BYTES).collect();
        if let Ok(Ok(_)) = timeout(REJECTION_TIMEOUT, read).await {
            self.fleet.return_connection(endpoint.key, connection, head.idle);
        }
    }
}

fn is_overloaded(status: StatusCode) -> bool {
    matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
}

/// Returns whether the request may succeed on another runner.
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
