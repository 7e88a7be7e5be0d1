//! Partitions between this node and the runners of a service.
//!
//! Runners that fail one after the other, without any response in between, make a partition likely. A
//! check then connects to some runners at the same time. If none of them can be reached, the node uses
//! connections through other nodes until direct ones succeed again.

use {
    super::{Endpoint, Fleet, Health, Inner, RunnerKey, detour::Detours},
    crate::{
        log_messages::{PARTITION_ENDED, PARTITIONED},
        view::NodeAddress,
    },
    compact_str::CompactString,
    rand::seq::SliceRandom,
    std::{rc::Rc, time::Duration},
    tokio::{sync::Notify, time::Instant},
};

/// Number of runners that fail without a response of any other from which a partition is checked.
const SUSPECT_FAILURES: usize = 2;
/// Number of runners to which a check connects.
const CHECKED_RUNNERS: usize = 4;
/// Minimum interval of checks of a service.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a check that reached a runner shows that failures are not caused by the path.
const CHECK_VALIDITY: Duration = Duration::from_secs(1);
/// Time for which a response of any runner shows that the path to its service works.
const RESPONSE_VALIDITY: Duration = Duration::from_millis(500);
/// Number of direct connections that succeed one after the other, after which a partition has ended. A
/// single one may be to the only runner that is reachable.
const RECOVERED_CONNECTIONS: u32 = 3;
/// Age at which a peer's report of its partitions expires; peers repeat theirs every second.
const REPORT_TTL: Duration = Duration::from_millis(2_500);

/// Path from this node to the runners of a service. It exists only while some of them fail.
#[derive(Debug, Default)]
pub(super) struct Path {
    /// Runners that lost a request, without a response of any runner since.
    lost: Vec<RunnerKey>,
    /// Runners to which no connection could be established, without any success since.
    refused: Vec<RunnerKey>,
    /// Whether this node is partitioned from another service, or a peer from this one.
    is_suspected: bool,
    /// Ids of runners whose failure is not reported to peers during a check.
    withheld: Vec<CompactString>,
    is_checking: bool,
    checked_at: Option<Instant>,
    is_partitioned: bool,
    /// Whether another node has reached a runner during the partition, so that the runners are not down.
    is_confirmed: bool,
    /// Connections through other nodes during the partition.
    pub(super) detours: Detours,
    /// Number of direct connections established one after the other during the partition.
    recovered: u32,
}

/// Partitions reported by a peer.
#[derive(Debug)]
pub(super) struct PeerPartitions {
    services: Vec<CompactString>,
    at: Instant,
}

/// State of the check of a service.
pub enum Check {
    /// There is no reason for one.
    NotDue,
    /// One is running.
    Running,
    /// The caller has to connect to runners of the service and call [`Fleet::end_check`].
    Due {
        /// Service.
        service: CompactString,
        /// Runners.
        targets: Vec<Endpoint>,
    },
}

impl Path {
    fn is_suspect(&self) -> bool {
        if self.is_suspected {
            return true;
        }
        let mut failed = [self.lost.as_slice(), &self.refused].concat();
        failed.sort_unstable();
        failed.dedup();
        failed.len() >= SUSPECT_FAILURES
    }

    /// Returns whether failures may be caused by this node's own path.
    fn is_doubtful(&self, now: Instant) -> bool {
        let is_checked = self.checked_at.is_some_and(|at| now < at + CHECK_VALIDITY);
        self.is_partitioned || self.is_checking || (self.is_suspect() && !is_checked)
    }

    fn is_idle(&self, now: Instant) -> bool {
        let is_checked = self.checked_at.is_some_and(|at| now < at + CHECK_VALIDITY);
        let has_failures = !self.lost.is_empty() || !self.refused.is_empty();
        let is_suspect = has_failures || self.is_suspected;
        !is_suspect && !is_checked && !self.is_checking && !self.is_partitioned
    }
}

