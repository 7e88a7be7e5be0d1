//! Flow of generation streams, which are resumed on another runner after a failure.

mod replica;
mod placement;
mod run;
mod logging;

use {
    self::{
        replica::Replica,
        run::{Run, RunEnd},
    },
    super::Traffic,
    crate::{
        body::{self, BodySender, ResponseBody},
        call::{Call, Size},
        catalog::Kind,
        dialect::{Dialect, ReplicaRef, SendOptions},
        events::Event,
        fleet::{Endpoint, Load, RunnerKey},
        log_messages::{RESPONSE_LOST, RUN_LOST},
        metrics::{Part, Resume},
        network::Network,
        pool::SendError,
        quarantine::SOUND_TIME,
        rejection::Rejection,
        runner_client::{SendOutcome, is_failure},
    },
    bilberryfront_decide::mover::Response as VersionResponse,
    bytes::Bytes,
    http::{Response, response::Parts},
    std::time::Duration,
    tokio::time::Instant,
};

/// Share of the route's maximum gap after which a runner without events is abandoned; the rest is
/// reserved for resuming from a replica.
const STALL_SHARE: f64 = 0.6;
/// Stall timeout of a route without a maximum gap.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of sends per stream.
const MAX_SENDS: u32 = 12;

/// State of one stream.
struct Generation<D, N> {
    traffic: Traffic<D, N>,
    call: Call,
    /// Id of the last event delivered to the caller.
    position: Option<u64>,
    /// Runners that failed this stream; selected again only if there is no other.
    failed: Vec<RunnerKey>,
    /// Number of runs that started from the prompt.
    runs: u32,
    /// Number of sends.
    sends: u32,
    /// Time of the last send.
    sent_at: Instant,
    /// Whether a send has reached a runner.
    reached_runner: bool,
    /// Whether the last retry that was taken from the budget was not used, as there was no path.
    has_unused_retry: bool,
    /// Time of the first event.
    first_event_at: Option<Instant>,
    /// Source from which the current run was resumed.
    resumed: Resume,
    /// Progress of the current run.
    progress: RunProgress,
    /// Replica of the last run with the runner that holds it.
    last_replica: Option<(Endpoint, ReplicaRef)>,
    /// Error response of a runner, returned if no runner succeeds.
    failure: Option<(Parts, Bytes)>,
    /// Error of the last run that may have started.
    lost: Option<SendError>,
    /// Why the last attempt was not followed by another.
    no_attempt: Option<NoAttempt>,
}

/// Progress of a run.
struct RunProgress {
    /// Time of the first event.
    start: Instant,
    /// Time spent waiting for events; time spent on a slow caller says nothing about the runner.
    waited: Duration,
    /// Whether the run began at the beginning of the response.
    is_whole: bool,
    /// Whether the run is recorded as sound.
    is_recorded: bool,
}

impl RunProgress {
    fn new(is_whole: bool) -> RunProgress {
        let (start, waited) = (Instant::now(), Duration::ZERO);
        RunProgress { start, waited, is_whole, is_recorded: false }
    }
}

/// A run whose response has started.
struct StartedRun {
    parts: Parts,
    run: Run,
    /// First event; `None` if the run ended without one.
    first: Option<Event>,
}

/// Why a stream cannot be started or resumed.
enum FinalFailure {
    /// Error response of a runner.
    Failure(Parts, Bytes),
    /// Rejection by this node.
    Rejected(Rejection),
}

/// Why there is no other attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoAttempt {
    /// The request is quarantined.
    Quarantined,
    /// The maximum number of runs or sends is reached.
    Exhausted,
    /// The deadline has passed.
    Deadline,
    /// The request may have run and must not run again.
    Unsafe,
    /// The retry budget is exhausted.
    Budget,
    /// No runner can be selected.
    NoRunner,
    /// There is no path to the runners.
    NoPath,
}

/// Outcome of one send.
enum AttemptOutcome {
    Started(Box<StartedRun>),
    Failure(Parts, Bytes),
    NotRun,
    Unsent,
    NoPath,
    Withheld,
    Lost(LostRun),
    /// The request was quarantined while the attempt waited for the first event.
    Quarantined,
}

/// A send that was lost before the first event.
struct LostRun {
    error: SendError,
    /// Whether the runner may have crashed because of this request: the response had started, or no
    /// other request was on the runner.
    is_suspect: bool,
}

/// Starts a stream and returns its response, which begins with the first event.
pub(super) async fn serve<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    call: Call,
) -> Response<ResponseBody> {
    let mut generation = Generation::new(traffic.clone(), call);
    match generation.start_run().await {
        Ok(StartedRun { parts, run, first }) => {
            let open = traffic.track_in_flight();
            let fill = |sender| async move {
                generation.forward_events(sender, run, first).await;
                drop(open);
            };
            Response::from_parts(parts, body::stream(fill))
        }
        Err(FinalFailure::Failure(parts, bytes)) => Response::from_parts(parts, bytes.into()),
        Err(FinalFailure::Rejected(rejection)) => traffic.reject(&generation.call, rejection),
    }
}

