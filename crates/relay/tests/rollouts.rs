//! Version moves: several nodes, a store and two versions, on a paused clock.

use {
    bilberryfront_decide::{
        id::Incarnation,
        mover::{Cause, MoveId, MoveUpdate, Verdict},
    },
    bilberryfront_relay::{
        rollouts::{
            Action, Phase, RolloutOrder, RolloutSample, RolloutStatus, Rollouts,
            exposure::{Bound, Exposure},
        },
        view::{Rule, Split},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::{Instant, advance},
};

const BOUND: Bound = Bound { share: 0.1, slack: 50.0 };
const STEP: Duration = Duration::from_millis(50);
const TIME: Duration = Duration::from_secs(12);
/// Requests a second at each node.
const RATE: f64 = 5.0;

/// One node: its moves, and what its traffic has given.
struct Node {
    rollouts: Rollouts,
    given: Exposure,
    /// Neither the store nor peers are reached.
    cut: bool,
    dead: bool,
}

/// How often requests fail.
#[derive(Clone, Copy)]
struct Failing {
    old: f64,
    new: f64,
    /// The new version's failures are on this route only.
    route: Option<&'static str>,
    /// When the new version turns bad.
    from: Duration,
}

const GOOD: Failing = Failing { old: 0.02, new: 0.02, route: None, from: Duration::ZERO };
const BAD: Failing = Failing { new: 0.6, ..GOOD };

struct World {
    nodes: Vec<Node>,
    rng: SmallRng,
    start: Instant,
    failing: Failing,
    store: Option<(u64, RolloutStatus)>,
    revision: u64,
    store_down: bool,
    finals: u32,
    news: Vec<(usize, MoveUpdate)>,
    /// Requests after the order, and those of the new version.
    all: u32,
    new: u32,
}

fn order() -> RolloutOrder {
    RolloutOrder { service: "llm".into(), to: "v2".into(), time: TIME }
}

impl World {
    fn new(seed: u64, failing: Failing) -> World {
        let now = Instant::now();
        let node = |i: u64| {
            let mut rollouts = Rollouts::new(Incarnation(i + 1));
            rollouts.apply_order(now, 10, order());
            Node { rollouts, given: Exposure::default(), cut: false, dead: false }
        };
        World {
            nodes: (0..6).map(node).collect(),
            rng: SmallRng::seed_from_u64(seed),
            start: now,
            failing,
            store: None,
            revision: 10,
            store_down: false,
            finals: 0,
            news: Vec::new(),
            all: 0,
            new: 0,
        }
    }

    async fn run(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.step();
            advance(STEP).await;
        }
    }

    fn step(&mut self) {
        let now = Instant::now();
        let count = self.nodes.len();
        for (from, news) in std::mem::take(&mut self.news) {
            let others = self.nodes.iter_mut().enumerate().filter(|(i, n)| *i != from && !n.cut);
            others.for_each(|(_, node)| node.rollouts.handle_peer_update(now, &news));
        }
        for i in 0..count {
            if self.nodes[i].dead {
                continue;
            }
            self.traffic(i, now);
            self.nodes[i].rollouts.set_ready_runners("llm", 4);
            for action in self.nodes[i].rollouts.tick(now, i, count) {
                match action {
                    Action::Broadcast(news) if !self.nodes[i].cut => self.news.push((i, news)),
                    Action::Write { status, expected } if !self.nodes[i].cut => {
                        self.write(&status, expected);
                    }
                    _ => {}
                }
            }
        }
    }

    fn write(&mut self, record: &RolloutStatus, expected: u64) {
        let held = self.store.as_ref().map_or(0, |(revision, _)| *revision);
        if self.store_down || held != expected {
            return;
        }
        self.finals += u32::from(record.phase != Phase::Canary);
        self.revision += 1;
        self.store = Some((self.revision, record.clone()));
        let reached = self.nodes.iter_mut().filter(|n| !n.cut && !n.dead);
        reached.for_each(|node| node.rollouts.apply_status(self.revision, record.clone()));
    }

    fn traffic(&mut self, i: usize, now: Instant) {
        if !self.rng.random_bool(RATE * STEP.as_secs_f64()) {
            return;
        }
        let split = self.split(i);
        let choice = self.nodes[i].given.choose(&split, &BOUND, 6, self.rng.random());
        if split.rule != Rule::OnlyNew {
            self.all += 1;
            self.new += u32::from(choice.new);
        }
        let route = if self.rng.random_bool(0.5) { "check" } else { "report" };
        let bad = now >= self.start + self.failing.from
            && self.failing.route.is_none_or(|only| only == route);
        let fails = if choice.new && bad { self.failing.new } else { self.failing.old };
        let trial = RolloutSample {
            service: "llm".into(),
            route: route.into(),
            choice,
            ok: !self.rng.random_bool(fails),
            first: Some(Duration::from_millis(self.rng.random_range(900..1_400))),
            pace: None,
            runner: self.rng.random_range(0..4),
        };
        self.nodes[i].rollouts.observe(&trial);
    }

    fn split(&self, i: usize) -> Split {
        self.nodes[i].rollouts.splits()["llm"].clone()
    }

    fn rules(&self) -> Vec<Rule> {
        (0..self.nodes.len()).filter(|i| !self.nodes[*i].dead).map(|i| self.split(i).rule).collect()
    }

    fn phase(&self) -> Option<Phase> {
        self.store.as_ref().map(|(_, record)| record.phase)
    }

    fn within_bound(&self) -> bool {
        f64::from(self.new) <= BOUND.share * f64::from(self.all) + BOUND.slack
    }
}

