//! Drain state machine of a node, defined by `charts/drain.json`.

use {
    crate::chart::Chart,
    serde::Deserialize,
    std::{sync::LazyLock, time::Duration},
    tokio::time::Instant,
};

static CHART: LazyLock<Chart<DrainState, DrainEvent>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../../charts/drain.json")).expect("charts/drain.json is valid")
});

/// Drain state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// Not draining.
    Serving,
    /// Not in new address responses; still serves callers that have older ones.
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
    left_at: Option<Instant>,
}

impl Drain {
    /// Creates the state of a serving node whose address responses are valid for `ttl`.
    pub fn new(ttl: Duration) -> Drain {
        Drain { state: CHART.initial(), ttl, left_at: None }
    }

    /// Starts draining; idempotent.
    pub fn leave(&mut self, now: Instant) {
        self.left_at.get_or_insert(now);
        self.apply(DrainEvent::Leave);
    }

    /// Returns whether new requests are accepted. They are, until the last address response that
    /// contains the node has expired.
    pub fn accepts(&mut self, now: Instant) -> bool {
        if self.left_at.is_some_and(|at| now >= at + self.ttl) {
            self.apply(DrainEvent::Lapsed);
        }
        matches!(self.state, DrainState::Serving | DrainState::Leaving)
    }

    /// Returns whether the node is in its own address responses.
    pub fn listed(&self) -> bool {
        self.state == DrainState::Serving
    }

    /// Returns whether the process may exit with `open` requests and streams. Draining has no time
    /// limit, so that no stream is interrupted.
    pub fn finished(&mut self, now: Instant, open: usize) -> bool {
        if !self.accepts(now) && open == 0 {
            self.apply(DrainEvent::Idle);
        }
        self.state == DrainState::Gone
    }

    /// Returns the current state.
    pub fn state(&self) -> DrainState {
        self.state
    }

    fn apply(&mut self, event: DrainEvent) {
        if let Some(next) = CHART.next(self.state, event) {
            self.state = next;
        }
    }
}
