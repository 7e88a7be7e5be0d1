//! Log of the generations and orders of a runner.

use {
    bilberryfront_wire::runner::Order,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Response of `GET /admin/log`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RunnerLog {
    /// Requested generations, oldest first.
    pub calls: Vec<Call>,
    /// Orders received, oldest first.
    pub orders: Vec<Ordered>,
    /// Number of generations that were cancelled.
    pub cancelled: usize,
}

/// A requested generation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Call {
    /// Identifier of the caller's request.
    pub request: CompactString,
    /// Attempt number.
    pub attempt: u32,
    /// Requested version.
    pub version: CompactString,
    /// Index of the first requested token.
    pub index: u32,
    /// Whether the prefix in the request is the text that this runner generates up to `index`.
    pub coherent: bool,
    /// Tokens written.
    pub written: u32,
    /// How it ended; `None` while it is running.
    pub ended: Option<Ended>,
}

/// How a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ended {
    /// Completed.
    Finished,
    /// Rejected: another version is loaded, or the runner is draining.
    Refused,
    /// Connection closed by the fault `cut`.
    Cut,
    /// Ended without its last events by the fault `end`.
    Early,
    /// Connection closed by the client.
    Cancelled,
}

/// A received order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Ordered {
    /// The order.
    pub order: Order,
    /// Whether it was executed; otherwise it was rejected because of its fencing token.
    pub done: bool,
}
