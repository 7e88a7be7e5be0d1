//! Flow of generation streams, which are resumed on another runner after a failure.

mod admission;
mod attempt;
mod replica;
mod placement;
mod race;
mod run;
mod logging;

use {
    self::{
        attempt::Plan,
        race::{Race, RaceEnd, Winner},
        replica::{AvailableReplica, Replica},
        run::{Run, RunEnd},
    },
    super::Traffic,
    crate::{
        admission::Running,
        body::{self, BodySender, ResponseBody},
        call::Call,
        catalog::Kind,
        dialect::Dialect,
        events::Event,
        fleet::{Endpoint, RunnerKey},
        framing::Framing,
        metrics::{Part, Resume, Silence},
        network::Network,
        pool::SendError,
        quarantine::SOUND_TIME,
        rejection::Rejection,
        rollouts::trial::Trial,
        runner_client::Answer,
    },
    bilberryfront_decide::mover::Response as VersionResponse,
    http::Response,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::time::{Instant, timeout},
};

/// Share of the route's maximum gap after which a run without events counts as silent; the rest is
/// reserved for resuming from a replica.
const STALL_SHARE: f64 = 0.6;
/// Stall timeout of a route without a maximum gap.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of sends per stream.
const MAX_SENDS: u32 = 12;

/// State of one stream.
struct Generation<D, N> {
    traffic: Traffic<D, N>,
    call: Rc<Call>,
    /// Runner that has a resumed stream's prompt in its cache.
    cached: Option<Endpoint>,
    /// Id of the last event delivered to the caller.
    position: Option<u64>,
    /// The first send while that has not ended, during a rollout.
    trial: Option<Trial>,
    /// The first send, and the mean time between its events, if its run has ended without a confirmation.
    unconfirmed_trial: Option<(Trial, Option<Duration>)>,
    /// Runners that failed this stream; selected again only if there is no other.
    failed: Vec<RunnerKey>,
    /// Number of runs that started from the prompt.
    runs: u32,
    /// Runners that may have run the request and whose connection was not cut.
    runners: Vec<RunnerKey>,
    /// Number of the last send.
    number: u32,
    /// Number of sends, without those that lost against a silent run which continued.
    sends: u32,
    /// Whether the request was sent.
    is_sent: Rc<Cell<bool>>,
    /// Whether a runner may have run the request.
    may_have_run: bool,
    /// Number of runs that have ended at the current position without a confirmation, of runners that are up.
    unconfirmed_ends: u32,
    /// Whether the response ends with the caller's connection.
    is_unframed: bool,
    /// Time of the first event.
    first_event_at: Option<Instant>,
    /// Replica of the last run.
    last_replica: Option<AvailableReplica>,
    /// Error response of a runner, returned if no runner succeeds.
    failure: Option<Answer>,
    /// Error of the last run that may have started.
    lost: Option<SendError>,
    /// Why the last attempt was not followed by another.
    no_attempt: Option<NoAttempt>,
    /// Admission of the stream; `None` before it has started and without an admission control.
    running: Option<Running>,
    /// `Retry-After` of a stream that was not admitted.
    retry: Option<Duration>,
    /// Number of places that other nodes claimed before this stream when it was admitted.
    skip: u32,
}

/// The run whose events are forwarded.
struct ActiveRun {
    run: Run,
    /// Number of its send.
    number: u32,
    /// Time of its send.
    sent_at: Instant,
    /// Source from which it was resumed.
    source: Resume,
    /// Time of the first event.
    start: Instant,
    /// Time spent waiting for events; time spent on a slow caller says nothing about the runner.
    waited: Duration,
    /// Time of its silences.
    silent: Duration,
    /// Time of the first attempt that was sent during its last silence.
    beside: Option<Instant>,
    /// Whether the run began at the beginning of the response.
    is_whole: bool,
    /// Whether the run is recorded as sound.
    is_recorded: bool,
}

impl ActiveRun {
    fn new(run: Run, plan: &Plan, source: Resume, is_whole: bool) -> ActiveRun {
        let (number, sent_at) = (plan.number, plan.sent_at);
        ActiveRun {
            run,
            number,
            sent_at,
            source,
            start: Instant::now(),
            waited: Duration::ZERO,
            silent: Duration::ZERO,
            beside: None,
            is_whole,
            is_recorded: false,
        }
    }

