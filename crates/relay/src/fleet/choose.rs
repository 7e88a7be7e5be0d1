//! Selection of runners by score; the lowest score is selected.

use {
    super::{Endpoint, Fleet, Inner, Load, Runner, RunnerKey, pace::Kind},
    crate::{call::Size, fanout::Scope},
    bilberryfront_decide::admission::capacity::Need,
    rand::Rng,
    std::cmp::Reverse,
    tokio::time::Instant,
    xxhash_rust::xxh64::xxh64,
};

/// Score of one token of KV memory, relative to one token of unread prompt.
const MEMORY_WEIGHT: f64 = 0.02;
/// Share of an engine's memory above which [`MEMORY_PRESSURE_WEIGHT`] is added.
const MEMORY_PRESSURE_SHARE: f64 = 0.6;
/// Additional score of one token of memory above [`MEMORY_PRESSURE_SHARE`], where runs may be
/// preempted.
const MEMORY_PRESSURE_WEIGHT: f64 = 1.0;
/// Score of one running stream, in prompt tokens. Prefilling a prompt slows down every stream on
/// the same runner.
const RUNNING_WEIGHT: f64 = 2_000.0;
/// Score of generating one output token, relative to one token of unread prompt, for engines of uneven
/// speed. A decoding step takes as long as prefilling 30 tokens (6 ms against 0.2 ms), but with this
/// weight engines that take 0.6 times as long fill their memory before those that take 1.6 times as long
/// are used, since [`RUNNING_WEIGHT`] is below the delay by other prompts at high load. With a third of
/// it, a fast engine gets four streams of 5,200 prompt and 780 output tokens before a median one gets
/// any. Both take equally long then, if prefilling a prompt takes 1 s and interrupts all other streams,
/// and decoding without interruption takes 4 s.
const OUTPUT_WEIGHT: f64 = 10.0;
/// Number of preferred runners of a prompt, by rendezvous hashing. The cached prompt of a resumed
/// stream is looked up on these only.
const PREFERRED_COUNT: usize = 24;
/// Amount subtracted from the score of a preferred runner, in prompt tokens.
const PREFERRED_BONUS: f64 = 4_000.0;
/// Score of an engine in another failure domain, expressed in running streams.
const REMOTE_STREAMS: f64 = 0.75;
/// Share of a plain runner's slots that is used before calls are sent to another failure domain.
const REMOTE_SLOTS_SHARE: f64 = 0.5;
/// Score of an ejected runner; exceeds the score of any load.
const EJECTED_SCORE: f64 = 1e9;
/// Score of a runner in use if an idle one is requested; exceeds the score of most loads.
const IN_USE_SCORE: f64 = 1e6;
/// Score of an engine without room for the request.
const FULL_SCORE: f64 = 1e7;
/// Share of [`EJECTED_SCORE`] for an unstable runner if a stable one is requested.
const UNSTABLE_SHARE: f64 = 0.5;
/// Share of [`EJECTED_SCORE`] for a runner in the avoided failure domain. Exceeds
/// [`UNSTABLE_SHARE`], so that a replica is placed outside its run's domain even if the runners of
/// all other domains are unstable.
const SAME_DOMAIN_SHARE: f64 = 0.75;
/// Range of the random part of a score, in prompt tokens, which breaks ties differently on each
/// node.
const SCORE_JITTER: f64 = 100.0;

/// Requirements of a request.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Required service.
    pub service: &'a str,
    /// Excluded runners.
    pub except: &'a [RunnerKey],
    /// Hash of the prompt, for cache affinity.
    pub prompt: Option<u64>,
    /// KV memory of an engine of the service, in tokens; 0 for a plain service.
    pub memory: u32,
    /// Failure domain to avoid.
    pub avoid_domain: Option<&'a str>,
    /// Version constraint.
    pub version: Option<Version<'a>>,
    /// Whether to avoid runners that failed recently.
    pub stable: bool,
    /// Whether to prefer an idle runner over any that is in use.
    pub idle: bool,
    /// Capacity that an engine should have, if the service has an admission control.
    pub need: Option<Need>,
    /// Size of a generation, if the speed of the engine matters.
    pub size: Option<Size>,
    /// Number of engines with room that are left to requests which start before this one at other
    /// nodes.
    pub skip: u32,
}

