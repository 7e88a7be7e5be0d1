//! Admission control of this node's streams: the queue of each service with requests of different
//! priorities, and what peers report of theirs.

use {
    crate::{fleet::Fleet, metrics::Metrics, view::View},
    bilberryfront_decide::{
        admission::{
            Policy,
            forecast::Forecast,
            queue::{Queue, Ticket, Waiting},
        },
        member::message::QueueReport,
    },
    compact_str::CompactString,
    rustc_hash::FxHashMap,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
    xxhash_rust::xxh64::xxh64,
};

/// Age of a peer's last report from which the peer counts as silent; peers report each second.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Interval at which reports of waiting requests to peers are repeated.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Number of peers that suffice to know the loads, in a system in which each node hears of some only.
const SUFFICIENT_PEERS: usize = 8;

/// Queues of all services. Clones share their state.
#[derive(Clone)]
pub struct Admission {
    /// Parameters.
    pub policy: Policy,
    metrics: Metrics,
    state: Rc<RefCell<State>>,
    /// Notified when a request has left a queue, or when the queues are closed.
    changed: Rc<Notify>,
    /// Notified when there is an update for peers.
    updated: Rc<Notify>,
}

#[derive(Default)]
struct State {
    services: FxHashMap<CompactString, Service>,
    /// Time of the last report of each peer.
    heard: FxHashMap<CompactString, Instant>,
    /// Whether a request has entered a queue of this node or waits at a peer.
    is_used: bool,
    is_dirty: bool,
    /// Time of the last report of a queue with waiting requests.
    reported: Option<Instant>,
    is_closed: bool,
}

#[derive(Default)]
struct Service {
    queue: Queue,
    forecast: Forecast,
}

/// A request in the queue, which it leaves when this is dropped.
pub struct Entry {
    admission: Admission,
    service: CompactString,
    ticket: Ticket,
    waiting: Waiting,
    /// Time since which it has to wait; `None` while it may start at once.
    blocked: Option<Instant>,
    /// Expected wait at that time.
    expected: Option<Duration>,
    is_started: Cell<bool>,
}

/// A running request, which counts for its account until this is dropped.
pub struct Running {
    admission: Admission,
    service: CompactString,
    account: u64,
}

impl Admission {
    /// Creates empty queues; the updates of `fleet` to peers include them.
    pub fn new(policy: Policy, fleet: &Fleet, metrics: Metrics) -> Admission {
        let (state, changed, updated) = (Rc::default(), Rc::default(), fleet.changes());
        Admission { policy, metrics, state, changed, updated }
    }

    /// Adds a request to the queue of its service.
    pub fn enter(&self, service: &CompactString, waiting: Waiting) -> Entry {
        let ticket = self.with(service, |service| service.queue.push(waiting));
        self.state.borrow_mut().is_used = true;
        Entry {
            admission: self.clone(),
            service: service.clone(),
            ticket,
            waiting,
            blocked: None,
            expected: None,
            is_started: Cell::new(false),
        }
    }

    /// Rejects all requests that have not reached a runner, as this node drains.
    pub fn close(&self) {
        self.state.borrow_mut().is_closed = true;
        self.changed.notify_waiters();
    }

    /// Returns whether [`Admission::close`] was called.
    pub fn is_closed(&self) -> bool {
        self.state.borrow().is_closed
    }

    /// Waits until a request has left a queue.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Records the duration of a complete run.
    pub fn record_duration(&self, service: &CompactString, duration: Duration) {
        self.with(service, |service| service.forecast.observe(duration));
    }

    /// Returns the least time that a request of the service needs.
    pub fn least_duration(&self, service: &CompactString) -> Duration {
        self.with(service, |service| service.forecast.least_duration())
    }

    /// Counts a request that cannot be served in time.
    pub fn count_rejection(&self, level: u8) {
        self.metrics.count_admission_rejection(level);
    }

    /// Returns the account's number in the queues.
    pub fn account(name: &str) -> u64 {
        xxh64(name.as_bytes(), 0)
    }

    /// Returns whether this node knows the loads of the runners: enough of the other nodes have reported
    /// recently.
    pub fn knows_loads(&self, view: &View) -> bool {
        let (now, nodes) = (Instant::now(), view.shares());
        let state = self.state.borrow();
        let heard = state.heard.values().filter(|at| now < **at + SILENCE).count();
        heard >= (nodes.saturating_sub(1) / 2).min(SUFFICIENT_PEERS)
    }

