//! Speed of each runner relative to the others of its service: the time per event of engines, and the
//! time per call of plain runners.
//!
//! Prefilling other prompts lengthens the gaps between the events of a run, and nothing shortens them
//! but the speed of the engine, so the estimate is a low quantile of the observations; that of a plain
//! runner is their median. Estimates are shared with peers, since one node observes few requests on
//! each runner.

use {
    super::{Fleet, Inner, Runner, RunnerKey},
    crate::log_messages::{RUNNER_NOT_SLOW, RUNNER_SLOW},
    bilberryfront_decide::member::message::PaceReport,
    compact_str::CompactString,
    rustc_hash::FxHashMap,
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Least number of events in a block, whose mean gap is one observation. A run has 130 events or more,
/// and a prefill beside it lengthens about 6 gaps, which leaves some blocks without any of these.
const BLOCK_EVENTS: u32 = 8;
/// Wait from which an event counts as waited for. Events that arrive together are read within less.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Time spent on a slow caller after which a block begins anew, since a runner that fills the buffers
/// of the connection is slowed down by the caller.
const CALLER_DELAY: Duration = Duration::from_millis(100);
/// Number of recent observations of a runner that are kept: those of one run.
const SAMPLES: usize = 16;
/// Number of observations from which a runner's speed is known.
const MIN_SAMPLES: usize = 4;
/// Part of the observations below the estimate of an engine: at full load about half of the blocks
/// contain a prefill of another prompt.
const LOW_QUANTILE: f64 = 0.25;
/// Age at which observations of engines expire. Runs are spread over all engines, so only an engine that
/// is avoided for its estimate gets none for so long; it is tried again in case the estimate is wrong.
const ENGINE_TTL: Duration = Duration::from_secs(60);
/// Age at which observations of plain runners expire, so that a slow one is tried again. Restarts and
/// the load by others change their speed, but not their registration.
const PLAIN_TTL: Duration = Duration::from_secs(20);
/// Maximum ratio of the upper and the lower quartile of the times of calls. If they differ more, routes
/// of the service probably take different times, which says nothing about the runner.
const MAX_SPREAD: f64 = 2.0;
/// Number of peers' reports on a runner that are kept, the newest ones.
const REPORTS: usize = 8;
/// Least relative change of an estimate that is reported to peers at once.
const REPORTED_CHANGE: f64 = 0.1;
/// Least interval between reports of an unchanged estimate.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Least relative difference from the median that counts; smaller ones are within the error of the
/// estimates.
const MIN_DIFFERENCE: f64 = 0.15;
/// Range of the factors, which bounds the effect of a wrong estimate.
const FACTOR_RANGE: (f64, f64) = (0.25, 4.0);
/// Factor above which a plain runner is logged as slow.
const SLOW_FACTOR: f64 = 2.0;
/// Factor up to which a plain runner that was slow is logged as no longer slow; lower than
/// [`SLOW_FACTOR`], so that an estimate close to it is not logged repeatedly.
const RECOVERED_FACTOR: f64 = 1.5;
/// Interval at which the factors of a service are computed again if there are no observations.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the time per event of one run, as the mean gaps of blocks of events.
///
/// A block ends only at an event after which the next one was waited for. Events that a stall of the
/// network has delayed arrive together, so they are in the same block as the stall.
#[derive(Debug, Default)]
pub struct EventMeter {
    /// Time of the last event.
    last: Option<Instant>,
    /// Begin of the current block.
    start: Option<Instant>,
    /// Number of events in the block.
    events: u32,
}

impl EventMeter {
    /// Records an event that was waited for since `wait_start`, after the caller had received the one
    /// before. Returns the time per event of a block that has ended.
    pub fn record(&mut self, wait_start: Instant, now: Instant) -> Option<Duration> {
        let last = self.last.replace(now)?;
        if wait_start.saturating_duration_since(last) > CALLER_DELAY {
            self.start = None;
            return None;
        }
        let is_boundary = now.saturating_duration_since(wait_start) >= MIN_WAIT;
        let mut time = None;
        if is_boundary && (self.start.is_none() || self.events >= BLOCK_EVENTS) {
            let start = self.start.replace(last);
            time = start.map(|start| (last - start) / self.events.max(1));
            self.events = 0;
        }
        self.events += 1;
        time
    }

    /// Discards the current block, after a silence.
    pub fn reset(&mut self) {
        *self = EventMeter::default();
    }
}

/// What the observations of a runner are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Kind {
    /// Time per event.
    #[default]
    Engine,
    /// Time per call.
    Plain,
}

