//! Six movers, a fake table and a fake net between them, stepped without a clock.

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

/// The table service: rows with revisions.
#[derive(Default)]
pub(crate) struct FakeTable {
    pub(crate) rows: BTreeMap<CompactString, (u64, String)>,
    pub(crate) down: bool,
    /// Whether every second read answers with each row's value before the last write.
    pub(crate) stale: bool,
    before: BTreeMap<CompactString, (u64, String)>,
    reads: u64,
}

impl FakeTable {
    pub(crate) fn read(&mut self, read: &Read) -> Option<Rows> {
        self.reads += 1;
        let stale = self.stale && self.reads.is_multiple_of(2);
        let rows = if stale { &self.before } else { &self.rows };
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
            old.into_iter().for_each(|o| _ = self.before.insert(write.key.clone(), o));
        }
        Some(Committed { results })
    }

    pub(crate) fn row(&self) -> Option<(u64, MoveRow)> {
        let (revision, value) = self.rows.get(&CompactString::from(format!("move/{ENTRY}")))?;
        Some((*revision, MoveRow::parse(value).expect("written by a mover")))
    }
}

/// Something on its way.
enum Packet {
    Read(u64, Read),
    Commit(u64, Commit),
    Rows(u64, Rows),
    Committed(u64, Commit, Committed),
    News(MoveUpdate),
}

struct Flight {
    at: Instant,
    node: usize,
    life: Incarnation,
    packet: Packet,
}

