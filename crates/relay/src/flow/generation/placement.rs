//! Selection of runners for streams and their replicas.

use {
    super::{
        Generation,
        race::Race,
        replica::{AvailableReplica, Replica},
        run::Run,
    },
    crate::{
        dialect::Dialect,
        fleet::{Criteria, Endpoint, Load, RunnerKey},
        flow::version_constraint,
        network::Network,
    },
    futures_util::future::join_all,
    tokio::time::Instant,
};

impl<D: Dialect, N: Network> Generation<D, N> {
    /// Returns the replica's holder with the replica if the holder is available, else another
    /// runner. A holder that is only suspect is used as well: a failed attempt takes less time than
    /// prefilling the prompt again.
    pub(super) fn next_endpoint(
        &mut self,
        race: &Race,
    ) -> Option<(Endpoint, Option<AvailableReplica>)> {
        let fleet = &self.traffic.client.fleet;
        let silent = race.silent.as_ref().and_then(|active| active.run.replica());
        let replica = self.last_replica.take().or_else(|| silent.and_then(Replica::available));
        if let Some(replica) = replica {
            let is_usable = |holder: &Endpoint| {
                let is_silent = race.unresponsive.contains(&holder.key) && !race.is_empty();
                let is_paused = fleet.paused_until(holder.key).is_some();
                fleet.is_available(holder.key)
                    && self.traffic.is_version_served(&self.call.service, holder.key)
                    && !is_silent
                    && (!is_paused || race.is_empty())
            };
            let holder = fleet.find_listed(replica.holder(), &self.call.service);
            match holder.filter(is_usable) {
                Some(holder) => return Some((holder, Some(replica))),
                // The silent run may continue and need it again.
                None if race.silent.is_some() => {}
                None if !race.is_empty() => self.last_replica = Some(replica),
                None => log::info!(request = self.call.head.id.as_str(),
                    runner = replica.holder().id.as_str(); "replica holder lost or draining"),
            }
        }
        let endpoint = if race.is_empty() { self.choose() } else { self.choose_hedge(race) };
        Some((endpoint?, None))
    }

    /// Requests a new replica if there is none or its holder is lost or draining.
    pub(super) fn renew_replica(&self, run: &mut Run) {
        let client = &self.traffic.client;
        let is_usable = |replica: &Replica| {
            let is_available = client.fleet.is_available(replica.holder().key);
            !replica.is_taken() && (replica.is_recent() || is_available)
        };
        if run.replica().is_some_and(is_usable) {
            return;
        }
        if self.traffic.level(&self.call).is_some() && !run.begin_replica_search() {
            return;
        }
        let Some(holder) = self.choose_replica_endpoint(run.endpoint(), &[]) else { return };
        let Some(replica_ttl) = self.traffic.engine(&self.call).map(|e| e.replica_ttl) else {
            return;
        };
        let memory = self.call.size().total();
        let lease = client.fleet.lease(holder, Load { memory, ..Load::default() });
        let (id, source) = (self.call.head.id.clone(), run.endpoint().clone());
        run.set_replica(Some(Replica::requested(client.clone(), lease, id, source, replica_ttl)));
    }

    /// Selects a runner that has not failed this stream, or any runner if there is none.
    fn choose(&self) -> Option<Endpoint> {
        self.traffic
            .choose_after(&self.call, &self.failed, self.skip)
            .or_else(|| self.traffic.choose_runner(&self.call, &[]))
    }

    /// Selects a runner that is not ejected and has no attempt of the race, and if possible has not failed
    /// this stream.
    fn choose_hedge(&self, race: &Race) -> Option<Endpoint> {
        let excluded = race.excluded();
        let fleet = &self.traffic.client.fleet;
        let choose = |except: &[RunnerKey]| {
            let endpoint = self.traffic.choose_runner(&self.call, except);
            endpoint.filter(|endpoint| !fleet.is_ejected(endpoint.key))
        };
        choose(&[self.failed.as_slice(), &excluded].concat()).or_else(|| choose(&excluded))
    }

    /// Selects the runner that will hold the replica: in another failure domain, and if possible
    /// one of the prompt's preferred runners, on which other nodes look up the cached prompt.
    pub(super) fn choose_replica_endpoint(
        &self,
        endpoint: &Endpoint,
        excluded: &[RunnerKey],
    ) -> Option<Endpoint> {
        if !self.is_resumable() || !self.traffic.engine(&self.call)?.replication {
            return None;
        }
        let is_retry = !self.failed.is_empty() || !excluded.is_empty();
        let except = [self.failed.as_slice(), excluded, &[endpoint.key]].concat();
        let criteria = self.traffic.criteria(&self.call, &except);
        let avoid_domain = Some(endpoint.domain.as_str());
        let view = self.traffic.published.load();
        let version = version_constraint(&view, &self.call, is_retry);
        let need = self.traffic.replica_need(&self.call);
        // A replica uses only memory, so it is not placed by speed.
        let size = None;
        let criteria = Criteria { avoid_domain, version, stable: true, need, size, ..criteria };
        let fleet = &self.traffic.client.fleet;
        let has_room = |holder: &Endpoint| {
            need.is_none_or(|need| fleet.has_room(holder.key, criteria.memory, &need))
        };
        let holder = fleet.choose(&criteria).filter(has_room);
        if holder.is_none()
            && let Some(level) = self.traffic.level(&self.call)
        {
            self.traffic.metrics.count_withheld_replica(level.order);
        }
        holder
    }

    /// Returns the preferred runner that has most of a resumed stream's prompt in its cache, if any
    /// has a part of it.
    pub(super) async fn find_cached(&self) -> Option<Endpoint> {
        let (Some(prompt), Some(_)) = (self.call.head.prompt, self.call.head.resume) else {
            return None;
        };
        let client = &self.traffic.client;
        let view = self.traffic.published.load();
        let version = version_constraint(&view, &self.call, false);
        let criteria = Criteria { version, ..self.traffic.criteria(&self.call, &[]) };
        let preferred = client.fleet.preferred(&criteria);
        let lookups = preferred.iter().map(|endpoint| client.cached_tokens(endpoint, prompt));
        let results = join_all(lookups).await.into_iter().zip(preferred);
        let (tokens, endpoint) = results.max_by_key(|(tokens, _)| *tokens)?;
        log::info!(request = self.call.head.id.as_str(), prompt, runner = endpoint.id.as_str(), tokens;
            "prompt cache lookup");
        (tokens > 0).then_some(endpoint)
    }

    /// Returns whether a resumed stream cannot produce an event before the caller's deadline.
    pub(super) fn misses_deadline(&self, cached_tokens: bool) -> bool {
        let (Some(position), Some(end)) = (self.call.head.resume, self.call.caller_deadline())
        else {
            return false;
        };
        let unread = if cached_tokens { 0 } else { self.call.size().prompt };
        let left = end.saturating_duration_since(Instant::now());
        let is_too_late =
            self.traffic.prefill_rate(&self.call.service, |rate| rate.exceeds(unread, left));
        if is_too_late {
            log::info!(request = self.call.head.id.as_str(), position, unread,
                left = left.as_millis() as u64; "the prompt cannot be prefilled before the deadline");
        }
        is_too_late
    }
}
