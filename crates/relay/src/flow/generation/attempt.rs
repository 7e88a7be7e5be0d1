//! One send of a stream's request, up to the first event of the run.

use {
    super::{
        replica::{AvailableReplica, Replica},
        run::{Run, RunEnd},
    },
    crate::{
        call::Call,
        dialect::{Dialect, SendOptions},
        events::Event,
        fleet::{Endpoint, Lease, Load, RunnerKey},
        flow::Traffic,
        framing::has_no_body,
        log_messages::{ATTEMPT_SUSPECT, RESPONSE_LOST, SENT_BESIDE},
        network::Network,
        pool::SendError,
        runner_client::{Answer, LossSign, SendOutcome},
    },
    futures_util::future::join_all,
    http::{StatusCode, response::Parts},
    std::{cell::Cell, convert::Infallible, pin::pin, rc::Rc, time::Duration},
    tokio::{
        sync::{Notify, mpsc},
        time::{Instant, timeout, timeout_at},
    },
};

/// Time for which the suspects' responses are waited for after the runner's own.
const SUSPECT_TIME: Duration = Duration::from_millis(20);

/// A send that has been decided on.
#[derive(Clone)]
pub(super) struct Plan {
    /// Number of the send, from 1.
    pub(super) number: u32,
    /// Receiver.
    pub(super) endpoint: Endpoint,
    /// Replica on the receiver from which the run is resumed.
    pub(super) from_replica: Option<AvailableReplica>,
    /// Runner to which the run is replicated.
    pub(super) holder: Option<Endpoint>,
    /// Id of the last event delivered to the caller.
    pub(super) position: Option<u64>,
    /// Runner of the silent run that is open.
    pub(super) former: Option<Endpoint>,
    /// Whether other attempts or a silent run are under way.
    pub(super) is_hedge: bool,
    /// Time of the decision.
    pub(super) sent_at: Instant,
}

/// One send and all that it needs.
pub(super) struct Attempt<D, N> {
    pub(super) traffic: Traffic<D, N>,
    pub(super) call: Rc<Call>,
    pub(super) plan: Plan,
    /// Deadline of the first event.
    pub(super) end: Instant,
    /// Receives whether the attempt is suspect.
    pub(super) signs: mpsc::UnboundedSender<Suspicion>,
    /// Whether this or another attempt was sent.
    pub(super) is_sent: Rc<Cell<bool>>,
    /// Set to the time at which the request is sent.
    pub(super) sent: Rc<Cell<Option<Instant>>>,
    /// Set to the time at which there is a connection for the request.
    pub(super) connected: Rc<Cell<Option<Instant>>>,
    /// Notified at both times.
    pub(super) sends: Rc<Notify>,
    /// Notified if the attempt is to be cancelled.
    pub(super) cancelled: Rc<Notify>,
    /// Runners of the silent run or of the suspect attempts.
    pub(super) suspects: Vec<Endpoint>,
}

/// Change of the suspicion that an attempt is lost.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    /// Number of the send.
    pub(super) number: u32,
    /// Runner.
    pub(super) endpoint: Endpoint,
    /// Time of the send.
    pub(super) sent_at: Instant,
    /// Whether the runner ran no other request.
    pub(super) was_idle: bool,
    /// Why the attempt is suspect; `None` if its runner reports it again.
    pub(super) sign: Option<LossSign>,
}

/// Returns whether a response is a stream of events.
fn is_stream(call: &Call, status: StatusCode) -> bool {
    status.is_success() && !has_no_body(&call.method, status)
}

/// A run whose response has started.
pub(super) struct StartedRun {
    pub(super) parts: Parts,
    pub(super) run: Run,
    /// First event, or how the run ended without one.
    pub(super) first: Result<Event, RunEnd>,
}

/// Outcome of one send.
pub(super) enum AttemptOutcome {
    Started(Box<StartedRun>),
    /// Response without a stream of events: an error, or what its request asked for.
    Answered(Answer),
    NotRun,
    Unsent,
    NoPath,
    Withheld,
    Lost(LostRun),
    /// The request was quarantined while the attempt waited for the first event.
    Quarantined,
    /// The runner did not respond to a probe; nothing was sent.
    Unresponsive,
    /// The retry budget is exhausted; nothing was sent.
    NoBudget,
    /// This runner of a suspect attempt, or of the silent run, responds again; nothing was sent.
    Unneeded(RunnerKey),
    /// Another attempt is preferred.
    Cancelled,
}

impl AttemptOutcome {
    /// Returns whether the request may have run, and nothing of the run is left.
    pub(super) fn is_lost(&self) -> bool {
        !matches!(self, AttemptOutcome::Started(_)) && self.may_have_run()
    }

