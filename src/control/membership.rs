//! The membership task of the control thread: passes messages between the membership state machine
//! and the peer network, and controls this node's own drain.

use {
    super::{
        Control,
        view::{Published, View},
    },
    crate::{
        catalogue::store::CatalogueRevision,
        peer::{Peers, Received},
    },
    bilberryfront_decide::{
        Event,
        catalog::{Catalog, CatalogDoc},
        event::PeerUse,
        id::Revision,
        member::{
            Drain, DrainState, Members, Output, PeerMessage, Target,
            message::{CatalogPush, Usage},
        },
    },
    bilberryfront_wire::{
        completion::NodeAddress,
        instance::{InstanceKind, InstanceList, InstanceState},
    },
    compact_str::CompactString,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, interval},
    },
};

/// Interval of the membership's timer.
const TICK: Duration = Duration::from_millis(50);

/// Requests this node to leave, and reports when it has left.
#[derive(Clone)]
pub struct Leaving {
    /// Set to request that the node leaves.
    pub requested: watch::Sender<bool>,
    /// Set when the node is idle and has announced to its peers that it leaves.
    pub completed: watch::Sender<bool>,
    /// Number of requests and streams in flight.
    pub in_flight: Arc<AtomicUsize>,
}

impl Default for Leaving {
    fn default() -> Leaving {
        Leaving {
            requested: watch::Sender::new(false),
            completed: watch::Sender::new(false),
            in_flight: Arc::default(),
        }
    }
}

impl Leaving {
    /// Requests that the node leaves, and waits until it has left.
    pub async fn leave(&self) {
        self.requested.send_replace(true);
        let mut completed = self.completed.subscribe();
        // Can't fail: `self` holds the sender.
        _ = completed.wait_for(|completed| *completed).await;
    }
}

/// The membership task of a node.
pub struct Membership<P> {
    /// The state machine of the membership.
    pub members: Members,
    /// The network to other nodes.
    pub net: P,
    /// Name of this node.
    pub name: CompactString,
    /// This node's own drain.
    pub drain: Drain,
    /// Requests to leave.
    pub leaving: Leaving,
    /// The control thread.
    pub control: Control,
    /// The published view.
    pub published: Published,
}

impl<P: Peers> Membership<P> {
    /// Runs until this node has left.
    pub async fn run(
        mut self,
        mut received: mpsc::Receiver<Received>,
        mut lists: watch::Receiver<Option<InstanceList>>,
    ) {
        let mut ticks = interval(TICK);
        while !self.is_finished() {
            let mut out = Vec::new();
            tokio::select! {
                Some(received) = received.recv() => self.receive(received, &mut out),
                Ok(()) = lists.changed() => {
                    let list = lists.borrow_and_update().clone();
                    list.iter().for_each(|l| self.apply_list(l));
                }
                _ = ticks.tick() => self.tick(&mut out),
            }
            self.execute(out);
        }
        let mut out = Vec::new();
        self.members.send_leave(&mut out);
        self.execute(out);
        self.net.close().await;
        self.leaving.completed.send_replace(true);
    }

    /// Returns whether this node may exit. The requests in flight are checked only after the view
    /// with [`DrainState::Refusing`] has been published: otherwise a request that arrives at the
    /// end of the drain period could still see the node as serving, be accepted, and be aborted by
    /// the exit.
    fn is_finished(&mut self) -> bool {
        let is_refusing = self.published.load().drain == DrainState::Refusing;
        let in_flight = self.leaving.in_flight.load(Ordering::SeqCst);
        is_refusing && self.drain.finished(Instant::now(), in_flight)
    }

    fn tick(&mut self, out: &mut Vec<Output>) {
        let now = Instant::now();
        let view = self.published.load();
        if view.is_initialized() {
            self.members.ready();
        }
        if *self.leaving.requested.borrow() && self.drain.listed() {
            self.leave(now);
        }
        self.members.set_revision(view.catalog.revision.into(), out);
        self.members.set_usage(usage(&view));
        self.members.tick(now, out);
        self.control.send(Event::Peers(self.peer_use(&view.catalog, now)));
        self.publish();
    }

