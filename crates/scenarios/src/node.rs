//! One node: the product's own control task, pollers and traffic code, connected to the fakes.

use {
    crate::{
        fleet::Fleet,
        gate::{Gate, ProcessState},
        language::NodeAction,
        moves::{self, History, WallClock},
        net::{Net, PLATFORM},
        table::{TableLink, TableService},
        wire::RunnerClient,
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

/// Interval between two reads of the instance list.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two rounds of load reports.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which callers cache the list of addresses.
const ADDRESS_TTL: Duration = Duration::from_secs(3);

/// Fakes and records that all nodes share.
#[derive(Clone)]
pub(crate) struct Environment {
    pub(crate) fleet: Fleet,
    pub(crate) service: TableService,
    pub(crate) net: Net,
    pub(crate) wall_clock: WallClock,
    pub(crate) history: History,
}

/// One incarnation of a node.
pub(crate) struct Node {
    pub(crate) name: CompactString,
    pub(crate) gate: Gate,
    pub(crate) control: Control,
    pub(crate) services: Services<TableLink, RunnerClient>,
    pub(crate) link: TableLink,
    pub(crate) runner_client: RunnerClient,
    pub(crate) leaving: Leaving,
    pub(crate) wall_clock: WallClock,
    pub(crate) tasks: Vec<AbortHandle>,
}

impl Node {
    /// Starts a node, without any state of an earlier incarnation.
    pub(crate) fn start(name: &str, seed: u64, environment: &Environment) -> Node {
        let gate = Gate::default();
        let published = Published::default();
        let (control, receiver) = Control::new(published.clone());
        let (moves, orders) = Moves::new();
        let control = control.with_moves(moves);
        let (service, net, fleet) =
            (environment.service.clone(), environment.net.clone(), environment.fleet.clone());
        let link =
            TableLink { name: name.into(), service, net, gate: gate.clone(), cut: Arc::default() };
        let runner_client = RunnerClient {
            name: name.into(),
            gate: gate.clone(),
            fleet,
            net: environment.net.clone(),
        };
        let core = Core::new(seed, location());
        let leaving = Leaving::default();
        let (peer_endpoint, inbox) = environment.net.peer_endpoint(name, &gate);
        let mover =
            Mover::new(Incarnation(seed), seed, Instant::now(), environment.wall_clock.now());
        let mover = Task::new(
            mover,
            link.clone(),
            peer_endpoint.clone(),
            control.clone(),
            published.clone(),
        );
        let (history, wall_clock) = (environment.history.clone(), environment.wall_clock);
        let membership = Membership {
            members: Members::new(seed, Instant::now(), own_member(name, seed)),
            net: peer_endpoint,
            name: name.into(),
            drain: Drain::new(ADDRESS_TTL),
            leaving: leaving.clone(),
            control: control.clone(),
            published: published.clone(),
        };
        let (lists, listed) = watch::channel(None);
        let task = |work| tokio::spawn(gate.clone().run(work)).abort_handle();
        let tasks = vec![
            task(drive(core, receiver, published).boxed()),
            task(pollers::poll_catalog(control.clone(), Store::new(link.clone())).boxed()),
            task(poll_list(control.clone(), lists, runner_client.clone()).boxed()),
            task(poll_loads(control.clone(), runner_client.clone()).boxed()),
            task(membership.run(inbox, listed).boxed()),
            task(mover.run(orders).boxed()),
            task(moves::record_statuses(control.clone(), name.into(), seed, history).boxed()),
        ];
        let services = Services {
            control: control.clone(),
            intents: Intents::start(link.clone(), Incarnation(seed), Limits::default()),
            sender: runner_client.clone(),
        };
        Node {
            name: name.into(),
            gate,
            control,
            services,
            link,
            runner_client,
            leaving,
            wall_clock,
            tasks,
        }
    }

    /// Applies an action. A start only stops this incarnation; `World` then starts the next one.
    pub(crate) fn apply_action(&mut self, action: NodeAction) {
        match action {
            NodeAction::Die | NodeAction::Start => {
                self.gate.set(ProcessState::Dead);
                self.tasks.drain(..).for_each(|t| t.abort());
            }
            NodeAction::Pause if self.gate.process_state() == ProcessState::Running => {
                self.gate.set(ProcessState::Paused);
            }
            NodeAction::Wake if self.gate.process_state() == ProcessState::Paused => {
                self.gate.set(ProcessState::Running);
            }
            NodeAction::Pause | NodeAction::Wake => {}
            NodeAction::Leave => _ = self.leaving.requested.send_replace(true),
            NodeAction::CutOff => self.link.cut.store(true, SeqCst),
            NodeAction::Rejoin => self.link.cut.store(false, SeqCst),
        }
    }

    /// Returns the revision of the current catalogue, 0 for none.
    pub(crate) fn revision(&self) -> u64 {
        self.control.view().catalog.revision
    }

    /// Returns whether the process has exited after a graceful shutdown.
    pub(crate) fn has_exited(&self) -> bool {
        *self.leaving.completed.borrow()
    }

    /// Spawns a task of this node.
    pub(crate) fn spawn(&mut self, work: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        let task = tokio::spawn(self.gate.clone().run(work)).abort_handle();
        self.tasks.push(task.clone());
        task
    }
}

async fn poll_list(
    control: Control,
    lists: watch::Sender<Option<InstanceList>>,
    runner_client: RunnerClient,
) {
    loop {
        let reached = runner_client.net.is_connected(&runner_client.name, PLATFORM);
        if let Some(list) = runner_client.fleet.lagged().filter(|_| reached) {
            control.send(Event::Instances(list.clone()));
            lists.send_replace(Some(list));
        }
        sleep(LIST_POLL_INTERVAL).await;
    }
}

async fn poll_loads(control: Control, runner_client: RunnerClient) {
    loop {
        for (runner, instance) in &control.view().runners {
            control.send(match runner_client.load(&instance.url) {
                Some(report) => Event::Load { runner: *runner, report },
                None => Event::LoadMissing { runner: *runner },
            });
        }
        sleep(LOAD_POLL_INTERVAL).await;
    }
}

fn location() -> Location {
    Location { region: "region".into(), domain: "domain-1".into() }
}

fn own_member(name: &str, seed: u64) -> Me {
    let Instance { url, domain, peer, .. } = listed_instance(name);
    let peer = peer.unwrap_or_default();
    let life = message::NodeIncarnation { epoch: seed, incarnation: Incarnation(seed) };
    Me { name: name.into(), life, location: message::NodeLocation { domain, url, peer } }
}

/// Returns the node's entry in the platform's instance list.
pub(crate) fn listed_instance(name: &str) -> Instance {
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
