//! The control thread: owns the catalogue, the registry of runners, the membership and the
//! rollouts.

mod authority;
mod catalog;
pub mod feed;
mod feeds;
mod gossip;
mod join;
mod members;
mod own_rows;
mod quarantine_rows;
pub mod registry;
mod rollouts;
pub mod schedule;
mod tables;
mod throttle_rows;

pub use self::join::TABLE as NODES_TABLE;

use {
    self::{
        feed::FeedEvent,
        feeds::{Feeds, Loaded, WatchedTable},
        join::Listing,
        members::{Membership, Nodes},
        own_rows::OwnRows,
        registry::RunnerRegistry,
    },
    crate::{
        catalog::Catalog,
        drain::Drain,
        fanout::Scope,
        load_sync::{PeerReport, Update},
        metrics::Metrics,
        readers::READERS,
        records::Records,
        rollouts::{Rollouts, trial::TrialReport},
        settings::Settings,
        store::Store,
        table_sync::TableSync,
        tunnel::Tunnels,
        view::{NodeAddress, Published, Splits, View},
    },
    bilberryfront_decide::id::{CatalogRevision, Incarnation},
    bytes::Bytes,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{Notify, mpsc},
        time::{Instant, MissedTickBehavior, interval},
    },
};

/// Interval of the periodic work.
const TICK: Duration = Duration::from_millis(50);
/// Interval at which registrations of dead nodes are cleaned up.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// State of the control thread.
struct Control<R, S> {
    records: R,
    store: S,
    published: Published,
    drain: Drain,
    catalog: Option<Arc<Catalog>>,
    /// Revision and value of the catalogue, for peers.
    row: Option<(CatalogRevision, Bytes)>,
    registry: RunnerRegistry,
    /// `None` until this node has joined.
    membership: Option<Membership>,
    /// `None` until this node has joined.
    own_rows: Option<OwnRows>,
    sync: TableSync,
    feeds: Feeds,
    nodes: Arc<Vec<NodeAddress>>,
    /// Number of nodes that may serve callers.
    senders: usize,
    /// Time at which a node is expected to be ready, if none is.
    next_ready: Option<Instant>,
    scope: Scope,
    cut_off: bool,
    metrics: Metrics,
    rollouts: Rollouts,
    splits: Splits,
    tunnels: Tunnels,
    /// Sends updates of peers to the traffic thread.
    peer_reports: mpsc::UnboundedSender<PeerReport>,
    cleaned_at: Instant,
}

/// Inputs of the event loop.
struct Inputs {
    changes: mpsc::Receiver<FeedEvent<WatchedTable>>,
    loaded: mpsc::Receiver<Loaded>,
    joining: mpsc::Receiver<join::Progress>,
    demand: Arc<Notify>,
    updates: mpsc::UnboundedReceiver<Update>,
    trials: mpsc::UnboundedReceiver<TrialReport>,
}

/// Channels to the traffic thread.
pub struct Channels {
    /// Updates of this node for its peers.
    pub updates: mpsc::UnboundedReceiver<Update>,
    /// First attempts of requests during a rollout.
    pub trials: mpsc::UnboundedReceiver<TrialReport>,
    /// Updates of peers.
    pub peer_reports: mpsc::UnboundedSender<PeerReport>,
    /// Notified when a request waits for the catalogue or the runners.
    pub demand: Arc<Notify>,
    /// Metrics.
    pub metrics: Metrics,
    /// Receives access to the peer transport once the node has joined.
    pub tunnels: Tunnels,
}

/// Runs the control thread until the node has drained.
pub async fn run<R: Records, S: Store>(
    settings: Settings,
    records: R,
    store: S,
    published: Published,
    drain: Drain,
    channels: Channels,
    shutdown: impl Future<Output = ()>,
) {
    let Channels { updates, trials, peer_reports, demand, metrics, tunnels } = channels;
    let (feeds, changes, loaded) = Feeds::start::<R, S>(&settings, &store, &metrics);
    let (progress, joining) = mpsc::channel(1);
    let join = join::join(settings.clone(), store.clone(), metrics.clone(), progress);
    tokio::task::spawn_local(join);
    let (me, apply_time) = (settings.name.clone(), settings.bounds.apply_time());
    let sync = TableSync::new(rand::random(), me, R::registered_service, apply_time);
    let control = Control {
        records,
        store,
        published,
        drain,
        catalog: None,
        row: None,
        registry: RunnerRegistry::default(),
        membership: None,
        own_rows: None,
        sync,
        feeds,
        nodes: Arc::default(),
        senders: 1,
        next_ready: None,
        scope: Scope::default(),
        cut_off: false,
        metrics,
        rollouts: Rollouts::new(Incarnation(rand::random())),
        splits: Splits::default(),
        tunnels,
        peer_reports,
        cleaned_at: Instant::now(),
    };
    let inputs = Inputs { changes, loaded, joining, demand, updates, trials };
    control.run_loop(inputs, shutdown).await;
}

