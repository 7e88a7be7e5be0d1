//! One service's move as one node sees it.

use {
    super::{Order, Record, exposure::SHARE},
    crate::view::{Rule, Split},
    bilberryfront_decide::{
        chart::Chart,
        id::Incarnation,
        mover::{
            MoveId, PeerNews, Sample,
            evidence::{Collector, Counts, Pool, TOLERANCE, Tally},
            standing::{Cause, Verdict},
            verdict::Judge,
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

/// Part of the time after which a version that looks well is completed: what is left is for the write,
/// also when the first node to try it has just died.
const DECIDE: f64 = 0.85;
/// Part of the time after which it is completed with less evidence, or taken back.
const LAST_CALL: f64 = 0.94;
/// Requests of the new version that have ended before it is completed at [`DECIDE`].
const NEED: u32 = 12;
/// Bad events beyond its part that a version may have by chance.
const CHANCE: f64 = 2.0;
/// Shortest time between two looks at the evidence.
const LOOK: Duration = Duration::from_millis(200);
/// Time between two messages to peers while there is something new.
const TELL: Duration = Duration::from_millis(400);
/// Time for which the next node waits for the one before it to write.
const TURN: Duration = Duration::from_millis(300);
/// Time between two tries of the same write.
const RETRY: Duration = Duration::from_millis(700);

/// How far a move has come; see `charts/rollout.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The new version gets a bounded part.
    Trying,
    /// It gets every request; the old runners stop.
    Completed,
    /// It gets none any more.
    TakenBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Signal {
    /// The store says that it is completed.
    Proved,
    /// A node found it bad, or the store says that it was taken back.
    Judged,
    /// The store says that it was completed before this node found it bad.
    RecordedCompleted,
}

/// Something to be done for a move.
#[derive(Clone, Debug, PartialEq)]
pub enum Wish {
    /// Write this record, if the one that is there still has this version (0: none).
    Write {
        /// What to write.
        record: Record,
        /// Version that must be there.
        expected: u64,
    },
    /// Tell all peers.
    Tell(PeerNews),
}

pub(super) struct Track {
    me: Incarnation,
    revision: u64,
    order: Order,
    start: Instant,
    phase: Phase,
    /// Version of the newest record of the service, and whether it is of this move.
    recorded: (u64, Option<Phase>),
    collector: Collector,
    pool: Pool,
    routes: BTreeMap<CompactString, Counts>,
    judge: Judge,
    verdict: Option<Verdict>,
    /// When the verdict was known here.
    judged: Instant,
    runners: usize,
    look_at: Instant,
    tell_at: Instant,
    write_at: Instant,
    told: u64,
    sequence: u64,
}

impl Track {
    pub(super) fn new(now: Instant, me: Incarnation, revision: u64, order: Order) -> Track {
        Track {
            me,
            revision,
            start: now,
            phase: CHART.initial(),
            recorded: (0, None),
            collector: Collector::default(),
            pool: Pool::default(),
            routes: BTreeMap::new(),
            judge: Judge::new(now, order.time),
            verdict: None,
            judged: now,
            runners: 0,
            look_at: now,
            tell_at: now,
            write_at: now,
            told: 0,
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

    /// Takes what the store says. A record that is older than the order tells of an earlier move.
    pub(super) fn record(&mut self, revision: u64, record: &Record) {
        let mine = revision > self.revision && record.to == self.order.to;
        self.recorded = (revision, mine.then_some(record.phase));
        match record.phase {
            Phase::Completed if mine && self.phase == Phase::TakenBack => {
                self.follow(Signal::RecordedCompleted);
            }
            Phase::Completed if mine => self.follow(Signal::Proved),
            Phase::TakenBack if mine => self.follow(Signal::Judged),
            _ => {}
        }
    }

    pub(super) fn observe(&mut self, sample: &Sample<'_>) {
        if sample.choice.id == Some(self.id()) {
            self.collector.observe(sample, &self.routes);
        }
    }

    pub(super) fn hear(&mut self, now: Instant, news: &PeerNews) {
        if news.id != self.id() {
            return;
        }
        if let Some(evidence) = &news.evidence {
            self.pool.absorb(news.from, evidence);
        }
        if let Some(verdict) = &news.verdict {
            self.take_back(now, verdict.clone());
        }
    }

    pub(super) fn split(&self) -> Split {
        let rule = match self.phase {
            Phase::Trying => Rule::Trial,
            Phase::Completed => Rule::New,
            Phase::TakenBack => Rule::Old,
        };
        Split { id: self.id(), to: self.order.to.clone(), rule }
    }

    pub(super) fn tick(&mut self, now: Instant, rank: usize, nodes: usize) -> Vec<Wish> {
        self.look(now, nodes);
        let tell = self.tell(now).map(Wish::Tell);
        let write = self.write(now, rank);
        tell.into_iter().chain(write).collect()
    }

    fn id(&self) -> MoveId {
        MoveId(self.revision)
    }

    fn follow(&mut self, signal: Signal) {
        let Some(next) = CHART.next(self.phase, signal) else { return };
        log::info!(service = self.order.service.as_str(), to = self.order.to.as_str(),
            served = self.served(); "a version move went from {:?} to {next:?}", self.phase);
        self.phase = next;
    }

    fn take_back(&mut self, now: Instant, verdict: Verdict) {
        if self.phase == Phase::Trying {
            log::warn!(service = self.order.service.as_str(), to = self.order.to.as_str(),
                route = verdict.route.as_str(); "a version is taken back: {:?}", verdict.cause);
            self.follow(Signal::Judged);
            self.verdict = Some(verdict);
            self.judged = now;
            self.tell_at = now;
        }
    }

    fn look(&mut self, now: Instant, nodes: usize) {
        if now < self.look_at || self.phase != Phase::Trying {
            return;
        }
        self.look_at = now + LOOK;
        self.pool.absorb(self.me, self.collector.evidence());
        if let Some(routes) = self.pool.news() {
            self.routes = routes;
        }
        let found = self.judge.look(now, &self.routes, nodes);
        if let Some(found) = found {
            let verdict = Verdict { cause: found.cause, route: found.route, node: self.me };
            return self.take_back(now, verdict);
        }
        if now >= self.at(LAST_CALL) && !self.is_sound(now, 1) {
            let route = CompactString::default();
            self.take_back(now, Verdict { cause: Cause::Deadline, route, node: self.me });
        }
    }

    /// Whether the new version looks well, on at least `need` requests.
    fn is_sound(&self, now: Instant, need: u32) -> bool {
        let suspect = self.judge.suspects(now) && self.is_worse();
        self.runners > 0 && !suspect && self.served() >= need
    }

    /// Whether the new version has more than its part of the bad events, though that isn't proved. An
    /// outage behind the runners makes requests of both versions fail, each by its part.
    fn is_worse(&self) -> bool {
        let part = SHARE.fraction() * TOLERANCE;
        let excess = |t: &Tally| f64::from(t.new) > f64::from(t.old + t.new) * part + CHANCE;
        self.routes.values().any(|counts| counts.bad.iter().any(excess))
    }

    /// Requests that the new version has ended, at all nodes.
    fn served(&self) -> u32 {
        self.routes.values().map(|c| c.new).sum()
    }

    fn at(&self, part: f64) -> Instant {
        self.start + self.order.time.mul_f64(part)
    }

    fn tell(&mut self, now: Instant) -> Option<PeerNews> {
        let sequence = self.collector.evidence().sequence;
        let open = self.phase == Phase::Trying || !self.is_over();
        if now < self.tell_at || !open || (sequence == self.told && self.verdict.is_none()) {
            return None;
        }
        self.tell_at = now + TELL;
        self.told = sequence;
        self.sequence += 1;
        Some(PeerNews {
            from: self.me,
            sequence: self.sequence,
            acks: Vec::new(),
            entry: self.order.service.clone(),
            id: self.id(),
            verdict: self.verdict.clone(),
            evidence: Some(self.collector.evidence().clone()),
        })
    }

    /// Whether the store has a final word on this move.
    fn is_over(&self) -> bool {
        matches!(self.recorded.1, Some(Phase::Completed | Phase::TakenBack))
    }

    /// The record to be written now, if it is this node's turn.
    fn write(&mut self, now: Instant, rank: usize) -> Option<Wish> {
        let (phase, due) = self.due(now)?;
        if self.is_over() || now < due + TURN * rank as u32 || now < self.write_at {
            return None;
        }
        self.write_at = now + RETRY;
        let Order { service, to, .. } = self.order.clone();
        let record = Record { service, to, phase };
        Some(Wish::Write { record, expected: self.recorded.0 })
    }

    /// What the store should say, and since when.
    fn due(&self, now: Instant) -> Option<(Phase, Instant)> {
        match self.phase {
            Phase::Completed => None,
            Phase::TakenBack => Some((Phase::TakenBack, self.judged)),
            Phase::Trying if now >= self.at(LAST_CALL) && self.is_sound(now, 1) => {
                Some((Phase::Completed, self.at(LAST_CALL)))
            }
            Phase::Trying if now >= self.at(DECIDE) && self.is_sound(now, NEED) => {
                Some((Phase::Completed, self.at(DECIDE)))
            }
            Phase::Trying if self.recorded.1.is_none() => Some((Phase::Trying, self.start)),
            Phase::Trying => None,
        }
    }
}
