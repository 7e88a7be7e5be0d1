//! Keys into the core's arenas and other small identifiers.

use {
    serde::{Deserialize, Serialize},
    slotmap::new_key_type,
};

new_key_type! {
    /// A catalogue entry; keeps its key over catalogue revisions.
    pub struct EntryKey;
    /// A client account; keeps its key over catalogue revisions.
    pub struct AccountKey;
    /// A runner known from the instance list.
    pub struct RunnerKey;
    /// A node known from the instance list or from its peer messages.
    pub struct NodeKey;
    /// The runners of one entry and version.
    pub struct PoolKey;
}

/// Names one request for a runner, from [`crate::Event::Request`] to its end. Chosen by the caller of
/// the core, unique within a node's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// One life of a node: random at start, so that a restarted node is never taken for the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Incarnation(pub u64);

/// Number of a whole catalogue; 0 before the first.
pub type Revision = u64;
/// Which try of a generation, from 1.
pub type Attempt = u32;
/// Position of a token in the whole answer, from 0.
pub type Index = u32;
