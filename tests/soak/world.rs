//! The platform of the soak: the store, the runners with their registrations, and the instances.

use {
    super::{
        clients::ROUTES,
        judge::{BUDGET_RATIO, BUDGET_SLACK},
        links::Links,
        process::{Listen, free_tcp_address, free_udp_address},
        runner::{MEMORY, REPLICA_TTL, Registry, Role, Runner, SLOTS},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    bilberryfront_harness::process::Process,
    bilberryfront_standins::{feed_store::FeedStore, server::Handle},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde_json::{Value, json},
    std::{
        cell::{Cell, RefCell},
        env,
        fs::{self, File},
        net::SocketAddr,
        path::PathBuf,
        process::Command,
        rc::Rc,
        time::Duration,
    },
    tempfile::TempDir,
    tokio::time::sleep,
};

pub(crate) const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
/// Grace period of the instances.
pub(crate) const GRACE: Duration = Duration::from_secs(4);
/// Time after which the registration of a runner that is silent is removed.
pub(crate) const EXPIRY: Duration = Duration::from_millis(3_600);
/// Time within which runners register again after an outage of the store.
const REGISTRATION: Duration = Duration::from_secs(2);

/// Engines of the routes `stream` and `fixed`.
pub(crate) const LLM: Role = Role { service: "llm", model: Some("m") };
/// Engines of another service of the catalogue, with the same model and memory.
const ALT: Role = Role { service: "alt", model: Some("m") };
/// The same with another model.
const OTHER_ALT: Role = Role { service: "alt", model: Some("n") };
/// Engines of a service that no catalogue names, with the same model and memory.
const GHOST: Role = Role { service: "ghost", model: Some("m") };
const DESK: Role = Role { service: "desk", model: None };
const TILL: Role = Role { service: "till", model: None };

/// Numbers of runners and instances.
#[derive(Clone, Copy)]
pub(crate) struct Size {
    pub(crate) engines: usize,
    pub(crate) instances: usize,
}

/// A place of a runner, whose address may pass to another service.
pub(crate) struct Slot {
    pub(crate) domain: &'static str,
    pub(crate) runner: RefCell<Rc<Runner>>,
    /// Whether a fault is under way.
    pub(crate) busy: Cell<bool>,
}

/// An instance, which may be restarted.
pub(crate) struct Instance {
    pub(crate) name: String,
    pub(crate) listen: Listen,
    /// Its own access to the store.
    pub(crate) store: Handle,
    settings: PathBuf,
    pub(crate) process: RefCell<Option<Process>>,
    pub(crate) busy: Cell<bool>,
}

/// Everything around the clients.
pub(crate) struct World {
    pub(crate) registry: Rc<Registry>,
    store: FeedStore,
    pub(crate) slots: Vec<Slot>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) links: Rc<Links>,
    /// Positions of the instances to which clients open connections.
    pub(crate) listed: RefCell<Vec<usize>>,
    /// Keys of the newest catalogue.
    pub(crate) keys: RefCell<Vec<String>>,
    pub(crate) store_down: Cell<bool>,
    /// Engines of the second service of the catalogue.
    pub(crate) alt: Role,
    rng: RefCell<SmallRng>,
    pub(crate) folder: TempDir,
}

impl World {
    /// Starts the store, the runners and the instances.
    pub(crate) async fn start(seed: u64, size: Size) -> Rc<World> {
        let store = FeedStore::default();
        let folder = tempfile::tempdir().expect("a temporary folder");
        let alt = if seed.is_multiple_of(2) { ALT } else { OTHER_ALT };
        let mut world = World {
            registry: Rc::default(),
            store,
            slots: Vec::new(),
            instances: Vec::new(),
            links: Rc::default(),
            listed: RefCell::default(),
            keys: RefCell::default(),
            store_down: Cell::new(false),
            alt,
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            folder,
        };
        let others = [alt, alt, alt, alt, GHOST, GHOST, DESK, DESK, DESK, TILL, TILL, TILL];
        for role in (0..size.engines).map(|_| LLM).chain(others) {
            let domain = DOMAINS[world.slots.len() % DOMAINS.len()];
            let id = world.registry.record.next_id("i-");
            let runner = RefCell::new(world.run(id, role, free_tcp_address()).await);
            world.slots.push(Slot { domain, runner, busy: Cell::new(false) });
        }
        for index in 0..size.instances {
            let instance = world.instance(index).await;
            world.instances.push(instance);
        }
        world.listed.replace((0..size.instances).collect());
        let world = Rc::new(world);
        for index in 0..world.slots.len() {
            world.register(index, "ready");
        }
        world
    }

