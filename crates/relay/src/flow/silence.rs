//! Runners that fall silent while they run requests, until it is known what has become of them.

use {
    super::Traffic,
    crate::{
        call::Call,
        dialect::Dialect,
        fleet::{Endpoint, RunnerKey},
        log_messages::SILENT_RUNNER,
        network::Network,
        runner_client::CrashCheck,
    },
    rustc_hash::FxHashMap,
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Interval of checks of a silent runner.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a runner that remains silent is no longer checked.
const MAX_SILENCE: Duration = Duration::from_secs(30);
/// Maximum number of requests of a silent runner that are remembered.
const MAX_RUNS: usize = 32;

/// What has become of a silent runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// Its process responds again.
    Continued,
    /// Its process has ended.
    Ended,
    /// It remains silent.
    Unknown,
}

/// Silent runners that are checked. Clones share their state.
#[derive(Clone, Default)]
pub(super) struct Silences(Rc<RefCell<FxHashMap<RunnerKey, SilentRunner>>>);

struct SilentRunner {
    /// Time of the last response.
    since: Instant,
    runs: Vec<SilentRun>,
}

/// A request that a runner held when it fell silent.
struct SilentRun {
    call: Call,
    sent_at: Instant,
}

impl<D: Dialect, N: Network> Traffic<D, N> {
    /// Checks from now on what becomes of a runner that is silent while it holds a request.
    pub(super) fn check_silence(&self, call: &Call, endpoint: &Endpoint, sent_at: Instant) {
        let fleet = &self.client.fleet;
        let Some(incarnation) = fleet.incarnation(endpoint.key) else { return };
        let mut silences = self.silences.0.borrow_mut();
        let is_known = silences.contains_key(&endpoint.key);
        let since = fleet.last_seen(endpoint.key).map_or(sent_at, |seen| seen.max(sent_at));
        let runner = silences
            .entry(endpoint.key)
            .or_insert_with(|| SilentRunner { since, runs: Vec::new() });
        let is_new = runner.runs.iter().all(|run| run.call.head.id != call.head.id);
        if is_new && runner.runs.len() < MAX_RUNS {
            runner.runs.push(SilentRun { call: call.clone(), sent_at });
        }
        if !is_known {
            let (traffic, endpoint) = (self.clone(), endpoint.clone());
            tokio::task::spawn_local(async move {
                traffic.settle_silence(&endpoint, incarnation).await;
            });
        }
    }

    /// Waits until it is known what has become of a silent runner.
    async fn settle_silence(&self, endpoint: &Endpoint, _incarnation: u64) {
        let fate = self.find_fate(endpoint).await;
        let Some(runner) = self.silences.0.borrow_mut().remove(&endpoint.key) else { return };
        let requests: Vec<&str> = runner.runs.iter().map(|run| run.call.head.id.as_str()).collect();
        let sent = runner.runs.first().map_or(0, |run| run.sent_at.elapsed().as_millis() as u64);
        log::info!(runner = endpoint.id.as_str(), requests = requests.join(",").as_str(), sent,
            silent = runner.since.elapsed().as_millis() as u64; "{SILENT_RUNNER}{fate:?}");
    }

    async fn find_fate(&self, endpoint: &Endpoint) -> Fate {
        let fleet = &self.client.fleet;
        let born = fleet.born(endpoint.key);
        let end = Instant::now() + MAX_SILENCE;
        while Instant::now() < end {
            sleep(CHECK_INTERVAL).await;
            match self.client.check_incarnation(endpoint, born).await {
                CrashCheck::Running => return Fate::Continued,
                CrashCheck::Crashed => return Fate::Ended,
                // Its registration has expired or was replaced.
                CrashCheck::Unreachable if !fleet.is_listed(endpoint.key) => return Fate::Ended,
                CrashCheck::Unreachable => {}
            }
        }
        Fate::Unknown
    }
}
