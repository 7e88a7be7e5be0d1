//! How fast a service's engines are, as this node has seen, and what can't be finished in time.

use std::time::Duration;

/// Weight of the newest stream in the mean length: some twenty streams make the mean.
const NEWEST: f64 = 0.05;
/// Part of the expected rest of a stream that must fit into the time left, since lengths vary. Of 80
/// streams that came back seconds before their callers' patience ended, 13 were finished (three days); with this
/// part the tokens read for nothing on one of those days fell from 142,600 to 70,000.
const REST: f64 = 0.5;

/// Speeds and lengths of one service's streams. Speeds are the best ever seen, so that what is
/// called too long at them is too long at any runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    /// Seconds to read one prompt token, waiting aside as far as the luckiest request had none.
    read: Option<f64>,
    /// Seconds between two events.
    gap: Option<f64>,
    /// Events of a stream, on average.
    events: Option<f64>,
}

impl Pace {
    /// A prompt of so many tokens was read from its first to its last one.
    pub fn has_read(&mut self, tokens: u32, took: Duration) {
        if tokens > 0 {
            let read = took.as_secs_f64() / f64::from(tokens);
            self.read = Some(self.read.map_or(read, |best| best.min(read)));
        }
    }

    /// A stream of so many events ended whole, `took` after its first one.
    pub fn has_ended(&mut self, events: u64, took: Duration) {
        if events < 2 {
            return;
        }
        let (count, gap) = (events as f64, took.as_secs_f64() / (events - 1) as f64);
        self.gap = Some(self.gap.map_or(gap, |best| best.min(gap)));
        self.events = Some(self.events.map_or(count, |mean| mean + (count - mean) * NEWEST));
    }

    /// Whether a stream that is at `position` can't be finished in the time left, with `unread` tokens of
    /// its prompt to be read before. Nothing is called so before a stream was seen whole.
    pub fn is_hopeless(&self, unread: u32, position: u64, left: Duration) -> bool {
        let (Some(read), Some(gap), Some(events)) = (self.read, self.gap, self.events) else {
            return false;
        };
        let rest = (events - position as f64).max(0.0);
        let least = read * f64::from(unread) + rest * REST * gap;
        left.as_secs_f64() < least
    }
}
