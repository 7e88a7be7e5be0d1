//! How a node leaves without cutting an answer.
//!
//! On the order to leave it is out of the address answers and not ready at once. It goes on serving
//! callers who hold an older answer, closes each connection with the answer on it, and ends when
//! nothing is under way and the answers that name it have lapsed, or shortly before it would be killed.

use {
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::Instant},
};

/// Time kept back from the grace, to write out the last answers and say goodbye before the kill, also on
/// a slow instance.
const RESERVE: Duration = Duration::from_millis(800);
/// Callers may keep an address answer for this many times its time to live.
const KEPT: u32 = 3;
/// Part of the grace after which streams are no longer begun: most last longer than what is left, and
/// a refusal sends the caller to a node that can finish.
const LAST_STREAM: f64 = 0.25;

/// A node's own leaving. Clones share it.
#[derive(Clone)]
pub struct Leaving {
    grace: Duration,
    ordered: Arc<watch::Sender<Option<Instant>>>,
}

impl Leaving {
    /// A node in service that is killed `grace` after the order to leave.
    pub fn new(grace: Duration) -> Leaving {
        Leaving { grace, ordered: Arc::new(watch::Sender::new(None)) }
    }

    /// Starts to leave; a second order changes nothing.
    pub fn order(&self) {
        let first =
            |at: &mut Option<Instant>| at.replace(at.unwrap_or_else(Instant::now)).is_none();
        if self.ordered.send_if_modified(first) {
            log::info!(grace = self.grace.as_millis() as u64;
                "leaving: out of the address answers, still serving");
        }
    }

    /// Whether the node is leaving.
    pub fn is_leaving(&self) -> bool {
        self.ordered.borrow().is_some()
    }

    /// Waits for the order to leave.
    pub async fn ordered(&self) -> Instant {
        let mut watch = self.ordered.subscribe();
        let order = watch.wait_for(Option::is_some).await;
        // The sender lives in this very struct.
        order.ok().and_then(|at| *at).unwrap_or_else(Instant::now)
    }

    /// Whether a stream that may last until `deadline` shouldn't be begun here any more.
    pub fn outlasts_grace(&self, deadline: Instant) -> bool {
        let Some(at) = *self.ordered.borrow() else { return false };
        let now = Instant::now();
        deadline > at + self.grace && now > at + self.grace.mul_f64(LAST_STREAM)
    }

    /// When the answers that name this node have lapsed, given their time to live.
    pub fn forgotten(at: Instant, ttl: Duration) -> Instant {
        at + ttl * KEPT
    }

    /// When the process must end whatever is under way.
    pub fn end(&self, at: Instant) -> Instant {
        at + self.grace.saturating_sub(RESERVE)
    }
}
