//! Deterministic simulation of runner selection policies with six nodes, twenty runners, and
//! delayed load reports and cache events, some of which are lost. Prints prefix hits, time to first
//! token and load.
//!
//! `cargo run --release -p bilberryfront-decide --example spread`

use {
    bilberryfront_decide::{
        Action, Core, Event, Location,
        catalog::{Access, Account, Catalog, CatalogDoc, Class, Entry, Kind, Limits},
        event::{Done, Purpose, RunnerRequest, Verdict},
        id::{AccountKey, EntryKey, RunnerKey, Ticket},
    },
    bilberryfront_wire::{
        instance::{Instance, InstanceKind, InstanceList, InstanceState},
        runner::{CacheEvent, LoadReport},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
    tokio::time::Instant,
};

const NODES: usize = 6;
const RUNNERS: usize = 20;
const DOMAINS: usize = 3;
const SLOTS: usize = 8;
/// Number of prefixes that a runner's cache holds, and of all requested prefixes.
const CACHED_PREFIXES: usize = 40;
const PREFIXES: usize = 600;
/// Duration of one step of simulated time, and number of steps.
const STEP_MS: u64 = 10;
const STEPS: u64 = 30_000;
/// Interval of a runner's reports, and their age on arrival.
const REPORT_PERIOD_STEPS: u64 = 50;
/// Probability that a cache event is lost.
const EVENT_LOSS_RATE: f64 = 0.05;
/// Work of a prefill without and with its prefix in the cache, and of decoding.
const UNCACHED_PREFILL_STEPS: f64 = 150.0;
const CACHED_PREFILL_STEPS: f64 = 20.0;
const DECODE_STEPS: std::ops::Range<f64> = 200.0..600.0;

/// Runner selection policy.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// A random runner.
    Random,
    /// The least loaded runner according to the last reports, ignoring the node's own requests.
    Reported,
    /// The core without prefixes: the less loaded of two random runners, local domain first.
    Two,
    /// The core with prefixes hashed differently in each domain.
    Apart,
    /// The unmodified core.
    Core,
}

fn main() {
    println!(
        "{:>5} {:>9} {:>6} {:>9} {:>9} {:>9} {:>8} {:>8}",
        "load", "policy", "hits", "p50 first", "p99 first", "p99 load", "max load", "refused"
    );
    for load in [0.5, 0.7, 0.85] {
        for policy in [Policy::Random, Policy::Reported, Policy::Two, Policy::Apart, Policy::Core] {
            Simulation::new(policy).run(load);
        }
    }
}

/// A request at a runner.
struct Job {
    node: usize,
    ticket: Ticket,
    requested_at: u64,
    prefill: f64,
    decode: f64,
}

/// Simulated model engine with a small prefix cache, and with continuous batching that slows down
/// when there are more requests than slots.
#[derive(Default)]
struct Engine {
    jobs: Vec<Job>,
    cache: VecDeque<u64>,
    events: Vec<CacheEvent>,
    sequence: u64,
}

impl Engine {
    fn use_prefix(&mut self, prefix: u64) -> bool {
        let position = self.cache.iter().position(|p| *p == prefix);
        match position {
            Some(position) => _ = self.cache.remove(position),
            None => self.push_event(prefix, true),
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED_PREFIXES {
            let oldest = self.cache.pop_front().expect("the cache is over its capacity");
            self.push_event(oldest, false);
        }
        position.is_some()
    }

    fn push_event(&mut self, prefix: u64, held: bool) {
        self.sequence += 1;
        self.events.push(CacheEvent { sequence: self.sequence, prefix, held });
    }
}

struct Simulation {
    policy: Policy,
    rng: SmallRng,
    nodes: Vec<Core>,
    entry: EntryKey,
    account: AccountKey,
    keys: Vec<Vec<RunnerKey>>,
    engines: Vec<Engine>,
    /// Reports in transit, one per runner.
    reports: Vec<LoadReport>,
    /// Start step and prefix of each request that is not at a runner yet.
    pending: BTreeMap<Ticket, (u64, u64)>,
    start: Instant,
    first_token_ms: Vec<u64>,
    loads: Vec<usize>,
    hits: u64,
    sent: u64,
    rejected: u64,
}

impl Simulation {
    fn new(policy: Policy) -> Simulation {
        let catalog = Arc::new(Catalog::default().updated(1, &catalog_doc()));
        let start = Instant::now();
        let place = |i: usize| Location { region: "r".into(), domain: domain(i) };
        let mut nodes = (0..NODES).map(|i| Core::new(i as u64 + 1, place(i))).collect::<Vec<_>>();
        for core in &mut nodes {
            core.step(
                start,
                Event::Catalog { revision: catalog.revision, doc: Arc::new(catalog.doc()) },
                &mut Vec::new(),
            );
            core.step(start, Event::Instances(instance_list()), &mut Vec::new());
        }
        let keys = nodes.iter().map(|c| c.runners().map(|(k, _)| k).collect()).collect();
        Simulation {
            policy,
            rng: SmallRng::seed_from_u64(42),
            nodes,
            entry: catalog.entry("model").expect("the entry was just made"),
            account: catalog.account("desk").expect("the account was just made"),
            keys,
            engines: (0..RUNNERS).map(|_| Engine::default()).collect(),
            reports: (0..RUNNERS).map(|_| load_report(0, Vec::new())).collect(),
            pending: BTreeMap::new(),
            start,
            first_token_ms: Vec::new(),
            loads: Vec::new(),
            hits: 0,
            sent: 0,
            rejected: 0,
        }
    }

