//! Rate limits advertised by runners.
//!
//! A limit applies to all nodes together. It is divided among a few owners, which are nodes that
//! mainly use the runner's failure domain; every node derives them from the same registrations.
//! Nodes that are not owners send no requests to the runner. Each owner has a token bucket for its
//! share. If all nodes had equal shares, the tokens accumulated by idle nodes would exceed a low
//! limit when they are used at the same time.

mod bucket;

use {
    self::bucket::Bucket,
    super::{Fleet, Inner, Runner, RunnerKey},
    crate::{
        log_messages::{RATE_LIMITED, RATE_UNLIMITED},
        view::NodeAddress,
    },
    bilberryfront_decide::member::message::RateLimit,
    compact_str::CompactString,
    std::{cmp::Reverse, collections::BTreeSet, sync::Arc, time::Duration},
    tokio::time::Instant,
    xxhash_rust::xxh64::xxh64,
};

/// Requests that all nodes together may send at once after an idle period, in addition to those of
/// one second. This sum also limits the number of owners, so that each of them may send at least
/// one request.
const BURST: f64 = 3.0;
/// Age at which a limit expires if no response confirms it; the next response then shows whether it
/// still applies.
const LIMIT_TTL: Duration = Duration::from_secs(10);
/// Time for which a limit received by this node is repeated to peers, for those that missed the
/// first report.
const REPEAT_PERIOD: Duration = Duration::from_secs(2);
/// Number of units of a limit per request per second.
const RATE_SCALE: f64 = 1_000.0;

/// Latest limit of a runner, or the information that it no longer has one.
#[derive(Debug)]
pub(super) struct AdvertisedLimit {
    /// Limit in thousandths of a request per second; `None` if an earlier limit has ended.
    rate: Option<u32>,
    /// Time of the response that carried it.
    at: Instant,
    /// Whether this node received that response itself.
    own: bool,
    /// Whether it still has to be reported to peers.
    dirty: bool,
    /// Token bucket for this node's share.
    bucket: Bucket,
}

impl AdvertisedLimit {
    fn is_in_force(&self, now: Instant) -> bool {
        self.rate.is_some() && now < self.at + LIMIT_TTL
    }

    fn report(&self, now: Instant, runner: &CompactString) -> RateLimit {
        let age = now.saturating_duration_since(self.at).as_millis();
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        RateLimit { runner: runner.clone(), limit: self.rate, age_ms }
    }
}

impl Fleet {
    /// Sets the name of this node and the nodes that share the limits.
    pub fn set_nodes(&self, me: &CompactString, nodes: &Arc<Vec<NodeAddress>>) {
        let inner = &mut *self.inner.borrow_mut();
        if inner.me != *me || inner.nodes != *nodes {
            inner.me.clone_from(me);
            inner.nodes.clone_from(nodes);
            inner.divide_limits(Instant::now());
            inner.divide_brittle_rooms();
        }
    }

    /// Records the rate limit given in a runner's response, in requests per second by all nodes
    /// together.
    pub fn set_rate_limit(&self, key: RunnerKey, limit: Option<f64>) {
        let now = Instant::now();
        let limit = limit.map(|limit| (limit * RATE_SCALE).round() as u32);
        if self.inner.borrow_mut().update_limit(key, limit, now, true) {
            self.changed.notify_one();
        }
    }

    /// Returns whether a runner limits its rate of requests.
    pub fn is_rate_limited(&self, key: RunnerKey) -> bool {
        let now = Instant::now();
        self.inner.borrow().runners.get(key).is_some_and(|runner| runner.is_limited(now))
    }

    /// Returns whether a runner may be sent a request: it is neither draining nor paused, and its rate limit, if
    /// any, has a token left for this node.
    pub fn may_send(&self, key: RunnerKey) -> bool {
        let now = Instant::now();
        let may_send = |runner: &Runner| {
            runner.drain.is_none() && runner.pause_left(now).is_zero() && runner.has_token(now)
        };
        self.inner.borrow().runners.get(key).is_none_or(may_send)
    }

    /// Takes a token from this node's share of a runner's rate limit; returns false if there is
    /// none, or if the runner is draining or paused.
    pub fn admit(&self, key: RunnerKey) -> bool {
        let now = Instant::now();
        let inner = &mut *self.inner.borrow_mut();
        match inner.runners.get_mut(key) {
            Some(runner) if runner.drain.is_some() => false,
            Some(runner) if !runner.pause_left(now).is_zero() => false,
            Some(runner) if runner.is_limited(now) => runner.take_token(now),
            _ => true,
        }
    }

    /// Returns the limits received by this node that are `relevant`, for peers.
    pub(super) fn limits(
        &self,
        mut relevant: impl FnMut(&mut AdvertisedLimit) -> bool,
    ) -> Vec<RateLimit> {
        let now = Instant::now();
        let mut inner = self.inner.borrow_mut();
        let reports = inner.runners.values_mut().filter_map(|runner| {
            let limit = runner.limit.as_mut().filter(|limit| limit.own)?;
            relevant(limit).then(|| limit.report(now, &runner.registration.id))
        });
        reports.collect()
    }

    /// Returns the limits that were not reported to peers yet, and marks them as reported.
    pub(super) fn take_limits(&self) -> Vec<RateLimit> {
        self.limits(|limit| std::mem::take(&mut limit.dirty))
    }

    /// Returns the limits that peers may have missed.
    pub(super) fn recent_limits(&self) -> Vec<RateLimit> {
        let now = Instant::now();
        self.limits(|limit| now < limit.at + REPEAT_PERIOD)
    }
}