impl<D: Dialect, N: Network> Generation<D, N> {
    fn new(traffic: Traffic<D, N>, call: Call) -> Generation<D, N> {
        Generation {
            traffic,
            position: call.head.resume,
            call,
            failed: Vec::new(),
            runs: 0,
            sends: 0,
            sent_at: Instant::now(),
            reached_runner: false,
            has_unused_retry: false,
            first_event_at: None,
            resumed: Resume::Anew,
            progress: RunProgress::new(false),
            last_replica: None,
            failure: None,
            lost: None,
            no_attempt: None,
        }
    }

    /// Sends the request to one runner after another until a run starts.
    async fn start_run(&mut self) -> Result<StartedRun, FinalFailure> {
        let end = self.call.deadline();
        let mut cached = if self.sends == 0 { self.find_cached().await } else { None };
        if self.sends == 0 && self.misses_deadline(cached.is_some()) {
            return Err(FinalFailure::Rejected(self.traffic.not_run_rejection(&self.call)));
        }
        while self.may_send(end) {
            let next =
                cached.take().map(|endpoint| (endpoint, None)).or_else(|| self.next_endpoint());
            let Some((endpoint, replica)) = next else {
                self.no_attempt = Some(NoAttempt::NoRunner);
                break;
            };
            let from_replica = replica.is_some();
            self.sends += 1;
            self.sent_at = Instant::now();
            match self.attempt(&endpoint, replica.clone(), end).await {
                AttemptOutcome::Started(started) => {
                    self.reached_runner = true;
                    self.runs += u32::from(!from_replica);
                    self.first_event_at.get_or_insert_with(Instant::now);
                    if self.sends == 1 && self.call.head.resume.is_none() {
                        let tokens = self.size().prompt;
                        let took = self.call.start.elapsed();
                        self.traffic
                            .prefill_rate(&self.call.service, |rate| rate.observe(tokens, took));
                    }
                    self.resumed = if from_replica { Resume::Replica } else { Resume::Anew };
                    self.progress = RunProgress::new(!from_replica && self.position.is_none());
                    self.log_started(&started.run, from_replica);
                    return Ok(*started);
                }
                AttemptOutcome::Failure(parts, bytes) => {
                    self.reached_runner = true;
                    self.report_sample(endpoint.key, VersionResponse::Failure);
                    self.runs += 1;
                    self.failure = Some((parts, bytes));
                }
                AttemptOutcome::NotRun => self.reached_runner = true,
                AttemptOutcome::Withheld => {}
                AttemptOutcome::Unsent => self.mark_failed(endpoint.key),
                AttemptOutcome::NoPath => {
                    // A new stream may succeed through another node; one that has begun cannot.
                    let fleet = &self.traffic.client.fleet;
                    if !self.reached_runner || !fleet.wait_for_path(&endpoint, end).await {
                        self.no_attempt = Some(NoAttempt::NoPath);
                        break;
                    }
                    self.sends -= 1;
                    self.has_unused_retry = true;
                    self.last_replica = replica.map(|replica| (endpoint, replica));
                    continue;
                }
                AttemptOutcome::Lost(LostRun { error, is_suspect }) => {
                    self.reached_runner = true;
                    self.report_sample(endpoint.key, VersionResponse::Lost);
                    self.runs += u32::from(!from_replica);
                    self.lost = Some(error);
                    self.traffic.client.record_lost_response(&endpoint);
                    self.mark_failed(endpoint.key);
                    if error == SendError::Disconnected && is_suspect {
                        self.record_crash(&endpoint, Some(Duration::ZERO)).await;
                    } else if error == SendError::Disconnected {
                        self.record_crash_later(endpoint.clone());
                    }
                }
                AttemptOutcome::Quarantined => {
                    self.lost = Some(SendError::Disconnected);
                    self.no_attempt = Some(NoAttempt::Quarantined);
                    break;
                }
            }
            // A runner without the replica may still prefill the prompt.
            if !from_replica {
                self.failed.push(endpoint.key);
            }
        }
        if self.position == self.call.head.resume && self.sends > 0 {
            self.log_not_started();
        }
        Err(self.final_failure())
    }