    fn run(mut self, load: f64) {
        let mean = f64::midpoint(DECODE_STEPS.start, DECODE_STEPS.end)
            + f64::midpoint(UNCACHED_PREFILL_STEPS, CACHED_PREFILL_STEPS);
        let rate = load * (RUNNERS * SLOTS) as f64 / mean;
        let weights = zipf_weights();
        for step in 0..STEPS {
            let arrivals = rate.floor() as u32 + u32::from(self.rng.random_bool(rate.fract()));
            (0..arrivals).for_each(|_| self.submit_request(step, &weights));
            self.run_engines(step);
            if step % REPORT_PERIOD_STEPS == 0 {
                self.deliver_reports(step);
            }
            if step % 5 == 0 {
                (0..NODES).for_each(|n| self.handle_event(step, n, Event::Tick));
                self.loads.extend(self.engines.iter().map(|e| e.jobs.len()));
            }
        }
        self.print_results(load);
    }

    fn submit_request(&mut self, step: u64, weights: &[f64]) {
        let target = self.rng.random_range(0.0..weights[PREFIXES - 1]);
        let prefix = weights.partition_point(|sum| *sum < target) as u64;
        let node = self.rng.random_range(0..NODES);
        let ticket = Ticket(self.sent + self.rejected + self.pending.len() as u64);
        self.pending.insert(ticket, (step, prefix));
        match self.policy {
            Policy::Random => {
                let runner = self.rng.random_range(0..RUNNERS);
                self.start_job(node, runner, ticket);
            }
            Policy::Reported => {
                let reported = |r: &usize| self.reports[*r].running;
                let runner = (0..RUNNERS).min_by_key(reported).expect("there are runners");
                self.start_job(node, runner, ticket);
            }
            Policy::Two | Policy::Apart | Policy::Core => {
                let prefix = (self.policy != Policy::Two).then(|| self.domain_prefix(node, prefix));
                let request = RunnerRequest {
                    ticket,
                    entry: self.entry,
                    account: self.account,
                    prefix,
                    pin: None,
                    avoid: None,
                    purpose: Purpose::First,
                };
                self.handle_event(step, node, Event::Request(request));
            }
        }
    }

    /// Returns the prefix as used by a node; with [`Policy::Apart`] it differs between domains.
    fn domain_prefix(&self, node: usize, prefix: u64) -> u64 {
        let salt = if self.policy == Policy::Apart { node % DOMAINS } else { 0 };
        prefix ^ ((salt as u64) << 32)
    }

    fn handle_event(&mut self, step: u64, node: usize, event: Event) {
        let mut out = Vec::new();
        let now = self.start + Duration::from_millis(step * STEP_MS);
        self.nodes[node].step(now, event, &mut out);
        for action in out {
            match action {
                Action::Grant(grant) => {
                    let runner = self.keys[node].iter().position(|k| *k == grant.runner);
                    self.start_job(node, runner.expect("a known runner"), grant.ticket);
                }
                Action::Reject(rejection) => {
                    self.pending.remove(&rejection.ticket);
                    self.rejected += 1;
                }
            }
        }
    }

    fn start_job(&mut self, node: usize, runner: usize, ticket: Ticket) {
        let (requested_at, prefix) = self.pending.remove(&ticket).expect("the request is pending");
        let hit = self.engines[runner].use_prefix(prefix);
        self.sent += 1;
        self.hits += u64::from(hit);
        let prefill = if hit { CACHED_PREFILL_STEPS } else { UNCACHED_PREFILL_STEPS };
        let decode = self.rng.random_range(DECODE_STEPS);
        self.engines[runner].jobs.push(Job { node, ticket, requested_at, prefill, decode });
    }