    /// Applies a report of a peer; `queues` is `None` if its queues are unchanged.
    pub fn apply(&self, from: &CompactString, queues: Option<&[QueueReport]>) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.heard.retain(|_, at| now < *at + SILENCE);
        state.heard.insert(from.clone(), now);
        let Some(queues) = queues else { return };
        state.is_used = true;
        for report in queues {
            state.services.entry(report.service.clone()).or_default();
        }
        for (name, service) in &mut state.services {
            let own: Vec<&QueueReport> = queues.iter().filter(|q| q.service == *name).collect();
            service.queue.apply(from, &own, now);
        }
    }

    /// Takes the changes of this node's queues since the last call, for peers.
    pub fn take_update(&self) -> Option<Vec<QueueReport>> {
        let is_dirty = std::mem::take(&mut self.state.borrow_mut().is_dirty);
        is_dirty.then(|| self.reports())
    }

    /// Returns this node's queues for peers that have missed an update; `None` if no request has ever
    /// waited. Empty ones show that this node lives, although it has no load to report.
    pub fn snapshot(&self) -> Option<Vec<QueueReport>> {
        let is_used = self.state.borrow().is_used;
        is_used.then(|| self.reports())
    }

    fn reports(&self) -> Vec<QueueReport> {
        let now = Instant::now();
        let state = self.state.borrow();
        let reports = state.services.iter().flat_map(|(name, service)| {
            service.queue.levels(now).into_iter().map(|(level, waiting, oldest)| QueueReport {
                service: name.clone(),
                level,
                waiting,
                oldest_ms: u32::try_from(oldest.as_millis()).unwrap_or(u32::MAX),
            })
        });
        reports.collect()
    }

    /// Repeats the report to peers while requests wait, so that they notice soon when this node ends.
    pub fn repeat_report(&self) {
        let reported = self.state.borrow().reported;
        if reported.is_none_or(|at| at.elapsed() >= REPORT_INTERVAL) {
            self.report();
        }
    }

    fn report(&self) {
        let mut state = self.state.borrow_mut();
        state.is_dirty = true;
        state.reported = Some(Instant::now());
        self.updated.notify_one();
    }

    fn with<T>(&self, service: &CompactString, work: impl FnOnce(&mut Service) -> T) -> T {
        let mut state = self.state.borrow_mut();
        if !state.services.contains_key(service) {
            state.services.insert(service.clone(), Service::default());
        }
        work(state.services.get_mut(service).expect("the service was inserted"))
    }
}

impl Entry {
    /// Returns the level of the request.
    pub fn level(&self) -> u8 {
        self.waiting.level
    }

    /// Returns whether the request is treated as one of the highest level.
    pub fn is_promoted(&self) -> bool {
        self.with(|service| service.queue.is_promoted(self.ticket, self.admission.policy.share))
    }

    /// Returns whether the request starts next at this node.
    pub fn is_head(&self) -> bool {
        let share = self.admission.policy.share;
        self.with(|service| service.queue.head(share) == Some(self.ticket))
    }

    /// Returns the number of places that requests ahead of this one claim in the whole system.
    pub fn claimed(&self) -> u32 {
        let share = self.admission.policy.share;
        self.with(|service| service.queue.claimed(self.ticket, share, Instant::now()))
    }

    /// Returns the expected time until the request starts; `None` if nothing is known. `running` is the
    /// number of running requests of the service.
    pub fn expected_wait(&self, running: u32) -> Option<Duration> {
        let share = self.admission.policy.share;
        self.with(|service| {
            let ahead = service.queue.ahead(self.ticket, share, Instant::now());
            service.forecast.observe_running(running, Instant::now());
            service.forecast.wait(ahead)
        })
    }

    /// Returns the expected time until all requests ahead of this one have started.
    pub fn expected_room(&self) -> Option<Duration> {
        let share = self.admission.policy.share;
        self.with(|service| {
            let ahead = service.queue.ahead_in_order(self.ticket, share, Instant::now());
            service.forecast.wait(ahead)
        })
    }

    /// Records that the request has to wait.
    pub fn block(&mut self, expected: Option<Duration>) {
        if self.blocked.is_none() {
            self.blocked = Some(Instant::now());
            self.expected = expected;
            self.admission.metrics.add_waiting(self.waiting.level);
            self.admission.report();
        }
    }

    /// Returns the time for which the request has waited; `None` if it did not have to.
    pub fn waited(&self) -> Option<Duration> {
        self.blocked.map(|at| at.elapsed())
    }

    /// Starts the request.
    pub fn start(self) -> Running {
        let (account, share) = (self.waiting.account, self.admission.policy.share);
        self.with(|service| {
            service.queue.start(self.ticket, share);
            service.queue.add_running(account);
        });
        self.is_started.set(true);
        if let Some(waited) = self.waited() {
            self.admission.metrics.count_admission(self.waiting.level, waited, self.expected);
        }
        Running { admission: self.admission.clone(), service: self.service.clone(), account }
    }

    fn with<T>(&self, work: impl FnOnce(&mut Service) -> T) -> T {
        self.admission.with(&self.service, work)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if !self.is_started.get() {
            self.with(|service| service.queue.remove(self.ticket));
        }
        if self.blocked.is_some() {
            self.admission.metrics.remove_waiting(self.waiting.level);
            self.admission.report();
            self.admission.changed.notify_waiters();
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.admission.with(&self.service, |service| service.queue.remove_running(self.account));
    }
}
