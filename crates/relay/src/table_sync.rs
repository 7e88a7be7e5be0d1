//! Replication of the store's tables within a failure domain.
//!
//! This is a state machine without I/O: it handles events and returns actions. Readers
//! ([`crate::readers`]) poll the store, forward changed rows and report digests of their tables;
//! the other nodes request a whole table if their copy differs.

use {
    crate::{
        control::feed::Change,
        log_messages::STORE_RESTORED,
        mirror::Mirror,
        readers::{Election, REPORT_INTERVAL, Ranking},
        store::{Condition, Revision, Row, Rows},
    },
    bilberryfront_decide::member::{
        PeerMessage,
        message::{StoreReport, TableDigest, TableId, TableRow, TableUpdate},
    },
    compact_str::CompactString,
    std::time::Duration,
    tokio::time::Instant,
};

/// Time after an outage within which running runners register again: 2 s according to the
/// platform's guarantee, plus propagation.
const REREGISTER_TIME: Duration = Duration::from_millis(2_500);
/// Minimum time without the store after which registrations may have expired.
const MIN_EXPIRY_TIME: Duration = Duration::from_secs(2);
/// Interval of the reports to other failure domains.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(800);
/// Minimum interval of requests for a table to the same node.
const PULL_INTERVAL: Duration = Duration::from_millis(250);
/// Consecutive reports with a different digest after which a table is requested; a single report
/// may have overtaken an update.
const MISMATCHES: u32 = 2;

/// Side effect of the replication.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send to all other nodes of this node's failure domain.
    Broadcast(PeerMessage),
    /// Send to the first reader of each other failure domain.
    Exchange(PeerMessage),
    /// Send to one node.
    Send(CompactString, PeerMessage),
    /// Apply changed rows.
    Apply {
        /// Table.
        table: TableId,
        /// Rows.
        rows: Vec<Row>,
        /// Time for which removed runners are kept, because they may register again.
        grace: Duration,
    },
}

/// State of one table.
#[derive(Debug, Default)]
struct Table {
    mirror: Mirror,
    /// Whether this node's last poll failed.
    failed: bool,
    mismatches: u32,
    pulled: Option<(Instant, CompactString)>,
}

/// Replicated tables of one node.
#[derive(Debug)]
pub struct TableSync {
    me: CompactString,
    ranking: Ranking,
    election: Election,
    tables: [Table; TableId::ALL.len()],
    polling: bool,
    /// Whether the last poll of the operators' table succeeded.
    responsive: bool,
    /// Whether this node's last polls succeeded, so that it serves its tables to other nodes.
    served: bool,
    reported_at: Option<Instant>,
    exchanged_at: Option<Instant>,
    /// Time at which the store was last available to this node or, by its report, to a reader.
    available_at: Option<Instant>,
    /// Whether the store is unavailable to this node and to all readers.
    outage: bool,
    /// Whether polls have failed or readers have reported failures during the outage; otherwise the
    /// store is only not known to be available.
    rejected: bool,
    /// End of the time in which removed runners may register again.
    grace: Option<Instant>,
    /// Time of the last request for missing tables.
    pulled_missing_at: Option<Instant>,
}

impl TableSync {
    /// Creates the state of a node without any rows.
    pub fn new(seed: u64, me: CompactString) -> TableSync {
        TableSync {
            ranking: Ranking::new([me.clone()]),
            me,
            election: Election::new(seed),
            tables: Default::default(),
            polling: false,
            responsive: false,
            served: false,
            reported_at: None,
            exchanged_at: None,
            available_at: None,
            outage: false,
            rejected: false,
            grace: None,
            pulled_missing_at: None,
        }
    }

    /// Starts the election; to be called as soon as the other nodes are reachable.
    pub fn start(&mut self, now: Instant) {
        self.election.start(now);
    }