    async fn run(&self, id: String, role: Role, address: SocketAddr) -> Rc<Runner> {
        let times = {
            let mut rng = self.rng.borrow_mut();
            match role.model {
                Some(_) => [15..40, 100..400, 0..600].map(|range| rng.random_range(range)),
                None => [0, rng.random_range(10..30), 0],
            }
        };
        let times = times.map(Duration::from_millis);
        Runner::start(&self.registry, id, role, address, times).await
    }

    /// Starts a new runner in a place that is free, with a new id or that of the former one.
    pub(crate) async fn replace(self: &Rc<World>, index: usize, role: Role, keeps_id: bool) {
        let slot = &self.slots[index];
        let former = slot.runner.borrow().clone();
        let new_id = || self.registry.record.next_id("i-");
        let id = if keeps_id { former.id.clone() } else { new_id() };
        // The former runner's sockets are closed when its aborted tasks are next polled.
        sleep(Duration::from_millis(5)).await;
        let runner = self.run(id, role, former.address).await;
        slot.runner.replace(runner);
        tokio::task::spawn_local(self.clone().register_later(index));
    }

    /// Ends a runner. Its registration expires later.
    pub(crate) fn crash(self: &Rc<World>, index: usize) {
        let id = self.slots[index].runner.borrow().id.clone();
        self.slots[index].runner.borrow().crash();
        let world = self.clone();
        tokio::task::spawn_local(async move {
            sleep(EXPIRY).await;
            let runner = world.slots[index].runner.borrow();
            if runner.id != id || runner.gone.get() {
                world.put("servers", &id, None);
            }
        });
    }

    /// Registers a runner, after the outage if the store is unavailable.
    pub(crate) async fn register_later(self: Rc<World>, index: usize) {
        let id = self.slots[index].runner.borrow().id.clone();
        if self.store_down.get() {
            while self.store_down.get() {
                sleep(Duration::from_millis(20)).await;
            }
            let delay = self.rng.borrow_mut().random_range(0.0..1.0);
            sleep(REGISTRATION.mul_f64(delay)).await;
        }
        let runner = self.slots[index].runner.borrow().clone();
        if runner.id == id && !runner.gone.get() {
            self.register(index, "ready");
        }
    }

    /// Writes the registration of a runner, with its state.
    pub(crate) fn register(&self, index: usize, state: &str) {
        let slot = &self.slots[index];
        let runner = slot.runner.borrow();
        let slots = if runner.role.model.is_some() { SLOTS } else { 6 };
        let registration = json!({"service": runner.role.service, "address": runner.address,
            "zone": slot.domain, "version": "v1", "slots": slots, "state": state,
            "cold_left_ms": 0, "seq": 1, "born": runner.born});
        self.put("servers", &runner.id, Some(&registration));
    }

    /// Writes or removes a row as the platform does.
    pub(crate) fn put(&self, table: &str, key: &str, value: Option<&Value>) {
        self.store.put(table, key, value.map(|value| STANDARD.encode(value.to_string())));
    }