/// Version constraint of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version<'a> {
    /// Exactly this version.
    Only(&'a str),
    /// Any other version.
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
    /// Returns the eligible runner with the lowest score.
    pub fn choose(&self, criteria: &Criteria<'_>) -> Option<Endpoint> {
        let mut inner = self.inner.borrow_mut();
        let now = Instant::now();
        inner.refresh_factors(criteria.service, Kind::of(criteria.memory), now);
        let inner = &*inner;
        let mut random = self.random.borrow_mut();
        let keys = inner.services.get(criteria.service)?.iter().copied();
        let eligible = keys.filter(|k| inner.is_eligible(*k, criteria, now));
        let preferred = inner.preferred(criteria);
        let mean = inner.mean_load(criteria, now);
        let is_uneven = criteria.memory == 0 && inner.is_uneven(criteria.service);
        let near = if is_uneven { inner.near_share(criteria, now) } else { 1.0 };
        let mut score = |k| {
            let is_preferred = preferred.contains(&k) && inner.is_reported(k);
            let bonus = if is_preferred { PREFERRED_BONUS } else { 0.0 };
            let jitter = random.random_range(0.0..SCORE_JITTER);
            let score = inner.score(k, criteria, mean, now) - bonus + jitter;
            if !is_uneven {
                return score;
            }
            // Exponentially distributed, so that idle runners are selected in proportion to their speeds:
            // other nodes' calls are not known, and all would select the fastest one.
            let others = -(1.0 - random.random::<f64>()).ln();
            let distance = inner.distance(k, criteria) * (1.0 - near);
            score - distance + inner.runners[k].call_slowness(others)
        };
        let mut scored: Vec<(RunnerKey, f64)> = eligible.map(|k| (k, score(k))).collect();
        let free = scored.iter().filter(|(_, score)| *score < FULL_SCORE).count();
        let index = (criteria.skip as usize).min(free.saturating_sub(1));
        if scored.is_empty() {
            return None;
        }
        let (_, (key, _), _) =
            scored.select_nth_unstable_by(index, |(_, a), (_, b)| a.total_cmp(b));
        Some(inner.endpoint(*key))
    }

    /// Returns the preferred runners of the prompt that are eligible and not ejected.
    pub fn preferred(&self, criteria: &Criteria<'_>) -> Vec<Endpoint> {
        let inner = self.inner.borrow();
        let now = Instant::now();
        let preferred = inner.preferred(criteria).into_iter();
        let eligible = preferred.filter(|k| {
            inner.is_eligible(*k, criteria, now) && !inner.runners[*k].health.is_ejected(now)
        });
        eligible.map(|key| inner.endpoint(key)).collect()
    }

    /// Looks up a runner by id.
    pub fn find(&self, id: &str) -> Option<Endpoint> {
        let inner = self.inner.borrow();
        inner.by_id.get(id).map(|key| inner.endpoint(*key))
    }

    /// Returns whether a runner is ejected or was removed.
    pub fn is_ejected(&self, key: RunnerKey) -> bool {
        let now = Instant::now();
        self.inner.borrow().runners.get(key).is_none_or(|r| r.health.is_ejected(now))
    }
}

impl Inner {
    /// Returns the preferred runners of the prompt. They depend only on the registrations, so all
    /// nodes select the same ones.
    fn preferred(&self, criteria: &Criteria<'_>) -> Vec<RunnerKey> {
        let Some(prompt) = criteria.prompt else { return Vec::new() };
        let keys = self.services.get(criteria.service).into_iter().flatten();
        let hash = |k: &RunnerKey| xxh64(&self.runners[*k].address_hash.to_le_bytes(), prompt);
        let mut ranked: Vec<(u64, RunnerKey)> = keys.map(|k| (hash(k), *k)).collect();
        if ranked.len() > PREFERRED_COUNT {
            ranked.select_nth_unstable_by_key(PREFERRED_COUNT, |(hash, _)| Reverse(*hash));
            ranked.truncate(PREFERRED_COUNT);
        }
        ranked.into_iter().map(|(_, key)| key).collect()
    }

    pub(super) fn is_eligible(
        &self,
        key: RunnerKey,
        criteria: &Criteria<'_>,
        now: Instant,
    ) -> bool {
        let runner = &self.runners[key];
        let registration = &runner.registration;
        runner.accepts_requests(now)
            && runner.has_room(criteria.memory == 0, now)
            && !criteria.except.contains(&key)
            && criteria.version.is_none_or(|v| v.allows(&registration.version))
    }

