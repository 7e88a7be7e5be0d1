//! Random scenarios, built from the same steps and checked by the same invariants as the files.

use {
    crate::language::{
        Apply, Call, Expect, NodeAction, Request, Resume, RunnerAction, Scenario, Setup, Step,
        TableAction,
    },
    compact_str::{CompactString, format_compact},
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
};

const NODES: [&str; 3] = ["a", "b", "c"];
const ENGINES: [(&str, &str); 4] = [("e1", "v1"), ("e2", "v1"), ("e3", "v2"), ("e4", "v2")];
const SERVICES: [&str; 2] = ["s1", "s2"];
/// Number of different idempotency keys; few, so that calls often use the same key.
const KEYS: u32 = 4;
/// Number of tokens in an answer.
const TOKENS: u32 = 12;
/// Number of random steps in a scenario, without the waits between them.
const STEPS: usize = 40;

/// Generator of a random scenario.
struct Storm {
    rng: SmallRng,
    steps: Vec<Step>,
    generations: Vec<CompactString>,
    names: Vec<CompactString>,
}

/// Returns the scenario of a seed: random steps, then all faults end and every caller gets its answer.
pub(crate) fn draw(seed: u64) -> Scenario {
    let rng = SmallRng::seed_from_u64(seed);
    let mut storm = Storm { rng, steps: vec![], generations: vec![], names: vec![] };
    let differs = storm.rng.random();
    for _ in 0..STEPS {
        let step = storm.step();
        storm.steps.push(step);
        let pause = storm.rng.random_range(0..600);
        storm.steps.push(Step::Wait(pause));
    }
    storm.end_faults();
    let world = Setup {
        seed: seed % 1_000_000,
        nodes: NODES.map(CompactString::from).to_vec(),
        engines: ENGINES.map(|(name, version)| (name.into(), version.into())).to_vec(),
        services: SERVICES.map(CompactString::from).to_vec(),
        tokens: TOKENS,
        differs,
        ..Setup::default()
    };
    Scenario { world, steps: storm.steps }
}

impl Storm {
    fn step(&mut self) -> Step {
        match self.rng.random_range(0..20) {
            0..6 => self.request(),
            6..11 => self.call(),
            11 => self.resume().unwrap_or(Step::Wait(100)),
            12 => self.hang_up().unwrap_or(Step::Wait(100)),
            13 => self.apply(),
            14..17 => Step::Runner { who: self.runner(), does: self.runner_action() },
            17 => Step::Node { who: self.node(), does: self.node_action() },
            18 => Step::Table(self.table_action()),
            _ => self.network(),
        }
    }

    fn request(&mut self) -> Step {
        let name = format_compact!("r{}", self.steps.len());
        self.generations.push(name.clone());
        self.names.push(name.clone());
        let prompt = format_compact!("prompt {}", self.rng.random_range(0..3));
        let whole = self.rng.random_ratio(1, 4);
        Step::Request(Request { name, node: self.node(), prompt, account: self.account(), whole })
    }

    fn call(&mut self) -> Step {
        let name = format_compact!("c{}", self.steps.len());
        self.names.push(name.clone());
        let key = self.rng.random_range(0..=KEYS);
        let body = format_compact!("body {}", key + u32::from(self.rng.random_ratio(1, 8)));
        let key = (key < KEYS).then(|| format_compact!("k{key}"));
        Step::Call(Call { name, node: self.node(), key, body, account: self.account() })
    }

    fn resume(&mut self) -> Option<Step> {
        let name = self.generations.choose(&mut self.rng)?.clone();
        let forget = self.rng.random_range(0..3);
        Some(Step::Resume(Resume { name, node: self.node(), forget }))
    }

    fn hang_up(&mut self) -> Option<Step> {
        self.names.choose(&mut self.rng).cloned().map(Step::HangUp)
    }

