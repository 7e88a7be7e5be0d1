//! Keys of catalogue entries when revisions arrive faster than they are published.

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

/// Sends the catalogues to a control thread as one batch, and returns the view that it publishes.
async fn published_view(catalogues: Vec<CatalogueRevision>) -> Arc<View> {
    let published = Published::default();
    let (control, receiver) = Control::new(published.clone());
    for numbered in catalogues {
        control.apply_catalog(numbered);
    }
    drop(control);
    drive(Core::new(1, Location::default()), receiver, published.clone()).await;
    published.load()
}

/// Guards against an entry key that is assigned twice. Two revisions arrive before the control
/// thread has published the first, and the second one has a new entry in front. If both were
/// compared with the published catalogue, the new entry would get the key of the old one, and
/// requests that wait for the old entry would be sent to runners of the new one.
#[tokio::test(start_paused = true)]
async fn an_entry_keeps_its_key_when_two_revisions_arrive_together() {
    let first = numbered(1, &["verify-llm"]);
    let second = numbered(2, &["redactor-lm", "verify-llm"]);
    let before = Catalog::default().updated(1, &first.catalogue).entry("verify-llm");
    let view = published_view(vec![first, second]).await;
    assert_eq!(view.catalog.revision, 2);
    assert!(before.is_some());
    assert_eq!(view.catalog.entry("verify-llm"), before);
    assert_ne!(view.catalog.entry("redactor-lm"), before);
}

/// Guards against a catalogue that reverts when an older revision arrives late, such as from a poll
/// that was in progress when a newer one was accepted.
#[tokio::test(start_paused = true)]
async fn an_older_revision_that_arrives_late_is_dropped() {
    let late = [numbered(1, &["redactor-lm"]), numbered(2, &["redactor-lm"])];
    let [older, same] = late;
    let view = published_view(vec![numbered(2, &["verify-llm"]), older, same]).await;
    assert_eq!(view.catalog.revision, 2);
    assert!(view.catalog.entry("verify-llm").is_some());
    assert!(view.catalog.entry("redactor-lm").is_none());
}
