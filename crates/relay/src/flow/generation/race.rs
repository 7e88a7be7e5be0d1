//! Race of a silent run and the attempts that may replace it. A silence is no proof of a failure: a run
//! or an attempt is kept until another run has started, and the first to bring an event wins.

use {
    super::{
        ActiveRun, FinalFailure, Generation, NoAttempt,
        attempt::{Attempt, AttemptOutcome, LostRun, Plan, StartedRun, Suspicion},
        replica::AvailableReplica,
        run::RunEnd,
    },
    crate::{
        dialect::Dialect,
        events::Event,
        fleet::{Endpoint, RunnerKey},
        metrics::{Resume, Silence},
        network::Network,
        pool::SendError,
        runner_client::LossSign,
    },
    bilberryfront_decide::mover::Response as VersionResponse,
    futures_util::{StreamExt, stream::FuturesUnordered},
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        sync::{Notify, mpsc},
        time::{Instant, sleep_until},
    },
};

/// Interval at which a hedge is considered again while none is possible.
const HEDGE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of runners that do not respond, or reject the request, from which the next hedge is delayed:
/// most of them may be in that state.
const MAX_FAILURES: usize = 2;
/// Time for which a silent run is waited for after its runner has responded to a probe.
const RESPONSE_GRACE: Duration = Duration::from_millis(100);
/// Time of a silence from which the last attempt of the route is used for a hedge as well.
const RESERVE_TIME: Duration = Duration::from_secs(2);
/// Maximum number of attempts under way at the same time.
const MAX_ATTEMPTS: usize = 3;

/// End of a race.
pub(super) enum RaceEnd {
    /// A run has started.
    Started(Box<Winner>),
    /// The silent run continues, with this event or its regular end.
    Continued(Box<ActiveRun>, Result<Event, RunEnd>),
    /// No run is left, and no other attempt is allowed or possible.
    Failed(FinalFailure),
}

/// A run that has started.
pub(super) struct Winner {
    pub(super) parts: http::response::Parts,
    pub(super) active: ActiveRun,
    /// First event; `None` if the run ended without one.
    pub(super) first: Option<Event>,
}

/// State of a race.
pub(super) struct Race {
    /// Run that fell silent.
    pub(super) silent: Option<Box<ActiveRun>>,
    /// Attempts under way.
    pub(super) pending: Vec<Pending>,
    /// Runners that have not responded to a probe since the last delay.
    pub(super) unresponsive: Vec<RunnerKey>,
    /// Number of hedges that were sent and ended without a run.
    rejections: usize,
    /// Whether the runner of the silent run has responded to a probe.
    is_responsive: bool,
    /// Time before which no other hedge is considered.
    retry_at: Instant,
    start: Instant,
}

/// An attempt under way.
#[derive(Clone)]
pub(super) struct Pending {
    plan: Plan,
    /// Since when and why the attempt is suspect; `None` if it is not.
    suspect: Option<(Instant, LossSign)>,
    /// Whether the request was sent; until then, the runner is only probed.
    is_sent: Rc<Cell<bool>>,
    /// Cancels the attempt.
    cancelled: Rc<Notify>,
}

impl Pending {
    fn new(plan: Plan) -> Pending {
        Pending { plan, suspect: None, is_sent: Rc::default(), cancelled: Rc::default() }
    }

    fn is_fresh(&self) -> bool {
        self.plan.from_replica.is_none()
    }
}

impl Race {
    fn new(silent: Option<Box<ActiveRun>>) -> Race {
        let (pending, unresponsive, now) = (Vec::new(), Vec::new(), Instant::now());
        let (rejections, is_responsive) = (0, false);
        Race { silent, pending, unresponsive, rejections, is_responsive, retry_at: now, start: now }
    }

    /// Takes the silent run, with the time for which it was waited for.
    fn take_silent(&mut self) -> Option<Box<ActiveRun>> {
        let mut active = self.silent.take()?;
        active.silent += self.start.elapsed();
        Some(active)
    }

    /// Returns whether nothing is under way.
    pub(super) fn is_empty(&self) -> bool {
        self.silent.is_none() && self.pending.is_empty()
    }

    /// Returns whether another attempt is needed: each one under way is suspect.
    fn needs_attempt(&self) -> bool {
        self.pending.len() < MAX_ATTEMPTS && self.pending.iter().all(|p| p.suspect.is_some())
    }

