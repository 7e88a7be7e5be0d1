//! One node: the product's own control task, pollers and traffic code between the fakes.

use {
    crate::{
        fleet::Fleet,
        gate::{Gate, Life},
        language::NodeAct,
        moves::{self, History, Wall},
        net::{Net, PLATFORM},
        table::{Link, Service},
        wire::Wire,
    },
    bilberryfront::{
        catalogue::store::Store,
        control::{
            Control, drive,
            membership::{Leaving, Membership},
            moves::{Moves, Task},
            pollers,
            view::Published,
        },
        intents::{Intents, Limits},
        traffic::services::Services,
    },
    bilberryfront_decide::{
        Core, Event, Location,
        id::Incarnation,
        member::{Drain, Me, Members, message},
        mover::Mover,
    },
    bilberryfront_wire::instance::{Instance, InstanceKind, InstanceList, InstanceState},
    compact_str::{CompactString, format_compact},
    futures_util::FutureExt,
    std::{
        sync::{Arc, atomic::Ordering::SeqCst},
        time::Duration,
    },
    tokio::{
        sync::watch,
        task::AbortHandle,
        time::{Instant, sleep},
    },
};

/// Time between two reads of the instance list.
const LIST_EVERY: Duration = Duration::from_millis(500);
/// Time between two rounds of load reports.
const LOAD_EVERY: Duration = Duration::from_millis(200);
/// How long callers keep an address answer.
const TTL: Duration = Duration::from_secs(3);

/// What all nodes share.
#[derive(Clone)]
pub(crate) struct Site {
    pub(crate) fleet: Fleet,
    pub(crate) service: Service,
    pub(crate) net: Net,
    pub(crate) wall: Wall,
    pub(crate) history: History,
}

/// A node of one incarnation.
pub(crate) struct Node {
    pub(crate) name: CompactString,
    pub(crate) gate: Gate,
    pub(crate) control: Control,
    pub(crate) services: Services<Link, Wire>,
    pub(crate) link: Link,
    pub(crate) wire: Wire,
    pub(crate) leaving: Leaving,
    pub(crate) wall: Wall,
    pub(crate) tasks: Vec<AbortHandle>,
}

impl Node {
    /// Starts a node. It remembers nothing of an earlier incarnation.
    pub(crate) fn start(name: &str, seed: u64, site: &Site) -> Node {
        let gate = Gate::default();
        let published = Published::default();
        let (control, receiver) = Control::new(published.clone());
        let (moves, orders) = Moves::new();
        let control = control.with_moves(moves);
        let (service, net, fleet) = (site.service.clone(), site.net.clone(), site.fleet.clone());
        let link =
            Link { name: name.into(), service, net, gate: gate.clone(), cut: Arc::default() };
        let wire = Wire { name: name.into(), gate: gate.clone(), fleet, net: site.net.clone() };
        let core = Core::new(seed, location());
        let leaving = Leaving::default();
        let (face, inbox) = site.net.face(name, &gate);
        let mover = Mover::new(Incarnation(seed), seed, Instant::now(), site.wall.now());
        let mover =
            Task::new(mover, link.clone(), face.clone(), control.clone(), published.clone());
        let (history, wall) = (site.history.clone(), site.wall);
        let membership = Membership {
            members: Members::new(seed, Instant::now(), me(name, seed)),
            net: face,
            name: name.into(),
            drain: Drain::new(TTL),
            leaving: leaving.clone(),
            control: control.clone(),
            published: published.clone(),
        };
        let (lists, listed) = watch::channel(None);
        let task = |work| tokio::spawn(gate.clone().run(work)).abort_handle();
        let tasks = vec![
            task(drive(core, receiver, published).boxed()),
            task(pollers::poll_catalog(control.clone(), Store::new(link.clone())).boxed()),
            task(poll_list(control.clone(), lists, wire.clone()).boxed()),
            task(poll_loads(control.clone(), wire.clone()).boxed()),
            task(membership.run(inbox, listed).boxed()),
            task(mover.run(orders).boxed()),
            task(moves::watch(control.clone(), name.into(), seed, history).boxed()),
        ];
        let services = Services {
            control: control.clone(),
            intents: Intents::start(link.clone(), Incarnation(seed), Limits::default()),
            sender: wire.clone(),
        };
        Node { name: name.into(), gate, control, services, link, wire, leaving, wall, tasks }
    }

    /// Does to the node what a scenario says; a start is the world's.
    pub(crate) fn act(&mut self, act: NodeAct) {
        match act {
            NodeAct::Die | NodeAct::Start => {
                self.gate.set(Life::Dead);
                self.tasks.drain(..).for_each(|t| t.abort());
            }
            NodeAct::Pause if self.gate.life() == Life::Running => self.gate.set(Life::Paused),
            NodeAct::Wake if self.gate.life() == Life::Paused => self.gate.set(Life::Running),
            NodeAct::Pause | NodeAct::Wake => {}
            NodeAct::Leave => _ = self.leaving.requested.send_replace(true),
            NodeAct::CutOff => self.link.cut.store(true, SeqCst),
            NodeAct::Rejoin => self.link.cut.store(false, SeqCst),
        }
    }

    /// Catalogue in force, 0 for none.
    pub(crate) fn revision(&self) -> u64 {
        self.control.view().catalog.revision
    }

    /// Whether its process has exited after leaving.
    pub(crate) fn gone(&self) -> bool {
        *self.leaving.completed.borrow()
    }

    /// Spawns a task of this node.
    pub(crate) fn spawn(&mut self, work: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        let task = tokio::spawn(self.gate.clone().run(work)).abort_handle();
        self.tasks.push(task.clone());
        task
    }
}

async fn poll_list(control: Control, lists: watch::Sender<Option<InstanceList>>, wire: Wire) {
    loop {
        let reached = wire.net.joins(&wire.name, PLATFORM);
        if let Some(list) = wire.fleet.lagged().filter(|_| reached) {
            control.send(Event::Instances(list.clone()));
            lists.send_replace(Some(list));
        }
        sleep(LIST_EVERY).await;
    }
}

async fn poll_loads(control: Control, wire: Wire) {
    loop {
        for (runner, instance) in &control.view().runners {
            control.send(match wire.load(&instance.url) {
                Some(report) => Event::Load { runner: *runner, report },
                None => Event::LoadMissing { runner: *runner },
            });
        }
        sleep(LOAD_EVERY).await;
    }
}

fn location() -> Location {
    Location { region: "region".into(), domain: "domain-1".into() }
}

fn me(name: &str, seed: u64) -> Me {
    let Instance { url, domain, peer, .. } = listed(name);
    let peer = peer.unwrap_or_default();
    let life = message::NodeIncarnation { epoch: seed, incarnation: Incarnation(seed) };
    Me { name: name.into(), life, location: message::NodeLocation { domain, url, peer } }
}

/// The node as the platform lists it.
pub(crate) fn listed(name: &str) -> Instance {
    Instance {
        name: name.into(),
        kind: InstanceKind::Node,
        url: format_compact!("http://{name}"),
        domain: "domain-1".into(),
        entry: "".into(),
        version: "".into(),
        state: InstanceState::Live,
        fenced: false,
        peer: Some(format_compact!("{name}:1")),
    }
}
