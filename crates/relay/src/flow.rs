//! Request flows, one per route kind.

mod generation;
mod at_most_once;
pub mod prefill_rate;
mod idempotent;
mod silence;

use {
    self::{prefill_rate::PrefillRate, silence::Silences},
    crate::{
        admission::Admission,
        body::ResponseBody,
        budget::{Allowance, Budgets},
        call::Call,
        catalog::{Engine, Kind, Level},
        dialect::{Dialect, SendOptions},
        fleet::{Criteria, Endpoint, Fleet, RunnerKey, Version},
        log_messages::{ERROR_RETURNED, NO_CRASH, NO_RETRY, REJECTED, RUNNER_CRASHED},
        metrics::{Metrics, Outcome},
        network::Network,
        pool::SendError,
        quarantine::{self, Quarantine, RunnerCrash, SOUND_TIME},
        rejection::Rejection,
        rollouts::{
            exposure::{Bound, Exposure},
            trial::{Trial, TrialReporter, TrialStart},
        },
        runner_client::{Answer, CrashCheck, Reply, RunnerClient, is_failure},
        throttles::Throttles,
        view::{Published, Rule, View},
    },
    bilberryfront_decide::{
        admission::{Policy, capacity::Need},
        mover::{Choice, Response as VersionResponse},
    },
    compact_str::CompactString,
    http::{Response, StatusCode},
    rand::Rng,
    rustc_hash::FxHashMap,
    slotmap::Key,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::time::Instant,
};

/// Minimum `Retry-After` of a rejected request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Range of the random part of `Retry-After`, so that rejected callers do not retry at the same
/// time.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(450);

/// State shared by all flows and by all clones.
#[derive(Clone)]
pub struct Traffic<D, N> {
    /// Client for the runners.
    pub client: RunnerClient<D, N>,
    /// Latest view published by the control thread.
    pub published: Published,
    /// Number of requests and streams in flight.
    pub in_flight: Rc<Cell<usize>>,
    /// Number of open connections of callers.
    pub connections: Rc<Cell<usize>>,
    /// Metrics of this node.
    pub metrics: Metrics,
    /// Reports first attempts of requests during a rollout to the control thread.
    pub trials: Option<TrialReporter>,
    /// Retry budgets by service.
    pub budgets: Budgets,
    /// Admission control of streams.
    pub admission: Admission,
    /// Requests that crash runners.
    pub quarantine: Quarantine,
    /// Limits of operators.
    pub throttles: Throttles,
    silences: Silences,
    exposures: Rc<RefCell<FxHashMap<CompactString, Exposure>>>,
    prefill_rates: Rc<RefCell<FxHashMap<CompactString, PrefillRate>>>,
    bound: Bound,
}

/// Guard that counts a request as in flight until it is dropped.
pub struct InFlightGuard(Rc<Cell<usize>>);

