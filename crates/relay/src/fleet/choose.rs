//! Which runner gets a request.

use {
    super::{Fleet, Inner, Load, Place, RunnerKey},
    crate::view::State,
    rand::Rng,
    std::cmp::Reverse,
    tokio::time::Instant,
    xxhash_rust::xxh64::xxh64,
};

/// Weight of a token of memory against one of a prompt that waits to be read. A prompt delays the
/// first output of the next one by its whole reading time, and every output of the runner meanwhile;
/// memory that isn't short only makes each step a little longer.
const MEMORY_WEIGHT: f64 = 0.02;
/// Part of a runner's memory up to which it isn't short.
const ROOMY: f64 = 0.6;
/// Weight of a token of memory beyond that: at the end a run is preempted, and its prompt read again.
const SHORT_WEIGHT: f64 = 1.0;
/// Prompt tokens that a running request counts for. While a prompt is read, every stream of its runner
/// slows to a fraction of its pace.
const RUNNING_WEIGHT: f64 = 2_000.0;
/// Runners at which a prompt is at home. Whoever looks for its cache asks them all; with few of them, runs and
/// copies often stand elsewhere, and a caller who comes back has its prompt read again.
const HOMES: usize = 24;
/// Bonus of such a runner over all others, in prompt tokens: what two running streams count for, so
/// that a prompt is rarely read where nobody would look for it.
const HOME: f64 = 4_000.0;
/// Part of a running stream that an engine in another failure domain counts for on top. Its request and every
/// event cross the border between the domains, which is paid by the byte; a stream less beside it is worth
/// more to the caller.
const FAR_STREAM: f64 = 0.75;
/// Part of a plain runner's slots up to which calls stay in this node's failure domain: they wait for
/// nothing there, and what comes at once still finds a slot.
const FAR_SLOTS: f64 = 0.5;
/// Added where others should be tried first; far above any load.
const AVOIDED: f64 = 1e9;
/// Part of that for a runner that may still be down, where a steady one is wanted.
const UNSTEADY: f64 = 0.5;
/// Part of that for a runner in the failure domain that another choice would be better than. It weighs more
/// than [`UNSTEADY`]: when one domain after the other crashes, the steady runners are those that go down next,
/// all together, and a copy kept among them is lost with the run itself.
const NEAR: f64 = 0.75;
/// Random part of a score, in prompt tokens: nodes that know of no load must not all choose the same.
const NOISE: f64 = 100.0;

/// What a request needs of a runner.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Service that must run there.
    pub service: &'a str,
    /// Runners that were tried or are otherwise out.
    pub except: &'a [RunnerKey],
    /// The prompt, where one that was read before is better sent to the same runner.
    pub prompt: Option<u64>,
    /// Memory of one of the service's runners, in tokens; 0 where it has none.
    pub memory: u32,
    /// Failure domain that another choice would be better than.
    pub away: Option<&'a str>,
    /// Version of the software that it must or must not have.
    pub version: Option<Version<'a>>,
    /// Whether it must be there for a while: one that was in trouble a moment ago isn't sure to be.
    pub steady: bool,
}

/// Which versions may run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version<'a> {
    /// Only this one.
    Only(&'a str),
    /// Any but this one.
    Except(&'a str),
}

impl Version<'_> {
    fn allows(self, version: &str) -> bool {
        match self {
            Version::Only(only) => version == only,
            Version::Except(except) => version != except,
        }
    }
}

impl Fleet {
    /// The least loaded runner that may get a request.
    pub fn choose(&self, wanted: &Wanted<'_>) -> Option<Place> {
        let inner = self.inner.borrow();
        let now = Instant::now();
        let mut random = self.random.borrow_mut();
        let keys = inner.services.get(wanted.service)?.iter().copied();
        let open = keys.filter(|k| inner.is_open(*k, wanted));
        let homes = inner.homes(wanted);
        let mut score = |k| {
            let bonus = if homes.contains(&k) { HOME } else { 0.0 };
            inner.score(k, wanted, now) - bonus + random.random_range(0.0..NOISE)
        };
        let scored = open.map(|k| (k, score(k)));
        let (key, _) = scored.min_by(|(_, a), (_, b)| a.total_cmp(b))?;
        Some(inner.place(key))
    }