    fn key(&self) -> RunnerKey {
        self.run.endpoint().key
    }
}

/// Why a stream cannot be started or resumed.
enum FinalFailure {
    /// Response of a runner without a stream.
    Answered(Answer),
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
    /// No runner has room in time, or this node drains.
    NotAdmitted,
}

/// Starts a stream and returns its response, which begins with the first event.
pub(super) async fn serve<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    call: Call,
) -> Response<ResponseBody> {
    let mut generation = Generation::new(traffic.clone(), call);
    generation.cached = generation.find_cached().await;
    if generation.misses_deadline(generation.cached.is_some()) {
        return traffic.reject(&generation.call, traffic.not_run_rejection(&generation.call));
    }
    match generation.race(None).await {
        RaceEnd::Started(winner) => {
            let Winner { mut parts, active, first } = *winner;
            generation.is_unframed = active.run.framing() == Framing::Close;
            if generation.is_unframed {
                body::end_with_connection(&mut parts);
            }
            let open = traffic.track_in_flight();
            let fill = |sender| async move {
                generation.forward_events(sender, active, first).await;
                drop(open);
            };
            Response::from_parts(parts, body::stream(fill))
        }
        RaceEnd::Continued(..) => unreachable!("no run was silent"),
        RaceEnd::Failed(failure) => {
            generation.log_not_started();
            match failure {
                FinalFailure::Answered(answer) => answer.into_response(),
                FinalFailure::Rejected(rejection) => traffic.reject(&generation.call, rejection),
            }
        }
    }
}

impl<D: Dialect, N: Network> Generation<D, N> {
    fn new(traffic: Traffic<D, N>, call: Call) -> Generation<D, N> {
        Generation {
            traffic,
            position: call.head.resume,
            trial: None,
            unconfirmed_trial: None,
            call: Rc::new(call),
            cached: None,
            failed: Vec::new(),
            runs: 0,
            runners: Vec::new(),
            number: 0,
            sends: 0,
            is_sent: Rc::default(),
            may_have_run: false,
            unconfirmed_ends: 0,
            is_unframed: false,
            first_event_at: None,
            last_replica: None,
            failure: None,
            lost: None,
            no_attempt: None,
            running: None,
            retry: None,
            skip: 0,
        }
    }

    /// Forwards events until the stream is complete, cannot be resumed, or the caller disconnects.
    async fn forward_events(
        &mut self,
        sender: BodySender,
        mut active: ActiveRun,
        first: Result<Event, RunEnd>,
    ) {
        let mut next = first;
        loop {
            if let Err(end) = next
                && self.confirms_end(end, &active.run).await
            {
                self.complete(active);
                return sender.finish();
            }
            match next {
                Ok(event) => {
                    if event.id.is_none() && Instant::now() >= self.call.deadline() {
                        self.no_attempt = Some(NoAttempt::Deadline);
                        self.end_run(active, RunEnd::Disorder, true).await;
                        return self.log_broken();
                    }
                    let bytes = event.bytes.len();
                    self.traffic.client.count_bytes(Part::Events, active.run.endpoint(), bytes);
                    if !self.forward(&sender, event).await {
                        return;
                    }
                    self.renew_replica(&mut active.run);
                    let waiting = Instant::now();
                    next = active.run.next(self.stall_timeout(), self.position).await;
                    active.waited += waiting.elapsed();
                    if next.is_ok() && active.waited >= SOUND_TIME {
                        self.record_sound_run(&mut active);
                    }
                }
                Err(reason) => {
                    let lost = Instant::now();
                    match self.replace(active, reason).await {
                        RaceEnd::Started(winner) => {
                            let source = winner.active.source;
                            self.traffic.metrics.count_resume(source, lost.elapsed());
                            active = winner.active;
                            next = winner.first;
                        }
                        RaceEnd::Continued(silent, event) => (active, next) = (*silent, event),
                        RaceEnd::Failed(_) => return self.end_unreplaced(sender),
                    }
                }
            }
        }
    }

