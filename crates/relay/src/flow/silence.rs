//! Runners that fall silent while they run requests, until it is known what has become of them.
//!
//! A silence is no crash, but a runner whose host fails with it closes no connection. Once it turns out
//! that the runner has ended, the crash is attributed to its requests, at the time of the silence.

use {
    super::Traffic,
    crate::{
        call::Call,
        dialect::Dialect,
        fleet::{Endpoint, RunnerKey},
        log_messages::SILENT_RUNNER,
        network::Network,
        quarantine::{RunnerCrash, fingerprint},
        runner_client::CrashCheck,
    },
    bilberryfront_decide::member::message::RequestId,
    compact_str::CompactString,
    rustc_hash::FxHashMap,
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Interval of checks of a silent runner.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a runner that remains silent is no longer checked.
const MAX_SILENCE: Duration = Duration::from_secs(30);
/// Time before a silence is noticed from which on a response of another runner shows that it was spared.
const SHARED_WINDOW: Duration = Duration::from_millis(150);
/// Maximum number of requests of a silent runner that are remembered.
const MAX_RUNS: usize = 32;

/// Runners of a failure domain that have ended, and fell silent at the same time, from which an outage is
/// assumed.
const MIN_OUTAGE_RUNNERS: usize = 3;
/// Time within which they fall silent; requests show it with a delay.
const OUTAGE_WINDOW: Duration = Duration::from_millis(250);
/// Time within which the ends of the runners of an outage are found.
const SETTLE_TIME: Duration = Duration::from_millis(150);

/// What has become of a silent runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// Its process responds again.
    Continued,
    /// Its process has ended.
    Ended,
    /// Its process has ended after a silence that no runner of the service was known to be spared from.
    EndedWithOthers,
    /// It remains silent.
    Unknown,
}

/// Silent runners that are checked. Clones share their state.
#[derive(Clone, Default)]
pub(super) struct Silences(Rc<RefCell<FxHashMap<RunnerKey, SilentRunner>>>);

struct SilentRunner {
    domain: CompactString,
    /// Time of the last response.
    since: Instant,
    runs: Vec<SilentRun>,
    /// Whether its process has ended; it is kept for a while then.
    has_ended: bool,
}

/// A request that a runner held when it fell silent.
struct SilentRun {
    id: RequestId,
    call: Call,
    sent_at: Instant,
    /// Time for which it had responded; see [`RunnerCrash::age`].
    age: Option<Duration>,
}

impl SilentRunner {
    fn new(domain: CompactString, since: Instant) -> SilentRunner {
        SilentRunner { domain, since, runs: Vec::new(), has_ended: false }
    }
}

impl Silences {
    /// Forgets a request that was completed, so that it is not blamed for silent runners.
    pub(super) fn acquit(&self, call: &Call) {
        let mut runners = self.0.borrow_mut();
        if runners.is_empty() {
            return;
        }
        let id = fingerprint(call);
        runners.values_mut().for_each(|runner| runner.runs.retain(|run| run.id != id));
    }

    /// Returns whether several runners of a failure domain have ended together.
    fn is_outage(&self, domain: &str, since: Instant) -> bool {
        let runners = self.0.borrow();
        let is_near = |at: Instant| at.max(since) - at.min(since) < OUTAGE_WINDOW;
        let ended = runners.values().filter(|r| r.has_ended && r.domain == domain);
        ended.filter(|runner| is_near(runner.since)).count() >= MIN_OUTAGE_RUNNERS
    }
}

impl<D: Dialect, N: Network> Traffic<D, N> {
    /// Checks from now on what becomes of a runner that is silent while it holds a request. `age` is the time for which it had responded to the request; see [`RunnerCrash::age`].
    pub(super) fn check_silence(
        &self,
        call: &Call,
        endpoint: &Endpoint,
        sent_at: Instant,
        age: Option<Duration>,
    ) {
        let fleet = &self.client.fleet;
        let Some(incarnation) = fleet.incarnation(endpoint.key) else { return };
        let mut silences = self.silences.0.borrow_mut();
        let is_known = silences.contains_key(&endpoint.key);
        let since = fleet.last_seen(endpoint.key).map_or(sent_at, |seen| seen.max(sent_at));
        let runner = silences
            .entry(endpoint.key)
            .or_insert_with(|| SilentRunner::new(endpoint.domain.clone(), since));
        let is_new = runner.runs.iter().all(|run| run.call.head.id != call.head.id);
        if is_new && runner.runs.len() < MAX_RUNS {
            runner.runs.push(SilentRun { id: fingerprint(call), call: call.clone(), sent_at, age });
        }
        if !is_known {
            let (traffic, endpoint) = (self.clone(), endpoint.clone());
            tokio::task::spawn_local(async move {
                traffic.settle_silence(&endpoint, incarnation).await;
            });
        }
    }

