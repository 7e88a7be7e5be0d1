//! What operators have put in force: routes, services, accounts and limits.

use {
    compact_str::CompactString,
    rustc_hash::FxHashMap,
    std::{sync::Arc, time::Duration},
};

/// One version of everything that operators decide.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Only ever goes up.
    pub version: u64,
    /// Routes of each host, the longest prefix first.
    routes: FxHashMap<CompactString, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: FxHashMap<CompactString, Arc<Service>>,
    /// Accounts by key; `None` when callers need no key.
    accounts: Option<FxHashMap<CompactString, Arc<Account>>>,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

/// How requests below one prefix of one host are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: CompactString,
    /// Host that callers name.
    pub host: CompactString,
    /// Start of the path; begins and ends with a slash.
    pub prefix: CompactString,
    /// Services with the weight of each; at least one.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time to a final answer.
    pub timeout: Duration,
    /// Time within which an answer is on time; for streams, to the first event.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is still on time.
    pub gap: Option<Duration>,
    /// Most runners that may run one request.
    pub attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub public: bool,
}

/// A service that a route sends to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: CompactString,
    /// Part of the route's requests, relative to the other targets'.
    pub weight: u32,
}

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// A stream of events that another runner can go on with.
    Resumable,
    /// A stream of events that runs at most once.
    StreamOnce,
}

impl Kind {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Resumable | Kind::StreamOnce)
    }

    /// Whether a second run does no harm.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Resumable)
    }
}

/// A kind of runner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: CompactString,
    /// Connections that one runner takes from all nodes together.
    pub connections: u32,
    /// What its engines are like; `None` for plain services.
    pub engine: Option<Engine>,
}

/// What the model engines of a service can do.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for prompts and output, in tokens.
    pub memory: u32,
    /// Whether a run's memory can be copied to another runner while it grows.
    pub backups: bool,
    /// Time for which such a copy is kept after its last part.
    pub kept: Duration,
    /// Names of the models that they run.
    pub models: Vec<CompactString>,
}

/// Who calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Unique name.
    pub name: CompactString,
    /// Rank that goes before the route's; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Time for a request's head to arrive.
    pub reading: Duration,
    /// Time for which a connection may stay idle.
    pub idle: Duration,
}

impl Default for Limits {
    /// In force until the first catalogue is there: what a browser-facing server commonly takes.
    fn default() -> Limits {
        Limits {
            head: 16 << 10,
            body: 1 << 20,
            reading: Duration::from_secs(5),
            idle: Duration::from_secs(15),
        }
    }
}

/// Why a request isn't let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route begins the path at this host.
    Route,
    /// The key is missing or no account holds it.
    Key,
}

impl Catalog {
    /// Builds the look-up tables.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        accounts: Option<Vec<(Account, Vec<CompactString>)>>,
        limits: Limits,
    ) -> Catalog {
        let mut by_host = FxHashMap::<_, Vec<_>>::default();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        Catalog { version, routes: by_host, services, accounts: accounts.map(by_key), limits }
    }

    /// The route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// The only service whose engines run these models with this memory, if there is just one.
    pub fn sole_service(&self, models: &[CompactString], memory: u32) -> Option<&Arc<Service>> {
        let fits = |engine: &Engine| {
            engine.memory == memory && models.iter().any(|model| engine.models.contains(model))
        };
        let mut fitting = self.services.values().filter(|s| s.engine.as_ref().is_some_and(fits));
        let first = fitting.next()?;
        fitting.next().is_none().then_some(first)
    }

    /// Lets a request in: its route and, unless anyone may call, the account that holds its key.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(Arc<Route>, Option<Arc<Account>>), Denied> {
        let route = self.route(host, path).ok_or(Denied::Route)?;
        let holder = |keys: &FxHashMap<_, _>| key.and_then(|k| keys.get(k)).cloned();
        match &self.accounts {
            Some(keys) if !route.public => match holder(keys) {
                Some(account) => Ok((route.clone(), Some(account))),
                None => Err(Denied::Key),
            },
            Some(keys) => Ok((route.clone(), holder(keys))),
            None => Ok((route.clone(), None)),
        }
    }
}

fn by_key(accounts: Vec<(Account, Vec<CompactString>)>) -> FxHashMap<CompactString, Arc<Account>> {
    let mut holders = FxHashMap::default();
    for (account, keys) in accounts {
        let account = Arc::new(account);
        holders.extend(keys.into_iter().map(|key| (key, account.clone())));
    }
    holders
}

impl Route {
    /// The service for a request; `draw` is uniform in 0..1.
    pub fn target(&self, draw: f64) -> &CompactString {
        let total: f64 = self.targets.iter().map(|t| f64::from(t.weight)).sum();
        let mut left = draw * total;
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return &target.service;
            }
        }
        &self.targets.last().expect("a route has at least one target").service
    }
}
