//! Simulation of two failure domains of nodes, a store and the messages between them, in steps of
//! ten milliseconds.

use {
    bilberryfront_decide::member::{PeerMessage, message::TableId},
    bilberryfront_relay::{
        control::feed::Change,
        readers::Ranking,
        shards,
        store::{Revision, Row, Rows},
        table_sync::{Action, TableSync},
    },
    bytes::Bytes,
    compact_str::{CompactString, format_compact},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
    tokio::time::{Instant, advance},
};

/// Length of a step; longer than the delay of a message within a failure domain.
const STEP: Duration = Duration::from_millis(10);
/// Long-poll wait, and delay between two rejected polls.
pub(crate) const WAIT: Duration = Duration::from_secs(4);
pub(crate) const BACKOFF: Duration = Duration::from_millis(800);
/// Time without a response after which a poll fails, in addition to its wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time within which changes of the operators' table must be applied.
pub(crate) const APPLY_TIME: Duration = Duration::from_secs(2);
/// Nodes of the second domain.
const OTHERS: usize = 3;

pub(crate) struct Node {
    pub(crate) name: CompactString,
    pub(crate) domain: usize,
    pub(crate) sync: TableSync,
    /// Revisions and contents of the applied rows by table and key; removed rows are in `removed`, with
    /// their grace period.
    pub(crate) rows: BTreeMap<(TableId, CompactString), (Revision, Bytes)>,
    pub(crate) removed: Vec<(CompactString, Duration)>,
    pub(crate) dead: bool,
    /// Whether the store rejects this node.
    pub(crate) rejected: bool,
    /// Whether the store does not respond to this node.
    pub(crate) silent: bool,
    polls: [Poll; 3],
}

#[derive(Clone, Copy)]
struct Poll {
    active: bool,
    down: bool,
    due: Instant,
    revision: Option<Revision>,
    /// Whether the store does not respond to the pending poll.
    lost: bool,
}

#[derive(Default)]
pub(crate) struct Store {
    contents: Backup,
    /// Number of writes, including lost ones; makes each content unique.
    writes: u64,
    pub(crate) down: bool,
    pub(crate) calls: u32,
}

/// Contents of the store at some time; removed rows have no content.
#[derive(Clone, Default)]
pub(crate) struct Backup {
    revision: Revision,
    rows: BTreeMap<(TableId, CompactString), (Revision, Option<Bytes>)>,
    /// Revision of the latest change of each table.
    changed: [Revision; TableId::ALL.len()],
}

pub(crate) struct World {
    pub(crate) nodes: Vec<Node>,
    pub(crate) store: Store,
    messages: VecDeque<(CompactString, CompactString, PeerMessage)>,
    /// Nodes that receive no messages.
    pub(crate) unreachable: BTreeSet<CompactString>,
    pub(crate) sent: usize,
    /// Number of rows in the sent messages.
    pub(crate) sent_rows: usize,
}

impl World {
    /// Creates two domains whose nodes start now, and a store with `runners` registrations. The
    /// first domain has `size` nodes, the other one [`OTHERS`].
    pub(crate) fn new(size: usize, runners: usize) -> World {
        let now = Instant::now();
        let mut store = Store::default();
        for index in 0..runners {
            store.put(TableId::Runners, &format_compact!("r{index}"));
        }
        store.put(TableId::Operators, "config");
        let poll = Poll { active: false, down: false, due: now, revision: None, lost: false };
        let domain = |domain: usize, size: usize| {
            let names = (0..size).map(|i| format_compact!("node-{domain}-{i}"));
            let ranking = Ranking::new(names.clone());
            let node = move |(seed, name): (usize, CompactString)| {
                let service = |_: &str, _: &[u8]| Some("llm".into());
                let mut sync = TableSync::new(seed as u64, name.clone(), service, APPLY_TIME);
                sync.start(now);
                sync.set_ranking(ranking.clone());
                let (rows, removed) = (BTreeMap::new(), Vec::new());
                let (dead, rejected, silent, polls) = (false, false, false, [poll; 3]);
                Node { name, domain, sync, rows, removed, dead, rejected, silent, polls }
            };
            names.enumerate().map(node).collect::<Vec<_>>()
        };
        let nodes = domain(0, size).into_iter().chain(domain(1, OTHERS)).collect();
        World {
            nodes,
            store,
            messages: VecDeque::new(),
            unreachable: BTreeSet::new(),
            sent: 0,
            sent_rows: 0,
        }
    }

