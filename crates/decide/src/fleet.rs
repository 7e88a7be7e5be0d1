//! All runners known, by key, by name, and by entry and version.

use {
    crate::{
        event::{Done, Verdict},
        id::{PoolKey, RunnerKey, Ticket},
        location::Location,
        route::{Pool, Runners, View, Want, name_hash},
        runner::{Runner, RunnerChart, chart},
    },
    bilberryfront_wire::{
        instance::{Instance, InstanceKind, InstanceList, InstanceState},
        runner::LoadReport,
    },
    compact_str::CompactString,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    rustc_hash::FxHashMap,
    slotmap::SlotMap,
    std::collections::BTreeSet,
    tokio::time::Instant,
};

/// Most prefixes believed held by one runner.
const PREFIXES_MOST: usize = 4_096;
/// Fewest of them, however many runners there are.
const PREFIXES_LEAST: usize = 256;
/// Prefixes believed held by all runners together, at some 50 bytes each.
const PREFIXES_ALL: usize = 131_072;

/// The runners.
#[derive(Debug)]
pub(crate) struct Fleet {
    runners: Runners,
    names: FxHashMap<CompactString, RunnerKey>,
    pools: SlotMap<PoolKey, Pool>,
    entries: FxHashMap<CompactString, Vec<PoolKey>>,
    chart: RunnerChart,
    place: Location,
    seed: u64,
    revision: u64,
    round: u64,
    nodes: usize,
    rng: SmallRng,
}

