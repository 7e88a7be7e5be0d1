//! What the control thread publishes for traffic to read without asking.

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
    /// The catalogue in force.
    pub catalog: Arc<Catalog>,
    /// Runners that this node uses, a part of all where there are many.
    pub runners: Vec<(RunnerKey, Instance)>,
    /// How requests are split between two versions, for entries whose version is being moved.
    pub splits: Arc<FxHashMap<EntryKey, Split>>,
    /// Requests running here, by entry and account.
    pub usage: Vec<(EntryKey, AccountKey, u32)>,
    /// Nodes that take new requests, own domain first.
    pub addresses: Vec<NodeAddress>,
    /// All other nodes known.
    pub nodes: Vec<Node>,
    /// Whether an instance list has been had.
    pub has_instances: bool,
    /// Whether requests can be judged and the address answers hold this node.
    pub ready: bool,
    /// Whether this node is leaving.
    pub drain: DrainState,
}

impl View {
    /// Whether a catalogue and an instance list have been had, so that requests can be judged.
    pub fn is_initialized(&self) -> bool {
        self.catalog.revision > 0 && self.has_instances
    }

    /// Whether new requests are taken.
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

/// The place where the newest [`View`] stands. Only the control thread writes to it.
#[derive(Clone, Default)]
pub struct Published {
    view: Arc<ArcSwap<View>>,
}

impl Published {
    /// The newest view.
    pub fn load(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Publishes the core's catalogue and runners.
    pub fn set_core(&self, core: &Core) {
        let runners = core.watched().map(|(k, i)| (k, i.clone())).collect();
        let catalog = core.catalog().clone();
        self.update(|view| View { catalog, runners, ..view });
    }

    /// Publishes how requests are split.
    pub fn set_splits(&self, splits: FxHashMap<EntryKey, Split>) {
        self.update(|view| View { splits: Arc::new(splits), ..view });
    }

    /// Publishes what runs here.
    pub fn set_usage(&self, usage: Vec<(EntryKey, AccountKey, u32)>) {
        self.update(|view| View { usage, ..view });
    }

    /// Publishes what the membership knows.
    ///
    /// Readiness goes with the addresses: a node that called itself ready a moment before it stood in
    /// its own answers would send its first callers nowhere.
    pub fn set_members(&self, addresses: Vec<NodeAddress>, nodes: Vec<Node>, drain: DrainState) {
        self.update(|view| View { ready: view.is_initialized(), addresses, nodes, drain, ..view });
    }

    /// Publishes that an instance list was had.
    pub fn set_has_instances(&self) {
        self.update(|view| View { has_instances: true, ..view });
    }

    fn update(&self, update: impl FnOnce(View) -> View) {
        let old = View::clone(&self.view.load());
        self.view.store(Arc::new(update(old)));
    }
}
