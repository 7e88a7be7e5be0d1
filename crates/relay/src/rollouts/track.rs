//! State machine of one rollout.

use {
    super::{
        RolloutOrder, RolloutStatus, comparison, exposure::CANARY_SHARE, trial::TrialEvent,
        waits::Waits,
    },
    crate::{
        store::Revision,
        view::{Rule, Split},
    },
    bilberryfront_decide::{
        chart::Chart,
        id::Incarnation,
        mover::{
            MoveEvidence, MoveId, MoveQuery, MoveUpdate,
            evidence::{Collector, Counts, Evidence, PooledEvidence, TOLERANCE, Tally},
            standing::{Cause, Verdict},
            verdict::{CAUSES, SequentialTest},
        },
    },
    compact_str::CompactString,
    serde::Deserialize,
    std::{collections::BTreeMap, sync::LazyLock, time::Duration},
    tokio::time::Instant,
    xxhash_rust::xxh64::xxh64,
};

static CHART: LazyLock<Chart<Phase, Signal>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../../charts/rollout.json"))
        .expect("charts/rollout.json is valid")
});

/// Share of the rollout time after which a healthy version is completed; the rest covers the write
/// and a failover of the writer.
const COMPLETE_SHARE: f64 = 0.85;
/// Share of the rollout time after which the version is completed if it is healthy and a few requests
/// have finished, or rolled back otherwise.
const FINAL_SHARE: f64 = 0.94;
/// Number of finished requests of the new version that are required at [`COMPLETE_SHARE`].
const MIN_FINISHED: u32 = 12;
/// The same at [`FINAL_SHARE`], unless the service has few requests.
const MIN_FINISHED_FINAL: u32 = 4;
/// Finished requests of the new version that are required at [`FINAL_SHARE`] in a service with few
/// requests, as a share of those that it is compared with.
const MIN_FINISHED_SHARE: f64 = 0.1;
/// Number of bad events beyond the new version's share that are attributed to chance.
const CHANCE_EVENTS: f64 = 2.0;
/// Number of requests of the new version with bad events, at all nodes, after which it gets no more. The
/// platform tolerates 50 bad responses; the rest covers requests in flight and reports under way.
const MAX_BAD: u32 = 25;
/// Evaluation interval.
const EVALUATE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of messages to peers.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Delay before each further node writes, if the status has not been stored.
const WRITER_STAGGER: Duration = Duration::from_millis(300);
/// Maximum number of these delays: one of the first nodes in address responses writes the status, unless
/// none of them reaches the store.
const MAX_STAGGERS: usize = 4;
/// Interval at which a node that has started during the rollout asks others for their evidence.
const QUERY_INTERVAL: Duration = Duration::from_millis(400);
/// Number of queries after which the evidence of processes that have ended counts as lost.
const MAX_QUERIES: usize = 5;
/// Maximum number of processes per message with evidence.
const EVIDENCE_BATCH: usize = 16;
/// Delay before the write of a status is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Phase; see `charts/rollout.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The new version gets a bounded share of the requests.
    Canary,
    /// The new version gets all requests; the old runners stop.
    Completed,
    /// The new version gets no requests.
    RolledBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Signal {
    /// Stored as completed.
    Proved,
    /// Found unhealthy, or stored as rolled back.
    Rejected,
    /// Stored as completed although this node has found it unhealthy.
    RecordedCompleted,
}

/// Side effect of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write this status unless another one has been stored.
    Write(RolloutStatus),
    /// Send this message to all peers.
    Broadcast(MoveUpdate),
    /// Send this query to some peers.
    Query {
        /// Query.
        query: MoveQuery,
        /// Number of earlier attempts.
        attempt: usize,
    },
}