impl Kind {
    /// Returns the kind of a service whose runners have this KV memory.
    pub(super) fn of(memory: u32) -> Kind {
        if memory == 0 { Kind::Plain } else { Kind::Engine }
    }

    fn ttl(self) -> Duration {
        match self {
            Kind::Engine => ENGINE_TTL,
            Kind::Plain => PLAIN_TTL,
        }
    }

    /// Returns the estimate from sorted observations.
    fn estimate(self, times: &[u32]) -> Option<u32> {
        if times.len() < MIN_SAMPLES {
            return None;
        }
        let last = (times.len() - 1) as f64;
        let quantile = |share: f64| times[(last * share).round() as usize];
        match self {
            Kind::Engine => Some(quantile(LOW_QUANTILE)),
            Kind::Plain => {
                let (lower, upper) = (f64::from(quantile(0.25)), f64::from(quantile(0.75)));
                (upper <= lower * MAX_SPREAD).then(|| quantile(0.5))
            }
        }
    }
}

/// What is known of the speed of a runner.
#[derive(Debug, Default)]
pub(super) struct Pace {
    kind: Kind,
    /// Recent observations of this node.
    samples: VecDeque<Observation>,
    /// Estimates of peers.
    reports: VecDeque<PeerPace>,
    /// Estimate that was last reported to peers.
    reported: Option<Observation>,
    /// Whether the estimate has to be reported.
    is_dirty: bool,
    /// Time of the runner relative to the median of its service; `None` if it is unknown.
    factor: Option<f64>,
    /// Whether the runner was logged as slow.
    is_slow: bool,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    /// Time per event or call, in microseconds.
    time_us: u32,
    at: Instant,
}

/// Numbers of runners of known speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PaceCounts {
    /// Faster than the median.
    pub fast: usize,
    /// Of median speed.
    pub median: usize,
    /// Slower than the median.
    pub slow: usize,
}

#[derive(Debug)]
struct PeerPace {
    from: CompactString,
    value: Observation,
}

impl Observation {
    fn is_fresh(&self, ttl: Duration, now: Instant) -> bool {
        now < self.at + ttl
    }
}

impl Pace {
    /// Returns the time of the runner relative to the median of its service; 1.0 if it is unknown.
    pub(super) fn factor(&self) -> f64 {
        self.factor.unwrap_or(1.0)
    }

