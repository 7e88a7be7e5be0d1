//! Cost of a decision, a request and its end, at current and at design sizes.

use {
    bilberryfront_decide::{
        Action, Core, Event, Location,
        catalog::{Access, Account, Catalog, CatalogDoc, Class, Entry, Kind, Limits},
        event::{Done, PeerUse, Purpose, RunnerRequest, Verdict},
        id::{AccountKey, EntryKey, Ticket},
    },
    bilberryfront_wire::{
        instance::{Instance, InstanceKind, InstanceList, InstanceState},
        runner::{CacheEvent, LoadReport},
    },
    std::{collections::VecDeque, sync::Arc, time::Duration},
    tokio::time::Instant,
};

const ENTRIES: usize = 3;
const ACCOUNTS: usize = 750;
const DOMAINS: usize = 9;
/// Number of requests running at the node at any time.
const CONCURRENT_REQUESTS: usize = 200;
const MEASURED_REQUESTS: u64 = 200_000;
/// Number of prefixes that each polled runner reports.
const PREFIXES_PER_RUNNER: u64 = 500;

/// Runs all measurements and prints the results.
pub(crate) fn run() {
    print_memory();
    println!(
        "{:>8} {:>6} {:>12} {:>10} {:>8}",
        "runners", "nodes", "ns/decision", "ns/queued", "µs/list"
    );
    for runners in [30, 300, 4_900] {
        for nodes in [6, 1_100] {
            let row = measure(runners, nodes);
            println!(
                "{runners:>8} {nodes:>6} {:>12} {:>10} {:>8}",
                row.decision.as_nanos(),
                row.queued.as_nanos(),
                row.list.as_micros(),
            );
        }
    }
}

/// Prints the resident memory used by a core of the design size. It must run first, because later
/// cores reuse memory freed by earlier ones.
fn print_memory() {
    let list = instance_list(4_900, 1_100);
    let before = resident_bytes();
    let core = core(&list, 1_000_000);
    let growth_kib = resident_bytes().saturating_sub(before) / 1024;
    let watched = core.polled().count();
    println!("4900 runners, {watched} of them watched, 1100 nodes: {growth_kib} KiB resident");
}

struct Row {
    /// Mean time of a request, its grant and its end.
    decision: Duration,
    /// Mean time of the same with full queues.
    queued: Duration,
    /// Time to apply an unchanged instance list.
    list: Duration,
}

fn measure(runners: usize, nodes: usize) -> Row {
    let list = instance_list(runners, nodes);
    let mut core = core(&list, 1_000_000);
    let decision = measure_decisions(&mut core, nodes, false);
    let now = Instant::now();
    let started = Instant::now();
    core.step(now, Event::Instances(list.clone()), &mut Vec::new());
    let repeated_list = started.elapsed();
    let share = CONCURRENT_REQUESTS / ENTRIES;
    let mut full = self::core(&list, (share * nodes) as u32);
    Row { decision, queued: measure_decisions(&mut full, nodes, true), list: repeated_list }
}

/// Creates a core with this limit per entry and with the instance list, in which all polled runners
/// have reported load and cache.
fn core(list: &InstanceList, concurrent: u32) -> Core {
    let place = Location { region: "region-0".into(), domain: "domain-0".into() };
    let mut core = Core::new(1, place);
    let now = Instant::now();
    let catalog = Arc::new(Catalog::default().updated(1, &catalog_doc(concurrent)));
    core.step(
        now,
        Event::Catalog { revision: catalog.revision, doc: Arc::new(catalog.doc()) },
        &mut Vec::new(),
    );
    core.step(now, Event::Instances(list.clone()), &mut Vec::new());
    report_load(&mut core, now);
    core
}

fn measure_decisions(core: &mut Core, nodes: usize, queued: bool) -> Duration {
    let entries = core.catalog().entries.keys().collect::<Vec<_>>();
    let accounts = core.catalog().accounts.keys().collect::<Vec<_>>();
    let running = if queued { 0 } else { 10 };
    let now = Instant::now();
    let peers = Event::Peers(peer_use(nodes, &entries, &accounts, running));
    core.step(now, peers, &mut Vec::new());
    run_decisions(core, now, &entries, &accounts, queued)
}

