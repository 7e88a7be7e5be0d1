//! Application of the operators' rows.

use {
    super::Control,
    crate::{
        log_messages::CATALOG_APPLIED,
        records::Records,
        store::{Row, Store},
    },
    bilberryfront_decide::id::CatalogRevision,
    std::sync::Arc,
    xxhash_rust::xxh32::xxh32,
};

impl<R: Records, S: Store> Control<R, S> {
    pub(super) fn apply_operator_rows(&mut self, rows: &[Row]) {
        for row in rows {
            if row.key == R::CATALOG {
                self.apply_catalog(row);
            } else {
                self.apply_rollout_order(row);
            }
        }
        self.rollouts.mark_loaded();
    }

    /// Applies a catalogue from the store or a peer if it supersedes the current one: responses may
    /// arrive out of order, and a restored store has an older catalogue until the operators write the
    /// lost one again.
    pub(super) fn apply_catalog(&mut self, row: &Row) {
        let Some(value) = &row.value else { return };
        let current = self.row.as_ref().map(|(current, _)| *current).unwrap_or_default();
        if self.row.as_ref().is_some_and(|(_, known)| known == value) {
            return;
        }
        let catalog = match self.records.parse_catalog(value) {
            Ok(catalog) => catalog,
            Err(error) => {
                return log::warn!(revision:% = row.revision; "invalid catalogue: {error}");
            }
        };
        let version = catalog.version;
        let revision = CatalogRevision { version, row: row.revision, hash: xxh32(value, 0) };
        if self.row.is_some() && !revision.supersedes(current) {
            return log::warn!(version, revision:% = row.revision, current = current.version;
                "outdated catalogue ignored");
        }
        log::info!(version, revision:% = row.revision; "{CATALOG_APPLIED}");
        self.catalog = Some(Arc::new(catalog));
        self.row = Some((revision, value.clone()));
        self.publish();
    }
}
