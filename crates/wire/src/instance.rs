//! The platform's instance list (`GET /instances`), which may be out of date.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Response of `GET /instances`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct InstanceList {
    /// Increases with every change of the list; a list with a lower revision than one already read is
    /// stale.
    pub revision: u64,
    /// All instances known to the platform.
    pub instances: Vec<Instance>,
}

/// One process known to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Instance {
    /// Unique name; the replacement of an instance gets another name.
    pub name: CompactString,
    /// Kind of instance.
    pub kind: InstanceKind,
    /// Base URL of its HTTP interface.
    pub url: CompactString,
    /// Failure domain.
    pub domain: CompactString,
    /// Catalogue entry that it serves; empty for a node.
    #[serde(default)]
    pub entry: CompactString,
    /// Version that it runs; empty for a node.
    #[serde(default)]
    pub version: CompactString,
    /// Whether it accepts new requests.
    pub state: InstanceState,
    /// Whether it rejects orders with an outdated fencing token.
    #[serde(default)]
    pub fenced: bool,
    /// Address of its peer transport (`IP:PORT`, UDP); only for a node.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<CompactString>,
}

/// Kind of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// A node of bilberryfront.
    Node,
}

/// Whether an instance accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Accepts new requests.
    Live,
    /// Draining: finishes its requests and gets no new ones.
    Leaving,
}
