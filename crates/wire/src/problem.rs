//! Problem details (RFC 9457), the format of every error response.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Media type of problem details.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Problem {
    /// Kind of problem, a relative URI such as `/problems/overloaded`.
    #[serde(rename = "type")]
    pub kind: CompactString,
    /// Short summary, the same for all problems of this kind.
    pub title: CompactString,
    /// HTTP status.
    pub status: u16,
    /// What happened in this case and how to proceed.
    pub detail: String,
    /// How much of the request was executed.
    pub run: Run,
    /// Seconds after which a retry may succeed; also in `Retry-After`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u32>,
}

/// How much of a request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// Nothing reached a back end. This is a guarantee: the request can safely be sent again.
    NotRun,
    /// A back end may have executed it.
    Unknown,
    /// Part of the response was delivered and the rest will not follow.
    Partial,
}
