//! Decoded requests.

use {
    crate::catalog::{Account, Priority, Route},
    bilberryfront_decide::mover::Choice,
    bytes::Bytes,
    compact_str::CompactString,
    http::{HeaderMap, Method, uri::PathAndQuery},
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Decoded request head.
#[derive(Clone, Debug)]
pub struct Head {
    /// Attempt id, which is returned in the response.
    pub id: CompactString,
    /// Host without port.
    pub host: CompactString,
    /// Caller's timeout, counted from the arrival of the head.
    pub timeout: Option<Duration>,
    /// API key.
    pub key: Option<CompactString>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub resume: Option<u64>,
    /// Size of the generation; `None` for a plain service.
    pub size: Option<Size>,
    /// Hash of the prompt, for cache affinity.
    pub prompt: Option<u64>,
    /// Ids of the prompt's parts that other prompts may share, in order.
    pub prefix: Vec<u64>,
    /// Headers forwarded unchanged.
    pub headers: HeaderMap,
}

/// Size of a generation in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Maximum number of output tokens.
    pub output: u32,
}

impl Size {
    /// Returns the KV memory needed at the end of the generation, in tokens.
    pub fn total(self) -> u32 {
        self.prompt.saturating_add(self.output)
    }
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Head.
    pub head: Head,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// Body.
    pub body: Bytes,
    /// Matched route.
    pub route: Arc<Route>,
    /// Account of the API key.
    pub account: Option<Arc<Account>>,
    /// Time at which the head arrived.
    pub start: Instant,
    /// Service selected by the route's weights.
    pub service: CompactString,
    /// Version assignment during a rollout.
    pub version: Option<Choice>,
}

impl Call {
    /// Returns the size of the generation; zero for a plain service.
    pub fn size(&self) -> Size {
        self.head.size.unwrap_or(Size { prompt: 0, output: 0 })
    }

    /// Returns the priority.
    pub fn priority(&self) -> Priority {
        Priority::new(&self.route, self.account.as_deref())
    }

    /// Returns the caller's deadline.
    pub fn caller_deadline(&self) -> Option<Instant> {
        self.head.timeout.map(|p| self.start + p)
    }

    /// Returns the time left to a runner, which need not work for longer than this node waits.
    pub fn time_left(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }

    /// Returns the deadline of the final response: the caller's or the route's, whichever is
    /// earlier.
    pub fn deadline(&self) -> Instant {
        let timeout = self.start + self.route.timeout;
        self.caller_deadline().map_or(timeout, |end| end.min(timeout))
    }
}
