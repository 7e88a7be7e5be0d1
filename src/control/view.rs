//! The snapshot of control state that the control thread publishes, so that traffic can read it
//! without a message.

use {
    arc_swap::ArcSwap,
    bilberryfront_decide::{
        Core,
        catalog::Catalog,
        id::{AccountKey, EntryKey, RunnerKey},
        member::{DrainState, Node},
        mover::Split,
    },
    bilberryfront_wire::{completion::NodeAddress, instance::Instance},
    rustc_hash::FxHashMap,
    std::sync::Arc,
};

/// A snapshot of control state.
#[derive(Clone, Debug)]
pub struct View {
    /// The current catalogue.
    pub catalog: Arc<Catalog>,
    /// Runners that this node uses: a subset of all runners if there are many.
    pub runners: Vec<(RunnerKey, Instance)>,
    /// Split of requests between two versions, for entries with a version move in progress.
    pub splits: Arc<FxHashMap<EntryKey, Split>>,
    /// Requests running on this node, by entry and account.
    pub usage: Vec<(EntryKey, AccountKey, u32)>,
    /// Nodes that accept new requests, those of this node's failure domain first.
    pub addresses: Vec<NodeAddress>,
    /// All other known nodes.
    pub nodes: Vec<Node>,
    /// Whether an instance list has been received.
    pub has_instances: bool,
    /// Whether requests can be checked and the published addresses include this node.
    pub ready: bool,
    /// Progress of this node's drain.
    pub drain: DrainState,
}

impl View {
    /// Returns whether a catalogue and an instance list have been received, so that requests can be
    /// checked.
    pub fn is_initialized(&self) -> bool {
        self.catalog.revision > 0 && self.has_instances
    }

    /// Returns whether new requests are accepted.
    pub fn accepts_requests(&self) -> bool {
        self.ready && matches!(self.drain, DrainState::Serving | DrainState::Leaving)
    }
}

impl Default for View {
    fn default() -> View {
        View {
            catalog: Arc::default(),
            runners: Vec::new(),
            splits: Arc::default(),
            usage: Vec::new(),
            addresses: Vec::new(),
            nodes: Vec::new(),
            has_instances: false,
            ready: false,
            drain: DrainState::Serving,
        }
    }
}

/// Shared access to the latest [`View`]. Only the control thread writes to it.
#[derive(Clone, Default)]
pub struct Published {
    view: Arc<ArcSwap<View>>,
}

impl Published {
    /// Returns the latest view.
    pub fn load(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Publishes the core's catalogue and runners.
    pub fn set_core(&self, core: &Core) {
        let runners = core.polled().map(|(k, i)| (k, i.clone())).collect();
        let catalog = core.catalog().clone();
        self.update(|view| View { catalog, runners, ..view });
    }

    /// Publishes the splits of requests between versions.
    pub fn set_splits(&self, splits: FxHashMap<EntryKey, Split>) {
        self.update(|view| View { splits: Arc::new(splits), ..view });
    }

    /// Publishes the requests running on this node.
    pub fn set_usage(&self, usage: Vec<(EntryKey, AccountKey, u32)>) {
        self.update(|view| View { usage, ..view });
    }

    /// Publishes the state of the membership.
    ///
    /// Readiness is published together with the addresses: a node that reported itself ready before
    /// its own address was included would return a list without it to its first callers.
    pub fn set_members(&self, addresses: Vec<NodeAddress>, nodes: Vec<Node>, drain: DrainState) {
        self.update(|view| View { ready: view.is_initialized(), addresses, nodes, drain, ..view });
    }

    /// Publishes that an instance list was received.
    pub fn set_has_instances(&self) {
        self.update(|view| View { has_instances: true, ..view });
    }

    fn update(&self, update: impl FnOnce(View) -> View) {
        let old = View::clone(&self.view.load());
        self.view.store(Arc::new(update(old)));
    }
}
