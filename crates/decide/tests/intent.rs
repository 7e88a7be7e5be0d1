//! Non-idempotent calls under faults: the request state machine against a model of the table and a
//! log of the runner.

use {
    bilberryfront_decide::{
        id::Incarnation,
        intent::{
            AbandonedClaims, Action, Answer, Event, Fault, IntentRow, Outcome, Owner, RETENTION,
            RequestLifecycle, State, StoredBody, Verdict,
        },
    },
    bilberryfront_wire::table::{RowRevision, Written},
    quickcheck::{Arbitrary, Gen, QuickCheck, TestResult, Testable},
    std::time::Duration,
    tokio::time::Instant,
};

const NODES: usize = 3;

/// An operation; requests and nodes are selected modulo their number.
#[derive(Clone, Copy, Debug)]
enum Op {
    /// A caller sends a request to this node; one in eight has a different body with the same key.
    Submit { node: u8, body: u8 },
    /// The pending action of this request succeeds or fails.
    Advance { request: u8, fate: u8 },
    /// The last response of the table is delivered to this request again.
    Redeliver { request: u8 },
    /// A delayed write takes effect, after its reply was reported as lost.
    ApplyDelayed { write: u8 },
    /// A node crashes and restarts with a new incarnation.
    Crash { node: u8 },
    /// Time passes; a row past its retention is deleted.
    Elapse { hours: u8 },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Op {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 32 {
            0..=5 => Op::Submit { node: a, body: b },
            6..=25 => Op::Advance { request: a, fate: b },
            26 | 27 => Op::Redeliver { request: a },
            28 | 29 => Op::ApplyDelayed { write: a },
            30 => Op::Crash { node: a },
            _ => Op::Elapse { hours: b % 30 },
        }
    }
}

/// A row of the model table and its creation time.
#[derive(Clone)]
struct Row {
    stored: IntentRow,
    created: Instant,
}

struct Node {
    incarnation: u64,
    abandoned: AbandonedClaims,
}

struct Request {
    node: usize,
    body: &'static str,
    life: RequestLifecycle,
    action: Action,
    /// Last response of the table.
    last_event: Option<Event>,
    /// Whether the request reached the runner.
    ran: bool,
}

struct World {
    now: Instant,
    claims: u64,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    /// Row of the only key.
    row: Option<Row>,
    /// Writes that have not taken effect yet, although their replies were reported as lost.
    delayed: Vec<IntentRow>,
    /// Claims that sent the call to the runner since the row was last deleted.
    log: Vec<Owner>,
}

type CheckResult = Result<(), String>;

impl World {
    fn new() -> World {
        let nodes = (0..NODES as u64)
            .map(|incarnation| Node { incarnation, abandoned: AbandonedClaims::default() })
            .collect();
        World {
            now: Instant::now(),
            claims: 0,
            nodes,
            requests: Vec::new(),
            row: None,
            delayed: Vec::new(),
            log: Vec::new(),
        }
    }

    fn apply(&mut self, op: Op) -> CheckResult {
        match op {
            Op::Submit { node, body } => {
                let body = if body % 8 == 0 { "other" } else { "body" };
                self.submit(node as usize % NODES, body, Event::Claim)
            }
            Op::Advance { request, fate } => {
                self.pick(request).map_or(Ok(()), |i| self.advance(i, fate))
            }
            Op::Redeliver { request } => {
                let Some(i) = self.pick(request) else { return Ok(()) };
                let Some(event) = self.requests[i].last_event.clone() else { return Ok(()) };
                self.step(i, event)
            }
            Op::ApplyDelayed { write } if !self.delayed.is_empty() => {
                let row = self.delayed.remove(write as usize % self.delayed.len());
                self.write(row);
                Ok(())
            }
            Op::ApplyDelayed { .. } => Ok(()),
            Op::Crash { node } => {
                self.crash(node as usize % NODES);
                Ok(())
            }
            Op::Elapse { hours } => self.elapse(hours),
        }
    }

    fn pick(&self, request: u8) -> Option<usize> {
        (!self.requests.is_empty()).then(|| request as usize % self.requests.len())
    }