    /// Forwards events until the stream is complete, cannot be resumed, or the caller disconnects.
    async fn forward_events(&mut self, sender: BodySender, mut run: Run, first: Option<Event>) {
        let mut next = first.ok_or(RunEnd::Whole);
        loop {
            match next {
                Ok(event) => {
                    let bytes = event.bytes.len();
                    self.traffic.client.count_bytes(Part::Events, run.endpoint(), bytes);
                    if !self.forward(&sender, event).await {
                        return;
                    }
                    self.renew_replica(&mut run);
                    let waiting = Instant::now();
                    next = run.next(self.stall_timeout(), self.position).await;
                    self.progress.waited += waiting.elapsed();
                    if next.is_ok() && self.progress.waited >= SOUND_TIME {
                        self.record_sound_run();
                    }
                }
                Err(RunEnd::Whole) => {
                    self.log_ended(&run);
                    // A resumed run may have begun behind what crashes runners.
                    if self.progress.is_whole {
                        self.traffic.quarantine.record_response(&self.call);
                    }
                    self.record_sound_run();
                    self.report_sample(run.endpoint().key, VersionResponse::Success);
                    run.release_connection(&self.traffic.client.fleet);
                    return sender.finish();
                }
                Err(reason) => {
                    let lost = Instant::now();
                    let endpoint = run.endpoint().clone();
                    self.abandon(run, reason);
                    if reason == RunEnd::Cut {
                        self.record_crash(&endpoint, Some(self.progress.waited)).await;
                    }
                    if !self.is_resumable() {
                        self.no_attempt = Some(NoAttempt::Unsafe);
                        return self.log_broken();
                    }
                    match self.start_run().await {
                        Ok(started) => {
                            self.traffic.metrics.count_resume(self.resumed, lost.elapsed());
                            run = started.run;
                            next = started.first.ok_or(RunEnd::Whole);
                        }
                        Err(_) => return self.log_broken(),
                    }
                }
            }
        }
    }

    async fn record_crash(&self, endpoint: &Endpoint, age: Option<Duration>) {
        self.traffic.record_crash(&self.call, endpoint, self.sent_at, age).await;
    }

    /// Records a crash of a runner that had not begun to respond, without delaying the next attempt.
    fn record_crash_later(&self, endpoint: Endpoint) {
        let (traffic, call, sent_at) = (self.traffic.clone(), self.call.clone(), self.sent_at);
        tokio::task::spawn_local(async move {
            traffic.record_crash(&call, &endpoint, sent_at, None).await;
        });
    }

    /// Records that the current run is sound, unless it was resumed.
    fn record_sound_run(&mut self) {
        let is_known = std::mem::replace(&mut self.progress.is_recorded, true);
        if self.progress.is_whole && !is_known {
            self.traffic.quarantine.record_sound_run(&self.call, self.progress.start);
        }
    }

    async fn forward(&mut self, sender: &BodySender, event: Event) -> bool {
        self.position = event.id.or(self.position);
        sender.push(event.bytes).await
    }

    /// Abandons a run. Its connection is closed before another runner resumes the stream, which
    /// cancels the run.
    fn abandon(&mut self, run: Run, reason: RunEnd) {
        let key = run.endpoint().key;
        self.traffic.client.record_lost_response(run.endpoint());
        self.report_sample(key, VersionResponse::Lost);
        log::warn!(request = self.call.head.id.as_str(), runner = run.endpoint().id.as_str(),
            position = self.position.unwrap_or_default(),
            holder = run.replica().map_or("", |b| b.holder().id.as_str());
            "{RUN_LOST}{reason:?}");
        self.mark_failed(key);
        self.failed.push(key);
        self.last_replica = run.replica().and_then(Replica::take);
        drop(run);
    }

