//! Recognizing an engine that started anew under another id.
//!
//! Its address alone proves nothing: addresses of runners that are gone are given to other services. What
//! it says of itself does, where only one service of the catalogue has engines like that.

use {
    super::Exchange,
    crate::{
        dialect::{Dialect, Identity},
        fleet::Place,
        network::Network,
        view::View,
    },
    bilberryfront_decide::member::message::Restart,
    compact_str::CompactString,
    tokio::time::Instant,
};

/// Asks the runner `id`, which answered in place of the one at `place`, whether it is the same engine
/// started anew, and tells of it if it is.
pub(super) async fn recognize<D: Dialect, N: Network>(
    exchange: Exchange<D, N>,
    place: Place,
    id: CompactString,
) {
    if !exchange.fleet.is_stranger(&id, Instant::now()) {
        return;
    }
    let identity = exchange.identity(&place).await;
    let service = exchange.fleet.service(place.key);
    let (Some(identity), Some(service)) = (identity, service) else {
        log::info!(runner = id.as_str(), former = place.id.as_str();
            "a stranger at a runner's address doesn't say what it runs");
        return;
    };
    if is_same(&exchange.published.load(), &service, &identity) {
        exchange.fleet.restarted(Restart { former: place.id, id });
    } else {
        log::info!(runner = id.as_str(), former = place.id.as_str();
            "a stranger at a runner's address may be another service's");
    }
}

/// Whether who says this of itself is an engine of `service`. While versions of the service are being
/// moved, its version can't be known, so it isn't.
fn is_same(view: &View, service: &CompactString, identity: &Identity) -> bool {
    let Some(catalog) = &view.catalog else { return false };
    let sole = catalog.sole_service(&identity.models, identity.memory);
    !identity.leaving
        && !view.splits.contains_key(service)
        && sole.is_some_and(|sole| sole.name == *service)
}
