//! What operators want: the catalogue in force.

use {
    super::{Control, follow::Change},
    crate::{catalog::Catalog, lines::IN_FORCE, records::Records, store::Row},
    std::sync::Arc,
};

impl<R: Records> Control<R> {
    pub(super) fn learn_orders(&mut self, change: Change) {
        let rows = match change {
            Change::Whole(rows) | Change::Rows(rows) => rows,
            Change::Down | Change::Up => {
                self.cut_off = matches!(change, Change::Down);
                if self.cut_off {
                    self.metrics.store_failed();
                }
                return self.publish();
            }
        };
        for row in &rows.rows {
            if row.key == R::CATALOG {
                self.put_in_force(row);
            } else {
                self.learn_order(row);
            }
        }
    }

    /// Takes a catalogue, from the store or from a peer. Only a newer one counts: answers of the
    /// store and of peers can overtake each other, and what is in force must never revert.
    pub(super) fn put_in_force(&mut self, row: &Row) {
        let Some(value) = &row.value else { return };
        if self.row.as_ref().is_some_and(|(held, _)| row.revision <= *held) {
            return;
        }
        match self.records.catalog(value) {
            Ok(catalog) if self.is_newer(&catalog) => {
                log::info!(version = catalog.version, revision = row.revision;
                    "{IN_FORCE}");
                self.catalog = Some(Arc::new(catalog));
                self.row = Some((row.revision, value.clone()));
                self.publish();
            }
            Ok(catalog) => {
                log::warn!(version = catalog.version; "an older catalogue is ignored");
            }
            Err(error) => log::warn!(revision = row.revision; "a catalogue can't be used: {error}"),
        }
    }

    fn is_newer(&self, catalog: &Catalog) -> bool {
        self.catalog.as_ref().is_none_or(|held| catalog.version > held.version)
    }
}
