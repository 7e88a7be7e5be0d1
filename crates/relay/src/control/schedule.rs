//! Times at which the state that is derived from all nodes is updated.

use {std::time::Duration, tokio::time::Instant};

/// Time per known node between two updates. While nodes change continuously, the updates then take
/// the same share of the processor time at any size.
const INTERVAL_PER_NODE: Duration = Duration::from_micros(500);
/// Interval of updates while no node changes its state, since a node may still change its address.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// Schedule of the updates.
#[derive(Debug, Default)]
pub struct Schedule {
    /// Time of the last update; `None` if the next one must not wait.
    updated_at: Option<Instant>,
    changed: bool,
}

impl Schedule {
    /// Records that a node has changed.
    pub fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// Makes an update due at once.
    pub fn mark_urgent(&mut self) {
        self.updated_at = None;
    }

    /// Records an update.
    pub fn mark_updated(&mut self, now: Instant) {
        *self = Schedule { updated_at: Some(now), changed: false };
    }

    /// Returns whether an update is due in a system with this number of nodes.
    pub fn is_due(&self, now: Instant, nodes: usize) -> bool {
        let interval = INTERVAL_PER_NODE * nodes as u32;
        let interval = if self.changed { interval } else { interval.max(MAX_INTERVAL) };
        self.updated_at.is_none_or(|at| now >= at + interval)
    }
}
