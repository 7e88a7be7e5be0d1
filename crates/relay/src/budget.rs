//! Retry budget.
//!
//! The bound is global: in any window, retries stay below a ratio of the requests plus a fixed
//! slack. Each node uses the ratio of its own requests and an equal share of the slack, so no
//! coordination is needed.

use {
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Share of the budget in use; the rest covers retries that arrive in a later window and nodes that
/// have just joined.
const MARGIN: f64 = 0.7;
/// Buckets per window.
const PARTS: u32 = 20;

/// Global bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries of the whole system.
    pub slack: f64,
    /// Window length.
    pub window: Duration,
}

/// Retry budget of one service on this node.
#[derive(Clone, Debug)]
pub struct Budget {
    allowance: Allowance,
    parts: VecDeque<Part>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    start: Instant,
    requests: u32,
    further: u32,
}

impl Budget {
    /// An unused budget.
    pub fn new(allowance: Allowance) -> Budget {
        Budget { allowance, parts: VecDeque::new() }
    }

    /// Counts a request.
    pub fn request(&mut self, now: Instant) {
        self.part(now).requests += 1;
    }

    /// Takes one retry as one of `nodes` nodes; false if the budget is exhausted.
    pub fn take(&mut self, now: Instant, nodes: usize) -> bool {
        self.part(now);
        let sum = |count: fn(&Part) -> u32| self.parts.iter().map(count).sum::<u32>();
        let share = self.allowance.slack / nodes.max(1) as f64;
        let allowed = self.allowance.ratio * f64::from(sum(|p| p.requests)) + share;
        let free = f64::from(sum(|p| p.further)) + 1.0 <= allowed * MARGIN;
        if free {
            self.part(now).further += 1;
        }
        free
    }

    /// The current bucket; drops expired ones.
    fn part(&mut self, now: Instant) -> &mut Part {
        let window = self.allowance.window;
        while self.parts.front().is_some_and(|p| now >= p.start + window) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|p| now >= p.start + window / PARTS) {
            self.parts.push_back(Part { start: now, requests: 0, further: 0 });
        }
        self.parts.back_mut().expect("a part was pushed")
    }
}