    /// Returns whether the stream may end here with the caller's connection, if no other run confirms that.
    fn may_end_unconfirmed(&self) -> bool {
        self.unconfirmed_ends > 0 && self.is_unframed
    }

    /// Ends a stream whose last run is not replaced. If that has ended in order, so does the caller's connection.
    fn end_unreplaced(&mut self, sender: BodySender) {
        if self.may_end_unconfirmed() {
            self.log_unconfirmed();
            self.end_unconfirmed_trial(VersionResponse::Success);
            return sender.finish_unconfirmed();
        }
        self.log_broken();
    }

    /// Returns whether the end of a run is the end of the stream. Without a confirmation, two runs must have
    /// ended at the same position, unless no other run is allowed and the response states its end.
    async fn confirms_end(&self, end: RunEnd, run: &Run) -> bool {
        match end {
            RunEnd::Whole => true,
            RunEnd::Unconfirmed if self.is_resumable() => {
                self.unconfirmed_ends > 0 && self.states_end(run).await
            }
            RunEnd::Unconfirmed => run.framing() != Framing::Close,
            RunEnd::Cut | RunEnd::Silent | RunEnd::Disorder => false,
        }
    }

    /// Returns whether the end of a response is its runner's statement. A process that has ended closes its
    /// connections, too, and a request may crash all of its runners at the same event.
    async fn states_end(&self, run: &Run) -> bool {
        run.framing() != Framing::Close || self.traffic.client.is_up(run.endpoint()).await
    }

    /// Replaces a run that has ended or is silent. A silent one is kept until another has started. The wait
    /// for a run that confirms an end leaves the caller time.
    async fn replace(&mut self, active: ActiveRun, reason: RunEnd) -> RaceEnd {
        self.last_replica = None;
        if reason == RunEnd::Silent {
            self.log_silent(&active.run);
            let age = Some(active.start.elapsed().saturating_sub(self.stall_timeout()));
            self.traffic.check_silence(&self.call, active.run.endpoint(), active.sent_at, age);
            self.record_failure(active.run.endpoint());
            return self.race(Some(Box::new(active))).await;
        }
        self.salvage_replica(&active.run, false);
        self.end_run(active, reason, true).await;
        if !self.may_end_unconfirmed() {
            return self.race(None).await;
        }
        let confirmed = timeout(self.call.time_left() / 2, self.race(None)).await;
        confirmed.unwrap_or(RaceEnd::Failed(FinalFailure::Rejected(Rejection::Timeout)))
    }

    /// Records a run that has completed, and returns its connection to the pool.
    fn complete(&mut self, mut active: ActiveRun) {
        self.log_ended(&active.run);
        let (metrics, framing) = (&self.traffic.metrics, active.run.framing());
        metrics.count_response_end(&self.call.service, framing, RunEnd::Whole.response_end());
        // A resumed run may have begun behind what crashes runners.
        if active.is_whole {
            self.traffic.record_response(&self.call);
            let duration = active.sent_at.elapsed();
            self.traffic.admission.record_duration(&self.call.service, duration);
        }
        self.record_sound_run(&mut active);
        self.end_trial(active.number, VersionResponse::Success);
        self.end_unconfirmed_trial(VersionResponse::Success);
        active.run.release_connection(&self.traffic.client.fleet);
    }

    /// Records a crash of a runner; see [`Traffic::record_crash`]. The next attempt waits for it if
    /// nothing else is under way and the runner had begun to respond.
    async fn record_crash(
        &self,
        endpoint: &Endpoint,
        sent_at: Instant,
        age: Option<Duration>,
        is_alone: bool,
    ) {
        let (traffic, call, endpoint) = (self.traffic.clone(), self.call.clone(), endpoint.clone());
        let record = async move { traffic.record_crash(&call, &endpoint, sent_at, age).await };
        match is_alone && age.is_some() {
            true => record.await,
            false => _ = tokio::task::spawn_local(record),
        }
    }

    /// Records that the run is sound, unless it was resumed.
    fn record_sound_run(&self, active: &mut ActiveRun) {
        let is_known = std::mem::replace(&mut active.is_recorded, true);
        if active.is_whole && !is_known {
            self.traffic.quarantine.record_sound_run(&self.call, active.start);
        }
    }

