//! Differential test of six movers under random faults against a log of everything that was decided
//! and received.

use {
    crate::fake::{ENTRY, NODES, Observation, World},
    bilberryfront_decide::{
        id::Incarnation,
        mover::{MoveId, MoveRow, Share, Standing, Weights},
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

#[derive(Clone, Copy, Debug)]
enum Op {
    Run(u8),
    Pause(usize, u8),
    Partition(usize, u8),
    TableDown(u8),
    LoseResponses(u8),
    MaxDelay(u8),
    StaleReads(bool),
    Start(usize),
    Undo(usize),
    Restart(usize),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Op {
        let (node, span) = (usize::arbitrary(g) % NODES, u8::arbitrary(g) % 20 + 1);
        match u8::arbitrary(g) % 17 {
            0..5 => Op::Run(span),
            5 => Op::Pause(node, span),
            6 => Op::Partition(node, span),
            7 => Op::TableDown(span),
            8 => Op::LoseResponses(span),
            9 => Op::MaxDelay(span),
            10..14 => Op::Start(node),
            14 => Op::Undo(node),
            15 => Op::StaleReads(bool::arbitrary(g)),
            _ => Op::Restart(node),
        }
    }
}

/// Reference model: every row that was written, and what each node has received.
#[derive(Default)]
struct Log {
    /// Revisions from which the share was raised.
    raised: BTreeSet<u64>,
    /// Revisions and rows.
    rows: Vec<(u64, MoveRow)>,
    /// Moves with a verdict that the node has received.
    knows_verdict: [BTreeSet<MoveId>; NODES],
    /// Highest share that the node has read, by move.
    max_read_share: [BTreeMap<MoveId, Share>; NODES],
}

impl Log {
    fn record(&mut self, observation: &Observation<'_>) {
        match observation {
            Observation::Change { incarnation, before, after, holder } => {
                self.change(*incarnation, *before, after, *holder);
            }
            Observation::Row { node, row } => {
                if row.standing.verdict().is_some() {
                    self.knows_verdict[*node].insert(row.moved.id);
                }
                let max = self.max_read_share[*node].entry(row.moved.id).or_default();
                *max = row.share().max(*max);
            }
            Observation::Update { node, update } => {
                if update.verdict.is_some() {
                    self.knows_verdict[*node].insert(update.id);
                }
            }
        }
    }

    fn change(
        &mut self,
        incarnation: Incarnation,
        before: Option<&(u64, MoveRow)>,
        after: &(u64, MoveRow),
        holder: Option<Incarnation>,
    ) {
        self.rows.push(after.clone());
        let (revision, row) = after;
        let Some((_, old)) = before else { return };
        if old.moved.id != row.moved.id {
            assert!(old.standing.is_final(), "a move replaced one in progress");
            return;
        }
        assert!(row.standing > old.standing, "{:?} after {:?}", row.standing, old.standing);
        if row.standing.verdict().is_some() {
            return;
        }
        assert_eq!(holder, Some(incarnation), "raised without the lease");
        assert!(self.raised.insert(*revision), "two raises from one revision");
        if let (Standing::Moving(from), Standing::Moving(to)) = (&old.standing, &row.standing) {
            assert_eq!(*to, *from + 1, "a step was skipped");
        }
    }

    /// Returns the highest share that a node may apply for a move.
    fn share(&self, node: usize, id: MoveId) -> Share {
        let rows = self.rows.iter().filter(|(_, r)| r.moved.id == id);
        let max_written = rows.map(|(_, r)| r.share()).max().unwrap_or_default();
        let max_read = self.max_read_share[node].get(&id).copied().unwrap_or_default();
        if self.knows_verdict[node].contains(&id) { Share::NONE } else { max_read.min(max_written) }
    }
}

struct Run {
    world: World,
    log: Log,
    down: u32,
    losing: u32,
}

impl Run {
    fn run_ticks(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.down = self.down.saturating_sub(1);
            self.losing = self.losing.saturating_sub(1);
            self.world.table.down = self.down > 0;
            self.world.response_loss = if self.losing > 0 { 0.7 } else { 0.0 };
            let log = &mut self.log;
            self.world.tick(&mut |observation| log.record(&observation));
            (0..NODES).for_each(|n| self.check(n));
        }
    }

    /// Checks that no node applies a higher share than the log permits, or any share of a move that
    /// it has rolled back.
    fn check(&mut self, node: usize) {
        let mover = &self.world.movers[node];
        if let Some(status) = mover.status(self.world.now, ENTRY)
            && status.standing.verdict().is_some()
        {
            self.log.knows_verdict[node].insert(status.moved.id);
        }
        if let Some(split) = self.world.split(node) {
            let allowed = self.log.share(node, split.id);
            // A lower share is valid: responses that arrive after 2 s don't raise it.
            assert!(
                split.share <= allowed,
                "node {node} applies {:?}; the maximum is {allowed:?}",
                split.share
            );
        }
    }

    fn apply(&mut self, op: Op) {
        let secs = |s: u8| Duration::from_secs(u64::from(s));
        let world = &mut self.world;
        match op {
            Op::Run(s) => self.run_ticks(u32::from(s) * 10),
            Op::Pause(node, s) => world.paused_until[node] = world.now + secs(s),
            Op::Partition(node, s) => world.partitioned_until[node] = world.now + secs(s),
            Op::TableDown(s) => self.down = u32::from(s) * 10,
            Op::LoseResponses(s) => self.losing = u32::from(s) * 10,
            Op::MaxDelay(s) => world.max_delay = Duration::from_millis(u64::from(s) * 200),
            Op::StaleReads(stale) => world.table.stale = stale,
            Op::Start(node) => {
                let to = if world.catalog == "v1" { "v2" } else { "v1" };
                let start =
                    world.start_request(to, Duration::from_secs(95), Weights::default(), true);
                _ = world.movers[node].start(world.now, &start);
            }
            Op::Undo(node) => {
                if let Ok(id) = world.movers[node].undo(world.now, ENTRY) {
                    self.log.knows_verdict[node].insert(id);
                }
            }
            Op::Restart(node) => {
                world.restart(node);
                self.log.knows_verdict[node].clear();
                self.log.max_read_share[node].clear();
            }
        }
    }

    /// Ends all faults and lets the last deadline pass. The table must then hold a verdict if any
    /// running node had one, and all nodes must agree with it.
    fn settle(&mut self) {
        (self.down, self.losing) = (0, 0);
        self.world.max_delay = Duration::from_millis(100);
        self.world.table.stale = false;
        self.run_ticks(1_400);
        let Some((_, row)) = self.world.table.row() else { return };
        let has_verdict = self.log.knows_verdict.iter().any(|k| k.contains(&row.moved.id));
        assert_eq!(row.standing.verdict().is_some(), has_verdict, "a verdict isn't in the table");
        for mover in &self.world.movers {
            let status = mover.status(self.world.now, ENTRY).expect("a row was read");
            assert_eq!(status.moved.id, row.moved.id);
            // If there are several verdicts, nodes may know a higher one than the first written.
            let both = status.standing.verdict().is_some() && row.standing.verdict().is_some();
            assert!(both || status.standing == row.standing, "{:?}", status.standing);
        }
    }
}

fn run(seed: u64, ops: Vec<Op>) -> [usize; 3] {
    let world = World::new(seed, Duration::from_millis(100));
    let mut run = Run { world, log: Log::default(), down: 0, losing: 0 };
    run.run_ticks(10);
    ops.into_iter().for_each(|o| run.apply(o));
    run.settle();
    let taken = run.log.rows.iter().filter(|(_, r)| r.standing.verdict().is_some());
    let settled = run.log.rows.iter().filter(|(_, r)| r.standing == Standing::Settled);
    [run.log.raised.len(), taken.count(), settled.count()]
}

#[test]
fn movers_never_exceed_the_share_permitted_by_the_log() {
    fn property(seed: u64, ops: Vec<Op>) -> bool {
        run(seed, ops);
        true
    }
    let generator = Gen::from_size_and_seed(60, 11);
    QuickCheck::new().rng(generator).tests(100).quickcheck(property as fn(u64, Vec<Op>) -> bool);
}

/// Guards against a differential test in which moves make no progress.
#[test]
fn random_runs_raise_settle_and_roll_back() {
    let mut generator = Gen::from_size_and_seed(60, 12);
    let sums = (0..40).map(|seed| run(seed, Vec::arbitrary(&mut generator)));
    let sums = sums.fold([0; 3], |a, b| std::array::from_fn(|i| a[i] + b[i]));
    assert!(sums[0] >= 40 && sums[1] >= 10 && sums[2] >= 5, "{sums:?}");
}
