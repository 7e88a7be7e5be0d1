//! All runners, and the platform's instance list, which lags behind their real state.

use {
    crate::runner::{Log, Runner},
    bilberryfront_wire::instance::{Instance, InstanceList},
    compact_str::CompactString,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Interval between two snapshots of the real state.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(100);

/// All runners and listed nodes; clones share the state.
#[derive(Clone)]
pub(crate) struct Fleet {
    pub(crate) runners: Arc<Vec<Runner>>,
    pub(crate) log: Arc<Mutex<Log>>,
    /// Running nodes, as the platform lists them.
    pub(crate) nodes: Arc<Mutex<BTreeMap<CompactString, Instance>>>,
    list: Arc<Mutex<LaggedList>>,
}

struct LaggedList {
    lag: Duration,
    snapshots: Vec<(Instant, InstanceList)>,
    /// Index of the newest snapshot returned; the platform never returns an older one after it.
    newest_shown: usize,
}

impl Fleet {
    pub(crate) fn new(runners: Vec<Runner>, log: Arc<Mutex<Log>>, lag: Duration) -> Fleet {
        let list = LaggedList { lag, snapshots: vec![], newest_shown: 0 };
        let list = Arc::new(Mutex::new(list));
        Fleet { runners: Arc::new(runners), log, nodes: Arc::default(), list }
    }

    /// Records a snapshot at each interval, without end.
    pub(crate) async fn record_snapshots(self) {
        loop {
            self.record_snapshot();
            sleep(SNAPSHOT_INTERVAL).await;
        }
    }

    /// Returns the newest snapshot that is at least `lag` old.
    pub(crate) fn lagged(&self) -> Option<InstanceList> {
        let mut list = self.list.lock().unwrap();
        let cutoff = Instant::now().checked_sub(list.lag)?;
        let newest = list.snapshots.iter().rposition(|(at, _)| *at <= cutoff).unwrap_or(0);
        list.newest_shown = list.newest_shown.max(newest);
        list.snapshots.get(list.newest_shown).map(|(_, snapshot)| snapshot.clone())
    }

    pub(crate) fn set_lag(&self, lag: Duration) {
        self.list.lock().unwrap().lag = lag;
    }

    /// Returns the runner that listens at `url`.
    pub(crate) fn runner_at(&self, url: &str) -> Option<Runner> {
        self.runners.iter().find(|r| r.serves_url(url)).cloned()
    }

    /// Returns the runner with this name.
    pub(crate) fn runner_named(&self, name: &str) -> Option<Runner> {
        self.runners.iter().find(|r| r.name == name).cloned()
    }

    /// Returns the runner that most recently received one of these generations.
    pub(crate) fn last_runner_of(&self, runner_request_ids: &[CompactString]) -> Option<Runner> {
        let log = self.log.lock().unwrap();
        let record =
            log.generations.iter().rfind(|r| runner_request_ids.contains(&r.runner_request_id))?;
        self.runner_named(&record.runner)
    }

    fn record_snapshot(&self) {
        let nodes = self.nodes.lock().unwrap().values().cloned().collect::<Vec<_>>();
        let runners = self.runners.iter().filter_map(Runner::listed);
        let instances = runners.chain(nodes).collect::<Vec<_>>();
        let mut list = self.list.lock().unwrap();
        if list.snapshots.last().is_none_or(|(_, s)| s.instances != instances) {
            let revision = list.snapshots.len() as u64 + 1;
            list.snapshots.push((Instant::now(), InstanceList { revision, instances }));
        }
    }
}
