//! Catalogue files, and the catalogue in the platform's table service.

pub mod diff;
pub mod store;

use {
    crate::{error::Result, settings::locate::Document},
    bilberryfront_decide::catalog::CatalogDoc,
    std::path::Path,
};

/// Reads and validates a catalogue file.
pub fn load(path: &Path) -> Result<CatalogDoc> {
    parse(&Document::read(path)?)
}

/// Parses and validates a catalogue; each fault is reported with its line.
pub fn parse(doc: &Document) -> Result<CatalogDoc> {
    let catalog = doc.parse::<CatalogDoc>()?;
    let faults = catalog
        .check()
        .into_iter()
        .map(|f| doc.fault(&f.path, f.kind.to_string(), &f.kind.help()))
        .collect();
    doc.ensure_no_faults(faults)?;
    Ok(catalog)
}
