//! Retry budgets.
//!
//! The bound is global: in any window, retries stay below a ratio of the requests plus a fixed
//! slack. A node counts the requests and retries of itself and of the peers with which it exchanges
//! reports against the ratio and against their joint share of the slack. Nodes with few requests could
//! otherwise not retry all requests that fail at once when a failure domain crashes. Retries that a peer has not
//! acknowledged may be unknown to it: it is assumed to have taken as many.
//!
//! Retries count until their window has ended, also if their node has ended before. A node that starts
//! learns from its peers how many there are; until then, it uses only a part of the slack.

mod receipts;

use {
    self::receipts::Exchange,
    bilberryfront_decide::member::message::{BudgetReport, BudgetUse},
    compact_str::CompactString,
    rustc_hash::FxHashMap,
    std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Share of the budget that is used; the rest covers nodes that have just joined, and lost reports.
const MARGIN: f64 = 0.7;
/// Share of the budget used by nodes that do not know the retries before their start, as these may have
/// used the margin.
const STARTUP_MARGIN: f64 = 1.0 - MARGIN;
/// Share of the slack that such nodes use, as they may be restarted several times within a window.
const STARTUP_SHARE: f64 = 0.25;
/// Maximum time from a retry to the next complete report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Age of an acknowledged report up to which reports are not late: both nodes send one in each interval.
const PROMPT_AGE: Duration = Duration::from_millis(2_500);
/// Age at which a peer's report expires. A node without connection to its peers then uses its own share
/// only.
const PEER_REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Number of buckets per window.
const BUCKETS: u32 = 20;
/// Maximum time from taking a retry until the request reaches its runner, if a kept connection proves closed
/// and the next one is opened through another node.
const MAX_SEND_DELAY: Duration = Duration::from_millis(700);

/// Global bound on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries of the whole system.
    pub slack: f64,
    /// Window length.
    pub window: Duration,
}

/// Retry budgets of all services. Clones share their state.
#[derive(Clone, Debug)]
pub struct Budgets {
    allowance: Allowance,
    start: Start,
    services: Rc<RefCell<FxHashMap<CompactString, Budget>>>,
    exchange: Rc<RefCell<Exchange>>,
}

/// Start of this node.
#[derive(Clone, Copy, Debug)]
struct Start {
    at: Instant,
    /// Whether there were no retries before.
    is_first: bool,
}

/// Retry budget of one service on this node.
#[derive(Clone, Debug)]
pub struct Budget {
    allowance: Allowance,
    /// Time at which the retries of all nodes within the window are known.
    known_at: Instant,
    /// Time until which first reports of peers contain retries that others have reported as well.
    joined_at: Instant,
    buckets: VecDeque<Bucket>,
    /// Retries since the start.
    total: u32,
    peers: FxHashMap<CompactString, PeerUse>,
    /// Whether retries were taken since the last report.
    dirty: bool,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Instant,
    requests: u32,
    retries: u32,
    /// Retries reported by peers.
    reported: u32,
    /// Retries before the start of this node, as reported by a peer.
    inherited: u32,
}

/// What a decision on a retry goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Requests of this node and of the peers that report to it.
    pub requests: u32,
    /// Known retries of all nodes.
    pub retries: u32,
    /// Retries that peers may have taken and not reported yet.
    pub unreported: u32,
    /// Number of nodes that report to this one, including itself.
    pub reporting: u32,
    /// Retries of this node that a peer may not know.
    pub unacknowledged: u32,
    /// Retries that this node may count at most.
    pub allowed: f64,
}

/// Latest report of a peer.
#[derive(Clone, Copy, Debug)]
struct PeerUse {
    at: Instant,
    requests: u32,
    total: u32,
}

impl PeerUse {
    fn is_recent(&self, now: Instant) -> bool {
        now < self.at + PEER_REPORT_TTL
    }
}

impl Budgets {
    /// Creates budgets without any use, for the first start of the whole system.
    pub fn new(allowance: Allowance) -> Budgets {
        let start = Start { at: Instant::now(), is_first: true };
        Budgets { allowance, start, services: Rc::default(), exchange: Rc::default() }
    }

    /// Creates budgets of a system that may have run before, with an unknown number of retries.
    pub fn restarted(allowance: Allowance) -> Budgets {
        let start = Start { at: Instant::now(), is_first: false };
        Budgets { allowance, start, services: Rc::default(), exchange: Rc::default() }
    }

    /// Counts a request.
    pub fn count_request(&self, service: &str) {
        self.with(service, |budget| budget.count_request(Instant::now()));
    }

