//! The task that runs the mover state machine.

use {
    super::{Message, Result},
    crate::{
        catalogue::store::{CatalogueRevision, Change, Outcome, Store},
        control::{
            Control,
            view::{Published, View},
        },
        peer::Peers,
        platform::table::Table,
    },
    bilberryfront_decide::{
        catalog::Entry,
        id::{EntryKey, Incarnation, Revision},
        member::{Node, PeerMessage, Target, message::NodeState},
        mover::{MoveId, MoveUpdate, Mover, Output, Split, Standing},
    },
    bilberryfront_wire::table::{Committed, Rows},
    compact_str::{CompactString, format_compact},
    jiff::Timestamp,
    rustc_hash::FxHashMap,
    std::{collections::BTreeMap, mem, time::Duration},
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, interval},
    },
};

/// Interval of the mover's timer.
const TICK: Duration = Duration::from_millis(50);
/// Interval between two counts of runners.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Author of the catalogue change at the end of a move, in the catalogue's history.
const AUTHOR: &str = "version move";

/// Result of a call to the table; `None` if it failed.
enum TableResult {
    Rows(u64, Option<Rows>),
    Committed(u64, Option<Committed>),
    Adopted(Option<CatalogueRevision>),
}

/// The task that runs the mover of one node.
pub struct Task<T, P> {
    mover: Mover,
    table: T,
    net: P,
    control: Control,
    published: Published,
    results: (mpsc::UnboundedSender<TableResult>, mpsc::UnboundedReceiver<TableResult>),
    pending_starts: FxHashMap<MoveId, oneshot::Sender<Result<MoveId>>>,
    standings: BTreeMap<CompactString, Standing>,
    revision: Revision,
    counted_at: Option<Instant>,
    is_adopting: bool,
}

impl<T: Table, P: Peers> Task<T, P> {
    /// Creates a task without any moves.
    pub fn new(
        mover: Mover,
        table: T,
        net: P,
        control: Control,
        published: Published,
    ) -> Task<T, P> {
        Task {
            mover,
            table,
            net,
            control,
            published,
            results: mpsc::unbounded_channel(),
            pending_starts: FxHashMap::default(),
            standings: BTreeMap::new(),
            revision: 0,
            counted_at: None,
            is_adopting: false,
        }
    }