/// Returns the mean time of a request and its end. With `queued` the shares of the entries are used
/// up and their queues are full, so that each request sheds another one and each end grants one.
fn run_decisions(
    core: &mut Core,
    now: Instant,
    entries: &[EntryKey],
    accounts: &[AccountKey],
    queued: bool,
) -> Duration {
    let mut out = Vec::new();
    let mut running = VecDeque::new();
    let mut started = Instant::now();
    let warm_up = 1_000;
    for i in 0..MEASURED_REQUESTS + warm_up {
        if i == warm_up {
            started = Instant::now();
        }
        let request = RunnerRequest {
            ticket: Ticket(i),
            entry: entries[i as usize % entries.len()],
            account: accounts[i as usize * 7 % accounts.len()],
            prefix: Some(i * 31 % 20_000),
            pin: None,
            avoid: None,
            purpose: Purpose::First,
        };
        core.step(now, Event::Request(request), &mut out);
        if running.len() >= CONCURRENT_REQUESTS || queued && i >= warm_up {
            let ticket = running.pop_front().expect("requests are running");
            let done =
                Done { ticket, verdict: Verdict::Ok, first: None, tokens: 1, will_retry: false };
            core.step(now, Event::Done(done), &mut out);
        }
        for action in out.drain(..) {
            match action {
                Action::Grant(grant) => running.push_back(grant.ticket),
                Action::Reject(_) => assert!(queued, "a request was rejected without full queues"),
            }
        }
    }
    started.elapsed() / MEASURED_REQUESTS as u32
}

/// Reports load and cache of each polled runner.
fn report_load(core: &mut Core, now: Instant) {
    let watched = core.polled().map(|(k, r)| (k, r.version.clone())).collect::<Vec<_>>();
    for (n, (runner, version)) in watched.into_iter().enumerate() {
        let prefix = |i| (n as u64 * 101 + i * 17) % 20_000;
        let cache = (1..=PREFIXES_PER_RUNNER).map(|i| CacheEvent {
            sequence: i,
            prefix: prefix(i),
            held: true,
        });
        let cache = cache.collect();
        let report =
            LoadReport { version, running: 4, waiting: 0, slots: 64, leaving: false, cache };
        core.step(now, Event::Load { runner, report }, &mut Vec::new());
    }
}

fn peer_use(nodes: usize, entries: &[EntryKey], accounts: &[AccountKey], running: u32) -> PeerUse {
    let pairs = entries.iter().flat_map(|&e| accounts.iter().map(move |&a| (e, a, running)));
    PeerUse { nodes: nodes as u32 - 1, running: pairs.collect() }
}

fn instance_list(runners: usize, nodes: usize) -> InstanceList {
    let runner = |i: usize| instance(format!("runner-{i}"), InstanceKind::Engine, i);
    let node = |i: usize| instance(format!("node-{i}"), InstanceKind::Node, i);
    InstanceList {
        revision: 1,
        instances: (0..runners).map(runner).chain((0..nodes).map(node)).collect(),
    }
}

fn instance(name: String, kind: InstanceKind, i: usize) -> Instance {
    Instance {
        name: name.into(),
        kind,
        url: format!("http://10.{}.{}.{}:8000", i >> 16, i >> 8 & 255, i & 255).into(),
        domain: format!("domain-{}", i % DOMAINS).into(),
        entry: format!("model-{}", i / DOMAINS % ENTRIES).into(),
        version: "2026-11-01".into(),
        state: InstanceState::Live,
        fenced: false,
        peer: None,
    }
}

fn catalog_doc(concurrent: u32) -> CatalogDoc {
    let names = (0..ACCOUNTS).map(|i| format!("account-{i}")).collect::<Vec<_>>();
    let access = |n: &String| Access { account: n.into(), concurrent: 100_000 };
    let entry = |i| Entry {
        name: format!("model-{i}").into(),
        owner: "desk".into(),
        class: Class::Interactive,
        kind: Kind::Engine,
        versions: vec!["2026-11-01".into()],
        version: "2026-11-01".into(),
        limits: Limits { concurrent, ..Limits::default() },
        accounts: names.iter().map(access).collect(),
    };
    CatalogDoc {
        accounts: names.iter().map(|n| Account { name: n.into(), keys: Vec::new() }).collect(),
        entries: (0..ENTRIES).map(entry).collect(),
    }
}

/// Returns the resident memory of this process in bytes, or 0 if `/proc` is not available.
fn resident_bytes() -> usize {
    const PAGE: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE
}