    fn submit(&mut self, node: usize, body: &'static str, first: Event) -> CheckResult {
        self.claims += 1;
        let incarnation = Incarnation(self.nodes[node].incarnation);
        let owner = Owner { incarnation, claim: self.claims };
        let life = RequestLifecycle::new(owner, body.into(), self.now, 0);
        let action = Action::Finish;
        self.requests.push(Request { node, body, life, action, last_event: None, ran: false });
        self.step(self.requests.len() - 1, first)
    }

    fn crash(&mut self, node: usize) {
        self.requests.retain(|r| r.node != node);
        self.nodes[node].incarnation += NODES as u64;
        self.nodes[node].abandoned = AbandonedClaims::default();
    }

    /// Advances the time. Delayed writes are dropped, because no write takes hours to arrive: the
    /// network or the committer drops it before.
    fn elapse(&mut self, hours: u8) -> CheckResult {
        self.now += Duration::from_secs(3600) * u32::from(hours);
        if hours == 0 {
            return Ok(());
        }
        self.delayed.clear();
        for i in 0..self.requests.len() {
            while matches!(self.requests[i].action, Action::Write(_)) {
                let recording = self.requests[i].life.state() == State::Recording;
                let end = if recording { Event::GiveUp } else { Event::Failed(Fault::Down) };
                self.step(i, end)?;
            }
        }
        if self.row.as_ref().is_some_and(|r| self.now - r.created >= RETENTION) {
            self.row = None;
            self.log.clear();
        }
        Ok(())
    }

    fn advance(&mut self, i: usize, fate: u8) -> CheckResult {
        match self.requests[i].action.clone() {
            Action::Write(row) => {
                let event = self.deliver_write(row, fate);
                self.deliver(i, event)
            }
            Action::Read => {
                let row = self.row.as_ref().map(|r| r.stored.clone());
                let event = match fate % 8 {
                    0 => Event::Failed(Fault::Lost),
                    1 => Event::Failed(Fault::Down),
                    _ => Event::Row(row),
                };
                self.deliver(i, event)
            }
            Action::Permit => self.send(i, fate),
            Action::Expire => self.step(i, Event::End(Outcome::NotRun, self.now)),
            Action::Send => self.end_exchange(i, fate),
            Action::Respond(Verdict::Busy(_)) => {
                let Request { node, body, .. } = self.requests.remove(i);
                self.submit(node, body, Event::Look)
            }
            Action::Respond(_) | Action::Finish | Action::Ignore => {
                self.requests.remove(i);
                Ok(())
            }
        }
    }

    /// Delivers a write to the table, where the write or its reply may be lost or delayed.
    fn deliver_write(&mut self, row: IntentRow, fate: u8) -> Event {
        match fate % 8 {
            0 => Event::Failed(Fault::Down),
            1 => Event::Failed(Fault::Lost),
            2 => {
                self.write(row);
                Event::Failed(Fault::Lost)
            }
            3 => {
                self.delayed.push(row);
                Event::Failed(Fault::Lost)
            }
            _ => Event::Written(self.write(row)),
        }
    }

    /// Writes the model's row if it has the expected revision.
    fn write(&mut self, IntentRow { revision, intent }: IntentRow) -> Written {
        let current: RowRevision = self.row.as_ref().map_or(0, |r| r.stored.revision);
        if current != revision {
            return Written::Conflict(current);
        }
        let created =
            self.row.as_ref().filter(|_| intent.outcome.is_some()).map_or(self.now, |r| r.created);
        self.row = Some(Row { stored: IntentRow { revision: current + 1, intent }, created });
        Written::Done(current + 1)
    }

    /// Sends the request to the runner; one in four fails to connect.
    fn send(&mut self, i: usize, fate: u8) -> CheckResult {
        self.step(i, Event::Send(self.now))?;
        if self.requests[i].action != Action::Send {
            return Ok(());
        }
        if fate.is_multiple_of(4) {
            return self.step(i, Event::End(Outcome::NotRun, self.now));
        }
        let owner = self.requests[i].life.owner();
        let row = self.row.as_ref().map(|r| &r.stored.intent);
        if !row.is_some_and(|r| r.owner == owner && r.outcome.is_none()) {
            return Err(format!("{owner:?} sent the call while the row was {row:?}"));
        }
        self.log.push(owner);
        self.requests[i].ran = true;
        if self.log.len() > 1 {
            return Err(format!("the call ran more than once: {:?}", self.log));
        }
        Ok(())
    }