    /// Returns whether the request may have run.
    pub(super) fn may_have_run(&self) -> bool {
        use AttemptOutcome::{Answered, Cancelled, Lost, Quarantined, Started};
        matches!(self, Started(_) | Answered(_) | Lost(_) | Cancelled | Quarantined)
    }
}

/// A send that was lost before the first event.
pub(super) struct LostRun {
    pub(super) error: SendError,
    /// Whether the runner may have crashed because of this request: the response had started, or no
    /// other request was on the runner.
    pub(super) is_suspect: bool,
}

impl<D: Dialect, N: Network> Attempt<D, N> {
    /// Sends the request and waits for the first event. Dropping the future cancels the run.
    pub(super) async fn run(self) -> (Plan, AttemptOutcome) {
        let was_idle = self.traffic.client.fleet.is_idle(self.plan.endpoint.key);
        // Taken before the runner is probed, so that streams which are silent together spread out.
        let (lease, replica) = self.lease();
        if let Some(outcome) = self.check().await {
            return (self.plan, outcome);
        }
        self.sent.set(Some(Instant::now()));
        self.sends.notify_one();
        let outcome = tokio::select! {
            outcome = self.send(lease, replica, was_idle) => outcome,
            never = self.watch(was_idle) => match never {},
            () = self.traffic.quarantine.wait_until_quarantined(&self.call) => AttemptOutcome::Quarantined,
            () = self.cancelled.notified() => AttemptOutcome::Cancelled,
        };
        (self.plan, outcome)
    }

    /// Logs that the request is sent while the silent run is open, and when its runner was last seen.
    fn log_beside(&self) {
        let Some(former) = &self.plan.former else { return };
        let seen = self.traffic.client.fleet.last_seen(former.key).map(|at| at.elapsed());
        log::warn!(request = self.call.head.id.as_str(), runner = self.plan.endpoint.id.as_str(),
            former = former.id.as_str(), seen = seen.map(|age| age.as_millis() as u64),
            position = self.plan.position.unwrap_or_default(),
            from_replica = self.plan.from_replica.is_some();
            "{SENT_BESIDE}");
    }

    /// Leases the memory of the runner and of the replica's holder.
    fn lease(&self) -> (Lease, Option<Replica>) {
        let (fleet, plan, size) = (&self.traffic.client.fleet, &self.plan, self.call.size());
        let memory = size.total();
        let unread = if plan.from_replica.is_some() { 0 } else { size.prompt };
        let lease = fleet.lease(plan.endpoint.clone(), Load { running: 1, memory, unread });
        let replicated = Load { memory, ..Load::default() };
        let holder = plan.holder.clone();
        let id = &self.call.head.id;
        (lease, holder.map(|p| Replica::streamed(fleet.lease(p, replicated), id)))
    }

    /// Checks a hedge before it is sent: its runner must respond, since a silence often affects many
    /// runners, and the budget must allow it. A prompt is not prefilled again if a suspect responds.
    async fn check(&self) -> Option<AttemptOutcome> {
        if !self.plan.is_hedge {
            return None;
        }
        match timeout_at(self.end, self.probe()).await {
            Ok((true, Some(key))) => Some(AttemptOutcome::Unneeded(key)),
            Ok((true, None)) => {
                let is_allowed = self.traffic.find_retry(&self.call.service);
                (!is_allowed).then_some(AttemptOutcome::NoBudget)
            }
            Ok((false, _)) | Err(_) => Some(AttemptOutcome::Unresponsive),
        }
    }

    /// Probes the runner and the suspects. Returns whether the runner responds, and a suspect that does so
    /// as well, without waiting for those that remain silent.
    async fn probe(&self) -> (bool, Option<RunnerKey>) {
        let mut runner = pin!(self.traffic.client.is_responsive(&self.plan.endpoint));
        let mut suspect = pin!(self.find_responsive());
        tokio::select! {
            biased;
            is_responsive = &mut runner => {
                let found = timeout(SUSPECT_TIME, suspect).await;
                (is_responsive, found.unwrap_or_default())
            }
            found = &mut suspect => (runner.await, found),
        }
    }

    /// Returns a suspect that responds to a probe and reports the request.
    async fn find_responsive(&self) -> Option<RunnerKey> {
        if self.plan.from_replica.is_some() {
            return None;
        }
        let probes = self.suspects.iter().map(async |suspect| {
            self.traffic.client.is_reported(&self.call, suspect).await.then_some(suspect.key)
        });
        join_all(probes).await.into_iter().flatten().next()
    }

