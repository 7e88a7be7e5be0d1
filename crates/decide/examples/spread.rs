//! A small deterministic trial of ways to choose a runner: six nodes, twenty runners, load reports
//! and cache events that come late and with gaps. Prints prefix hits, time to first token and load.
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
/// Prefixes that a runner's cache holds, of all that are asked for.
const CACHE: usize = 40;
const PREFIXES: usize = 600;
/// One step of simulated time, in milliseconds, and their number.
const STEP: u64 = 10;
const STEPS: u64 = 30_000;
/// Steps between two reports of a runner, and how old a report is.
const PERIOD: u64 = 50;
/// Chance that a cache event is lost.
const LOSS: f64 = 0.05;
/// Work of a prefill without and with its prefix in the cache, and of the rest, in steps.
const COLD: f64 = 150.0;
const WARM: f64 = 20.0;
const DECODE: std::ops::Range<f64> = 200.0..600.0;

/// How runners are chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// Any runner.
    Random,
    /// The least loaded by the last report, own sends uncounted.
    Reported,
    /// The core, told of no prefix: the less loaded of two, own domain first.
    Two,
    /// The core, with homes of prefixes that differ from domain to domain.
    Apart,
    /// The core as it is.
    Core,
}

fn main() {
    println!(
        "{:>5} {:>9} {:>6} {:>9} {:>9} {:>9} {:>8} {:>8}",
        "load", "policy", "hits", "p50 first", "p99 first", "p99 load", "max load", "refused"
    );
    for load in [0.5, 0.7, 0.85] {
        for policy in [Policy::Random, Policy::Reported, Policy::Two, Policy::Apart, Policy::Core] {
            Trial::new(policy).run(load);
        }
    }
}

/// A request at a runner.
struct Job {
    node: usize,
    ticket: Ticket,
    asked: u64,
    prefill: f64,
    decode: f64,
}

/// A model engine: continuous batching that slows down past its slots, and a small prefix cache.
#[derive(Default)]
struct Engine {
    jobs: Vec<Job>,
    cache: VecDeque<u64>,
    events: Vec<CacheEvent>,
    sequence: u64,
}

impl Engine {
    fn touch(&mut self, prefix: u64) -> bool {
        let at = self.cache.iter().position(|p| *p == prefix);
        match at {
            Some(at) => _ = self.cache.remove(at),
            None => self.tell(prefix, true),
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE {
            let oldest = self.cache.pop_front().expect("it is over-full");
            self.tell(oldest, false);
        }
        at.is_some()
    }

    fn tell(&mut self, prefix: u64, held: bool) {
        self.sequence += 1;
        self.events.push(CacheEvent { sequence: self.sequence, prefix, held });
    }
}

struct Trial {
    policy: Policy,
    rng: SmallRng,
    nodes: Vec<Core>,
    entry: EntryKey,
    account: AccountKey,
    keys: Vec<Vec<RunnerKey>>,
    engines: Vec<Engine>,
    /// Reports on their way, one a runner.
    reports: Vec<LoadReport>,
    /// When each request was asked for, and its prefix.
    open: BTreeMap<Ticket, (u64, u64)>,
    start: Instant,
    firsts: Vec<u64>,
    loads: Vec<usize>,
    hits: u64,
    sent: u64,
    refused: u64,
}

impl Trial {
    fn new(policy: Policy) -> Trial {
        let catalog = Arc::new(Catalog::default().updated(1, &doc()));
        let start = Instant::now();
        let place = |i: usize| Location { region: "r".into(), domain: domain(i) };
        let mut nodes = (0..NODES).map(|i| Core::new(i as u64 + 1, place(i))).collect::<Vec<_>>();
        for core in &mut nodes {
            core.step(
                start,
                Event::Catalog { revision: catalog.revision, doc: Arc::new(catalog.doc()) },
                &mut Vec::new(),
            );
            core.step(start, Event::Instances(list()), &mut Vec::new());
        }
        let keys = nodes.iter().map(|c| c.runners().map(|(k, _)| k).collect()).collect();
        Trial {
            policy,
            rng: SmallRng::seed_from_u64(42),
            nodes,
            entry: catalog.entry("model").expect("the entry was just made"),
            account: catalog.account("desk").expect("the account was just made"),
            keys,
            engines: (0..RUNNERS).map(|_| Engine::default()).collect(),
            reports: (0..RUNNERS).map(|_| report(0, Vec::new())).collect(),
            open: BTreeMap::new(),
            start,
            firsts: Vec::new(),
            loads: Vec::new(),
            hits: 0,
            sent: 0,
            refused: 0,
        }
    }

    fn run(mut self, load: f64) {
        let mean = f64::midpoint(DECODE.start, DECODE.end) + f64::midpoint(COLD, WARM);
        let rate = load * (RUNNERS * SLOTS) as f64 / mean;
        let zipf = zipf();
        for step in 0..STEPS {
            let arrivals = rate.floor() as u32 + u32::from(self.rng.random_bool(rate.fract()));
            (0..arrivals).for_each(|_| self.arrive(step, &zipf));
            self.work(step);
            if step % PERIOD == 0 {
                self.report(step);
            }
            if step % 5 == 0 {
                (0..NODES).for_each(|n| self.event(step, n, Event::Tick));
                self.loads.extend(self.engines.iter().map(|e| e.jobs.len()));
            }
        }
        self.print(load);
    }

