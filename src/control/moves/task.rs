//! The task that drives the mover.

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
        mover::{MoveId, Mover, Output, PeerNews, Split, Standing},
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

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Time between two counts of runners.
const COUNT_EVERY: Duration = Duration::from_secs(1);
/// Who changes the catalogue when a move has settled, in its history.
const WHO: &str = "version move";

/// What a call of the table came to.
enum Answer {
    Rows(u64, Option<Rows>),
    Committed(u64, Option<Committed>),
    Adopted(Option<CatalogueRevision>),
}

/// The task that drives the mover of one node.
pub struct Task<T, P> {
    mover: Mover,
    table: T,
    net: P,
    control: Control,
    published: Published,
    answers: (mpsc::UnboundedSender<Answer>, mpsc::UnboundedReceiver<Answer>),
    starts: FxHashMap<MoveId, oneshot::Sender<Result<MoveId>>>,
    standings: BTreeMap<CompactString, Standing>,
    revision: Revision,
    counted: Option<Instant>,
    adopting: bool,
}

impl<T: Table, P: Peers> Task<T, P> {
    /// A task that knows of no move yet.
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
            answers: mpsc::unbounded_channel(),
            starts: FxHashMap::default(),
            standings: BTreeMap::new(),
            revision: 0,
            counted: None,
            adopting: false,
        }
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let mut ticks = interval(TICK);
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                Some(answer) = self.answers.1.recv() => self.answer(answer),
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn take(&mut self, message: Message) {
        let now = Instant::now();
        match message {
            Message::Ended(trial, ended) => {
                self.mover.observe(now, &trial.entry, &trial.sample(&ended));
            }
            Message::News(news) => self.mover.hear(now, &news),
            Message::Start(start, answer) => match self.mover.start(now, &start) {
                Ok(id) => _ = self.starts.insert(id, answer),
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

    fn answer(&mut self, answer: Answer) {
        let now = Instant::now();
        match answer {
            Answer::Rows(number, rows) => self.mover.rows(now, number, rows.as_ref()),
            Answer::Committed(number, committed) => {
                self.mover.committed(now, number, committed.as_ref());
            }
            Answer::Adopted(numbered) => {
                self.adopting = false;
                numbered.into_iter().for_each(|n| self.control.apply_catalog(n));
            }
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        let view = self.published.load();
        self.learn(now, &view);
        let mut out = Vec::new();
        self.mover.tick(now, &mut out);
        out.into_iter().for_each(|output| self.carry_out(output, &view));
        self.publish(now, &view);
    }

    fn learn(&mut self, now: Instant, view: &View) {
        if view.catalog.revision > self.revision {
            self.revision = view.catalog.revision;
            for entry in view.catalog.entries.values() {
                self.mover.entry(now, &entry.name, &entry.version);
            }
        }
        if self.counted.is_some_and(|at| now < at + COUNT_EVERY) {
            return;
        }
        self.counted = Some(now);
        self.mover.peers(&peers(view));
        for entry in view.catalog.entries.values() {
            let Some(status) = self.mover.status(now, &entry.name) else { continue };
            let count = |version: &str| {
                let runners = view.runners.iter().map(|(_, r)| r);
                runners.filter(|r| r.entry == entry.name && r.version == version).count() as u32
            };
            let (old, new) = (count(&status.moved.from), count(&status.moved.to));
            self.mover.fleet(&entry.name, old, new);
            self.note(&entry.name, status.standing);
        }
    }

    /// Logs a change of an entry's move.
    fn note(&mut self, entry: &CompactString, standing: Standing) {
        if self.standings.get(entry) != Some(&standing) {
            log::info!("move of {entry}: {standing:?}");
            self.standings.insert(entry.clone(), standing);
        }
    }

    fn carry_out(&mut self, output: Output, view: &View) {
        let (table, sender) = (self.table.clone(), self.answers.0.clone());
        match output {
            Output::Read { number, read } => {
                tokio::spawn(async move {
                    _ = sender.send(Answer::Rows(number, table.read(&read).await.ok()));
                });
            }
            Output::Commit { number, commit } => {
                tokio::spawn(async move {
                    _ = sender.send(Answer::Committed(number, table.commit(&commit).await.ok()));
                });
            }
            Output::Tell(news) => self.tell(view, news),
            Output::Adopt { entry, version } if !mem::replace(&mut self.adopting, true) => {
                tokio::spawn(async move {
                    let store = Store::new(table);
                    _ = sender.send(Answer::Adopted(adopt(&store, &entry, version).await));
                });
            }
            Output::Adopt { .. } => {}
            Output::Started { id, result } => {
                if let Some(answer) = self.starts.remove(&id) {
                    _ = answer.send(result.map(|()| id));
                }
            }
        }
    }

    fn tell(&self, view: &View, news: PeerNews) {
        let nodes = view.nodes.iter().filter(|n| n.state != NodeState::Forgotten);
        let target = |n: &Node| {
            let address = n.location.as_ref()?.peer.clone();
            Some(Target { name: n.name.clone(), address })
        };
        let targets: Vec<Target> = nodes.filter_map(target).collect();
        if let Err(error) = self.net.send(&targets, &PeerMessage::Move(news)) {
            log::warn!("news of a move can't be sent: {error}");
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

/// Every node that may be giving requests to versions, also one that is silent: it may be cut off, and
/// while the table is down too nobody can know what it has decided.
fn peers(view: &View) -> Vec<Incarnation> {
    let known = view.nodes.iter().filter(|n| n.state != NodeState::Forgotten);
    known.map(|n| n.incarnation).collect()
}

/// Names the new version in the catalogue. A conflict with an operator's change is left to the next
/// try, which starts from that change.
async fn adopt<T: Table>(
    store: &Store<T>,
    entry: &str,
    version: CompactString,
) -> Option<CatalogueRevision> {
    let CatalogueRevision { revision, mut catalogue } = store.get().await.ok()?;
    let found = catalogue.entries.iter_mut().find(|e| e.name == entry)?;
    if found.version == version {
        return Some(CatalogueRevision { revision, catalogue });
    }
    let comment = format!("{entry}: {} to {version}", found.version);
    found.version = version;
    let change = Change {
        apply: format_compact!("{:032x}", rand::random::<u128>()),
        who: WHO.into(),
        when: Timestamp::now(),
        comment,
    };
    match store.apply(&catalogue, revision, &change).await.ok()? {
        Outcome::Applied(revision) => Some(CatalogueRevision { revision, catalogue }),
        Outcome::Conflict(_) => None,
    }
}