pub(super) struct Rollout {
    me: Incarnation,
    revision: Revision,
    order: RolloutOrder,
    /// Number and content of the order that this one replaced.
    replaced: Option<(u64, RolloutOrder)>,
    /// Time of the order, as far as this node knows.
    start: Instant,
    /// Whether the order was stored before this node started.
    is_late: bool,
    /// Whether the evidence of processes that ended before this one was started is known, or lost.
    is_informed: bool,
    /// Number of queries for that evidence, and the time of the next one.
    queries: usize,
    query_at: Instant,
    phase: Phase,
    /// Phase in the stored status, if that belongs to this rollout.
    recorded: Option<Phase>,
    /// Time at which the stored status was last read.
    recorded_at: Instant,
    collector: Collector,
    waits: Waits,
    pool: PooledEvidence,
    /// Number of requests of the new version with bad events, at all nodes; a lower bound.
    bad: u32,
    routes: BTreeMap<CompactString, Counts>,
    judge: SequentialTest,
    verdict: Option<Verdict>,
    /// Time at which the verdict was set.
    decided_at: Instant,
    runners: usize,
    evaluate_at: Instant,
    report_at: Instant,
    write_at: Instant,
    reported: u64,
    sequence: u64,
}

impl Rollout {
    pub(super) fn new(
        now: Instant,
        me: Incarnation,
        revision: Revision,
        order: RolloutOrder,
        is_late: bool,
    ) -> Rollout {
        Rollout {
            me,
            revision,
            start: now,
            is_late,
            is_informed: !is_late,
            queries: 0,
            query_at: now,
            phase: CHART.initial(),
            replaced: None,
            recorded: None,
            recorded_at: now,
            collector: Collector::default(),
            waits: Waits::default(),
            pool: PooledEvidence::default(),
            bad: 0,
            routes: BTreeMap::new(),
            judge: SequentialTest::new(now, order.time),
            verdict: None,
            decided_at: now,
            runners: 0,
            evaluate_at: now,
            report_at: now,
            write_at: now,
            reported: 0,
            sequence: 0,
            order,
        }
    }

    pub(super) fn to(&self) -> &CompactString {
        &self.order.to
    }

    pub(super) fn set_ready_runners(&mut self, new: usize) {
        self.runners = new;
    }

    /// Applies a stored status. A status older than the order belongs to an earlier rollout.
    pub(super) fn apply_status(
        &mut self,
        now: Instant,
        revision: Revision,
        status: &RolloutStatus,
    ) {
        // A backup from before the order has the status of an earlier rollout, at a lower number.
        let Revision { era, number } = self.revision;
        let mine = revision.era >= era && revision.number > number && status.to == self.order.to;
        self.recorded = mine.then_some(status.phase);
        self.recorded_at = now;
        match status.phase {
            Phase::Completed if mine && self.phase == Phase::RolledBack => {
                self.transition(Signal::RecordedCompleted);
            }
            Phase::Completed if mine => self.transition(Signal::Proved),
            Phase::RolledBack if mine => self.transition(Signal::Rejected),
            _ => {}
        }
    }

    /// Records that there is no stored status.
    pub(super) fn remove_status(&mut self, now: Instant) {
        self.recorded = None;
        self.recorded_at = now;
    }

    /// Returns whether an order that was read at this revision needs no new rollout: it is outdated, or
    /// the store was restored and has the order of this rollout or of the one before it.
    pub(super) fn covers(&mut self, revision: Revision, order: &RolloutOrder) -> bool {
        if revision <= self.revision {
            return true;
        }
        if revision.era == self.revision.era {
            return false;
        }
        if *order == self.order {
            self.revision = revision;
            return true;
        }
        self.replaced
            .as_ref()
            .is_some_and(|(number, replaced)| *number == revision.number && replaced == order)
    }

    /// Records the rollout that this one replaces.
    pub(super) fn set_replaced(&mut self, former: &Rollout) {
        self.replaced = Some((former.revision.number, former.order.clone()));
    }

    /// Applies what happened to the first attempt of a request.
    pub(super) fn observe(&mut self, number: u64, event: &TrialEvent) {
        let id = self.id();
        if !matches!(event, TrialEvent::Started(start) if start.choice.id != Some(id)) {
            self.waits.observe(number, event, &mut self.collector, &self.routes);
        }
    }