    /// Returns whether another attempt is considered now.
    fn is_due(&self) -> bool {
        self.needs_attempt() && (self.is_empty() || Instant::now() >= self.retry_at)
    }

    fn delay(&mut self) {
        self.retry_at = Instant::now() + HEDGE_INTERVAL;
    }

    /// Returns whether an attempt that is not sent yet is to resume from a replica.
    fn has_unsent_replica(&self) -> bool {
        self.pending.iter().any(|p| !p.is_fresh() && !p.is_sent.get())
    }

    fn add_unresponsive(&mut self, key: RunnerKey) {
        self.unresponsive.push(key);
        if self.unresponsive.len() >= MAX_FAILURES {
            self.delay();
        }
    }

    /// Counts a hedge that was sent and ended without a run.
    fn count_rejection(&mut self) {
        self.rejections += 1;
        if self.rejections >= MAX_FAILURES {
            self.delay();
        }
    }

    /// Returns the number of runs from the prompt that may start.
    pub(super) fn fresh_count(&self) -> u32 {
        self.pending.iter().filter(|p| p.is_fresh()).count() as u32
    }

    /// Returns the runners that another attempt must not use.
    pub(super) fn excluded(&self) -> Vec<RunnerKey> {
        let silent = self.silent.iter().map(|active| active.run.endpoint().key);
        let pending = self.pending.iter().map(|p| p.plan.endpoint.key);
        silent.chain(pending).chain(self.unresponsive.iter().copied()).collect()
    }

    /// Returns the runners of the silent run and of the attempts that continue if these respond again.
    fn suspects(&self) -> Vec<Endpoint> {
        let silent = self.silent.iter().filter(|_| !self.is_responsive);
        let silent = silent.map(|active| active.run.endpoint().clone());
        let is_unresponsive = |p: &&Pending| matches!(p.suspect, Some((_, LossSign::Unresponsive)));
        let pending = self.pending.iter().filter(is_unresponsive);
        silent.chain(pending.map(|p| p.plan.endpoint.clone())).collect()
    }

    /// Returns whether the last attempt of the route is left for a failure of the silent run.
    pub(super) fn reserves_attempt(&self) -> bool {
        self.silent.is_some() && self.start.elapsed() < RESERVE_TIME
    }

    /// Clears the suspicion of an attempt whose runner responds, or waits for the silent run once.
    fn record_responsive(&mut self, key: RunnerKey) {
        match self.pending.iter_mut().find(|p| p.plan.endpoint.key == key) {
            Some(attempt) => attempt.suspect = None,
            None => {
                self.is_responsive = true;
                self.retry_at = Instant::now() + RESPONSE_GRACE;
            }
        }
    }

    fn add(&mut self, attempt: &Pending) {
        self.pending.push(attempt.clone());
    }

    fn suspect(&mut self, suspicion: &Suspicion) {
        let number = suspicion.number;
        let Some(index) = self.pending.iter().position(|p| p.plan.number == number) else { return };
        if let Some(sign) = suspicion.sign {
            self.pending[index].suspect = Some((Instant::now(), sign));
        } else if let Some((suspect_at, _)) = self.pending[index].suspect.take() {
            let work = suspect_at - self.pending[index].plan.sent_at;
            self.cancel_rival(index, work);
        }
    }

    /// Cancels one of two attempts whose runners respond: the one that has worked for less time. The
    /// attempt at `index` has worked for `work` and was silent since.
    fn cancel_rival(&self, index: usize, work: Duration) {
        let is_rival = |p: &&Pending| p.suspect.is_none() && p.is_sent.get();
        let others = self.pending.iter().enumerate().filter(|(other, _)| *other != index);
        let Some(rival) = others.map(|(_, p)| p).find(is_rival) else { return };
        match rival.plan.sent_at.elapsed() < work {
            true => rival.cancelled.notify_one(),
            false => self.pending[index].cancelled.notify_one(),
        }
    }
}

