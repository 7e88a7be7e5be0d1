//! Becoming a node that others know and can talk to.

use {
    super::{NODES, REGISTER_RETRY, authority, members},
    crate::{
        metrics::Metrics,
        settings::Settings,
        store::{Store, Write},
        view::NodeAddress,
    },
    tokio::{sync::mpsc, time::sleep},
};

/// Gets a certificate, listens for peers and registers this node, however long that takes.
pub(super) async fn join<S: Store>(
    settings: Settings,
    store: S,
    metrics: Metrics,
    arrived: mpsc::Sender<members::Joined>,
) {
    let authority = authority::get(&store).await;
    let joined = match members::listen(&settings, &authority, metrics) {
        Ok(joined) => joined,
        Err(error) => return log::error!("cannot start the peer transport: {error}"),
    };
    let address = NodeAddress {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        callers: settings.listen.callers,
        peers: settings.listen.peers,
    };
    // The control thread is gone only when the node has left.
    _ = arrived.send(joined).await;
    register(&store, &address).await;
}

async fn register<S: Store>(store: &S, address: &NodeAddress) {
    let value = serde_json::to_vec(address).expect("plain data serializes");
    let row = Write {
        table: NODES.into(),
        key: address.name.clone(),
        value: Some(value.into()),
        expected: None,
    };
    while let Err(error) = store.write(std::slice::from_ref(&row)).await {
        log::warn!("cannot register this node: {error}");
        sleep(REGISTER_RETRY).await;
    }
}