    /// Creates the same domains, after all nodes have received all rows.
    pub(crate) async fn settled(size: usize, runners: usize) -> World {
        let mut world = World::new(size, runners);
        world.run(Duration::from_secs(10)).await;
        assert!(world.nodes.iter().all(|n| n.rows.len() == runners + 1), "settled");
        world.store.calls = 0;
        world.sent = 0;
        world
    }

    /// Applies random faults and changes, each as a kind and an index, and ends all faults.
    pub(crate) async fn run_faults(&mut self, steps: &[(u8, u8)]) {
        let mut backup = self.store.back_up();
        for (action, index) in steps {
            let key = format_compact!("r{}", index % 8);
            let node = usize::from(*index) % self.nodes.len();
            match action % 10 {
                0 | 1 => _ = self.store.put(TableId::Runners, &key),
                2 => self.store.remove(TableId::Runners, &key),
                3 => _ = self.store.put(TableId::Operators, "config"),
                4 => backup = self.store.back_up(),
                5 | 6 => self.store.restore(&backup),
                7 => self.store.down = !self.store.down,
                8 => self.toggle_reachable(node),
                _ => self.nodes[node].rejected = !self.nodes[node].rejected,
            }
            self.run(Duration::from_millis(u64::from(*index) * 4)).await;
        }
        self.repair();
    }

    /// Makes a node unreachable, or reachable again.
    fn toggle_reachable(&mut self, index: usize) {
        let name = self.nodes[index].name.clone();
        if !self.unreachable.remove(&name) {
            self.unreachable.insert(name);
        }
    }

    /// Ends all faults.
    fn repair(&mut self) {
        self.store.down = false;
        self.unreachable.clear();
        self.nodes.iter_mut().for_each(|node| (node.rejected, node.silent) = (false, false));
    }

    /// Returns the indices of the first domain's readers by rank.
    pub(crate) fn readers(&self) -> Vec<usize> {
        self.readers_of(0)
    }

    fn readers_of(&self, domain: usize) -> Vec<usize> {
        let nodes = self.nodes.iter().filter(|n| n.domain == domain);
        let ranking = Ranking::new(nodes.map(|n| n.name.clone()));
        let index = |name: &CompactString| self.nodes.iter().position(|n| n.name == *name);
        ranking.readers().iter().filter_map(index).collect()
    }