    /// Runs until every [`super::Moves`] handle is dropped.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let mut ticks = interval(TICK);
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                Some(result) = self.results.1.recv() => self.handle_result(result),
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        let now = Instant::now();
        match message {
            Message::AttemptEnded(trial, result) => {
                self.mover.observe(now, &trial.entry, &trial.sample(&result));
            }
            Message::Peer(update) => self.mover.receive(now, &update),
            Message::Start(start, answer) => match self.mover.start(now, &start) {
                Ok(id) => _ = self.pending_starts.insert(id, answer),
                Err(error) => _ = answer.send(Err(error)),
            },
            Message::Undo(entry, answer) => _ = answer.send(self.mover.undo(now, &entry)),
            Message::List(answer) => {
                let catalog = &self.published.load().catalog;
                let entries = catalog.entries.values();
                let moves = entries.filter_map(|e| self.mover.status(now, &e.name)).collect();
                _ = answer.send(moves);
            }
        }
    }

    fn handle_result(&mut self, result: TableResult) {
        let now = Instant::now();
        match result {
            TableResult::Rows(number, rows) => self.mover.rows(now, number, rows.as_ref()),
            TableResult::Committed(number, committed) => {
                self.mover.committed(now, number, committed.as_ref());
            }
            TableResult::Adopted(catalogue) => {
                self.is_adopting = false;
                catalogue.into_iter().for_each(|c| self.control.apply_catalog(c));
            }
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        let view = self.published.load();
        self.update_mover(now, &view);
        let mut out = Vec::new();
        self.mover.tick(now, &mut out);
        out.into_iter().for_each(|output| self.execute(output, &view));
        self.publish(now, &view);
    }

    /// Passes the catalogue, the peers and the runner counts to the mover.
    fn update_mover(&mut self, now: Instant, view: &View) {
        if view.catalog.revision > self.revision {
            self.revision = view.catalog.revision;
            for entry in view.catalog.entries.values() {
                self.mover.set_version(now, &entry.name, &entry.version);
            }
        }
        if self.counted_at.is_some_and(|at| now < at + COUNT_INTERVAL) {
            return;
        }
        self.counted_at = Some(now);
        self.mover.set_peers(&peers(view));
        for entry in view.catalog.entries.values() {
            let Some(status) = self.mover.status(now, &entry.name) else { continue };
            let count = |version: &str| {
                let runners = view.runners.iter().map(|(_, r)| r);
                runners.filter(|r| r.entry == entry.name && r.version == version).count() as u32
            };
            let (old, new) = (count(&status.moved.from), count(&status.moved.to));
            self.mover.set_runner_counts(&entry.name, old, new);
            self.log_standing(&entry.name, status.standing);
        }
    }

    /// Logs the state of an entry's move if it changed.
    fn log_standing(&mut self, entry: &CompactString, standing: Standing) {
        if self.standings.get(entry) != Some(&standing) {
            log::info!("version move of {entry}: state is now {standing:?}");
            self.standings.insert(entry.clone(), standing);
        }
    }

    fn execute(&mut self, output: Output, view: &View) {
        let (table, sender) = (self.table.clone(), self.results.0.clone());
        match output {
            Output::Read { number, read } => {
                tokio::spawn(async move {
                    _ = sender.send(TableResult::Rows(number, table.read(&read).await.ok()));
                });
            }
            Output::Commit { number, commit } => {
                tokio::spawn(async move {
                    _ = sender
                        .send(TableResult::Committed(number, table.commit(&commit).await.ok()));
                });
            }
            Output::Broadcast(update) => self.send_to_peers(view, update),
            Output::Adopt { entry, version } if !mem::replace(&mut self.is_adopting, true) => {
                let in_force = view.catalog.revision;
                tokio::spawn(async move {
                    let store = Store::new(table);
                    let adopted = adopt(&store, in_force, &entry, version).await;
                    _ = sender.send(TableResult::Adopted(adopted));
                });
            }
            Output::Adopt { .. } => {}
            Output::Started { id, result } => {
                if let Some(answer) = self.pending_starts.remove(&id) {
                    _ = answer.send(result.map(|()| id));
                }
            }
        }
    }

    fn send_to_peers(&self, view: &View, update: MoveUpdate) {
        let nodes = view.nodes.iter().filter(|n| n.state != NodeState::Forgotten);
        let target = |n: &Node| {
            let address = n.location.as_ref()?.peer.clone();
            Some(Target { name: n.name.clone(), address })
        };
        let targets: Vec<Target> = nodes.filter_map(target).collect();
        if let Err(error) = self.net.send(&targets, &PeerMessage::Move(update)) {
            log::warn!("cannot send the state of a version move to peers: {error}");
        }
    }

    fn publish(&self, now: Instant, view: &View) {
        let split =
            |(key, entry): (EntryKey, &Entry)| Some((key, self.mover.split(now, &entry.name)?));
        let splits: FxHashMap<EntryKey, Split> =
            view.catalog.entries.iter().filter_map(split).collect();
        if splits != *view.splits {
            self.published.set_splits(splits);
        }
    }
}

/// Returns every node that may be assigning requests to versions. This includes unresponsive nodes:
/// one may be partitioned, and while the table is down too its decisions are unknown.
fn peers(view: &View) -> Vec<Incarnation> {
    let known = view.nodes.iter().filter(|n| n.state != NodeState::Forgotten);
    known.map(|n| n.incarnation).collect()
}

/// Sets the entry's version in the catalogue to the new one. After a conflict with an operator's
/// change the next attempt starts from that change.
async fn adopt<T: Table>(
    store: &Store<T>,
    in_force: Revision,
    entry: &str,
    version: CompactString,
) -> Option<CatalogueRevision> {
    let CatalogueRevision { revision, mut catalogue } = store.get().await.ok()?;
    if revision < in_force {
        // A restored table has lost the one in force, which is written again first.
        return None;
    }
    let found = catalogue.entries.iter_mut().find(|e| e.name == entry)?;
    if found.version == version {
        return Some(CatalogueRevision { revision, catalogue });
    }
    let comment = format!("{entry}: {} to {version}", found.version);
    found.version = version;
    let change = Change {
        apply: format_compact!("{:032x}", rand::random::<u128>()),
        who: AUTHOR.into(),
        when: Timestamp::now(),
        comment,
    };
    match store.apply(&catalogue, revision, &change).await.ok()? {
        Outcome::Applied(revision) => Some(CatalogueRevision { revision, catalogue }),
        Outcome::Conflict(_) => None,
    }
}