    /// Sets the nodes of this node's failure domain.
    pub fn set_ranking(&mut self, ranking: Ranking) {
        self.ranking = ranking;
    }

    /// Returns whether the operators' table should be polled.
    pub fn is_polling(&self) -> bool {
        self.polling
    }

    /// Returns whether all tables should be polled. While the store is unavailable, polling one
    /// table is enough to detect the end of the outage.
    pub fn is_reading(&self) -> bool {
        self.polling && self.responsive
    }

    /// Returns whether the store is known to be unavailable to this node and to all readers.
    pub fn is_cut_off(&self) -> bool {
        self.outage && self.rejected
    }

    /// Returns whether the store is available and all running runners have had time to register
    /// again.
    pub fn is_settled(&self, now: Instant) -> bool {
        !self.outage && self.grace.is_none_or(|end| now >= end)
    }

    /// Returns this node's rank among the readers of its failure domain.
    pub fn rank(&self) -> usize {
        self.ranking.rank(&self.me)
    }

    /// Returns whether this node is the first reader of its failure domain.
    pub fn is_first_reader(&self) -> bool {
        self.rank() == 0
    }

    /// Returns the revision up to which a table is known, from which its feed can be resumed.
    pub fn revision(&self, table: TableId) -> Option<Revision> {
        self.tables[index(table)].mirror.revision()
    }

    /// Returns the latest known era of the store.
    pub fn era(&self) -> u64 {
        self.tables.iter().map(|table| table.mirror.era()).max().unwrap_or_default()
    }

    /// Returns the condition that a row is as known; `None` if the table may lack rows.
    pub fn condition(&self, table: TableId, key: &str) -> Option<Condition> {
        self.tables[index(table)].mirror.condition(key)
    }

    /// Performs due work.
    pub fn step(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.polling = self.election.step(now, &self.me, &self.ranking);
        if !self.polling {
            self.responsive = false;
            self.served = false;
            self.tables.iter_mut().for_each(|table| table.failed = false);
        }
        self.update_outage(now);
        if self.polling && self.is_loaded() {
            self.report(now, out);
        }
        if !self.polling && self.election.is_started() && !self.is_loaded() {
            self.pull_missing(now, out);
        }
    }

    /// Handles the result of a poll by this node.
    pub fn on_poll(&mut self, now: Instant, table: TableId, change: Change, out: &mut Vec<Action>) {
        let failed = matches!(change, Change::Unavailable);
        self.tables[index(table)].failed = failed;
        self.rejected |= failed;
        if table == TableId::Operators {
            self.responsive = !failed;
        }
        // Rollout statuses change rarely, so polls of them alone do not show whether the store is
        // available.
        if table != TableId::Statuses {
            self.served = !self.has_failed();
            self.election.record_poll(now, self.served, &self.ranking);
            let before = self.outage;
            self.update_outage(now);
            if before != self.outage {
                self.reported_at = None;
            }
        }
        if !failed {
            self.available_at = Some(now);
        }
        let mirror = &mut self.tables[index(table)].mirror;
        let loaded = mirror.revision().is_some();
        if let (Change::Snapshot(rows), Some(known)) = (&change, mirror.revision())
            && known.era < rows.revision.era
        {
            log::warn!(table:? = table, known:% = known, revision:% = rows.revision;
                "{STORE_RESTORED}");
            if table == TableId::Runners {
                // Runners whose registration was lost register again.
                self.grace = Some(now + REREGISTER_TIME);
            }
        }
        if let Change::Snapshot(rows) | Change::Rows(rows) = &change {
            for (row, known) in mirror.superseded(&rows.rows) {
                log::warn!(table:? = table, key = row.key.as_str(), revision:% = row.revision, known:%;
                    "row of the store ignored: a later revision is known");
            }
        }
        let (rows, revision) = match change {
            Change::Unavailable | Change::Available => return,
            Change::Snapshot(snapshot) => {
                let revision = snapshot.revision;
                (mirror.replace(now, snapshot), revision)
            }
            Change::Rows(Rows { rows, revision }) => {
                let rows = mirror.merge(now, rows);
                mirror.confirm(revision);
                (rows, revision)
            }
        };
        if rows.is_empty() && loaded {
            return;
        }
        let grace = self.grace_left(now);
        // The first read is not forwarded: nodes without these rows request them after the next
        // report.
        match loaded {
            true => out.push(Action::Broadcast(update(table, revision, false, grace, &rows))),
            false => self.reported_at = None,
        }
        out.push(Action::Apply { table, rows, grace });
    }