    async fn forward(&mut self, sender: &BodySender, event: Event) -> bool {
        self.position = event.id.or(self.position);
        if event.is_answer() {
            self.unconfirmed_ends = 0;
            // The first run has ended too early.
            self.end_unconfirmed_trial(VersionResponse::Lost);
        }
        sender.push(event.bytes).await
    }

    /// Ends a run: closes its connection, which cancels it, and records the loss.
    async fn end_run(&mut self, active: ActiveRun, reason: RunEnd, is_alone: bool) {
        let (key, endpoint) = (active.key(), active.run.endpoint().clone());
        let (metrics, run) = (&self.traffic.metrics, &active.run);
        let framing = run.framing();
        metrics.count_response_end(&self.call.service, framing, reason.response_end());
        match reason {
            RunEnd::Unconfirmed => self.suspend_trial(active.number),
            _ => self.end_trial(active.number, VersionResponse::Lost),
        }
        self.log_lost(&active, reason);
        self.failed.push(key);
        drop(active.run);
        match reason {
            // The failure was recorded when the silence began.
            RunEnd::Silent => self.traffic.metrics.count_silence(Silence::Replaced),
            RunEnd::Unconfirmed => {
                let (sent_at, age) = (active.sent_at, active.waited + active.silent);
                let is_stated = framing != Framing::Close
                    || self.traffic.is_up(&self.call, &endpoint, sent_at, age).await;
                self.record_unconfirmed_end(is_stated);
            }
            RunEnd::Cut => {
                self.runners.retain(|runner| *runner != key);
                self.record_failure(&endpoint);
                let age = Some(active.waited + active.silent);
                self.record_crash(&endpoint, active.sent_at, age, is_alone).await;
            }
            RunEnd::Whole | RunEnd::Disorder => self.record_failure(&endpoint),
        }
    }

    /// Records that a runner has lost a run, or is suspected to.
    fn record_failure(&self, endpoint: &Endpoint) {
        self.traffic.client.record_lost_response(endpoint);
        self.mark_failed(endpoint.key);
    }

    /// Keeps the replica of a run that ends, unless an attempt is about to use it.
    fn salvage_replica(&mut self, run: &Run, is_planned: bool) {
        if let Some(replica) = run.replica().and_then(Replica::available) {
            replica.take();
            self.last_replica = (!is_planned).then_some(replica);
        }
    }

    /// Decides on another attempt beside those of the race.
    fn next_plan(&mut self, race: &Race, end: Instant) -> Option<Plan> {
        if !self.may_send(race, end) {
            return None;
        }
        let next = self.cached.take().map(|endpoint| (endpoint, None));
        let Some((endpoint, from_replica)) = next.or_else(|| self.next_endpoint(race)) else {
            self.no_attempt = Some(NoAttempt::NoRunner);
            return None;
        };
        self.sends += 1;
        self.number += 1;
        let holder = self.choose_replica_endpoint(&endpoint, &race.excluded());
        Some(Plan {
            number: self.number,
            endpoint,
            from_replica,
            holder,
            position: self.position,
            former: race.silent.as_ref().map(|active| active.run.endpoint().clone()),
            is_hedge: !race.is_empty(),
            sent_at: Instant::now(),
        })
    }

    /// Returns whether the limits allow another send. The retry is taken when the request is sent.
    fn may_send(&mut self, race: &Race, end: Instant) -> bool {
        if self.sends == 0 {
            return true;
        }
        self.no_attempt = self.find_limit(race, end);
        if self.no_attempt.is_none() && !self.may_retry(race) {
            self.no_attempt = Some(NoAttempt::Budget);
        }
        self.no_attempt.is_none()
    }

    fn may_retry(&self, race: &Race) -> bool {
        let is_first = race.is_empty() && !self.is_sent.get();
        is_first || self.traffic.find_retry(&self.call.service)
    }

