//! Replication of the store's tables within a failure domain.
//!
//! This is a state machine without I/O: it handles events and returns actions. Readers
//! ([`crate::readers`]) poll the store, forward changed rows and report digests of their tables;
//! the other nodes request the rows that changed since their revision if their copy differs, or all
//! rows if the copies still differ then. Readers hold all registrations of runners, the other nodes
//! one shard of them ([`crate::shards`]).

mod division;
mod exchange;

use {
    crate::{
        control::feed::Change,
        log_messages::STORE_RESTORED,
        mirror::{Mirror, ServiceOf},
        readers::{Election, READERS, Ranking},
        shards::{self, ShardCounts},
        store::{Condition, Revision, Row, Rows},
    },
    bilberryfront_decide::member::{
        PeerMessage,
        message::{Extent, TableId, TableRow, TableUpdate},
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

/// Side effect of the replication.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send to all other nodes of this node's failure domain.
    Broadcast(PeerMessage),
    /// Send to the other nodes of this node's failure domain that hold one of `count` shards.
    SendToShard {
        /// Position of the shard.
        shard: u32,
        /// Number of shards.
        count: u32,
        /// Message.
        message: PeerMessage,
    },
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
    /// Check once whether the store has later rows of the operators' table.
    Check,
    /// Repeat the pending polls: the store may not respond to them any more.
    RepeatPolls,
    /// Delete rows that this node no longer holds, although they are still in the table.
    Release {
        /// Table.
        table: TableId,
        /// Keys of the rows.
        keys: Vec<CompactString>,
    },
}

/// Time from an update by a node that does not read the store until the pending poll of a reader that
/// has not brought the change is repeated.
const OVERTAKEN_TIMEOUT: Duration = Duration::from_millis(300);
/// Share of the time within which changes must be applied that lies between two checks of the
/// operators' table by nodes that do not read it.
const CHECK_SHARE: f64 = 0.3;

/// State of one table.
#[derive(Debug, Default)]
struct Table {
    mirror: Mirror,
    /// Whether the mirror has all rows, not only those of this node's shard.
    whole: bool,
    /// Whether this node's last poll failed.
    failed: bool,
    mismatches: u32,
    pull: Option<Backoff>,
}

/// Polls of the operators' table that lag behind a peer.
#[derive(Clone, Copy, Debug)]
struct Overtaken {
    at: Instant,
    /// Whether the polls were repeated. Until one of them ends, further changes do not repeat them.
    repeated: bool,
}

/// Time of the last request, and the time until the next one.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    at: Instant,
    wait: Duration,
}

impl Backoff {
    /// Returns whether a request is due, and records it.
    fn try_next(state: &mut Option<Backoff>, now: Instant, min: Duration, max: Duration) -> bool {
        let is_due = state.is_none_or(|last| now >= last.at + last.wait);
        if is_due {
            let wait = state.map_or(min, |last| (last.wait * 2).min(max));
            *state = Some(Backoff { at: now, wait });
        }
        is_due
    }
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
    /// Interval of the checks that this node requests.
    check_interval: Duration,
    checked_at: Option<Instant>,
    /// Number of requested checks, which go to each node in turn.
    checks: usize,
    /// Whether the last check is passed on to another node if the store does not respond to this one.
    passes_check: bool,
    /// Set while a peer has operators' rows that this reader's poll has not brought yet.
    overtaken: Option<Overtaken>,
    /// Time at which the store was last available to this node or, by its report, to a reader.
    available_at: Option<Instant>,
    /// Whether the store is unavailable to this node and to all readers.
    outage: bool,
    /// Whether polls have failed or readers have reported failures during the outage; otherwise the
    /// store is only not known to be available.
    rejected: bool,
    /// End of the time in which removed runners may register again.
    grace: Option<Instant>,
    missing_pull: Option<Backoff>,
    /// Number of requests for missing tables, which go to each reader in turn.
    missing_pulls: usize,
    /// Position of this node among the shards.
    shard: u32,
    services: ShardCounts,
    /// Number of nodes for which `services` were determined.
    divided_for: usize,
    /// Time at which `services` were adopted from a reader that precedes this node.
    adopted_at: Option<Instant>,
}

