//! Forecast of the wait in the admission queue.

use {std::time::Duration, tokio::time::Instant};

/// Weight of a new observation in the mean duration.
const WEIGHT: f64 = 0.1;
/// Share of the mean duration that a request needs at least; durations spread around the mean.
const LEAST_SHARE: f64 = 0.75;
/// Time after which the number of running requests may be lower than before for a reason other than an
/// outage of runners, from which the service recovers. The peak is kept for up to twice this time.
const PEAK_TIME: Duration = Duration::from_secs(5);

/// Rate at which the requests of a service end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Mean duration from the start of a request to its end, in seconds; `None` before the first
    /// observation.
    mean: Option<f64>,
    /// Start of the current period of [`PEAK_TIME`]; `None` before the first observation.
    period: Option<Instant>,
    /// Highest numbers of running requests in the current period and in the one before.
    peaks: [u32; 2],
}

impl Forecast {
    /// Records the duration of a complete request.
    pub fn observe(&mut self, duration: Duration) {
        let seconds = duration.as_secs_f64();
        self.mean = Some(self.mean.map_or(seconds, |mean| mean + WEIGHT * (seconds - mean)));
    }

    /// Records the number of running requests.
    pub fn observe_running(&mut self, running: u32, now: Instant) {
        let period = *self.period.get_or_insert(now);
        let age = now.saturating_duration_since(period);
        if age >= PEAK_TIME {
            let previous = if age < 2 * PEAK_TIME { self.peaks[0] } else { 0 };
            (self.period, self.peaks) = (Some(now), [0, previous]);
        }
        self.peaks[0] = self.peaks[0].max(running);
    }

    /// Returns the expected time until a request with `ahead` requests ahead of it can start, by Little's
    /// law: the running requests end at the rate of their number over their mean duration. `None` if
    /// nothing is known.
    pub fn wait(&self, ahead: u32) -> Option<Duration> {
        let running = self.peaks.into_iter().max().filter(|running| *running > 0)?;
        let seconds = f64::from(ahead) * self.mean? / f64::from(running);
        Some(Duration::from_secs_f64(seconds))
    }

    /// Returns the least time that a request needs from its start to its end; zero if nothing is known.
    pub fn least_duration(&self) -> Duration {
        Duration::from_secs_f64(self.mean.unwrap_or_default() * LEAST_SHARE)
    }
}
