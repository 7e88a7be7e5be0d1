//! State of one entry's move at one node.

use {
    super::{
        Context, MoveError, Output,
        evidence::{Collector, Counts, PooledEvidence, Sample},
        lease::Lease,
        pending::PendingRequest,
        record::{MoveId, MoveRow},
        split::Split,
        standing::{Cause, Standing, Verdict},
        units::{Millis, Share},
        update::{BROADCAST_INTERVAL, Freshness, MoveUpdate, Verdicts},
        verdict::SequentialTest,
    },
    crate::id::Incarnation,
    compact_str::CompactString,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Time after which a response of the table is considered lost.
const TABLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of evaluations of the evidence.
const EVALUATE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum share while the new version is suspect.
const SUSPECT_SHARE: Share = Share(2_500);
/// Delay after the deadline at which nodes without the lease roll the move back.
const DEADLINE_GRACE_MS: Millis = 30_000;
/// Window over which the request rate is measured. At a few requests per second in total, a shorter
/// window would be too noisy.
const RATE_WINDOW: Duration = Duration::from_secs(120);

/// A move that was requested by an operator and is not yet known to be in the table.
#[derive(Clone, Debug)]
pub(super) struct PendingStart {
    pub(super) row: MoveRow,
    /// Revision of the row at the time of the request. The write is conditional on it, so that a
    /// start whose response was lost can't revive a move that was rolled back meanwhile.
    pub(super) revision: u64,
}

/// State of one entry's move at this node.
#[derive(Clone, Debug)]
pub(super) struct Track {
    pub(super) entry: CompactString,
    /// Version named by the catalogue.
    pub(super) version: CompactString,
    /// Live runners of the old and the new version.
    pub(super) runner_counts: Option<[u32; 2]>,
    /// Latest known row of the move.
    pub(super) row: Option<MoveRow>,
    /// Latest known revision of the row, 0 if there is none; `None` before the first read.
    pub(super) revision: Option<u64>,
    /// Join of the row's progress and the known verdicts.
    pub(super) standing: Standing,
    /// Start of the current step; reset while the new version is suspect.
    pub(super) step_since: Instant,
    /// Value of [`Track::served`] at `step_since`.
    pub(super) served_before_step: u32,
    pub(super) lease: Lease,
    pub(super) freshness: Freshness,
    pub(super) test: SequentialTest,
    pub(super) pending_start: Option<PendingStart>,
    pool: PooledEvidence,
    /// Sum of the evidence of all nodes by route.
    pub(super) routes: BTreeMap<CompactString, Counts>,
    collector: Collector,
    verdicts: Verdicts,
    pub(super) pending: Option<PendingRequest>,
    pub(super) poll_at: Instant,
    evaluate_at: Instant,
    broadcast_at: Instant,
    /// Sequence number of the evidence in the last message.
    sent_evidence: u64,
    /// Start of the current window, its requests so far, and the rate of the previous one.
    rate_window: (Instant, u32, f64),
}

impl Track {
    pub(super) fn new(now: Instant, entry: CompactString, peers: &[Incarnation]) -> Track {
        let mut freshness = Freshness::default();
        freshness.set_peers(peers);
        Track {
            entry,
            version: CompactString::default(),
            runner_counts: None,
            row: None,
            revision: None,
            standing: Standing::Adopted,
            step_since: now,
            served_before_step: 0,
            lease: Lease::default(),
            freshness,
            test: SequentialTest::new(now, Duration::ZERO),
            pending_start: None,
            pool: PooledEvidence::default(),
            routes: BTreeMap::new(),
            collector: Collector::default(),
            verdicts: Verdicts::default(),
            pending: None,
            poll_at: now,
            evaluate_at: now,
            broadcast_at: now,
            sent_evidence: 0,
            rate_window: (now, 0, 0.0),
        }
    }

    /// Returns the move that is in progress, or settled but not yet adopted.
    pub(super) fn active(&self) -> Option<&MoveRow> {
        self.row.as_ref().filter(|_| !self.standing.is_final())
    }

    /// Returns the request rate at this node, per second.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        let (since, count, rate) = self.rate_window;
        let span = now - since;
        let use_previous = rate > 0.0 && span < RATE_WINDOW;
        if use_previous { rate } else { f64::from(count) / span.as_secs_f64().max(1.0) }
    }

    /// Returns the traffic split; `None` if the catalogue's version receives every request.
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
                let is_suspect = self.test.is_suspect(now);
                let share = if is_suspect { share.min(SUSPECT_SHARE) } else { share };
                Some(split(share, Some(self.freshness.valid_until()?)))
            }
            Standing::Settled => Some(split(Share::ALL, None)),
            Standing::Adopted => None,
            // A version that was rolled back receives no requests until another move introduces it,
            // even if the catalogue was changed to it just before.
            Standing::TakenBack(_) if self.version == moved.to => Some(split(Share::NONE, None)),
            Standing::TakenBack(_) => None,
        }
    }

    /// Records a request that ended.
    pub(super) fn observe(&mut self, now: Instant, sample: &Sample<'_>) {
        let (since, count, _) = &mut self.rate_window;
        *count += 1;
        let span = now - *since;
        if span >= RATE_WINDOW {
            self.rate_window = (now, 0, f64::from(*count) / span.as_secs_f64());
        }
        if sample.choice.id == self.active().map(|r| r.moved.id) {
            self.collector.observe(sample, &self.routes);
        }
    }

    /// Applies the move's row at this revision, unless it is known or outdated.
    pub(super) fn apply_row(
        &mut self,
        now: Instant,
        wall: Millis,
        revision: u64,
        row: Option<MoveRow>,
    ) {
        if self.revision.is_some_and(|known| revision <= known) {
            return;
        }
        self.revision = Some(revision);
        let Some(row) = row else { return };
        let id = row.moved.id;
        let is_same = self.row.as_ref().is_some_and(|r| r.moved.id == id);
        let before = self.standing.clone();
        if !is_same {
            self.pool = PooledEvidence::default();
            self.collector.reset();
            self.sent_evidence = 0;
            self.test = SequentialTest::new(now, millis(row.moved.by.saturating_sub(wall)));
            self.routes.clear();
            self.standing = Standing::Moving(0);
        }
        self.standing = self.standing.clone().join(row.standing.clone());
        self.row = Some(row);
        self.apply_verdict(id);
        if !is_same || self.standing != before {
            self.step_since = now;
            self.served_before_step = self.served();
        }
    }

    /// Returns the result of a start, once it is known.
    pub(super) fn start_result(&self, id: MoveId) -> Option<super::Result<()>> {
        let start = self.pending_start.as_ref()?;
        let row = self.row.as_ref()?;
        if row.moved.id == id {
            return Some(Ok(()));
        }
        let is_overtaken = self.revision.is_some_and(|r| r > start.revision);
        is_overtaken.then_some(Err(MoveError::Other(row.moved.id)))
    }

    /// Returns the catalogue change for a settled move, if it is still due and this node holds the
    /// lease.
    pub(super) fn adoption(&self, now: Instant, me: Incarnation) -> Option<Output> {
        let row = self.row.as_ref().filter(|_| self.standing == Standing::Settled)?;
        let is_due = self.version != row.moved.to && self.lease.fence(now, me).is_some();
        is_due.then(|| Output::Adopt { entry: self.entry.clone(), version: row.moved.to.clone() })
    }

    /// Returns the number of requests that ended on the new version, at all nodes.
    pub(super) fn served(&self) -> u32 {
        self.routes.values().map(|c| c.new).sum()
    }

    fn apply_verdict(&mut self, id: MoveId) {
        if let Some(verdict) = self.verdicts.get(id) {
            let taken_back = Standing::TakenBack(verdict.clone());
            self.standing = self.standing.clone().join(taken_back);
        }
    }

    /// Rolls the move back, effective immediately at this node. Peers and the table are updated
    /// afterwards.
    pub(super) fn take_back(&mut self, now: Instant, verdict: &Verdict) {
        let Some(id) = self.row.as_ref().map(|r| r.moved.id) else { return };
        if self.verdicts.add(id, verdict) {
            self.apply_verdict(id);
            self.broadcast_at = now;
        }
    }

    /// Handles a peer's message.
    pub(super) fn receive(&mut self, now: Instant, me: Incarnation, update: &MoveUpdate) {
        self.freshness.receive(me, update);
        let is_current = self.row.as_ref().is_some_and(|r| r.moved.id == update.id);
        if let Some(verdict) = &update.verdict
            && self.verdicts.add(update.id, verdict)
        {
            self.broadcast_at = now;
        }
        if !is_current {
            self.poll_at = self.poll_at.min(now);
            return;
        }
        self.apply_verdict(update.id);
        if let Some(evidence) = &update.evidence {
            self.pool.merge(update.from, evidence);
        }
    }

    /// Performs due work.
    pub(super) fn tick(&mut self, now: Instant, context: &mut Context, out: &mut Vec<Output>) {
        if self.pending.as_ref().is_some_and(|p| now >= p.sent_at + TABLE_TIMEOUT) {
            self.pending = None;
            self.poll_at = now;
        }
        self.evaluate(now, context);
        self.broadcast(now, context.me, out);
        if self.pending.is_none() {
            self.sync(now, context, out);
        }
    }

    /// Evaluates the evidence and the deadline, and rolls the move back if necessary.
    fn evaluate(&mut self, now: Instant, context: &Context) {
        let Some(row) = self.active() else { return };
        let by = row.moved.by;
        if now >= self.evaluate_at {
            self.evaluate_at = now + EVALUATE_INTERVAL;
            self.pool.merge(context.me, self.collector.evidence());
            if let Some(routes) = self.pool.take_changed() {
                self.routes = routes;
            }
            let finding = self.test.evaluate(now, &self.routes, self.freshness.nodes());
            if self.test.is_suspect(now) {
                self.step_since = now;
                self.served_before_step = self.served();
            }
            if let Some(finding) = finding {
                let verdict =
                    Verdict { cause: finding.cause, route: finding.route, node: context.me };
                self.take_back(now, &verdict);
            }
        }
        let is_holder = self.lease.fence(now, context.me).is_some();
        let grace = if is_holder { 0 } else { DEADLINE_GRACE_MS };
        if context.wall_at(now) >= by + grace && matches!(self.standing, Standing::Moving(_)) {
            let route = CompactString::default();
            self.take_back(now, &Verdict { cause: Cause::Deadline, route, node: context.me });
        }
    }

    /// Sends a message to the peers if one is due. Stops once the table holds the final state.
    fn broadcast(&mut self, now: Instant, me: Incarnation, out: &mut Vec<Output>) {
        let Some(row) = &self.row else { return };
        let is_over = self.standing == Standing::Adopted || self.is_recorded();
        if now < self.broadcast_at || is_over {
            return;
        }
        let id = row.moved.id;
        self.broadcast_at = now + BROADCAST_INTERVAL;
        let (sequence, acks) = self.freshness.next_message(now);
        let evidence = self.collector.evidence();
        let has_changed = evidence.sequence > self.sent_evidence;
        self.sent_evidence = evidence.sequence;
        out.push(Output::Broadcast(MoveUpdate {
            from: me,
            sequence,
            acks,
            entry: self.entry.clone(),
            id,
            verdict: self.standing.verdict().cloned(),
            evidence: has_changed.then(|| evidence.clone()),
            elapsed_ms: 0,
            bad: self.pool.bad(),
        }));
    }

    /// Returns whether the table holds the verdict on this move.
    fn is_recorded(&self) -> bool {
        self.row.as_ref().is_some_and(|r| r.standing.verdict().is_some())
    }
}

fn millis(time: Millis) -> Duration {
    Duration::from_millis(time)
}