impl InFlightGuard {
    fn new(count: &Rc<Cell<usize>>) -> InFlightGuard {
        count.set(count.get() + 1);
        InFlightGuard(count.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<D: Dialect, N: Network> Traffic<D, N> {
    /// Creates the state without any runners.
    pub fn new(
        dialect: D,
        network: N,
        published: Published,
        allowance: Allowance,
        bound: Bound,
    ) -> Traffic<D, N> {
        let (metrics, fleet) = (Metrics::default(), Fleet::default());
        Traffic {
            admission: Admission::new(Policy::default(), &fleet, metrics.clone()),
            client: RunnerClient {
                metrics: metrics.clone(),
                dialect,
                network,
                fleet,
                published: published.clone(),
            },
            published,
            in_flight: Rc::default(),
            connections: Rc::default(),
            metrics,
            trials: None,
            budgets: Budgets::new(allowance),
            quarantine: Quarantine::default(),
            throttles: Throttles::default(),
            silences: Silences::default(),
            exposures: Rc::default(),
            prefill_rates: Rc::default(),
            bound,
        }
    }

    /// Replaces the metrics of the flows and of the runner client.
    pub fn set_metrics(&mut self, metrics: &Metrics) {
        self.client.metrics = metrics.clone();
        let policy = self.admission.policy;
        self.admission = Admission::new(policy, &self.client.fleet, metrics.clone());
        self.metrics = metrics.clone();
    }

    /// Executes a request with the flow of its route kind and returns the response.
    pub async fn serve(&self, mut call: Call) -> Response<ResponseBody> {
        if let Some(retry) = self.quarantine.time_left(&call) {
            return self.reject(&call, Rejection::Quarantined { retry });
        }
        if let Some(retry) = self.throttles.reject(&call, &self.metrics) {
            return self.reject(&call, Rejection::Throttled { retry });
        }
        call.version = self.choose_version(&call.service);
        self.budgets.count_request(&call.service);
        let (kind, start, id) = (call.route.kind, call.start, call.head.id.clone());
        let response = match kind {
            Kind::Idempotent => idempotent::serve(self, &call).await,
            Kind::Once => at_most_once::serve(self, &call).await,
            Kind::Resumable | Kind::StreamOnce => generation::serve(self, call).await,
        };
        let outcome = classify(&response, &self.client.dialect);
        if outcome == Outcome::Failed {
            let waited = start.elapsed().as_millis() as u64;
            log::info!(request = id.as_str(), status = response.status().as_u16(), waited;
                "{ERROR_RETURNED}");
        }
        let latency = (outcome == Outcome::Served).then(|| start.elapsed());
        self.metrics.count_request(kind, outcome, latency);
        response
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn track_in_flight(&self) -> InFlightGuard {
        InFlightGuard::new(&self.in_flight)
    }

    /// Counts a connection of a caller as open until the returned guard is dropped.
    pub fn track_connection(&self) -> InFlightGuard {
        InFlightGuard::new(&self.connections)
    }

    /// Selects a runner that is not in `except`, according to the rollout of the service.
    fn choose_runner(&self, call: &Call, except: &[RunnerKey]) -> Option<Endpoint> {
        self.choose_after(call, except, 0)
    }

    /// Selects a runner as [`Traffic::choose_runner`] does, and leaves the best `skip` engines with room to
    /// requests that start before this one at other nodes.
    fn choose_after(&self, call: &Call, except: &[RunnerKey], skip: u32) -> Option<Endpoint> {
        let view = self.published.load();
        let version = version_constraint(&view, call, !except.is_empty());
        let fleet = &self.client.fleet;
        let endpoint = fleet.choose(&Criteria { version, skip, ..self.criteria(call, except) });
        match (endpoint, version) {
            // Fall back to the old version if no runner of the new one is available.
            (None, Some(Version::Only(to))) => {
                let version = Some(Version::Except(to));
                fleet.choose(&Criteria { version, ..self.criteria(call, except) })
            }
            (endpoint, _) => endpoint,
        }
    }

    /// Returns whether a runner that is not in `except` may be selected.
    fn has_runner(&self, call: &Call, except: &[RunnerKey]) -> bool {
        self.choose_runner(call, except).is_some()
    }

    /// Returns whether a runner's version may serve requests that it holds state of. A trial of a version
    /// does not end the streams that it serves.
    fn is_version_served(&self, service: &str, runner: RunnerKey) -> bool {
        let view = self.published.load();
        let Some(split) = view.splits.get(service) else { return true };
        let is_new = self.client.fleet.version(runner).is_some_and(|version| version == split.to);
        match split.rule {
            Rule::Canary => true,
            Rule::OnlyNew => is_new,
            Rule::OnlyOld => !is_new,
        }
    }

    /// Assigns a request to a version during a rollout.
    fn choose_version(&self, service: &CompactString) -> Option<Choice> {
        let view = self.published.load();
        let split = view.splits.get(service)?;
        let mut exposures = self.exposures.borrow_mut();
        let exposure = exposures.entry(service.clone()).or_default();
        Some(exposure.choose(split, &self.bound, view.senders, rand::rng().random()))
    }

    /// Reports the start of a first attempt until the rollout is decided, unless the runner has another
    /// version than the one that the request was assigned to.
    fn start_trial(&self, call: &Call, runner: RunnerKey) -> Option<Trial> {
        let (choice, trials) = (call.version?, self.trials.as_ref()?);
        let view = self.published.load();
        let split = view.splits.get(&call.service)?;
        let is_decided = split.is_rejected || split.rule == Rule::OnlyNew;
        if is_decided || (self.client.fleet.version(runner)? == split.to) != choice.new {
            return None;
        }
        let (route, runner) = (call.route.name.clone(), runner.data().as_ffi());
        let start = TrialStart { route, choice, runner, at: call.start };
        Some(trials.start(&call.service, start))
    }

    /// Waits until the version of a request's runner was rolled back.
    async fn wait_until_rejected(&self, call: &Call, endpoint: &Endpoint) {
        let mut changes = self.published.watch();
        loop {
            let view = self.published.load();
            let rejected = view.splits.get(&call.service).filter(|split| split.is_rejected);
            let version = self.client.fleet.version(endpoint.key);
            if rejected.is_some_and(|split| version.as_ref() == Some(&split.to)) {
                return;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns the selection criteria for a request.
    fn criteria<'a>(&self, call: &'a Call, except: &'a [RunnerKey]) -> Criteria<'a> {
        let (service, prompt) = (call.service.as_str(), call.head.prompt);
        let memory = self.engine(call).map_or(0, |engine| engine.memory);
        Criteria {
            service,
            except,
            prompt,
            memory,
            avoid_domain: None,
            version: None,
            stable: false,
            idle: self.quarantine.is_suspect(call),
            need: self.level(call).map(|level| self.need(call, level.headroom)),
            size: call.head.size,
            skip: 0,
        }
    }

    /// Returns the position of a request's priority among those of its service; `None` if all requests
    /// have the same priority, or if the service has no engines.
    fn level(&self, call: &Call) -> Option<Level> {
        let view = self.published.load();
        let catalog = view.catalog.as_ref()?;
        catalog.services.get(&call.service)?.engine.as_ref()?;
        catalog.level(&call.service, call.priority())
    }

    /// Returns the capacity that a request needs on an engine if it leaves headroom for so many
    /// priorities.
    fn need(&self, call: &Call, headroom: u8) -> Need {
        let (policy, size) = (&self.admission.policy, call.size());
        let start_delay = policy.start_delay;
        let view = self.published.load();
        Need {
            memory: size.total(),
            prompt: size.prompt,
            headroom: policy.headroom * u32::from(headroom),
            max_unread: self.prefill_rate(&call.service, |rate| rate.tokens_within(start_delay)),
            cautious: headroom > 0 && !self.admission.knows_loads(&view),
        }
    }

    /// Returns the room that the holder of a replica needs; `None` without an admission control.
    fn replica_need(&self, call: &Call) -> Option<Need> {
        let level = self.level(call)?;
        let headroom = self.admission.policy.replica_headroom + u32::from(level.headroom);
        Some(Need { prompt: 0, headroom, ..self.need(call, level.headroom) })
    }

    /// Returns the number of requests like this one that can start now, if they leave headroom for so many
    /// priorities, on runners that are not in `except`.
    fn places(&self, call: &Call, except: &[RunnerKey], headroom: u8) -> u32 {
        let need = Some(self.need(call, headroom));
        self.client.fleet.places(&Criteria { need, ..self.criteria(call, except) })
    }

    /// Returns the engine parameters of the request's service; `None` for a plain service.
    fn engine(&self, call: &Call) -> Option<Engine> {
        let view = self.published.load();
        view.catalog.as_ref()?.services.get(&call.service)?.engine.clone()
    }

    /// Takes one retry from the service's budget; returns false if it is exhausted.
    fn take_retry(&self, service: &str) -> bool {
        let nodes = self.published.load().shares();
        let is_taken = self.budgets.try_take(service, nodes);
        match is_taken {
            true => self.metrics.count_retry(service, true),
            false => self.report_refusal(service, nodes),
        }
        is_taken
    }

    /// Returns whether the service's budget has a retry for a request that needs one, and reports if not.
    fn find_retry(&self, service: &str) -> bool {
        let is_left = self.has_retry(service);
        if !is_left {
            self.report_refusal(service, self.published.load().shares());
        }
        is_left
    }

    fn report_refusal(&self, service: &str, nodes: usize) {
        self.metrics.count_retry(service, false);
        let usage = self.budgets.usage(service, nodes);
        log::info!(service, requests = usage.requests, retries = usage.retries,
            unreported = usage.unreported, unacknowledged = usage.unacknowledged,
            reporting = usage.reporting, nodes, allowed = usage.allowed; "{NO_RETRY}");
    }

    /// Returns whether a request may be written to a connection. All but the first time it takes a retry, at this
    /// moment, as runners and the other nodes count when requests arrive.
    fn admit_send(&self, call: &Call, is_sent: &Cell<bool>) -> bool {
        let is_repeat = is_sent.get();
        if is_repeat && !self.take_retry(&call.service) {
            return false;
        }
        is_sent.set(true);
        self.metrics.count_send(&call.service, is_repeat);
        true
    }

    /// Returns whether the service's budget has a retry left.
    fn has_retry(&self, service: &str) -> bool {
        let nodes = self.published.load().shares();
        self.budgets.has_retry(service, nodes)
    }

    /// Attributes the crash of a runner, if it has crashed, to a request that was sent to it at
    /// `sent_at`. `age` is the time for which it had responded; `None` if the response had not begun, in
    /// which case other requests are suspected rather than this one. The exit of a runner that drains or is no longer
    /// listed is expected.
    async fn record_crash(
        &self,
        call: &Call,
        endpoint: &Endpoint,
        sent_at: Instant,
        age: Option<Duration>,
    ) {
        let Some(runner) = self.client.fleet.incarnation(endpoint.key) else { return };
        let check = self.client.check_crash(endpoint).await;
        self.record_check(call, endpoint, check, Some(&RunnerCrash::now(runner, sent_at, age)));
    }

    /// Returns whether the process that has sent a response which has ended with its connection is up, and records a
    /// crash. One that is not up has not ended the response in order.
    async fn is_up(
        &self,
        call: &Call,
        endpoint: &Endpoint,
        sent_at: Instant,
        age: Duration,
    ) -> bool {
        let incarnation = self.client.fleet.incarnation(endpoint.key);
        let check = self.client.check_sender(endpoint).await;
        let crash = incarnation.map(|runner| RunnerCrash::now(runner, sent_at, Some(age)));
        self.record_check(call, endpoint, check, crash.as_ref());
        check == CrashCheck::Running
    }

    /// Reads the response to a call, reports its arrival, and returns it with the time of its end. One that ends with
    /// its connection is lost if its runner is not up then. Records a crash.
    async fn read_answer(
        &self,
        reply: Box<Reply>,
        call: &Call,
        endpoint: &Endpoint,
        sent_at: Instant,
        trial: Option<&Trial>,
    ) -> Result<(Answer, Instant), SendError> {
        let read = self.client.read_body(reply, call, endpoint, call.deadline()).await;
        let ended_at = Instant::now();
        if let (Some(trial), Ok(answer)) = (trial, &read) {
            match is_failure(answer.parts.status) {
                true => trial.fail(),
                false => trial.respond(ended_at.saturating_duration_since(call.start)),
            }
        }
        match read {
            Ok(answer) if answer.is_confirmed() => Ok((answer, ended_at)),
            Ok(answer) => match self.is_up(call, endpoint, sent_at, Duration::ZERO).await {
                true => Ok((answer, ended_at)),
                false => Err(SendError::Disconnected),
            },
            Err(error) => {
                self.record_crash(call, endpoint, sent_at, Some(Duration::ZERO)).await;
                Err(error)
            }
        }
    }

    /// Records the result of a check; `crash` is what a crash would be.
    fn record_check(
        &self,
        call: &Call,
        endpoint: &Endpoint,
        check: CrashCheck,
        crash: Option<&RunnerCrash>,
    ) {
        if check != CrashCheck::Crashed {
            log::info!(request = call.head.id.as_str(), runner = endpoint.id.as_str();
                "{NO_CRASH}{check:?}");
        } else if let Some(crash) = crash {
            self.attribute_crash(call, endpoint, crash);
        }
    }

    /// Attributes the crash of a runner to a request that it held.
    fn attribute_crash(&self, call: &Call, endpoint: &Endpoint, crash: &RunnerCrash) {
        let &RunnerCrash { sent_at, age, .. } = crash;
        // A request that crashes its runner does so when it begins.
        let is_suspect = age.is_some_and(|age| age <= SOUND_TIME);
        let is_evidence = is_suspect && self.quarantine.record_crash(call, crash);
        let account = call.account.as_ref().map_or("", |account| account.name.as_str());
        log::warn!(request = call.head.id.as_str(), runner = endpoint.id.as_str(), account,
            fingerprint = quarantine::display_fingerprint(call).as_str(),
            prefix = display_ids(&call.head.prefix).as_str(), begun = age.is_some(),
            evidence = is_evidence, sent = sent_at.elapsed().as_millis() as u64; "{RUNNER_CRASHED}");
        self.quarantine.record_prompt_crash(call, crash);
    }

    /// Records a complete response to a request, which shows that the request does not crash runners.
    fn record_response(&self, call: &Call) {
        self.quarantine.record_response(call);
        self.silences.acquit(call);
    }

    /// Calls `work` with the prefill rate of a service.
    fn prefill_rate<T>(&self, service: &str, work: impl FnOnce(&mut PrefillRate) -> T) -> T {
        work(self.prefill_rates.borrow_mut().entry(service.into()).or_default())
    }

    /// Returns a rejection whose `Retry-After` is random, but not shorter than the time until a
    /// runner accepts requests.
    fn not_run_rejection(&self, call: &Call) -> Rejection {
        let wait = self.client.fleet.time_until_ready(&call.service).unwrap_or_default();
        let least = wait.max(MIN_RETRY_AFTER);
        Rejection::NotRun { retry: rand::rng().random_range(least..least + RETRY_AFTER_JITTER) }
    }

    fn reject(&self, call: &Call, rejection: Rejection) -> Response<ResponseBody> {
        let waited = call.start.elapsed().as_millis() as u64;
        self.metrics.count_rejection(rejection);
        log::warn!(request = call.head.id.as_str(), route = call.route.name.as_str(), waited,
            ready = self.client.fleet.ready_count(&call.service); "{REJECTED}{rejection:?}");
        rejection.into_response(&self.client.dialect, Some(&call.head.id))
    }
}

/// Classifies a response by its status and its signature.
fn classify<D: Dialect>(response: &Response<ResponseBody>, dialect: &D) -> Outcome {
    match response.status() {
        status if status.is_success() => Outcome::Served,
        _ if dialect.is_signed(response.headers()) => Outcome::Failed,
        _ => Outcome::Refused,
    }
}

/// Returns the ids of the parts of a prompt in hexadecimal.
fn display_ids(ids: &[u64]) -> String {
    let ids: Vec<String> = ids.iter().map(|id| format!("{id:x}")).collect();
    ids.join(",")
}

/// Reports the end of a response to a first attempt without events.
fn end_trial(trial: Option<&Trial>, status: StatusCode) {
    if let Some(trial) = trial {
        trial.end((!is_failure(status)).into(), None);
    }
}

/// Reports that a first attempt without events got no response.
fn lose_trial(trial: Option<&Trial>, error: SendError) {
    if let Some(trial) = trial {
        trial.end(lost_response(error), None);
    }
}

/// Returns what a send without a response says about the version. One that takes too long is bad.
fn lost_response(error: SendError) -> VersionResponse {
    match error {
        SendError::Timeout => VersionResponse::Failure,
        SendError::Unsent
        | SendError::NoPath
        | SendError::Malformed(_)
        | SendError::Disconnected => VersionResponse::Lost,
    }
}

/// Returns the version constraint of a request. A version that was rolled back gets no request,
/// even if the request was assigned to it before, and one that is not completed gets no retry.
fn version_constraint<'a>(view: &'a View, call: &Call, is_retry: bool) -> Option<Version<'a>> {
    let split = view.splits.get(&call.service)?;
    let new = call.version.is_some_and(|choice| choice.new);
    match split.rule {
        Rule::OnlyNew => Some(Version::Only(&split.to)),
        Rule::Canary if new && !is_retry => Some(Version::Only(&split.to)),
        Rule::Canary | Rule::OnlyOld => Some(Version::Except(&split.to)),
    }
}

/// Returns the options of a send without replicas, after `earlier` sends of the same request.
fn send_options(call: &Call, endpoint: &Endpoint, earlier: usize) -> SendOptions {
    SendOptions {
        runner: endpoint.id.clone(),
        resume: call.head.resume,
        replica_to: None,
        from_replica: None,
        earlier: earlier as u32,
        priority: None,
    }
}
