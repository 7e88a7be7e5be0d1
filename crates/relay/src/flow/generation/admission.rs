//! Waiting of streams for a runner with room.

use {
    super::{Generation, NoAttempt, race::Race},
    crate::{
        admission::{Admission, Entry},
        catalog::Level,
        dialect::Dialect,
        drain::DRAINING_RETRY,
        flow::MIN_RETRY_AFTER,
        log_messages::{ADMITTED, NOT_ADMITTED, QUEUED},
        network::Network,
    },
    bilberryfront_decide::admission::queue::Waiting,
    rand::Rng,
    std::{ops::Range, time::Duration},
    tokio::time::{Instant, sleep, sleep_until},
};

/// Interval in milliseconds at which the first request in the queue looks for room; random, so that
/// nodes do not look at the same time.
const LOOK_INTERVAL_MS: Range<u64> = 8..16;
/// The same for other requests, which are also woken when a request leaves the queue.
const IDLE_INTERVAL_MS: Range<u64> = 80..120;
/// Range of the random factor of `Retry-After`, so that rejected callers do not return at the same time.
const RETRY_SPREAD: Range<f64> = 1.0..1.25;

impl<D: Dialect, N: Network> Generation<D, N> {
    /// Waits until the stream may be sent to a runner; returns whether it may. A stream that can be
    /// resumed from a replica does not wait, since the holder has reserved its memory.
    pub(super) async fn wait_for_room(&mut self, race: &Race, end: Instant) -> bool {
        let Some(level) = self.traffic.level(&self.call) else { return true };
        let has_holder = self.last_replica.is_some() || self.cached.is_some();
        if has_holder || self.sends > 0 && self.find_limit(race, end).is_some() {
            return true;
        }
        let name = self.call.account.as_ref().map_or("", |account| account.name.as_str());
        let resumed = self.sends > 0 || self.call.head.resume.is_some();
        let (account, since) = (Admission::account(name), self.call.start);
        let waiting = Waiting { level: level.order, account, resumed, since };
        let admission = self.traffic.admission.clone();
        let mut entry = admission.enter(&self.call.service, waiting);
        loop {
            // Others are woken when the first one leaves.
            let is_head = entry.is_head();
            if is_head && self.may_start(&entry, level) {
                self.log_admitted(&entry);
                let running = entry.start();
                self.running.get_or_insert(running);
                return true;
            }
            let running = self.traffic.client.fleet.running(&self.call.service);
            let expected = entry.expected_wait(running);
            if !self.may_wait(&entry, expected, end) {
                if self.retry.is_some() && !admission.is_closed() {
                    admission.count_rejection(level.order);
                }
                self.log_not_admitted(&entry, expected, end);
                self.no_attempt = Some(NoAttempt::NotAdmitted);
                return false;
            }
            if entry.waited().is_none() {
                log::info!(request = self.call.head.id.as_str(), level = level.order,
                    expected = expected.unwrap_or_default().as_millis() as u64; "{QUEUED}");
                entry.block(expected);
            }
            admission.repeat_report();
            self.wait_for_change(&entry, end).await;
        }
    }

    /// Returns whether the first request in the queue may start, and records the places that other nodes
    /// claim before it. Runners that have failed this stream are used only if all have.
    fn may_start(&mut self, entry: &Entry, level: Level) -> bool {
        let headroom = if entry.is_promoted() { 0 } else { level.headroom };
        let places = match self.traffic.places(&self.call, &self.failed, headroom) {
            0 if !self.traffic.has_runner(&self.call, &self.failed) => {
                self.traffic.places(&self.call, &[], headroom)
            }
            places => places,
        };
        self.skip = entry.claimed();
        self.skip < places
    }

    /// Waits until the request may have become the first one or, if it is, until the loads may have changed.
    async fn wait_for_change(&self, entry: &Entry, end: Instant) {
        let interval = if entry.is_head() { LOOK_INTERVAL_MS } else { IDLE_INTERVAL_MS };
        let interval = sleep(Duration::from_millis(rand::rng().random_range(interval)));
        tokio::pin!(interval);
        loop {
            tokio::select! {
                () = self.traffic.admission.changed() => {
                    if entry.is_head() || self.traffic.admission.is_closed() {
                        return;
                    }
                }
                () = &mut interval => return,
                () = sleep_until(end) => return,
            }
        }
    }

    /// Returns whether a stream may wait for as long as expected. One that has begun to respond waits
    /// until its deadline; another one must have time left to run, and this node must not drain.
    fn may_wait(&mut self, entry: &Entry, expected: Option<Duration>, end: Instant) -> bool {
        let now = Instant::now();
        if now >= end {
            return false;
        }
        if self.first_event_at.is_some() {
            return true;
        }
        if let Some(retry) = self.traffic.quarantine.time_left(&self.call) {
            self.retry = Some(retry);
            return false;
        }
        let admission = &self.traffic.admission;
        if admission.is_closed() {
            self.retry = Some(DRAINING_RETRY);
            return false;
        }
        let wait = expected.unwrap_or_default();
        let least = wait + admission.least_duration(&self.call.service);
        let is_in_time = now + least <= end;
        if !is_in_time {
            // The share of lower levels does not help a request that returns later.
            let room = entry.expected_room().unwrap_or_default().max(MIN_RETRY_AFTER);
            self.retry = Some(room.mul_f64(rand::rng().random_range(RETRY_SPREAD)));
        }
        is_in_time
    }

    fn log_admitted(&self, entry: &Entry) {
        if let Some(waited) = entry.waited() {
            log::info!(request = self.call.head.id.as_str(), level = entry.level(),
                queued = waited.as_millis() as u64; "{ADMITTED}");
        }
    }

    fn log_not_admitted(&self, entry: &Entry, expected: Option<Duration>, end: Instant) {
        let left = end.saturating_duration_since(Instant::now()).as_millis() as u64;
        log::info!(request = self.call.head.id.as_str(), level = entry.level(),
            queued = entry.waited().unwrap_or_default().as_millis() as u64,
            expected = expected.unwrap_or_default().as_millis() as u64, left,
            draining = self.traffic.admission.is_closed(); "{NOT_ADMITTED}");
    }
}