impl Fleet {
    /// Records that a direct connection to a runner was established.
    pub fn record_connected(&self, key: RunnerKey) {
        let inner = &mut *self.inner.borrow_mut();
        let Some((service, path)) = inner.path(key) else { return };
        if !path.is_partitioned {
            path.lost.clear();
            path.refused.clear();
            inner.drop_idle_path(&service);
            return;
        }
        path.recovered += 1;
        if !path.is_confirmed || path.recovered >= RECOVERED_CONNECTIONS {
            inner.end_partition(&service);
            self.partitions_dirty.notify_one();
        }
    }

    /// Records that no direct connection to a runner could be established.
    pub fn record_unreachable(&self, key: RunnerKey) {
        let inner = &mut *self.inner.borrow_mut();
        let Some(path) = inner.path_mut(key) else { return };
        path.recovered = 0;
        if !path.refused.contains(&key) {
            path.refused.push(key);
        }
    }

    /// Records that a runner was sent a request and did not respond.
    pub fn record_lost_response(&self, key: RunnerKey) {
        let inner = &mut *self.inner.borrow_mut();
        let Some(path) = inner.path_mut(key) else { return };
        if !path.lost.contains(&key) {
            path.lost.push(key);
        }
    }

    /// Starts a check of the path to a runner's service, if one is due.
    pub fn begin_check(&self, key: RunnerKey) -> Check {
        let inner = &mut *self.inner.borrow_mut();
        let now = Instant::now();
        let Some((service, path)) = inner.path(key) else { return Check::NotDue };
        if path.is_checking {
            return Check::Running;
        }
        let is_recent = path.checked_at.is_some_and(|at| now < at + CHECK_INTERVAL);
        if path.is_partitioned || is_recent || !path.is_suspect() {
            return Check::NotDue;
        }
        path.is_checking = true;
        let targets = inner.checked_runners(&service, &mut *self.random.borrow_mut());
        Check::Due { service, targets }
    }

    /// Ends a check of the path to a service with its result.
    pub fn end_check(&self, service: &CompactString, is_reachable: bool) {
        let inner = &mut *self.inner.borrow_mut();
        if let Some(path) = inner.paths.get_mut(service) {
            path.is_checking = false;
            path.is_suspected = false;
            path.checked_at = Some(Instant::now());
            match is_reachable {
                true => {
                    let withheld = std::mem::take(&mut path.withheld);
                    inner.failures.extend(withheld);
                    self.changed.notify_one();
                }
                false => {
                    inner.begin_partition(service);
                    inner.suspect_other_paths(service);
                    self.paths_suspected.notify_one();
                }
            }
        }
        self.partitions_changed.notify_waiters();
    }

    /// Waits until the check of a runner's service has ended.
    pub async fn wait_checked(&self, key: RunnerKey) {
        loop {
            let changed = self.partitions_changed.notified();
            let is_checking =
                |inner: &mut Inner| inner.path(key).is_some_and(|(_, path)| path.is_checking);
            if !is_checking(&mut self.inner.borrow_mut()) {
                return;
            }
            changed.await;
        }
    }

    /// Returns whether this node is partitioned from a service.
    pub fn has_partition(&self) -> bool {
        self.inner.borrow().paths.values().any(|path| path.is_partitioned)
    }

    /// Waits until this node is partitioned from a service.
    pub async fn wait_partitioned(&self) {
        loop {
            let changed = self.partitions_changed.notified();
            if self.has_partition() {
                return;
            }
            changed.await;
        }
    }

    /// Returns whether this node is partitioned from a service although other nodes reach it.
    pub fn is_confirmed_partitioned(&self) -> bool {
        let inner = self.inner.borrow();
        inner.paths.values().any(|path| path.is_partitioned && path.is_confirmed)
    }

    /// Returns whether connections to a runner have to run through another node. Until one of them has
    /// succeeded, the runners may be down, and direct connections are attempted first.
    pub fn needs_tunnel(&self, key: RunnerKey) -> bool {
        let inner = &mut *self.inner.borrow_mut();
        inner.path(key).is_some_and(|(_, path)| path.is_partitioned && path.is_confirmed)
    }

    /// Returns whether this node is partitioned from a runner's service.
    pub fn is_partitioned(&self, key: RunnerKey) -> bool {
        self.inner.borrow_mut().path(key).is_some_and(|(_, path)| path.is_partitioned)
    }

