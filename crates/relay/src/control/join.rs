//! Joining of the system: certificate, peer transport and registration.

use {
    super::{
        authority::Authority,
        members::{self, Joined, unix_millis},
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
    tokio::{
        sync::mpsc,
        time::{Instant, sleep},
    },
};

/// Table of the nodes' registrations and their certificate authority. It is one table, so that a
/// starting node can read everything with one call.
pub const TABLE: &str = "bilberryfront";
/// Key of the certificate authority.
pub(super) const AUTHORITY: &str = "authority";
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

/// Time for which a node that starts after a restoration of the store waits until the running nodes have
/// written the authority again.
const AUTHORITY_TIMEOUT: Duration = Duration::from_secs(4);

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
    let start = Instant::now();
    let (authority, rows) = loop {
        let may_create = settings.bootstrap || start.elapsed() >= AUTHORITY_TIMEOUT;
        match load_authority(&store, may_create).await {
            Ok(Some(found)) => break found,
            Ok(None) => {
                log::info!(
                    "no certificate authority in the restored store: waiting for other nodes"
                );
                sleep(retry_delay()).await;
            }
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
    let row = registration_row(&NodeAddress::of(&settings));
    let complete = rows.rows.iter().any(|r| r.key == row.key && r.value == row.value);
    _ = progress.send(Progress::Joined(Box::new(joined), Listing { rows, complete })).await;
    if complete {
        return;
    }
    write_until_done(store, vec![row]).await;
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

/// Reads the table of the nodes, and creates the authority if there is none. Returns `None` if the
/// running nodes of a restored store should do so, because theirs is another one than this node would
/// create.
async fn load_authority<S: Store>(
    store: &S,
    may_create: bool,
) -> Result<Option<(Authority, Rows)>, StoreError> {
    let rows = store.read(TABLE).await?;
    let row = rows.rows.iter().find(|r| r.key == AUTHORITY);
    if let Some(authority) = row.and_then(|r| Authority::parse(r.value.as_deref()?)) {
        return Ok(Some((authority, rows)));
    }
    let is_restored = rows.revision.era > 0;
    if is_restored && !may_create {
        return Ok(None);
    }
    let authority =
        Authority::create(unix_millis()).expect("a new key can sign its own certificate");
    let condition = row.map_or(Condition::Absent, |row| Condition::At(row.revision));
    store.write(&[authority_row(&authority, condition)]).await?;
    Ok(Some((authority, rows)))
}

/// Returns the row of the certificate authority.
pub(super) fn authority_row(authority: &Authority, condition: Condition) -> Write {
    let value = Some(authority.encode().into());
    Write { table: TABLE.into(), key: AUTHORITY.into(), value, condition }
}

/// Returns the registration of a node.
pub(super) fn registration_row(node: &NodeAddress) -> Write {
    let value = serde_json::to_vec(node).expect("plain data serializes");
    Write {
        table: TABLE.into(),
        key: format_compact!("{NODE}{}", node.name),
        value: Some(value.into()),
        condition: Condition::None,
    }
}

/// Writes rows of the nodes' table until the store has them or another node has changed them.
pub(super) async fn write_until_done<S: Store>(store: S, rows: Vec<Write>) {
    while let Err(error) = store.write(&rows).await {
        log::warn!(table = TABLE, rows = rows.len() as u64; "cannot write rows: {error}");
        if error == StoreError::Conflict {
            return;
        }
        sleep(retry_delay()).await;
    }
}
