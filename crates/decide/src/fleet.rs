//! Registry of all known runners, by key, by name, and by entry and version.

use {
    crate::{
        event::{Done, Verdict},
        id::{PoolKey, RunnerKey, Ticket},
        location::Location,
        route::{Criteria, NodeView, Pool, Runners, name_hash},
        runner::{Runner, RunnerChart, State, chart},
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

/// Maximum number of cached prefixes stored for one runner.
const MAX_PREFIXES_PER_RUNNER: usize = 4_096;
/// Lower bound of that maximum, regardless of the number of runners.
const MIN_PREFIXES_PER_RUNNER: usize = 256;
/// Cached prefixes stored for all runners together, at about 50 bytes each.
const MAX_PREFIXES: usize = 131_072;

/// Registry of runners and their pools.
#[derive(Debug)]
pub(crate) struct Fleet {
    runners: Runners,
    names: FxHashMap<CompactString, RunnerKey>,
    pools: SlotMap<PoolKey, Pool>,
    entries: FxHashMap<CompactString, Vec<PoolKey>>,
    chart: RunnerChart,
    location: Location,
    seed: u64,
    revision: u64,
    list_round: u64,
    nodes: usize,
    rng: SmallRng,
}

impl Fleet {
    /// Creates an empty registry.
    pub(crate) fn new(seed: u64, location: Location) -> Fleet {
        Fleet {
            runners: Runners::with_key(),
            names: FxHashMap::default(),
            pools: SlotMap::with_key(),
            entries: FxHashMap::default(),
            chart: chart(),
            location,
            seed,
            revision: 0,
            list_round: 0,
            nodes: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns all runners.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RunnerKey, &Instance)> {
        self.runners.iter().map(|(k, r)| (k, &r.instance))
    }

    /// Returns the runners that this node polls for load.
    pub(crate) fn polled(&self) -> impl Iterator<Item = (RunnerKey, &Instance)> {
        let keys = self.pools.values().flat_map(|p| p.polled(&self.runners));
        keys.map(|k| (k, &self.runners[k].instance))
    }

    /// Returns a runner's entry in the instance list.
    pub(crate) fn instance(&self, runner: RunnerKey) -> Option<&Instance> {
        self.runners.get(runner).map(|r| &r.instance)
    }

    /// Returns the number of live nodes in the instance list.
    pub(crate) fn nodes(&self) -> usize {
        self.nodes
    }

    /// Applies an instance list, unless it is older than the current one.
    pub(crate) fn apply_list(&mut self, list: InstanceList) {
        if list.revision < self.revision {
            return;
        }
        self.revision = list.revision;
        self.list_round += 1;
        let mut changed = BTreeSet::new();
        let mut nodes = 0;
        for instance in list.instances {
            match instance.kind {
                InstanceKind::Node => nodes += usize::from(instance.state == InstanceState::Live),
                _ => self.apply_instance(instance, &mut changed),
            }
        }
        self.remove_unlisted(&mut changed);
        if nodes != self.nodes {
            self.nodes = nodes;
            changed.extend(self.pools.keys());
        }
        changed.into_iter().for_each(|p| self.choose_subset(p));
        self.remove_empty_pools();
    }

    /// Applies a load report.
    pub(crate) fn apply_report(&mut self, key: RunnerKey, report: &LoadReport) {
        let Some(runner) = self.runners.get_mut(key) else { return };
        let state = runner.state();
        let is_eligible = runner.is_eligible();
        let has_version = !report.version.is_empty();
        runner.has_reported_version |= has_version;
        runner.load.apply_report(report);
        runner.on_report(report.leaving, &self.chart);
        let version_changed = has_version && runner.instance.version != report.version;
        let (state_changed, eligibility_changed) =
            (runner.state() != state, runner.is_eligible() != is_eligible);
        let pool = runner.pool;
        if version_changed {
            self.change_version(key, report.version.clone());
        }
        if version_changed || eligibility_changed {
            self.choose_subset(pool);
            self.choose_subset(self.runners[key].pool);
        } else if state_changed || self.runners[key].is_probeable() {
            self.classify(pool);
        }
        self.apply_cache_events(key, report);
    }

    /// Records a missed load report.
    pub(crate) fn load_missing(&mut self, now: Instant, key: RunnerKey) {
        let Some(runner) = self.runners.get_mut(key) else { return };
        let jitter = self.rng.random();
        let before = (runner.state(), runner.is_probeable());
        runner.on_missed_report(now, jitter, &self.chart);
        let pool = runner.pool;
        if before != (runner.state(), runner.is_probeable()) {
            self.classify(pool);
        }
    }

    /// Returns the pool of an entry's version, if it has runners that are not leaving.
    pub(crate) fn pool(&self, entry: &str, version: &str) -> Option<PoolKey> {
        let pools = self.entries.get(entry)?;
        let pool = pools.iter().copied().find(|p| self.pools[*p].version == version)?;
        self.pools[pool].has_eligible().then_some(pool)
    }

    /// Picks a runner with capacity.
    pub(crate) fn pick(
        &mut self,
        now: Instant,
        pool: PoolKey,
        criteria: &Criteria,
    ) -> Option<RunnerKey> {
        self.pools[pool].pick(&self.runners, now, &mut self.rng, criteria)
    }

    /// Returns whether the runner is known and not suspect.
    pub(crate) fn is_healthy(&self, key: RunnerKey) -> bool {
        self.runners.get(key).is_some_and(|runner| runner.state() == State::Healthy)
    }

    /// Records a request granted to the runner.
    pub(crate) fn record_sent(&mut self, key: RunnerKey, ticket: Ticket, probe: bool) {
        let Some(runner) = self.runners.get_mut(key) else { return };
        runner.load.record_sent();
        if probe && runner.is_probeable() {
            runner.on_probe_sent(ticket, &self.chart);
            let pool = runner.pool;
            self.classify(pool);
        }
    }

    /// Records the first token of a granted request.
    pub(crate) fn started(&mut self, key: RunnerKey) {
        let Some(runner) = self.runners.get_mut(key) else { return };
        let state = runner.state();
        runner.on_success(&self.chart);
        let pool = runner.pool;
        if runner.state() != state {
            self.classify(pool);
        }
    }

    /// Records the end of a granted request.
    pub(crate) fn complete(&mut self, now: Instant, key: RunnerKey, done: &Done) {
        let Some(runner) = self.runners.get_mut(key) else { return };
        let state = runner.state();
        let pool = runner.pool;
        runner.load.record_ended();
        match done.verdict {
            Verdict::Ok => runner.on_success(&self.chart),
            Verdict::Cancelled => runner.on_probe_cancelled(done.ticket, &self.chart),
            Verdict::Broken | Verdict::Stalled | Verdict::Rejected | Verdict::Garbled => {
                let jitter = self.rng.random();
                runner.on_failure(now, done.ticket, jitter, &self.chart);
            }
        }
        if done.verdict == Verdict::Broken {
            runner.cached_prefixes.clear(key, &mut self.pools[pool].holders);
        }
        if runner.state() != state {
            self.classify(pool);
        }
    }

    fn apply_instance(&mut self, instance: Instance, changed: &mut BTreeSet<PoolKey>) {
        let Some(&key) = self.names.get(&instance.name) else {
            return self.add(instance, changed);
        };
        let runner = &mut self.runners[key];
        runner.list_round = self.list_round;
        let version = match runner.has_reported_version {
            true => runner.instance.version.clone(),
            false => instance.version.clone(),
        };
        let next = Instance { version, ..instance };
        if runner.instance == next {
            return;
        }
        let previous = std::mem::replace(&mut runner.instance, next);
        runner.update_leaving(&self.chart);
        changed.insert(runner.pool);
        if (&previous.entry, &previous.version)
            != (&runner.instance.entry, &runner.instance.version)
        {
            self.assign_pool(key);
            changed.insert(self.runners[key].pool);
        }
    }

    fn add(&mut self, instance: Instance, changed: &mut BTreeSet<PoolKey>) {
        let pool = self.pool_of(&instance.entry, &instance.version);
        let name = instance.name.clone();
        let mut runner = Runner::new(instance, pool, name_hash(&name), &self.chart);
        runner.list_round = self.list_round;
        runner.update_leaving(&self.chart);
        let key = self.runners.insert(runner);
        self.names.insert(name, key);
        self.pools[pool].add(key);
        changed.insert(pool);
    }

    fn remove_unlisted(&mut self, changed: &mut BTreeSet<PoolKey>) {
        for (key, runner) in
            self.runners.iter_mut().filter(|(_, r)| r.list_round != self.list_round)
        {
            runner.on_unlisted(&self.chart);
            runner.cached_prefixes.clear(key, &mut self.pools[runner.pool].holders);
            self.names.remove(&runner.instance.name);
            changed.insert(runner.pool);
        }
        self.runners.retain(|_, r| r.list_round == self.list_round);
    }

    /// Removes pools without runners, such as those of retired versions.
    fn remove_empty_pools(&mut self) {
        let used = self.runners.values().map(|r| r.pool).collect::<BTreeSet<_>>();
        self.pools.retain(|p, _| used.contains(&p));
        self.entries.retain(|_, pools| {
            pools.retain(|p| used.contains(p));
            !pools.is_empty()
        });
    }

    /// Sets the version that a runner reports and moves it to the pool of that version.
    fn change_version(&mut self, key: RunnerKey, version: CompactString) {
        self.runners[key].instance.version = version;
        self.assign_pool(key);
    }

    /// Adds a runner to the pool of its entry and version. Its cached prefixes are dropped from the
    /// old pool, because loading another version empties the cache.
    fn assign_pool(&mut self, key: RunnerKey) {
        let instance = &self.runners[key].instance;
        let (entry, version) = (instance.entry.clone(), instance.version.clone());
        let pool = self.pool_of(&entry, &version);
        let runner = &mut self.runners[key];
        runner.cached_prefixes.clear(key, &mut self.pools[runner.pool].holders);
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

    fn apply_cache_events(&mut self, key: RunnerKey, report: &LoadReport) {
        let max_prefixes = MAX_PREFIXES / self.runners.len().max(1);
        let runner = &mut self.runners[key];
        let pool = &mut self.pools[runner.pool];
        if !runner.is_eligible() || report.cache.is_empty() {
            return;
        }
        let max_prefixes = max_prefixes.clamp(MIN_PREFIXES_PER_RUNNER, MAX_PREFIXES_PER_RUNNER);
        runner.cached_prefixes.apply_events(key, &report.cache, max_prefixes, &mut pool.holders);
    }

    fn choose_subset(&mut self, pool: PoolKey) {
        let view = NodeView { seed: self.seed, domain: &self.location.domain, nodes: self.nodes };
        self.pools[pool].choose_subset(&self.runners, view);
    }

    fn classify(&mut self, pool: PoolKey) {
        let view = NodeView { seed: self.seed, domain: &self.location.domain, nodes: self.nodes };
        self.pools[pool].classify(&self.runners, view);
    }
}