    /// The runners at which a prompt is at home, as far as they can be asked.
    pub fn homes(&self, wanted: &Wanted<'_>) -> Vec<Place> {
        let inner = self.inner.borrow();
        let now = Instant::now();
        let homes = inner.homes(wanted).into_iter();
        let sound = homes
            .filter(|k| inner.is_open(*k, wanted) && !inner.runners[*k].trouble.is_avoided(now));
        sound.map(|key| inner.place(key)).collect()
    }

    /// Where the runner of this id is, if it is listed.
    pub fn find(&self, id: &str) -> Option<Place> {
        let inner = self.inner.borrow();
        inner.by_id.get(id).map(|key| inner.place(*key))
    }

    /// Whether others than this runner should be tried first.
    pub fn is_avoided(&self, key: RunnerKey) -> bool {
        let now = Instant::now();
        self.inner.borrow().runners.get(key).is_none_or(|r| r.trouble.is_avoided(now))
    }
}

impl Inner {
    /// The runners at which a prompt is at home: every node finds the same ones, whatever it has seen, as long
    /// as the runners are the same.
    fn homes(&self, wanted: &Wanted<'_>) -> Vec<RunnerKey> {
        let Some(prompt) = wanted.prompt else { return Vec::new() };
        let keys = self.services.get(wanted.service).into_iter().flatten();
        let mark = |k: &RunnerKey| {
            let address = self.runners[*k].registration.address;
            xxh64(address.to_string().as_bytes(), prompt)
        };
        let mut ranked: Vec<(u64, RunnerKey)> = keys.map(|k| (mark(k), *k)).collect();
        ranked.sort_unstable_by_key(|(mark, _)| Reverse(*mark));
        ranked.into_iter().take(HOMES).map(|(_, key)| key).collect()
    }

    fn is_open(&self, key: RunnerKey, wanted: &Wanted<'_>) -> bool {
        let registration = &self.runners[key].registration;
        registration.state == State::Ready
            && !wanted.except.contains(&key)
            && wanted.version.is_none_or(|v| v.allows(&registration.version))
    }

    fn score(&self, key: RunnerKey, wanted: &Wanted<'_>, now: Instant) -> f64 {
        let runner = &self.runners[key];
        let near = wanted.away == Some(runner.registration.domain.as_str());
        let trouble = match runner.trouble {
            trouble if trouble.is_avoided(now) => 1.0,
            trouble if wanted.steady && trouble.is_unsteady(now) => UNSTEADY,
            _ => 0.0,
        };
        let near = if near { NEAR } else { 0.0 };
        let calls = f64::from(runner.calls) * RUNNING_WEIGHT;
        let load = runner.load(now).weight(wanted.memory) + calls;
        load + self.distance(key, wanted) + AVOIDED * (trouble + near)
    }

    /// What a runner outside this node's failure domain counts for on top of its load.
    fn distance(&self, key: RunnerKey, wanted: &Wanted<'_>) -> f64 {
        let registration = &self.runners[key].registration;
        if registration.domain == self.domain {
            return 0.0;
        }
        let streams = match wanted.memory {
            0 => f64::from(registration.slots) * FAR_SLOTS,
            _ => FAR_STREAM,
        };
        streams * RUNNING_WEIGHT
    }

    pub(super) fn place(&self, key: RunnerKey) -> Place {
        let registration = &self.runners[key].registration;
        Place {
            key,
            id: registration.id.clone(),
            address: registration.address,
            domain: registration.domain.clone(),
        }
    }
}

impl Load {
    /// The load as prompt tokens that would delay a new request alike.
    fn weight(self, capacity: u32) -> f64 {
        let memory = f64::from(self.memory);
        let short = (memory - f64::from(capacity) * ROOMY).max(0.0);
        f64::from(self.unread)
            + memory * MEMORY_WEIGHT
            + short * SHORT_WEIGHT
            + f64::from(self.running) * RUNNING_WEIGHT
    }
}