    /// Returns one runner of each service from which this node is partitioned.
    pub fn partitioned_runners(&self) -> Vec<Endpoint> {
        let inner = self.inner.borrow();
        let partitioned = inner.paths.iter().filter(|(_, path)| path.is_partitioned);
        let random = &mut *self.random.borrow_mut();
        partitioned
            .filter_map(|(service, _)| inner.checked_runners(service, random).into_iter().next())
            .collect()
    }

    /// Records that another node has connected this one to a runner.
    pub fn confirm_partition(&self, key: RunnerKey) {
        let inner = &mut *self.inner.borrow_mut();
        let Some((_, path)) = inner.path(key) else { return };
        if path.is_partitioned && !std::mem::replace(&mut path.is_confirmed, true) {
            self.partitions_dirty.notify_one();
        }
    }

    /// Returns the services from which this node is partitioned although other nodes reach them.
    pub fn partitions(&self) -> Vec<CompactString> {
        let inner = self.inner.borrow();
        let confirmed = inner.paths.iter().filter(|(_, p)| p.is_partitioned && p.is_confirmed);
        confirmed.map(|(service, _)| service.clone()).collect()
    }

    /// Returns a handle that is notified when [`Fleet::partitions`] changes.
    pub fn partition_changes(&self) -> Rc<Notify> {
        self.partitions_dirty.clone()
    }

    /// Applies a peer's report of the services from which it is partitioned. This node may be as well
    /// without having noticed.
    pub fn apply_peer_partitions(&self, from: &CompactString, services: Vec<CompactString>) {
        let inner = &mut *self.inner.borrow_mut();
        let now = Instant::now();
        for service in &services {
            let is_new = !inner.is_peer_partitioned(from, Some(service), now);
            if is_new && !inner.has_responded(service, now) {
                inner.suspect_path(service, now);
                self.paths_suspected.notify_one();
            }
        }
        match services.is_empty() {
            true => _ = inner.peer_partitions.remove(from),
            false => {
                let report = PeerPartitions { services, at: now };
                _ = inner.peer_partitions.insert(from.clone(), report);
            }
        }
    }

    /// Waits until the path to a service is suspected of being partitioned, without failures of its own.
    pub async fn wait_suspected(&self) {
        self.paths_suspected.notified().await;
    }

    /// Returns one runner of each service whose path is suspected.
    pub fn suspected_runners(&self) -> Vec<Endpoint> {
        let inner = self.inner.borrow();
        let suspected = inner.paths.iter().filter(|(_, path)| path.is_suspected);
        let first = |service| inner.services.get(service)?.first().map(|key| inner.endpoint(*key));
        suspected.filter_map(|(service, _)| first(service)).collect()
    }

    /// Returns the nodes of `nodes` that are not partitioned from any service, or all of them if each
    /// one is.
    pub fn connected_nodes<'a>(&self, nodes: &'a [NodeAddress]) -> Vec<&'a NodeAddress> {
        let inner = self.inner.borrow();
        let now = Instant::now();
        let is_own = inner.paths.values().any(|path| path.is_partitioned && path.is_confirmed);
        let is_connected = |node: &&NodeAddress| match node.name == inner.me {
            true => !is_own,
            false => !inner.is_peer_partitioned(&node.name, None, now),
        };
        let connected: Vec<&NodeAddress> = nodes.iter().filter(is_connected).collect();
        if connected.is_empty() { nodes.iter().collect() } else { connected }
    }
}

impl Inner {
    /// Returns the path to a runner's service if some runners of it fail.
    pub(super) fn path(&mut self, key: RunnerKey) -> Option<(CompactString, &mut Path)> {
        if self.paths.is_empty() {
            return None;
        }
        let service = &self.runners.get(key)?.registration.service;
        Some((service.clone(), self.paths.get_mut(service)?))
    }

    fn path_mut(&mut self, key: RunnerKey) -> Option<&mut Path> {
        let service = &self.runners.get(key)?.registration.service;
        Some(self.paths.entry(service.clone()).or_default())
    }

