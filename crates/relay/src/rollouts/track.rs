//! State machine of one rollout.

use {
    super::{Record, RolloutOrder, exposure::SHARE},
    crate::view::{Rule, Split},
    bilberryfront_decide::{
        chart::Chart,
        id::Incarnation,
        mover::{
            MoveId, MoveUpdate, Sample,
            evidence::{Collector, Counts, PooledEvidence, TOLERANCE, Tally},
            standing::{Cause, Verdict},
            verdict::SequentialTest,
        },
    },
    compact_str::CompactString,
    serde::Deserialize,
    std::{collections::BTreeMap, sync::LazyLock, time::Duration},
    tokio::time::Instant,
};

static CHART: LazyLock<Chart<Phase, Signal>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../../charts/rollout.json"))
        .expect("charts/rollout.json is whole")
});

/// Share of the time after which a healthy version is completed; the rest covers the write and a
/// fail-over of the writer.
const DECIDE: f64 = 0.85;
/// Share of the time after which it is completed with little evidence, or rolled back.
const LAST_CALL: f64 = 0.94;
/// Finished requests of the new version required at [`DECIDE`].
const NEED: u32 = 12;
/// Bad events beyond its share that are attributed to chance.
const CHANCE: f64 = 2.0;
/// Evaluation interval.
const EVALUATE_EVERY: Duration = Duration::from_millis(200);
/// Interval of messages to peers.
const REPORT_EVERY: Duration = Duration::from_millis(400);
/// Delay between the writers' turns.
const WRITER_STAGGER: Duration = Duration::from_millis(300);
/// Delay before a write is retried.
const RETRY: Duration = Duration::from_millis(700);

/// Phase; see `charts/rollout.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The new version gets a bounded share.
    Canary,
    /// The new version gets everything; the old runners stop.
    Completed,
    /// The new version gets nothing.
    RolledBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Signal {
    /// Stored as completed.
    Proved,
    /// Found bad, or stored as rolled back.
    Rejected,
    /// Stored as completed before this node found it bad.
    RecordedCompleted,
}

/// A side effect of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write this status if the stored one has revision `expected` (0: none).
    Write {
        /// Status.
        record: Record,
        /// Expected revision.
        expected: u64,
    },
    /// Send to all peers.
    Tell(MoveUpdate),
}

pub(super) struct Track {
    me: Incarnation,
    revision: u64,
    order: RolloutOrder,
    start: Instant,
    phase: Phase,
    /// Revision of the stored status, and its phase if it belongs to this rollout.
    recorded: (u64, Option<Phase>),
    collector: Collector,
    pool: PooledEvidence,
    routes: BTreeMap<CompactString, Counts>,
    judge: SequentialTest,
    verdict: Option<Verdict>,
    /// Time of the verdict.
    decided_at: Instant,
    runners: usize,
    evaluate_at: Instant,
    report_at: Instant,
    write_at: Instant,
    reported: u64,
    sequence: u64,
}

