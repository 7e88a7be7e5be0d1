//! A core with a small catalogue and list, and shorthands to drive it. Time is a number that only
//! the test moves.

use {
    bilberryfront_decide::{
        Action, Core, Event, Location,
        action::{Grant, Reason, Rejection},
        catalog::{Access, Account, Catalog, CatalogDoc, Class, Entry, Kind, Limits},
        event::{Done, PeerUse, Purpose, RunnerRequest, Verdict},
        id::{AccountKey, EntryKey, RunnerKey, Ticket},
    },
    bilberryfront_wire::{
        instance::{Instance, InstanceKind, InstanceList, InstanceState},
        runner::{CacheEvent, LoadReport},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

pub(crate) const ENTRY: &str = "verify-llm";
pub(crate) const V1: &str = "v1";
pub(crate) const V2: &str = "v2";

/// A core and what the test needs to drive it.
pub(crate) struct World {
    pub(crate) core: Core,
    pub(crate) now: Instant,
    pub(crate) entry: EntryKey,
    pub(crate) accounts: Vec<AccountKey>,
    list: u64,
    ticket: u64,
}

impl World {
    /// A core in domain `a` whose one entry has `limits`, and an account for each bound.
    pub(crate) fn new(seed: u64, limits: Limits, bounds: &[u32]) -> World {
        let names = (0..bounds.len()).map(|i| format!("account-{i}")).collect::<Vec<_>>();
        let catalog = Arc::new(Catalog::default().updated(1, &doc(limits, &names, bounds)));
        let place = Location { region: "east-mids".into(), domain: "a".into() };
        let mut world = World {
            core: Core::new(seed, place),
            now: Instant::now(),
            entry: catalog.entry(ENTRY).expect("the entry was just made"),
            accounts: names.iter().filter_map(|n| catalog.account(n)).collect(),
            list: 0,
            ticket: 0,
        };
        world.step(Event::Catalog { revision: catalog.revision, doc: Arc::new(catalog.doc()) });
        world
    }

    pub(crate) fn step(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.core.step(self.now, event, &mut out);
        out
    }

    /// Lets time pass, with a tick every 50 ms.
    pub(crate) fn wait(&mut self, ms: u64) -> Vec<Action> {
        let mut out = Vec::new();
        for _ in 0..ms.div_ceil(50) {
            self.now += Duration::from_millis(50);
            out.extend(self.step(Event::Tick));
        }
        out
    }

    /// Changes the catalogue.
    pub(crate) fn renew(&mut self, change: impl FnOnce(&mut CatalogDoc)) -> Vec<Action> {
        let mut doc = self.core.catalog().doc();
        change(&mut doc);
        let revision = self.core.catalog().revision + 1;
        let next = self.core.catalog().updated(revision, &doc);
        self.step(Event::Catalog { revision: next.revision, doc: Arc::new(next.doc()) })
    }

    /// Replaces the list.
    pub(crate) fn list(&mut self, instances: Vec<Instance>) -> Vec<Action> {
        self.list += 1;
        let revision = self.list;
        self.step(Event::Instances(InstanceList { revision, instances }))
    }

    pub(crate) fn runner(&self, name: &str) -> RunnerKey {
        let found = self.core.runners().find(|(_, r)| r.name == name);
        found.expect("the runner is in the list").0
    }

    pub(crate) fn name(&self, runner: RunnerKey) -> String {
        let found = self.core.runners().find(|(k, _)| *k == runner);
        found.expect("the runner is in the list").1.name.to_string()
    }

    /// An ask of the account's, not yet sent to the core.
    pub(crate) fn draft(&mut self, account: usize) -> RunnerRequest {
        self.ticket += 1;
        RunnerRequest {
            ticket: Ticket(self.ticket),
            entry: self.entry,
            account: self.accounts[account],
            prefix: None,
            pin: None,
            avoid: None,
            purpose: Purpose::First,
        }
    }

    pub(crate) fn ask(&mut self, account: usize) -> (Ticket, Vec<Action>) {
        let ask = self.draft(account);
        (ask.ticket, self.step(Event::Request(ask)))
    }

    /// Asks and expects a grant at once.
    pub(crate) fn granted(&mut self, account: usize) -> Grant {
        let (ticket, out) = self.ask(account);
        let grant = grants(&out).pop().expect("a grant");
        assert_eq!(grant.ticket, ticket);
        grant
    }

    /// Asks with a prefix and gives the name of the runner that it was sent to.
    pub(crate) fn sent_to(&mut self, prefix: u64) -> (Ticket, String) {
        let ask = RunnerRequest { prefix: Some(prefix), ..self.draft(0) };
        let out = self.step(Event::Request(ask));
        let grant = grants(&out).pop().expect("a grant");
        (grant.ticket, self.name(grant.runner))
    }

    pub(crate) fn done(&mut self, ticket: Ticket, verdict: Verdict) -> Vec<Action> {
        self.step(done(ticket, verdict, false))
    }

    /// The runner failed the request, which asks for another.
    pub(crate) fn again(&mut self, grant: &Grant) -> Vec<Action> {
        let mut out = self.step(done(grant.ticket, Verdict::Broken, true));
        let ask = RunnerRequest {
            ticket: grant.ticket,
            pin: Some(grant.version.clone()),
            avoid: Some(grant.runner),
            purpose: Purpose::Retry,
            ..self.draft(0)
        };
        out.extend(self.step(Event::Request(ask)));
        out
    }

    pub(crate) fn load(&mut self, name: &str, report: LoadReport) -> Vec<Action> {
        let runner = self.runner(name);
        self.step(Event::Load { runner, report })
    }

    pub(crate) fn peers(&mut self, nodes: u32, running: &[(usize, u32)]) -> Vec<Action> {
        let running = running.iter().map(|&(a, n)| (self.entry, self.accounts[a], n)).collect();
        self.step(Event::Peers(PeerUse { nodes, running }))
    }
}

pub(crate) fn done(ticket: Ticket, verdict: Verdict, again: bool) -> Event {
    Event::Done(Done { ticket, verdict, first: None, tokens: 0, will_retry: again })
}

pub(crate) fn grants(out: &[Action]) -> Vec<Grant> {
    let grants = out.iter().filter_map(|a| match a {
        Action::Grant(grant) => Some(grant.clone()),
        Action::Reject(_) => None,
    });
    grants.collect()
}

pub(crate) fn refusals(out: &[Action]) -> Vec<Rejection> {
    let refusals = out.iter().filter_map(|a| match a {
        Action::Reject(refuse) => Some(*refuse),
        Action::Grant(_) => None,
    });
    refusals.collect()
}

pub(crate) fn reasons(out: &[Action]) -> Vec<Reason> {
    refusals(out).iter().map(|r| r.reason).collect()
}

/// A live engine of [`ENTRY`].
pub(crate) fn engine(name: &str, domain: &str, version: &str) -> Instance {
    Instance {
        name: name.into(),
        kind: InstanceKind::Engine,
        url: format!("http://{name}").into(),
        domain: domain.into(),
        entry: ENTRY.into(),
        version: version.into(),
        state: InstanceState::Live,
        fenced: false,
        peer: None,
    }
}

pub(crate) fn node(name: &str) -> Instance {
    Instance {
        kind: InstanceKind::Node,
        entry: "".into(),
        version: "".into(),
        ..engine(name, "a", "")
    }
}

pub(crate) fn report(running: u32, slots: u32) -> LoadReport {
    LoadReport { version: V1.into(), running, waiting: 0, slots, leaving: false, cache: Vec::new() }
}

pub(crate) fn held(sequence: u64, prefix: u64) -> CacheEvent {
    CacheEvent { sequence, prefix, held: true }
}

/// The catalogue of one entry that all `names` may use.
pub(crate) fn doc(limits: Limits, names: &[String], bounds: &[u32]) -> CatalogDoc {
    let access = names.iter().zip(bounds);
    CatalogDoc {
        accounts: names.iter().map(|n| Account { name: n.into(), keys: Vec::new() }).collect(),
        entries: vec![Entry {
            name: ENTRY.into(),
            owner: "desk".into(),
            class: Class::Interactive,
            kind: Kind::Engine,
            versions: vec![V1.into(), V2.into()],
            version: V1.into(),
            limits,
            accounts: access
                .map(|(n, &concurrent)| Access { account: n.into(), concurrent })
                .collect(),
        }],
    }
}
