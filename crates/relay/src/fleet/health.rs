//! How a runner has behaved towards this node.

use {std::time::Duration, tokio::time::Instant};

/// Failures in one failure domain, within [`LATELY`], that cast doubt on all its runners.
pub(super) const DOMAIN_FAILURES: usize = 2;
/// Time in which failures belong together. Streams notice a dead runner within half a second.
const LATELY: Duration = Duration::from_millis(800);
/// Age up to which a sign of life outweighs what others say: streams give one every 50 ms or so.
const FRESH: Duration = Duration::from_millis(200);
/// Time for which a runner is left alone after a failure; it doubles with each further one.
const REST_LEAST: Duration = Duration::from_millis(800);
/// Longest rest: a runner that is back should be found within seconds.
const REST_MOST: Duration = Duration::from_secs(4);
/// Time for which a doubted runner is tried only if there is no other.
const DOUBT: Duration = Duration::from_millis(1_200);
/// Time after a rest or a doubt in which a runner that wasn't heard of since may still be down. A copy
/// that is sent there meanwhile is lost without a word.
const SETTLE: Duration = Duration::from_secs(2);
/// Time for which a runner without room is tried only if there is no other.
const FULL: Duration = Duration::from_millis(300);

/// What a node holds against one runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    heard: Option<Instant>,
    failed: Option<Instant>,
    rest: Duration,
    avoid: Option<Instant>,
}

impl Trouble {
    /// It answered.
    pub fn alive(&mut self, now: Instant) {
        *self = Trouble { heard: Some(now), ..Trouble::default() };
    }

    /// When it last answered.
    pub fn heard(&self) -> Option<Instant> {
        self.heard
    }

    /// It failed.
    pub fn failed(&mut self, now: Instant) {
        self.rest = (self.rest * 2).clamp(REST_LEAST, REST_MOST);
        self.failed = Some(now);
        self.avoid_until(now + self.rest);
    }

    /// It has no room.
    pub fn full(&mut self, now: Instant) {
        self.avoid_until(now + FULL);
    }

    /// Another node says that it failed; it counts only if it wasn't heard of here just now.
    pub fn failed_elsewhere(&mut self, now: Instant) {
        if self.heard.is_none_or(|heard| now >= heard + FRESH) {
            self.failed(now);
        }
    }

    /// Others of its failure domain failed; it counts only if it wasn't heard of since.
    pub fn doubt(&mut self, now: Instant) {
        if self.heard.is_none_or(|heard| now >= heard + FRESH) {
            self.avoid_until(now + DOUBT);
        }
    }

    /// Whether it failed and wasn't heard of since.
    pub fn has_failed(&self) -> bool {
        self.failed.is_some()
    }

    /// Whether it failed a moment ago.
    pub fn failed_lately(&self, now: Instant) -> bool {
        self.failed.is_some_and(|at| now < at + LATELY)
    }

    /// Whether others should be tried first.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid.is_some_and(|until| now < until)
    }

    /// Whether it may still be down.
    pub fn is_unsteady(&self, now: Instant) -> bool {
        self.avoid.is_some_and(|until| now < until + SETTLE)
    }

    fn avoid_until(&mut self, until: Instant) {
        self.avoid = Some(self.avoid.map_or(until, |old| old.max(until)));
    }
}
