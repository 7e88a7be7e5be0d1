//! Token bucket.

use {std::time::Duration, tokio::time::Instant};

/// Maximum returned wait, for a bucket with a very low rate.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Token bucket, empty at first.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    /// Tokens per second.
    rate: f64,
    capacity: f64,
    tokens: f64,
    /// Time up to which tokens have been added.
    updated_at: Instant,
}

impl Bucket {
    /// Creates an empty bucket with the rate and capacity 0.
    pub(super) fn new(now: Instant) -> Bucket {
        Bucket { rate: 0.0, capacity: 0.0, tokens: 0.0, updated_at: now }
    }

    /// Changes the rate, in tokens per second, and the capacity.
    pub(super) fn resize(&mut self, now: Instant, rate: f64, capacity: f64) {
        self.tokens = self.level(now).min(capacity);
        (self.rate, self.capacity, self.updated_at) = (rate, capacity, now);
    }

    /// Returns whether a token is available.
    pub(super) fn has_token(&self, now: Instant) -> bool {
        self.level(now) >= 1.0
    }

    /// Takes a token; returns false if none is available.
    pub(super) fn try_take(&mut self, now: Instant) -> bool {
        (self.tokens, self.updated_at) = (self.level(now), now);
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }

    /// Returns the time until a token is available; `None` if the rate is 0.
    pub(super) fn time_until_token(&self, now: Instant) -> Option<Duration> {
        let missing = (1.0 - self.level(now)).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / self.rate).unwrap_or(MAX_WAIT);
        (self.rate > 0.0).then(|| wait.min(MAX_WAIT))
    }

    fn level(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        (self.tokens + self.rate * elapsed).min(self.capacity)
    }
}
