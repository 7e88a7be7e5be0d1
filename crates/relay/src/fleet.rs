//! Runners as known to the traffic thread: registrations, load and health.

mod brittle;
mod capacity;
mod choose;
mod detour;
mod drain;
mod load;
mod partition;
mod health;
mod lease;
mod pace;
mod pause;
mod rate_limit;
mod reuse;

pub use self::{
    choose::{Criteria, Version},
    detour::DetourResult,
    health::Health,
    lease::Lease,
    load::Load,
    pace::{EventMeter, PaceCounts},
    partition::Check,
    reuse::Moment,
};

use {
    self::{
        brittle::Brittle,
        drain::Announcement,
        load::PeerLoads,
        pace::Pace,
        partition::{Path, PeerPartitions},
        rate_limit::AdvertisedLimit,
    },
    crate::{
        fanout::Scope,
        pool::{Connection, Exchange, Pool},
        view::{NodeAddress, Registration},
    },
    bilberryfront_decide::member::message::Restart,
    compact_str::CompactString,
    rand::{SeedableRng, rngs::SmallRng},
    rustc_hash::{FxHashMap, FxHashSet},
    slotmap::{SlotMap, new_key_type},
    std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::{sync::Notify, time::Instant},
    xxhash_rust::xxh64::xxh64,
};

/// Minimum interval of identity checks of an unlisted runner.
const IDENTITY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

new_key_type! {
    /// Key of one incarnation of a runner.
    pub struct RunnerKey;
}

/// All runners. Clones share their state.
#[derive(Clone)]
pub struct Fleet {
    inner: Rc<RefCell<Inner>>,
    changed: Rc<Notify>,
    lost: Rc<Notify>,
    /// Notified when the registrations have changed.
    updated: Rc<Notify>,
    /// Notified when a check of a path has ended or a partition has ended.
    partitions_changed: Rc<Notify>,
    /// Notified when the partitions have to be reported to peers.
    partitions_dirty: Rc<Notify>,
    /// Notified when the path to a service is suspected.
    paths_suspected: Rc<Notify>,
    random: Rc<RefCell<SmallRng>>,
}

#[derive(Default)]
struct Inner {
    /// Whether a list of registrations has been applied.
    loaded: bool,
    runners: SlotMap<RunnerKey, Runner>,
    by_id: FxHashMap<CompactString, RunnerKey>,
    services: FxHashMap<CompactString, Vec<RunnerKey>>,
    /// Ids of runners that failed since the last update to peers.
    failures: Vec<CompactString>,
    /// Restarts detected since the last update to peers.
    restarts: Vec<Restart>,
    /// Failure domain of this node; empty until it is set.
    domain: CompactString,
    /// Name of this node; empty until it is set.
    me: CompactString,
    /// Nodes that share the runners' rate limits.
    nodes: Arc<Vec<NodeAddress>>,
    /// Runners whose load peers report to this node.
    scope: Scope,
    /// Unlisted runners found at known addresses, with the time of the last identity check.
    identity_checks: FxHashMap<CompactString, Instant>,
    /// Paths to the services some of whose runners fail.
    paths: FxHashMap<CompactString, Path>,
    /// Partitions reported by peers, by node.
    peer_partitions: FxHashMap<CompactString, PeerPartitions>,
    /// Services whose pace factors are up to date, with the time at which they were computed.
    pace_times: FxHashMap<CompactString, Instant>,
    /// Minimum time from the end of a runner until its address is assigned to another service.
    reuse_delay: Duration,
}

struct Runner {
    registration: Registration,
    /// Hash of the address, for rendezvous hashing.
    address_hash: u64,
    pool: Pool,
    health: Health,
    /// Load of this node's requests on an engine.
    own_load: Load,
    /// Number of this node's calls in flight, for a plain service.
    calls: u32,
    /// Load reported by peers.
    peer_loads: PeerLoads,
    /// Whether `own_load` has changed since the last update to peers.
    dirty: bool,
    /// Rate limit that the runner advertises for all nodes together.
    limit: Option<AdvertisedLimit>,
    /// Statement of the runner that it bears few rejections.
    brittle: Option<Brittle>,
    /// Announcement by the runner that it is draining.
    drain: Option<Announcement>,
    /// Time until which the runner rejects requests of this node.
    paused_until: Option<Instant>,
    /// Speed.
    pace: Pace,
    /// Time at which it was still running.
    alive_at: Option<Moment>,
}

/// Address and identity of a runner.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Key in the fleet.
    pub key: RunnerKey,
    /// Runner id.
    pub id: CompactString,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: CompactString,
}

