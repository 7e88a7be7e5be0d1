//! In-memory rows with conditional writes, with the semantics of the platform's table service. The
//! stand-in serves them over HTTP; tests use them in their own fakes.

use {
    bilberryfront_wire::table::{
        Commit, Committed, Read, Row, RowRevision, Rows, Scan, Write, Written,
    },
    compact_str::CompactString,
    std::collections::BTreeMap,
};

/// Rows by their keys.
#[derive(Clone, Debug, Default)]
pub struct RowStore {
    rows: BTreeMap<CompactString, Row>,
}

impl RowStore {
    /// Executes a commit: all writes or none if it is atomic, otherwise each on its own.
    pub fn commit(&mut self, commit: &Commit) -> Committed {
        if commit.atomic
            && let Some(results) = self.conflicts(&commit.writes)
        {
            return Committed { results };
        }
        Committed { results: commit.writes.iter().map(|write| self.write(write)).collect() }
    }

    /// Reads rows by key.
    pub fn read(&self, read: &Read) -> Rows {
        Rows { rows: read.keys.iter().filter_map(|key| self.rows.get(key)).cloned().collect() }
    }

    /// Reads the rows whose keys have a prefix, in key order.
    pub fn scan(&self, scan: &Scan) -> Rows {
        let from_prefix = self.rows.range(scan.prefix.clone()..);
        let matching = from_prefix.take_while(|(key, _)| key.starts_with(scan.prefix.as_str()));
        Rows { rows: matching.take(scan.limit as usize).map(|(_, row)| row.clone()).collect() }
    }

    /// Returns a row.
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Stores a row with its revision as it is, without a condition.
    pub fn put(&mut self, row: Row) {
        self.rows.insert(row.key.clone(), row);
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the results to report for an atomic commit if any write conflicts: none of the writes
    /// may then be applied. Returns `None` if no write conflicts.
    fn conflicts(&self, writes: &[Write]) -> Option<Vec<Written>> {
        let conflicts: Vec<_> = writes.iter().map(|write| self.conflict(write)).collect();
        let any = conflicts.iter().any(Option::is_some);
        let results = conflicts.into_iter().map(|conflict| conflict.unwrap_or(Written::Aborted));
        any.then(|| results.collect())
    }

    fn conflict(&self, write: &Write) -> Option<Written> {
        let current = self.revision(&write.key);
        let expected = write.expect.unwrap_or(current);
        (expected != current).then_some(Written::Conflict(current))
    }

    fn write(&mut self, write: &Write) -> Written {
        if let Some(conflict) = self.conflict(write) {
            return conflict;
        }
        let Some(value) = write.value.clone() else {
            self.rows.remove(&write.key);
            return Written::Done(0);
        };
        let revision = self.revision(&write.key) + 1;
        self.put(Row { key: write.key.clone(), revision, value });
        Written::Done(revision)
    }

    fn revision(&self, key: &str) -> RowRevision {
        self.rows.get(key).map_or(0, |row| row.revision)
    }
}
