//! Random sequences of events, run through the core and through a naive model of its invariants.

use {
    crate::fixture::{Fixture, V1, V2, done, engine, held_event, load_report},
    bilberryfront_decide::{
        Action, Event,
        action::Grant,
        catalog::Limits,
        event::{Purpose, RunnerRequest, Verdict},
        id::{RunnerKey, Ticket},
    },
    bilberryfront_wire::{
        instance::{Instance, InstanceState},
        runner::LoadReport,
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
};

const LIMIT: u32 = 9;
const BOUNDS: [u32; 3] = [2, 4, 9];
const QUEUE: u32 = 6;
const RUNNERS: [&str; 5] = ["r0", "r1", "r2", "r3", "r4"];
const VERDICTS: [Verdict; 6] = [
    Verdict::Ok,
    Verdict::Broken,
    Verdict::Stalled,
    Verdict::Rejected,
    Verdict::Garbled,
    Verdict::Cancelled,
];

/// An operation of a test case. Numbers select among the available items, modulo their count.
#[derive(Clone, Copy, Debug)]
enum Op {
    First { account: usize, prefix: Option<u64>, pin: bool },
    Resume { account: usize },
    Retry { nth: usize, avoid: bool },
    Done { nth: usize, verdict: usize, retry: bool },
    Cancel { nth: usize },
    Load { runner: usize, running: u32, leaving: bool, second: bool, cached: u64 },
    LoadMissing { runner: usize },
    List { gone: usize, leaving: usize, stale: bool },
    Peers { nodes: u32, account: usize, running: u32 },
    Wait { ticks: u64 },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Op {
        let small = |g: &mut Gen| usize::arbitrary(g) % 16;
        match u8::arbitrary(g) % 17 {
            0..=4 => Op::First {
                account: small(g),
                prefix: bool::arbitrary(g).then(|| small(g) as u64 % 4),
                pin: small(g) == 0,
            },
            5 => Op::Resume { account: small(g) },
            6..=7 => Op::Retry { nth: small(g), avoid: bool::arbitrary(g) },
            8..=10 => Op::Done { nth: small(g), verdict: small(g), retry: bool::arbitrary(g) },
            11 => Op::Cancel { nth: small(g) },
            12 => Op::Load {
                runner: small(g),
                running: small(g) as u32 % 5,
                leaving: small(g) == 0,
                second: small(g) == 0,
                cached: small(g) as u64 % 4,
            },
            13 => Op::LoadMissing { runner: small(g) },
            14 => Op::List { gone: small(g), leaving: small(g), stale: bool::arbitrary(g) },
            15 => Op::Peers {
                nodes: small(g) as u32 % 3,
                account: small(g),
                running: small(g) as u32 % 8,
            },
            _ => Op::Wait { ticks: small(g) as u64 },
        }
    }
}

/// A runner as known to the model.
#[derive(Clone, Debug)]
struct KnownRunner {
    name: String,
    key: RunnerKey,
    version: String,
    listed: bool,
    leaving: bool,
    /// Sequence number of its last cache event.
    sequence: u64,
}

/// A request as known to the model.
#[derive(Clone, Debug)]
struct TrackedRequest {
    sent: RunnerRequest,
    account: usize,
    /// Whether it is neither granted nor rejected yet.
    waiting: bool,
    granted: Option<Grant>,
    admitted: bool,
}

/// Naive model of the core, with plain lists and linear searches.
struct Model {
    fixture: Fixture,
    requests: Vec<TrackedRequest>,
    runners: Vec<KnownRunner>,
    log: Vec<Action>,
}

impl Model {
    fn new() -> Model {
        let limits = Limits { concurrent: LIMIT, queue: QUEUE, wait_ms: 400, ..Limits::default() };
        let mut fixture = Fixture::new(7, limits, &BOUNDS);
        fixture.set_instances(instances());
        let mut model =
            Model { fixture, requests: Vec::new(), runners: Vec::new(), log: Vec::new() };
        model.apply_list(&instances());
        model
    }

    fn apply_list(&mut self, list: &[Instance]) {
        for known in &mut self.runners {
            let named = list.iter().find(|i| i.name == known.name);
            known.listed = named.is_some_and(|i| i.state == InstanceState::Live);
        }
        self.runners.retain(|r| list.iter().any(|i| i.name == r.name));
        for instance in list {
            if self.runners.iter().all(|r| r.name != instance.name) {
                self.runners.push(KnownRunner {
                    name: instance.name.to_string(),
                    key: self.fixture.runner(&instance.name),
                    version: instance.version.to_string(),
                    listed: instance.state == InstanceState::Live,
                    leaving: false,
                    sequence: 0,
                });
            }
        }
    }

    fn run(&mut self, op: Op) {
        match op {
            Op::First { account, prefix, pin } => {
                let pin = pin.then(|| V2.into());
                let request =
                    RunnerRequest { prefix, pin, ..self.fixture.new_request(account % 3) };
                self.submit(request, account % 3);
            }
            Op::Resume { account } => {
                let draft = self.fixture.new_request(account % 3);
                let request =
                    RunnerRequest { purpose: Purpose::Resume, pin: Some(V1.into()), ..draft };
                self.submit(request, account % 3);
            }
            Op::Retry { nth, avoid } => self.retry(nth, avoid),
            Op::Done { nth, verdict, retry } => self.done(nth, VERDICTS[verdict % 6], retry),
            Op::Cancel { nth } => self.cancel(nth),
            Op::Load { runner, running, leaving, second, cached } => {
                let version = if second { V2 } else { V1 }.into();
                let report = LoadReport { version, leaving, ..load_report(running, 2) };
                self.load(RUNNERS[runner % 5], report, cached);
            }
            Op::LoadMissing { runner } => {
                let Some(known) = self.known(RUNNERS[runner % 5]) else { return };
                let runner = known.key;
                self.step(Event::LoadMissing { runner });
            }
            Op::List { gone, leaving, stale } => self.list(gone, leaving, stale),
            Op::Peers { nodes, account, running } => {
                let out = self.fixture.set_peers(nodes, &[(account % 3, running)]);
                self.check(out);
            }
            Op::Wait { ticks } => {
                let out = self.fixture.advance(ticks * 50);
                self.check(out);
            }
        }
    }

    fn step(&mut self, event: Event) {
        let out = self.fixture.step(event);
        self.check(out);
    }

    fn submit(&mut self, request: RunnerRequest, account: usize) {
        self.requests.push(TrackedRequest {
            sent: request.clone(),
            account,
            waiting: true,
            granted: None,
            admitted: false,
        });
        self.step(Event::Request(request));
    }

    fn retry(&mut self, nth: usize, avoid: bool) {
        let between = |r: &&mut TrackedRequest| !r.waiting && r.granted.is_none();
        let mut between = self.requests.iter_mut().filter(between).collect::<Vec<_>>();
        if between.is_empty() {
            return;
        }
        let len = between.len();
        let request = &mut between[nth % len];
        request.waiting = true;
        request.sent.purpose = Purpose::Retry;
        request.sent.avoid = request.sent.avoid.filter(|_| avoid);
        let request = request.sent.clone();
        self.step(Event::Request(request));
    }

    fn done(&mut self, nth: usize, verdict: Verdict, retry: bool) {
        let running = self.requests.iter().enumerate().filter(|(_, r)| r.granted.is_some());
        let running = running.map(|(i, _)| i).collect::<Vec<_>>();
        if running.is_empty() {
            return;
        }
        let i = running[nth % running.len()];
        let request = &mut self.requests[i];
        let grant = request.granted.take().expect("only running requests are listed");
        if retry {
            request.sent.pin = Some(grant.version);
            request.sent.avoid = Some(grant.runner);
        } else {
            self.requests.remove(i);
        }
        self.step(done(grant.ticket, verdict, retry));
    }

    fn cancel(&mut self, nth: usize) {
        let idle = self.requests.iter().filter(|r| r.granted.is_none());
        let idle = idle.map(|r| r.sent.ticket).collect::<Vec<_>>();
        if idle.is_empty() {
            return;
        }
        let ticket = idle[nth % idle.len()];
        self.requests.retain(|r| r.sent.ticket != ticket);
        self.step(Event::Cancel(ticket));
    }

    fn load(&mut self, name: &str, mut report: LoadReport, cached: u64) {
        let Some(known) = self.runners.iter_mut().find(|r| r.name == name) else { return };
        known.version = report.version.to_string();
        known.leaving = report.leaving;
        known.sequence += 1;
        report.cache.push(held_event(known.sequence, cached));
        let runner = known.key;
        self.step(Event::Load { runner, report });
    }

    fn list(&mut self, gone: usize, leaving: usize, stale: bool) {
        let mut list = instances();
        if let Some(instance) = list.get_mut(leaving) {
            instance.state = InstanceState::Leaving;
        }
        if gone < list.len() {
            list.remove(gone);
        }
        if stale {
            let stale = Event::Instances(bilberryfront_wire::instance::InstanceList {
                revision: 0,
                instances: list,
            });
            return self.step(stale);
        }
        let out = self.fixture.set_instances(list.clone());
        self.apply_list(&list);
        self.check(out);
    }

    fn known(&self, name: &str) -> Option<&KnownRunner> {
        self.runners.iter().find(|r| r.name == name)
    }

    /// Checks the actions of the core against the invariants.
    fn check(&mut self, out: Vec<Action>) {
        for action in &out {
            match action {
                Action::Grant(grant) => self.check_grant(grant),
                Action::Reject(rejection) => {
                    self.waiting_request(rejection.ticket);
                    self.requests.retain(|r| r.sent.ticket != rejection.ticket);
                }
            }
        }
        let admitted = self.requests.iter().filter(|r| r.admitted);
        assert!(admitted.clone().count() <= LIMIT as usize, "over the entry's limit");
        for (account, &bound) in BOUNDS.iter().enumerate() {
            let own = admitted.clone().filter(|r| r.account == account).count();
            assert!(own <= bound as usize, "over the limit of account {account}");
        }
        let waiting = self.requests.iter().filter(|r| r.waiting && !r.admitted);
        assert!(waiting.count() <= QUEUE as usize, "over the queue limit");
        self.log.extend(out);
    }

    fn check_grant(&mut self, grant: &Grant) {
        let request = self.waiting_request(grant.ticket).clone();
        let usable = |r: &&KnownRunner| r.listed && !r.leaving;
        let known = self.runners.iter().find(|r| r.key == grant.runner);
        let known = known.filter(usable).expect("a listed runner that is not leaving");
        let version = request.sent.pin.as_deref().unwrap_or(V1);
        assert_eq!(known.version, version, "granted a version other than the requested one");
        assert_eq!(grant.version, version);
        if request.sent.avoid == Some(grant.runner) {
            let others = self.runners.iter().filter(usable).filter(|r| r.version == version);
            assert_eq!(
                others.count(),
                1,
                "the runner to avoid was granted although there is another"
            );
        }
        let request = self.waiting_request(grant.ticket);
        request.waiting = false;
        request.granted = Some(grant.clone());
        request.admitted = true;
    }

    /// Returns the waiting request with this ticket. Panics if it was already answered.
    fn waiting_request(&mut self, ticket: Ticket) -> &mut TrackedRequest {
        let found = self.requests.iter_mut().find(|r| r.sent.ticket == ticket);
        found.filter(|r| r.waiting).expect("an answer to a waiting request")
    }

    /// Ends all running requests and checks that every request has been answered.
    fn finish(&mut self) {
        for _ in 0..200 {
            self.done(0, Verdict::Ok, false);
            let out = self.fixture.advance(50);
            self.check(out);
        }
        let lost = self.requests.iter().filter(|r| r.waiting).count();
        assert_eq!(lost, 0, "requests without an answer");
        assert_eq!(self.fixture.core.waiting(self.fixture.entry), 0);
    }
}

fn instances() -> Vec<Instance> {
    let spread = RUNNERS.iter().zip(["a", "a", "b", "b", "c"]);
    let mut list = spread.map(|(n, d)| engine(n, d, V1)).collect::<Vec<_>>();
    list[3].version = V2.into();
    list
}

fn run_ops(ops: Vec<Op>) -> Vec<Action> {
    let mut model = Model::new();
    ops.into_iter().for_each(|op| model.run(op));
    model.finish();
    model.log
}

fn quickcheck(seed: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(150, seed)).tests(300)
}

#[test]
fn the_core_keeps_its_invariants() {
    fn holds(ops: Vec<Op>) -> bool {
        run_ops(ops);
        true
    }
    quickcheck(1).quickcheck(holds as fn(Vec<Op>) -> bool);
}

#[test]
fn equal_events_give_equal_actions() {
    fn equal(ops: Vec<Op>) -> bool {
        run_ops(ops.clone()) == run_ops(ops)
    }
    quickcheck(2).quickcheck(equal as fn(Vec<Op>) -> bool);
}