/// Service and version of a runner as registered.
#[derive(Clone, Debug, Default)]
pub struct Registered {
    /// Service.
    pub service: CompactString,
    /// Software version.
    pub version: CompactString,
    /// Whether the registration was inferred from a restart.
    pub assumed: bool,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet::seeded(rand::random())
    }
}

impl Fleet {
    /// Creates an empty fleet whose random tie-breaking uses this seed.
    pub fn seeded(seed: u64) -> Fleet {
        let random = Rc::new(RefCell::new(SmallRng::seed_from_u64(seed)));
        Fleet {
            inner: Rc::default(),
            changed: Rc::default(),
            lost: Rc::default(),
            updated: Rc::default(),
            partitions_changed: Rc::default(),
            partitions_dirty: Rc::default(),
            paths_suspected: Rc::default(),
            random,
        }
    }

    /// Sets this node's failure domain.
    pub fn set_domain(&self, domain: &CompactString) {
        self.inner.borrow_mut().domain.clone_from(domain);
    }

    /// Sets the runners whose load peers report to this node.
    pub fn set_scope(&self, scope: Scope) {
        self.inner.borrow_mut().scope = scope;
    }

    /// Replaces the registrations. Idle connections to removed or restarted runners are closed;
    /// requests in flight continue.
    pub fn update(&self, registrations: &[Registration]) {
        let inner = &mut *self.inner.borrow_mut();
        inner.loaded = true;
        let listed: FxHashSet<&str> = registrations.iter().map(|r| r.id.as_str()).collect();
        let removed: Vec<CompactString> =
            inner.by_id.keys().filter(|id| !listed.contains(id.as_str())).cloned().collect();
        for id in removed {
            inner.by_id.remove(&id).map(|key| inner.runners.remove(key));
        }
        for registration in registrations {
            inner.register(registration);
        }
        inner.services.clear();
        for (key, runner) in &inner.runners {
            let service = runner.registration.service.clone();
            inner.services.entry(service).or_default().push(key);
        }
        inner.pace_times.clear();
        inner.paths.retain(|service, _| inner.services.contains_key(service));
        inner.divide_limits(Instant::now());
        inner.divide_brittle_rooms();
        self.updated.notify_waiters();
    }

    /// Returns whether a list of registrations has been applied.
    pub fn is_loaded(&self) -> bool {
        self.inner.borrow().loaded
    }

    /// Returns whether a failure domain differs from this node's.
    pub fn is_remote(&self, domain: &CompactString) -> bool {
        self.inner.borrow().domain != *domain
    }

    /// Takes an idle connection to a runner that is suited for the exchange.
    pub fn take_idle_connection(
        &self,
        key: RunnerKey,
        now: Instant,
        next: &Exchange,
    ) -> Option<Connection> {
        self.inner.borrow_mut().runners.get_mut(key)?.pool.take(now, next)
    }

    /// Puts a connection back into the runner's pool; `limit` is the runner's idle timeout.
    pub fn return_connection(
        &self,
        key: RunnerKey,
        connection: Connection,
        limit: Option<Duration>,
    ) {
        // A direct connection of before a partition hangs, and one through a node is a detour after it.
        let is_stale = connection.is_tunneled() != self.is_partitioned(key);
        let mut inner = self.inner.borrow_mut();
        if let Some(runner) = inner.runners.get_mut(key).filter(|_| !is_stale) {
            runner.pool.put(Instant::now(), connection, limit);
        }
    }

    fn update_own_load(&self, key: RunnerKey, change: impl FnOnce(&mut Load)) {
        if let Some(runner) = self.inner.borrow_mut().runners.get_mut(key) {
            change(&mut runner.own_load);
            runner.dirty = true;
            self.changed.notify_one();
        }
    }

    /// Returns the runner of an endpoint if it is listed, also if its registration was removed and is back.
    /// The address alone does not identify it: it may have been reassigned, also to another service.
    pub fn find_listed(&self, endpoint: &Endpoint, service: &str) -> Option<Endpoint> {
        let inner = self.inner.borrow();
        let key = match inner.runners.contains_key(endpoint.key) {
            true => endpoint.key,
            false => *inner.by_id.get(&endpoint.id)?,
        };
        let Registration { address, service: registered, .. } = &inner.runners[key].registration;
        let is_same = *address == endpoint.address && registered == service;
        is_same.then(|| inner.endpoint(key))
    }