    pub(crate) async fn run(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.step();
            advance(STEP).await;
        }
    }

    /// Runs until all live nodes satisfy a condition, and returns the elapsed time.
    pub(crate) async fn until(
        &mut self,
        what: &str,
        is_satisfied: impl Fn(&Node) -> bool,
    ) -> Duration {
        let start = Instant::now();
        while !self.nodes.iter().filter(|n| !n.dead).all(&is_satisfied) {
            assert!(start.elapsed() < Duration::from_secs(30), "{what}");
            self.step();
            advance(STEP).await;
        }
        start.elapsed()
    }

    fn step(&mut self) {
        let now = Instant::now();
        for (from, to, message) in std::mem::take(&mut self.messages) {
            let Some(index) = self.nodes.iter().position(|n| n.name == to && !n.dead) else {
                continue;
            };
            if !self.unreachable.contains(&to) {
                let mut out = Vec::new();
                self.nodes[index].sync.on_message(now, &from, message, &mut out);
                self.carry_out(index, out);
            }
        }
        for index in 0..self.nodes.len() {
            if self.nodes[index].dead {
                continue;
            }
            let mut out = Vec::new();
            self.nodes[index].sync.step(now, &mut out);
            for table in TableId::ALL {
                if let Some(change) = self.poll(now, index, table) {
                    for change in change {
                        self.nodes[index].sync.on_poll(now, table, change, &mut out);
                    }
                }
            }
            self.carry_out(index, out);
        }
    }

    /// Polls like a watcher: immediately when activated or when rows have changed, otherwise after
    /// the wait.
    fn poll(&mut self, now: Instant, index: usize, table: TableId) -> Option<Vec<Change>> {
        let node = &mut self.nodes[index];
        let poll = &mut node.polls[table as usize];
        let active = match table {
            TableId::Operators => node.sync.is_polling(),
            _ => node.sync.is_reading(),
        };
        if !active {
            poll.active = false;
            return None;
        }
        if !poll.active {
            let revision = node.sync.revision(table);
            *poll = Poll { active: true, down: false, due: now, revision, lost: false };
        }
        if node.silent && !poll.lost {
            poll.lost = true;
            poll.due = poll.due.max(now) + RESPONSE_TIMEOUT;
        }
        let is_failing = self.store.down || node.rejected || poll.lost;
        let changed = poll.revision.is_none_or(|known| self.store.has_changed(table, known));
        if now < poll.due && (poll.down || is_failing || !changed) {
            return None;
        }
        self.store.calls += 1;
        poll.lost = node.silent;
        if is_failing {
            poll.due = now + BACKOFF;
            return (!std::mem::replace(&mut poll.down, true)).then(|| vec![Change::Unavailable]);
        }
        if poll.revision.is_some_and(|known| !self.store.has_history(known)) {
            poll.revision = None;
            return None;
        }
        poll.due = now + WAIT;
        let mut changes = Vec::new();
        if std::mem::take(&mut poll.down) {
            changes.push(Change::Available);
        }
        let rows = self.store.rows(table, poll.revision);
        let whole = poll.revision.replace(rows.revision).is_none();
        changes.push(if whole { Change::Snapshot(rows) } else { Change::Rows(rows) });
        Some(changes)
    }

    /// Checks the operators' table for a node.
    fn check(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        self.store.calls += 1;
        let Some(known) = node.sync.revision(TableId::Operators) else { return };
        if self.store.down || node.rejected || node.silent {
            let mut out = Vec::new();
            node.sync.on_check_failed(&mut out);
            return self.carry_out(index, out);
        }
        let change = match self.store.has_history(known) {
            true => Change::Rows(self.store.rows(TableId::Operators, Some(known))),
            false => Change::Snapshot(self.store.rows(TableId::Operators, None)),
        };
        let mut out = Vec::new();
        node.sync.on_check(Instant::now(), change, &mut out);
        self.carry_out(index, out);
    }

    fn carry_out(&mut self, index: usize, actions: Vec<Action>) {
        let Node { name: from, domain, .. } = &self.nodes[index];
        let (from, domain) = (from.clone(), *domain);
        for action in actions {
            match action {
                Action::Exchange(message) => {
                    let first = self.readers_of(1 - domain)[0];
                    let to = self.nodes[first].name.clone();
                    self.sent += 1;
                    self.sent_rows += row_count(&message);
                    self.messages.push_back((from.clone(), to, message));
                }
                Action::Broadcast(message) => {
                    let others = self.nodes.iter().filter(|n| n.name != from && n.domain == domain);
                    let all: Vec<_> =
                        others.map(|n| (from.clone(), n.name.clone(), message.clone())).collect();
                    self.sent += all.len();
                    self.sent_rows += all.len() * row_count(&message);
                    self.messages.extend(all);
                }
                Action::Send(to, message) => {
                    self.sent += 1;
                    self.sent_rows += row_count(&message);
                    self.messages.push_back((from.clone(), to, message));
                }
                Action::SendToShard { shard, count, message } => {
                    let is_holder =
                        |name: &str| shards::is_same_shard(shards::shard(name), shard, count);
                    let others = self.nodes.iter().filter(|n| n.name != from && n.domain == domain);
                    let holders = others.filter(|n| is_holder(&n.name));
                    let all: Vec<_> =
                        holders.map(|n| (from.clone(), n.name.clone(), message.clone())).collect();
                    self.sent += all.len();
                    self.sent_rows += all.len() * row_count(&message);
                    self.messages.extend(all);
                }
                Action::Apply { table, rows, grace } => {
                    for row in rows {
                        self.nodes[index].apply(table, row, grace);
                    }
                }
                Action::Check => self.check(index),
                Action::RepeatPolls => {
                    let now = Instant::now();
                    self.nodes[index].polls.iter_mut().for_each(|poll| {
                        poll.due = if poll.lost { now + RESPONSE_TIMEOUT } else { now };
                    });
                }
                Action::Release { table, keys } => {
                    for key in keys {
                        self.nodes[index].rows.remove(&(table, key));
                    }
                }
            }
        }
    }
}

