//! Graceful shutdown of a node.
//!
//! A draining node is not ready and not listed in address responses. It continues to serve callers
//! with older address responses, closes each connection after its response, and exits once it is
//! idle and those address responses have expired, or shortly before it is killed.

use {
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::Instant},
};

/// Time before the kill that is reserved for the last responses and the leave message.
const KILL_RESERVE: Duration = Duration::from_millis(800);
/// Callers may use an address response for this multiple of its time to live.
const ADDRESS_TTL_MULTIPLE: u32 = 3;
/// Share of the grace period after which new streams that may outlast it are rejected, since most
/// of them would not finish.
const STREAM_CUTOFF_SHARE: f64 = 0.25;

/// Drain state of this node. Clones share it.
#[derive(Clone)]
pub struct Drain {
    grace: Duration,
    started: Arc<watch::Sender<Option<Instant>>>,
}

impl Drain {
    /// Creates the state of a serving node, which is killed `grace` after its drain starts.
    pub fn new(grace: Duration) -> Drain {
        Drain { grace, started: Arc::new(watch::Sender::new(None)) }
    }

    /// Starts draining, unless this has been done before.
    pub fn start(&self) {
        let first =
            |at: &mut Option<Instant>| at.replace(at.unwrap_or_else(Instant::now)).is_none();
        if self.started.send_if_modified(first) {
            log::info!(grace = self.grace.as_millis() as u64;
                "draining: removed from address responses, still serving");
        }
    }

    /// Returns whether the node is draining.
    pub fn is_draining(&self) -> bool {
        self.started.borrow().is_some()
    }

    /// Waits until the drain starts and returns the time of its start.
    pub async fn started(&self) -> Instant {
        let mut watch = self.started.subscribe();
        let start = watch.wait_for(Option::is_some).await;
        // The sender is owned by `self`.
        start.ok().and_then(|at| *at).unwrap_or_else(Instant::now)
    }

    /// Returns whether a stream with this deadline should be rejected, because it may outlast the
    /// grace period.
    pub fn outlives_grace(&self, deadline: Instant) -> bool {
        let Some(at) = *self.started.borrow() else { return false };
        let now = Instant::now();
        deadline > at + self.grace && now > at + self.grace.mul_f64(STREAM_CUTOFF_SHARE)
    }

    /// Returns the time at which all address responses that list this node have expired; `at` is
    /// the start of the drain.
    pub fn addresses_expire(at: Instant, ttl: Duration) -> Instant {
        at + ttl * ADDRESS_TTL_MULTIPLE
    }

    /// Returns the time at which the process must exit; `at` is the start of the drain.
    pub fn kill_deadline(&self, at: Instant) -> Instant {
        at + self.grace.saturating_sub(KILL_RESERVE)
    }
}
