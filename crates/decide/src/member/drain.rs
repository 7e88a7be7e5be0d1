//! Drain state of a node: `charts/drain.json`.

use {
    crate::chart::Chart,
    serde::Deserialize,
    std::{sync::LazyLock, time::Duration},
    tokio::time::Instant,
};

static CHART: LazyLock<Chart<DrainState, DrainEvent>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../../charts/drain.json")).expect("charts/drain.json is whole")
});

/// Drain state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// Serving.
    Serving,
    /// Not in address responses; still serves callers with older ones.
    Leaving,
    /// Rejects new requests with `not_run`; open streams continue.
    Refusing,
    /// Idle: the process may exit.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum DrainEvent {
    Leave,
    Lapsed,
    Idle,
}

/// Drain state machine.
#[derive(Clone, Debug)]
pub struct Drain {
    state: DrainState,
    ttl: Duration,
    left: Option<Instant>,
}

impl Drain {
    /// A serving node with address responses of time to live `ttl`.
    pub fn new(ttl: Duration) -> Drain {
        Drain { state: CHART.initial(), ttl, left: None }
    }

    /// Starts draining; idempotent.
    pub fn leave(&mut self, now: Instant) {
        self.left.get_or_insert(now);
        self.take(DrainEvent::Leave);
    }

    /// Whether new requests are accepted. They are until the last address response has expired.
    pub fn accepts(&mut self, now: Instant) -> bool {
        if self.left.is_some_and(|left| now >= left + self.ttl) {
            self.take(DrainEvent::Lapsed);
        }
        matches!(self.state, DrainState::Serving | DrainState::Leaving)
    }

    /// Whether the node is in its own address responses.
    pub fn listed(&self) -> bool {
        self.state == DrainState::Serving
    }

    /// Whether the process may exit with `open` requests and streams. There is no upper bound, so
    /// that no stream is cut.
    pub fn finished(&mut self, now: Instant, open: usize) -> bool {
        if !self.accepts(now) && open == 0 {
            self.take(DrainEvent::Idle);
        }
        self.state == DrainState::Gone
    }

    /// Current state.
    pub fn state(&self) -> DrainState {
        self.state
    }

    fn take(&mut self, event: DrainEvent) {
        if let Some(next) = CHART.next(self.state, event) {
            self.state = next;
        }
    }
}
