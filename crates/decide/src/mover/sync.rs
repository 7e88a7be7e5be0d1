//! Requests of a track to the table, and the handling of the responses.

use {
    super::{
        Context, Output,
        next::{Next, Progress, Waiting, progress},
        pending::{PendingCommit, PendingRequest},
        record::{MoveRow, lease_key, move_key},
        standing::Standing,
        track::Track,
        units::Millis,
    },
    bilberryfront_wire::table::{Commit, Committed, Read, Row, Rows, Write, Written},
    compact_str::CompactString,
    rand::Rng,
    std::time::Duration,
    tokio::time::Instant,
};

/// Interval of reads while a move is in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(750);
/// Interval of reads while no move is in progress.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(5);

impl Track {
    /// Sends the next request to the table, if one is due. Called while none is pending.
    pub(super) fn sync(&mut self, now: Instant, context: &mut Context, out: &mut Vec<Output>) {
        if now >= self.poll_at {
            return self.send_read(now, context, out);
        }
        if self.revision.is_none() {
            return;
        }
        let start = self.pending_start.as_ref().filter(|s| self.revision == Some(s.revision));
        if let Some(row) = start.map(|s| s.row.clone()) {
            return self.send_commit(now, context, Some(row), false, out);
        }
        let Some(row) = &self.row else { return };
        let row = row.clone();
        if self.standing.verdict().is_some() {
            if row.standing.verdict().is_none() {
                let row = self.changed_row(context.wall_at(now), &row, self.standing.clone());
                self.send_commit(now, context, Some(row), false, out);
            }
            return;
        }
        if self.standing == Standing::Adopted {
            return;
        }
        if self.lease.fence(now, context.me).is_some() {
            let to = match progress(self, now, context.wall_at(now)) {
                Progress { waiting: Waiting::Nothing, next: Next::Raise { step, .. } } => {
                    Some(Standing::Moving(step))
                }
                Progress { waiting: Waiting::Nothing, next: Next::Settle } => {
                    Some(Standing::Settled)
                }
                Progress { waiting: Waiting::Nothing, next: Next::Adopt } => {
                    Some(Standing::Adopted)
                }
                _ => None,
            };
            if let Some(standing) = to {
                let row = self.changed_row(context.wall_at(now), &row, standing);
                return self.send_commit(now, context, Some(row), true, out);
            }
        }
        if self.lease.is_due(now, context.me) {
            self.send_commit(now, context, None, true, out);
        }
    }

    fn changed_row(&self, wall: Millis, row: &MoveRow, standing: Standing) -> MoveRow {
        assert!(row.standing.allows(&standing), "{standing:?} after {:?}", row.standing);
        MoveRow { standing, since: wall, ..row.clone() }
    }

    fn send_read(&mut self, now: Instant, context: &mut Context, out: &mut Vec<Output>) {
        let idle = self.active().is_none() && self.pending_start.is_none();
        self.poll_at = now + if idle { IDLE_POLL_INTERVAL } else { POLL_INTERVAL };
        let number = context.next_number();
        self.pending = Some(PendingRequest { number, sent_at: now, commit: None });
        let keys = vec![move_key(&self.entry), lease_key(&self.entry)];
        out.push(Output::Read { number, read: Read { keys } });
    }

    /// Writes the move's row, the lease's row or both.
    ///
    /// A raise writes both rows atomically. Otherwise a holder that was paused between its check
    /// and its write could raise on outdated evidence after another node took over. The takeover
    /// changes the revision of the lease's row, so the whole commit is rejected.
    fn send_commit(
        &mut self,
        now: Instant,
        context: &mut Context,
        row: Option<MoveRow>,
        leased: bool,
        out: &mut Vec<Output>,
    ) {
        let row = row.map(|r| MoveRow { commit: context.rng.random(), ..r });
        let lease = leased.then(|| self.lease.prepare_write(now, context.me, context.rng.random()));
        let mut writes = Vec::new();
        if let Some(lease) = &lease {
            let value = serde_json::to_string(lease).expect("all keys are strings");
            let expect = Some(self.lease.revision());
            writes.push(Write { key: lease_key(&self.entry), expect, value: Some(value) });
        }
        if let Some(row) = &row {
            let value = Some(row.text());
            writes.push(Write { key: move_key(&self.entry), expect: self.revision, value });
        }
        let number = context.next_number();
        self.pending = Some(PendingRequest {
            number,
            sent_at: now,
            commit: Some(PendingCommit { row, lease }),
        });
        out.push(Output::Commit { number, commit: Commit { atomic: true, writes } });
    }

