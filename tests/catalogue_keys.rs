//! Keys of the catalogue's entries over revisions that arrive faster than they are published.

use {
    bilberryfront::{
        catalogue::store::CatalogueRevision,
        control::{
            Control, drive,
            view::{Published, View},
        },
    },
    bilberryfront_decide::{
        Core, Location,
        catalog::{Catalog, CatalogDoc, Class, Entry, Kind, Limits},
    },
    std::sync::Arc,
};

fn numbered(revision: u64, names: &[&str]) -> CatalogueRevision {
    let entry = |name: &&str| Entry {
        name: (*name).into(),
        owner: "desk".into(),
        class: Class::Interactive,
        kind: Kind::Engine,
        versions: vec!["1".into()],
        version: "1".into(),
        limits: Limits::default(),
        accounts: vec![],
    };
    let entries = names.iter().map(entry).collect();
    CatalogueRevision { revision, catalogue: CatalogDoc { accounts: vec![], entries } }
}

/// Lets a control thread take the catalogues in one go, and gives what it publishes.
async fn taken(catalogues: Vec<CatalogueRevision>) -> Arc<View> {
    let published = Published::default();
    let (control, receiver) = Control::new(published.clone());
    for numbered in catalogues {
        control.apply_catalog(numbered);
    }
    drop(control);
    drive(Core::new(1, Location::default()), receiver, published.clone()).await;
    published.load()
}

/// Two revisions arrive before the control thread has published the first, the second with another
/// entry in front. If both were resolved against the published catalogue, the new entry would get
/// the key of the old one, and requests that wait for the old would be sent to the new one's runners.
#[tokio::test(start_paused = true)]
async fn an_entry_keeps_its_key_over_two_quick_revisions() {
    let first = numbered(1, &["verify-llm"]);
    let second = numbered(2, &["redactor-lm", "verify-llm"]);
    let before = Catalog::default().updated(1, &first.catalogue).entry("verify-llm");
    let view = taken(vec![first, second]).await;
    assert_eq!(view.catalog.revision, 2);
    assert!(before.is_some());
    assert_eq!(view.catalog.entry("verify-llm"), before);
    assert_ne!(view.catalog.entry("redactor-lm"), before);
}

/// An older revision arrives late, as from a poll that was under way when a newer one was accepted.
/// An accepted catalogue never reverts, so the older one is dropped.
#[tokio::test(start_paused = true)]
async fn an_older_revision_that_arrives_late_is_dropped() {
    let late = [numbered(1, &["redactor-lm"]), numbered(2, &["redactor-lm"])];
    let [older, same] = late;
    let view = taken(vec![numbered(2, &["verify-llm"]), older, same]).await;
    assert_eq!(view.catalog.revision, 2);
    assert!(view.catalog.entry("verify-llm").is_some());
    assert!(view.catalog.entry("redactor-lm").is_none());
}
