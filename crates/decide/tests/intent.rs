//! Non-idempotent calls under faults: the life of a call against a naive table and runner's log.

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

/// One thing that happens; requests and nodes are chosen modulo their number.
#[derive(Clone, Copy, Debug)]
enum Op {
    /// A caller asks this node; one in eight sends another body under the key.
    Ask { node: u8, body: u8 },
    /// What this request waits for happens, well or badly.
    Go { request: u8, fate: u8 },
    /// A request hears the table's last answer again.
    Again { request: u8 },
    /// A write whose reply was lost takes effect only now.
    Land { write: u8 },
    /// A node dies and comes back as a new incarnation.
    Crash { node: u8 },
    /// Hours pass; rows past their retention are swept.
    Wait { hours: u8 },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Op {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 32 {
            0..=5 => Op::Ask { node: a, body: b },
            6..=25 => Op::Go { request: a, fate: b },
            26 | 27 => Op::Again { request: a },
            28 | 29 => Op::Land { write: a },
            30 => Op::Crash { node: a },
            _ => Op::Wait { hours: b % 30 },
        }
    }
}

/// A row of the naive table, and when it was made.
#[derive(Clone)]
struct Row {
    found: IntentRow,
    born: Instant,
}

struct Node {
    incarnation: u64,
    shelf: AbandonedClaims,
}

struct Request {
    node: usize,
    body: &'static str,
    life: RequestLifecycle,
    todo: Action,
    /// The table's last answer.
    heard: Option<Event>,
    /// Whether the runner has this request.
    ran: bool,
}

struct World {
    now: Instant,
    claims: u64,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    /// The one key's row.
    row: Option<Row>,
    late: Vec<IntentRow>,
    /// Who sent the call to the runner since the row was last swept.
    log: Vec<Owner>,
}

type Check = Result<(), String>;

impl World {
    fn new() -> World {
        let nodes = (0..NODES as u64)
            .map(|incarnation| Node { incarnation, shelf: AbandonedClaims::default() })
            .collect();
        World {
            now: Instant::now(),
            claims: 0,
            nodes,
            requests: Vec::new(),
            row: None,
            late: Vec::new(),
            log: Vec::new(),
        }
    }

    fn run(&mut self, op: Op) -> Check {
        match op {
            Op::Ask { node, body } => {
                let body = if body % 8 == 0 { "other" } else { "body" };
                self.ask(node as usize % NODES, body, Event::Claim)
            }
            Op::Go { request, fate } => self.pick(request).map_or(Ok(()), |i| self.go(i, fate)),
            Op::Again { request } => {
                let Some(i) = self.pick(request) else { return Ok(()) };
                let Some(event) = self.requests[i].heard.clone() else { return Ok(()) };
                self.tell(i, event)
            }
            Op::Land { write } if !self.late.is_empty() => {
                let found = self.late.remove(write as usize % self.late.len());
                self.write(found);
                Ok(())
            }
            Op::Land { .. } => Ok(()),
            Op::Crash { node } => {
                self.crash(node as usize % NODES);
                Ok(())
            }
            Op::Wait { hours } => self.wait(hours),
        }
    }

    fn pick(&self, request: u8) -> Option<usize> {
        (!self.requests.is_empty()).then(|| request as usize % self.requests.len())
    }

    fn ask(&mut self, node: usize, body: &'static str, first: Event) -> Check {
        self.claims += 1;
        let incarnation = Incarnation(self.nodes[node].incarnation);
        let owner = Owner { incarnation, claim: self.claims };
        let life = RequestLifecycle::new(owner, body.into(), self.now, 0);
        let todo = Action::Finish;
        self.requests.push(Request { node, body, life, todo, heard: None, ran: false });
        self.tell(self.requests.len() - 1, first)
    }

    fn crash(&mut self, node: usize) {
        self.requests.retain(|r| r.node != node);
        self.nodes[node].incarnation += NODES as u64;
        self.nodes[node].shelf = AbandonedClaims::default();
    }

    /// No write takes hours to get to the table: the network and the committer drop it before.
    fn wait(&mut self, hours: u8) -> Check {
        self.now += Duration::from_secs(3600) * u32::from(hours);
        if hours == 0 {
            return Ok(());
        }
        self.late.clear();
        for i in 0..self.requests.len() {
            while matches!(self.requests[i].todo, Action::Write(_)) {
                let recording = self.requests[i].life.state() == State::Recording;
                let end = if recording { Event::GiveUp } else { Event::Failed(Fault::Down) };
                self.tell(i, end)?;
            }
        }
        if self.row.as_ref().is_some_and(|r| self.now - r.born >= RETENTION) {
            self.row = None;
            self.log.clear();
        }
        Ok(())
    }