    /// Waits until it is known what has become of a silent runner, and attributes its crash.
    async fn settle_silence(&self, endpoint: &Endpoint, incarnation: u64) {
        let fate = self.find_fate(endpoint).await;
        self.log_fate(endpoint, fate);
        if fate == Fate::Ended {
            self.attribute_silence(endpoint, incarnation).await;
        }
        self.silences.0.borrow_mut().remove(&endpoint.key);
    }

    /// Attributes the end of a silent runner to the requests that it held, unless it was an outage.
    async fn attribute_silence(&self, endpoint: &Endpoint, incarnation: u64) {
        let since = {
            let mut silences = self.silences.0.borrow_mut();
            let Some(runner) = silences.get_mut(&endpoint.key) else { return };
            runner.has_ended = true;
            runner.since
        };
        // The others of an outage are found at almost the same time.
        sleep(SETTLE_TIME).await;
        if self.silences.is_outage(&endpoint.domain, since) {
            log::info!(runner = endpoint.id.as_str(); "silent runner: one of an outage");
            return sleep(CHECK_INTERVAL).await;
        }
        let runs = match self.silences.0.borrow_mut().get_mut(&endpoint.key) {
            Some(runner) => std::mem::take(&mut runner.runs),
            None => return,
        };
        for SilentRun { call, sent_at, age, .. } in runs {
            let crash = RunnerCrash { runner: incarnation, sent_at, at: since, age };
            self.attribute_crash(&call, endpoint, &crash);
        }
        sleep(CHECK_INTERVAL).await;
    }

    fn log_fate(&self, endpoint: &Endpoint, fate: Fate) {
        let silences = self.silences.0.borrow();
        let Some(runner) = silences.get(&endpoint.key) else { return };
        let requests: Vec<&str> = runner.runs.iter().map(|run| run.call.head.id.as_str()).collect();
        let sent = runner.runs.first().map_or(0, |run| run.sent_at.elapsed().as_millis() as u64);
        log::info!(runner = endpoint.id.as_str(), requests = requests.join(",").as_str(), sent,
            silent = runner.since.elapsed().as_millis() as u64; "{SILENT_RUNNER}{fate:?}");
    }

    async fn find_fate(&self, endpoint: &Endpoint) -> Fate {
        let fleet = &self.client.fleet;
        let (born, service) = (fleet.born(endpoint.key), fleet.service(endpoint.key));
        let is_service = |name: &CompactString| service.as_ref() == Some(name);
        let start = Instant::now();
        let end = start + MAX_SILENCE;
        let mut is_shared = None;
        while Instant::now() < end {
            let was_listed = fleet.is_listed(endpoint.key);
            tokio::select! {
                () = sleep(CHECK_INTERVAL) => {}
                () = fleet.wait_until_unlisted(endpoint.key), if was_listed => {}
            }
            let is_shared = *is_shared.get_or_insert_with(|| {
                let service = service.as_deref().unwrap_or_default();
                !fleet.has_other_responded(endpoint.key, service, start - SHARED_WINDOW)
            });
            let ended = if is_shared { Fate::EndedWithOthers } else { Fate::Ended };
            match self.client.check_incarnation(endpoint, born).await {
                CrashCheck::Running => return Fate::Continued,
                CrashCheck::Crashed => return ended,
                // This node may be the one that does not reach it.
                CrashCheck::Unreachable if fleet.partitions().iter().any(is_service) => {}
                // Its registration has expired or was replaced.
                CrashCheck::Unreachable if !fleet.is_listed(endpoint.key) => return ended,
                CrashCheck::Unreachable => {}
            }
        }
        Fate::Unknown
    }
}
