//! Catalogue: routes, services, accounts and limits.

use {
    compact_str::CompactString,
    rustc_hash::FxHashMap,
    std::{sync::Arc, time::Duration},
};

/// A version of the catalogue.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version number; increases with each change.
    pub version: u64,
    /// Routes by host, longest prefix first.
    routes: FxHashMap<CompactString, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: FxHashMap<CompactString, Arc<Service>>,
    /// Accounts by API key; `None` if no key is required.
    accounts: Option<FxHashMap<CompactString, Arc<Account>>>,
    /// Limits on callers.
    pub limits: Limits,
    /// Priorities of the requests to each service, highest first.
    priorities: FxHashMap<CompactString, Vec<Priority>>,
}

/// Route for the requests below one path prefix of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: CompactString,
    /// Host.
    pub host: CompactString,
    /// Path prefix, with leading and trailing slash.
    pub prefix: CompactString,
    /// Weighted targets; at least one.
    pub targets: Vec<Target>,
    /// Retry semantics.
    pub kind: Kind,
    /// Timeout of the complete response; for streams, of their start.
    pub timeout: Duration,
    /// Objective for the latency of the response; for streams, of the first event.
    pub objective: Duration,
    /// Maximum gap between events of a stream.
    pub gap: Option<Duration>,
    /// Maximum number of runners that may run a request.
    pub attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether no API key is required.
    pub public: bool,
}

/// Weighted target of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service.
    pub service: CompactString,
    /// Weight relative to the other targets.
    pub weight: u32,
}

/// Retry semantics of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Must not run more than once.
    Once,
    /// Stream that can be resumed on another runner.
    Resumable,
    /// Stream that must not run more than once.
    StreamOnce,
}

impl Kind {
    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Resumable | Kind::StreamOnce)
    }

    /// Returns whether the request may run again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Resumable)
    }
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: CompactString,
    /// Maximum number of connections per runner, by all nodes together.
    pub connections: u32,
    /// Engine parameters; `None` for plain services.
    pub engine: Option<Engine>,
}

/// Parameters of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Batch size.
    pub slots: u32,
    /// KV memory in tokens.
    pub memory: u32,
    /// Whether the KV cache of a run can be replicated while the run continues.
    pub replication: bool,
    /// Time to live of a replica after its last update.
    pub replica_ttl: Duration,
    /// Served models.
    pub models: Vec<CompactString>,
}

/// Priority of a request; 0 is the highest. That of the account takes precedence over that of the route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Priority of the account; that of the route if the account has none.
    pub account: u8,
    /// Priority of the route.
    pub route: u8,
}

/// Position of a priority among those of the requests to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Level {
    /// Number of higher priorities.
    pub order: u8,
    /// Number of priorities for which it leaves headroom on the engines: those of which both the
    /// account's and the route's are higher.
    pub headroom: u8,
}

impl Priority {
    /// Returns the priority of an account's requests on a route.
    pub fn new(route: &Route, account: Option<&Account>) -> Priority {
        let priority = account.and_then(|account| account.priority);
        Priority { account: priority.unwrap_or(route.priority), route: route.priority }
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Unique name.
    pub name: CompactString,
    /// Priority that takes precedence over the route's; 0 is the highest.
    pub priority: Option<u8>,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum bytes of a request head.
    pub head: usize,
    /// Maximum bytes of a request body.
    pub body: usize,
    /// Timeout for reading a head.
    pub reading: Duration,
    /// Idle timeout of a connection.
    pub idle: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply before the first catalogue is loaded.
    fn default() -> Limits {
        Limits {
            head: 16 << 10,
            body: 1 << 20,
            reading: Duration::from_secs(5),
            idle: Duration::from_secs(15),
        }
    }
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No matching route.
    Route,
    /// Missing or unknown API key.
    Key,
}

impl Catalog {
    /// Creates a catalogue with its lookup tables.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        accounts: Option<Vec<(Account, Vec<CompactString>)>>,
        limits: Limits,
    ) -> Catalog {
        let priorities = priorities(&routes, accounts.as_deref());
        let mut by_host = FxHashMap::<_, Vec<_>>::default();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        Catalog {
            version,
            routes: by_host,
            services,
            accounts: accounts.map(by_key),
            limits,
            priorities,
        }
    }

