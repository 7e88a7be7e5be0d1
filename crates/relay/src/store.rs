//! Interface of the platform's store: versioned rows and a change feed.

use {bytes::Bytes, compact_str::CompactString, std::time::Duration};

/// A result with a [`StoreError`].
pub type Result<T> = std::result::Result<T, StoreError>;

/// Revision of a row or of the newest transaction seen by a response.
pub type Revision = u64;

/// A row or a tombstone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: CompactString,
    /// Content; `None` for a tombstone.
    pub value: Option<Bytes>,
    /// Revision of the last write.
    pub revision: Revision,
}

/// Rows and the revision up to which they are complete.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// By key for a read, by revision for a feed.
    pub rows: Vec<Row>,
    /// Revision of the snapshot.
    pub revision: Revision,
}

/// Why a store call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StoreError {
    /// Rejected; nothing was done.
    #[error("the store is unavailable: {0}")]
    Unavailable(CompactString),
    /// No response; a write may have been applied or may be applied later.
    #[error("the store's response was lost: {0}")]
    Lost(CompactString),
    /// The requested history is no longer available.
    #[error("the store has dropped that part of its history")]
    Compacted,
    /// A precondition failed.
    #[error("another write came first")]
    Conflict,
}

/// A conditional write; `expected` is the current revision, 0 for none, `None` for any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Table.
    pub table: CompactString,
    /// Key.
    pub key: CompactString,
    /// New content; `None` deletes the row.
    pub value: Option<Bytes>,
    /// Expected revision.
    pub expected: Option<Revision>,
}

/// The store. Every call ends within the client's timeout.
pub trait Store: Clone + 'static {
    /// Reads a table.
    fn read(&self, table: &str) -> impl Future<Output = Result<Rows>>;

    /// Long-polls for rows changed after `after`.
    fn feed(
        &self,
        table: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Rows>>;

    /// Writes all rows or none.
    fn write(&self, writes: &[Write]) -> impl Future<Output = Result<Revision>>;
}