impl<R: Records, S: Store> Control<R, S> {
    async fn run_loop(mut self, mut inputs: Inputs, shutdown: impl Future<Output = ()>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (placeholder, mut received) = mpsc::channel(1);
        let mut placeholder = Some(placeholder);
        tokio::pin!(shutdown);
        loop {
            tokio::select! {
                Some(event) = inputs.changes.recv() => self.apply_event(event),
                Some(loaded) = inputs.loaded.recv() => self.apply_loaded(loaded),
                Some(progress) = inputs.joining.recv() => match progress {
                    join::Progress::Unavailable => self.set_cut_off(true),
                    join::Progress::Joined(joined, listing) => {
                        received = joined.events;
                        placeholder = None;
                        self.own_rows = Some(OwnRows::new(joined.authority));
                        self.finish_join(joined.membership, &listing);
                    }
                    join::Progress::Settled => self.sync.start(Instant::now()),
                },
                () = inputs.demand.notified() => self.load_now(),
                Some(event) = received.recv(), if placeholder.is_none() => self.handle_peer_event(event),
                Some(update) = inputs.updates.recv() => self.publish_update(update),
                Some(report) = inputs.trials.recv() => self.rollouts.observe(&report),
                _ = ticks.tick() => {
                    self.tick();
                    self.step_rollouts();
                }
                () = &mut shutdown => break,
            }
        }
        self.send_last_results();
        if let Some(membership) = self.membership {
            membership.send_leave().await;
        }
    }

    fn finish_join(&mut self, mut membership: Membership, listing: &Listing) {
        membership.apply_registrations(&listing.rows, true);
        self.apply_quarantined(&listing.rows.rows);
        self.load_throttles(&listing.rows.rows);
        self.feeds.set_nodes_revision(listing.rows.revision);
        self.tunnels.attach(membership.net());
        self.membership = Some(membership);
        if listing.complete {
            self.sync.start(Instant::now());
        }
        self.tick();
    }

    /// Reads the tables directly if they are not loaded yet, because a request waits for them and
    /// the updates of the readers would arrive too late.
    fn load_now(&mut self) {
        if self.catalog.is_none() || !self.registry.is_loaded() {
            self.feeds.load_once();
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if self.registry.remove_expired(now, self.sync.is_settled(now)) {
            self.publish();
        }
        let ready = self.catalog.is_some() && self.registry.is_loaded();
        let Some(membership) = &mut self.membership else { return };
        if ready {
            membership.mark_ready();
        }
        if self.drain.is_draining() {
            membership.mark_draining(now);
        }
        let failed = membership.tick(now, self.row.as_ref());
        let changed = membership.changed_nodes(now);
        if let Some(Nodes { listed, next_ready, senders, ranking, domains, scope }) = changed {
            self.scope = scope;
            self.sync.set_ranking(ranking);
            self.feeds.set_readers(domains * READERS);
            self.set_nodes(listed, next_ready, senders);
        }
        self.forward_failures(failed);
        self.step_sync(now);
        self.check_own_rows(now);
        self.clean_up(now);
    }

    fn set_nodes(&mut self, nodes: Vec<NodeAddress>, next_ready: Option<Instant>, senders: usize) {
        if std::mem::replace(&mut self.senders, senders) != senders {
            self.publish();
        }
        if *self.nodes != nodes || self.next_ready != next_ready {
            log::info!(nodes = nodes.len() as u64, draining = next_ready.is_some();
                "nodes in address responses changed");
            self.nodes = Arc::new(nodes);
            self.next_ready = next_ready;
            self.publish();
        }
    }

    fn set_cut_off(&mut self, cut_off: bool) {
        if self.cut_off != cut_off {
            self.cut_off = cut_off;
            if cut_off {
                self.metrics.count_store_failure();
            }
            self.publish();
        }
    }

    /// Deletes registrations of dead nodes if this node is the first reader of its failure domain.
    fn clean_up(&mut self, now: Instant) {
        if now < self.cleaned_at + CLEANUP_INTERVAL {
            return;
        }
        self.cleaned_at = now;
        let Some(membership) = &mut self.membership else { return };
        if self.sync.is_first_reader() {
            let names = membership.take_stale_registrations(now);
            if !names.is_empty() {
                tokio::task::spawn_local(join::unregister(self.store.clone(), names));
            }
        }
    }

    fn publish(&self) {
        let version = self.catalog.as_ref().map_or(0, |c| c.version);
        self.metrics.set_view(version, self.nodes.len(), self.registry.runners().len());
        self.published.store(View {
            catalog: self.catalog.clone(),
            runners: self.registry.runners(),
            listed: self.registry.is_loaded(),
            nodes: self.nodes.clone(),
            senders: self.senders,
            next_ready: self.next_ready,
            scope: self.scope,
            splits: self.splits.clone(),
            cut_off: self.cut_off,
        });
    }
}
