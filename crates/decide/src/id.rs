//! Arena keys of the core and other small identifiers.

use {
    serde::{Deserialize, Serialize},
    slotmap::new_key_type,
    std::{cmp::Ordering, fmt},
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

/// Point in the history of the platform's store.
///
/// Each transaction gets the next number. A store that is restored from a backup starts a new era and
/// assigns the numbers of the lost transactions again, so numbers of different eras are unrelated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct StoreRevision {
    /// Number of restorations.
    pub era: u64,
    /// Number of the transaction.
    pub number: u64,
}

impl StoreRevision {
    /// Creates a revision.
    pub const fn new(era: u64, number: u64) -> StoreRevision {
        StoreRevision { era, number }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// Identity of a catalogue, from which nodes tell which of two is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct CatalogRevision {
    /// Version assigned by the operators; 0 for none.
    pub version: u64,
    /// Revision of the row in the store.
    pub row: StoreRevision,
    /// Hash of the content.
    pub hash: u32,
}

impl CatalogRevision {
    /// Returns whether this catalogue replaces `other`.
    ///
    /// The version decides, because a restored store may contain an older catalogue at a later
    /// revision. Operators whose latest versions were lost may assign them again to other content, which
    /// then wins by the revision of its row.
    pub fn supersedes(self, other: CatalogRevision) -> bool {
        match self.version.cmp(&other.version) {
            Ordering::Equal => self.row > other.row && self.hash != other.hash,
            order => order.is_gt(),
        }
    }
}

impl From<Revision> for CatalogRevision {
    fn from(version: Revision) -> CatalogRevision {
        CatalogRevision { version, ..CatalogRevision::default() }
    }
}

/// Number of an attempt of a generation, from 1.
pub type Attempt = u32;
/// Index of a token in the complete answer, from 0.
pub type Index = u32;
