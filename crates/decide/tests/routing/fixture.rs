//! Test fixture: a core with a small catalogue and instance list, driven with simulated time.

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

/// A core with the state needed to drive it.
pub(crate) struct Fixture {
    pub(crate) core: Core,
    pub(crate) now: Instant,
    pub(crate) entry: EntryKey,
    pub(crate) accounts: Vec<AccountKey>,
    list_revision: u64,
    last_ticket: u64,
}

impl Fixture {
    /// Creates a core in domain `a` with one entry of these `limits` and an account for each of
    /// `account_limits`.
    pub(crate) fn new(seed: u64, limits: Limits, account_limits: &[u32]) -> Fixture {
        let names = (0..account_limits.len()).map(|i| format!("account-{i}")).collect::<Vec<_>>();
        let catalog =
            Arc::new(Catalog::default().updated(1, &catalog_doc(limits, &names, account_limits)));
        let place = Location { region: "east-mids".into(), domain: "a".into() };
        let mut fixture = Fixture {
            core: Core::new(seed, place),
            now: Instant::now(),
            entry: catalog.entry(ENTRY).expect("the entry was just made"),
            accounts: names.iter().filter_map(|n| catalog.account(n)).collect(),
            list_revision: 0,
            last_ticket: 0,
        };
        fixture.step(Event::Catalog { revision: catalog.revision, doc: Arc::new(catalog.doc()) });
        fixture
    }

    pub(crate) fn step(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.core.step(self.now, event, &mut out);
        out
    }

    /// Advances the time, with a tick every 50 ms.
    pub(crate) fn advance(&mut self, ms: u64) -> Vec<Action> {
        let mut out = Vec::new();
        for _ in 0..ms.div_ceil(50) {
            self.now += Duration::from_millis(50);
            out.extend(self.step(Event::Tick));
        }
        out
    }

    /// Changes the catalogue and applies it.
    pub(crate) fn update_catalog(&mut self, change: impl FnOnce(&mut CatalogDoc)) -> Vec<Action> {
        let mut doc = self.core.catalog().doc();
        change(&mut doc);
        let revision = self.core.catalog().revision + 1;
        let next = self.core.catalog().updated(revision, &doc);
        self.step(Event::Catalog { revision: next.revision, doc: Arc::new(next.doc()) })
    }

    /// Replaces the instance list.
    pub(crate) fn set_instances(&mut self, instances: Vec<Instance>) -> Vec<Action> {
        self.list_revision += 1;
        let revision = self.list_revision;
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

    /// Returns a new request of the account, not yet sent to the core.
    pub(crate) fn new_request(&mut self, account: usize) -> RunnerRequest {
        self.last_ticket += 1;
        RunnerRequest {
            ticket: Ticket(self.last_ticket),
            entry: self.entry,
            account: self.accounts[account],
            prefix: None,
            pin: None,
            avoid: None,
            purpose: Purpose::First,
        }
    }

    pub(crate) fn request(&mut self, account: usize) -> (Ticket, Vec<Action>) {
        let request = self.new_request(account);
        (request.ticket, self.step(Event::Request(request)))
    }

    /// Sends a request that must be granted immediately.
    pub(crate) fn expect_grant(&mut self, account: usize) -> Grant {
        let (ticket, out) = self.request(account);
        let grant = grants(&out).pop().expect("a grant");
        assert_eq!(grant.ticket, ticket);
        grant
    }

    /// Sends a request with a prefix and returns the name of the granted runner.
    pub(crate) fn send_with_prefix(&mut self, prefix: u64) -> (Ticket, String) {
        let request = RunnerRequest { prefix: Some(prefix), ..self.new_request(0) };
        let out = self.step(Event::Request(request));
        let grant = grants(&out).pop().expect("a grant");
        (grant.ticket, self.name(grant.runner))
    }

    pub(crate) fn done(&mut self, ticket: Ticket, verdict: Verdict) -> Vec<Action> {
        self.step(done(ticket, verdict, false))
    }

    /// Fails a granted request and requests another runner for it.
    pub(crate) fn fail_and_retry(&mut self, grant: &Grant) -> Vec<Action> {
        let mut out = self.step(done(grant.ticket, Verdict::Broken, true));
        let request = RunnerRequest {
            ticket: grant.ticket,
            pin: Some(grant.version.clone()),
            avoid: Some(grant.runner),
            purpose: Purpose::Retry,
            ..self.new_request(0)
        };
        out.extend(self.step(Event::Request(request)));
        out
    }

    pub(crate) fn report_load(&mut self, name: &str, report: LoadReport) -> Vec<Action> {
        let runner = self.runner(name);
        self.step(Event::Load { runner, report })
    }

    pub(crate) fn set_peers(&mut self, nodes: u32, running: &[(usize, u32)]) -> Vec<Action> {
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

pub(crate) fn rejections(out: &[Action]) -> Vec<Rejection> {
    let rejections = out.iter().filter_map(|a| match a {
        Action::Reject(rejection) => Some(*rejection),
        Action::Grant(_) => None,
    });
    rejections.collect()
}

pub(crate) fn reasons(out: &[Action]) -> Vec<Reason> {
    rejections(out).iter().map(|r| r.reason).collect()
}

/// Returns a live engine of [`ENTRY`].
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

pub(crate) fn load_report(running: u32, slots: u32) -> LoadReport {
    LoadReport { version: V1.into(), running, waiting: 0, slots, leaving: false, cache: Vec::new() }
}

pub(crate) fn held_event(sequence: u64, prefix: u64) -> CacheEvent {
    CacheEvent { sequence, prefix, held: true }
}

/// Returns a catalogue of one entry that all accounts in `names` may use.
pub(crate) fn catalog_doc(limits: Limits, names: &[String], account_limits: &[u32]) -> CatalogDoc {
    let access = names.iter().zip(account_limits);
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
