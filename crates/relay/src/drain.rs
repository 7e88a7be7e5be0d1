//! Graceful shutdown of a node.
//!
//! A draining node is not ready and not in address responses. It keeps serving callers with older
//! address responses, closes each connection after its response, and exits once it is idle and
//! those responses have expired, or shortly before the kill.

use {
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::Instant},
};

/// Reserve before the kill for final responses and the leave message.
const KILL_RESERVE: Duration = Duration::from_millis(800);
/// Callers may keep an address response for this multiple of its time to live.
const ADDRESS_TTL_MULTIPLE: u32 = 3;
/// Share of the grace period after which new streams are rejected, since most would not finish.
const STREAM_CUTOFF_SHARE: f64 = 0.25;

/// Drain state of this node. Clones share it.
#[derive(Clone)]
pub struct Drain {
    grace: Duration,
    started: Arc<watch::Sender<Option<Instant>>>,
}

impl Drain {
    /// A serving node that is killed `grace` after the drain starts.
    pub fn new(grace: Duration) -> Drain {
        Drain { grace, started: Arc::new(watch::Sender::new(None)) }
    }

    /// Starts draining; idempotent.
    pub fn start(&self) {
        let first =
            |at: &mut Option<Instant>| at.replace(at.unwrap_or_else(Instant::now)).is_none();
        if self.started.send_if_modified(first) {
            log::info!(grace = self.grace.as_millis() as u64;
                "draining: removed from address responses, still serving");
        }
    }

    /// Whether the node is draining.
    pub fn is_draining(&self) -> bool {
        self.started.borrow().is_some()
    }

    /// Resolves when the drain starts.
    pub async fn started(&self) -> Instant {
        let mut watch = self.started.subscribe();
        let start = watch.wait_for(Option::is_some).await;
        // The sender lives in `self`.
        start.ok().and_then(|at| *at).unwrap_or_else(Instant::now)
    }

    /// Whether a stream with this deadline should be rejected.
    pub fn outlives_grace(&self, deadline: Instant) -> bool {
        let Some(at) = *self.started.borrow() else { return false };
        let now = Instant::now();
        deadline > at + self.grace && now > at + self.grace.mul_f64(STREAM_CUTOFF_SHARE)
    }

    /// Time at which address responses naming this node have expired.
    pub fn addresses_expire(at: Instant, ttl: Duration) -> Instant {
        at + ttl * ADDRESS_TTL_MULTIPLE
    }

    /// Time at which the process must exit.
    pub fn kill_deadline(&self, at: Instant) -> Instant {
        at + self.grace.saturating_sub(KILL_RESERVE)
    }
}
