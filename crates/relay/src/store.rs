//! Interface to the platform's store of versioned rows with a change feed.

pub use bilberryfront_decide::id::StoreRevision as Revision;

use {
    crate::log_messages::{STORE_RESPONSE_LOST, STORE_RESTORED, STORE_UNAVAILABLE},
    bytes::Bytes,
    compact_str::CompactString,
    std::time::Duration,
};

/// Result with a [`StoreError`].
pub type Result<T> = std::result::Result<T, StoreError>;

/// Row or tombstone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: CompactString,
    /// Content; `None` for a tombstone.
    pub value: Option<Bytes>,
    /// Revision of the last write.
    pub revision: Revision,
}

/// Rows with the revision up to which they are complete.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// Rows, ordered by key for a read and by revision for a feed.
    pub rows: Vec<Row>,
    /// Revision of the snapshot.
    pub revision: Revision,
}

/// Why a store call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StoreError {
    /// Call rejected without any effect.
    #[error("{STORE_UNAVAILABLE}{0}")]
    Unavailable(CompactString),
    /// No response; a write may have been applied, or may be applied later.
    #[error("{STORE_RESPONSE_LOST}{0}")]
    Lost(CompactString),
    /// The requested part of the history is no longer available.
    #[error("the store no longer has the requested part of its history")]
    Compacted,
    /// The store was restored from a backup, so its history does not continue at the requested
    /// revision.
    #[error("{STORE_RESTORED}")]
    Restored,
    /// The expected revision of a write did not match.
    #[error("the row was changed by another write")]
    Conflict,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Always met.
    None,
    /// There is no row.
    Absent,
    /// The row has this revision.
    At(Revision),
}

/// Conditional write of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Table.
    pub table: CompactString,
    /// Key.
    pub key: CompactString,
    /// New content; `None` deletes the row.
    pub value: Option<Bytes>,
    /// Condition on the current row.
    pub condition: Condition,
}

/// Client of the store. Every call ends within the client's timeout.
pub trait Store: Clone + 'static {
    /// Reads a table.
    fn read(&self, table: &str) -> impl Future<Output = Result<Rows>>;

    /// Waits up to `wait` for rows that have changed after the revision `after` (long poll).
    fn feed(
        &self,
        table: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Rows>>;

    /// Writes all rows or none.
    fn write(&self, writes: &[Write]) -> impl Future<Output = Result<Revision>>;
}
