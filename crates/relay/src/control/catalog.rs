//! Application of the operators' rows.

use {
    super::Control,
    crate::{
        catalog::Catalog,
        log_messages::CATALOG_APPLIED,
        records::Records,
        store::{Row, Store},
    },
    std::sync::Arc,
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
    }

    /// Applies a catalogue from the store or a peer if it is newer than the current one, since
    /// responses may arrive out of order.
    pub(super) fn apply_catalog(&mut self, row: &Row) {
        let Some(value) = &row.value else { return };
        if self.row.as_ref().is_some_and(|(current, _)| row.revision <= *current) {
            return;
        }
        match self.records.parse_catalog(value) {
            Ok(catalog) if self.is_newer(&catalog) => {
                log::info!(version = catalog.version, revision = row.revision;
                    "{CATALOG_APPLIED}");
                self.catalog = Some(Arc::new(catalog));
                self.row = Some((row.revision, value.clone()));
                self.publish();
            }
            Ok(catalog) => {
                log::warn!(version = catalog.version; "outdated catalogue ignored");
            }
            Err(error) => log::warn!(revision = row.revision; "invalid catalogue: {error}"),
        }
    }

    fn is_newer(&self, catalog: &Catalog) -> bool {
        self.catalog.as_ref().is_none_or(|current| catalog.version > current.version)
    }
}
