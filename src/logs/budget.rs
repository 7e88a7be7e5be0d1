//! Rate limit for log lines.
//!
//! When many requests fail, each of them would write log lines, and writing these would take CPU time from the
//! requests that could still be served. Warnings and errors have a limit of their own, so that lines of lower
//! severity can't displace them.

use {
    logforth::{
        Diagnostic, Filter,
        filter::FilterResult,
        record::{FilterCriteria, Level, Record},
    },
    std::sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    tokio::time::{Duration, Instant},
};

/// Maximum number of lines per second below level `warn`: more than ten times the rate of an instance on a day
/// with crashes, which is about 7 lines per second.
const MAX_INFO_LINES: u32 = 100;
/// Maximum number of lines per second at level `warn` or above.
const MAX_FAILURE_LINES: u32 = 200;
/// Window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Number of lines dropped since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// A filter that limits the rate of log lines and logs how many were dropped.
#[derive(Debug, Default)]
pub struct RateLimit {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    since: Option<Instant>,
    info: u32,
    failures: u32,
    dropped: u64,
}

/// Returns the number of lines dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

impl State {
    /// Starts a new window if the last one has ended, and returns the number of lines dropped in that one.
    fn start_window(&mut self, now: Instant) -> u64 {
        if self.since.is_some_and(|since| now < since + WINDOW) {
            return 0;
        }
        let dropped = self.dropped;
        *self = State { since: Some(now), ..State::default() };
        dropped
    }

    /// Counts a line and returns whether it is within the limit.
    fn count_line(&mut self, level: Level) -> bool {
        let (count, limit) = match level >= Level::Warn {
            true => (&mut self.failures, MAX_FAILURE_LINES),
            false => (&mut self.info, MAX_INFO_LINES),
        };
        *count += 1;
        let is_within_limit = *count <= limit;
        self.dropped += u64::from(!is_within_limit);
        is_within_limit
    }
}

impl Filter for RateLimit {
    fn enabled(&self, _: &FilterCriteria<'_>, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        FilterResult::Neutral
    }

    fn matches(&self, record: &Record<'_>, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        let (left_out, is_allowed) = {
            let mut state =
                self.state.lock().expect("the lock is not poisoned, because no holder panics");
            (state.start_window(Instant::now()), state.count_line(record.level()))
        };
        DROPPED.fetch_add(u64::from(!is_allowed), Ordering::Relaxed);
        if left_out > 0 {
            // This line passes this filter again, in the new window; the lock has been released by now.
            log::warn!(left_out; "log lines were left out");
        }
        if is_allowed { FilterResult::Neutral } else { FilterResult::Reject }
    }
}