impl Inner {
    /// Applies a limit unless a newer one is known; returns whether it has to be reported to peers.
    fn update_limit(&mut self, key: RunnerKey, rate: Option<u32>, at: Instant, own: bool) -> bool {
        let now = Instant::now();
        let Some(runner) = self.runners.get_mut(key) else { return false };
        let former = runner.limit.as_ref().filter(|limit| now < limit.at + LIMIT_TTL);
        let is_outdated = former.is_some_and(|former| at < former.at);
        let known = former.and_then(|former| former.rate);
        if is_outdated || (known.is_none() && rate.is_none()) {
            return false;
        }
        let (changed, unreported) = (known != rate, former.is_some_and(|former| former.dirty));
        let bucket = match runner.limit.take() {
            Some(former) if former.rate == rate => former.bucket,
            _ => Bucket::new(now),
        };
        let dirty = own && (changed || unreported);
        runner.limit = Some(AdvertisedLimit { rate, at, own, dirty, bucket });
        if changed {
            log_change(&runner.registration.id, rate);
            self.divide_limit(key, now);
        }
        dirty
    }

    /// Applies a limit reported by a peer.
    pub(super) fn apply_limit(&mut self, report: &RateLimit, now: Instant) {
        let age = Duration::from_millis(report.age_ms.into());
        let (key, at) = (self.by_id.get(&report.runner).copied(), now.checked_sub(age));
        if let (Some(key), Some(at)) = (key, at) {
            self.update_limit(key, report.limit, at, false);
        }
    }

    /// Recomputes this node's share of all limits, after nodes or runners have changed.
    pub(super) fn divide_limits(&mut self, now: Instant) {
        let limited = self.runners.iter().filter(|(_, runner)| runner.is_limited(now));
        let limited: Vec<RunnerKey> = limited.map(|(key, _)| key).collect();
        limited.into_iter().for_each(|key| self.divide_limit(key, now));
    }

    fn divide_limit(&mut self, key: RunnerKey, now: Instant) {
        let runner = &self.runners[key];
        let Some(rate) = runner.limit.as_ref().and_then(|limit| limit.rate) else { return };
        let rate = f64::from(rate) / RATE_SCALE;
        let owners = self.owners(runner, (rate + BURST) as usize);
        let share = if owners.contains(&self.me) { 1.0 / owners.len() as f64 } else { 0.0 };
        if let Some(limit) = &mut self.runners[key].limit {
            limit.bucket.resize(now, rate * share, (rate + BURST) * share);
        }
    }

    /// Returns the nodes that share a runner's limit or room: at most `count`, selected by rendezvous
    /// hashing from the nodes that mainly use the runner's failure domain, or from all nodes if
    /// there are none.
    pub(super) fn owners(&self, runner: &Runner, count: usize) -> BTreeSet<&CompactString> {
        let domains = self.domains(&runner.registration.service);
        let domain = &runner.registration.domain;
        let hash = |name: &CompactString| xxh64(name.as_bytes(), runner.address_hash);
        let is_near =
            |node: &&NodeAddress| preferred_domain(&domains, &node.domain) == Some(domain);
        let mut ranked: Vec<&NodeAddress> = self.nodes.iter().filter(is_near).collect();
        if ranked.is_empty() {
            ranked = self.nodes.iter().collect();
        }
        ranked.sort_unstable_by_key(|node| Reverse(hash(&node.name)));
        ranked.into_iter().take(count).map(|node| &node.name).collect()
    }

    /// Returns the failure domains with ready runners of a service.
    fn domains(&self, service: &str) -> BTreeSet<&CompactString> {
        let keys = self.services.get(service).into_iter().flatten();
        let ready = keys.map(|key| &self.runners[*key]).filter(|runner| runner.is_ready());
        ready.map(|runner| &runner.registration.domain).collect()
    }
}

fn log_change(runner: &str, rate: Option<u32>) {
    match rate {
        Some(rate) => log::info!(runner, limit = f64::from(rate) / RATE_SCALE; "{RATE_LIMITED}"),
        None => log::info!(runner; "{RATE_UNLIMITED}"),
    }
}

/// Returns the failure domain that nodes of the domain `from` mainly use: their own one if it has
/// runners, else one selected by rendezvous hashing.
fn preferred_domain<'a>(
    domains: &BTreeSet<&'a CompactString>,
    from: &CompactString,
) -> Option<&'a CompactString> {
    let seed = xxh64(from.as_bytes(), 0);
    let other = || domains.iter().copied().max_by_key(|d| xxh64(d.as_bytes(), seed));
    domains.get(from).copied().or_else(other)
}

impl Runner {
    pub(super) fn is_limited(&self, now: Instant) -> bool {
        self.limit.as_ref().is_some_and(|limit| limit.is_in_force(now))
    }

    /// Returns whether the rate limit, if any, allows this node another request.
    pub(super) fn has_token(&self, now: Instant) -> bool {
        let limit = self.limit.as_ref().filter(|limit| limit.is_in_force(now));
        limit.is_none_or(|limit| limit.bucket.has_token(now))
    }

    /// Returns the time until the rate limit, if any, allows another request; `None` if this node
    /// has no share of the limit.
    pub(super) fn time_until_token(&self, now: Instant) -> Option<Duration> {
        match &self.limit {
            Some(limit) if limit.is_in_force(now) => limit.bucket.time_until_token(now),
            _ => Some(Duration::ZERO),
        }
    }

    fn take_token(&mut self, now: Instant) -> bool {
        self.limit.as_mut().is_none_or(|limit| limit.bucket.try_take(now))
    }
}
