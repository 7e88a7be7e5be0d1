//! The question to the table that is on its way.

use {
    super::{lease::LeaseRow, record::MoveRow},
    tokio::time::Instant,
};

/// A commit of ours that is on its way.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) row: Option<MoveRow>,
    pub(super) lease: Option<LeaseRow>,
}

/// The one question to the table that is on its way.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub(super) number: u64,
    pub(super) at: Instant,
    pub(super) sent: Option<Sent>,
}