    fn go(&mut self, i: usize, fate: u8) -> Check {
        match self.requests[i].todo.clone() {
            Action::Write(found) => {
                let event = self.reach(found, fate);
                self.hear(i, event)
            }
            Action::Read => {
                let found = self.row.as_ref().map(|r| r.found.clone());
                let event = match fate % 8 {
                    0 => Event::Failed(Fault::Lost),
                    1 => Event::Failed(Fault::Down),
                    _ => Event::Row(found),
                };
                self.hear(i, event)
            }
            Action::Permit => self.send(i, fate),
            Action::Expire => self.tell(i, Event::End(Outcome::NotRun, self.now)),
            Action::Send => self.end(i, fate),
            Action::Respond(Verdict::Busy(_)) => {
                let Request { node, body, .. } = self.requests.remove(i);
                self.ask(node, body, Event::Look)
            }
            Action::Respond(_) | Action::Finish | Action::Ignore => {
                self.requests.remove(i);
                Ok(())
            }
        }
    }

    /// A write on its way to the table.
    fn reach(&mut self, found: IntentRow, fate: u8) -> Event {
        match fate % 8 {
            0 => Event::Failed(Fault::Down),
            1 => Event::Failed(Fault::Lost),
            2 => {
                self.write(found);
                Event::Failed(Fault::Lost)
            }
            3 => {
                self.late.push(found);
                Event::Failed(Fault::Lost)
            }
            _ => Event::Written(self.write(found)),
        }
    }

    /// The naive table: one row, written when its revision is as expected.
    fn write(&mut self, IntentRow { revision, intent }: IntentRow) -> Written {
        let held: RowRevision = self.row.as_ref().map_or(0, |r| r.found.revision);
        if held != revision {
            return Written::Conflict(held);
        }
        let born =
            self.row.as_ref().filter(|_| intent.outcome.is_some()).map_or(self.now, |r| r.born);
        self.row = Some(Row { found: IntentRow { revision: held + 1, intent }, born });
        Written::Done(held + 1)
    }

    /// The request leaves, unless no connection can be made.
    fn send(&mut self, i: usize, fate: u8) -> Check {
        self.tell(i, Event::Send(self.now))?;
        if self.requests[i].todo != Action::Send {
            return Ok(());
        }
        if fate.is_multiple_of(4) {
            return self.tell(i, Event::End(Outcome::NotRun, self.now));
        }
        let owner = self.requests[i].life.owner();
        let row = self.row.as_ref().map(|r| &r.found.intent);
        if !row.is_some_and(|r| r.owner == owner && r.outcome.is_none()) {
            return Err(format!("{owner:?} sent while the row was {row:?}"));
        }
        self.log.push(owner);
        self.requests[i].ran = true;
        if self.log.len() > 1 {
            return Err(format!("ran more than once: {:?}", self.log));
        }
        Ok(())
    }

    /// The exchange with the runner ends: answered, or the answer is lost.
    fn end(&mut self, i: usize, fate: u8) -> Check {
        let owner = self.requests[i].life.owner();
        let outcome = if fate % 4 == 1 { Outcome::Unknown } else { answer(owner) };
        self.tell(i, Event::End(outcome, self.now))
    }

    fn hear(&mut self, i: usize, event: Event) -> Check {
        self.requests[i].heard = Some(event.clone());
        self.tell(i, event)
    }

    fn tell(&mut self, i: usize, event: Event) -> Check {
        let request = &mut self.requests[i];
        let read = matches!(event, Event::Row(_));
        let shelf = &mut self.nodes[request.node].shelf;
        match request.life.step(event, shelf) {
            Action::Ignore => Ok(()),
            Action::Respond(verdict) => {
                request.todo = Action::Respond(verdict.clone());
                self.said(i, &verdict, read)
            }
            todo => {
                request.todo = todo;
                Ok(())
            }
        }
    }

    /// What a caller is told is true.
    fn said(&self, i: usize, verdict: &Verdict, read: bool) -> Check {
        let request = &self.requests[i];
        let row = self.row.as_ref().map(|r| &r.found.intent);
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
            Err(format!("said {verdict:?}, log {:?}, row {row:?}", self.log))
        } else {
            Ok(())
        }
    }
}

/// The runner's answer names who asked.
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

fn story(ops: Vec<Op>) -> TestResult {
    let mut world = World::new();
    for (n, op) in ops.into_iter().enumerate() {
        if let Err(text) = world.run(op) {
            return TestResult::error(format!("op {n}, {op:?}: {text}"));
        }
    }
    TestResult::passed()
}

/// Callers post one transfer under one key at three nodes, again and again, while nodes die and
/// pause, the table is down, and its replies are lost before, after and long before their effect.
/// The runner must get it once at most, "not run" must be true when said, and every answer must be
/// the one that the runner gave.
#[test]
fn a_call_runs_at_most_once() {
    check(story as fn(Vec<Op>) -> TestResult, 120, 1500);
}

/// The stories above must reach every state, or they prove nothing about it.
#[test]
fn the_stories_reach_every_end() {
    let mut seen = Vec::new();
    for seed in 1..=200 {
        let mut g = Gen::from_size_and_seed(120, seed);
        let mut world = World::new();
        for op in Vec::<Op>::arbitrary(&mut g) {
            world.run(op).expect("the story above holds");
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