/// What a test wants to see as it happens.
pub(crate) enum Seen<'a> {
    /// A node's commit changed the row of the move; `holder` had the lease before.
    Change {
        life: Incarnation,
        before: Option<&'a (u64, MoveRow)>,
        after: &'a (u64, MoveRow),
        holder: Option<Incarnation>,
    },
    /// The node got the row.
    Row { node: usize, row: &'a MoveRow },
    /// The node got a peer's news.
    News { node: usize, news: &'a MoveUpdate },
}

pub(crate) struct World {
    pub(crate) zero: Instant,
    pub(crate) now: Instant,
    pub(crate) step: Duration,
    pub(crate) table: FakeTable,
    pub(crate) movers: Vec<Mover>,
    pub(crate) lives: Vec<Incarnation>,
    /// Until when a node stands still.
    pub(crate) paused: Vec<Instant>,
    /// Until when a node reaches neither table nor peers.
    pub(crate) cut: Vec<Instant>,
    /// Part of the table's answers that is lost after the effect.
    pub(crate) loss: f64,
    /// A node whose commits arrive only at this time.
    pub(crate) held: Option<(usize, Instant)>,
    /// Longest time on the way.
    pub(crate) delay: Duration,
    pub(crate) catalog: CompactString,
    pub(crate) started: Vec<(MoveId, bool)>,
    flights: Vec<Flight>,
    rng: SmallRng,
}

impl World {
    pub(crate) fn new(seed: u64, step: Duration) -> World {
        let now = Instant::now();
        let lives: Vec<Incarnation> = (0..NODES as u64).map(|n| Incarnation(n + 1)).collect();
        let mut world = World {
            zero: now,
            now,
            step,
            table: FakeTable::default(),
            movers: Vec::new(),
            paused: vec![now; NODES],
            cut: vec![now; NODES],
            loss: 0.0,
            held: None,
            delay: Duration::from_millis(50),
            catalog: "v1".into(),
            started: Vec::new(),
            flights: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            lives,
        };
        for node in 0..NODES {
            let mover = world.mover(world.lives[node], seed);
            world.movers.push(mover);
        }
        world
    }

    fn mover(&self, me: Incarnation, seed: u64) -> Mover {
        let wall = WALL + (self.now - self.zero).as_millis() as Millis;
        let mut mover = Mover::new(me, seed ^ (me.0 << 32), self.now, wall);
        mover.set_peers(&self.lives);
        mover.set_version(self.now, ENTRY, &self.catalog);
        mover
    }

    /// Milliseconds since the start.
    pub(crate) fn since(&self) -> Millis {
        (self.now - self.zero).as_millis() as Millis
    }

    /// A start of a move to `to` that has `time` left.
    pub(crate) fn wish(&self, to: &str, time: Duration, weights: Weights, force: bool) -> Start {
        let by = WALL + self.since() + time.as_millis() as Millis;
        Start { entry: ENTRY.into(), to: to.into(), by, weights, force }
    }

    pub(crate) fn split(&self, node: usize) -> Option<Split> {
        self.movers[node].split(self.now, ENTRY)
    }

    /// The share that a node gives the new version now.
    pub(crate) fn share(&self, node: usize) -> u16 {
        self.split(node).map_or(0, |s| s.share(self.now).0)
    }

    /// How the table has the move.
    pub(crate) fn standing(&self) -> Option<Standing> {
        self.table.row().map(|(_, row)| row.standing)
    }

    /// Replaces a node: a new life that knows nothing.
    pub(crate) fn restart(&mut self, node: usize) {
        self.lives[node] = Incarnation(self.lives[node].0 + 100);
        self.movers[node] = self.mover(self.lives[node], self.lives[node].0);
        self.paused[node] = self.now;
        self.movers.iter_mut().for_each(|m| m.set_peers(&self.lives));
    }

    /// Goes on by one step.
    pub(crate) fn tick(&mut self, seen: &mut impl FnMut(Seen<'_>)) {
        self.now += self.step;
        let now = self.now;
        let ready = |f: &Flight, paused: &[Instant]| {
            let asks = matches!(f.packet, Packet::Read(..) | Packet::Commit(..));
            f.at <= now && (asks || paused[f.node] <= now)
        };
        let (due, rest) =
            std::mem::take(&mut self.flights).into_iter().partition(|f| ready(f, &self.paused));
        self.flights = rest;
        let due: Vec<Flight> = due;
        due.into_iter().for_each(|f| self.arrive(f, seen));
        for node in (0..NODES).filter(|n| self.paused[*n] <= now).collect::<Vec<_>>() {
            let mut out = Vec::new();
            self.movers[node].tick(now, &mut out);
            out.into_iter().for_each(|o| self.send(node, o));
        }
    }

    fn fly(&mut self, node: usize, life: Incarnation, packet: Packet) {
        let delay = self.rng.random_range(0..=self.delay.as_millis() as u64);
        let mut at = self.now + Duration::from_millis(delay);
        if let (Some((held, until)), Packet::Commit(..)) = (self.held, &packet)
            && held == node
        {
            at = at.max(until);
        }
        self.flights.push(Flight { at, node, life, packet });
    }

    fn send(&mut self, node: usize, output: Output) {
        let cut = |n: usize| self.cut[n] > self.now;
        let life = self.lives[node];
        match output {
            Output::Started { id, result } => self.started.push((id, result.is_ok())),
            Output::Adopt { version, .. } => {
                self.catalog = version;
                let movers = self.movers.iter_mut();
                movers.for_each(|m| m.set_version(self.now, ENTRY, &self.catalog));
            }
            _ if cut(node) => {}
            Output::Read { number, read } => self.fly(node, life, Packet::Read(number, read)),
            Output::Commit { number, commit } => {
                self.fly(node, life, Packet::Commit(number, commit));
            }
            Output::Broadcast(news) => {
                let peers: Vec<usize> = (0..NODES).filter(|n| *n != node && !cut(*n)).collect();
                for peer in peers {
                    self.fly(peer, self.lives[peer], Packet::News(news.clone()));
                }
            }
        }
    }

    fn arrive(
        &mut self,
        Flight { node, life, packet, .. }: Flight,
        seen: &mut impl FnMut(Seen<'_>),
    ) {
        let lost = self.rng.random_bool(self.loss) || self.cut[node] > self.now;
        let gone = self.lives[node] != life;
        match packet {
            Packet::Read(number, read) => {
                if let (Some(rows), false) = (self.table.read(&read), lost) {
                    self.fly(node, life, Packet::Rows(number, rows));
                }
            }
            Packet::Commit(number, commit) => {
                let before = self.table.row();
                let holder = self.holder();
                let answer = self.table.commit(&commit);
                if let Some(after) =
                    self.table.row().filter(|a| Some(a.0) != before.as_ref().map(|b| b.0))
                {
                    seen(Seen::Change { life, before: before.as_ref(), after: &after, holder });
                }
                if let (Some(answer), false) = (answer, lost) {
                    self.fly(node, life, Packet::Committed(number, commit, answer));
                }
            }
            _ if gone => {}
            Packet::Rows(number, rows) => {
                for found in rows.rows.iter().filter(|r| r.key.starts_with("move/")) {
                    let row = MoveRow::parse(&found.value).expect("written by a mover");
                    seen(Seen::Row { node, row: &row });
                }
                self.movers[node].rows(self.now, number, Some(&rows));
            }
            Packet::Committed(number, commit, answer) => {
                for (write, done) in commit.writes.iter().zip(&answer.results) {
                    if let (true, Written::Done(_)) = (write.key.starts_with("move/"), done) {
                        let value = write.value.as_ref().expect("rows are never deleted");
                        let row = MoveRow::parse(value).expect("written by a mover");
                        seen(Seen::Row { node, row: &row });
                    }
                }
                self.movers[node].committed(self.now, number, Some(&answer));
            }
            Packet::News(news) => {
                seen(Seen::News { node, news: &news });
                self.movers[node].receive(self.now, &news);
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
