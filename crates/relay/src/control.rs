//! The control thread: owns the catalogue, the registry of runners, the membership and the
//! rollouts.

mod authority;
pub mod feed;
mod join;
pub mod registry;
mod members;
mod rollouts;
mod catalog;
mod gossip;

use {
    self::{
        feed::{Change, FeedEvent, FeedWatcher, PROBE_PAUSE, REST_PAUSE},
        members::Membership,
        registry::RunnerRegistry,
    },
    crate::{
        catalog::Catalog,
        drain::Drain,
        load_sync::PeerReport,
        metrics::Metrics,
        records::Records,
        rollouts::{Rollouts, Trial},
        settings::Settings,
        store::{Revision, Store, Write},
        view::{NodeAddress, Published, Splits, View},
    },
    bilberryfront_decide::{id::Incarnation, member::message::Load},
    bytes::Bytes,
    std::{cell::Cell, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, MissedTickBehavior, interval},
    },
};

/// Table of node registrations, by node name.
const NODES: &str = "bilberryfront-nodes";
/// Interval of periodic work.
const TICK: Duration = Duration::from_millis(50);
/// Long-poll wait for operators' rows; bounds the detection of a lost response.
const ORDERS_WAIT: Duration = Duration::from_secs(5);
/// Minimum long-poll wait for runner registrations; bounds the detection of a silent outage.
const RUNNERS_WAIT_LEAST: Duration = Duration::from_secs(1);
/// Added to that wait per node, so that the total poll rate is independent of the number of nodes.
const RUNNERS_WAIT_NODE: Duration = Duration::from_millis(400);
/// Maximum long-poll wait for runner registrations.
const RUNNERS_WAIT_MOST: Duration = Duration::from_secs(5);
/// Long-poll wait for node registrations; heartbeats carry everything urgent.
const NODES_WAIT: Duration = Duration::from_secs(30);
/// Minimum interval of polls for node registrations, so that nodes starting together do not fetch
/// each other's rows one by one.
const NODES_EVERY: Duration = Duration::from_secs(2);
/// Interval of polls for runner registrations, as a share of the time in which a draining runner
/// must get no new requests. The rest is for a poll that has to be repeated.
const RUNNERS_SHARE: f64 = 0.45;
/// Delay before a failed registration is retried.
const REGISTER_RETRY: Duration = Duration::from_millis(500);

/// State of the control thread.
struct Control<R> {
    records: R,
    published: Published,
    drain: Drain,
    catalog: Option<Arc<Catalog>>,
    /// The catalogue's row and its revision, for peers.
    row: Option<(Revision, Bytes)>,
    registry: RunnerRegistry,
    membership: Option<Membership>,
    /// Node registrations received before the membership exists.
    pending_nodes: Vec<Change>,
    nodes: Arc<Vec<NodeAddress>>,
    /// Long-poll wait for runner registrations.
    runners_wait: Rc<Cell<Duration>>,
    cut_off: bool,
    metrics: Metrics,
    rollouts: Rollouts,
    splits: Splits,
    /// Load updates of peers, for the traffic thread.
    peer_reports: mpsc::UnboundedSender<PeerReport>,
}

/// Inputs of the event loop.
struct Inputs {
    changes: mpsc::Receiver<FeedEvent>,
    joined: mpsc::Receiver<members::Joined>,
    updates: mpsc::UnboundedReceiver<Load>,
    trials: mpsc::UnboundedReceiver<Trial>,
}

/// Channels to the traffic thread.
pub struct Channels {
    /// Load updates of this node.
    pub updates: mpsc::UnboundedReceiver<Load>,
    /// Outcomes of requests during a rollout.
    pub trials: mpsc::UnboundedReceiver<Trial>,
    /// Load updates of peers.
    pub peer_reports: mpsc::UnboundedSender<PeerReport>,
    /// Metrics.
    pub metrics: Metrics,
}

/// Runs the control thread until the node has drained.
pub async fn run<R: Records, S: Store>(
    settings: Settings,
    records: R,
    store: S,
    published: Published,
    drain: Drain,
    ends: Channels,
    shutdown: impl Future<Output = ()>,
) {
    let (sender, changes) = mpsc::channel(64);
    let returns = watch::Sender::new(0);
    let follow = |table, every, wait: &Rc<Cell<Duration>>| {
        let (store, returns, wait) = (store.clone(), returns.clone(), wait.clone());
        let metrics = ends.metrics.clone();
        let pause = if table == R::ORDERS { PROBE_PAUSE } else { REST_PAUSE };
        let follower = FeedWatcher { store, table, every, wait, pause, returns, metrics };
        tokio::task::spawn_local(follower.run(sender.clone()));
    };
    let fixed = |wait| Rc::new(Cell::new(wait));
    let runners_wait = fixed(RUNNERS_WAIT_LEAST);
    follow(R::ORDERS, Duration::ZERO, &fixed(ORDERS_WAIT));
    follow(R::RUNNERS, settings.bounds.leave().mul_f64(RUNNERS_SHARE), &runners_wait);
    follow(NODES, NODES_EVERY, &fixed(NODES_WAIT));
    follow(R::STATUS, Duration::ZERO, &fixed(NODES_WAIT));
    let (arrived, joined) = mpsc::channel(1);
    tokio::task::spawn_local(join::join(
        settings.clone(),
        store.clone(),
        ends.metrics.clone(),
        arrived,
    ));
    let control = Control {
        records,
        published,
        drain,
        catalog: None,
        row: None,
        registry: RunnerRegistry::default(),
        membership: None,
        pending_nodes: Vec::new(),
        nodes: Arc::default(),
        runners_wait,
        cut_off: false,
        metrics: ends.metrics,
        rollouts: Rollouts::new(Incarnation(rand::random())),
        splits: Splits::default(),
        peer_reports: ends.peer_reports,
    };
    let inputs = Inputs { changes, joined, updates: ends.updates, trials: ends.trials };
    control.run_loop(inputs, &store, shutdown).await;
    // Peers get a leave message; deleting the row saves later nodes a failed connection.
    let row = Write { table: NODES.into(), key: settings.name, value: None, expected: None };
    _ = tokio::time::timeout(REGISTER_RETRY, store.write(&[row])).await;
}

