//! Output actions of the core.

use {
    crate::id::{RunnerKey, Ticket},
    compact_str::CompactString,
    std::time::Duration,
};

/// An action to execute. Actions must be executed in the order returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the granted runner.
    Grant(Grant),
    /// Reject the request.
    Reject(Rejection),
}

/// Assignment of a runner to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The request.
    pub ticket: Ticket,
    /// The selected runner.
    pub runner: RunnerKey,
    /// Base URL of the runner.
    pub url: CompactString,
    /// Version that the runner serves.
    pub version: CompactString,
}

/// Rejection of a request for a runner. Nothing was sent to a runner for that request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The request.
    pub ticket: Ticket,
    /// Reason of the rejection.
    pub reason: Reason,
    /// Time after which a new request may succeed; `None` if retrying is useless.
    pub retry_after: Option<Duration>,
}

/// Reason why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The entry is not in the current catalogue.
    NoEntry,
    /// The account may not use the entry.
    NoAccess,
    /// The account has reached its concurrency limit.
    AccountLimit,
    /// The entry has reached its concurrency limit and its queue is full.
    EntryLimit,
    /// The request waited in the queue for the maximum time, or was expected to.
    WaitTooLong,
    /// There is no live runner of the entry, or of the pinned version.
    NoRunner,
    /// The retry budget is exhausted.
    NoBudget,
}
