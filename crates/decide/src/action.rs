//! What the core wants done.

use {
    crate::id::{RunnerKey, Ticket},
    compact_str::CompactString,
    std::time::Duration,
};

/// Something to be done, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to this runner.
    Grant(Grant),
    /// Reject the request.
    Reject(Rejection),
}

/// A runner for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The request.
    pub ticket: Ticket,
    /// The runner chosen.
    pub runner: RunnerKey,
    /// The runner's base URL.
    pub url: CompactString,
    /// Version it runs.
    pub version: CompactString,
}

/// No runner for a request. Nothing of it was sent for this ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The request.
    pub ticket: Ticket,
    /// Why.
    pub reason: Reason,
    /// When asking again may help; `None` when it won't.
    pub retry_after: Option<Duration>,
}

/// Why a request gets no runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The entry is not in the catalogue in force.
    NoEntry,
    /// The account may not use the entry.
    NoAccess,
    /// The account's own limit is reached.
    AccountLimit,
    /// The entry's limit is reached and its queue is full.
    EntryLimit,
    /// It would have waited too long.
    WaitTooLong,
    /// No live runner of the entry, or of the pinned version.
    NoRunner,
    /// The retry budget is spent.
    NoBudget,
}
