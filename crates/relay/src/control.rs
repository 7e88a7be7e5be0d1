//! The one thread that owns control state: what operators want, which runners and nodes there are.

mod authority;
pub mod follow;
mod join;
pub mod listing;
mod members;
mod moves;
mod orders;
mod talk;

use {
    self::{
        follow::{Change, Follower, News, PROBE_PAUSE, REST_PAUSE},
        listing::Listing,
        members::Membership,
    },
    crate::{
        catalog::Catalog,
        leaving::Leaving,
        loads::Heard,
        metrics::Metrics,
        moves::{Moves, Trial},
        records::Records,
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

/// Table in which nodes register themselves; each row's key is a node's name.
const NODES: &str = "bilberryfront-nodes";
/// Time between two looks at what is due; the membership asks for no less.
const TICK: Duration = Duration::from_millis(50);
/// Longest wait of a question for news of operators: a lost answer shows after this and the client's
/// own timeout; the peers tell of a new catalogue long before.
const ORDERS_WAIT: Duration = Duration::from_secs(5);
/// Shortest of the longest waits of a question for news of runners. Their rows change only when something
/// happens to them, so at rest a question costs a call each time its wait is over. Until a swallowed one is
/// given up, a silent outage isn't known, no restarted runner can be taken over, and its end isn't either.
const RUNNERS_WAIT_LEAST: Duration = Duration::from_secs(1);
/// What each node adds to that wait, so that all nodes together ask some three times a second at rest.
const RUNNERS_WAIT_NODE: Duration = Duration::from_millis(400);
/// Longest of those waits.
const RUNNERS_WAIT_MOST: Duration = Duration::from_secs(5);
/// Longest wait of a question for news of nodes: their heartbeats tell all that is urgent.
const NODES_WAIT: Duration = Duration::from_secs(30);
/// Time between two questions for news of nodes. When all start together each of them registers, and asked
/// at once after each answer every node would fetch every other's row by itself. Those who matter are heard
/// of by their heartbeats sooner.
const NODES_EVERY: Duration = Duration::from_secs(2);
/// Part of the time in which a leaving runner must get nothing new that passes between two questions for
/// news of runners. They report every second or so, and each question costs as much as a call that is
/// served, so all their reports of that time are fetched at once. The rest of the time is for a question
/// that is lost and asked again.
const RUNNERS_SHARE: f64 = 0.45;
/// Pause before another try to register.
const REGISTER_RETRY: Duration = Duration::from_millis(500);

/// The control thread's state.
struct Control<R> {
    records: R,
    published: Published,
    leaving: Leaving,
    catalog: Option<Arc<Catalog>>,
    /// Version of the catalogue's row, and the row as it came, for peers.
    row: Option<(Revision, Bytes)>,
    listing: Listing,
    membership: Option<Membership>,
    /// News of nodes from before there was a membership.
    early: Vec<Change>,
    nodes: Arc<Vec<NodeAddress>>,
    /// Longest wait of a question for news of runners.
    runners_wait: Rc<Cell<Duration>>,
    cut_off: bool,
    metrics: Metrics,
    moves: Moves,
    splits: Splits,
    /// What other nodes say of runners goes to the traffic thread.
    heard: mpsc::UnboundedSender<Heard>,
}

/// What the control thread is told.
struct Inputs {
    changes: mpsc::Receiver<News>,
    joined: mpsc::Receiver<members::Joined>,
    told: mpsc::UnboundedReceiver<Load>,
    trials: mpsc::UnboundedReceiver<Trial>,
}

/// The control thread's ends of the way to the traffic thread.
pub struct Ends {
    /// What this node has to say of runners.
    pub told: mpsc::UnboundedReceiver<Load>,
    /// How requests ended whose version was chosen.
    pub trials: mpsc::UnboundedReceiver<Trial>,
    /// What others said.
    pub heard: mpsc::UnboundedSender<Heard>,
    /// What is counted.
    pub metrics: Metrics,
}

/// Runs the control thread's tasks until the node has left.
pub async fn run<R: Records, S: Store>(
    settings: Settings,
    records: R,
    store: S,
    published: Published,
    leaving: Leaving,
    ends: Ends,
    gone: impl Future<Output = ()>,
) {
    let (sender, changes) = mpsc::channel(64);
    let returns = watch::Sender::new(0);
    let follow = |table, every, wait: &Rc<Cell<Duration>>| {
        let (store, returns, wait) = (store.clone(), returns.clone(), wait.clone());
        let metrics = ends.metrics.clone();
        let pause = if table == R::ORDERS { PROBE_PAUSE } else { REST_PAUSE };
        let follower = Follower { store, table, every, wait, pause, returns, metrics };
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
        leaving,
        catalog: None,
        row: None,
        listing: Listing::default(),
        membership: None,
        early: Vec::new(),
        nodes: Arc::default(),
        runners_wait,
        cut_off: false,
        metrics: ends.metrics,
        moves: Moves::new(Incarnation(rand::random())),
        splits: Splits::default(),
        heard: ends.heard,
    };
    let inputs = Inputs { changes, joined, told: ends.told, trials: ends.trials };
    control.drive(inputs, &store, gone).await;
    // Others learn of the end from peers; the row only keeps a later start from asking in vain.
    let row = Write { table: NODES.into(), key: settings.name, value: None, expected: None };
    _ = tokio::time::timeout(REGISTER_RETRY, store.write(&[row])).await;
}

impl<R: Records> Control<R> {
    async fn drive<S: Store>(
        mut self,
        mut inputs: Inputs,
        store: &S,
        gone: impl Future<Output = ()>,
    ) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (none, mut received) = mpsc::channel(1);
        let mut none = Some(none);
        tokio::pin!(gone);
        loop {
            tokio::select! {
                Some(news) = inputs.changes.recv() => self.learn(news),
                Some(members::Joined { membership, events }) = inputs.joined.recv() => {
                    self.membership = Some(membership);
                    std::mem::take(&mut self.early).into_iter().for_each(|c| self.learn_nodes(c));
                    received = events;
                    none = None;
                }
                Some(event) = received.recv(), if none.is_none() => self.hear(event),
                Some(load) = inputs.told.recv() => self.tell(load),
                Some(trial) = inputs.trials.recv() => self.moves.observe(&trial),
                _ = ticks.tick() => {
                    self.tick();
                    self.step_moves(store);
                }
                () = &mut gone => break,
            }
        }
        if let Some(membership) = self.membership {
            membership.goodbye().await;
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if self.listing.settle(now) {
            self.publish();
        }
        let Some(membership) = &mut self.membership else { return };
        if self.catalog.is_some() && self.listing.is_known() {
            membership.ready();
        }
        if self.leaving.is_leaving() {
            membership.leave(now);
        }
        let lost = membership.tick(now, self.row.as_ref());
        let nodes = membership.nodes();
        self.pass_on(lost);
        if *self.nodes != nodes {
            log::info!(nodes = nodes.len() as u64; "nodes in the address answers: {}", names(&nodes));
            self.nodes = Arc::new(nodes);
            self.runners_wait.set(runners_wait(self.nodes.len()));
            self.publish();
        }
    }

    fn learn(&mut self, News { table, change }: News) {
        match table {
            NODES => self.learn_nodes(change),
            table if table == R::RUNNERS => self.learn_runners(change),
            table if table == R::STATUS => self.learn_status(change),
            _ => self.learn_orders(change),
        }
    }

    /// Takes news of the nodes' table. What comes before this node can talk to others is kept: the whole
    /// table is told only once, and without it this node would know only those who come to it.
    fn learn_nodes(&mut self, change: Change) {
        let Some(membership) = &mut self.membership else { return self.early.push(change) };
        if let Change::Whole(rows) | Change::Rows(rows) = &change {
            membership.list(rows, matches!(change, Change::Whole(_)));
        }
    }

    fn learn_runners(&mut self, change: Change) {
        let now = Instant::now();
        let changed = match change {
            Change::Whole(rows) => self.listing.replace(now, &rows.rows, &self.records),
            Change::Rows(rows) => self.listing.update(now, &rows.rows, &self.records),
            Change::Down => {
                self.listing.down();
                false
            }
            Change::Up => {
                self.listing.up(now);
                false
            }
        };
        if changed {
            self.publish();
        }
    }

    fn publish(&self) {
        let version = self.catalog.as_ref().map_or(0, |c| c.version);
        self.metrics.believe(version, self.nodes.len(), self.listing.runners().len());
        self.published.store(View {
            catalog: self.catalog.clone(),
            runners: self.listing.runners(),
            listed: self.listing.is_known(),
            nodes: self.nodes.clone(),
            splits: self.splits.clone(),
            cut_off: self.cut_off,
        });
    }
}

/// Longest wait of a question for news of runners, with so many nodes that ask.
fn runners_wait(nodes: usize) -> Duration {
    let wait = RUNNERS_WAIT_NODE.mul_f64(nodes as f64);
    wait.clamp(RUNNERS_WAIT_LEAST, RUNNERS_WAIT_MOST)
}

fn names(nodes: &[NodeAddress]) -> String {
    nodes.iter().map(|n| n.name.as_str()).collect::<Vec<_>>().join(" ")
}