impl Fleet {
    /// No runners yet.
    pub(crate) fn new(seed: u64, place: Location) -> Fleet {
        Fleet {
            runners: Runners::with_key(),
            names: FxHashMap::default(),
            pools: SlotMap::with_key(),
            entries: FxHashMap::default(),
            chart: chart(),
            place,
            seed,
            revision: 0,
            round: 0,
            nodes: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// All runners.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RunnerKey, &Instance)> {
        self.runners.iter().map(|(k, r)| (k, &r.instance))
    }

    /// Runners whose load this node asks for.
    pub(crate) fn watched(&self) -> impl Iterator<Item = (RunnerKey, &Instance)> {
        let keys = self.pools.values().flat_map(|p| p.watched(&self.runners));
        keys.map(|k| (k, &self.runners[k].instance))
    }

    /// What the list says of a runner.
    pub(crate) fn instance(&self, runner: RunnerKey) -> Option<&Instance> {
        self.runners.get(runner).map(|r| &r.instance)
    }

    /// Nodes in service by the list.
    pub(crate) fn nodes(&self) -> usize {
        self.nodes
    }

    /// Takes a list, unless it is older than the one known.
    pub(crate) fn list(&mut self, list: InstanceList) {
        if list.revision < self.revision {
            return;
        }
        self.revision = list.revision;
        self.round += 1;
        let mut changed = BTreeSet::new();
        let mut nodes = 0;
        for instance in list.instances {
            match instance.kind {
                InstanceKind::Node => nodes += usize::from(instance.state == InstanceState::Live),
                _ => self.name(instance, &mut changed),
            }
        }
        self.drop_unlisted(&mut changed);
        if nodes != self.nodes {
            self.nodes = nodes;
            changed.extend(self.pools.keys());
        }
        changed.into_iter().for_each(|p| self.choose(p));
        self.drop_empty();
    }

    /// Takes a load report.
    pub(crate) fn report(&mut self, key: RunnerKey, report: &LoadReport) {
        let Some(runner) = self.runners.get_mut(key) else { return };
        let state = runner.state();
        let present = runner.present();
        let reported = !report.version.is_empty();
        runner.spoke |= reported;
        runner.load.report(report);
        runner.on_report(report.leaving, &self.chart);
        let moved = reported && runner.instance.version != report.version;
        let (stated, placed) = (runner.state() != state, runner.present() != present);
        let pool = runner.pool;
        if moved {
            self.moves(key, report.version.clone());
        }
        if moved || placed {
            self.choose(pool);
            self.choose(self.runners[key].pool);
        } else if stated || self.runners[key].audible() {
            self.sort(pool);
        }
        self.apply_load(key, report);
    }

    /// A load report could not be had.
    pub(crate) fn silent(&mut self, now: Instant, key: RunnerKey) {
        let Some(runner) = self.runners.get_mut(key) else { return };
        let jitter = self.rng.random();
        let before = (runner.state(), runner.audible());
        runner.silent(now, jitter, &self.chart);
        let pool = runner.pool;
        if before != (runner.state(), runner.audible()) {
            self.sort(pool);
        }
    }

    /// The pool of an entry's version, if it has runners that are not leaving.
    pub(crate) fn pool(&self, entry: &str, version: &str) -> Option<PoolKey> {
        let pools = self.entries.get(entry)?;
        let pool = pools.iter().copied().find(|p| self.pools[*p].version == version)?;
        self.pools[pool].serves().then_some(pool)
    }

    /// Picks a runner with room.
    pub(crate) fn pick(&mut self, now: Instant, pool: PoolKey, want: &Want) -> Option<RunnerKey> {
        self.pools[pool].pick(&self.runners, now, &mut self.rng, want)
    }

    /// A request was granted to the runner.
    pub(crate) fn sent(&mut self, key: RunnerKey, ticket: Ticket, probe: bool) {
        let Some(runner) = self.runners.get_mut(key) else { return };
        runner.load.sent();
        if probe && runner.audible() {
            runner.probe(ticket, &self.chart);
            let pool = runner.pool;
            self.sort(pool);
        }
    }

    /// A granted request has its first token.
    pub(crate) fn begun(&mut self, key: RunnerKey) {
        let Some(runner) = self.runners.get_mut(key) else { return };
        let state = runner.state();
        runner.ok(&self.chart);
        let pool = runner.pool;
        if runner.state() != state {
            self.sort(pool);
        }
    }

    /// A granted request ended at the runner.
    pub(crate) fn done(&mut self, now: Instant, key: RunnerKey, done: &Done) {
        let Some(runner) = self.runners.get_mut(key) else { return };
        let state = runner.state();
        let pool = runner.pool;
        runner.load.ended();
        match done.verdict {
            Verdict::Ok => runner.ok(&self.chart),
            Verdict::Cancelled => runner.quit(done.ticket, &self.chart),
            Verdict::Broken | Verdict::Stalled | Verdict::Rejected | Verdict::Garbled => {
                let jitter = self.rng.random();
                runner.fail(now, done.ticket, jitter, &self.chart);
            }
        }
        if done.verdict == Verdict::Broken {
            runner.belief.clear(key, &mut self.pools[pool].holders);
        }
        if runner.state() != state {
            self.sort(pool);
        }
    }

    fn name(&mut self, instance: Instance, changed: &mut BTreeSet<PoolKey>) {
        let Some(&key) = self.names.get(&instance.name) else {
            return self.add(instance, changed);
        };
        let runner = &mut self.runners[key];
        runner.listed = self.round;
        let version = match runner.spoke {
            true => runner.instance.version.clone(),
            false => instance.version.clone(),
        };
        let next = Instance { version, ..instance };
        if runner.instance == next {
            return;
        }
        let was = std::mem::replace(&mut runner.instance, next);
        runner.settle(&self.chart);
        changed.insert(runner.pool);
        if (&was.entry, &was.version) != (&runner.instance.entry, &runner.instance.version) {
            self.place(key);
            changed.insert(self.runners[key].pool);
        }
    }

    fn add(&mut self, instance: Instance, changed: &mut BTreeSet<PoolKey>) {
        let pool = self.pool_of(&instance.entry, &instance.version);
        let name = instance.name.clone();
        let mut runner = Runner::new(instance, pool, name_hash(&name), &self.chart);
        runner.listed = self.round;
        runner.settle(&self.chart);
        let key = self.runners.insert(runner);
        self.names.insert(name, key);
        self.pools[pool].add(key);
        changed.insert(pool);
    }

    fn drop_unlisted(&mut self, changed: &mut BTreeSet<PoolKey>) {
        for (key, runner) in self.runners.iter_mut().filter(|(_, r)| r.listed != self.round) {
            runner.remove(&self.chart);
            runner.belief.clear(key, &mut self.pools[runner.pool].holders);
            self.names.remove(&runner.instance.name);
            changed.insert(runner.pool);
        }
        self.runners.retain(|_, r| r.listed == self.round);
    }

    /// Drops the pools that no runner is in, such as those of versions long gone.
    fn drop_empty(&mut self) {
        let used = self.runners.values().map(|r| r.pool).collect::<BTreeSet<_>>();
        self.pools.retain(|p, _| used.contains(&p));
        self.entries.retain(|_, pools| {
            pools.retain(|p| used.contains(p));
            !pools.is_empty()
        });
    }

    /// Moves a runner to the pool of the version that it reports.
    fn moves(&mut self, key: RunnerKey, version: CompactString) {
        self.runners[key].instance.version = version;
        self.place(key);
    }

    /// Puts a runner into the pool of its entry and version. Its old pool drops it, and what was
    /// believed of its cache, as another version has loaded since.
    fn place(&mut self, key: RunnerKey) {
        let instance = &self.runners[key].instance;
        let (entry, version) = (instance.entry.clone(), instance.version.clone());
        let pool = self.pool_of(&entry, &version);
        let runner = &mut self.runners[key];
        runner.belief.clear(key, &mut self.pools[runner.pool].holders);
        runner.pool = pool;
        self.pools[pool].add(key);
    }

    fn pool_of(&mut self, entry: &CompactString, version: &CompactString) -> PoolKey {
        let pools = self.entries.entry(entry.clone()).or_default();
        match pools.iter().copied().find(|p| self.pools[*p].version == *version) {
            Some(pool) => pool,
            None => {
                let pool = self.pools.insert(Pool::new(entry.clone(), version.clone()));
                pools.push(pool);
                pool
            }
        }
    }

    fn apply_load(&mut self, key: RunnerKey, report: &LoadReport) {
        let most = PREFIXES_ALL / self.runners.len().max(1);
        let runner = &mut self.runners[key];
        let pool = &mut self.pools[runner.pool];
        if !runner.present() || report.cache.is_empty() {
            return;
        }
        let most = most.clamp(PREFIXES_LEAST, PREFIXES_MOST);
        runner.belief.take(key, &report.cache, most, &mut pool.holders);
    }

    fn choose(&mut self, pool: PoolKey) {
        let view = View { seed: self.seed, domain: &self.place.domain, nodes: self.nodes };
        self.pools[pool].choose(&self.runners, view);
    }

    fn sort(&mut self, pool: PoolKey) {
        let view = View { seed: self.seed, domain: &self.place.domain, nodes: self.nodes };
        self.pools[pool].sort(&self.runners, view);
    }
}
