//! Free capacity of the engines of a service.

use {
    super::{Criteria, Fleet, Inner, Load, Runner, RunnerKey, pace::Kind},
    crate::fanout::Scope,
    bilberryfront_decide::admission::capacity::{Limits, Need, Usage},
    tokio::time::Instant,
};

impl Fleet {
    /// Returns how many requests with these criteria can start on engines that are not ejected; 0 if
    /// the criteria state no need. In a large system, this is the share of this node's group: engines
    /// whose load is not reported to it are assumed to have the mean load of the others.
    pub fn places(&self, criteria: &Criteria<'_>) -> u32 {
        let mut inner = self.inner.borrow_mut();
        let now = Instant::now();
        let Some(need) = criteria.need else { return 0 };
        inner.refresh_factors(criteria.service, Kind::of(criteria.memory), now);
        let inner = &*inner;
        let keys = || inner.services.get(criteria.service).into_iter().flatten().copied();
        let unreported = inner.mean_usage(criteria, now);
        let usable = keys().filter(|key| {
            inner.is_eligible(*key, criteria, now) && !inner.runners[*key].health.is_ejected(now)
        });
        let places = usable.map(|key| {
            let runner = &inner.runners[key];
            match unreported {
                Some(load) if !inner.is_reported(key) => {
                    runner.places_beside(load, criteria.memory, &need)
                }
                _ => runner.places(criteria.memory, &need, now),
            }
        });
        let places: u32 = places.sum();
        if unreported.is_none() {
            return places;
        }
        let reported = keys().filter(|key| inner.is_reported(*key)).count();
        // Rounded up, so that a request starts if there is a place.
        (places as usize * reported).div_ceil(keys().count().max(1)) as u32
    }

    /// Returns whether an engine with this KV memory has room for a request or a replica.
    pub fn has_room(&self, key: RunnerKey, memory: u32, need: &Need) -> bool {
        let inner = self.inner.borrow();
        inner.runners.get(key).is_some_and(|r| r.places(memory, need, Instant::now()) > 0)
    }

    /// Returns the number of running requests on all runners of a service.
    pub fn running(&self, service: &str) -> u32 {
        let inner = self.inner.borrow();
        let now = Instant::now();
        let keys = inner.services.get(service).into_iter().flatten();
        keys.map(|key| inner.runners[*key].load(now).running).sum()
    }
}

impl Inner {
    /// Returns the mean load of the engines whose load is reported to this node; `None` if all are.
    fn mean_usage(&self, criteria: &Criteria<'_>, now: Instant) -> Option<Load> {
        if self.scope == Scope::System {
            return None;
        }
        let keys = self.services.get(criteria.service).into_iter().flatten();
        let reported = keys.filter(|key| self.is_reported(**key));
        let (count, sum) = reported.fold((0, Load::default()), |(count, mut sum), key| {
            sum += self.runners[*key].load(now);
            (count + 1, sum)
        });
        let mean = |sum: u32| sum.div_ceil(count.max(1));
        Some(Load {
            running: mean(sum.running),
            memory: mean(sum.memory),
            unread: sum.unread / count.max(1),
        })
    }
}

impl Runner {
    /// Returns how many requests can start on this engine, whose KV memory has this size.
    pub(super) fn places(&self, memory: u32, need: &Need, now: Instant) -> u32 {
        self.places_beside(self.load(now), memory, need)
    }

    /// Returns how many requests can start on this engine under this load.
    fn places_beside(&self, load: Load, memory: u32, need: &Need) -> u32 {
        // The limit is derived from the best prefill rate of the service.
        let unread = f64::from(load.unread) * self.pace.factor().max(1.0);
        let usage = Usage { running: load.running, memory: load.memory, unread: unread as u32 };
        Limits { slots: self.registration.slots, memory }.places(&usage, need)
    }
}