impl<D: Dialect, N: Network> Generation<D, N> {
    /// Starts attempts until a run starts, or until `silent` continues.
    pub(super) async fn race(&mut self, silent: Option<Box<ActiveRun>>) -> RaceEnd {
        let end = self.call.deadline();
        let (signs, mut suspicions) = mpsc::unbounded_channel();
        let mut race = Race::new(silent);
        let mut attempts = FuturesUnordered::new();
        loop {
            if race.is_due() {
                match self.next_plan(&race, end) {
                    Some(plan) => {
                        let suspects = race.suspects();
                        let attempt = Pending::new(plan);
                        race.add(&attempt);
                        let Pending { plan, is_sent, cancelled, .. } = attempt;
                        let (traffic, call) = (self.traffic.clone(), self.call.clone());
                        let signs = signs.clone();
                        let attempt = Attempt {
                            traffic,
                            call,
                            plan,
                            end,
                            signs,
                            is_sent,
                            cancelled,
                            suspects,
                        };
                        attempts.push(attempt.run());
                    }
                    None if race.is_empty() => return RaceEnd::Failed(self.final_failure()),
                    None => race.delay(),
                }
            }
            tokio::select! {
                biased;
                next = next_event(&mut race.silent, self.position) => match next {
                    Ok(_) | Err(RunEnd::Whole) => return self.continue_run(race, next),
                    Err(reason) => {
                        if let Some(active) = race.take_silent() {
                            if race.pending.iter().all(|p| !p.is_sent.get()) {
                                // Planned anew, as the replica may be used without a probe now.
                                attempts.clear();
                                self.sends -= race.pending.drain(..).len() as u32;
                            }
                            self.salvage_replica(&active.run, race.has_unsent_replica());
                            self.end_run(*active, reason, race.is_empty()).await;
                        }
                    }
                },
                Some((plan, outcome)) = attempts.next() => {
                    race.pending.retain(|p| p.plan.number != plan.number);
                    match outcome {
                        AttemptOutcome::Started(started) => {
                            return self.replace_run(race, &plan, *started).await;
                        }
                        outcome => {
                            if let Some(failure) = self.record_outcome(&mut race, plan, outcome).await {
                                return RaceEnd::Failed(failure);
                            }
                        }
                    }
                }
                Some(suspicion) = suspicions.recv() => {
                    race.suspect(&suspicion);
                    if suspicion.sign.is_some() {
                        self.record_failure(&suspicion.endpoint);
                    }
                }
                () = sleep_until(race.retry_at), if race.needs_attempt() => race.unresponsive.clear(),
                () = sleep_until(end), if race.pending.is_empty() => {
                    self.no_attempt.get_or_insert(NoAttempt::Deadline);
                    if let Some(active) = race.take_silent() {
                        self.end_run(*active, RunEnd::Silent, false).await;
                    }
                    return RaceEnd::Failed(self.final_failure());
                }
            }
        }
    }

    /// Ends a race that the silent run has won.
    fn continue_run(&mut self, mut race: Race, next: Result<Event, RunEnd>) -> RaceEnd {
        let active = race.take_silent().expect("the event is of the silent run");
        self.count_cancelled(&race);
        self.sends -= race.pending.len() as u32;
        self.log_continued(&active.run);
        self.traffic.metrics.count_silence(Silence::Continued);
        RaceEnd::Continued(active, next)
    }

    /// Ends a race that another run has won. The silent run is cancelled.
    async fn replace_run(&mut self, mut race: Race, plan: &Plan, started: StartedRun) -> RaceEnd {
        if let Some(active) = race.take_silent() {
            self.end_run(*active, RunEnd::Silent, false).await;
        }
        self.last_replica = None;
        self.count_cancelled(&race);
        for attempt in race.pending.iter().filter(|p| p.is_sent.get()) {
            let (key, number) = (attempt.plan.endpoint.key, attempt.plan.number);
            self.report_sample(key, number, VersionResponse::Lost);
            self.failed.push(key);
        }
        let StartedRun { parts, run, first } = started;
        let is_fresh = plan.from_replica.is_none();
        self.reached_runner = true;
        self.runs += u32::from(is_fresh);
        self.first_event_at.get_or_insert_with(Instant::now);
        if plan.number == 1 && self.call.head.resume.is_none() {
            let (tokens, took) = (self.call.size().prompt, self.call.start.elapsed());
            self.traffic.prefill_rate(&self.call.service, |rate| rate.observe(tokens, took));
        }
        let source = if is_fresh { Resume::Anew } else { Resume::Replica };
        let is_whole = is_fresh && self.position.is_none();
        let active = ActiveRun::new(run, plan, source, is_whole);
        self.log_started(&active.run, !is_fresh);
        RaceEnd::Started(Box::new(Winner { parts, active, first }))
    }

