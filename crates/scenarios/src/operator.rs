//! Operators: the catalogues they apply, and what they are told.

use {
    crate::{
        caller::{ENGINE, SERVICE},
        gate::Gate,
        language::{Apply, Told},
        net::PLATFORM,
        node::{Node, Site},
        table::Link,
        world::Result,
    },
    bilberryfront::{
        catalogue::store::{CatalogueRevision, Change, Outcome, Store, StoreError},
        key::digest,
    },
    bilberryfront_decide::{catalog::CatalogDoc, id::Revision},
    compact_str::CompactString,
    serde_json::json,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
};

/// What an operator has been told, and of which revision.
pub(crate) type Answer = Arc<Mutex<Option<(Told, Revision)>>>;
/// All operators by name.
pub(crate) type Operators = BTreeMap<CompactString, Answer>;

/// Puts the first catalogue into the table.
pub(crate) async fn first(site: &Site, version: &str) -> Result {
    let link = Link {
        name: PLATFORM.into(),
        service: site.service.clone(),
        net: site.net.clone(),
        gate: Gate::default(),
        cut: Arc::default(),
    };
    let applied = Store::new(link).apply(&catalogue(version), 0, &change("first")).await;
    (applied == Ok(Outcome::Applied(1))).then_some(()).ok_or_else(|| format!("{applied:?}"))
}

/// Applies a catalogue at a node, as the operators' face does; its reading of HTTP is tested through
/// processes.
pub(crate) fn apply(node: &mut Node, apply: &Apply) -> Answer {
    let told = Answer::default();
    let (store, control) = (Store::new(node.link.clone()), node.control.clone());
    let (catalogue, change) = (catalogue(&apply.version), change(&apply.name));
    let (expect, answer) = (apply.expect, told.clone());
    node.spawn(async move {
        let heard = match store.apply(&catalogue, expect, &change).await {
            Ok(Outcome::Applied(revision)) => {
                control.apply_catalog(CatalogueRevision { revision, catalogue });
                (Told::Applied, revision)
            }
            Ok(Outcome::Conflict(revision)) => (Told::Conflict, revision),
            Err(StoreError::Down(_)) => (Told::Down, 0),
            Err(_) => (Told::Unknown, 0),
        };
        *answer.lock().unwrap() = Some(heard);
    });
    told
}

/// The catalogue whose engines serve `version`.
fn catalogue(version: &str) -> CatalogDoc {
    let access = json!([
        { "account": "desk", "concurrent": 100 },
        { "account": "press", "concurrent": 100 },
    ]);
    let limits =
        json!({ "first_ms": 1_000, "stall_ms": 1_000, "wait_ms": 2_000, "call_ms": 2_000 });
    let entry = |name, kind, version: &str, versions: &[&str]| {
        json!({
            "name": name, "owner": "team", "class": "interactive", "kind": kind,
            "versions": versions, "version": version, "limits": limits, "accounts": access,
        })
    };
    let doc = json!({
        "accounts": [
            { "name": "desk", "keys": [digest("desk")] },
            { "name": "press", "keys": [digest("press")] },
        ],
        "entries": [
            entry(ENGINE, "engine", version, &["v1", "v2"]),
            entry(SERVICE, "service", "v1", &["v1"]),
        ],
    });
    serde_json::from_value(doc).expect("a plain catalogue")
}

fn change(apply: &str) -> Change {
    Change {
        apply: apply.into(),
        who: "operator".into(),
        when: jiff::Timestamp::UNIX_EPOCH,
        comment: String::new(),
    }
}