    /// Takes one retry, as one of `nodes` nodes; returns false if the budget is exhausted.
    pub fn try_take(&self, service: &str, nodes: usize) -> bool {
        let exchange = self.exchange.borrow();
        self.with(service, |budget| budget.try_take(Instant::now(), &exchange, nodes))
    }

    /// Returns whether one of `nodes` nodes could take a retry.
    pub fn has_retry(&self, service: &str, nodes: usize) -> bool {
        let exchange = self.exchange.borrow();
        self.with(service, |budget| budget.has_retry(Instant::now(), &exchange, nodes))
    }

    /// Returns what a decision on a retry of one of `nodes` nodes goes by.
    pub fn usage(&self, service: &str, nodes: usize) -> Usage {
        let exchange = self.exchange.borrow();
        self.with(service, |budget| budget.usage(Instant::now(), &exchange, nodes))
    }

    /// Returns the use of all budgets with requests or retries in the window, for peers. Must be called once
    /// a second.
    pub fn snapshot(&self) -> BudgetReport {
        let uses = self.report(|budget| budget.is_used(Instant::now()));
        let mut exchange = self.exchange.borrow_mut();
        if uses.is_empty() {
            exchange.skip();
            return BudgetReport::default();
        }
        BudgetReport { uses, receipts: Some(exchange.send(Instant::now())) }
    }

    /// Returns the time at which a snapshot is due earlier, as a peer that has started waits for it.
    pub fn snapshot_due(&self) -> Option<Instant> {
        self.exchange.borrow().due()
    }

    /// Returns the use of the budgets from which retries were taken since the last call, for peers.
    pub fn take_update(&self) -> BudgetReport {
        let uses = self.report(|budget| std::mem::take(&mut budget.dirty));
        BudgetReport { uses, receipts: None }
    }

    /// Applies a report from a peer.
    pub fn apply(&self, from: &CompactString, report: &BudgetReport) {
        for used in &report.uses {
            self.with(&used.service, |budget| budget.apply(Instant::now(), from, used));
        }
        if let Some(receipts) = &report.receipts {
            self.exchange.borrow_mut().receive(Instant::now(), from, receipts);
        }
    }

    fn report(&self, mut relevant: impl FnMut(&mut Budget) -> bool) -> Vec<BudgetUse> {
        let now = Instant::now();
        let mut services = self.services.borrow_mut();
        let services = services.iter_mut().filter_map(|(service, budget)| {
            relevant(budget).then(|| budget.used(now, service.clone()))
        });
        services.collect()
    }

    fn with<T>(&self, service: &str, work: impl FnOnce(&mut Budget) -> T) -> T {
        let mut services = self.services.borrow_mut();
        if !services.contains_key(service) {
            services.insert(service.into(), Budget::new(self.allowance, self.start));
        }
        work(services.get_mut(service).expect("the budget was inserted"))
    }
}

impl Budget {
    /// Creates a budget without any use.
    fn new(allowance: Allowance, start: Start) -> Budget {
        let unknown = if start.is_first { Duration::ZERO } else { retention(allowance.window) };
        Budget {
            allowance,
            known_at: start.at + unknown,
            joined_at: start.at + unknown,
            buckets: VecDeque::new(),
            total: 0,
            peers: FxHashMap::default(),
            dirty: false,
        }
    }

    /// Counts a request.
    fn count_request(&mut self, now: Instant) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes one retry, as one of `nodes` nodes; returns false if the budget is exhausted.
    fn try_take(&mut self, now: Instant, exchange: &Exchange, nodes: usize) -> bool {
        let free = self.has_retry(now, exchange, nodes);
        if free {
            self.current_bucket(now).retries += 1;
            self.total += 1;
            self.dirty = true;
        }
        free
    }

    fn has_retry(&mut self, now: Instant, exchange: &Exchange, nodes: usize) -> bool {
        let usage = self.usage(now, exchange, nodes);
        let Usage { retries, unreported, unacknowledged, reporting, allowed, .. } = usage;
        let is_left = f64::from(retries + unreported) + 1.0 <= allowed;
        is_left && f64::from(unacknowledged) + 1.0 <= allowed / f64::from(reporting)
    }