    pub(super) fn handle_peer_update(&mut self, now: Instant, update: &MoveUpdate) {
        if update.id != self.id() {
            return;
        }
        if let Some(evidence) = &update.evidence {
            self.pool.merge(update.from, evidence);
        }
        self.set_bad(now, update.bad);
        self.set_elapsed(now, Duration::from_millis(update.elapsed_ms));
        if let Some(verdict) = &update.verdict {
            self.roll_back(now, verdict.clone());
        }
    }

    /// Returns what this node knows of the rollout.
    pub(super) fn answer_query(&self, now: Instant, query: &MoveQuery) -> Vec<MoveEvidence> {
        if query.id != self.id() {
            return Vec::new();
        }
        let own = (self.me, self.collector.evidence());
        let peers = self.pool.nodes().filter(|(node, _)| *node != self.me);
        let nodes: Vec<(Incarnation, Evidence)> =
            peers.chain([own]).map(|(node, evidence)| (node, evidence.clone())).collect();
        let count = nodes.len().div_ceil(EVIDENCE_BATCH);
        let message = |(index, nodes): (usize, &[(Incarnation, Evidence)])| MoveEvidence {
            entry: self.order.service.clone(),
            id: self.id(),
            is_complete: self.is_informed && index + 1 == count,
            elapsed_ms: self.elapsed_ms(now),
            bad: self.bad,
            nodes: nodes.to_vec(),
        };
        nodes.chunks(EVIDENCE_BATCH).enumerate().map(message).collect()
    }

    pub(super) fn handle_peer_evidence(&mut self, now: Instant, evidence: &MoveEvidence) {
        if evidence.id != self.id() {
            return;
        }
        evidence.nodes.iter().for_each(|(node, evidence)| self.pool.merge(*node, evidence));
        self.set_bad(now, evidence.bad);
        self.set_elapsed(now, Duration::from_millis(evidence.elapsed_ms));
        self.is_informed |= evidence.is_complete;
    }

    /// Returns a query for the evidence of processes that have ended, if one is due.
    fn query(&mut self, now: Instant) -> Option<Action> {
        if self.is_informed || self.phase != Phase::Canary || now < self.query_at {
            return None;
        }
        if self.queries == MAX_QUERIES {
            log::info!(service = self.order.service.as_str(), to = self.order.to.as_str();
                "no peer knows the evidence of processes that have ended");
            self.is_informed = true;
            return None;
        }
        self.query_at = now + QUERY_INTERVAL;
        self.queries += 1;
        let query = MoveQuery { entry: self.order.service.clone(), id: self.id() };
        Some(Action::Query { query, attempt: self.queries - 1 })
    }

    pub(super) fn split(&self) -> Split {
        let rule = match self.phase {
            Phase::Canary if self.is_paused() => Rule::OnlyOld,
            Phase::Canary => Rule::Canary,
            Phase::Completed => Rule::OnlyNew,
            Phase::RolledBack => Rule::OnlyOld,
        };
        let (has_slack, is_rejected) = (!self.is_late, self.phase == Phase::RolledBack);
        Split { id: self.id(), to: self.order.to.clone(), rule, has_slack, is_rejected }
    }

    pub(super) fn tick(&mut self, now: Instant, rank: usize, nodes: usize) -> Vec<Action> {
        self.evaluate(now, nodes);
        let report = self.report(now).map(Action::Broadcast);
        let query = self.query(now);
        let write = self.write(now, rank);
        report.into_iter().chain(query).chain(write).collect()
    }

    /// Returns the id, which is the same in all eras of a store that keeps the order.
    fn id(&self) -> MoveId {
        MoveId(xxh64(self.order.to.as_bytes(), self.revision.number))
    }

    fn transition(&mut self, signal: Signal) {
        let Some(next) = CHART.next(self.phase, signal) else { return };
        log::info!(service = self.order.service.as_str(), to = self.order.to.as_str(),
            served = self.served(), bad = self.bad, known_bad = self.pool.bad(),
            control = self.routes.values().map(|counts| counts.control).sum::<u32>(),
            waiting = self.waits.waiting();
            "rollout phase changed from {:?} to {next:?}", self.phase);
        self.phase = next;
    }

