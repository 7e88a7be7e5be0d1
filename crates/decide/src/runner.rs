//! State of one runner as seen by a node, derived from the instance list and from its own requests
//! and load polls.

use {
    crate::{
        cache::CachedPrefixes,
        chart::Chart,
        id::{PoolKey, Ticket},
        load::Load,
    },
    bilberryfront_wire::instance::{Instance, InstanceState},
    serde::Deserialize,
    std::time::Duration,
    tokio::time::Instant,
};

/// Back-off after the first failure.
pub(crate) const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum back-off.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Number of consecutive missed load reports after which a runner becomes suspect.
const MAX_MISSED_REPORTS: u32 = 2;

/// State chart of a runner as seen by a node.
pub(crate) type RunnerChart = Chart<State, Signal>;

/// Parses the state chart.
pub(crate) fn chart() -> RunnerChart {
    Chart::parse(include_str!("../../../charts/runner.json")).expect("charts/runner.json is valid")
}

/// State of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum State {
    /// Receives requests.
    Healthy,
    /// Failed. Receives nothing until its back-off has elapsed, then a single probe.
    Suspect,
    /// A probe, which is a caller's request, is running at it.
    Probing,
    /// Draining; receives no new requests.
    Leaving,
    /// No longer in the instance list.
    Gone,
}

/// Input of the state chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Signal {
    /// A request failed, or load reports were missed.
    Fail,
    /// A probe was sent.
    Probe,
    /// A request succeeded, or load reports arrive again.
    Ok,
    /// The probe ended without a result because its caller disconnected.
    Quit,
    /// The list or the runner's own report marks it as leaving.
    Leave,
    /// Neither the list nor the runner's report marks it as leaving any longer.
    Stay,
    /// The runner is no longer in the list.
    Remove,
}

/// Cause of a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    Request,
    MissedReports,
}

/// A runner known from the instance list.
#[derive(Debug)]
pub(crate) struct Runner {
    /// Its entry in the instance list, with the version replaced by the one it reports itself.
    pub(crate) instance: Instance,
    /// Pool of its entry and version.
    pub(crate) pool: PoolKey,
    /// Its estimated load.
    pub(crate) load: Load,
    /// Prefixes that it is assumed to have cached.
    pub(crate) cached_prefixes: CachedPrefixes,
    /// Hash of its name, the same at every node.
    pub(crate) hash: u64,
    /// Whether the runner has reported its version itself.
    pub(crate) has_reported_version: bool,
    /// Time of the last failure.
    pub(crate) last_failure: Option<Instant>,
    /// Time of the last failure while it was already suspect.
    pub(crate) last_failure_as_suspect: Option<Instant>,
    /// Number of the last processed list that contains it.
    pub(crate) list_round: u64,
    state: State,
    probe_at: Option<Instant>,
    failures: u32,
    suspicion_cause: Cause,
    missed_reports: u32,
    probe_ticket: Option<Ticket>,
    leaving: bool,
}

impl Runner {
    /// Creates a runner that appeared in the list.
    pub(crate) fn new(instance: Instance, pool: PoolKey, hash: u64, chart: &RunnerChart) -> Runner {
        Runner {
            instance,
            pool,
            load: Load::default(),
            cached_prefixes: CachedPrefixes::default(),
            hash,
            has_reported_version: false,
            last_failure: None,
            last_failure_as_suspect: None,
            list_round: 0,
            state: chart.initial(),
            probe_at: None,
            failures: 0,
            suspicion_cause: Cause::Request,
            missed_reports: 0,
            probe_ticket: None,
            leaving: false,
        }
    }

    /// Returns its state.
    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Returns whether it may receive requests, suspect or not.
    pub(crate) fn is_eligible(&self) -> bool {
        !matches!(self.state, State::Leaving | State::Gone)
    }

    /// Returns whether it is leaving by its own report but live according to the list.
    pub(crate) fn is_leaving_by_report(&self) -> bool {
        self.leaving && self.instance.state == InstanceState::Live
    }

    /// Returns whether it may be probed once its back-off has elapsed. A runner that misses load
    /// reports isn't probed, because the probe would most likely fail and delay its caller.
    pub(crate) fn is_probeable(&self) -> bool {
        self.state == State::Suspect && self.missed_reports == 0
    }