    /// Returns whether the request with this number is pending.
    pub(super) fn awaits(&self, number: u64) -> bool {
        self.pending.as_ref().is_some_and(|p| p.number == number)
    }

    /// Handles the response to a commit; `response` is `None` if it was lost.
    pub(super) fn handle_committed(
        &mut self,
        now: Instant,
        wall: Millis,
        response: Option<&Committed>,
    ) {
        let Some(PendingRequest { sent_at, commit: Some(commit), .. }) = self.pending.take() else {
            return;
        };
        let revisions =
            response.and_then(|r| r.results.iter().map(revision).collect::<Option<Vec<u64>>>());
        // The commit was rejected or its response was lost: a read tells which.
        let Some(revisions) = revisions else { return self.poll_at = now };
        let wrote_row = commit.row.is_some();
        let mut revisions = revisions.into_iter();
        if let (Some(lease), Some(revision)) =
            (commit.lease, commit.lease.and_then(|_| revisions.next()))
        {
            self.lease.observe(now, revision, Some(lease));
        }
        if let (Some(row), Some(revision)) = (commit.row, revisions.next()) {
            self.apply_row(now, wall, revision, Some(row));
        }
        // A write of the lease alone doesn't reveal the state of the move's row. If it extended the
        // share, a node that had been partitioned would, after renewing its lease, send requests to
        // a version that was rolled back meanwhile, until its next read. Reads are frequent enough
        // for that: three per validity period of a share.
        if wrote_row {
            self.freshness.table_responded(sent_at);
        }
    }

    /// Applies a row from a response that arrived after its timeout; it may hold a verdict, but
    /// does not refresh the share.
    pub(super) fn handle_late_rows(&mut self, now: Instant, wall: Millis, rows: &Rows) {
        let key = move_key(&self.entry);
        let Some(row) = rows.rows.iter().find(|r| r.key == key) else { return };
        if let Ok(moved) = MoveRow::parse(&row.value) {
            self.apply_row(now, wall, row.revision, Some(moved));
        }
    }

    /// Handles the response to a read; `rows` is `None` if it was lost.
    pub(super) fn handle_rows(&mut self, now: Instant, wall: Millis, rows: Option<&Rows>) {
        let Some(PendingRequest { sent_at, .. }) = self.pending.take() else { return };
        let Some(rows) = rows else { return };
        let find = |key: CompactString| rows.rows.iter().find(|r| r.key == key);
        // A stale read doesn't extend the share: the known row, though newer, may be outdated too.
        let is_stale = |row: &&Row| self.revision.is_some_and(|known| row.revision < known);
        if find(move_key(&self.entry)).filter(is_stale).is_some() {
            return;
        }
        let (moved, lease) = (find(move_key(&self.entry)), find(lease_key(&self.entry)));
        match moved.map(|r| (r.revision, MoveRow::parse(&r.value))) {
            None => self.apply_row(now, wall, 0, None),
            Some((revision, Ok(row))) => self.apply_row(now, wall, revision, Some(row)),
            // A row that can't be parsed permits no share, so the share isn't extended.
            Some((_, Err(_))) => return,
        }
        match lease.map(|r| (r.revision, serde_json::from_str(&r.value).ok())) {
            None => self.lease.observe(now, 0, None),
            Some((revision, row)) => self.lease.observe(now, revision, row),
        }
        self.freshness.table_responded(sent_at);
    }
}

fn revision(written: &Written) -> Option<u64> {
    match written {
        Written::Done(revision) => Some(*revision),
        _ => None,
    }
}