    async fn attempt(
        &mut self,
        endpoint: &Endpoint,
        from_replica: Option<ReplicaRef>,
        end: Instant,
    ) -> AttemptOutcome {
        let replica = self.choose_replica_endpoint(endpoint);
        let now = Instant::now();
        let options = SendOptions {
            runner: endpoint.id.clone(),
            left: self.call.caller_deadline().map(|e| e.saturating_duration_since(now)),
            resume: self.position,
            replica_to: replica.as_ref().map(|p| p.address),
            from_replica: from_replica.clone(),
            earlier: self.sends - 1,
        };
        let fleet = &self.traffic.client.fleet;
        let was_idle = fleet.is_idle(endpoint.key);
        let lost = |error, has_started| {
            AttemptOutcome::Lost(LostRun { error, is_suspect: has_started || was_idle })
        };
        let memory = self.size().total();
        let unread = if from_replica.is_some() { 0 } else { self.size().prompt };
        let lease = fleet.lease(endpoint.clone(), Load { running: 1, memory, unread });
        let from_replica = Load { memory, ..Load::default() };
        let id = &self.call.head.id;
        let replica = replica.map(|p| Replica::streamed(fleet.lease(p, from_replica), id));
        let send = async {
            let reply = match self.traffic.client.send(&self.call, endpoint, &options, end).await {
                SendOutcome::Answered(reply) if is_failure(reply.parts.status) => {
                    return match self.traffic.client.read_body(reply, endpoint, end).await {
                        Ok((parts, bytes)) => AttemptOutcome::Failure(parts, bytes),
                        Err(error) => lost(error, true),
                    };
                }
                SendOutcome::Answered(reply) => reply,
                SendOutcome::NotRun => return AttemptOutcome::NotRun,
                SendOutcome::Unsent => return AttemptOutcome::Unsent,
                SendOutcome::NoPath => return AttemptOutcome::NoPath,
                SendOutcome::Withheld => return AttemptOutcome::Withheld,
                SendOutcome::Lost(error) => return lost(error, false),
            };
            let (parts, mut run) = Run::new(*reply, lease, replica);
            let timeout = end.saturating_duration_since(Instant::now());
            match run.next(timeout, self.position).await {
                Ok(first) => {
                    run.mark_started();
                    AttemptOutcome::Started(Box::new(StartedRun { parts, run, first: Some(first) }))
                }
                Err(RunEnd::Whole) => {
                    AttemptOutcome::Started(Box::new(StartedRun { parts, run, first: None }))
                }
                Err(reason) => {
                    log::warn!(request = id.as_str(), runner = endpoint.id.as_str();
                        "{RESPONSE_LOST}{reason:?}, before the first event");
                    let error = match reason {
                        RunEnd::Silent => SendError::Timeout,
                        _ => SendError::Disconnected,
                    };
                    lost(error, true)
                }
            }
        };
        tokio::select! {
            tried = send => tried,
            sign = self.traffic.client.wait_until_lost(&self.call, endpoint) => {
                log::warn!(request = id.as_str(), runner = endpoint.id.as_str();
                    "{RESPONSE_LOST}{sign:?}, before the first event");
                lost(SendError::Timeout, false)
            }
            () = self.traffic.quarantine.wait_until_quarantined(&self.call) => AttemptOutcome::Quarantined,
        }
    }

    /// Returns whether the limits allow another send, and takes it from the retry budget if an
    /// earlier one has reached a runner.
    fn may_send(&mut self, end: Instant) -> bool {
        if self.sends == 0 {
            return true;
        }
        self.no_attempt = self.find_limit(end);
        let is_free = !self.reached_runner || std::mem::take(&mut self.has_unused_retry);
        if self.no_attempt.is_none() && !is_free && !self.traffic.take_retry(&self.call.service) {
            self.no_attempt = Some(NoAttempt::Budget);
        }
        self.no_attempt.is_none()
    }

    /// Returns the limit, other than the retry budget, that forbids another send.
    fn find_limit(&self, end: Instant) -> Option<NoAttempt> {
        let is_quarantined = self.traffic.quarantine.time_left(&self.call).is_some();
        let has_runs_left = self.runs < self.call.route.attempts.max(1);
        let is_safe = self.lost.is_none() || self.is_resumable();
        match () {
            () if is_quarantined => Some(NoAttempt::Quarantined),
            () if !has_runs_left || self.sends >= MAX_SENDS => Some(NoAttempt::Exhausted),
            () if !is_safe => Some(NoAttempt::Unsafe),
            () if Instant::now() >= end => Some(NoAttempt::Deadline),
            () => None,
        }
    }

    fn is_resumable(&self) -> bool {
        self.call.route.kind == Kind::Resumable
    }

    /// Reports the outcome of the first send to the control thread during a rollout.
    fn report_sample(&self, key: RunnerKey, response: VersionResponse) {
        if self.sends > 1 {
            return;
        }
        let events = self.position.unwrap_or_default() - self.call.head.resume.unwrap_or_default();
        let pace = self.first_event_at.map(|at| at.elapsed().div_f64(events.max(1) as f64));
        let first = self.first_event_at.map(|at| at - self.call.start);
        self.traffic.report_sample(
            &self.call,
            key,
            super::AttemptSummary { response, first, pace },
        );
    }

    fn size(&self) -> Size {
        self.call.head.size.unwrap_or(Size { prompt: 0, output: 0 })
    }

    fn stall_timeout(&self) -> Duration {
        self.call.route.gap.map_or(DEFAULT_STALL_TIMEOUT, |gap| gap.mul_f64(STALL_SHARE))
    }

    fn mark_failed(&self, key: RunnerKey) {
        self.traffic.client.fleet.record_failure(key, Instant::now());
    }

    fn final_failure(&mut self) -> FinalFailure {
        match (self.failure.take(), self.lost) {
            (Some((parts, bytes)), _) => FinalFailure::Failure(parts, bytes),
            (None, None) => FinalFailure::Rejected(self.traffic.not_run_rejection(&self.call)),
            (None, Some(SendError::Timeout)) => FinalFailure::Rejected(Rejection::Timeout),
            (None, Some(_)) => FinalFailure::Rejected(Rejection::Lost),
        }
    }
}
