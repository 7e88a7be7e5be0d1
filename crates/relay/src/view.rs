//! View of the control state, published by the control thread.

use {
    crate::{catalog::Catalog, fanout::Scope, settings::Settings},
    arc_swap::ArcSwap,
    bilberryfront_decide::{
        member::{Address, message::NodeLocation},
        mover::MoveId,
    },
    compact_str::{CompactString, format_compact},
    rustc_hash::FxHashMap,
    std::{net::SocketAddr, sync::Arc},
    tokio::{sync::watch, time::Instant},
};

/// Scheme of the URLs for callers in the membership.
const SCHEME: &str = "http://";

/// Registration of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Runner id, which may stay the same after a restart.
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
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// State.
    pub state: State,
    /// Whether the registration was inferred from a restart; `born` is then an estimate.
    pub assumed: bool,
}

/// State of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The runner accepts requests.
    Ready,
    /// The runner accepts no new requests and will exit.
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

impl NodeAddress {
    /// Returns the addresses of the node with these settings.
    pub fn of(settings: &Settings) -> NodeAddress {
        NodeAddress {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            callers: settings.listen.callers,
            peers: settings.listen.advertise.unwrap_or(settings.listen.peers),
        }
    }

    /// Returns the addresses of a member; `None` if they cannot be parsed.
    pub fn of_member(address: &Address) -> Option<NodeAddress> {
        Some(NodeAddress {
            name: address.name.clone(),
            domain: address.domain.clone(),
            callers: address.url.strip_prefix(SCHEME)?.parse().ok()?,
            peers: address.peer.parse().ok()?,
        })
    }

    /// Returns the addresses for the membership.
    pub fn location(&self) -> NodeLocation {
        NodeLocation {
            domain: self.domain.clone(),
            url: format_compact!("{SCHEME}{}", self.callers),
            peer: format_compact!("{}", self.peers),
        }
    }
}

/// Split of a service's requests during a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// Id of the rollout.
    pub id: MoveId,
    /// New version.
    pub to: CompactString,
    /// Rule.
    pub rule: Rule,
    /// Whether this node may use a part of the bound's slack.
    pub has_slack: bool,
    /// Whether the new version was rolled back.
    pub is_rejected: bool,
}

/// Share of the requests that the new version gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A bounded share.
    Canary,
    /// All requests.
    OnlyNew,
    /// No requests.
    OnlyOld,
}

/// Splits by service.
pub type Splits = Arc<FxHashMap<CompactString, Split>>;

/// Snapshot of the control state.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Catalogue; `None` before the first one is loaded.
    pub catalog: Option<Arc<Catalog>>,
    /// Registered runners.
    pub runners: Arc<Vec<Registration>>,
    /// Whether a list of runners has been loaded.
    pub listed: bool,
    /// Nodes listed in address responses, including this one.
    pub nodes: Arc<Vec<NodeAddress>>,
    /// Number of nodes that may serve callers, including this one and those that are not in address
    /// responses: they drain, start, or are only cut off from this node.
    pub senders: usize,
    /// While no node is known to be ready: the time at which one is expected to be. `nodes` are draining
    /// then.
    pub next_ready: Option<Instant>,
    /// Runners whose load peers report to this node.
    pub scope: Scope,
    /// Splits of services with a rollout.
    pub splits: Splits,
    /// Whether the store is known to be unavailable.
    pub cut_off: bool,
}

impl View {
    /// Returns the number of nodes among which limits of the whole system are divided. A node that finds
    /// no more than half of all nodes ready may itself be cut off, and the others still serve.
    pub fn shares(&self) -> usize {
        match self.nodes.len() {
            nodes if nodes * 2 <= self.senders => self.senders,
            nodes => nodes,
        }
    }

    /// Returns whether address responses may list the node with this name while it drains. Without any
    /// node in this view, other nodes may still list it.
    pub fn lists_draining(&self, name: &str) -> bool {
        let is_listed = || self.nodes.iter().any(|node| node.name == name);
        self.nodes.is_empty() || (self.next_ready.is_some() && is_listed())
    }
}

/// Current view with change notification.
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
    /// Returns the current view.
    pub fn load(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Replaces the view.
    pub fn store(&self, view: View) {
        self.view.store(Arc::new(view));
        self.signal.send_replace(());
    }

    /// Subscribes to changes of the view.
    pub fn watch(&self) -> watch::Receiver<()> {
        self.signal.subscribe()
    }
}
