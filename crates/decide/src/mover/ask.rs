//! What a track asks of the table, and what the answers mean.

use {
    super::{
        Output, Table,
        asked::{Asked, Sent},
        next::{Next, Pace, Waiting, next},
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

/// Time between two reads of the rows while a move is under way.
const POLL: Duration = Duration::from_millis(750);
/// Time between two reads while none is.
const IDLE_POLL: Duration = Duration::from_secs(5);

impl Track {
    pub(super) fn ask(&mut self, now: Instant, table: &mut Table, out: &mut Vec<Output>) {
        if now >= self.poll_at {
            return self.read(now, table, out);
        }
        if self.revision.is_none() {
            return;
        }
        let wanted = self.wanted.as_ref().filter(|w| self.revision == Some(w.revision));
        if let Some(row) = wanted.map(|w| w.row.clone()) {
            return self.commit(now, table, Some(row), false, out);
        }
        let Some(row) = &self.row else { return };
        let row = row.clone();
        if self.standing.verdict().is_some() {
            if row.standing.verdict().is_none() {
                let row = self.at(table.wall(now), &row, self.standing.clone());
                self.commit(now, table, Some(row), false, out);
            }
            return;
        }
        if self.standing == Standing::Adopted {
            return;
        }
        if self.lease.held(now, table.me).is_some() {
            let to = match next(self, now, table.wall(now)) {
                Pace { waiting: Waiting::Nothing, next: Next::Raise { step, .. } } => {
                    Some(Standing::Moving(step))
                }
                Pace { waiting: Waiting::Nothing, next: Next::Settle } => Some(Standing::Settled),
                Pace { waiting: Waiting::Nothing, next: Next::Adopt } => Some(Standing::Adopted),
                _ => None,
            };
            if let Some(standing) = to {
                let row = self.at(table.wall(now), &row, standing);
                return self.commit(now, table, Some(row), true, out);
            }
        }
        if self.lease.is_due(now, table.me) {
            self.commit(now, table, None, true, out);
        }
    }

    fn at(&self, wall: Millis, row: &MoveRow, standing: Standing) -> MoveRow {
        assert!(row.standing.allows(&standing), "{standing:?} after {:?}", row.standing);
        MoveRow { standing, since: wall, ..row.clone() }
    }

    fn read(&mut self, now: Instant, table: &mut Table, out: &mut Vec<Output>) {
        let idle = self.active().is_none() && self.wanted.is_none();
        self.poll_at = now + if idle { IDLE_POLL } else { POLL };
        let number = table.number();
        self.asked = Some(Asked { number, at: now, sent: None });
        let keys = vec![move_key(&self.entry), lease_key(&self.entry)];
        out.push(Output::Read { number, read: Read { keys } });
    }

    /// Writes the row, the lease or both.
    ///
    /// A raise writes both or none. A holder that was paused between its check and its write would
    /// raise on old evidence after another took over; the lease's row then has another revision, so
    /// the whole commit is refused.
    fn commit(
        &mut self,
        now: Instant,
        table: &mut Table,
        row: Option<MoveRow>,
        leased: bool,
        out: &mut Vec<Output>,
    ) {
        let row = row.map(|r| MoveRow { commit: table.rng.random(), ..r });
        let lease = leased.then(|| self.lease.write(now, table.me, table.rng.random()));
        let mut writes = Vec::new();
        if let Some(lease) = &lease {
            let value = serde_json::to_string(lease).expect("a row has no map with odd keys");
            let expect = Some(self.lease.revision());
            writes.push(Write { key: lease_key(&self.entry), expect, value: Some(value) });
        }
        if let Some(row) = &row {
            let value = Some(row.text());
            writes.push(Write { key: move_key(&self.entry), expect: self.revision, value });
        }
        let number = table.number();
        self.asked = Some(Asked { number, at: now, sent: Some(Sent { row, lease }) });
        out.push(Output::Commit { number, commit: Commit { atomic: true, writes } });
    }

    /// Whether the answer with this number is awaited.
    pub(super) fn awaits(&self, number: u64) -> bool {
        self.asked.as_ref().is_some_and(|a| a.number == number)
    }

    pub(super) fn committed(&mut self, now: Instant, wall: Millis, answer: Option<&Committed>) {
        let Some(Asked { at, sent: Some(sent), .. }) = self.asked.take() else { return };
        let done =
            answer.and_then(|a| a.results.iter().map(revision).collect::<Option<Vec<u64>>>());
        // Refused, or the answer was lost: what the rows are now says what came of it.
        let Some(done) = done else { return self.poll_at = now };
        let reported = sent.row.is_some();
        let mut done = done.into_iter();
        if let (Some(lease), Some(revision)) = (sent.lease, sent.lease.and_then(|_| done.next())) {
            self.lease.see(now, revision, Some(lease));
        }
        if let (Some(row), Some(revision)) = (sent.row, done.next()) {
            self.see(now, wall, revision, Some(row));
        }
        // The lease's row alone says nothing of the move's. A node that had been cut off got its
        // lease again and with it a fresh share of a version that was taken back meanwhile, until
        // its next read. Reads come three times in the life of a share.
        if reported {
            self.fresh.table(at);
        }
    }

    /// Applies a row from a response that arrived after its timeout; it may hold a verdict, but
    /// does not refresh the share.
    pub(super) fn late_rows(&mut self, now: Instant, wall: Millis, rows: &Rows) {
        let key = move_key(&self.entry);
        let Some(row) = rows.rows.iter().find(|r| r.key == key) else { return };
        if let Ok(moved) = MoveRow::parse(&row.value) {
            self.see(now, wall, row.revision, Some(moved));
        }
    }

    /// Takes the rows as read; `rows` is `None` when the answer was lost.
    pub(super) fn rows(&mut self, now: Instant, wall: Millis, rows: Option<&Rows>) {
        let Some(Asked { at, .. }) = self.asked.take() else { return };
        let Some(rows) = rows else { return };
        let find = |key: CompactString| rows.rows.iter().find(|r| r.key == key);
        // A stale read is no news: the newer row that is known may itself be overtaken.
        let older = |row: &&Row| self.revision.is_some_and(|known| row.revision < known);
        if find(move_key(&self.entry)).filter(older).is_some() {
            return;
        }
        let (moved, lease) = (find(move_key(&self.entry)), find(lease_key(&self.entry)));
        match moved.map(|r| (r.revision, MoveRow::parse(&r.value))) {
            None => self.see(now, wall, 0, None),
            Some((revision, Ok(row))) => self.see(now, wall, revision, Some(row)),
            // Not ours to judge: what can't be read allows no share, so nothing is fresh.
            Some((_, Err(_))) => return,
        }
        match lease.map(|r| (r.revision, serde_json::from_str(&r.value).ok())) {
            None => self.lease.see(now, 0, None),
            Some((revision, row)) => self.lease.see(now, revision, row),
        }
        self.fresh.table(at);
    }
}

fn revision(written: &Written) -> Option<u64> {
    match written {
        Written::Done(revision) => Some(*revision),
        _ => None,
    }
}