impl TableSync {
    /// Creates the state of a node without any rows. `service_of` decodes the service of a
    /// registration; changes of the operators' rows must be applied within `apply_time`.
    pub fn new(
        seed: u64,
        me: CompactString,
        service_of: ServiceOf,
        apply_time: Duration,
    ) -> TableSync {
        let mut tables: [Table; TableId::ALL.len()] = Default::default();
        tables[index(TableId::Runners)].mirror = Mirror::of_registrations(service_of);
        TableSync {
            ranking: Ranking::new([me.clone()]),
            shard: shards::shard(&me),
            me,
            election: Election::new(seed),
            tables,
            polling: false,
            responsive: false,
            served: false,
            reported_at: None,
            exchanged_at: None,
            check_interval: apply_time.mul_f64(CHECK_SHARE) * READERS as u32,
            checked_at: None,
            checks: 0,
            passes_check: false,
            overtaken: None,
            available_at: None,
            outage: false,
            rejected: false,
            grace: None,
            missing_pull: None,
            missing_pulls: 0,
            services: ShardCounts::default(),
            divided_for: 0,
            adopted_at: None,
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

    /// Returns the revision up to which the whole table is known, from which its feed can be resumed.
    pub fn revision(&self, table: TableId) -> Option<Revision> {
        let Table { mirror, whole, .. } = &self.tables[index(table)];
        mirror.revision().filter(|_| *whole)
    }

    /// Returns the number of rows of a table that this node has.
    pub fn row_count(&self, table: TableId) -> usize {
        self.tables[index(table)].mirror.len()
    }

    /// Returns the latest known era of the store.
    pub fn era(&self) -> u64 {
        self.tables.iter().map(|table| table.mirror.era()).max().unwrap_or_default()
    }

    /// Returns the number of shards of the service that is divided into most.
    pub fn shard_count(&self) -> u32 {
        self.services.max()
    }

    /// Returns the condition that a row is as known; `None` if the table may lack rows.
    pub fn condition(&self, table: TableId, key: &str) -> Option<Condition> {
        self.tables[index(table)].mirror.condition(key).filter(|_| self.tables[index(table)].whole)
    }

    /// Performs due work.
    pub fn step(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.polling = self.election.step(now, &self.me, &self.ranking);
        if !self.polling {
            self.responsive = false;
            self.served = false;
            self.overtaken = None;
            self.tables.iter_mut().for_each(|table| table.failed = false);
        }
        self.update_outage(now);
        match self.polling {
            true => self.update_division(now, out),
            false => self.delete_other_shards(),
        }
        if self.polling && self.is_loaded() {
            self.report(now, out);
        }
        if let Some(Overtaken { at, repeated }) = &mut self.overtaken
            && now >= *at + OVERTAKEN_TIMEOUT
            && !std::mem::replace(repeated, true)
        {
            out.push(Action::RepeatPolls);
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
            self.overtaken = None;
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
        let Table { mirror, whole, .. } = &mut self.tables[index(table)];
        let (loaded, was_whole) = (mirror.revision().is_some(), *whole);
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
        let Some((rows, revision)) = self.merge(now, table, change) else { return };
        if rows.is_empty() && loaded && was_whole {
            return;
        }
        let grace = self.grace_left(now);
        // The first read is not forwarded: nodes without these rows request them after the next
        // report.
        match loaded && was_whole {
            true => self.broadcast(table, revision, grace, &rows, out),
            false => self.reported_at = None,
        }
        self.apply_held(now, table, rows, was_whole, grace, out);
    }

    /// Merges a change that was read from the store; returns the rows that changed, and the revision up
    /// to which they are complete.
    fn merge(
        &mut self,
        now: Instant,
        table: TableId,
        change: Change,
    ) -> Option<(Vec<Row>, Revision)> {
        let Table { mirror, whole, .. } = &mut self.tables[index(table)];
        match change {
            Change::Unavailable | Change::Available => None,
            Change::Snapshot(snapshot) => {
                let revision = snapshot.revision;
                *whole = true;
                Some((mirror.replace(now, snapshot), revision))
            }
            Change::Rows(Rows { rows, revision }) => {
                let rows = mirror.merge(now, rows);
                mirror.confirm(revision);
                Some((rows, revision))
            }
        }
    }

    /// Handles a table that was read directly.
    pub fn on_load(&mut self, now: Instant, table: TableId, rows: Rows, out: &mut Vec<Action>) {
        let Table { mirror, whole, .. } = &mut self.tables[index(table)];
        let was_whole = std::mem::replace(whole, true);
        let rows = mirror.replace(now, rows);
        self.apply_held(now, table, rows, was_whole, Duration::ZERO, out);
    }

    /// Handles rows of the operators' table that a check has read from the store. If the node's copy
    /// lacked them, the readers do not get changes from the store.
    pub fn on_check(&mut self, now: Instant, change: Change, out: &mut Vec<Action>) {
        let table = TableId::Operators;
        let was_whole = self.tables[index(table)].whole;
        let Some((rows, revision)) = self.merge(now, table, change) else { return };
        if rows.is_empty() {
            return;
        }
        log::warn!(rows = rows.len() as u64, revision:%; "the readers lack rows of the operators' table");
        let grace = self.grace_left(now);
        self.broadcast(table, revision, grace, &rows, out);
        self.apply_held(now, table, rows, was_whole, grace, out);
    }

    /// Handles a row of the operators' table that was received by gossip.
    pub fn on_gossip(&mut self, now: Instant, row: Row) {
        let changed = self.tables[index(TableId::Operators)].mirror.merge(now, vec![row]);
        if !changed.is_empty() {
            self.mark_overtaken(now);
        }
    }

    /// Records that the polls of this node should have brought a change of the operators' rows.
    fn mark_overtaken(&mut self, now: Instant) {
        if self.polling {
            self.overtaken.get_or_insert(Overtaken { at: now, repeated: false });
        }
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
            PeerMessage::TablePull(pull) => out.extend(self.respond_to_pull(now, from, pull)),
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
        let TableUpdate { table, revision, extent, grace_ms, rows } = changes;
        let rows: Vec<Row> = rows.into_iter().map(row).collect();
        let Table { mirror, whole, .. } = &mut self.tables[index(table)];
        let was_whole = *whole;
        let rows = match extent {
            Extent::Whole => {
                *whole = true;
                mirror.replace(now, Rows { rows, revision })
            }
            Extent::Shard if !was_whole => mirror.replace(now, Rows { rows, revision }),
            Extent::Shard | Extent::Changes => mirror.merge(now, rows),
            Extent::Since(since) => {
                let rows = mirror.merge(now, rows);
                if mirror.revision().is_some_and(|known| since <= known) {
                    mirror.confirm(revision);
                }
                rows
            }
        };
        let grace = Duration::from_millis(grace_ms.into());
        // The sender is in another failure domain: forward the rows that were missing in this one.
        if !rows.is_empty() && !self.ranking.contains(from) {
            self.broadcast(table, revision, grace, &rows, out);
        }
        if !rows.is_empty() && table == TableId::Operators {
            self.mark_overtaken(now);
        }
        if !rows.is_empty() || matches!(extent, Extent::Whole | Extent::Shard) {
            self.apply_held(now, table, rows, was_whole, grace, out);
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

fn index(table: TableId) -> usize {
    table as usize
}

fn row(TableRow { key, revision, value }: TableRow) -> Row {
    Row { key, value: value.map(Into::into), revision }
}