    /// Ends the exchange with the runner, with a response or a lost one.
    fn end_exchange(&mut self, i: usize, fate: u8) -> CheckResult {
        let owner = self.requests[i].life.owner();
        let outcome = if fate % 4 == 1 { Outcome::Unknown } else { answer(owner) };
        self.step(i, Event::End(outcome, self.now))
    }

    fn deliver(&mut self, i: usize, event: Event) -> CheckResult {
        self.requests[i].last_event = Some(event.clone());
        self.step(i, event)
    }

    fn step(&mut self, i: usize, event: Event) -> CheckResult {
        let request = &mut self.requests[i];
        let read = matches!(event, Event::Row(_));
        let abandoned = &mut self.nodes[request.node].abandoned;
        match request.life.step(event, abandoned) {
            Action::Ignore => Ok(()),
            Action::Respond(verdict) => {
                request.action = Action::Respond(verdict.clone());
                self.check_response(i, &verdict, read)
            }
            action => {
                request.action = action;
                Ok(())
            }
        }
    }

    /// Checks a response to a caller against the table and the runner's log.
    fn check_response(&self, i: usize, verdict: &Verdict, read: bool) -> CheckResult {
        let request = &self.requests[i];
        let row = self.row.as_ref().map(|r| &r.stored.intent);
        let wrong = match verdict {
            Verdict::NotRun if read => !self.log.is_empty(),
            Verdict::NotRun | Verdict::Unclear => request.ran,
            Verdict::Outcome(Outcome::NotRun) => true,
            Verdict::Outcome(Outcome::Answer(a)) => {
                self.log.first().is_none_or(|o| answer(*o) != Outcome::Answer(a.clone()))
            }
            Verdict::Outcome(outcome) => row.is_none_or(|r| r.outcome.as_ref() != Some(outcome)),
            Verdict::Mismatch => row.is_none_or(|r| r.digest == request.body),
            Verdict::Busy(holder) => holder.owner == request.life.owner(),
        };
        if wrong {
            Err(format!("wrong response {verdict:?}: log {:?}, row {row:?}", self.log))
        } else {
            Ok(())
        }
    }
}

/// Returns the runner's response, which identifies the claim that sent the call.
fn answer(owner: Owner) -> Outcome {
    let body = StoredBody::Text(format!("{owner:?}"));
    Outcome::Answer(Answer { status: 200, headers: Vec::new(), body })
}

fn check(property: impl Testable + Copy, size: usize, tests: u64) {
    for seed in 1..=8 {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(size, seed))
            .tests(tests)
            .max_tests(tests)
            .quickcheck(property);
    }
}

fn property(ops: Vec<Op>) -> TestResult {
    let mut world = World::new();
    for (n, op) in ops.into_iter().enumerate() {
        if let Err(text) = world.apply(op) {
            return TestResult::error(format!("op {n}, {op:?}: {text}"));
        }
    }
    TestResult::passed()
}

/// Guards against a call that runs twice. Callers repeatedly send the same call with one key to
/// three nodes, while nodes crash and pause, the table is unavailable, and replies are lost with
/// the write failing, taking effect, or taking effect much later. The runner must receive the call
/// at most once, a response "not run" must be true, and every other response must be the runner's.
#[test]
fn a_call_runs_at_most_once() {
    check(property as fn(Vec<Op>) -> TestResult, 120, 1500);
}

/// Guards against a property test that doesn't cover some of the states.
#[test]
fn random_operations_reach_every_final_state() {
    let mut seen = Vec::new();
    for seed in 1..=200 {
        let mut g = Gen::from_size_and_seed(120, seed);
        let mut world = World::new();
        for op in Vec::<Op>::arbitrary(&mut g) {
            world.apply(op).expect("the property above holds");
            seen.extend(world.requests.iter().map(|r| r.life.state()));
        }
    }
    for state in [
        State::Taking,
        State::Settled,
        State::Unrecorded,
        State::Busy,
        State::Mismatched,
        State::Refused,
        State::Abandoned,
    ] {
        assert!(seen.contains(&state), "{state:?} was never reached");
    }
}
