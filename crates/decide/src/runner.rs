//! One runner: whether it may be sent to, from the instance list and from direct evidence.

use {
    crate::{
        cache::Belief,
        chart::Chart,
        id::{PoolKey, Ticket},
        load::Load,
    },
    bilberryfront_wire::instance::{Instance, InstanceState},
    serde::Deserialize,
    std::time::Duration,
    tokio::time::Instant,
};

/// First back-off after a failure.
pub(crate) const BACKOFF_FIRST: Duration = Duration::from_millis(500);
/// Longest back-off.
const BACKOFF_MOST: Duration = Duration::from_secs(30);
/// Load reports missed in a row that make a runner suspect.
const SILENT_MOST: u32 = 2;

/// Chart of a runner's life as a node sees it.
pub(crate) type RunnerChart = Chart<State, Signal>;

/// Reads the chart.
pub(crate) fn chart() -> RunnerChart {
    Chart::parse(include_str!("../../../charts/runner.json")).expect("charts/runner.json is sound")
}

/// State of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum State {
    /// Takes requests.
    Healthy,
    /// Failed; takes nothing until its back-off is over, then a single probe.
    Suspect,
    /// Has its probe, a caller's request.
    Probing,
    /// Takes nothing new.
    Leaving,
    /// Not in the instance list any more.
    Gone,
}

/// What moves a runner from state to state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Signal {
    /// A request failed at it, or it fell silent.
    Fail,
    /// A probe was sent.
    Probe,
    /// It answered.
    Ok,
    /// The probe ended with no evidence: its caller left.
    Quit,
    /// The list or its own report says that it leaves.
    Leave,
    /// Neither says so any more.
    Stay,
    /// The list has dropped it.
    Remove,
}

/// What made a runner suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    Request,
    Silence,
}

/// A runner.
#[derive(Debug)]
pub(crate) struct Runner {
    /// What the list says, with the version that the runner itself reports.
    pub(crate) instance: Instance,
    /// Pool of its entry and version.
    pub(crate) pool: PoolKey,
    /// Its load.
    pub(crate) load: Load,
    /// What is believed of its cache.
    pub(crate) belief: Belief,
    /// Hash of its name, the same at every node.
    pub(crate) hash: u64,
    /// Whether the runner has reported its version itself.
    pub(crate) spoke: bool,
    /// Time of the last failure.
    pub(crate) failed: Option<Instant>,
    /// Time of the last failure that came when it was suspect already.
    pub(crate) relapse: Option<Instant>,
    /// Number of the last list read that names it.
    pub(crate) listed: u64,
    state: State,
    due: Option<Instant>,
    fails: u32,
    cause: Cause,
    silent: u32,
    probe: Option<Ticket>,
    leaving: bool,
}

impl Runner {
    /// A runner that the list names for the first time.
    pub(crate) fn new(instance: Instance, pool: PoolKey, hash: u64, chart: &RunnerChart) -> Runner {
        Runner {
            instance,
            pool,
            load: Load::default(),
            belief: Belief::default(),
            hash,
            spoke: false,
            failed: None,
            relapse: None,
            listed: 0,
            state: chart.initial(),
            due: None,
            fails: 0,
            cause: Cause::Request,
            silent: 0,
            probe: None,
            leaving: false,
        }
    }

    /// Its state.
    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Whether it may have requests, be it suspect or not.
    pub(crate) fn present(&self) -> bool {
        !matches!(self.state, State::Leaving | State::Gone)
    }

    /// Whether it is only its own report that keeps it from having requests.
    pub(crate) fn withdrawn(&self) -> bool {
        self.leaving && self.instance.state == InstanceState::Live
    }

    /// Whether it may be probed once its back-off is over: a runner whose load reports can't be
    /// had would only cost a caller the time to find out.
    pub(crate) fn audible(&self) -> bool {
        self.state == State::Suspect && self.silent == 0
    }

    /// When its back-off is over.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.due
    }

    /// A request ended badly at it. `jitter`, from 0 to 1, spreads the nodes' probes.
    ///
    /// Only a probe's failure lengthens the back-off: when a runner dies all its streams break in
    /// the same moment, which is one failure and not as many as there were streams.
    pub(crate) fn fail(&mut self, now: Instant, ticket: Ticket, jitter: f64, chart: &RunnerChart) {
        self.failed = Some(now);
        if self.state == State::Suspect {
            self.relapse = Some(now);
        }
        if self.state == State::Probing && self.probe != Some(ticket) {
            return;
        }
        if self.signal(Signal::Fail, chart) {
            self.suspect(now, Cause::Request, jitter);
        }
    }

    /// A request was answered, in whole or, for a probe, in its first token.
    pub(crate) fn ok(&mut self, chart: &RunnerChart) {
        if self.signal(Signal::Ok, chart) {
            self.clear();
        }
    }

    /// A request ended with no evidence for or against the runner.
    pub(crate) fn quit(&mut self, ticket: Ticket, chart: &RunnerChart) {
        if self.probe == Some(ticket) && self.signal(Signal::Quit, chart) {
            self.probe = None;
        }
    }

    /// A probe was sent to it.
    pub(crate) fn probe(&mut self, ticket: Ticket, chart: &RunnerChart) {
        if self.signal(Signal::Probe, chart) {
            self.probe = Some(ticket);
        }
    }

    /// Its load report could not be had.
    pub(crate) fn silent(&mut self, now: Instant, jitter: f64, chart: &RunnerChart) {
        self.silent = self.silent.saturating_add(1);
        let enough = self.silent >= SILENT_MOST && self.state == State::Healthy;
        if enough && self.signal(Signal::Fail, chart) {
            self.failed = Some(now);
            self.suspect(now, Cause::Silence, jitter);
        }
    }

    /// Its load report came. That answers a suspicion by silence, but not one by a failed request:
    /// a bad version may report well and fail every request.
    pub(crate) fn on_report(&mut self, leaving: bool, chart: &RunnerChart) {
        self.silent = 0;
        self.leaving = leaving;
        if self.cause == Cause::Silence {
            self.ok(chart);
        }
        self.settle(chart);
    }

    /// The list has dropped it.
    pub(crate) fn remove(&mut self, chart: &RunnerChart) {
        self.signal(Signal::Remove, chart);
    }

    /// Updates the draining state. A runner's own report takes precedence over the lagging list.
    pub(crate) fn settle(&mut self, chart: &RunnerChart) {
        let leaving = self.leaving || self.instance.state == InstanceState::Leaving;
        match (leaving, self.state) {
            (true, State::Leaving) => {}
            (true, _) => _ = self.signal(Signal::Leave, chart),
            (false, State::Leaving) => {
                if self.signal(Signal::Stay, chart) {
                    self.clear();
                }
            }
            (false, _) => {}
        }
    }

    fn suspect(&mut self, now: Instant, cause: Cause, jitter: f64) {
        let backoff = BACKOFF_FIRST.saturating_mul(1 << self.fails.min(10)).min(BACKOFF_MOST);
        self.due = Some(now + backoff.mul_f64(0.75 + jitter / 2.0));
        self.fails = self.fails.saturating_add(1);
        self.cause = cause;
        self.probe = None;
    }

    fn clear(&mut self) {
        self.due = None;
        self.relapse = None;
        self.fails = 0;
        self.probe = None;
    }

    fn signal(&mut self, signal: Signal, chart: &RunnerChart) -> bool {
        let next = chart.next(self.state, signal);
        self.state = next.unwrap_or(self.state);
        next.is_some()
    }
}
