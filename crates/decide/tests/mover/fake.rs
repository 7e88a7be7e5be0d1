//! Simulation of six movers with a fake table and a fake network, in virtual time.

use {
    bilberryfront_decide::{
        id::Incarnation,
        mover::{
            Millis, MoveId, MoveRow, MoveUpdate, Mover, Output, Split, Standing, Start, Weights,
        },
    },
    bilberryfront_wire::table::{Commit, Committed, Read, Row, Rows, Written},
    compact_str::CompactString,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

pub(crate) const ENTRY: &str = "verify-llm";
pub(crate) const NODES: usize = 6;
pub(crate) const WALL: Millis = 1_800_000_000_000;

/// Fake of the table service: rows with revisions.
#[derive(Default)]
pub(crate) struct FakeTable {
    pub(crate) rows: BTreeMap<CompactString, (u64, String)>,
    pub(crate) down: bool,
    /// Whether every second read returns the rows as they were before their last write.
    pub(crate) stale: bool,
    previous: BTreeMap<CompactString, (u64, String)>,
    reads: u64,
}

impl FakeTable {
    pub(crate) fn read(&mut self, read: &Read) -> Option<Rows> {
        self.reads += 1;
        let stale = self.stale && self.reads.is_multiple_of(2);
        let rows = if stale { &self.previous } else { &self.rows };
        let find = |key: &CompactString| {
            let (revision, value) = rows.get(key)?;
            Some(Row { key: key.clone(), revision: *revision, value: value.clone() })
        };
        (!self.down).then(|| Rows { rows: read.keys.iter().filter_map(find).collect() })
    }

    pub(crate) fn commit(&mut self, commit: &Commit) -> Option<Committed> {
        if self.down {
            return None;
        }
        let revision = |key| self.rows.get(key).map_or(0, |(r, _)| *r);
        let before: Vec<u64> = commit.writes.iter().map(|w| revision(&w.key)).collect();
        let pairs = || commit.writes.iter().zip(&before);
        if pairs().any(|(w, r)| w.expect.is_some_and(|e| e != *r)) {
            let results = pairs().map(|(w, r)| match w.expect == Some(*r) {
                true => Written::Aborted,
                false => Written::Conflict(*r),
            });
            return Some(Committed { results: results.collect() });
        }
        let results = pairs().map(|(_, r)| Written::Done(r + 1)).collect();
        for (write, before) in commit.writes.iter().zip(before) {
            let value = write.value.clone().expect("rows are never deleted");
            let old = self.rows.insert(write.key.clone(), (before + 1, value));
            old.into_iter().for_each(|o| _ = self.previous.insert(write.key.clone(), o));
        }
        Some(Committed { results })
    }

    pub(crate) fn row(&self) -> Option<(u64, MoveRow)> {
        let (revision, value) = self.rows.get(&CompactString::from(format!("move/{ENTRY}")))?;
        Some((*revision, MoveRow::parse(value).expect("written by a mover")))
    }
}

/// A message in transit.
enum Packet {
    Read(u64, Read),
    Commit(u64, Commit),
    Rows(u64, Rows),
    Committed(u64, Commit, Committed),
    Update(MoveUpdate),
}

struct Delivery {
    at: Instant,
    node: usize,
    incarnation: Incarnation,
    packet: Packet,
}

/// An event that is reported to the test.
pub(crate) enum Observation<'a> {
    /// A node's commit changed the move's row; `holder` held the lease before.
    Change {
        incarnation: Incarnation,
        before: Option<&'a (u64, MoveRow)>,
        after: &'a (u64, MoveRow),
        holder: Option<Incarnation>,
    },
    /// The node received the row.
    Row { node: usize, row: &'a MoveRow },
    /// The node received a peer's message.
    Update { node: usize, update: &'a MoveUpdate },
}

pub(crate) struct World {
    pub(crate) epoch: Instant,
    pub(crate) now: Instant,
    pub(crate) step: Duration,
    pub(crate) table: FakeTable,
    pub(crate) movers: Vec<Mover>,
    pub(crate) incarnations: Vec<Incarnation>,
    /// Time until which each node is paused.
    pub(crate) paused_until: Vec<Instant>,
    /// Time until which each node is disconnected from the table and its peers.
    pub(crate) partitioned_until: Vec<Instant>,
    /// Fraction of the table's responses that are lost, after the request took effect.
    pub(crate) response_loss: f64,
    /// A node whose commits arrive at this time at the earliest.
    pub(crate) delayed_commits: Option<(usize, Instant)>,
    /// Maximum time in transit.
    pub(crate) max_delay: Duration,
    pub(crate) catalog: CompactString,
    pub(crate) started: Vec<(MoveId, bool)>,
    in_flight: Vec<Delivery>,
    rng: SmallRng,
}

impl World {
    pub(crate) fn new(seed: u64, step: Duration) -> World {
        let now = Instant::now();
        let incarnations: Vec<Incarnation> =
            (0..NODES as u64).map(|n| Incarnation(n + 1)).collect();
        let mut world = World {
            epoch: now,
            now,
            step,
            table: FakeTable::default(),
            movers: Vec::new(),
            paused_until: vec![now; NODES],
            partitioned_until: vec![now; NODES],
            response_loss: 0.0,
            delayed_commits: None,
            max_delay: Duration::from_millis(50),
            catalog: "v1".into(),
            started: Vec::new(),
            in_flight: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            incarnations,
        };
        for node in 0..NODES {
            let mover = world.mover(world.incarnations[node], seed);
            world.movers.push(mover);
        }
        world
    }

    fn mover(&self, me: Incarnation, seed: u64) -> Mover {
        let wall = WALL + (self.now - self.epoch).as_millis() as Millis;
        let mut mover = Mover::new(me, seed ^ (me.0 << 32), self.now, wall);
        mover.set_peers(&self.incarnations);
        mover.set_version(self.now, ENTRY, &self.catalog);
        mover
    }

    /// Returns the milliseconds since the start.
    pub(crate) fn elapsed_ms(&self) -> Millis {
        (self.now - self.epoch).as_millis() as Millis
    }

    /// Returns a request to start a move to `to` with `time` until its deadline.
    pub(crate) fn start_request(
        &self,
        to: &str,
        time: Duration,
        weights: Weights,
        force: bool,
    ) -> Start {
        let by = WALL + self.elapsed_ms() + time.as_millis() as Millis;
        Start { entry: ENTRY.into(), to: to.into(), by, weights, force }
    }

    pub(crate) fn split(&self, node: usize) -> Option<Split> {
        self.movers[node].split(self.now, ENTRY)
    }

    /// Returns the new version's current share at a node.
    pub(crate) fn share(&self, node: usize) -> u16 {
        self.split(node).map_or(0, |s| s.share(self.now).0)
    }

    /// Returns the move's progress according to the table.
    pub(crate) fn standing(&self) -> Option<Standing> {
        self.table.row().map(|(_, row)| row.standing)
    }

    /// Replaces a node by a new incarnation without state.
    pub(crate) fn restart(&mut self, node: usize) {
        self.incarnations[node] = Incarnation(self.incarnations[node].0 + 100);
        self.movers[node] = self.mover(self.incarnations[node], self.incarnations[node].0);
        self.paused_until[node] = self.now;
        self.movers.iter_mut().for_each(|m| m.set_peers(&self.incarnations));
    }

    /// Advances the time by one step.
    pub(crate) fn tick(&mut self, observe: &mut impl FnMut(Observation<'_>)) {
        self.now += self.step;
        let now = self.now;
        let is_due = |d: &Delivery, paused_until: &[Instant]| {
            let is_request = matches!(d.packet, Packet::Read(..) | Packet::Commit(..));
            d.at <= now && (is_request || paused_until[d.node] <= now)
        };
        let (due, rest) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|d| is_due(d, &self.paused_until));
        self.in_flight = rest;
        let due: Vec<Delivery> = due;
        due.into_iter().for_each(|d| self.deliver(d, observe));
        for node in (0..NODES).filter(|n| self.paused_until[*n] <= now).collect::<Vec<_>>() {
            let mut out = Vec::new();
            self.movers[node].tick(now, &mut out);
            out.into_iter().for_each(|o| self.send(node, o));
        }
    }

    fn enqueue(&mut self, node: usize, incarnation: Incarnation, packet: Packet) {
        let delay = self.rng.random_range(0..=self.max_delay.as_millis() as u64);
        let mut at = self.now + Duration::from_millis(delay);
        if let (Some((delayed, until)), Packet::Commit(..)) = (self.delayed_commits, &packet)
            && delayed == node
        {
            at = at.max(until);
        }
        self.in_flight.push(Delivery { at, node, incarnation, packet });
    }

    fn send(&mut self, node: usize, output: Output) {
        let is_cut_off = |n: usize| self.partitioned_until[n] > self.now;
        let incarnation = self.incarnations[node];
        match output {
            Output::Started { id, result } => self.started.push((id, result.is_ok())),
            Output::Adopt { version, .. } => {
                self.catalog = version;
                let movers = self.movers.iter_mut();
                movers.for_each(|m| m.set_version(self.now, ENTRY, &self.catalog));
            }
            _ if is_cut_off(node) => {}
            Output::Read { number, read } => {
                self.enqueue(node, incarnation, Packet::Read(number, read));
            }
            Output::Commit { number, commit } => {
                self.enqueue(node, incarnation, Packet::Commit(number, commit));
            }
            Output::Broadcast(update) => {
                let peers: Vec<usize> =
                    (0..NODES).filter(|n| *n != node && !is_cut_off(*n)).collect();
                for peer in peers {
                    self.enqueue(peer, self.incarnations[peer], Packet::Update(update.clone()));
                }
            }
        }
    }

    fn deliver(
        &mut self,
        Delivery { node, incarnation, packet, .. }: Delivery,
        observe: &mut impl FnMut(Observation<'_>),
    ) {
        let response_is_lost =
            self.rng.random_bool(self.response_loss) || self.partitioned_until[node] > self.now;
        let is_replaced = self.incarnations[node] != incarnation;
        match packet {
            Packet::Read(number, read) => {
                if let (Some(rows), false) = (self.table.read(&read), response_is_lost) {
                    self.enqueue(node, incarnation, Packet::Rows(number, rows));
                }
            }
            Packet::Commit(number, commit) => {
                let before = self.table.row();
                let holder = self.holder();
                let answer = self.table.commit(&commit);
                if let Some(after) =
                    self.table.row().filter(|a| Some(a.0) != before.as_ref().map(|b| b.0))
                {
                    observe(Observation::Change {
                        incarnation,
                        before: before.as_ref(),
                        after: &after,
                        holder,
                    });
                }
                if let (Some(answer), false) = (answer, response_is_lost) {
                    self.enqueue(node, incarnation, Packet::Committed(number, commit, answer));
                }
            }
            _ if is_replaced => {}
            Packet::Rows(number, rows) => {
                for read in rows.rows.iter().filter(|r| r.key.starts_with("move/")) {
                    let row = MoveRow::parse(&read.value).expect("written by a mover");
                    observe(Observation::Row { node, row: &row });
                }
                self.movers[node].rows(self.now, number, Some(&rows));
            }
            Packet::Committed(number, commit, answer) => {
                for (write, done) in commit.writes.iter().zip(&answer.results) {
                    if let (true, Written::Done(_)) = (write.key.starts_with("move/"), done) {
                        let value = write.value.as_ref().expect("rows are never deleted");
                        let row = MoveRow::parse(value).expect("written by a mover");
                        observe(Observation::Row { node, row: &row });
                    }
                }
                self.movers[node].committed(self.now, number, Some(&answer));
            }
            Packet::Update(update) => {
                observe(Observation::Update { node, update: &update });
                self.movers[node].receive(self.now, &update);
            }
        }
    }

    fn holder(&self) -> Option<Incarnation> {
        let (_, value) = self.table.rows.get(&CompactString::from(format!("lease/{ENTRY}")))?;
        let row: bilberryfront_decide::mover::lease::LeaseRow =
            serde_json::from_str(value).expect("written by a mover");
        Some(row.holder)
    }
}