    /// Sends a catalogue in which the routes have these services with their weights.
    pub(crate) fn put_catalog(
        &self,
        version: u64,
        services: impl Fn(&str) -> Vec<(&'static str, f64)>,
        extra: usize,
        key: u64,
    ) {
        let with_targets = |mut entry: Value, targets: &[(&str, f64)]| {
            match targets {
                [(service, _)] => entry["service"] = json!(service),
                targets => {
                    let split = targets.iter().map(|(s, w)| json!({"service": s, "weight": w}));
                    entry["traffic_split"] = split.collect();
                }
            }
            entry
        };
        let routes = ROUTES.iter().map(|route| (route.entry(), services(route.name)));
        let routes = routes.filter(|(_, targets)| !targets.is_empty());
        let mut routes: Vec<Value> = routes.map(|(entry, t)| with_targets(entry, &t)).collect();
        routes.extend((0..extra).map(|index| {
            let mut entry = ROUTES[5].entry();
            entry["name"] = json!(format!("extra{index}"));
            entry["prefix"] = json!(format!("/extra{index}/"));
            with_targets(entry, &[("desk", 1.0)])
        }));
        // The old key stays for a time, as operators do it.
        let keys = |tenant: &str| [key.saturating_sub(1), key].map(|n| format!("{tenant}-{n}"));
        let tenants = ["t0", "t1", "t2", "t3"];
        let engine = |role: Role| {
            json!({"name": role.service, "max_conns": 230, "engine": {"slots": SLOTS, "kv_tokens": MEMORY,
                "backups": true, "handle_s": REPLICA_TTL.as_secs_f64(), "models": [{"name": role.model}]}})
        };
        let catalog = json!({
            "version": version,
            "routes": routes,
            "services": [engine(LLM), engine(self.alt), {"name": "desk", "max_conns": 96},
                {"name": "till", "max_conns": 96}],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 6_100_000,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
            "tenants": tenants.map(|t| json!({"name": t, "api_keys": keys(t)})),
        });
        self.keys.replace(tenants.iter().map(|tenant| keys(tenant)[0].clone()).collect());
        self.put("op", "config", Some(&catalog));
        self.registry.record.add_catalog(catalog);
    }

    async fn instance(&self, index: usize) -> Instance {
        let name = format!("n{index}");
        let listen = Listen {
            callers: free_tcp_address(),
            health: free_tcp_address(),
            addresses: free_tcp_address(),
            metrics: free_tcp_address(),
        };
        let store = self.store.with_own_faults().start(free_tcp_address());
        let store = store.expect("the address is free");
        let peers = free_udp_address();
        let proxy = self.links.start_proxy(index, peers).await;
        let settings = json!({
            "name": name, "domain": DOMAINS[index % DOMAINS.len()],
            "listen": {"callers": listen.callers, "health": listen.health,
                "addresses": listen.addresses, "peers": peers, "advertise": proxy, "metrics": listen.metrics},
            "store": store.addr,
            "bounds": {"grace": GRACE.as_secs(), "keep": 5, "ratio": BUDGET_RATIO, "slack": BUDGET_SLACK,
                "window": 10, "exposure": 0.1, "trials": 50, "reuse": 2},
            "log": {"level": "debug"},
        });
        let path = self.folder.path().join(format!("{name}.jsonc"));
        fs::write(&path, settings.to_string()).expect("the folder is writable");
        let process = RefCell::default();
        Instance { name, listen, store, settings: path, process, busy: Cell::new(false) }
    }
}

impl Instance {
    /// Starts its process, whose output is appended to `NAME.log`.
    pub(crate) async fn start(&self) {
        let mut log = File::options();
        let log = log
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("the folder is writable");
        let program = env::var("BILBERRYFRONT_SOAK_PROGRAM");
        let program = program.unwrap_or(env!("CARGO_BIN_EXE_bilberryfront").into());
        let mut command = Command::new(program);
        command.arg("relay").arg("--settings").arg(&self.settings);
        let start =
            move || Process::start_with_output(&mut command, log).expect("the instance starts");
        let process = tokio::task::spawn_blocking(start).await.expect("the start does not panic");
        self.process.replace(Some(process));
    }
}