    fn arrive(&mut self, step: u64, zipf: &[f64]) {
        let at = self.rng.random_range(0.0..zipf[PREFIXES - 1]);
        let prefix = zipf.partition_point(|sum| *sum < at) as u64;
        let node = self.rng.random_range(0..NODES);
        let ticket = Ticket(self.sent + self.refused + self.open.len() as u64);
        self.open.insert(ticket, (step, prefix));
        match self.policy {
            Policy::Random => {
                let runner = self.rng.random_range(0..RUNNERS);
                self.send(node, runner, ticket);
            }
            Policy::Reported => {
                let told = |r: &usize| self.reports[*r].running;
                let runner = (0..RUNNERS).min_by_key(told).expect("there are runners");
                self.send(node, runner, ticket);
            }
            Policy::Two | Policy::Apart | Policy::Core => {
                let prefix = (self.policy != Policy::Two).then(|| self.salted(node, prefix));
                let ask = RunnerRequest {
                    ticket,
                    entry: self.entry,
                    account: self.account,
                    prefix,
                    pin: None,
                    avoid: None,
                    purpose: Purpose::First,
                };
                self.event(step, node, Event::Request(ask));
            }
        }
    }

    /// With homes apart each domain hashes a prefix differently.
    fn salted(&self, node: usize, prefix: u64) -> u64 {
        let salt = if self.policy == Policy::Apart { node % DOMAINS } else { 0 };
        prefix ^ ((salt as u64) << 32)
    }

    fn event(&mut self, step: u64, node: usize, event: Event) {
        let mut out = Vec::new();
        let now = self.start + Duration::from_millis(step * STEP);
        self.nodes[node].step(now, event, &mut out);
        for action in out {
            match action {
                Action::Grant(grant) => {
                    let runner = self.keys[node].iter().position(|k| *k == grant.runner);
                    self.send(node, runner.expect("a known runner"), grant.ticket);
                }
                Action::Reject(refuse) => {
                    self.open.remove(&refuse.ticket);
                    self.refused += 1;
                }
            }
        }
    }

    fn send(&mut self, node: usize, runner: usize, ticket: Ticket) {
        let (asked, prefix) = self.open.remove(&ticket).expect("it was asked for");
        let hit = self.engines[runner].touch(prefix);
        self.sent += 1;
        self.hits += u64::from(hit);
        let prefill = if hit { WARM } else { COLD };
        let decode = self.rng.random_range(DECODE);
        self.engines[runner].jobs.push(Job { node, ticket, asked, prefill, decode });
    }

    /// Each engine works for one step.
    fn work(&mut self, step: u64) {
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
                    self.firsts.push((step - job.asked) * STEP);
                }
            }
            ended.extend(engine.jobs.extract_if(.., |j| j.decode <= 0.0));
        }
        for Job { node, ticket, .. } in ended {
            let done =
                Done { ticket, verdict: Verdict::Ok, first: None, tokens: 1, will_retry: false };
            self.event(step, node, Event::Done(done));
        }
    }

    /// Every node gets the reports made a period ago, and new ones set out.
    fn report(&mut self, step: u64) {
        for runner in 0..RUNNERS {
            let engine = &mut self.engines[runner];
            let events = std::mem::take(&mut engine.events);
            let kept = events.into_iter().filter(|_| !self.rng.random_bool(LOSS)).collect();
            let next = report(engine.jobs.len() as u32, kept);
            let told = std::mem::replace(&mut self.reports[runner], next);
            for node in 0..NODES {
                let mut report = told.clone();
                for event in &mut report.cache {
                    event.prefix = self.salted(node, event.prefix);
                }
                let runner = self.keys[node][runner];
                self.event(step, node, Event::Load { runner, report });
            }
        }
    }

    fn print(mut self, load: f64) {
        self.firsts.sort_unstable();
        self.loads.sort_unstable();
        let first = |q: f64| self.firsts[(self.firsts.len() as f64 * q) as usize];
        let slots = |n: usize| n as f64 / SLOTS as f64;
        println!(
            "{load:>5} {:>9} {:>5.1}% {:>6} ms {:>6} ms {:>9.2} {:>8.2} {:>8}",
            format!("{:?}", self.policy).to_lowercase(),
            self.hits as f64 * 100.0 / self.sent as f64,
            first(0.5),
            first(0.99),
            slots(self.loads[self.loads.len() * 99 / 100]),
            slots(*self.loads.last().expect("loads were taken")),
            self.refused,
        );
    }
}

/// Running sums of the weights of all prefixes: the n-th is asked for in proportion to 1/n.
fn zipf() -> Vec<f64> {
    let weights = (1..=PREFIXES).map(|n| 1.0 / n as f64);
    weights
        .scan(0.0, |sum, w| {
            *sum += w;
            Some(*sum)
        })
        .collect()
}

fn report(running: u32, cache: Vec<CacheEvent>) -> LoadReport {
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

fn list() -> InstanceList {
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

fn doc() -> CatalogDoc {
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
