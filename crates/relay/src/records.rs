//! Encoding and decoding of rows in the store.

use {
    crate::{
        catalog::Catalog,
        rollouts::{RolloutOrder, RolloutStatus},
        view::Registration,
    },
    bytes::Bytes,
    compact_str::CompactString,
};

/// Encoder and decoder of rows.
pub trait Records: Clone + 'static {
    /// Table of the operators' rows: the catalogue and rollout orders.
    const ORDERS: &'static str;
    /// Key of the catalogue.
    const CATALOG: &'static str;
    /// Table of runner registrations, by runner id.
    const RUNNERS: &'static str;

    /// Table of rollout statuses.
    const STATUS: &'static str;

    /// Decodes a catalogue.
    fn parse_catalog(&self, value: &[u8]) -> Result<Catalog, BadRecord>;

    /// Decodes a registration.
    fn parse_registration(&self, id: &str, value: &[u8]) -> Result<Registration, BadRecord>;

    /// Returns the service of a registration; `None` if it is invalid.
    fn registered_service(id: &str, value: &[u8]) -> Option<CompactString>;

    /// Decodes a rollout order; `None` if the key is not one.
    fn parse_order(&self, key: &str, value: &[u8]) -> Option<Result<RolloutOrder, BadRecord>>;

    /// Decodes a rollout status; `None` if the key is not one.
    fn parse_status(&self, key: &str, value: &[u8]) -> Option<Result<RolloutStatus, BadRecord>>;

    /// Returns the service of a rollout status; `None` if the key is not one.
    fn status_service(&self, key: &str) -> Option<CompactString>;

    /// Encodes a rollout status as key and value.
    fn encode_status(&self, record: &RolloutStatus) -> (CompactString, Bytes);
}

/// Error for an invalid row; holds the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("{0}")]
pub struct BadRecord(pub CompactString);