    async fn send(&self, lease: Lease, replica: Option<Replica>, was_idle: bool) -> AttemptOutcome {
        let Attempt { traffic, call, plan, end, .. } = self;
        let (client, endpoint) = (&traffic.client, &plan.endpoint);
        let options = SendOptions {
            runner: endpoint.id.clone(),
            resume: plan.position,
            replica_to: plan.holder.as_ref().map(|p| p.address),
            from_replica: plan.from_replica.as_ref().map(AvailableReplica::take),
            earlier: plan.number - 1,
            priority: traffic.level(call).map(|level| level.order),
        };
        let lost = |error, has_started| {
            AttemptOutcome::Lost(LostRun { error, is_suspect: has_started || was_idle })
        };
        let id = &call.head.id;
        let admit = || {
            let is_admitted = traffic.admit_send(call, &self.is_sent);
            if is_admitted {
                self.connected.set(Some(Instant::now()));
                self.log_beside();
                self.sends.notify_one();
            }
            is_admitted
        };
        let reply = match client.send(call, endpoint, &options, *end, admit).await {
            SendOutcome::Answered(reply) if !is_stream(call, reply.parts.status) => {
                return match client.read_body(reply, call, endpoint, *end).await {
                    Ok(answer) if answer.is_confirmed() || client.is_up(endpoint).await => {
                        AttemptOutcome::Answered(answer)
                    }
                    Ok(_) => lost(SendError::Disconnected, true),
                    Err(error) => lost(error, true),
                };
            }
            SendOutcome::Answered(reply) => reply,
            SendOutcome::NotRun => return AttemptOutcome::NotRun,
            SendOutcome::Unsent => return AttemptOutcome::Unsent,
            SendOutcome::NoPath => return AttemptOutcome::NoPath,
            SendOutcome::Withheld => return AttemptOutcome::Withheld,
            SendOutcome::NotAdmitted => return AttemptOutcome::NoBudget,
            SendOutcome::Lost(error) => return lost(error, false),
        };
        let (parts, mut run) = Run::new(*reply, lease, replica);
        let timeout = end.saturating_duration_since(Instant::now());
        match run.next(timeout, plan.position).await {
            first @ Ok(_) => {
                run.mark_started();
                AttemptOutcome::Started(Box::new(StartedRun { parts, run, first }))
            }
            first @ Err(RunEnd::Whole | RunEnd::Unconfirmed) => {
                AttemptOutcome::Started(Box::new(StartedRun { parts, run, first }))
            }
            Err(reason) => {
                let metrics = &traffic.metrics;
                metrics.count_response_end(&call.service, run.framing(), reason.response_end());
                log::warn!(request = id.as_str(), runner = endpoint.id.as_str(),
                    framing:? = run.framing(), tunneled = run.is_tunneled();
                    "{RESPONSE_LOST}{reason:?}, before the first event");
                let error = match reason {
                    RunEnd::Silent => SendError::Timeout,
                    _ => SendError::Disconnected,
                };
                lost(error, true)
            }
        }
    }

    /// Reports when the attempt becomes suspect, and when it no longer is.
    async fn watch(&self, was_idle: bool) -> Infallible {
        tokio::select! {
            never = self.watch_runner(was_idle) => match never {},
            () = self.traffic.wait_until_rejected(&self.call, &self.plan.endpoint) => {}
        }
        log::info!(request = self.call.head.id.as_str(), runner = self.plan.endpoint.id.as_str();
            "{ATTEMPT_SUSPECT}{:?}, before the first event", LossSign::VersionRejected);
        self.report(Some(LossSign::VersionRejected), was_idle);
        std::future::pending().await
    }

    /// Reports when the runner does not respond, and when it responds again.
    async fn watch_runner(&self, was_idle: bool) -> Infallible {
        let (client, endpoint) = (&self.traffic.client, &self.plan.endpoint);
        loop {
            let sign = client.wait_until_lost(&self.call, endpoint).await;
            log::warn!(request = self.call.head.id.as_str(), runner = endpoint.id.as_str();
                "{ATTEMPT_SUSPECT}{sign:?}, before the first event");
            self.report(Some(sign), was_idle);
            if sign == LossSign::EventsMissing {
                std::future::pending::<()>().await;
            }
            client.wait_until_reported(&self.call, endpoint).await;
            self.report(None, was_idle);
        }
    }

    fn report(&self, sign: Option<LossSign>, was_idle: bool) {
        let Plan { number, sent_at, .. } = self.plan;
        let endpoint = self.plan.endpoint.clone();
        // The receiver lives as long as the attempt is polled.
        _ = self.signs.send(Suspicion { number, endpoint, sent_at, was_idle, sign });
    }
}
