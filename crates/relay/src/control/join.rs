//! Joining of the system: certificate, peer transport and registration.

use {
    super::{
        authority::Authority,
        members::{self, Joined},
    },
    crate::{
        metrics::Metrics,
        settings::Settings,
        store::{Condition, Row, Rows, Store, StoreError, Write},
        view::NodeAddress,
    },
    compact_str::{CompactString, format_compact},
    rand::Rng,
    std::time::Duration,
    tokio::{sync::mpsc, time::sleep},
};

/// Table of the nodes' registrations and their certificate authority. It is one table, so that a
/// starting node can read everything with one call.
pub(super) const TABLE: &str = "bilberryfront";
/// Key of the certificate authority.
const AUTHORITY: &str = "authority";
/// Prefix of the keys of node registrations, followed by the node's name.
const NODE: &str = "node/";
/// Minimum delay before a failed call is retried; the maximum is twice as long.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time over which the nodes are spread at the first start of the whole system: they create the
/// authority and register, and the store limits the rate of writes to a table.
const START_SPREAD: Duration = Duration::from_millis(1_500);
/// Time after the registration of a new node until nodes that started with it are registered and
/// known as well.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Progress of joining.
pub(super) enum Progress {
    /// The store is unavailable; joining continues.
    Unavailable,
    /// The peer transport has started.
    Joined(Box<Joined>, Listing),
    /// Nodes that started at the same time are registered as well.
    Settled,
}

/// Contents of the nodes' table at the start.
pub(super) struct Listing {
    /// Rows.
    pub(super) rows: Rows,
    /// Whether this node was registered before, and therefore most of the others too.
    pub(super) complete: bool,
}

/// Joins the system; calls to the store are retried until they succeed.
pub(super) async fn join<S: Store>(
    settings: Settings,
    store: S,
    metrics: Metrics,
    progress: mpsc::Sender<Progress>,
) {
    if settings.bootstrap {
        sleep(START_SPREAD.mul_f64(rand::rng().random())).await;
    }
    let (authority, rows) = loop {
        match load_authority(&store).await {
            Ok(found) => break found,
            Err(StoreError::Conflict) => {}
            Err(error) => {
                log::warn!(table = TABLE; "cannot read the certificate authority: {error}");
                // The control thread ends only after the node has drained.
                _ = progress.send(Progress::Unavailable).await;
                sleep(retry_delay()).await;
            }
        }
    };
    let joined = match members::listen(&settings, &authority, metrics) {
        Ok(joined) => joined,
        Err(error) => return log::error!("cannot start the peer transport: {error}"),
    };
    let row = registration(&settings);
    let complete = rows.rows.iter().any(|r| r.key == row.key && r.value == row.value);
    _ = progress.send(Progress::Joined(Box::new(joined), Listing { rows, complete })).await;
    if complete {
        return;
    }
    register(&store, row).await;
    sleep(SETTLE_TIME).await;
    _ = progress.send(Progress::Settled).await;
}

fn retry_delay() -> Duration {
    RETRY_DELAY.mul_f64(rand::rng().random_range(1.0..2.0))
}

/// Parses the registration of a node in a row of the table; `None` if it is not one.
pub(super) fn parse_node_address(row: &Row) -> Option<NodeAddress> {
    serde_json::from_slice(row.value.as_ref()?).ok()
}

/// Returns the node's name in the key of a registration; `None` for other keys.
pub(super) fn node_name(key: &str) -> Option<&str> {
    key.strip_prefix(NODE)
}

/// Deletes the registrations of nodes that have been dead for a long time.
pub(super) async fn unregister<S: Store>(store: S, names: Vec<CompactString>) {
    let delete = |name: &CompactString| Write {
        table: TABLE.into(),
        key: format_compact!("{NODE}{name}"),
        value: None,
        condition: Condition::None,
    };
    let writes: Vec<Write> = names.iter().map(delete).collect();
    if let Err(error) = store.write(&writes).await {
        log::warn!(nodes = names.len() as u64; "cannot delete registrations of dead nodes: {error}");
    }
}

/// Reads the table of the nodes, and creates the authority if there is none.
async fn load_authority<S: Store>(store: &S) -> Result<(Authority, Rows), StoreError> {
    let rows = store.read(TABLE).await?;
    let row = rows.rows.iter().find(|r| r.key == AUTHORITY);
    if let Some(authority) = row.and_then(|r| Authority::parse(r.value.as_deref()?)) {
        return Ok((authority, rows));
    }
    let authority = Authority::create().expect("a new key can sign its own certificate");
    let write = Write {
        table: TABLE.into(),
        key: AUTHORITY.into(),
        value: Some(authority.encode().into()),
        condition: row.map_or(Condition::Absent, |row| Condition::At(row.revision)),
    };
    store.write(&[write]).await?;
    Ok((authority, rows))
}

fn registration(settings: &Settings) -> Write {
    let address = NodeAddress {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        callers: settings.listen.callers,
        peers: settings.listen.peers,
    };
    let value = serde_json::to_vec(&address).expect("plain data serializes");
    Write {
        table: TABLE.into(),
        key: format_compact!("{NODE}{}", settings.name),
        value: Some(value.into()),
        condition: Condition::None,
    }
}

async fn register<S: Store>(store: &S, row: Write) {
    while let Err(error) = store.write(std::slice::from_ref(&row)).await {
        log::warn!("cannot register this node: {error}");
        sleep(retry_delay()).await;
    }
}