    fn roll_back(&mut self, now: Instant, verdict: Verdict) {
        if self.phase == Phase::Canary {
            log::warn!(service = self.order.service.as_str(), to = self.order.to.as_str(),
                route = verdict.route.as_str(); "rollout rolled back: {:?}", verdict.cause);
            self.transition(Signal::Rejected);
            self.verdict = Some(verdict);
            self.decided_at = now;
            self.report_at = now;
        }
    }

    /// Applies the time since the order that a peer knows; nodes that started later know less.
    fn set_elapsed(&mut self, now: Instant, elapsed: Duration) {
        if let Some(start) = now.checked_sub(elapsed.min(self.order.time)) {
            self.start = self.start.min(start);
        }
    }

    /// Raises the number of bad requests of the new version to the one that a node knows.
    fn set_bad(&mut self, now: Instant, bad: u32) {
        let was_paused = self.is_paused();
        self.bad = self.bad.max(bad);
        if self.is_paused() && !was_paused {
            log::warn!(service = self.order.service.as_str(), to = self.order.to.as_str(),
                served = self.served(), bad = self.bad; "requests to the new version paused");
            self.report_at = now;
        }
    }

    /// Returns whether the new version gets no requests until there is a verdict or the deadline is near.
    fn is_paused(&self) -> bool {
        self.bad >= MAX_BAD
    }

    fn evaluate(&mut self, now: Instant, nodes: usize) {
        if now < self.evaluate_at || self.phase != Phase::Canary {
            return;
        }
        self.evaluate_at = now + EVALUATE_INTERVAL;
        self.waits.judge(now, &mut self.collector, &self.routes);
        self.pool.merge(self.me, self.collector.evidence());
        if let Some(routes) = self.pool.take_changed() {
            self.routes = routes;
        }
        self.set_bad(now, self.pool.bad());
        let found = self.judge.evaluate(now, &self.routes, nodes);
        let found = found.map(|found| (found.cause, found.route));
        let is_last_look = self.is_paused() || now >= self.at(COMPLETE_SHARE);
        let compare = || is_last_look.then(|| comparison::find_worse(&self.routes)).flatten();
        if let Some((cause, route)) = found.or_else(compare) {
            return self.roll_back(now, Verdict { cause, route, node: self.me });
        }
        if now >= self.at(FINAL_SHARE)
            && self.is_informed
            && !self.is_healthy(now, self.final_need())
        {
            let route = CompactString::default();
            self.roll_back(now, Verdict { cause: Cause::Deadline, route, node: self.me });
        }
    }

    /// Returns whether the new version has runners, is not suspect, and has finished at least
    /// `need` requests.
    fn is_healthy(&self, now: Instant, need: u32) -> bool {
        // A node that has restarted may lack the evidence for which the requests were paused.
        let suspect = match self.is_paused() {
            true => self.pool.bad() < MAX_BAD,
            false => self.judge.is_suspect(now) && self.is_worse(),
        };
        let is_favourable = comparison::is_favourable(&self.routes);
        let has_evidence = self.is_judged() && is_favourable && self.served() >= need;
        self.is_informed && self.runners > 0 && !suspect && has_evidence
    }

    /// Returns whether the new version has more than its share of bad events. An outage behind the
    /// runners affects both versions alike. Lost responses have too many other causes for this.
    fn is_worse(&self) -> bool {
        let part = CANARY_SHARE.fraction() * TOLERANCE;
        let excess = |t: &Tally| f64::from(t.new) > f64::from(t.old + t.new) * part + CHANCE_EVENTS;
        let is_caused = |(_, cause): &(&Tally, Cause)| *cause != Cause::Lost;
        let caused = |counts: &Counts| {
            counts.bad.iter().zip(CAUSES).filter(is_caused).any(|(t, _)| excess(t))
        };
        self.routes.values().any(caused)
    }

