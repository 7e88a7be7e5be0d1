//! The pending request to the table.

use {
    super::{lease::LeaseRow, record::MoveRow},
    tokio::time::Instant,
};

/// Rows written by a pending commit.
#[derive(Clone, Debug)]
pub(super) struct PendingCommit {
    pub(super) row: Option<MoveRow>,
    pub(super) lease: Option<LeaseRow>,
}

/// The pending request to the table; an entry has one at a time.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) number: u64,
    pub(super) sent_at: Instant,
    /// `None` for a read.
    pub(super) commit: Option<PendingCommit>,
}