/// A good version: nodes gather evidence on a bounded part of the requests and complete the move before
/// its deadline. One final record is written, and from then on every node gives it all.
#[tokio::test(start_paused = true)]
async fn a_good_version_is_completed_in_time() {
    for seed in 0..20 {
        let mut world = World::new(seed, GOOD);
        world.run(TIME).await;
        assert_eq!((world.phase(), world.finals), (Some(Phase::Completed), 1), "seed {seed}");
        assert!(world.rules().iter().all(|r| *r == Rule::OnlyNew));
        assert!(world.within_bound(), "{} of {}", world.new, world.all);
    }
}

/// A version that fails from the start, later, or on one route only is taken back: nodes stop at once
/// when one of them sees it, and callers never meet more of it than the bound.
#[tokio::test(start_paused = true)]
async fn a_bad_version_is_taken_back() {
    let later = Failing { from: Duration::from_secs(3), ..BAD };
    let route = Failing { route: Some("check"), new: 0.9, ..GOOD };
    for (name, failing) in [("at once", BAD), ("later", later), ("one route", route)] {
        for seed in 0..10 {
            let mut world = World::new(seed, failing);
            world.run(TIME).await;
            assert_eq!(world.phase(), Some(Phase::RolledBack), "{name}, seed {seed}");
            assert!(world.rules().iter().all(|r| *r == Rule::OnlyOld));
            assert!(world.within_bound(), "{} of {}", world.new, world.all);
        }
    }
}

/// Everything fails at both versions, as in an outage behind the runners: that says nothing against
/// the new one.
#[tokio::test(start_paused = true)]
async fn an_outage_of_both_versions_is_not_the_new_ones_fault() {
    let mut completed = 0;
    for seed in 0..20 {
        let mut world = World::new(seed, Failing { old: 0.3, new: 0.3, ..GOOD });
        world.run(TIME).await;
        completed += u32::from(world.phase() == Some(Phase::Completed));
    }
    assert!(completed >= 15, "{completed} of 20");
}

/// The first node to write is dead when the move is to be completed. The next one takes its turn, still
/// before the deadline.
#[tokio::test(start_paused = true)]
async fn a_move_outlives_the_node_that_steps_it() {
    let mut world = World::new(1, GOOD);
    world.run(Duration::from_secs(9)).await;
    world.nodes[0].dead = true;
    world.nodes[1].dead = true;
    world.run(Duration::from_secs(3)).await;
    assert_eq!((world.phase(), world.finals), (Some(Phase::Completed), 1));
}

