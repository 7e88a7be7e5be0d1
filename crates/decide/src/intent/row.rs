//! What the table keeps of a call.

use {
    crate::id::Incarnation,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Value of a call's row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Intent {
    /// The only claim that may send the call.
    pub owner: Owner,
    /// From 1; grows by one each time a call that was provably not run is claimed again.
    pub generation: u32,
    /// Lower-case hex SHA-256 of the call's method, path and body.
    pub digest: CompactString,
    /// When the claim was made, in seconds since the Unix epoch by the owner's clock.
    pub created: u64,
    /// What came of it; `None` until the owner says.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

impl Intent {
    /// Who has the call.
    pub fn holder(&self) -> Holder {
        Holder { owner: self.owner, created: self.created }
    }
}

/// One claim of one life of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Owner {
    /// The life of the node.
    pub incarnation: Incarnation,
    /// Number of the claim, unique within that life.
    pub claim: u64,
}

/// Who has a call without an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The claim.
    pub owner: Owner,
    /// When it was made, in seconds since the Unix epoch by the owner's clock.
    pub created: u64,
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The runner's answer.
    Answer(Answer),
    /// Nothing reached a runner; the call may be claimed again.
    NotRun,
    /// The request may have reached a runner, but its answer was lost.
    Unknown,
}

/// A runner's answer as kept for a retry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers kept, by lower-case name.
    pub headers: Vec<(CompactString, String)>,
    /// Body.
    pub body: StoredBody,
}

/// A body in a row, which holds text only.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    /// A UTF-8 body as it is.
    Text(String),
    /// Any other body in lower-case hex.
    Hex(String),
    /// The body was too long to keep; only the first caller got it.
    Dropped,
}
