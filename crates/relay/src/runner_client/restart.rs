//! Detection of engines that have restarted with a new id.
//!
//! An address may be reused by another service, which may have the same models, and the catalogue may be
//! outdated. The new runner is therefore taken for the restarted one only if the address cannot have been
//! reused yet. Its models and memory are checked besides.

use {
    super::RunnerClient,
    crate::{
        dialect::{Dialect, Identity},
        fleet::Endpoint,
        network::Network,
        view::View,
    },
    bilberryfront_decide::member::message::Restart,
    compact_str::CompactString,
    tokio::time::Instant,
};

/// An unlisted runner at a known address.
pub(super) struct Found {
    /// Its id.
    pub(super) id: CompactString,
    /// Whether it answered before the address can have been reused.
    pub(super) is_restart: bool,
}

/// Checks whether the runner found at the address of `endpoint` is the same engine after a restart, and
/// records the result.
pub(super) async fn identify<D: Dialect, N: Network>(
    client: RunnerClient<D, N>,
    endpoint: Endpoint,
    Found { id, is_restart }: Found,
) {
    if !client.fleet.begin_identity_check(&id, Instant::now()) {
        return;
    }
    if !client.fleet.is_listed(endpoint.key) {
        return;
    }
    if !is_restart {
        log::info!(runner = id.as_str(), former = endpoint.id.as_str();
            "unlisted runner at a known address: it may belong to another service");
        return client.fleet.record_restart(Restart { former: endpoint.id, id: None });
    }
    let identity = client.identity(&endpoint).await;
    let service = client.fleet.service(endpoint.key);
    let (Some(identity), Some(service)) = (identity, service) else {
        log::info!(runner = id.as_str(), former = endpoint.id.as_str();
            "unlisted runner at a known address: identity unknown");
        return;
    };
    let is_same = is_same(&client.published.load(), &service, &identity);
    if !is_same {
        log::info!(runner = id.as_str(), former = endpoint.id.as_str(), draining = identity.draining;
            "unlisted runner at a known address: draining or of unknown service");
    }
    client.fleet.record_restart(Restart { former: endpoint.id, id: is_same.then_some(id) });
}

/// Returns whether the identity matches `service` only; false during a rollout, since the version
/// of the runner is unknown.
fn is_same(view: &View, service: &CompactString, identity: &Identity) -> bool {
    let Some(catalog) = &view.catalog else { return false };
    let sole = catalog.sole_service(&identity.models, identity.memory);
    !identity.draining
        && !view.splits.contains_key(service)
        && sole.is_some_and(|sole| sole.name == *service)
}
