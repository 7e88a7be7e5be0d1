//! Location of a node.

use compact_str::CompactString;

/// Region and failure domain of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Region. The instance list contains no regions, so routing uses the failure domain only.
    pub region: CompactString,
    /// Failure domain, named as in the instance list.
    pub domain: CompactString,
}