    fn apply(&mut self) -> Step {
        let name = format_compact!("o{}", self.steps.len());
        let expect = self.rng.random_range(1..4);
        let version = self.pick(&["v1", "v2"]);
        Step::Apply(Apply { name, node: self.node(), expect, version })
    }

    fn runner_action(&mut self) -> RunnerAction {
        let at = self.rng.random_range(0..TOKENS + 2);
        let actions = [
            RunnerAction::Die,
            RunnerAction::Start,
            RunnerAction::Pause,
            RunnerAction::Wake,
            RunnerAction::Leave,
            RunnerAction::Slow(at.into()),
            RunnerAction::Cross,
            RunnerAction::DieAt(at),
            RunnerAction::CutAt(at),
            RunnerAction::StallAt(at),
            RunnerAction::SkipAt(at),
            RunnerAction::RepeatAt(at),
            RunnerAction::EndAt(at),
            RunnerAction::FinishAt(at),
            RunnerAction::CloseBefore,
            RunnerAction::CloseAfter,
            RunnerAction::DieAfter,
        ];
        actions[self.rng.random_range(0..actions.len())]
    }

    fn node_action(&mut self) -> NodeAction {
        let actions = [
            NodeAction::Die,
            NodeAction::Start,
            NodeAction::Start,
            NodeAction::Pause,
            NodeAction::Wake,
            NodeAction::Wake,
            NodeAction::Leave,
            NodeAction::CutOff,
            NodeAction::Rejoin,
        ];
        actions[self.rng.random_range(0..actions.len())]
    }

    fn table_action(&mut self) -> TableAction {
        let count = self.rng.random_range(1..4);
        let actions = [
            TableAction::Up,
            TableAction::Up,
            TableAction::Down,
            TableAction::Slow(u64::from(count) * 300),
            TableAction::LoseReplies(count),
            TableAction::LoseCommits(count),
        ];
        actions[self.rng.random_range(0..actions.len())]
    }

    fn network(&mut self) -> Step {
        match self.rng.random_range(0..3) {
            0 => Step::ListLag(self.rng.random_range(0..10_000)),
            1 => Step::Apart(vec![]),
            _ => Step::Apart(vec![self.node(), self.runner(), self.runner()]),
        }
    }

    /// Adds steps that end all faults, and then check that every generation completes.
    fn end_faults(&mut self) {
        let steps = &mut self.steps;
        steps.extend([Step::Apart(vec![]), Step::Table(TableAction::Up), Step::ListLag(100)]);
        for who in ENGINES.iter().map(|(name, _)| *name).chain(SERVICES) {
            for does in [RunnerAction::Die, RunnerAction::Start, RunnerAction::Slow(50)] {
                steps.push(Step::Runner { who: who.into(), does });
            }
        }
        let restart = |who: &str| Step::Node { who: who.into(), does: NodeAction::Start };
        steps.extend(NODES.map(restart));
        // All runners died and all nodes were restarted: waits until the nodes' back-off for runners has
        // ended and the silence of the dead nodes has timed out.
        steps.push(Step::Wait(30_000));
        for name in self.generations.clone() {
            let resume = Resume { name: name.clone(), node: "a".into(), forget: 0 };
            steps.extend([Step::Resume(resume), Step::Finish(vec![name.clone()])]);
            steps.push(Step::Expect(Expect::Answered(vec![name])));
        }
        steps.push(Step::Finish(self.names.clone()));
    }

    fn node(&mut self) -> CompactString {
        self.pick(&NODES)
    }

    fn runner(&mut self) -> CompactString {
        let names = ENGINES.iter().map(|(name, _)| *name).chain(SERVICES).collect::<Vec<_>>();
        self.pick(&names)
    }

    fn account(&mut self) -> CompactString {
        self.pick(&["desk", "press"])
    }

    fn pick(&mut self, names: &[&str]) -> CompactString {
        (*names.choose(&mut self.rng).expect("the list of names is not empty")).into()
    }
}