    /// Returns the end of its back-off.
    pub(crate) fn probe_at(&self) -> Option<Instant> {
        self.probe_at
    }

    /// Records a failed request. `jitter`, from 0 to 1, spreads the probes of different nodes.
    ///
    /// Only a failed probe lengthens the back-off: when a runner dies, all its streams break at the
    /// same time, which is a single failure.
    pub(crate) fn on_failure(
        &mut self,
        now: Instant,
        ticket: Ticket,
        jitter: f64,
        chart: &RunnerChart,
    ) {
        self.last_failure = Some(now);
        if self.state == State::Suspect {
            self.last_failure_as_suspect = Some(now);
        }
        if self.state == State::Probing && self.probe_ticket != Some(ticket) {
            return;
        }
        if self.apply(Signal::Fail, chart) {
            self.start_backoff(now, Cause::Request, jitter);
        }
    }

    /// Records a complete response, or the first token of a response.
    pub(crate) fn on_success(&mut self, chart: &RunnerChart) {
        if self.apply(Signal::Ok, chart) {
            self.clear_suspicion();
        }
    }

    /// Records a cancelled request, which shows nothing about the runner's health.
    pub(crate) fn on_probe_cancelled(&mut self, ticket: Ticket, chart: &RunnerChart) {
        if self.probe_ticket == Some(ticket) && self.apply(Signal::Quit, chart) {
            self.probe_ticket = None;
        }
    }

    /// Records a probe sent to it.
    pub(crate) fn on_probe_sent(&mut self, ticket: Ticket, chart: &RunnerChart) {
        if self.apply(Signal::Probe, chart) {
            self.probe_ticket = Some(ticket);
        }
    }

    /// Records a missed load report.
    pub(crate) fn on_missed_report(&mut self, now: Instant, jitter: f64, chart: &RunnerChart) {
        self.missed_reports = self.missed_reports.saturating_add(1);
        let should_suspect =
            self.missed_reports >= MAX_MISSED_REPORTS && self.state == State::Healthy;
        if should_suspect && self.apply(Signal::Fail, chart) {
            self.last_failure = Some(now);
            self.start_backoff(now, Cause::MissedReports, jitter);
        }
    }

    /// Records a load report. It clears a suspicion caused by missed reports but not one caused by
    /// a failed request, because a faulty version may report its load and fail every request.
    pub(crate) fn on_report(&mut self, leaving: bool, chart: &RunnerChart) {
        self.missed_reports = 0;
        self.leaving = leaving;
        if self.suspicion_cause == Cause::MissedReports {
            self.on_success(chart);
        }
        self.update_leaving(chart);
    }

    /// Records its removal from the list.
    pub(crate) fn on_unlisted(&mut self, chart: &RunnerChart) {
        self.apply(Signal::Remove, chart);
    }

    /// Updates the leaving state. The runner's own report applies even while the delayed list still
    /// calls it live.
    pub(crate) fn update_leaving(&mut self, chart: &RunnerChart) {
        let leaving = self.leaving || self.instance.state == InstanceState::Leaving;
        match (leaving, self.state) {
            (true, State::Leaving) => {}
            (true, _) => _ = self.apply(Signal::Leave, chart),
            (false, State::Leaving) => {
                if self.apply(Signal::Stay, chart) {
                    self.clear_suspicion();
                }
            }
            (false, _) => {}
        }
    }

    fn start_backoff(&mut self, now: Instant, cause: Cause, jitter: f64) {
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(10)).min(MAX_BACKOFF);
        self.probe_at = Some(now + backoff.mul_f64(0.75 + jitter / 2.0));
        self.failures = self.failures.saturating_add(1);
        self.suspicion_cause = cause;
        self.probe_ticket = None;
    }

    fn clear_suspicion(&mut self) {
        self.probe_at = None;
        self.last_failure_as_suspect = None;
        self.failures = 0;
        self.probe_ticket = None;
    }

    fn apply(&mut self, signal: Signal, chart: &RunnerChart) -> bool {
        let next = chart.next(self.state, signal);
        self.state = next.unwrap_or(self.state);
        next.is_some()
    }
}
