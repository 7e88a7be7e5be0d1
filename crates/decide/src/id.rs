//! Arena keys of the core and other small identifiers.

use {
    serde::{Deserialize, Serialize},
    slotmap::new_key_type,
};

new_key_type! {
    /// Key of a catalogue entry, stable across catalogue revisions.
    pub struct EntryKey;
    /// Key of a client account, stable across catalogue revisions.
    pub struct AccountKey;
    /// Key of a runner known from the instance list.
    pub struct RunnerKey;
    /// Key of a node known from the instance list or from peer messages.
    pub struct NodeKey;
    /// Key of the pool of runners of one entry and version.
    pub struct PoolKey;
}

/// Identifier of a request for a runner. Chosen by the caller of the core and unique for the lifetime
/// of the node process. A retry reuses the ticket of the attempt that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Incarnation of a node, chosen at random at start so that a restarted node is distinguishable
/// from its predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Incarnation(pub u64);

/// Revision number of a catalogue; 0 before the first one.
pub type Revision = u64;
/// Number of an attempt of a generation, from 1.
pub type Attempt = u32;
/// Index of a token in the complete answer, from 0.
pub type Index = u32;