    /// Handles a table that was read directly.
    pub fn on_load(&mut self, now: Instant, table: TableId, rows: Rows, out: &mut Vec<Action>) {
        let rows = self.tables[index(table)].mirror.replace(now, rows);
        out.push(Action::Apply { table, rows, grace: Duration::ZERO });
    }

    /// Handles a row of the operators' table that was received by gossip.
    pub fn on_gossip(&mut self, now: Instant, row: Row) {
        self.tables[index(TableId::Operators)].mirror.merge(now, vec![row]);
    }

    /// Handles a message from a peer.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: &CompactString,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) {
        match message {
            PeerMessage::Table(update) => self.apply(now, from, update, out),
            PeerMessage::TablePull(table) => out.extend(self.respond_to_pull(now, from, table)),
            PeerMessage::StoreReport(report) => self.compare(now, from, &report, out),
            _ => {}
        }
    }

    fn apply(
        &mut self,
        now: Instant,
        from: &CompactString,
        changes: TableUpdate,
        out: &mut Vec<Action>,
    ) {
        let TableUpdate { table, revision, whole, grace_ms, rows } = changes;
        let rows: Vec<Row> = rows.into_iter().map(row).collect();
        let mirror = &mut self.tables[index(table)].mirror;
        let rows = match whole {
            true => mirror.replace(now, Rows { rows, revision }),
            false => mirror.merge(now, rows),
        };
        let grace = Duration::from_millis(grace_ms.into());
        // The sender is in another failure domain: forward the rows that were missing in this one.
        if !rows.is_empty() && !self.ranking.contains(from) {
            out.push(Action::Broadcast(update(table, revision, false, grace, &rows)));
        }
        if !rows.is_empty() || whole {
            out.push(Action::Apply { table, rows, grace });
        }
    }

    /// Returns the response to a request for a table, if this node serves its tables.
    fn respond_to_pull(
        &self,
        now: Instant,
        from: &CompactString,
        table: TableId,
    ) -> Option<Action> {
        let mirror = &self.tables[index(table)].mirror;
        let revision = mirror.revision().filter(|_| self.served)?;
        let message = update(table, revision, true, self.grace_left(now), &mirror.rows());
        Some(Action::Send(from.clone(), message))
    }

    fn compare(
        &mut self,
        now: Instant,
        from: &CompactString,
        report: &StoreReport,
        out: &mut Vec<Action>,
    ) {
        let rank = self.ranking.rank(from);
        self.election.record_report(now, from, rank, report.available);
        self.rejected |= !report.available;
        self.update_outage(now);
        if !report.available {
            return;
        }
        self.available_at = Some(now);
        for digest in &report.digests {
            let table = &mut self.tables[index(digest.table)];
            if table.mirror.is_outdated(digest.revision) {
                continue;
            }
            if table.mirror.revision().is_some() && table.mirror.hash() == digest.hash {
                table.mirror.confirm(digest.revision);
                table.mismatches = 0;
                continue;
            }
            table.mismatches += 1;
            let due = table.mirror.revision().is_none() || table.mismatches >= MISMATCHES;
            if due && table.try_pull(now, from) {
                let message = PeerMessage::TablePull(digest.table);
                out.push(Action::Send(from.clone(), message));
            }
        }
    }

    /// Requests missing tables from the nodes that should be readers, without waiting for a report.
    fn pull_missing(&mut self, now: Instant, out: &mut Vec<Action>) {
        let missing = |table: &&TableId| self.tables[index(**table)].mirror.revision().is_none();
        let missing: Vec<TableId> = TableId::ALL.iter().filter(missing).copied().collect();
        if self.pulled_missing_at.is_some_and(|at| now < at + PULL_INTERVAL) {
            return;
        }
        self.pulled_missing_at = Some(now);
        for reader in self.ranking.readers().iter().filter(|name| **name != self.me) {
            let pull = |id: &TableId| Action::Send(reader.clone(), PeerMessage::TablePull(*id));
            out.extend(missing.iter().map(pull));
        }
    }

    fn store_report(&self) -> StoreReport {
        let digest = |table| {
            let mirror = &self.tables[index(table)].mirror;
            Some(TableDigest { table, revision: mirror.revision()?, hash: mirror.hash() })
        };
        let digests = TableId::ALL.into_iter().filter_map(digest).collect();
        StoreReport { available: self.served, digests }
    }

    fn report(&mut self, now: Instant, out: &mut Vec<Action>) {
        if is_due(&mut self.reported_at, now, REPORT_INTERVAL) {
            out.push(Action::Broadcast(PeerMessage::StoreReport(self.store_report())));
        }
        if self.served && is_due(&mut self.exchanged_at, now, EXCHANGE_INTERVAL) {
            out.push(Action::Exchange(PeerMessage::StoreReport(self.store_report())));
        }
    }

    fn is_loaded(&self) -> bool {
        self.tables.iter().all(|table| table.mirror.revision().is_some())
    }

    fn has_failed(&self) -> bool {
        self.tables[index(TableId::Operators)].failed || self.tables[index(TableId::Runners)].failed
    }

    /// Updates the state of the outage. Registrations may expire during a long outage; runners
    /// register again within some time after it.
    fn update_outage(&mut self, now: Instant) {
        let available = (self.served && self.is_loaded()) || self.election.has_reader(now);
        if available && self.outage {
            let lapsed = self.available_at.is_some_and(|at| now >= at + MIN_EXPIRY_TIME);
            self.grace = self.grace.max(lapsed.then_some(now + REREGISTER_TIME));
        }
        self.outage = !available;
        self.rejected &= self.outage;
    }

    fn grace_left(&self, now: Instant) -> Duration {
        self.grace.map_or(Duration::ZERO, |end| end.saturating_duration_since(now))
    }
}