    fn leave(&mut self, now: Instant) {
        log::info!("draining: removed from the published addresses, still serving requests");
        self.drain.leave(now);
        self.members.drain(now);
    }

    fn apply_list(&mut self, list: &InstanceList) {
        let now = Instant::now();
        self.members.apply_list(now, list);
        self.published.set_has_instances();
        let is_listed_leaving = list.instances.iter().any(|i| {
            i.kind == InstanceKind::Node && i.name == self.name && i.state == InstanceState::Leaving
        });
        if is_listed_leaving && self.drain.listed() {
            self.leave(now);
        }
    }

    fn receive(&mut self, received: Received, out: &mut Vec<Output>) {
        let now = Instant::now();
        match received {
            Received::Broken(name) => self.members.connection_failed(now, &name, out),
            Received::Message { message: PeerMessage::CatalogPush(push), .. } => self.apply(push),
            Received::Message { message: PeerMessage::Move(updates), .. } => {
                self.control.moves().receive(updates);
            }
            Received::Message { from, message } => self.members.receive(now, &from, &message, out),
        }
    }

    /// Applies a catalogue from another node. It was checked when it was accepted and is checked
    /// again, because a peer that runs another version may accept more.
    fn apply(&self, push: CatalogPush) {
        let CatalogPush { revision, doc } = push;
        let revision: Revision = revision.version;
        match serde_json::from_str::<CatalogDoc>(&doc) {
            Ok(catalogue) if catalogue.check().is_empty() => {
                self.control.apply_catalog(CatalogueRevision { revision, catalogue });
            }
            _ => log::warn!(
                "catalogue revision {revision} from a peer is invalid; waiting for the table"
            ),
        }
    }

    fn execute(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => self.send(&to, &message),
                Output::PushCatalog(target) => {
                    let catalog = self.published.load().catalog.clone();
                    self.send(&[target], &catalog_push(&catalog));
                }
                Output::Changed { name, from, to } => {
                    log::info!("node {name}: state changed from {from:?} to {to:?}");
                }
                Output::Hint(_) => {}
            }
        }
    }

    fn send(&self, to: &[Target], message: &PeerMessage) {
        if let Err(error) = self.net.send(to, message) {
            log::warn!("cannot send a message to peers: {error}");
        }
    }

    fn peer_use(&self, catalog: &Catalog, now: Instant) -> PeerUse {
        let usage = self.members.usage(now);
        let keyed =
            |u: &Usage| Some((catalog.entry(&u.entry)?, catalog.account(&u.account)?, u.running));
        PeerUse { nodes: usage.nodes, running: usage.running.iter().filter_map(keyed).collect() }
    }

    fn publish(&mut self) {
        let addresses = self.members.addresses().into_iter();
        let addresses = addresses.map(|a| NodeAddress { url: a.url, domain: a.domain }).collect();
        let nodes = self.members.nodes().collect();
        self.drain.accepts(Instant::now());
        self.published.set_members(addresses, nodes, self.drain.state());
    }
}

fn catalog_push(catalog: &Catalog) -> PeerMessage {
    let revision: Revision = catalog.revision;
    let doc = serde_json::to_string(&catalog.doc()).expect("a catalogue always serializes");
    PeerMessage::CatalogPush(CatalogPush { revision: revision.into(), doc })
}

fn usage(view: &View) -> Vec<Usage> {
    let catalog = &view.catalog;
    let named = |&(entry, account, running): &(_, _, u32)| {
        let entry = catalog.entries.get(entry)?.name.clone();
        let account = catalog.accounts.get(account)?.name.clone();
        Some(Usage { entry, account, running })
    };
    view.usage.iter().filter_map(named).collect()
}
