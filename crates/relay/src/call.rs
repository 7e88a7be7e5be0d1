//! A decoded request.

use {
    crate::catalog::{Account, Route},
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
    /// Attempt id, echoed in the response.
    pub id: CompactString,
    /// Host without port.
    pub host: CompactString,
    /// Caller's timeout, counted from the arrival of the head.
    pub timeout: Option<Duration>,
    /// API key.
    pub key: Option<CompactString>,
    /// Last event id of an earlier response, for resumption.
    pub resume: Option<u64>,
    /// Generation size; `None` for plain services.
    pub size: Option<Size>,
    /// Hash of the prompt, for cache affinity.
    pub prompt: Option<u64>,
    /// Headers forwarded unchanged.
    pub headers: HeaderMap,
}

/// Generation size in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Prompt tokens.
    pub prompt: u32,
    /// Maximum output tokens.
    pub output: u32,
}

impl Size {
    /// KV memory needed at the end of the generation, in tokens.
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
    /// Arrival of the head.
    pub start: Instant,
    /// Service selected by the route's weights.
    pub service: CompactString,
    /// Version assignment during a rollout.
    pub version: Option<Choice>,
}

impl Call {
    /// The caller's deadline.
    pub fn caller_deadline(&self) -> Option<Instant> {
        self.head.timeout.map(|p| self.start + p)
    }

    /// Deadline of the final response: the caller's or the route's, whichever is earlier.
    pub fn deadline(&self) -> Instant {
        let timeout = self.start + self.route.timeout;
        self.caller_deadline().map_or(timeout, |end| end.min(timeout))
    }
}