    /// Keeps a replica that was not used, if its run has ended.
    fn keep_replica(&mut self, race: &Race, replica: Option<AvailableReplica>) {
        let unused = replica.filter(|_| race.silent.is_none());
        self.last_replica = unused.or_else(|| self.last_replica.take());
    }

    /// Counts attempts that the end of the race cancels. Their runs may have started.
    fn count_cancelled(&mut self, race: &Race) {
        let sent = race.pending.iter().filter(|p| p.is_sent.get());
        self.runs += sent.filter(|p| p.is_fresh()).count() as u32;
    }

    /// Records an attempt that has ended without a run. Returns a failure if no other attempt may be made.
    async fn record_outcome(
        &mut self,
        race: &mut Race,
        plan: Plan,
        outcome: AttemptOutcome,
    ) -> Option<FinalFailure> {
        let Plan { endpoint, from_replica, number, sent_at, is_hedge, .. } = plan;
        let is_fresh = from_replica.is_none();
        match outcome {
            AttemptOutcome::Started(_) => unreachable!("a started run ends the race"),
            AttemptOutcome::Failure(parts, bytes) => {
                self.reached_runner = true;
                self.report_sample(endpoint.key, number, VersionResponse::Failure);
                self.runs += 1;
                self.failure = Some((parts, bytes));
            }
            AttemptOutcome::NotRun => self.reached_runner = true,
            AttemptOutcome::Withheld => {}
            AttemptOutcome::Unsent => self.mark_failed(endpoint.key),
            AttemptOutcome::Unresponsive | AttemptOutcome::NoBudget => {
                self.sends -= 1;
                match outcome {
                    AttemptOutcome::NoBudget => {
                        self.no_attempt = Some(NoAttempt::Budget);
                        race.delay();
                    }
                    _ => race.add_unresponsive(endpoint.key),
                }
                self.keep_replica(race, from_replica);
                return None;
            }
            AttemptOutcome::Unneeded(key) => {
                self.sends -= 1;
                race.record_responsive(key);
                return None;
            }
            AttemptOutcome::Cancelled => {
                self.report_sample(endpoint.key, number, VersionResponse::Lost);
                self.runs += u32::from(is_fresh);
                return None;
            }
            AttemptOutcome::NoPath => {
                self.sends -= 1;
                self.has_unused_retry = is_hedge || self.reached_runner;
                self.keep_replica(race, from_replica);
                if race.is_empty() {
                    // A new stream may succeed through another node; one that has begun cannot.
                    let fleet = &self.traffic.client.fleet;
                    if !self.reached_runner
                        || !fleet.wait_for_path(&endpoint, self.call.deadline()).await
                    {
                        self.no_attempt = Some(NoAttempt::NoPath);
                        return Some(self.final_failure());
                    }
                } else {
                    race.add_unresponsive(endpoint.key);
                }
                return None;
            }
            AttemptOutcome::Lost(LostRun { error, is_suspect }) => {
                self.reached_runner = true;
                self.report_sample(endpoint.key, number, VersionResponse::Lost);
                self.runs += u32::from(is_fresh);
                self.lost = Some(error);
                self.record_failure(&endpoint);
                if error == SendError::Disconnected {
                    let age = is_suspect.then_some(Duration::ZERO);
                    self.record_crash(&endpoint, sent_at, age, race.is_empty()).await;
                }
            }
            AttemptOutcome::Quarantined => {
                self.no_attempt = Some(NoAttempt::Quarantined);
                if race.silent.is_none() {
                    self.lost = Some(SendError::Disconnected);
                    return Some(self.final_failure());
                }
            }
        }
        if is_hedge {
            race.count_rejection();
        }
        // A runner without the replica may still prefill the prompt.
        if is_fresh {
            self.failed.push(endpoint.key);
        }
        None
    }
}

/// Returns the next event of the silent run; pending if there is none.
async fn next_event(
    silent: &mut Option<Box<ActiveRun>>,
    position: Option<u64>,
) -> Result<Event, RunEnd> {
    /// The deadline of the race ends the wait.
    const UNLIMITED: Duration = Duration::from_secs(3_600);
    match silent {
        Some(active) => active.run.next(UNLIMITED, position).await,
        None => std::future::pending().await,
    }
}
