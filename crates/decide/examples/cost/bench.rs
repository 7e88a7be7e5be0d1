//! The cost of a decision, an ask and its end, at today's and at the design's sizes.

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
/// Requests running at the node all the time.
const RUNNING: usize = 200;
const ROUNDS: u64 = 200_000;
/// Prefixes that each watched runner reports.
const PREFIXES: u64 = 500;

/// Prints the table.
pub(crate) fn run() {
    memory();
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

/// Prints the growth of the resident memory by a core of the design's size. It comes first, as
/// later cores reuse what earlier ones have freed.
fn memory() {
    let list = list(4_900, 1_100);
    let before = resident();
    let core = core(&list, 1_000_000);
    let grown = resident().saturating_sub(before) / 1024;
    let watched = core.polled().count();
    println!("4900 runners, {watched} of them watched, 1100 nodes: {grown} KiB resident");
}

struct Row {
    /// Mean of an ask with its grant and its end.
    decision: Duration,
    /// The same with full queues.
    queued: Duration,
    /// Reading a list that hasn't changed.
    list: Duration,
}

fn measure(runners: usize, nodes: usize) -> Row {
    let list = list(runners, nodes);
    let mut core = core(&list, 1_000_000);
    let decision = cost(&mut core, nodes, false);
    let now = Instant::now();
    let started = Instant::now();
    core.step(now, Event::Instances(list.clone()), &mut Vec::new());
    let again = started.elapsed();
    let share = RUNNING / ENTRIES;
    let mut full = self::core(&list, (share * nodes) as u32);
    Row { decision, queued: cost(&mut full, nodes, true), list: again }
}

/// A core whose entries have this limit and that knows the list, and the load and caches of the
/// runners that it watches.
fn core(list: &InstanceList, concurrent: u32) -> Core {
    let place = Location { region: "region-0".into(), domain: "domain-0".into() };
    let mut core = Core::new(1, place);
    let now = Instant::now();
    let catalog = Arc::new(Catalog::default().updated(1, &doc(concurrent)));
    core.step(
        now,
        Event::Catalog { revision: catalog.revision, doc: Arc::new(catalog.doc()) },
        &mut Vec::new(),
    );
    core.step(now, Event::Instances(list.clone()), &mut Vec::new());
    report(&mut core, now);
    core
}

fn cost(core: &mut Core, nodes: usize, queued: bool) -> Duration {
    let entries = core.catalog().entries.keys().collect::<Vec<_>>();
    let accounts = core.catalog().accounts.keys().collect::<Vec<_>>();
    let running = if queued { 0 } else { 10 };
    let now = Instant::now();
    let peers = Event::Peers(peers(nodes, &entries, &accounts, running));
    core.step(now, peers, &mut Vec::new());
    decide(core, now, &entries, &accounts, queued)
}

/// Cost of an ask and an end. With `queued` the entries' shares are used up and their queues full,
/// so that each ask pushes one out and each end lets one in.
fn decide(
    core: &mut Core,
    now: Instant,
    entries: &[EntryKey],
    accounts: &[AccountKey],
    queued: bool,
) -> Duration {
    let mut out = Vec::new();
    let mut running = VecDeque::new();
    let mut started = Instant::now();
    let warm = 1_000;
    for i in 0..ROUNDS + warm {
        if i == warm {
            started = Instant::now();
        }
        let ask = RunnerRequest {
            ticket: Ticket(i),
            entry: entries[i as usize % entries.len()],
            account: accounts[i as usize * 7 % accounts.len()],
            prefix: Some(i * 31 % 20_000),
            pin: None,
            avoid: None,
            purpose: Purpose::First,
        };
        core.step(now, Event::Request(ask), &mut out);
        if running.len() >= RUNNING || queued && i >= warm {
            let ticket = running.pop_front().expect("it is not empty");
            let done =
                Done { ticket, verdict: Verdict::Ok, first: None, tokens: 1, will_retry: false };
            core.step(now, Event::Done(done), &mut out);
        }
        for action in out.drain(..) {
            match action {
                Action::Grant(grant) => running.push_back(grant.ticket),
                Action::Reject(_) => assert!(queued, "a refusal must not pass for a grant"),
            }
        }
    }
    started.elapsed() / ROUNDS as u32
}

/// Each watched runner reports its load and its cache.
fn report(core: &mut Core, now: Instant) {
    let watched = core.polled().map(|(k, r)| (k, r.version.clone())).collect::<Vec<_>>();
    for (n, (runner, version)) in watched.into_iter().enumerate() {
        let prefix = |i| (n as u64 * 101 + i * 17) % 20_000;
        let cache =
            (1..=PREFIXES).map(|i| CacheEvent { sequence: i, prefix: prefix(i), held: true });
        let cache = cache.collect();
        let report =
            LoadReport { version, running: 4, waiting: 0, slots: 64, leaving: false, cache };
        core.step(now, Event::Load { runner, report }, &mut Vec::new());
    }
}

fn peers(nodes: usize, entries: &[EntryKey], accounts: &[AccountKey], running: u32) -> PeerUse {
    let pairs = entries.iter().flat_map(|&e| accounts.iter().map(move |&a| (e, a, running)));
    PeerUse { nodes: nodes as u32 - 1, running: pairs.collect() }
}

fn list(runners: usize, nodes: usize) -> InstanceList {
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

fn doc(concurrent: u32) -> CatalogDoc {
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

/// Resident memory of this process in bytes, 0 where the system doesn't tell.
fn resident() -> usize {
    const PAGE: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE
}