impl<R: Records> Control<R> {
    async fn run_loop<S: Store>(
        mut self,
        mut inputs: Inputs,
        store: &S,
        shutdown: impl Future<Output = ()>,
    ) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (none, mut received) = mpsc::channel(1);
        let mut none = Some(none);
        tokio::pin!(shutdown);
        loop {
            tokio::select! {
                Some(news) = inputs.changes.recv() => self.apply_event(news),
                Some(members::Joined { membership, events }) = inputs.joined.recv() => {
                    self.membership = Some(membership);
                    std::mem::take(&mut self.pending_nodes).into_iter().for_each(|c| self.apply_nodes(c));
                    received = events;
                    none = None;
                }
                Some(event) = received.recv(), if none.is_none() => self.handle_peer_event(event),
                Some(load) = inputs.updates.recv() => self.publish_load(load),
                Some(trial) = inputs.trials.recv() => self.rollouts.observe(&trial),
                _ = ticks.tick() => {
                    self.tick();
                    self.step_moves(store);
                }
                () = &mut shutdown => break,
            }
        }
        if let Some(membership) = self.membership {
            membership.send_leave().await;
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if self.registry.settle(now) {
            self.publish();
        }
        let Some(membership) = &mut self.membership else { return };
        if self.catalog.is_some() && self.registry.is_known() {
            membership.ready();
        }
        if self.drain.is_draining() {
            membership.leave(now);
        }
        let lost = membership.tick(now, self.row.as_ref());
        let nodes = membership.nodes();
        self.forward_failures(lost);
        if *self.nodes != nodes {
            log::info!(nodes = nodes.len() as u64; "nodes in address responses: {}", names(&nodes));
            self.nodes = Arc::new(nodes);
            self.runners_wait.set(runners_wait(self.nodes.len()));
            self.publish();
        }
    }

    fn apply_event(&mut self, FeedEvent { table, change }: FeedEvent) {
        match table {
            NODES => self.apply_nodes(change),
            table if table == R::RUNNERS => self.apply_runners(change),
            table if table == R::STATUS => self.apply_status(change),
            _ => self.apply_operator_rows(change),
        }
    }

    /// Applies node registrations. Those received before the membership exists are queued, since
    /// the table is read in full only once.
    fn apply_nodes(&mut self, change: Change) {
        let Some(membership) = &mut self.membership else { return self.pending_nodes.push(change) };
        if let Change::Whole(rows) | Change::Rows(rows) = &change {
            membership.list(rows, matches!(change, Change::Whole(_)));
        }
    }

    fn apply_runners(&mut self, change: Change) {
        let now = Instant::now();
        let changed = match change {
            Change::Whole(rows) => self.registry.replace(now, &rows.rows, &self.records),
            Change::Rows(rows) => self.registry.update(now, &rows.rows, &self.records),
            Change::Down => {
                self.registry.down();
                false
            }
            Change::Up => {
                self.registry.up(now);
                false
            }
        };
        if changed {
            self.publish();
        }
    }

    fn publish(&self) {
        let version = self.catalog.as_ref().map_or(0, |c| c.version);
        self.metrics.set_view(version, self.nodes.len(), self.registry.runners().len());
        self.published.store(View {
            catalog: self.catalog.clone(),
            runners: self.registry.runners(),
            listed: self.registry.is_known(),
            nodes: self.nodes.clone(),
            splits: self.splits.clone(),
            cut_off: self.cut_off,
        });
    }
}

/// Long-poll wait for runner registrations with this number of nodes.
fn runners_wait(nodes: usize) -> Duration {
    let wait = RUNNERS_WAIT_NODE.mul_f64(nodes as f64);
    wait.clamp(RUNNERS_WAIT_LEAST, RUNNERS_WAIT_MOST)
}

fn names(nodes: &[NodeAddress]) -> String {
    nodes.iter().map(|n| n.name.as_str()).collect::<Vec<_>>().join(" ")
}
