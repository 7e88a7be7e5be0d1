//! The task on the control thread that keeps the membership: it carries messages between the pure
//! state machine and the peer face, and drives this node's own leaving.

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

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// Where this node is in its leaving, for those who want it to leave and wait for it.
#[derive(Clone)]
pub struct Leaving {
    /// Set to make the node leave.
    pub requested: watch::Sender<bool>,
    /// Set when the node is idle and has announced its exit.
    pub completed: watch::Sender<bool>,
    /// Requests and streams under way.
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
    /// Makes the node leave, and waits until nothing is under way any more.
    pub async fn leave(&self) {
        self.requested.send_replace(true);
        let mut completed = self.completed.subscribe();
        // The sender lives in this very struct.
        _ = completed.wait_for(|completed| *completed).await;
    }
}

/// The membership of one node.
pub struct Membership<P> {
    /// The pure state machine.
    pub members: Members,
    /// The peer face.
    pub net: P,
    /// Name of this node.
    pub name: CompactString,
    /// This node's own leaving.
    pub drain: Drain,
    /// Who wants it to leave.
    pub leaving: Leaving,
    /// The control thread.
    pub control: Control,
    /// Where the view is published.
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
        while !self.finished() {
            let mut out = Vec::new();
            tokio::select! {
                Some(received) = received.recv() => self.receive(received, &mut out),
                Ok(()) = lists.changed() => {
                    let list = lists.borrow_and_update().clone();
                    list.iter().for_each(|l| self.list(l));
                }
                _ = ticks.tick() => self.tick(&mut out),
            }
            self.carry_out(out);
        }
        let mut out = Vec::new();
        self.members.send_leave(&mut out);
        self.carry_out(out);
        self.net.close().await;
        self.leaving.completed.send_replace(true);
    }

    /// Whether this node has left. It looks at the requests under way only after its refusing has
    /// been published: else a request that comes as the time lapses would see the node as serving,
    /// be taken in, and be cut by the exit.
    fn finished(&mut self) -> bool {
        let refuses = self.published.load().drain == DrainState::Refusing;
        let in_flight = self.leaving.in_flight.load(Ordering::SeqCst);
        refuses && self.drain.finished(Instant::now(), in_flight)
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
        self.members.set_revision(view.catalog.revision, out);
        self.members.set_usage(usage(&view));
        self.members.tick(now, out);
        self.control.send(Event::Peers(self.peers(&view.catalog, now)));
        self.publish();
    }

    fn leave(&mut self, now: Instant) {
        log::info!("leaving: out of the address answers, still serving");
        self.drain.leave(now);
        self.members.drain(now);
    }

    fn list(&mut self, list: &InstanceList) {
        let now = Instant::now();
        self.members.list(now, list);
        self.published.set_has_instances();
        let listed_leaving = list.instances.iter().any(|i| {
            i.kind == InstanceKind::Node && i.name == self.name && i.state == InstanceState::Leaving
        });
        if listed_leaving && self.drain.listed() {
            self.leave(now);
        }
    }

    fn receive(&mut self, received: Received, out: &mut Vec<Output>) {
        let now = Instant::now();
        match received {
            Received::Broken(name) => self.members.broken(now, &name, out),
            Received::Message { message: PeerMessage::CatalogPush(push), .. } => self.take(push),
            Received::Message { message: PeerMessage::Move(updates), .. } => {
                self.control.moves().receive(updates);
            }
            Received::Message { from, message } => self.members.receive(now, &from, &message, out),
        }
    }

    /// Takes a catalogue from another node, as sound as if it came from the table: it was checked
    /// when it was accepted, and is checked again, since a peer of another version may allow more.
    fn take(&self, push: CatalogPush) {
        let CatalogPush { revision, doc } = push;
        match serde_json::from_str::<CatalogDoc>(&doc) {
            Ok(catalogue) if catalogue.check().is_empty() => {
                self.control.apply_catalog(CatalogueRevision { revision, catalogue });
            }
            _ => log::warn!("catalogue {revision} of a peer can't be read; waiting for the table"),
        }
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => self.send(&to, &message),
                Output::PushCatalog(target) => {
                    let catalog = self.published.load().catalog.clone();
                    self.send(&[target], &push(&catalog));
                }
                Output::Changed { name, from, to } => {
                    log::info!("node {name}: {from:?} to {to:?}");
                }
                Output::Hint(_) => {}
            }
        }
    }

    fn send(&self, to: &[Target], message: &PeerMessage) {
        if let Err(error) = self.net.send(to, message) {
            log::warn!("a message to peers can't be sent: {error}");
        }
    }

    fn peers(&self, catalog: &Catalog, now: Instant) -> PeerUse {
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

fn push(catalog: &Catalog) -> PeerMessage {
    let revision: Revision = catalog.revision;
    let doc = serde_json::to_string(&catalog.doc()).expect("a catalogue always serializes");
    PeerMessage::CatalogPush(CatalogPush { revision, doc })
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