    /// Simulates one step of each engine.
    fn run_engines(&mut self, step: u64) {
        let mut ended = Vec::new();
        for engine in &mut self.engines {
            let speed = (SLOTS as f64 / engine.jobs.len() as f64).min(1.0);
            for job in &mut engine.jobs {
                let first = job.prefill > 0.0;
                if first {
                    job.prefill -= speed;
                } else {
                    job.decode -= speed;
                }
                if first && job.prefill <= 0.0 {
                    self.first_token_ms.push((step - job.requested_at) * STEP_MS);
                }
            }
            ended.extend(engine.jobs.extract_if(.., |j| j.decode <= 0.0));
        }
        for Job { node, ticket, .. } in ended {
            let done =
                Done { ticket, verdict: Verdict::Ok, first: None, tokens: 1, will_retry: false };
            self.handle_event(step, node, Event::Done(done));
        }
    }

    /// Delivers the reports of the previous period to every node and creates new ones.
    fn deliver_reports(&mut self, step: u64) {
        for runner in 0..RUNNERS {
            let engine = &mut self.engines[runner];
            let events = std::mem::take(&mut engine.events);
            let remaining =
                events.into_iter().filter(|_| !self.rng.random_bool(EVENT_LOSS_RATE)).collect();
            let next = load_report(engine.jobs.len() as u32, remaining);
            let reported = std::mem::replace(&mut self.reports[runner], next);
            for node in 0..NODES {
                let mut report = reported.clone();
                for event in &mut report.cache {
                    event.prefix = self.domain_prefix(node, event.prefix);
                }
                let runner = self.keys[node][runner];
                self.handle_event(step, node, Event::Load { runner, report });
            }
        }
    }

    fn print_results(mut self, load: f64) {
        self.first_token_ms.sort_unstable();
        self.loads.sort_unstable();
        let first = |q: f64| self.first_token_ms[(self.first_token_ms.len() as f64 * q) as usize];
        let slots = |n: usize| n as f64 / SLOTS as f64;
        println!(
            "{load:>5} {:>9} {:>5.1}% {:>6} ms {:>6} ms {:>9.2} {:>8.2} {:>8}",
            format!("{:?}", self.policy).to_lowercase(),
            self.hits as f64 * 100.0 / self.sent as f64,
            first(0.5),
            first(0.99),
            slots(self.loads[self.loads.len() * 99 / 100]),
            slots(*self.loads.last().expect("loads were recorded")),
            self.rejected,
        );
    }
}

/// Returns the cumulative weights of all prefixes. The weight of the n-th prefix is 1/n.
fn zipf_weights() -> Vec<f64> {
    let weights = (1..=PREFIXES).map(|n| 1.0 / n as f64);
    weights
        .scan(0.0, |sum, w| {
            *sum += w;
            Some(*sum)
        })
        .collect()
}

fn load_report(running: u32, cache: Vec<CacheEvent>) -> LoadReport {
    LoadReport {
        version: "v1".into(),
        running,
        waiting: 0,
        slots: SLOTS as u32,
        leaving: false,
        cache,
    }
}

fn domain(i: usize) -> compact_str::CompactString {
    ["a", "b", "c"][i % DOMAINS].into()
}

fn instance_list() -> InstanceList {
    let instance = |i: usize| Instance {
        name: format!("runner-{i}").into(),
        kind: InstanceKind::Engine,
        url: format!("http://runner-{i}").into(),
        domain: domain(i),
        entry: "model".into(),
        version: "v1".into(),
        state: InstanceState::Live,
        fenced: false,
        peer: None,
    };
    InstanceList { revision: 1, instances: (0..RUNNERS).map(instance).collect() }
}

fn catalog_doc() -> CatalogDoc {
    CatalogDoc {
        accounts: vec![Account { name: "desk".into(), keys: Vec::new() }],
        entries: vec![Entry {
            name: "model".into(),
            owner: "desk".into(),
            class: Class::Interactive,
            kind: Kind::Engine,
            versions: vec!["v1".into()],
            version: "v1".into(),
            limits: Limits { concurrent: 100_000, ..Limits::default() },
            accounts: vec![Access { account: "desk".into(), concurrent: 100_000 }],
        }],
    }
}