    fn observe(&mut self, kind: Kind, time_us: u32, now: Instant) {
        self.kind = kind;
        if self.samples.len() >= SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Observation { time_us, at: now });
        let estimate = self.own_time(now);
        self.is_dirty |= estimate.is_some_and(|time_us| self.differs(time_us));
    }

    /// Returns whether an estimate differs from the reported one.
    fn differs(&self, time_us: u32) -> bool {
        self.reported.is_none_or(|reported| {
            let (time, reported) = (f64::from(time_us), f64::from(reported.time_us));
            (time - reported).abs() > reported * REPORTED_CHANGE
        })
    }

    fn apply(&mut self, from: &CompactString, time_us: u32, now: Instant) {
        self.reports.retain(|report| report.from != *from);
        if self.reports.len() >= REPORTS {
            self.reports.pop_front();
        }
        let value = Observation { time_us, at: now };
        self.reports.push_back(PeerPace { from: from.clone(), value });
    }

    /// Returns the estimate from this node's observations.
    fn own_time(&self, now: Instant) -> Option<u32> {
        let ttl = self.kind.ttl();
        let fresh = self.samples.iter().filter(|sample| sample.is_fresh(ttl, now));
        let mut times: Vec<u32> = fresh.map(|sample| sample.time_us).collect();
        times.sort_unstable();
        self.kind.estimate(&times)
    }

    /// Returns the median of the estimates of all nodes. One of them may be based on few blocks, all
    /// beside the prefill of another prompt.
    fn time(&self, now: Instant) -> Option<u32> {
        let ttl = self.kind.ttl();
        let fresh = self.reports.iter().filter(|report| report.value.is_fresh(ttl, now));
        let peers = fresh.map(|report| report.value.time_us);
        median(&mut peers.chain(self.own_time(now)).collect::<Vec<u32>>())
    }

    /// Takes the estimate for peers if it has changed or, with `repeat`, if there were observations
    /// since it was last reported.
    fn take_report(&mut self, repeat: bool, now: Instant) -> Option<u32> {
        let last = self.samples.back()?;
        let is_due = self.reported.is_some_and(|reported| {
            repeat && reported.at < last.at && reported.at + REPEAT_INTERVAL <= now
        });
        if !std::mem::take(&mut self.is_dirty) && !is_due {
            return None;
        }
        let time_us = self.own_time(now)?;
        self.reported = Some(Observation { time_us, at: now });
        Some(time_us)
    }
}

impl Fleet {
    /// Records the time per event of a block of a run; see [`EventMeter`].
    pub fn record_event_time(&self, key: RunnerKey, time: Duration) {
        self.record_time(key, Kind::Engine, time);
    }

    /// Records the response time of a successful call to a plain runner.
    pub fn record_call_time(&self, key: RunnerKey, time: Duration) {
        self.record_time(key, Kind::Plain, time);
    }

    fn record_time(&self, key: RunnerKey, kind: Kind, time: Duration) {
        let inner = &mut *self.inner.borrow_mut();
        let Some(runner) = inner.runners.get_mut(key) else { return };
        let time_us = u32::try_from(time.as_micros()).unwrap_or(u32::MAX);
        runner.pace.observe(kind, time_us.max(1), Instant::now());
        inner.pace_times.remove(&runner.registration.service);
    }

    /// Returns the time of a runner relative to the median of its service; 1.0 if it is unknown.
    pub fn pace_factor(&self, key: RunnerKey) -> f64 {
        let inner = &mut *self.inner.borrow_mut();
        let Some(runner) = inner.runners.get(key) else { return 1.0 };
        let (service, kind) = (runner.registration.service.clone(), runner.pace.kind);
        inner.refresh_factors(&service, kind, Instant::now());
        inner.runners[key].pace.factor()
    }

    /// Returns the numbers of runners of known speed of each service.
    pub fn paces(&self) -> Vec<(CompactString, PaceCounts)> {
        let inner = &mut *self.inner.borrow_mut();
        let services: Vec<CompactString> = inner.services.keys().cloned().collect();
        let counts = services.into_iter().map(|service| {
            let counts = inner.pace_counts(&service, Instant::now());
            (service, counts)
        });
        counts.collect()
    }
}

impl Inner {
    fn pace_counts(&mut self, service: &str, now: Instant) -> PaceCounts {
        let keys = self.services.get(service).into_iter().flatten();
        let is_plain = keys.clone().any(|key| self.runners[*key].pace.kind == Kind::Plain);
        let kind = if is_plain { Kind::Plain } else { Kind::Engine };
        self.refresh_factors(service, kind, now);
        let keys = self.services.get(service).into_iter().flatten();
        let factors = keys.filter_map(|key| self.runners[*key].pace.factor);
        factors.fold(PaceCounts::default(), |mut counts, factor| {
            match factor {
                ..1.0 => counts.fast += 1,
                1.0 => counts.median += 1,
                _ => counts.slow += 1,
            }
            counts
        })
    }

