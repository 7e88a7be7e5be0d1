//! One entry's move as one node sees it.

use {
    super::{
        MoveError, Output, Table,
        asked::Asked,
        evidence::{Collector, Counts, PooledEvidence, Sample},
        lease::Lease,
        record::{MoveId, MoveRow},
        split::Split,
        standing::{Cause, Standing, Verdict},
        units::{Millis, Share},
        update::{Freshness, MoveUpdate, TELL, Verdicts},
        verdict::SequentialTest,
    },
    crate::id::Incarnation,
    compact_str::CompactString,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// When an answer of the table counts as lost.
const LOST: Duration = Duration::from_secs(2);
/// Shortest time between two looks at the evidence.
const LOOK: Duration = Duration::from_millis(200);
/// Largest share while the new version is suspected.
const SUSPECT_SHARE: Share = Share(2_500);
/// How long after the deadline other nodes than the holder take a move back.
const LATE_GRACE: Millis = 30_000;
/// Span over which requests a second are counted: at a few a second in all, a shorter one is noise.
const RATE_SPAN: Duration = Duration::from_secs(120);

/// A move that an operator wants and that isn't known to be in the table yet.
#[derive(Clone, Debug)]
pub(super) struct Wanted {
    pub(super) row: MoveRow,
    /// Revision that the row had when the operator asked. Written at no other, so that a start
    /// whose answer was lost can't bring back a move that was taken back meanwhile.
    pub(super) revision: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Track {
    pub(super) entry: CompactString,
    pub(super) version: CompactString,
    pub(super) fleet: Option<[u32; 2]>,
    pub(super) row: Option<MoveRow>,
    pub(super) revision: Option<u64>,
    pub(super) standing: Standing,
    pub(super) step_since: Instant,
    pub(super) step_base: u32,
    pub(super) lease: Lease,
    pub(super) fresh: Freshness,
    pub(super) judge: SequentialTest,
    pub(super) wanted: Option<Wanted>,
    pool: PooledEvidence,
    pub(super) routes: BTreeMap<CompactString, Counts>,
    collector: Collector,
    verdicts: Verdicts,
    pub(super) asked: Option<Asked>,
    pub(super) poll_at: Instant,
    look_at: Instant,
    tell_at: Instant,
    reported: u64,
    counted: (Instant, u32, f64),
}

impl Track {
    pub(super) fn new(now: Instant, entry: CompactString, peers: &[Incarnation]) -> Track {
        let mut fresh = Freshness::default();
        fresh.set_peers(peers);
        Track {
            entry,
            version: CompactString::default(),
            fleet: None,
            row: None,
            revision: None,
            standing: Standing::Adopted,
            step_since: now,
            step_base: 0,
            lease: Lease::default(),
            fresh,
            judge: SequentialTest::new(now, Duration::ZERO),
            wanted: None,
            pool: PooledEvidence::default(),
            routes: BTreeMap::new(),
            collector: Collector::default(),
            verdicts: Verdicts::default(),
            asked: None,
            poll_at: now,
            look_at: now,
            tell_at: now,
            reported: 0,
            counted: (now, 0, 0.0),
        }
    }

    /// The move under way or settled and not yet adopted.
    pub(super) fn active(&self) -> Option<&MoveRow> {
        self.row.as_ref().filter(|_| !self.standing.is_final())
    }

    /// Requests a second at this node.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        let (since, count, rate) = self.counted;
        let span = now - since;
        let whole = rate > 0.0 && span < RATE_SPAN;
        if whole { rate } else { f64::from(count) / span.as_secs_f64().max(1.0) }
    }

    pub(super) fn split(&self, now: Instant) -> Option<Split> {
        let moved = &self.row.as_ref()?.moved;
        let split = |share, until| Split {
            id: moved.id,
            from: moved.from.clone(),
            to: moved.to.clone(),
            share,
            until,
        };
        match &self.standing {
            Standing::Moving(_) => {
                let share = moved.share(&self.standing);
                let suspected = self.judge.is_suspect(now);
                let share = if suspected { share.min(SUSPECT_SHARE) } else { share };
                Some(split(share, Some(self.fresh.until()?)))
            }
            Standing::Settled => Some(split(Share::ALL, None)),
            Standing::Adopted => None,
            // A version that was taken back gets nothing until another move brings it in, also
            // where the catalogue was changed to it just before.
            Standing::TakenBack(_) if self.version == moved.to => Some(split(Share::NONE, None)),
            Standing::TakenBack(_) => None,
        }
    }

    pub(super) fn observe(&mut self, now: Instant, sample: &Sample<'_>) {
        let (since, count, _) = &mut self.counted;
        *count += 1;
        let span = now - *since;
        if span >= RATE_SPAN {
            self.counted = (now, 0, f64::from(*count) / span.as_secs_f64());
        }
        if sample.choice.id == self.active().map(|r| r.moved.id) {
            self.collector.observe(sample, &self.routes);
        }
    }

    /// Takes the move's row at this revision, unless a newer one is known.
    pub(super) fn see(&mut self, now: Instant, wall: Millis, revision: u64, row: Option<MoveRow>) {
        if self.revision.is_some_and(|known| revision <= known) {
            return;
        }
        self.revision = Some(revision);
        let Some(row) = row else { return };
        let id = row.moved.id;
        let same = self.row.as_ref().is_some_and(|r| r.moved.id == id);
        let before = self.standing.clone();
        if !same {
            self.pool = PooledEvidence::default();
            self.collector.renew();
            self.reported = 0;
            self.judge = SequentialTest::new(now, millis(row.moved.by.saturating_sub(wall)));
            self.routes.clear();
            self.standing = Standing::Moving(0);
        }
        self.standing = self.standing.clone().join(row.standing.clone());
        self.row = Some(row);
        self.join_verdict(id);
        if !same || self.standing != before {
            self.step_since = now;
            self.step_base = self.served();
        }
    }

    /// What came of a start, once that is known.
    pub(super) fn start_result(&self, id: MoveId) -> Option<super::Result<()>> {
        let wanted = self.wanted.as_ref()?;
        let row = self.row.as_ref()?;
        if row.moved.id == id {
            return Some(Ok(()));
        }
        let raced = self.revision.is_some_and(|r| r > wanted.revision);
        raced.then_some(Err(MoveError::Other(row.moved.id)))
    }

    /// Adoption of the new version by the catalogue, if this node holds the lease.
    pub(super) fn adoption(&self, now: Instant, me: Incarnation) -> Option<Output> {
        let row = self.row.as_ref().filter(|_| self.standing == Standing::Settled)?;
        let due = self.version != row.moved.to && self.lease.held(now, me).is_some();
        due.then(|| Output::Adopt { entry: self.entry.clone(), version: row.moved.to.clone() })
    }

    /// Requests that the new version ended, at all nodes.
    pub(super) fn served(&self) -> u32 {
        self.routes.values().map(|c| c.new).sum()
    }

    fn join_verdict(&mut self, id: MoveId) {
        if let Some(verdict) = self.verdicts.get(id) {
            let taken_back = Standing::TakenBack(verdict.clone());
            self.standing = self.standing.clone().join(taken_back);
        }
    }

    /// Takes the move back here and now; the table hears of it when it can.
    pub(super) fn take_back(&mut self, now: Instant, verdict: &Verdict) {
        let Some(id) = self.row.as_ref().map(|r| r.moved.id) else { return };
        if self.verdicts.add(id, verdict) {
            self.join_verdict(id);
            self.tell_at = now;
        }
    }

    pub(super) fn hear(&mut self, now: Instant, me: Incarnation, news: &MoveUpdate) {
        self.fresh.hear(me, news);
        let mine = self.row.as_ref().is_some_and(|r| r.moved.id == news.id);
        if let Some(verdict) = &news.verdict
            && self.verdicts.add(news.id, verdict)
        {
            self.tell_at = now;
        }
        if !mine {
            self.poll_at = self.poll_at.min(now);
            return;
        }
        self.join_verdict(news.id);
        if let Some(evidence) = &news.evidence {
            self.pool.merge(news.from, evidence);
        }
    }

    pub(super) fn tick(&mut self, now: Instant, table: &mut Table, out: &mut Vec<Output>) {
        if self.asked.as_ref().is_some_and(|a| now >= a.at + LOST) {
            self.asked = None;
            self.poll_at = now;
        }
        self.look(now, table);
        self.tell(now, table.me, out);
        if self.asked.is_none() {
            self.ask(now, table, out);
        }
    }

    fn look(&mut self, now: Instant, table: &Table) {
        let Some(row) = self.active() else { return };
        let by = row.moved.by;
        if now >= self.look_at {
            self.look_at = now + LOOK;
            self.pool.merge(table.me, self.collector.evidence());
            if let Some(routes) = self.pool.take_changed() {
                self.routes = routes;
            }
            let found = self.judge.evaluate(now, &self.routes, self.fresh.nodes());
            if self.judge.is_suspect(now) {
                self.step_since = now;
                self.step_base = self.served();
            }
            if let Some(found) = found {
                let verdict = Verdict { cause: found.cause, route: found.route, node: table.me };
                self.take_back(now, &verdict);
            }
        }
        let holds = self.lease.held(now, table.me).is_some();
        let grace = if holds { 0 } else { LATE_GRACE };
        if table.wall(now) >= by + grace && matches!(self.standing, Standing::Moving(_)) {
            let route = CompactString::default();
            self.take_back(now, &Verdict { cause: Cause::Deadline, route, node: table.me });
        }
    }

    fn tell(&mut self, now: Instant, me: Incarnation, out: &mut Vec<Output>) {
        let Some(row) = &self.row else { return };
        let over = self.standing == Standing::Adopted || self.is_recorded();
        if now < self.tell_at || over {
            return;
        }
        let id = row.moved.id;
        self.tell_at = now + TELL;
        let (sequence, acks) = self.fresh.send(now);
        let mine = self.collector.evidence();
        let changed = mine.sequence > self.reported;
        self.reported = mine.sequence;
        out.push(Output::Broadcast(MoveUpdate {
            from: me,
            sequence,
            acks,
            entry: self.entry.clone(),
            id,
            verdict: self.standing.verdict().cloned(),
            evidence: changed.then(|| mine.clone()),
        }));
    }

    /// Whether the table holds the verdict on this move.
    fn is_recorded(&self) -> bool {
        self.row.as_ref().is_some_and(|r| r.standing.verdict().is_some())
    }
}

fn millis(time: Millis) -> Duration {
    Duration::from_millis(time)
}