    /// Forgets lost responses after a response of a runner.
    pub(super) fn clear_lost_responses(&mut self, key: RunnerKey) {
        let Some((service, path)) = self.path(key) else { return };
        if !path.is_partitioned {
            path.lost.clear();
            self.drop_idle_path(&service);
        }
    }

    /// Withholds the failure of a runner from peers if it may be caused by this node's own path; returns
    /// whether it does.
    pub(super) fn withhold_failure(&mut self, key: RunnerKey, now: Instant) -> bool {
        let id = self.runners.get(key).map(|runner| runner.registration.id.clone());
        let Some((_, path)) = self.path(key) else { return false };
        let is_doubtful = path.is_doubtful(now);
        if is_doubtful && path.is_checking {
            path.withheld.extend(id);
        }
        is_doubtful
    }

    /// Marks the path to a service for a check, unless it was checked recently.
    fn suspect_path(&mut self, service: &CompactString, now: Instant) {
        if !self.services.contains_key(service) {
            return;
        }
        let path = self.paths.entry(service.clone()).or_default();
        let is_checked = path.checked_at.is_some_and(|at| now < at + CHECK_VALIDITY);
        path.is_suspected = !is_checked && !path.is_checking && !path.is_partitioned;
        self.drop_idle_path(service);
    }

    /// Returns whether a runner of a service has responded recently.
    fn has_responded(&self, service: &str, now: Instant) -> bool {
        let mut keys = self.services.get(service).into_iter().flatten();
        keys.any(|key| {
            let last_seen = self.runners[*key].health.last_seen();
            last_seen.is_some_and(|last_seen| now < last_seen + RESPONSE_VALIDITY)
        })
    }

    /// Marks the paths to all services but one for a check.
    fn suspect_other_paths(&mut self, partitioned: &CompactString) {
        let others = self.services.keys().filter(|service| *service != partitioned);
        let now = Instant::now();
        others.cloned().collect::<Vec<_>>().iter().for_each(|s| self.suspect_path(s, now));
    }

    fn drop_idle_path(&mut self, service: &str) {
        let now = Instant::now();
        if self.paths.get(service).is_some_and(|path| path.is_idle(now)) {
            self.paths.remove(service);
        }
    }

    fn begin_partition(&mut self, service: &CompactString) {
        log::warn!(service = service.as_str(); "{PARTITIONED}");
        let path = self.paths.entry(service.clone()).or_default();
        *path = Path { is_partitioned: true, ..Path::default() };
        self.reset_runners(service);
    }

    fn end_partition(&mut self, service: &CompactString) {
        log::info!(service = service.as_str(); "{PARTITION_ENDED}");
        self.paths.remove(service);
        self.reset_runners(service);
    }

    /// Closes the idle connections to a service's runners, and forgets failures that were caused by the
    /// path to them.
    fn reset_runners(&mut self, service: &CompactString) {
        for key in self.services.get(service).into_iter().flatten() {
            let runner = &mut self.runners[*key];
            runner.pool.clear();
            runner.health = Health::default();
        }
    }

    /// Selects runners of a service at random, if possible of different failure domains.
    fn checked_runners(&self, service: &str, random: &mut impl rand::Rng) -> Vec<Endpoint> {
        let keys = self.services.get(service).into_iter().flatten().copied();
        let mut ready: Vec<RunnerKey> = keys.filter(|key| self.runners[*key].is_ready()).collect();
        ready.shuffle(random);
        let mut domains = Vec::new();
        let is_first = |key: &RunnerKey| {
            let domain = &self.runners[*key].registration.domain;
            let is_first = !domains.contains(domain);
            domains.push(domain.clone());
            is_first
        };
        let (mut first, rest): (Vec<_>, Vec<_>) = ready.into_iter().partition(is_first);
        first.extend(rest);
        first.into_iter().take(CHECKED_RUNNERS).map(|key| self.endpoint(key)).collect()
    }

    pub(super) fn is_peer_partitioned(
        &self,
        node: &str,
        service: Option<&str>,
        now: Instant,
    ) -> bool {
        self.peer_partitions.get(node).is_some_and(|report| {
            let is_affected = service.is_none_or(|s| report.services.iter().any(|r| r == s));
            now < report.at + REPORT_TTL && is_affected
        })
    }
}
