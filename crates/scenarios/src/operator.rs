//! Simulated operators: the catalogues they apply, and the results they receive.

use {
    crate::{
        caller::{ENGINE_ENTRY, SERVICE_ENTRY},
        gate::Gate,
        language::{Apply, OperatorReply},
        net::PLATFORM,
        node::{Environment, Node},
        table::TableLink,
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

/// Result that an operator received, with its revision; `None` until then.
pub(crate) type SharedReply = Arc<Mutex<Option<(OperatorReply, Revision)>>>;
/// Results of all operators, by operator name.
pub(crate) type Operators = BTreeMap<CompactString, SharedReply>;

/// Writes the initial catalogue to the table.
pub(crate) async fn apply_first_catalogue(environment: &Environment, version: &str) -> Result {
    let link = TableLink {
        name: PLATFORM.into(),
        service: environment.service.clone(),
        net: environment.net.clone(),
        gate: Gate::default(),
        cut: Arc::default(),
    };
    let applied = Store::new(link).apply(&catalogue(version), 0, &change("first")).await;
    (applied == Ok(Outcome::Applied(1))).then_some(()).ok_or_else(|| format!("{applied:?}"))
}

/// Applies a catalogue at a node, as the operators' endpoint does. HTTP parsing is covered by tests that
/// run the real processes.
pub(crate) fn apply(node: &mut Node, apply: &Apply) -> SharedReply {
    let reply = SharedReply::default();
    let (store, control) = (Store::new(node.link.clone()), node.control.clone());
    let (catalogue, change) = (catalogue(&apply.version), change(&apply.name));
    let (expect, shared_reply) = (apply.expect, reply.clone());
    node.spawn(async move {
        let outcome = match store.apply(&catalogue, expect, &change).await {
            Ok(Outcome::Applied(revision)) => {
                control.apply_catalog(CatalogueRevision { revision, catalogue });
                (OperatorReply::Applied, revision)
            }
            Ok(Outcome::Conflict(revision)) => (OperatorReply::Conflict, revision),
            Err(StoreError::Down(_)) => (OperatorReply::Down, 0),
            Err(_) => (OperatorReply::Unknown, 0),
        };
        *shared_reply.lock().unwrap() = Some(outcome);
    });
    reply
}

/// Returns a catalogue whose engines serve `version`.
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
            entry(ENGINE_ENTRY, "engine", version, &["v1", "v2"]),
            entry(SERVICE_ENTRY, "service", "v1", &["v1"]),
        ],
    });
    serde_json::from_value(doc).expect("the catalogue is valid")
}

fn change(apply: &str) -> Change {
    Change {
        apply: apply.into(),
        who: "operator".into(),
        when: jiff::Timestamp::UNIX_EPOCH,
        comment: String::new(),
    }
}