    /// Returns whether the runner accepts requests and has not failed since its last response.
    /// Unlike [`Fleet::is_ejected`], this ignores cool-downs and failures of other runners in its
    /// failure domain.
    pub fn is_available(&self, key: RunnerKey) -> bool {
        let inner = self.inner.borrow();
        let is_available = |r: &Runner| r.is_ready() && !r.health.has_failed();
        inner.runners.get(key).is_some_and(is_available)
    }

    /// Returns whether the runner was removed, restarted, or has failed since its last response.
    pub fn is_lost(&self, key: RunnerKey) -> bool {
        self.inner.borrow().runners.get(key).is_none_or(|r| r.health.has_failed())
    }

    /// Records a response from a runner.
    pub fn record_response(&self, key: RunnerKey, now: Instant) {
        let inner = &mut *self.inner.borrow_mut();
        if let Some(runner) = inner.runners.get_mut(key) {
            runner.health.record_response(now);
            inner.clear_lost_responses(key);
        }
    }

    /// Returns the time of the runner's last response to this node.
    pub fn last_seen(&self, key: RunnerKey) -> Option<Instant> {
        self.inner.borrow().runners.get(key)?.health.last_seen()
    }

    /// Records a connection error or a timeout, which is reported to peers.
    pub fn record_failure(&self, key: RunnerKey, now: Instant) {
        self.inner.borrow_mut().record_failure(key, now);
        self.changed.notify_one();
        self.lost.notify_waiters();
    }

    /// Marks a runner as suspect, unless it has responded recently. This is not reported to peers.
    pub fn mark_suspect(&self, key: RunnerKey, now: Instant) {
        if let Some(runner) = self.inner.borrow_mut().runners.get_mut(key) {
            runner.health.mark_suspect(now);
        }
    }

    /// Records that another runner, or another incarnation, responded at the runner's address. This
    /// is not reported to peers and makes no other runner suspect: after an outage of a failure
    /// domain it shows that the domain is available again.
    pub fn record_replacement(&self, key: RunnerKey, now: Instant) {
        if let Some(runner) = self.inner.borrow_mut().runners.get_mut(key) {
            runner.health.record_failure(now);
            runner.pool.clear();
        }
        self.lost.notify_waiters();
    }

    /// Waits until the runner is lost; see [`Fleet::is_lost`].
    pub async fn wait_until_lost(&self, key: RunnerKey) {
        loop {
            let changed = self.lost.notified();
            if self.is_lost(key) {
                return;
            }
            changed.await;
        }
    }

    /// Returns whether the identity of a runner has to be checked, because it is unlisted and was
    /// not checked recently; records the check.
    pub fn begin_identity_check(&self, id: &CompactString, now: Instant) -> bool {
        let inner = &mut *self.inner.borrow_mut();
        inner.identity_checks.retain(|_, checked_at| now < *checked_at + IDENTITY_CHECK_INTERVAL);
        !inner.by_id.contains_key(id) && inner.identity_checks.insert(id.clone(), now).is_none()
    }

    /// Records a restart found by an identity check, for peers.
    pub fn record_restart(&self, restart: Restart) {
        self.inner.borrow_mut().restarts.push(restart);
        self.changed.notify_one();
    }

    /// Records that a runner rejected a request for lack of capacity.
    pub fn record_overload(&self, key: RunnerKey, now: Instant) {
        if let Some(runner) = self.inner.borrow_mut().runners.get_mut(key) {
            runner.health.record_overload(now);
        }
    }

    /// Returns a hash of a runner's incarnation; `None` if its exit would be expected, because it is
    /// draining or no longer listed.
    pub fn incarnation(&self, key: RunnerKey) -> Option<u64> {
        let inner = self.inner.borrow();
        let runner = inner.runners.get(key).filter(|runner| runner.is_ready())?;
        Some(xxh64(runner.registration.id.as_bytes(), runner.registration.born))
    }

    /// Returns the start time of a listed runner's incarnation; `None` if it was not reported by the runner.
    pub fn born(&self, key: RunnerKey) -> Option<u64> {
        let inner = self.inner.borrow();
        let registration = &inner.runners.get(key)?.registration;
        (!registration.assumed).then_some(registration.born)
    }

    /// Returns whether another runner of the service has responded to this node since `time`.
    pub fn has_other_responded(&self, key: RunnerKey, service: &str, time: Instant) -> bool {
        let inner = self.inner.borrow();
        let others = inner.services.get(service).into_iter().flatten().filter(|k| **k != key);
        others.filter_map(|k| inner.runners[*k].health.last_seen()).any(|seen| seen > time)
    }

