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

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Unique name.
    pub name: CompactString,
    /// Priority that overrides the route's; 0 is the highest.
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