/// The store is avoid_domain while a version shows bad. Nodes stop giving it requests all the same, and the
/// record follows when the store is back.
#[tokio::test(start_paused = true)]
async fn badness_counts_also_without_the_store() {
    let mut world = World::new(2, BAD);
    world.store_down = true;
    world.run(Duration::from_secs(10)).await;
    assert!(world.rules().iter().all(|r| *r == Rule::OnlyOld));
    assert_eq!(world.phase(), None);
    world.store_down = false;
    world.run(Duration::from_secs(3)).await;
    assert_eq!((world.phase(), world.finals), (Some(Phase::RolledBack), 1));
}

/// A node is cut off from the store and its peers, and hears neither evidence nor verdict. It keeps to
/// its own part of the bound, so the sum holds.
#[tokio::test(start_paused = true)]
async fn a_node_that_is_cut_off_keeps_to_its_part() {
    let mut world = World::new(3, BAD);
    world.nodes[5].cut = true;
    world.run(TIME).await;
    assert!(world.within_bound(), "{} of {}", world.new, world.all);
}

/// A node sees badness at the moment at which another completes the move. The old runners are stopping:
/// the store's word counts.
#[tokio::test(start_paused = true)]
async fn the_stores_first_final_word_counts() {
    let mut node = Rollouts::new(Incarnation(9));
    node.apply_order(Instant::now(), 10, order());
    let news = MoveUpdate {
        from: Incarnation(1),
        sequence: 1,
        acks: Vec::new(),
        entry: "llm".into(),
        id: MoveId(10),
        verdict: Some(Verdict {
            cause: Cause::Failing,
            route: "check".into(),
            node: Incarnation(1),
        }),
        evidence: None,
    };
    node.handle_peer_update(Instant::now(), &news);
    assert_eq!(node.splits()["llm"].rule, Rule::OnlyOld);
    let record = RolloutStatus { service: "llm".into(), to: "v2".into(), phase: Phase::Completed };
    node.apply_status(12, record);
    assert_eq!(node.splits()["llm"].rule, Rule::OnlyNew);
}

/// A node starts anew after a move was settled: it reads the record, in whichever order, and tries
/// nothing. A record that is older than the order is of an earlier move.
#[tokio::test(start_paused = true)]
async fn a_restarted_node_follows_the_record() {
    let record = |phase| RolloutStatus { service: "llm".into(), to: "v2".into(), phase };
    for (revision, phase, rule) in [
        (12, Phase::Completed, Rule::OnlyNew),
        (12, Phase::RolledBack, Rule::OnlyOld),
        (12, Phase::Canary, Rule::Canary),
        (9, Phase::Completed, Rule::Canary),
        (9, Phase::RolledBack, Rule::Canary),
    ] {
        for first in [true, false] {
            let mut node = Rollouts::new(Incarnation(1));
            if first {
                node.apply_status(revision, record(phase));
            }
            node.apply_order(Instant::now(), 10, order());
            if !first {
                node.apply_status(revision, record(phase));
            }
            assert_eq!(node.splits()["llm"].rule, rule, "{revision} {phase:?} {first}");
        }
    }
}

/// The new version never has a runner: the move is taken back at its end instead of stopping the old
/// ones.
#[tokio::test(start_paused = true)]
async fn a_version_without_runners_is_not_completed() {
    let mut node = Rollouts::new(Incarnation(1));
    node.apply_order(Instant::now(), 10, order());
    let mut records = BTreeMap::new();
    let end = Instant::now() + TIME;
    while Instant::now() < end {
        for action in node.tick(Instant::now(), 0, 1) {
            if let Action::Write { status, .. } = action {
                records.insert(status.phase as u8, status.phase);
            }
        }
        advance(STEP).await;
    }
    assert!(records.values().all(|p| *p != Phase::Completed));
    assert!(records.values().any(|p| *p == Phase::RolledBack));
}
