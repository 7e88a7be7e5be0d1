//! Where a node stands.

use compact_str::CompactString;

/// Where a node stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Region; the instance list names none, so routing goes by the domain alone.
    pub region: CompactString,
    /// Failure domain, named as in the instance list.
    pub domain: CompactString,
}