    /// Waits until this incarnation of a runner is no longer listed.
    pub async fn wait_until_unlisted(&self, key: RunnerKey) {
        loop {
            let updated = self.updated.notified();
            if !self.is_listed(key) {
                return;
            }
            updated.await;
        }
    }

    /// Returns whether this incarnation of a runner is listed.
    pub fn is_listed(&self, key: RunnerKey) -> bool {
        self.inner.borrow().runners.contains_key(key)
    }

    /// Returns whether no node has reported a request in flight on a runner.
    pub fn is_idle(&self, key: RunnerKey) -> bool {
        let inner = self.inner.borrow();
        inner.runners.get(key).is_some_and(|runner| runner.is_idle(Instant::now()))
    }

    /// Returns the runner that is registered at an address.
    pub fn find_address(&self, address: SocketAddr) -> Option<Endpoint> {
        let inner = self.inner.borrow();
        let here = |(_, r): &(RunnerKey, &Runner)| r.registration.address == address;
        inner.runners.iter().find(here).map(|(key, _)| inner.endpoint(key))
    }

    /// Returns the service of a listed runner.
    pub fn service(&self, key: RunnerKey) -> Option<CompactString> {
        Some(self.inner.borrow().runners.get(key)?.registration.service.clone())
    }

    /// Returns the software version of a listed runner.
    pub fn version(&self, key: RunnerKey) -> Option<CompactString> {
        Some(self.inner.borrow().runners.get(key)?.registration.version.clone())
    }

    /// Returns what a runner is registered as, for logs; `None` if it is no longer listed.
    pub fn registered(&self, key: RunnerKey) -> Option<Registered> {
        let inner = self.inner.borrow();
        let Registration { service, version, assumed, .. } = &inner.runners.get(key)?.registration;
        Some(Registered { service: service.clone(), version: version.clone(), assumed: *assumed })
    }

    /// Returns the number of runners of a service to which this node may send a request now.
    pub fn ready_count(&self, service: &str) -> usize {
        let now = Instant::now();
        let inner = self.inner.borrow();
        let keys = inner.services.get(service).into_iter().flatten();
        let runners = keys.map(|key| &inner.runners[*key]);
        runners.filter(|runner| runner.accepts_requests(now)).count()
    }
}

impl Inner {
    fn register(&mut self, registration: &Registration) {
        let key = self.by_id.get(&registration.id).copied();
        if let Some(known) = key.and_then(|k| self.runners.get_mut(k)) {
            let old = &known.registration;
            let same = (old.assumed || old.born == registration.born)
                && (old.address, &old.service) == (registration.address, &registration.service);
            if same {
                known.registration = registration.clone();
                return;
            }
            // A new incarnation starts with no connections, load or failures.
            key.map(|k| self.runners.remove(k));
        }
        let runner = Runner {
            registration: registration.clone(),
            address_hash: xxh64(registration.address.to_string().as_bytes(), 0),
            pool: Pool::default(),
            health: Health::default(),
            own_load: Load::default(),
            calls: 0,
            peer_loads: PeerLoads::default(),
            dirty: false,
            limit: None,
            brittle: None,
            drain: None,
            paused_until: None,
            pace: Pace::default(),
            alive_at: None,
        };
        let key = self.runners.insert(runner);
        self.by_id.insert(registration.id.clone(), key);
    }

    fn record_failure(&mut self, key: RunnerKey, now: Instant) {
        let Some(runner) = self.runners.get_mut(key) else { return };
        runner.health.record_failure(now);
        runner.pool.clear();
        let id = runner.registration.id.clone();
        if self.withhold_failure(key, now) {
            return;
        }
        self.failures.push(id);
        self.suspect_neighbours(key, now);
    }

    /// Marks all runners of a failure domain as suspect once several of them have failed, since
    /// domains mostly fail as a unit. A response from a runner clears its mark. Draining runners
    /// are not counted: their exit is expected and does not indicate a failure of the domain.
    fn suspect_neighbours(&mut self, key: RunnerKey, now: Instant) {
        let Registration { service, domain, .. } = &self.runners[key].registration;
        let all = self.services.get(service).into_iter().flatten().copied();
        let near = all.filter(|k| {
            let near = &self.runners[*k];
            near.registration.domain == *domain && near.is_ready()
        });
        let near: Vec<RunnerKey> = near.collect();
        let failed = near.iter().filter(|k| self.runners[**k].health.has_failed_recently(now));
        if health::is_domain_suspect(failed.count(), near.len()) {
            near.iter().for_each(|k| self.runners[*k].health.mark_suspect(now));
        }
    }
}