    /// Returns the priorities of the requests to a service, highest first.
    pub fn priorities(&self, service: &str) -> &[Priority] {
        self.priorities.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the position of a priority among those of the requests to a service; `None` if all requests
    /// have the same one.
    pub fn level(&self, service: &str, priority: Priority) -> Option<Level> {
        let known = self.priorities(service);
        let index = |of: fn(&Priority) -> u8| {
            let mut higher: Vec<u8> = known.iter().map(of).filter(|p| *p < of(&priority)).collect();
            higher.sort_unstable();
            higher.dedup();
            higher.len() as u8
        };
        let order = known.iter().filter(|other| **other < priority).count() as u8;
        let headroom = index(|p| p.account).min(index(|p| p.route));
        (known.len() > 1).then_some(Level { order, headroom })
    }

    /// Returns whether there is a route of this name to a service.
    pub fn has_route(&self, name: &str, service: &str) -> bool {
        let mut named = self.routes.values().flatten().filter(|route| route.name == name);
        named.any(|route| route.targets.iter().any(|target| target.service == service))
    }

    /// Returns whether there is an account of this name.
    pub fn has_account(&self, name: &str) -> bool {
        let accounts = self.accounts.as_ref();
        accounts.is_some_and(|all| all.values().any(|account| account.name == name))
    }

    /// Returns the route with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Returns the service with one of these models and with this memory, if there is exactly one.
    pub fn sole_service(&self, models: &[CompactString], memory: u32) -> Option<&Arc<Service>> {
        let matches = |engine: &Engine| {
            engine.memory == memory && models.iter().any(|model| engine.models.contains(model))
        };
        let mut matching =
            self.services.values().filter(|s| s.engine.as_ref().is_some_and(matches));
        let first = matching.next()?;
        matching.next().is_none().then_some(first)
    }

    /// Returns the route of a request and the account of its API key.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(Arc<Route>, Option<Arc<Account>>), Denied> {
        let route = self.route(host, path).ok_or(Denied::Route)?;
        let account_of = |keys: &FxHashMap<_, _>| key.and_then(|k| keys.get(k)).cloned();
        match &self.accounts {
            Some(keys) if !route.public => match account_of(keys) {
                Some(account) => Ok((route.clone(), Some(account))),
                None => Err(Denied::Key),
            },
            Some(keys) => Ok((route.clone(), account_of(keys))),
            None => Ok((route.clone(), None)),
        }
    }
}

/// Returns the priorities that requests to each service may have, highest first.
fn priorities(
    routes: &[Route],
    accounts: Option<&[(Account, Vec<CompactString>)]>,
) -> FxHashMap<CompactString, Vec<Priority>> {
    let mut priorities = FxHashMap::<CompactString, Vec<Priority>>::default();
    for route in routes {
        for target in route.targets.iter().filter(|target| target.weight > 0) {
            let known = priorities.entry(target.service.clone()).or_default();
            let keyed = accounts.into_iter().flatten().map(|(account, _)| Some(account));
            known.extend(keyed.map(|account| Priority::new(route, account)));
            if route.public || accounts.is_none() {
                known.push(Priority::new(route, None));
            }
        }
    }
    for known in priorities.values_mut() {
        known.sort_unstable();
        known.dedup();
    }
    priorities
}

fn by_key(accounts: Vec<(Account, Vec<CompactString>)>) -> FxHashMap<CompactString, Arc<Account>> {
    let mut accounts_by_key = FxHashMap::default();
    for (account, keys) in accounts {
        let account = Arc::new(account);
        accounts_by_key.extend(keys.into_iter().map(|key| (key, account.clone())));
    }
    accounts_by_key
}

impl Route {
    /// Selects a service by weight; `draw` is uniformly distributed in 0..1.
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