fn row_count(message: &PeerMessage) -> usize {
    match message {
        PeerMessage::Table(update) => update.rows.len(),
        _ => 0,
    }
}

impl Node {
    /// Returns the contents of the applied rows.
    pub(crate) fn contents(&self) -> BTreeMap<(TableId, CompactString), Bytes> {
        let contents = self.rows.iter();
        contents.map(|(key, (_, value))| (key.clone(), value.clone())).collect()
    }

    fn apply(&mut self, table: TableId, row: Row, grace: Duration) {
        let Row { key, value, revision } = row;
        let known = self.rows.get(&(table, key.clone())).map(|(known, _)| *known);
        let is_later = known.is_none_or(|known| revision > known);
        assert!(is_later, "revision of {key} decreased from {known:?} to {revision}");
        match value {
            Some(value) => _ = self.rows.insert((table, key), (revision, value)),
            None => {
                self.rows.remove(&(table, key.clone()));
                self.removed.push((key, grace));
            }
        }
    }

    pub(crate) fn has(&self, table: TableId, key: &str, revision: Revision) -> bool {
        self.rows.get(&(table, key.into())).is_some_and(|(known, _)| *known >= revision)
    }
}

impl Store {
    /// Writes a row and returns its revision.
    pub(crate) fn put(&mut self, table: TableId, key: &str) -> Revision {
        self.writes += 1;
        self.write(table, key, Some(self.writes.to_string().into()))
    }

    pub(crate) fn remove(&mut self, table: TableId, key: &str) {
        self.write(table, key, None);
    }

    /// Returns the contents of all rows.
    pub(crate) fn contents(&self) -> BTreeMap<(TableId, CompactString), Bytes> {
        let live =
            |((table, key), (_, value)): (&(TableId, CompactString), &(_, Option<Bytes>))| {
                Some(((*table, key.clone()), value.clone()?))
            };
        self.contents.rows.iter().filter_map(live).collect()
    }

    pub(crate) fn back_up(&self) -> Backup {
        self.contents.clone()
    }

    /// Replaces the contents by those of a backup, in a new era.
    pub(crate) fn restore(&mut self, backup: &Backup) {
        let era = self.contents.revision.era + 1;
        self.contents = backup.clone();
        self.contents.revision.era = era;
        self.contents.rows.values_mut().for_each(|(revision, _)| revision.era = era);
        self.contents.changed.iter_mut().for_each(|revision| revision.era = era);
    }

    fn write(&mut self, table: TableId, key: &str, value: Option<Bytes>) -> Revision {
        self.contents.revision.number += 1;
        let revision = self.contents.revision;
        self.contents.changed[table as usize] = revision;
        self.contents.rows.insert((table, key.into()), (revision, value));
        revision
    }

    fn has_history(&self, after: Revision) -> bool {
        after.era == self.contents.revision.era
    }

    fn has_changed(&self, table: TableId, after: Revision) -> bool {
        !self.has_history(after) || self.contents.changed[table as usize] > after
    }

    fn rows(&self, table: TableId, after: Option<Revision>) -> Rows {
        let row = |((t, key), (revision, value)): (
            &(TableId, CompactString),
            &(Revision, Option<Bytes>),
        )| {
            let wanted = *t == table && after.map_or(value.is_some(), |after| *revision > after);
            wanted.then(|| Row { key: key.clone(), value: value.clone(), revision: *revision })
        };
        let rows = self.contents.rows.iter().filter_map(row).collect();
        Rows { rows, revision: self.contents.revision }
    }
}
