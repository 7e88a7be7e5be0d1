//! The view published by the control thread.

use {
    crate::{catalog::Catalog, fanout::Scope},
    arc_swap::ArcSwap,
    bilberryfront_decide::mover::MoveId,
    compact_str::CompactString,
    rustc_hash::FxHashMap,
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::watch,
};

/// A registered runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Runner id; a restart may keep it.
    pub id: CompactString,
    /// Start time in milliseconds since the Unix epoch; identifies the incarnation.
    pub born: u64,
    /// Service.
    pub service: CompactString,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: CompactString,
    /// Software version.
    pub version: CompactString,
    /// Concurrent requests.
    pub slots: u32,
    /// State.
    pub state: State,
    /// Inferred from a restart rather than registered; `born` is a guess.
    pub assumed: bool,
}

/// State of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts requests.
    Ready,
    /// Draining.
    Draining,
}

/// Addresses of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct NodeAddress {
    /// Node name.
    pub name: CompactString,
    /// Failure domain.
    pub domain: CompactString,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
}

/// Split of a service's requests during a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// Rollout.
    pub id: MoveId,
    /// New version.
    pub to: CompactString,
    /// Rule.
    pub rule: Rule,
}

/// Share of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Bounded.
    Canary,
    /// Everything.
    OnlyNew,
    /// Nothing.
    OnlyOld,
}

/// Splits by service.
pub type Splits = Arc<FxHashMap<CompactString, Split>>;

/// Immutable snapshot of the control state.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Catalogue; `None` before the first one.
    pub catalog: Option<Arc<Catalog>>,
    /// Registered runners.
    pub runners: Arc<Vec<Registration>>,
    /// Whether a runner list was ever loaded.
    pub listed: bool,
    /// Nodes for address responses, this one included.
    pub nodes: Arc<Vec<NodeAddress>>,
    /// Which loads peers report.
    pub scope: Scope,
    /// Splits of services with a rollout.
    pub splits: Splits,
    /// Whether the last poll of the store failed.
    pub cut_off: bool,
}

/// The current view with change notification.
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
    /// The current view.
    pub fn load(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Replaces the view.
    pub fn store(&self, view: View) {
        self.view.store(Arc::new(view));
        self.signal.send_replace(());
    }

    /// Subscribes to later views.
    pub fn watch(&self) -> watch::Receiver<()> {
        self.signal.subscribe()
    }
}