    /// Takes the estimates for peers; see [`Pace::take_report`].
    pub(super) fn take_paces(&mut self, repeat: bool) -> Vec<PaceReport> {
        let now = Instant::now();
        let report = |runner: &mut Runner| {
            let time_us = runner.pace.take_report(repeat, now)?;
            Some(PaceReport { runner: runner.registration.id.clone(), time_us })
        };
        self.runners.values_mut().filter_map(report).collect()
    }

    /// Applies the estimate of a peer.
    pub(super) fn apply_pace(&mut self, from: &CompactString, report: &PaceReport, now: Instant) {
        let key = self.by_id.get(&report.runner);
        let Some(runner) = key.and_then(|key| self.runners.get_mut(*key)) else { return };
        if report.time_us > 0 {
            runner.pace.apply(from, report.time_us, now);
            self.pace_times.remove(&runner.registration.service);
        }
    }

    /// Computes the factors of a service's runners if they may have changed. Runners are compared with
    /// those of the same version only: during a rollout the factors must not move requests from a slow
    /// new version to the old one, which would hide its slowness from the rollout.
    pub(super) fn refresh_factors(&mut self, service: &str, kind: Kind, now: Instant) {
        if self.pace_times.get(service).is_some_and(|at| now < *at + REFRESH_INTERVAL) {
            return;
        }
        let Some(keys) = self.services.get(service) else { return };
        self.pace_times.insert(service.into(), now);
        let mut versions = FxHashMap::<CompactString, Vec<(RunnerKey, u32)>>::default();
        for key in keys {
            let runner = &mut self.runners[*key];
            runner.pace.kind = kind;
            runner.pace.factor = None;
            if let Some(time_us) = runner.pace.time(now) {
                let version = runner.registration.version.clone();
                versions.entry(version).or_default().push((*key, time_us));
            }
        }
        for known in versions.into_values() {
            let mut times: Vec<u32> = known.iter().map(|(_, time_us)| *time_us).collect();
            let Some(median) = median(&mut times) else { continue };
            for (key, time_us) in known {
                self.runners[key].pace.factor = Some(factor(time_us, median));
            }
        }
        if kind == Kind::Plain {
            self.log_slow(service);
        }
    }

    fn log_slow(&mut self, service: &str) {
        for key in self.services.get(service).into_iter().flatten() {
            let runner = &mut self.runners[*key];
            let (pace, id) = (&mut runner.pace, runner.registration.id.as_str());
            let factor = pace.factor();
            if !pace.is_slow && factor > SLOW_FACTOR {
                log::info!(runner = id, factor; "{RUNNER_SLOW}");
                pace.is_slow = true;
            } else if pace.is_slow && factor <= RECOVERED_FACTOR {
                log::info!(runner = id, factor; "{RUNNER_NOT_SLOW}");
                pace.is_slow = false;
            }
        }
    }

    /// Returns whether the runners of a service are known to differ in speed.
    pub(super) fn is_uneven(&self, service: &str) -> bool {
        let mut keys = self.services.get(service).into_iter().flatten();
        keys.any(|key| self.runners[*key].pace.factor() != 1.0)
    }
}

fn factor(time_us: u32, median: u32) -> f64 {
    let ratio = f64::from(time_us) / f64::from(median);
    match (ratio - 1.0).abs() < MIN_DIFFERENCE {
        true => 1.0,
        false => ratio.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1),
    }
}

/// Returns the median, the lower one of two.
fn median(times: &mut [u32]) -> Option<u32> {
    let rank = times.len().checked_sub(1)? / 2;
    Some(*times.select_nth_unstable(rank).1)
}
