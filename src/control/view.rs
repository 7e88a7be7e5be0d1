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
    pub listed: bool,
    /// Whether requests can be judged and the address answers hold this node.
    pub ready: bool,
    /// Whether this node is leaving.
    pub life: DrainState,
}

impl View {
    /// Whether a catalogue and an instance list have been had, so that requests can be judged.
    pub fn informed(&self) -> bool {
        self.catalog.revision > 0 && self.listed
    }

    /// Whether new requests are taken.
    pub fn accepts(&self) -> bool {
        self.ready && matches!(self.life, DrainState::Serving | DrainState::Leaving)
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
            listed: false,
            ready: false,
            life: DrainState::Serving,
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
    pub fn core(&self, core: &Core) {
        let runners = core.polled().map(|(k, i)| (k, i.clone())).collect();
        let catalog = core.catalog().clone();
        self.change(|view| View { catalog, runners, ..view });
    }

    /// Publishes how requests are split.
    pub fn splits(&self, splits: FxHashMap<EntryKey, Split>) {
        self.change(|view| View { splits: Arc::new(splits), ..view });
    }

    /// Publishes what runs here.
    pub fn usage(&self, usage: Vec<(EntryKey, AccountKey, u32)>) {
        self.change(|view| View { usage, ..view });
    }

    /// Publishes what the membership knows.
    ///
    /// Readiness goes with the addresses: a node that called itself ready a moment before it stood in
    /// its own answers would send its first callers nowhere.
    pub fn members(&self, addresses: Vec<NodeAddress>, nodes: Vec<Node>, life: DrainState) {
        self.change(|view| View { ready: view.informed(), addresses, nodes, life, ..view });
    }

    /// Publishes that an instance list was had.
    pub fn listed(&self) {
        self.change(|view| View { listed: true, ..view });
    }

    fn change(&self, change: impl FnOnce(View) -> View) {
        let old = View::clone(&self.view.load());
        self.view.store(Arc::new(change(old)));
    }
}
