//! Graceful shutdown of a node.
//!
//! A draining node is not ready. It is listed in address responses only while no node is ready. It
//! continues to serve callers with older address responses, closes each connection after its
//! response, and exits once it is idle and those address responses have expired, or shortly before it
//! is killed.

use {
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::Instant},
};

/// Time before the kill that is reserved for the last responses and the leave message.
const KILL_RESERVE: Duration = Duration::from_millis(800);
/// Time before the exit from which no connections are accepted, so that the last calls are answered.
const ACCEPT_RESERVE: Duration = Duration::from_millis(500);
/// `Retry-After` while draining; short, because other nodes are available.
pub const DRAINING_RETRY: Duration = Duration::from_millis(20);
/// Callers may use an address response for this multiple of its time to live.
const ADDRESS_TTL_MULTIPLE: u32 = 3;
/// Time to live of an address response that lists draining nodes; short, because callers should move
/// to the first node that is ready.
pub const DRAINING_ADDRESSES_TTL: Duration = Duration::from_millis(300);
/// Time until a node has removed the addresses of draining nodes from its address responses.
const ADDRESSES_UPDATE_TIME: Duration = Duration::from_secs(1);
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

    /// Returns the time left until the process must exit; `None` if it is not draining.
    pub fn time_left(&self) -> Option<Duration> {
        let at = (*self.started.borrow())?;
        Some(self.kill_deadline(at).saturating_duration_since(Instant::now()))
    }

    /// Returns the time after the start of a node's drain for which it may be listed in address
    /// responses while no node is ready. It accepts connections until these responses have expired.
    pub fn listing_time(grace: Duration) -> Duration {
        let reserve = DRAINING_ADDRESSES_TTL * ADDRESS_TTL_MULTIPLE + ADDRESSES_UPDATE_TIME;
        accept_time(grace).saturating_sub(reserve)
    }

    /// Returns the time at which the process must exit; `at` is the start of the drain.
    pub fn kill_deadline(&self, at: Instant) -> Instant {
        at + self.grace.saturating_sub(KILL_RESERVE)
    }
}

/// Decides when a draining node stops accepting connections.
#[derive(Debug)]
pub struct Closing {
    /// Time at which the address responses that list this node have expired.
    expired: Instant,
    deadline: Instant,
}

impl Closing {
    /// Creates the state of a node that drains since `at` and was listed in address responses with
    /// this time to live until then.
    pub fn new(drain: &Drain, at: Instant, ttl: Duration) -> Closing {
        let deadline = at + accept_time(drain.grace);
        Closing { expired: at + ttl * ADDRESS_TTL_MULTIPLE, deadline }
    }

    /// Returns whether the node should accept no more connections. `is_listed` is whether address
    /// responses may list it although it is draining, `is_idle` whether no request is in flight.
    pub fn is_due(&mut self, now: Instant, is_listed: bool, is_idle: bool) -> bool {
        if is_listed {
            self.expired = self.expired.max(now + DRAINING_ADDRESSES_TTL * ADDRESS_TTL_MULTIPLE);
        }
        now >= self.deadline || (is_idle && now >= self.expired)
    }
}

fn accept_time(grace: Duration) -> Duration {
    grace.saturating_sub(KILL_RESERVE + ACCEPT_RESERVE)
}
