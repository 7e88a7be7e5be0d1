//! Division of the registrations into shards, of which a node holds one.

use {
    super::{Action, Table, TableSync, index},
    crate::{readers::REPORT_TTL, shards::ShardCounts, store::Row},
    bilberryfront_decide::member::message::{StoreReport, TableId},
    compact_str::CompactString,
    std::time::Duration,
    tokio::time::Instant,
};

impl TableSync {
    /// Applies changed rows that this node holds. The registrations that it holds change as well if
    /// the services are divided differently now.
    pub(super) fn apply_held(
        &mut self,
        now: Instant,
        table: TableId,
        mut rows: Vec<Row>,
        was_whole: bool,
        grace: Duration,
        out: &mut Vec<Action>,
    ) {
        let Table { mirror, whole, .. } = &self.tables[index(table)];
        if table == TableId::Runners && *whole {
            let is_adopted = self.adopted_at.is_some_and(|at| now < at + REPORT_TTL);
            let services = match is_adopted {
                true => self.services.clone(),
                false => mirror.divide(self.ranking.len(), &self.services),
            };
            let former = std::mem::replace(&mut self.services, services);
            let mut released = Vec::new();
            rows.retain(|row| {
                let is_held = mirror.is_held(&row.key, self.shard, &self.services) != Some(false);
                if !is_held {
                    released.push(row.key.clone());
                }
                is_held
            });
            if former != self.services || !was_whole {
                let held = was_whole.then_some(&former);
                let (added, removed) = mirror.moved(self.shard, held, &self.services, &rows);
                rows.extend(added);
                released.extend(removed);
            }
            if !released.is_empty() {
                out.push(Action::Release { table, keys: released });
            }
        }
        if !rows.is_empty() || !was_whole || table != TableId::Runners {
            out.push(Action::Apply { table, rows, grace });
        }
    }

    /// Divides the services again if the number of nodes has changed.
    pub(super) fn update_division(&mut self, now: Instant, out: &mut Vec<Action>) {
        let nodes = self.ranking.len();
        let is_whole = self.tables[index(TableId::Runners)].whole;
        if is_whole && std::mem::replace(&mut self.divided_for, nodes) != nodes {
            self.apply_held(now, TableId::Runners, Vec::new(), true, Duration::ZERO, out);
        }
    }

    /// Deletes the copies of other shards' registrations, which only readers need.
    pub(super) fn delete_other_shards(&mut self) {
        let Table { mirror, whole, .. } = &mut self.tables[index(TableId::Runners)];
        if *whole && self.services.max() > 1 {
            *whole = false;
            mirror.retain_shard(self.shard, &self.services);
        }
    }

    /// Adopts the division of the services from the first available reader of this failure domain.
    pub(super) fn adopt_division(
        &mut self,
        now: Instant,
        from: &CompactString,
        report: &StoreReport,
        out: &mut Vec<Action>,
    ) {
        let precedes = self.ranking.rank(from) < self.rank();
        let is_first = self.ranking.contains(from) && self.election.is_first(now, from);
        if !is_first || (self.polling && !precedes) {
            return;
        }
        self.adopted_at = Some(now);
        let services = division(report);
        if services == self.services {
            return;
        }
        log::info!(from = from.as_str(), shards = services.max(); "number of shards changed");
        let former = std::mem::replace(&mut self.services, services);
        let Table { mirror, whole, .. } = &mut self.tables[index(TableId::Runners)];
        let (added, released) = match whole {
            true => mirror.moved(self.shard, Some(&former), &self.services, &[]),
            // Added rows are requested after the next report.
            false => (Vec::new(), mirror.retain_shard(self.shard, &self.services)),
        };
        let table = TableId::Runners;
        if !released.is_empty() {
            out.push(Action::Release { table, keys: released });
        }
        if !added.is_empty() {
            out.push(Action::Apply { table, rows: added, grace: Duration::ZERO });
        }
    }
}

/// Returns the division of the services in a report.
pub(super) fn division(report: &StoreReport) -> ShardCounts {
    let services = report.services.iter();
    ShardCounts::new(services.map(|divided| (divided.service.clone(), divided.shards)))
}
