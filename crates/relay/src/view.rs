//! What the control thread publishes for the threads that carry traffic.

use {
    crate::catalog::Catalog,
    arc_swap::ArcSwap,
    bilberryfront_decide::mover::MoveId,
    compact_str::CompactString,
    rustc_hash::FxHashMap,
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::watch,
};

/// A runner, as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Id of the runner; a restart may keep it.
    pub id: CompactString,
    /// Milliseconds since the Unix epoch at its start, where it tells: with the id, one life of it.
    pub born: u64,
    /// Its service.
    pub service: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: CompactString,
    /// Version of its software.
    pub version: CompactString,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: State,
    /// It has not registered itself yet: it was found in place of a runner that started anew, and its
    /// time of birth is a guess.
    pub assumed: bool,
}

/// Whether a runner takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// A node that callers can connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct NodeAddress {
    /// Unique name of the instance.
    pub name: CompactString,
    /// Its failure domain.
    pub domain: CompactString,
    /// Callers' address.
    pub callers: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
}

/// How a service's requests are split between versions while one is moved in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// The move.
    pub id: MoveId,
    /// The new version.
    pub to: CompactString,
    /// What it gets.
    pub rule: Rule,
}

/// What a new version gets of a service's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A bounded part.
    Trial,
    /// All.
    New,
    /// None.
    Old,
}

/// Splits by service.
pub type Splits = Arc<FxHashMap<CompactString, Split>>;

/// All that traffic needs to know of the rest of the system, at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The newest catalogue; `None` until the first one is there.
    pub catalog: Option<Arc<Catalog>>,
    /// Runners by registration.
    pub runners: Arc<Vec<Registration>>,
    /// Whether the runners were ever learned.
    pub listed: bool,
    /// Nodes that callers may be told of, this one included.
    pub nodes: Arc<Vec<NodeAddress>>,
    /// How requests are split, for services with a version move.
    pub splits: Splits,
    /// Whether the store didn't answer when it was last asked.
    pub cut_off: bool,
}

/// The newest view, and a signal that there is one.
#[derive(Clone)]
pub struct Published {
    view: Arc<ArcSwap<View>>,
    signal: watch::Sender<()>,
}

impl Default for Published {
    fn default() -> Published {
        Published { view: Arc::default(), signal: watch::Sender::new(()) }
    }
}

impl Published {
    /// The newest view.
    pub fn load(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Replaces the view.
    pub fn store(&self, view: View) {
        self.view.store(Arc::new(view));
        self.signal.send_replace(());
    }

    /// Tells of each later view, the latest one at least.
    pub fn watch(&self) -> watch::Receiver<()> {
        self.signal.subscribe()
    }
}
