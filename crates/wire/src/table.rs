//! The platform's transactional table service.
//!
//! - `POST /commit` with [`Commit`] returns [`Committed`]; a commit counts as one write.
//! - `POST /read` with [`Read`] returns [`Rows`]; it counts as one read, whatever the number of keys.
//! - `POST /scan` with [`Scan`] returns [`Rows`]: all rows with a key prefix, in key order.
//!
//! The response to a commit that was executed may be lost. While the service is down it returns 503
//! or does not respond.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Revision of a row: 0 if absent, 1 after its first write, then incremented by each write.
pub type RowRevision = u64;

/// A set of conditional writes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Commit {
    /// Whether the writes succeed or fail together; otherwise each one is independent.
    pub atomic: bool,
    /// Writes in order.
    pub writes: Vec<Write>,
}

/// One conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Write {
    /// Key of the row.
    pub key: CompactString,
    /// Revision that the row must have; `None` for any.
    pub expect: Option<RowRevision>,
    /// New value; `None` deletes the row, which resets its revision to 0.
    pub value: Option<String>,
}

/// Response to a [`Commit`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Committed {
    /// Result of each write, in the order of the writes.
    pub results: Vec<Written>,
}

/// Result of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Written {
    /// The write was applied and the row now has this revision.
    Done(RowRevision),
    /// The write was not applied because the row has this revision and not the expected one.
    Conflict(RowRevision),
    /// The write was not applied because another one of the same atomic commit conflicted.
    Aborted,
}

/// Request to read rows by key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Read {
    /// Keys of the rows.
    pub keys: Vec<CompactString>,
}

/// Request to read rows by key prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Scan {
    /// Prefix of the keys.
    pub prefix: CompactString,
    /// Maximum rows to return.
    pub limit: u32,
}

/// Those of the requested rows that exist.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
}

/// One row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Row {
    /// Key.
    pub key: CompactString,
    /// Revision.
    pub revision: RowRevision,
    /// Value.
    pub value: String,
}
