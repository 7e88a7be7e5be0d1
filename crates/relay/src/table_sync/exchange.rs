//! Exchange of rows and reports with the other nodes.

use {
    super::{Action, Backoff, Table, TableSync, division::division, index},
    crate::{
        readers::{READERS, REPORT_INTERVAL},
        shards,
        store::{Revision, Row},
    },
    bilberryfront_decide::member::{
        PeerMessage,
        message::{
            DividedService, Extent, StoreReport, TableDigest, TableId, TablePull, TableRow,
            TableUpdate,
        },
    },
    compact_str::CompactString,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Interval of the reports to other failure domains.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(800);
/// Minimum time until rows are requested again; doubles with each request until the copies agree.
const PULL_BACKOFF_MIN: Duration = Duration::from_millis(500);
/// Maximum time until changed rows are requested again.
const PULL_BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Time per node of the domain until all rows are requested again: a compressed shard of 50 KB on a
/// reader's link of 20 Mbit/s, which sends them to all nodes one after the other.
const SHARD_TIME: Duration = Duration::from_millis(20);
/// Minimum time until missing tables are requested again from a node that may not be a reader.
const MISSING_BACKOFF_MIN: Duration = Duration::from_millis(250);
/// Maximum time until missing tables are requested again from such a node.
const MISSING_BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Consecutive reports with a different digest after which a table is requested; a single report
/// may have overtaken an update.
const MISMATCHES: u32 = 2;

impl TableSync {
    /// Returns the response to a request for rows, if this node serves its tables.
    pub(super) fn respond_to_pull(
        &self,
        now: Instant,
        from: &CompactString,
        TablePull { table, since, shard }: TablePull,
    ) -> Option<Action> {
        let Table { mirror, whole, .. } = &self.tables[index(table)];
        let revision = mirror.revision().filter(|_| self.served && *whole)?;
        let changes = since
            .and_then(|since| Some((since, mirror.changes_since(since, shard, &self.services)?)));
        let (extent, rows) = match changes {
            Some((since, rows)) => (Extent::Since(since), rows),
            None => {
                let is_divided = table == TableId::Runners && self.services.max() > 1;
                let extent = match shard {
                    Some(_) if is_divided => Extent::Shard,
                    _ => Extent::Whole,
                };
                (extent, mirror.held_rows(shard, &self.services))
            }
        };
        let message = update(table, revision, extent, self.grace_left(now), &rows);
        Some(Action::Send(from.clone(), message))
    }

    pub(super) fn compare(
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
        if report.checker.as_ref() == Some(&self.me) && !self.polling {
            self.passes_check = report.available;
            out.push(Action::Check);
        }
        if !report.available {
            return;
        }
        self.available_at = Some(now);
        self.adopt_division(now, from, report, out);
        for digest in &report.digests {
            self.compare_digest(now, from, report, digest, out);
        }
    }

    fn compare_digest(
        &mut self,
        now: Instant,
        from: &CompactString,
        report: &StoreReport,
        digest: &TableDigest,
        out: &mut Vec<Action>,
    ) {
        let shard = (!self.polling).then_some(self.shard);
        let is_comparable = digest.table != TableId::Runners || division(report) == self.services;
        let is_rejected = self.has_failed();
        let table = &mut self.tables[index(digest.table)];
        let is_shard = !table.whole && shard.is_some();
        // A reader reads the whole table itself unless the store rejects it.
        let is_reading = !table.whole && shard.is_none() && !is_rejected;
        if table.mirror.is_outdated(digest.revision) || (is_shard && !is_comparable) || is_reading {
            return;
        }
        let hash = if is_shard { digest.shard_hash } else { digest.hash };
        let known = table.mirror.revision();
        if known.is_some() && table.mirror.hash() == hash {
            table.mirror.confirm(digest.revision);
            table.mismatches = 0;
            table.pull = None;
            return;
        }
        table.mismatches += 1;
        let is_due = known.is_none() || table.mismatches >= MISMATCHES;
        // Copies at the same revision differ in rows that have not changed since.
        let has_rows = table.whole || is_shard;
        let since = known.filter(|known| has_rows && *known != digest.revision);
        let (min, max) = match since {
            Some(_) => (PULL_BACKOFF_MIN, PULL_BACKOFF_MAX),
            None => {
                let time = SHARD_TIME * self.ranking.len() as u32;
                (time.max(PULL_BACKOFF_MIN), time.max(PULL_BACKOFF_MAX))
            }
        };
        if is_due && Backoff::try_next(&mut table.pull, now, min, max) {
            table.mismatches = 0;
            let pull = TablePull { table: digest.table, since, shard };
            out.push(Action::Send(from.clone(), PeerMessage::TablePull(pull)));
        }
    }

    /// Requests missing tables from the nodes that should be readers, in turn, without waiting for a
    /// report.
    pub(super) fn pull_missing(&mut self, now: Instant, out: &mut Vec<Action>) {
        let readers = self.ranking.readers().iter().filter(|name| **name != self.me);
        let readers: Vec<&CompactString> = readers.collect();
        let (min, max) = (MISSING_BACKOFF_MIN, MISSING_BACKOFF_MAX);
        if readers.is_empty() || !Backoff::try_next(&mut self.missing_pull, now, min, max) {
            return;
        }
        // Half of the nodes start with the second reader.
        let turn = self.shard as usize + self.missing_pulls;
        self.missing_pulls += 1;
        let reader = readers[turn % readers.len()];
        let missing = |table: &&TableId| {
            let Table { mirror, pull, .. } = &self.tables[index(**table)];
            // The response to a request after a report may be on its way.
            let is_pending = pull.is_some_and(|last| now < last.at + last.wait);
            mirror.revision().is_none() && !is_pending
        };
        out.extend(TableId::ALL.iter().filter(missing).map(|table| {
            let pull = TablePull { table: *table, since: None, shard: Some(self.shard) };
            Action::Send(reader.clone(), PeerMessage::TablePull(pull))
        }));
    }

    /// Sends changed rows to the nodes of this node's failure domain that hold them.
    pub(super) fn broadcast(
        &self,
        table: TableId,
        revision: Revision,
        grace: Duration,
        rows: &[Row],
        out: &mut Vec<Action>,
    ) {
        let Table { mirror, whole, .. } = &self.tables[index(table)];
        let message = |rows: &[Row]| update(table, revision, Extent::Changes, grace, rows);
        if table != TableId::Runners || self.services.max() == 1 {
            return out.push(Action::Broadcast(message(rows)));
        }
        let mut shards = BTreeMap::<(u32, u32), Vec<Row>>::new();
        for row in rows {
            let count = self.services.of(mirror.service(&row.key));
            // Rows of a shard holder are its own ones, whatever their service.
            let count = if *whole { count } else { self.services.max() };
            let shard = if *whole { shards::shard(&row.key) } else { self.shard };
            shards.entry((count, shard % count)).or_default().push(row.clone());
        }
        out.extend(shards.into_iter().map(|((count, shard), rows)| match count {
            1 => Action::Broadcast(message(&rows)),
            _ => Action::SendToShard { shard, count, message: message(&rows) },
        }));
    }

    /// Passes a check on to another node, as the store does not respond to this one. That node does not
    /// pass it on again.
    pub fn on_check_failed(&mut self, out: &mut Vec<Action>) {
        let standby = self.standby();
        let own = standby.iter().position(|name| *name == self.me);
        let next = own.and_then(|own| standby.get((own + standby.len() / 2) % standby.len()));
        let next = next.filter(|name| **name != self.me).cloned();
        if let Some(next) = next.filter(|_| std::mem::take(&mut self.passes_check)) {
            let report = StoreReport {
                available: false,
                digests: Vec::new(),
                services: Vec::new(),
                checker: Some(next.clone()),
            };
            out.push(Action::Send(next, PeerMessage::StoreReport(report)));
        }
    }

    /// Returns the nodes of this node's failure domain that are not readers, by rank.
    fn standby(&self) -> &[CompactString] {
        &self.ranking.names()[self.ranking.readers().len()..]
    }

    /// Returns the node that should check the store next, if a check is due: each node of the failure
    /// domain that is not a reader in turn.
    fn next_checker(&mut self, now: Instant) -> Option<CompactString> {
        let rank = self.rank();
        if !self.served || self.standby().is_empty() || rank >= READERS {
            return None;
        }
        // The readers request their checks at different times.
        self.checked_at.get_or_insert(now + self.check_interval * rank as u32 / READERS as u32);
        if !is_due(&mut self.checked_at, now, self.check_interval) {
            return None;
        }
        self.checks += 1;
        let standby = self.standby();
        standby.get((READERS * self.checks + rank) % standby.len()).cloned()
    }

    /// Returns the report of this node for the nodes at the position `shard`.
    fn store_report(&self, shard: u32, checker: Option<CompactString>) -> StoreReport {
        let digest = |table| {
            let revision = self.revision(table)?;
            let mirror = &self.tables[index(table)].mirror;
            let shard_hash = mirror.shard_hash(shard, &self.services);
            Some(TableDigest { table, revision, hash: mirror.hash(), shard_hash })
        };
        let digests = TableId::ALL.into_iter().filter_map(digest).collect();
        let divided = |(service, shards): (&CompactString, u32)| DividedService {
            service: service.clone(),
            shards,
        };
        let services = self.services.iter().map(divided).collect();
        StoreReport { available: self.served, digests, services, checker }
    }

    pub(super) fn report(&mut self, now: Instant, out: &mut Vec<Action>) {
        if is_due(&mut self.reported_at, now, REPORT_INTERVAL) {
            let count = self.services.max();
            let checker = self.next_checker(now);
            out.extend((0..count).map(|shard| {
                let report = self.store_report(shard, checker.clone());
                let message = PeerMessage::StoreReport(report);
                match count {
                    1 => Action::Broadcast(message),
                    _ => Action::SendToShard { shard, count, message },
                }
            }));
        }
        if self.served && is_due(&mut self.exchanged_at, now, EXCHANGE_INTERVAL) {
            let report = self.store_report(self.shard, None);
            out.push(Action::Exchange(PeerMessage::StoreReport(report)));
        }
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

fn update(
    table: TableId,
    revision: Revision,
    extent: Extent,
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
        extent,
        grace_ms: grace.as_millis() as u32,
        rows: rows.iter().map(row).collect(),
    })
}
