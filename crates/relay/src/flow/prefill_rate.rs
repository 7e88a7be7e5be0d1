//! How fast a service's engines read, as this node has seen, and what can't be read in time.

use std::time::Duration;

/// The best reading speed that was seen of one service's engines: what takes too long at it takes too long
/// at any runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    /// Seconds a prompt token, waiting aside as far as the luckiest request had none.
    read: Option<f64>,
}

impl Pace {
    /// A prompt of so many tokens was read, from its arrival to the first event.
    pub fn has_read(&mut self, tokens: u32, took: Duration) {
        if tokens > 0 {
            let read = took.as_secs_f64() / f64::from(tokens);
            self.read = Some(self.read.map_or(read, |best| best.min(read)));
        }
    }

    /// Whether a prompt can't be read in the time left. Nothing is called so before one was read.
    pub fn is_hopeless(&self, tokens: u32, left: Duration) -> bool {
        self.read.is_some_and(|read| left.as_secs_f64() < read * f64::from(tokens))
    }
}
