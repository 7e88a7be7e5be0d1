//! Version moves: the operators' requests, their status as each node saw it, and their invariants.

use {
    crate::{
        caller::ENGINE_ENTRY,
        gate::ProcessState,
        language::{OperatorReply, StartMove},
        node::Node,
        operator::SharedReply,
        runner::{GenerationRecord, Log},
        world::{Result, World},
    },
    bilberryfront::control::{Control, moves},
    bilberryfront_decide::mover::{MoveError, MoveId, Share, Standing, Start, Status, Weights},
    compact_str::CompactString,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Wall-clock time at the start of every scenario, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 1_800_000_000_000;
/// Interval at which the status of the moves is read from each node.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which a node that knows a verdict acts on it: a tick of its mover, and one network latency.
const VERDICT_REACTION_TIME: Duration = Duration::from_millis(60);
/// Time after the first verdict from which no node may send requests to the version. It is longer than
/// the 2.5 s for which a node that receives no messages keeps its share, so it holds for every node.
const VERDICT_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Period in which a node reported the same status of the engines' move.
#[derive(Clone, Debug)]
pub(crate) struct Observation {
    pub(crate) node: CompactString,
    incarnation: u64,
    from: Instant,
    until: Instant,
    pub(crate) status: Status,
}

impl Observation {
    fn id(&self) -> MoveId {
        self.status.moved.id
    }

    fn is_same_state(&self, incarnation: u64, status: &Status) -> bool {
        let then = &self.status;
        self.incarnation == incarnation
            && (then.moved.id, &then.standing, then.here)
                == (status.moved.id, &status.standing, status.here)
    }
}

/// All observations, ordered by their start; clones share the list.
pub(crate) type History = Arc<Mutex<Vec<Observation>>>;

/// Wall clock that advances with Tokio's paused clock.
#[derive(Clone, Copy)]
pub(crate) struct WallClock(Instant);

impl WallClock {
    pub(crate) fn new() -> WallClock {
        WallClock(Instant::now())
    }

    /// Returns the milliseconds since the Unix epoch.
    pub(crate) fn now(self) -> u64 {
        START_UNIX_MS + self.0.elapsed().as_millis() as u64
    }
}

/// Records the status of the engines' move at a node at each interval, without end.
pub(crate) async fn record_statuses(
    control: Control,
    node: CompactString,
    incarnation: u64,
    history: History,
) {
    loop {
        let list = control.moves().list().await;
        let now = Instant::now();
        if let Some(status) = list.into_iter().find(|s| s.moved.entry == ENGINE_ENTRY) {
            let mut history = history.lock().unwrap();
            match history.iter_mut().rfind(|s| s.node == node) {
                Some(last) if last.is_same_state(incarnation, &status) => {
                    (last.until, last.status) = (now, status);
                }
                _ => {
                    let node = node.clone();
                    history.push(Observation { node, incarnation, from: now, until: now, status });
                }
            }
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}

/// Starts a move at a node, as the operators' endpoint does.
pub(crate) fn start(node: &mut Node, wanted: &StartMove) -> SharedReply {
    let start = Start {
        entry: ENGINE_ENTRY.into(),
        to: wanted.to.clone(),
        by: node.wall_clock.now() + wanted.by * 1_000,
        weights: Weights::default(),
        force: wanted.force,
    };
    let moves = node.control.moves().clone();
    run_operation(node, async move { moves.start(start).await }, OperatorReply::Started)
}

/// Undoes the engines' move at a node.
pub(crate) fn undo(node: &mut Node) -> SharedReply {
    let moves = node.control.moves().clone();
    run_operation(node, async move { moves.undo(ENGINE_ENTRY.into()).await }, OperatorReply::Undone)
}

fn run_operation(
    node: &mut Node,
    work: impl Future<Output = moves::Result<MoveId>> + Send + 'static,
    done: OperatorReply,
) -> SharedReply {
    let reply = SharedReply::default();
    let shared_reply = reply.clone();
    node.spawn(async move {
        let outcome = match work.await {
            Ok(_) => done,
            Err(MoveError::Other(_)) => OperatorReply::Other,
            Err(MoveError::Over) => OperatorReply::Over,
            Err(MoveError::Late(_)) => OperatorReply::Late,
            Err(MoveError::NoEntry(_) | MoveError::Same(_)) => OperatorReply::Refused,
            Err(MoveError::Table) => OperatorReply::Unknown,
        };
        *shared_reply.lock().unwrap() = Some((outcome, 0));
    });
    reply
}

/// Returns the latest status of the engines' move at a node.
pub(crate) fn latest_status(world: &World, node: &str) -> Result<Status> {
    let history = world.history.lock().unwrap();
    let seen = history.iter().rfind(|s| s.node == node);
    seen.map(|s| s.status.clone()).ok_or_else(|| format!("{node} knows of no move of the engines"))
}

/// Returns the share of new requests that were sent to a version.
pub(crate) fn request_share_percent(log: &Log, version: &str) -> f64 {
    let new = log.generations.iter().filter(|r| is_new(r));
    let (there, all) = new.fold((0, 0), |(t, a), r| (t + u32::from(r.version == version), a + 1));
    100.0 * f64::from(there) / f64::from(all.max(1))
}

/// Counts the new requests that were sent to a version more than `after` later than the first verdict
/// against it.
pub(crate) fn count_late_requests(
    world: &World,
    log: &Log,
    version: &str,
    after: Duration,
) -> Result<usize> {
    let history = world.history.lock().unwrap();
    let judged =
        |s: &&Observation| s.status.standing.verdict().is_some() && s.status.moved.to == version;
    let first = history.iter().find(judged).map(|s| s.from);
    let first = first.ok_or_else(|| format!("there is no verdict against {version}"))?;
    let is_late =
        |r: &&GenerationRecord| is_new(r) && r.version == version && r.started_at > first + after;
    Ok(log.generations.iter().filter(is_late).count())
}

/// Checks the invariants of moves.
pub(crate) fn check(world: &World, log: &Log) -> Result {
    let history = world.history.lock().unwrap();
    let mut known = BTreeMap::new();
    let mut first = BTreeMap::new();
    for seen in history.iter() {
        let who = (&seen.node, seen.incarnation, seen.id());
        match seen.status.standing {
            Standing::TakenBack(_) => {
                known.entry(who).or_insert(seen.from);
                first.entry(seen.id()).or_insert(seen.from);
            }
            ref other if known.contains_key(&who) => {
                return Err(format!("{} saw a move go from taken back to {other:?}", seen.node));
            }
            _ => {}
        }
        check_share(seen, known.get(&who), first.get(&seen.id()))?;
    }
    let taken_back = history.iter().filter(|s| first.contains_key(&s.id()));
    for seen in taken_back.filter(|s| s.status.standing.verdict().is_some()) {
        let end = next_start(&history, seen);
        let known_at = known[&(&seen.node, seen.incarnation, seen.id())];
        let to = &seen.status.moved.to;
        let wrong = |r: &&GenerationRecord| {
            let there = r.node == seen.node && r.started_at > known_at + VERDICT_REACTION_TIME;
            let anywhere = r.started_at > first[&seen.id()] + VERDICT_PROPAGATION_TIME;
            is_new(r)
                && r.version == *to
                && end.is_none_or(|e| r.started_at < e)
                && (there || anywhere)
        };
        if let Some(run) = log.generations.iter().find(wrong) {
            let after = run.started_at - first[&seen.id()];
            return Err(format!(
                "{} sent a request to {to} {after:?} after the first verdict",
                run.node
            ));
        }
    }
    Ok(())
}

/// Checks that a node which knows the verdict gives the version no share, and that no node does
/// [`VERDICT_PROPAGATION_TIME`] after the first verdict.
fn check_share(seen: &Observation, known: Option<&Instant>, first: Option<&Instant>) -> Result {
    let here = seen.status.here;
    // Between the verdict and the mover's next tick, a node may still return the share it published.
    let is_late =
        known.is_some() || first.is_some_and(|f| seen.until > *f + VERDICT_PROPAGATION_TIME);
    if here > Share::NONE && is_late {
        return Err(format!("{} gives share {here:?} to a version that was taken back", seen.node));
    }
    Ok(())
}

/// Returns when a later move to the same version was first observed.
fn next_start(history: &[Observation], judged: &Observation) -> Option<Instant> {
    let another =
        |s: &&Observation| s.id() != judged.id() && s.status.moved.to == judged.status.moved.to;
    history.iter().filter(another).map(|s| s.from).find(|from| *from > judged.from)
}

/// Returns whether the generation was sent before the request had any token.
fn is_new(record: &GenerationRecord) -> bool {
    record.index == 0
}

/// Returns whether the node's process is running, so that it can accept requests.
pub(crate) fn is_running(node: &Node) -> bool {
    node.gate.process_state() == ProcessState::Running
}
