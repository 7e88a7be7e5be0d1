//! Race of a silent run and the attempts that may replace it. A silence is no proof of a failure: a run
//! or an attempt is kept until another run has started, and the first to bring an event wins. A run whose
//! replica is used ends: from the send on, the stream may go on at the replica's runner.

mod state;

pub(super) use self::state::Race;

use {
    self::state::Pending,
    super::{
        ActiveRun, FinalFailure, Generation, NoAttempt,
        attempt::{Attempt, AttemptOutcome, LostRun, Plan, StartedRun, Suspicion},
        replica::AvailableReplica,
        run::RunEnd,
    },
    crate::{
        dialect::Dialect,
        events::Event,
        log_messages::RESPONSE_LOST,
        metrics::{Resume, Silence},
        network::Network,
        pool::SendError,
        runner_client::{LossSign, is_failure},
    },
    bilberryfront_decide::mover::Response as VersionResponse,
    futures_util::{StreamExt, stream::FuturesUnordered},
    std::{future, time::Duration},
    tokio::{
        sync::mpsc,
        time::{Instant, sleep_until},
    },
};

/// Time for which the first event of an attempt may be under way when the silent run continues.
const START_GRACE: Duration = Duration::from_millis(10);

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
    /// First event, or how the run ended without one.
    pub(super) first: Result<Event, RunEnd>,
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
                if race.is_empty() && !self.wait_for_room(&race, end).await {
                    return RaceEnd::Failed(self.final_failure());
                }
                match self.next_plan(&race, end) {
                    Some(plan) => {
                        attempts.push(self.start_attempt(&mut race, plan, &signs).run());
                    }
                    None if race.is_empty() => return RaceEnd::Failed(self.final_failure()),
                    None => race.delay(),
                }
            }
            let (lost_end, sends) = (race.lost_end(), race.sends.clone());
            let (handover_end, retry_at) = (self.handover_end(&race), race.retry_at);
            tokio::select! {
                biased;
                next = wait_for_event(&mut race, self.position) => match next {
                    Ok(()) if race.is_handed_over() => {}
                    Ok(()) => return self.continue_run(race, None),
                    Err(RunEnd::Whole) => return self.continue_run(race, Some(RunEnd::Whole)),
                    Err(reason) => {
                        if !race.has_sent() {
                            // Planned anew, as a replica may be used without a probe now.
                            attempts.clear();
                            self.sends -= race.pending.drain(..).len() as u32;
                        }
                        self.lose_silent_run(&mut race, reason).await;
                    }
                },
                Some((plan, outcome)) = attempts.next() => {
                    let was_connected = race.is_connected(plan.number);
                    race.remove(plan.number);
                    // The replica's runner may have run the request although its response is lost.
                    if plan.from_replica.is_some() && was_connected && outcome.is_lost() {
                        self.lose_silent_run(&mut race, RunEnd::Silent).await;
                    }
                    match outcome {
                        AttemptOutcome::Started(started) if !self.accepts(&started).await => {
                            self.record_empty_run(&plan, &started).await;
                        }
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
                    self.record_suspicion(&suspicion);
                }
                // The silent run and the attempts whose events are missing are considered again.
                () = sends.notified() => {}
                () = sleep_until(handover_end.unwrap_or(end)), if handover_end.is_some() => {
                    // The retry budget may have been exhausted since.
                    if self.handover_end(&race).is_some_and(|at| at <= Instant::now()) {
                        self.failed.extend(race.cancel_former());
                        self.lose_silent_run(&mut race, RunEnd::Silent).await;
                    }
                }
                () = sleep_until(lost_end.unwrap_or(end)), if lost_end.is_some() => {
                    self.failed.extend(race.cancel_lost());
                }
                () = sleep_until(retry_at), if race.needs_attempt() => race.unresponsive.clear(),
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

    fn handover_end(&self, race: &Race) -> Option<Instant> {
        race.handover_end(self.traffic.has_retry(&self.call.service))
    }

    /// Adds an attempt to a race.
    fn start_attempt(
        &mut self,
        race: &mut Race,
        plan: Plan,
        signs: &mpsc::UnboundedSender<Suspicion>,
    ) -> Attempt<D, N> {
        if plan.number == 1 {
            self.trial = self.traffic.start_trial(&self.call, plan.endpoint.key);
        }
        let suspects = race.suspects();
        let Pending { plan, sent, connected, cancelled, .. } = race.add(plan);
        Attempt {
            traffic: self.traffic.clone(),
            call: self.call.clone(),
            plan,
            end: self.call.deadline(),
            signs: signs.clone(),
            is_sent: self.is_sent.clone(),
            sent,
            connected,
            sends: race.sends.clone(),
            cancelled,
            suspects,
        }
    }

    /// Records what a suspicion says about its runner.
    fn record_suspicion(&self, suspicion: &Suspicion) {
        let Suspicion { endpoint, sent_at, was_idle, sign, .. } = suspicion;
        match sign {
            Some(LossSign::Unresponsive) => {
                self.record_failure(endpoint);
                let age = was_idle.then_some(Duration::ZERO);
                self.traffic.check_silence(&self.call, endpoint, *sent_at, age);
            }
            Some(LossSign::EventsMissing) => self.record_failure(endpoint),
            Some(LossSign::VersionRejected) | None => {}
        }
    }

    /// Ends the silent run, which has broken or is replaced, and keeps its replica.
    async fn lose_silent_run(&mut self, race: &mut Race, reason: RunEnd) {
        if let Some(active) = race.take_silent() {
            self.salvage_replica(&active.run, race.has_unsent_replica());
            self.end_run(*active, reason, race.is_empty()).await;
        }
    }

    /// Ends a race that the silent run has won.
    fn continue_run(&mut self, mut race: Race, end: Option<RunEnd>) -> RaceEnd {
        let held = race.held.take().map(|(event, _)| event);
        let next = end.map_or_else(|| Ok(held.expect("the run has continued")), Err);
        let active = race.take_silent().expect("the event is of the silent run");
        self.count_cancelled(&race);
        self.sends -= race.pending.len() as u32;
        self.log_continued(&active);
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
        for attempt in race.pending.iter().filter(|p| p.is_sent()) {
            self.end_trial(attempt.plan.number, VersionResponse::Lost);
            self.failed.push(attempt.plan.endpoint.key);
        }
        let StartedRun { parts, run, first } = started;
        let is_fresh = plan.from_replica.is_none();
        self.may_have_run = true;
        self.runs += u32::from(is_fresh);
        self.record_runner(plan.endpoint.key);
        self.first_event_at.get_or_insert_with(Instant::now);
        if let Some(trial) = self.trial.as_ref().filter(|_| plan.number == 1) {
            trial.respond(plan.sent_at.elapsed());
        }
        if plan.number == 1 && self.call.head.resume.is_none() {
            let (tokens, took) = (self.call.size().prompt, plan.sent_at.elapsed());
            self.traffic.prefill_rate(&self.call.service, |rate| rate.observe(tokens, took));
        }
        let source = if is_fresh { Resume::Anew } else { Resume::Replica };
        let is_whole = is_fresh && self.position.is_none();
        let active = ActiveRun::new(run, plan, source, is_whole);
        self.log_started(&active.run, !is_fresh);
        RaceEnd::Started(Box::new(Winner { parts, active, first }))
    }

    /// Returns whether a run begins or continues the response. One without an event does not begin it, as the
    /// next one may have events, unless it confirms the end of another or must not be followed by any.
    async fn accepts(&self, started: &StartedRun) -> bool {
        match started.first {
            Err(end) if !self.has_begun() && self.is_resumable() => {
                self.confirms_end(end, &started.run).await
            }
            _ => true,
        }
    }

    /// Records a run that has ended without an event, before the response has begun.
    async fn record_empty_run(&mut self, plan: &Plan, started: &StartedRun) {
        let run = &started.run;
        log::warn!(request = self.call.head.id.as_str(), runner = run.endpoint().id.as_str(),
            framing:? = run.framing(), tunneled = run.is_tunneled();
            "{RESPONSE_LOST}{:?}, before the first event", RunEnd::Unconfirmed);
        let end = RunEnd::Unconfirmed.response_end();
        self.traffic.metrics.count_response_end(&self.call.service, run.framing(), end);
        self.may_have_run = true;
        self.runs += u32::from(plan.from_replica.is_none());
        self.record_runner(plan.endpoint.key);
        self.suspend_trial(plan.number);
        let is_up = self.states_end(run).await;
        self.record_unconfirmed_end(is_up);
        self.failed.push(plan.endpoint.key);
        self.lost = Some(SendError::Disconnected);
    }

    /// Keeps a replica that was not used, if its run has ended.
    fn keep_replica(&mut self, race: &Race, replica: Option<AvailableReplica>) {
        let unused = replica.filter(|_| race.silent.is_none());
        self.last_replica = unused.or_else(|| self.last_replica.take());
    }

    /// Counts attempts that the end of the race cancels. Their runs may have started.
    fn count_cancelled(&mut self, race: &Race) {
        self.may_have_run |= race.has_sent();
        for attempt in race.pending.iter().filter(|p| p.is_sent()) {
            self.runs += u32::from(attempt.is_fresh());
            self.record_runner(attempt.plan.endpoint.key);
        }
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
        self.trial.take_if(|_| number == 1 && !outcome.may_have_run());
        if outcome.may_have_run() {
            self.may_have_run = true;
            self.record_runner(endpoint.key);
        }
        match outcome {
            AttemptOutcome::Started(_) => unreachable!("a started run ends the race"),
            AttemptOutcome::Answered(answer) => {
                let is_failure = is_failure(answer.parts.status);
                self.end_trial(number, (!is_failure).into());
                self.runs += 1;
                let is_final = !is_failure && !self.has_begun() && race.silent.is_none();
                if is_final {
                    return Some(FinalFailure::Answered(answer));
                }
                self.failure = Some(answer);
            }
            AttemptOutcome::NotRun | AttemptOutcome::Withheld => {}
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
                self.end_trial(number, VersionResponse::Lost);
                self.runs += u32::from(is_fresh);
                return None;
            }
            AttemptOutcome::NoPath => {
                self.sends -= 1;
                self.keep_replica(race, from_replica);
                if race.is_empty() {
                    // A new stream may succeed through another node; one that has begun cannot.
                    let fleet = &self.traffic.client.fleet;
                    if !self.is_sent.get()
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
                self.end_trial(number, VersionResponse::Lost);
                self.runs += u32::from(is_fresh);
                self.lost = Some(error);
                self.record_failure(&endpoint);
                if error == SendError::Disconnected {
                    self.runners.retain(|runner| *runner != endpoint.key);
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

/// Waits until the silent run continues with the event that is held then. It does not while the runner of its
/// replica may go on with the stream, nor while the first event of another attempt may be under way.
async fn wait_for_event(race: &mut Race, position: Option<u64>) -> Result<(), RunEnd> {
    /// The deadline of the race ends the wait.
    const UNLIMITED: Duration = Duration::from_secs(3_600);
    let Some(active) = &mut race.silent else { return future::pending().await };
    if race.held.is_none() {
        let event = active.run.next(UNLIMITED, position).await?;
        race.held = Some((event, Instant::now()));
    }
    match race.held {
        _ if race.is_handed_over() => future::pending().await,
        Some((_, at)) if race.has_sent() => sleep_until(at + START_GRACE).await,
        _ => {}
    }
    Ok(())
}
