//! Contents of a call's row in the table.

use {
    crate::id::Incarnation,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Value of a call's row: the claim on the call and, once known, its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Intent {
    /// The only claim that may send the call.
    pub owner: Owner,
    /// Starts at 1; incremented each time a call that was proven not to have run is claimed again.
    pub generation: u32,
    /// Lower-case hex SHA-256 of the call's method, path and body.
    pub digest: CompactString,
    /// Time of the claim, in seconds since the Unix epoch by the owner's clock.
    pub created: u64,
    /// Outcome; `None` until the owner records one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

impl Intent {
    /// Returns the holder of the call.
    pub fn holder(&self) -> Holder {
        Holder { owner: self.owner, created: self.created }
    }
}

/// Identity of a claim: a node's incarnation and a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Owner {
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Number of the claim, unique within the incarnation.
    pub claim: u64,
}

/// The claim that holds a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The claim.
    pub owner: Owner,
    /// Time of the claim, in seconds since the Unix epoch by the owner's clock.
    pub created: u64,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The runner's response.
    Answer(Answer),
    /// The request didn't reach a runner; the call may be claimed again.
    NotRun,
    /// The request may have reached a runner, but the response was lost.
    Unknown,
}

/// A runner's response, stored so that it can be returned to retries.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Stored headers, with lower-case names.
    pub headers: Vec<(CompactString, String)>,
    /// Body.
    pub body: StoredBody,
}

/// A response body, encoded as text because rows hold text only.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    /// A UTF-8 body, unchanged.
    Text(String),
    /// Any other body, in lower-case hex.
    Hex(String),
    /// The body was too long to store; only the first caller received it.
    Dropped,
}