    /// Returns the number of finished requests of the new version that are required at [`FINAL_SHARE`].
    fn final_need(&self) -> u32 {
        let control: u32 = self.routes.values().map(|counts| counts.control).sum();
        let need = f64::from(control) * MIN_FINISHED_SHARE;
        (need as u32).clamp(1, MIN_FINISHED_FINAL)
    }

    /// Returns whether the wait of a request of the new version is judged, if those of the old one are.
    fn is_judged(&self) -> bool {
        let judged = |index: usize| self.routes.values().map(|c| c.judged[index]).sum::<u32>();
        judged(0) == 0 || judged(1) > 0
    }

    /// Returns the number of finished requests of the new version on all nodes.
    fn served(&self) -> u32 {
        self.routes.values().map(|c| c.new).sum()
    }

    fn at(&self, part: f64) -> Instant {
        self.start + self.order.time.mul_f64(part)
    }

    fn report(&mut self, now: Instant) -> Option<MoveUpdate> {
        let sequence = self.collector.evidence().sequence;
        let open = self.phase == Phase::Canary || !self.is_over();
        if now < self.report_at || !open || (sequence == self.reported && self.verdict.is_none()) {
            return None;
        }
        self.report_at = now + REPORT_INTERVAL;
        self.reported = sequence;
        Some(self.update(now))
    }

    /// Returns a message with this node's last results, unless peers know them.
    pub(super) fn last_update(&mut self, now: Instant) -> Option<MoveUpdate> {
        let sequence = self.collector.evidence().sequence;
        let is_due = self.phase == Phase::Canary && sequence != self.reported;
        is_due.then(|| self.update(now))
    }

    fn update(&mut self, now: Instant) -> MoveUpdate {
        self.sequence += 1;
        MoveUpdate {
            from: self.me,
            sequence: self.sequence,
            acks: Vec::new(),
            entry: self.order.service.clone(),
            id: self.id(),
            verdict: self.verdict.clone(),
            evidence: Some(self.collector.evidence().clone()),
            elapsed_ms: self.elapsed_ms(now),
            bad: self.bad,
        }
    }

    /// Returns the time since the order in milliseconds, as far as this node knows.
    fn elapsed_ms(&self, now: Instant) -> u64 {
        (now - self.start).as_millis() as u64
    }

    /// Returns whether a final status is stored.
    fn is_over(&self) -> bool {
        matches!(self.recorded, Some(Phase::Completed | Phase::RolledBack))
    }

    /// Returns the write of a status, if one is due and it is this node's turn.
    fn write(&mut self, now: Instant, rank: usize) -> Option<Action> {
        let (phase, due) = self.due(now)?;
        let due = due.max(self.recorded_at);
        if self.is_over()
            || now < due + WRITER_STAGGER * rank.min(MAX_STAGGERS) as u32
            || now < self.write_at
        {
            return None;
        }
        self.write_at = now + WRITE_RETRY_DELAY;
        let RolloutOrder { service, to, .. } = self.order.clone();
        Some(Action::Write(RolloutStatus { service, to, phase }))
    }

    /// Returns the phase that should be stored, with the time since when.
    fn due(&self, now: Instant) -> Option<(Phase, Instant)> {
        match self.phase {
            // The store lost the status. Leaves time to read a new order that another node follows.
            Phase::Completed => Some((Phase::Completed, self.recorded_at + WRITER_STAGGER)),
            Phase::RolledBack => Some((Phase::RolledBack, self.decided_at)),
            Phase::Canary
                if now >= self.at(FINAL_SHARE) && self.is_healthy(now, self.final_need()) =>
            {
                Some((Phase::Completed, self.at(FINAL_SHARE)))
            }
            Phase::Canary
                if now >= self.at(COMPLETE_SHARE) && self.is_healthy(now, MIN_FINISHED) =>
            {
                Some((Phase::Completed, self.at(COMPLETE_SHARE)))
            }
            Phase::Canary if self.recorded.is_none() => Some((Phase::Canary, self.start)),
            Phase::Canary => None,
        }
    }
}
