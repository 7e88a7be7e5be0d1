//! Health of runners: passive outlier ejection.

use {std::time::Duration, tokio::time::Instant};

/// Minimum number of failed runners in one failure domain, within [`FAILURE_WINDOW`], that makes
/// all its runners suspect.
const DOMAIN_FAILURES: usize = 2;
/// The same as a share of the domain's runners, since in a large domain single failures are
/// frequent.
const DOMAIN_SHARE: f64 = 0.05;
/// Window in which failures count as correlated.
const FAILURE_WINDOW: Duration = Duration::from_millis(800);
/// Age up to which a response to this node overrides a failure reported by a peer.
const RECENT: Duration = Duration::from_millis(200);
/// Cool-down after the first failure; it doubles with each further one.
const COOLDOWN_MIN: Duration = Duration::from_millis(800);
/// Maximum cool-down.
const COOLDOWN_MAX: Duration = Duration::from_secs(4);
/// Cool-down of a suspect runner.
const SUSPECT_COOLDOWN: Duration = Duration::from_millis(1_200);
/// Time after a cool-down during which a runner without a response still counts as unstable.
const UNSTABLE_PERIOD: Duration = Duration::from_secs(2);
/// Cool-down after a rejection for lack of capacity.
const OVERLOAD_COOLDOWN: Duration = Duration::from_millis(300);

/// Returns whether a domain with this number of runners is suspect after so many failures.
pub(super) fn is_domain_suspect(failures: usize, runners: usize) -> bool {
    failures >= DOMAIN_FAILURES && failures as f64 >= runners as f64 * DOMAIN_SHARE
}

/// Health of one runner, as observed by this node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    last_seen: Option<Instant>,
    failed_at: Option<Instant>,
    cooldown: Duration,
    ejected_until: Option<Instant>,
}

impl Health {
    /// Records a response, which clears all failures.
    pub fn record_response(&mut self, now: Instant) {
        *self = Health { last_seen: Some(now), ..Health::default() };
    }

    /// Returns the time of the last response.
    pub fn last_seen(&self) -> Option<Instant> {
        self.last_seen
    }

    /// Records a failure and starts a cool-down.
    pub fn record_failure(&mut self, now: Instant) {
        self.cooldown = (self.cooldown * 2).clamp(COOLDOWN_MIN, COOLDOWN_MAX);
        self.failed_at = Some(now);
        self.eject_until(now + self.cooldown);
    }

    /// Records a rejection for lack of capacity.
    pub fn record_overload(&mut self, now: Instant) {
        self.eject_until(now + OVERLOAD_COOLDOWN);
    }

    /// Records a failure reported by a peer, unless the runner has responded to this node recently.
    pub fn record_peer_failure(&mut self, now: Instant) {
        if self.last_seen.is_none_or(|last_seen| now >= last_seen + RECENT) {
            self.record_failure(now);
        }
    }

    /// Records correlated failures in the runner's domain, unless the runner has responded
    /// recently.
    pub fn mark_suspect(&mut self, now: Instant) {
        if self.last_seen.is_none_or(|last_seen| now >= last_seen + RECENT) {
            self.eject_until(now + SUSPECT_COOLDOWN);
        }
    }

    /// Returns whether the runner has failed and not responded since.
    pub fn has_failed(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Returns whether the runner has failed within `FAILURE_WINDOW`.
    pub fn has_failed_recently(&self, now: Instant) -> bool {
        self.failed_at.is_some_and(|at| now < at + FAILURE_WINDOW)
    }

    /// Returns whether the runner is in a cool-down.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the runner is in a cool-down or has ended one within `UNSTABLE_PERIOD`.
    pub fn is_unstable(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until + UNSTABLE_PERIOD)
    }

    fn eject_until(&mut self, until: Instant) {
        self.ejected_until = Some(self.ejected_until.map_or(until, |old| old.max(until)));
    }
}
