//! Authorization: the entries that an account may use.

use {
    super::problem::{Kind as ProblemKind, not_run},
    bilberryfront_decide::{
        catalog::{Catalog, Entry, Kind},
        id::{AccountKey, EntryKey},
    },
    bilberryfront_wire::problem::Problem,
};

/// A result whose error is the response to the caller.
pub type Result<T> = std::result::Result<T, Problem>;

/// Finds an entry of this kind that the account may use.
pub fn find<'a>(
    catalog: &'a Catalog,
    account: AccountKey,
    name: &str,
    kind: Kind,
) -> Result<(EntryKey, &'a Entry)> {
    let found = catalog.entry(name).map(|key| (key, &catalog.entries[key]));
    let Some((key, entry)) = found.filter(|(_, entry)| entry.kind == kind) else {
        let detail = format!("no {} entry `{name}` in the catalogue", kind_name(kind));
        return Err(not_run(ProblemKind::UnknownEntry, detail));
    };
    if catalog.access(key, account).is_none() {
        let detail = format!("ask {} for access to `{name}`", entry.owner);
        return Err(not_run(ProblemKind::Forbidden, detail));
    }
    Ok((key, entry))
}

/// Returns the largest body limit of all entries, for a body whose entry isn't known before it is
/// read.
pub fn largest_body(catalog: &Catalog) -> u32 {
    catalog.entries.values().map(|e| e.limits.body_bytes).max().unwrap_or(0)
}

fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Engine => "engine",
        Kind::Service => "service",
    }
}