    fn usage(&mut self, now: Instant, exchange: &Exchange, nodes: usize) -> Usage {
        let (mut requests, _) = self.own_use(now);
        let (mut peers, mut acknowledged) = (0, now);
        for (name, peer) in self.peers.iter().filter(|(_, peer)| peer.is_recent(now)) {
            let Some(at) = exchange.acknowledged(now, name) else { continue };
            requests += peer.requests;
            peers += 1;
            acknowledged = acknowledged.min(at);
        }
        let reporting = peers + 1;
        let retries = self.known_retries(now);
        let is_prompt = now <= acknowledged + PROMPT_AGE;
        let prompt = now.checked_sub(REPORT_INTERVAL).filter(|_| is_prompt);
        let unreported = self.unreported_retries(now, prompt.unwrap_or(acknowledged), peers);
        let unacknowledged = self.recent(now, acknowledged).map(|p| p.retries).sum();
        let (margin, startup_share) = match now < self.known_at {
            true => (STARTUP_MARGIN, STARTUP_SHARE),
            false => (MARGIN, 1.0),
        };
        let nodes = f64::from(reporting).max(nodes as f64);
        let share = startup_share * f64::from(reporting) / nodes;
        let allowed = self.allowance.ratio * f64::from(requests) + self.allowance.slack * share;
        let allowed = allowed * margin;
        Usage { requests, retries, unreported, reporting, unacknowledged, allowed }
    }

    /// Returns this node's use of the budget, for peers.
    fn used(&mut self, now: Instant, service: CompactString) -> BudgetUse {
        let (requests, retries) = self.own_use(now);
        let known = (now >= self.known_at).then(|| self.known_retries(now));
        BudgetUse { service, requests, retries, total: self.total, known }
    }

    /// Applies a peer's use of the budget.
    fn apply(&mut self, now: Instant, from: &CompactString, used: &BudgetUse) {
        let BudgetUse { requests, retries, total, known, .. } = *used;
        let window = retention(self.allowance.window);
        self.peers.retain(|_, peer| now < peer.at + window);
        let mut inherited = 0;
        let new = match self.peers.get(from) {
            Some(peer) if peer.total <= total => total - peer.total,
            // The peer has restarted.
            Some(_) if total == retries => total,
            // A later report has overtaken this one.
            Some(_) => return,
            None => match known.filter(|_| now < self.joined_at) {
                Some(known) => {
                    inherited = known.saturating_sub(self.reported_retries(now));
                    0
                }
                None => retries,
            },
        };
        let bucket = self.current_bucket(now);
        bucket.reported += new;
        bucket.inherited += inherited;
        if known.is_some() {
            self.known_at = self.known_at.min(now);
        }
        self.peers.insert(from.clone(), PeerUse { at: now, requests, total });
    }

    fn is_used(&mut self, now: Instant) -> bool {
        self.own_use(now).0 > 0 || self.known_retries(now) > 0
    }

    /// Returns the number of retries of all nodes within the window.
    fn known_retries(&mut self, now: Instant) -> u32 {
        self.own_use(now).1 + self.reported_retries(now)
    }

    /// Returns the number of retries that `peers` peers may not have reported yet. Failures affect all nodes at
    /// the same time, so each peer may have taken as many as this node since their reports.
    fn unreported_retries(&mut self, now: Instant, reported_at: Instant, peers: u32) -> u32 {
        let (retries, reported) = self
            .recent(now, reported_at)
            .fold((0, 0), |(retries, reported), p| (retries + p.retries, reported + p.reported));
        (retries * peers).saturating_sub(reported)
    }

    /// Returns the buckets that have not ended at `since`.
    fn recent(&mut self, now: Instant, since: Instant) -> impl Iterator<Item = &Bucket> {
        self.current_bucket(now);
        let length = self.allowance.window / BUCKETS;
        self.buckets.iter().filter(move |p| since < p.start + length)
    }

    fn reported_retries(&mut self, now: Instant) -> u32 {
        self.current_bucket(now);
        self.buckets.iter().map(|p| p.reported + p.inherited).sum()
    }

    /// Returns the numbers of requests and retries of this node within the window.
    fn own_use(&mut self, now: Instant) -> (u32, u32) {
        self.current_bucket(now);
        let window = self.allowance.window;
        let requests = self.buckets.iter().filter(|p| now < p.start + window);
        let retries = self.buckets.iter().map(|p| p.retries).sum();
        (requests.map(|p| p.requests).sum(), retries)
    }

    /// Returns the current bucket, after dropping expired ones.
    fn current_bucket(&mut self, now: Instant) -> &mut Bucket {
        let window = self.allowance.window;
        while self.buckets.front().is_some_and(|p| now >= p.start + retention(window)) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|p| now >= p.start + window / BUCKETS) {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
                reported: 0,
                inherited: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was pushed")
    }
}

/// Returns the time for which the retries of a bucket count. The last one is taken at the end of the bucket,
/// and may reach its runner later.
fn retention(window: Duration) -> Duration {
    window + window / BUCKETS + MAX_SEND_DELAY
}
