//! A value that readers see with a delay.

use {
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// The current time and the time visible to readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clock {
    /// Current time.
    pub now: Instant,
    /// Time visible to readers; earlier than `now` while the value is frozen.
    pub visible: Instant,
}

/// A value and those of its earlier states that readers may still see.
pub struct Lagged<T> {
    lag: Duration,
    /// States, oldest first, with the time at which each was set.
    history: VecDeque<(Instant, T)>,
}

impl<T> Lagged<T> {
    /// Creates a value that readers see with a delay of `lag`.
    pub fn new(lag: Duration, now: Instant, value: T) -> Lagged<T> {
        Lagged { lag, history: VecDeque::from([(now, value)]) }
    }

    /// Sets a new state.
    pub fn set(&mut self, clock: Clock, value: T) {
        self.history.push_back((clock.now, value));
        self.prune(clock.visible);
    }

    /// Returns the newest state.
    pub fn newest(&self) -> &T {
        &self.history.back().expect("a state is always kept").1
    }

    /// Returns the state of `lag` before the visible time, or the first one.
    pub fn visible(&mut self, clock: Clock) -> &T {
        self.prune(clock.visible);
        &self.history.front().expect("a state is always kept").1
    }

    /// Drops the states that were replaced at least `lag` before `visible`.
    fn prune(&mut self, visible: Instant) {
        while self.history.get(1).is_some_and(|(since, _)| *since + self.lag <= visible) {
            self.history.pop_front();
        }
    }
}