    fn score(&self, key: RunnerKey, criteria: &Criteria<'_>, mean: f64, now: Instant) -> f64 {
        let runner = &self.runners[key];
        let is_avoided = criteria.avoid_domain == Some(runner.registration.domain.as_str());
        let health = match runner.health {
            health if health.is_ejected(now) => 1.0,
            health if criteria.stable && health.is_unstable(now) => UNSTABLE_SHARE,
            _ => 0.0,
        };
        let in_use = if criteria.idle && !runner.is_idle(now) { IN_USE_SCORE } else { 0.0 };
        let avoided = if is_avoided { SAME_DOMAIN_SHARE } else { 0.0 };
        let is_full = |need: Need| runner.places(criteria.memory, &need, now) == 0;
        // A promoted request leaves no headroom.
        let full = match criteria.need {
            Some(need) if is_full(Need { headroom: 0, ..need }) => 2.0 * FULL_SCORE,
            Some(need) if is_full(need) => FULL_SCORE,
            _ => 0.0,
        };
        let calls = f64::from(runner.calls) * RUNNING_WEIGHT;
        let total = runner.load(now);
        let load = total.weight(criteria.memory) + calls;
        let unreported = if self.is_reported(key) { 0.0 } else { mean };
        let slowness = criteria.size.map_or(0.0, |size| {
            // A fast engine preempts streams for lack of memory as others do.
            let is_full = total.memory.saturating_add(size.total()) > criteria.memory;
            let least = if is_full { 1.0 } else { 0.0 };
            let time = load + unreported - total.pressure(criteria.memory);
            slowness(runner.pace.factor().max(least), time, size)
        });
        load + slowness
            + in_use
            + full
            + unreported
            + self.distance(key, criteria)
            + EJECTED_SCORE * (health + avoided)
    }

    /// Returns the share of the score of other failure domains that applies in a plain service whose
    /// runners differ in speed: 0 if those in this node's domain take twice as long as the median.
    fn near_share(&self, criteria: &Criteria<'_>, now: Instant) -> f64 {
        let keys = self.services.get(criteria.service).into_iter().flatten();
        let near = keys.filter(|key| {
            let runner = &self.runners[**key];
            runner.registration.domain == self.domain
                && self.is_eligible(**key, criteria, now)
                && !runner.health.is_ejected(now)
        });
        let best = near.map(|key| self.runners[*key].pace.factor()).min_by(f64::total_cmp);
        best.map_or(1.0, |factor| (2.0 - factor).clamp(0.0, 1.0))
    }

    /// Returns whether peers report the load of a runner to this node.
    pub(super) fn is_reported(&self, key: RunnerKey) -> bool {
        let registration = &self.runners[key].registration;
        self.scope == Scope::System
            || registration.domain == self.domain && self.scope.includes(&registration.id)
    }

    /// Returns the estimated score of a load that is not reported: the mean over all reported
    /// runners. Ejected ones are included, because their load has moved to the others.
    fn mean_load(&self, criteria: &Criteria<'_>, now: Instant) -> f64 {
        if self.scope == Scope::System || criteria.memory == 0 {
            return 0.0;
        }
        let keys = self.services.get(criteria.service).into_iter().flatten();
        let reported = keys.filter(|key| self.is_reported(**key));
        let (count, sum) = reported.fold((0, 0.0), |(count, sum), key| {
            (count + 1, sum + self.runners[*key].load(now).weight(criteria.memory))
        });
        sum / f64::from(count.max(1))
    }

    /// Returns the score of a runner in another failure domain; 0 in this node's domain.
    fn distance(&self, key: RunnerKey, criteria: &Criteria<'_>) -> f64 {
        let registration = &self.runners[key].registration;
        if registration.domain == self.domain {
            return 0.0;
        }
        let streams = match criteria.memory {
            0 => f64::from(registration.slots) * REMOTE_SLOTS_SHARE,
            _ => REMOTE_STREAMS,
        };
        streams * RUNNING_WEIGHT
    }

    pub(super) fn endpoint(&self, key: RunnerKey) -> Endpoint {
        let registration = &self.runners[key].registration;
        Endpoint {
            key,
            id: registration.id.clone(),
            address: registration.address,
            domain: registration.domain.clone(),
        }
    }
}

impl Runner {
    /// Returns the additional score of a plain runner whose service is uneven, if other nodes have so many
    /// calls in flight on it.
    fn call_slowness(&self, others: f64) -> f64 {
        let (factor, own) = (self.pace.factor(), f64::from(self.calls));
        ((factor - 1.0) * own + factor * others) * RUNNING_WEIGHT
    }
}

/// Returns the additional score of an engine that is slower than the median, or the negative one of a
/// faster engine, whose load has the score `time`; 0 if the factor is 1.
fn slowness(factor: f64, time: f64, size: Size) -> f64 {
    let work = f64::from(size.prompt) + f64::from(size.output) * OUTPUT_WEIGHT;
    (factor - 1.0) * (time + work)
}

impl Load {
    /// Returns the score of the load, in prompt tokens.
    fn weight(self, capacity: u32) -> f64 {
        f64::from(self.unread)
            + f64::from(self.memory) * MEMORY_WEIGHT
            + self.pressure(capacity)
            + f64::from(self.running) * RUNNING_WEIGHT
    }

    /// Returns the part of the score that stands for memory pressure.
    fn pressure(self, capacity: u32) -> f64 {
        let limit = f64::from(capacity) * MEMORY_PRESSURE_SHARE;
        (f64::from(self.memory) - limit).max(0.0) * MEMORY_PRESSURE_WEIGHT
    }
}