impl Table {
    fn try_pull(&mut self, now: Instant, from: &CompactString) -> bool {
        let last = self.pulled.as_ref();
        let due = last.is_none_or(|(at, to)| to != from || now >= *at + PULL_INTERVAL);
        if due {
            self.pulled = Some((now, from.clone()));
            self.mismatches = 0;
        }
        due
    }
}

/// Returns whether an interval has passed since `last`, and sets `last` to now if so.
fn is_due(last: &mut Option<Instant>, now: Instant, every: Duration) -> bool {
    let due = last.is_none_or(|at| now >= at + every);
    if due {
        *last = Some(now);
    }
    due
}

fn index(table: TableId) -> usize {
    table as usize
}

fn update(
    table: TableId,
    revision: Revision,
    whole: bool,
    grace: Duration,
    rows: &[Row],
) -> PeerMessage {
    let row = |row: &Row| TableRow {
        key: row.key.clone(),
        revision: row.revision,
        value: row.value.as_ref().map(|value| value.to_vec()),
    };
    PeerMessage::Table(TableUpdate {
        table,
        revision,
        whole,
        grace_ms: grace.as_millis() as u32,
        rows: rows.iter().map(row).collect(),
    })
}

fn row(TableRow { key, revision, value }: TableRow) -> Row {
    Row { key, value: value.map(Into::into), revision }
}