impl Track {
    pub(super) fn new(now: Instant, me: Incarnation, revision: u64, order: RolloutOrder) -> Track {
        Track {
            me,
            revision,
            start: now,
            phase: CHART.initial(),
            recorded: (0, None),
            collector: Collector::default(),
            pool: PooledEvidence::default(),
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

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn to(&self) -> &CompactString {
        &self.order.to
    }

    pub(super) fn runners(&mut self, new: usize) {
        self.runners = new;
    }

    /// Applies a stored status; one older than the order belongs to an earlier rollout.
    pub(super) fn record(&mut self, revision: u64, record: &Record) {
        let mine = revision > self.revision && record.to == self.order.to;
        self.recorded = (revision, mine.then_some(record.phase));
        match record.phase {
            Phase::Completed if mine && self.phase == Phase::RolledBack => {
                self.transition(Signal::RecordedCompleted);
            }
            Phase::Completed if mine => self.transition(Signal::Proved),
            Phase::RolledBack if mine => self.transition(Signal::Rejected),
            _ => {}
        }
    }

    pub(super) fn observe(&mut self, sample: &Sample<'_>) {
        if sample.choice.id == Some(self.id()) {
            self.collector.observe(sample, &self.routes);
        }
    }

    pub(super) fn handle_peer_update(&mut self, now: Instant, news: &MoveUpdate) {
        if news.id != self.id() {
            return;
        }
        if let Some(evidence) = &news.evidence {
            self.pool.merge(news.from, evidence);
        }
        if let Some(verdict) = &news.verdict {
            self.roll_back(now, verdict.clone());
        }
    }

    pub(super) fn split(&self) -> Split {
        let rule = match self.phase {
            Phase::Canary => Rule::Trial,
            Phase::Completed => Rule::New,
            Phase::RolledBack => Rule::Old,
        };
        Split { id: self.id(), to: self.order.to.clone(), rule }
    }

    pub(super) fn tick(&mut self, now: Instant, rank: usize, nodes: usize) -> Vec<Action> {
        self.evaluate(now, nodes);
        let report = self.report(now).map(Action::Tell);
        let write = self.write(now, rank);
        report.into_iter().chain(write).collect()
    }

    fn id(&self) -> MoveId {
        MoveId(self.revision)
    }

    fn transition(&mut self, signal: Signal) {
        let Some(next) = CHART.next(self.phase, signal) else { return };
        log::info!(service = self.order.service.as_str(), to = self.order.to.as_str(),
            served = self.served(); "rollout phase changed from {:?} to {next:?}", self.phase);
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

    fn evaluate(&mut self, now: Instant, nodes: usize) {
        if now < self.evaluate_at || self.phase != Phase::Canary {
            return;
        }
        self.evaluate_at = now + EVALUATE_EVERY;
        self.pool.merge(self.me, self.collector.evidence());
        if let Some(routes) = self.pool.take_changed() {
            self.routes = routes;
        }
        let found = self.judge.evaluate(now, &self.routes, nodes);
        if let Some(found) = found {
            let verdict = Verdict { cause: found.cause, route: found.route, node: self.me };
            return self.roll_back(now, verdict);
        }
        if now >= self.at(LAST_CALL) && !self.is_healthy(now, 1) {
            let route = CompactString::default();
            self.roll_back(now, Verdict { cause: Cause::Deadline, route, node: self.me });
        }
    }

    /// Whether the new version is healthy on at least `need` requests.
    fn is_healthy(&self, now: Instant, need: u32) -> bool {
        let suspect = self.judge.is_suspect(now) && self.is_worse();
        self.runners > 0 && !suspect && self.served() >= need
    }

    /// Whether the new version has more than its share of bad events; a shared outage affects both
    /// versions alike.
    fn is_worse(&self) -> bool {
        let part = SHARE.fraction() * TOLERANCE;
        let excess = |t: &Tally| f64::from(t.new) > f64::from(t.old + t.new) * part + CHANCE;
        self.routes.values().any(|counts| counts.bad.iter().any(excess))
    }

    /// Finished requests of the new version on all nodes.
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
        self.report_at = now + REPORT_EVERY;
        self.reported = sequence;
        self.sequence += 1;
        Some(MoveUpdate {
            from: self.me,
            sequence: self.sequence,
            acks: Vec::new(),
            entry: self.order.service.clone(),
            id: self.id(),
            verdict: self.verdict.clone(),
            evidence: Some(self.collector.evidence().clone()),
        })
    }

    /// Whether a final status is stored.
    fn is_over(&self) -> bool {
        matches!(self.recorded.1, Some(Phase::Completed | Phase::RolledBack))
    }

    /// The status to be written, if it is this node's turn.
    fn write(&mut self, now: Instant, rank: usize) -> Option<Action> {
        let (phase, due) = self.due(now)?;
        if self.is_over() || now < due + WRITER_STAGGER * rank as u32 || now < self.write_at {
            return None;
        }
        self.write_at = now + RETRY;
        let RolloutOrder { service, to, .. } = self.order.clone();
        let record = Record { service, to, phase };
        Some(Action::Write { record, expected: self.recorded.0 })
    }

    /// The status that should be stored, and since when.
    fn due(&self, now: Instant) -> Option<(Phase, Instant)> {
        match self.phase {
            Phase::Completed => None,
            Phase::RolledBack => Some((Phase::RolledBack, self.decided_at)),
            Phase::Canary if now >= self.at(LAST_CALL) && self.is_healthy(now, 1) => {
                Some((Phase::Completed, self.at(LAST_CALL)))
            }
            Phase::Canary if now >= self.at(DECIDE) && self.is_healthy(now, NEED) => {
                Some((Phase::Completed, self.at(DECIDE)))
            }
            Phase::Canary if self.recorded.1.is_none() => Some((Phase::Canary, self.start)),
            Phase::Canary => None,
        }
    }
}