    /// Returns the limit, other than the retry budget, that forbids another send.
    fn find_limit(&self, race: &Race, end: Instant) -> Option<NoAttempt> {
        let is_quarantined = self.traffic.quarantine.time_left(&self.call).is_some();
        let attempts = self.call.route.attempts.max(1);
        // A silent run may continue; if it fails later, the last attempt is needed.
        let reserved = u32::from(race.reserves_attempt() && attempts > 2);
        let has_runs_left = self.runs + race.fresh_count() + reserved < attempts
            && self.runner_count(race) < attempts as usize;
        let is_first = !self.may_have_run && race.is_empty();
        let is_safe = is_first || self.is_resumable();
        match () {
            () if is_quarantined => Some(NoAttempt::Quarantined),
            () if !has_runs_left || self.sends >= MAX_SENDS => Some(NoAttempt::Exhausted),
            () if !is_safe => Some(NoAttempt::Unsafe),
            () if Instant::now() >= end => Some(NoAttempt::Deadline),
            () => None,
        }
    }

    /// Returns the number of runners that have run the request, or may do so in this race, without those that
    /// have ended.
    fn runner_count(&self, race: &Race) -> usize {
        let fleet = &self.traffic.client.fleet;
        let former = self.runners.iter().filter(|key| fleet.registered(**key).is_some());
        let next = race.runners().filter(|key| !self.runners.contains(key));
        former.count() + next.count()
    }

    /// Records that a runner may have run the request.
    fn record_runner(&mut self, key: RunnerKey) {
        if !self.runners.contains(&key) {
            self.runners.push(key);
        }
    }

    /// Returns whether the response to the caller has begun.
    fn has_begun(&self) -> bool {
        self.first_event_at.is_some()
    }

    fn is_resumable(&self) -> bool {
        self.call.route.kind == Kind::Resumable
    }

    /// Records the end of a run without a confirmation. If its runner is not up, it has not ended in order.
    fn record_unconfirmed_end(&mut self, is_up: bool) {
        match is_up {
            true => self.unconfirmed_ends += 1,
            false => self.end_unconfirmed_trial(VersionResponse::Lost),
        }
    }

    /// Reports the end of the first send during a rollout.
    fn end_trial(&mut self, number: u32, response: VersionResponse) {
        let Some(trial) = self.trial.take_if(|_| number == 1) else { return };
        trial.end(response, self.pace());
    }

    /// Keeps the first send during a rollout until it is known whether its run has ended too early.
    fn suspend_trial(&mut self, number: u32) {
        let pace = self.pace();
        if let Some(trial) = self.trial.take_if(|_| number == 1) {
            self.unconfirmed_trial = Some((trial, pace));
        }
    }

    /// Reports the end of the first send during a rollout, if its run has ended without a confirmation.
    fn end_unconfirmed_trial(&mut self, response: VersionResponse) {
        if let Some((trial, pace)) = self.unconfirmed_trial.take() {
            trial.end(response, pace);
        }
    }

    /// Returns the mean time between the events so far.
    fn pace(&self) -> Option<Duration> {
        let events = self.position.unwrap_or_default() - self.call.head.resume.unwrap_or_default();
        self.first_event_at.map(|at| at.elapsed().div_f64(events.max(1) as f64))
    }

    fn stall_timeout(&self) -> Duration {
        self.call.route.gap.map_or(DEFAULT_STALL_TIMEOUT, |gap| gap.mul_f64(STALL_SHARE))
    }

    fn mark_failed(&self, key: RunnerKey) {
        self.traffic.client.fleet.record_failure(key, Instant::now());
    }

    fn final_failure(&mut self) -> FinalFailure {
        match (self.failure.take(), self.lost) {
            (Some(answer), _) => FinalFailure::Answered(answer),
            // The runs that may have started were cancelled.
            (None, None) if self.may_have_run => FinalFailure::Rejected(Rejection::Lost),
            (None, None) => FinalFailure::Rejected(match self.retry {
                Some(retry) => Rejection::NotRun { retry },
                None => self.traffic.not_run_rejection(&self.call),
            }),
            (None, Some(SendError::Timeout)) => FinalFailure::Rejected(Rejection::Timeout),
            (None, Some(_)) => FinalFailure::Rejected(Rejection::Lost),
        }
    }
}
