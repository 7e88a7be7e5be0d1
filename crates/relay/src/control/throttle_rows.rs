//! Operators' limits on the admission in the nodes' table.
//!
//! All nodes read the table at the start, but only the readers of each failure domain follow it. They
//! pass changed rows on to the other nodes.

use {
    super::{Control, join::TABLE, members::unix_millis},
    crate::{
        load_sync::PeerReport,
        records::Records,
        store::{Condition, Row, Store, StoreError, Write},
    },
    bilberryfront_decide::{
        admission::throttle::{Limit, PREFIX},
        member::message::{NoticeContent, TableRow},
    },
    bilberryfront_peer::codec::THROTTLES_LIMIT,
};

impl<R: Records, S: Store> Control<R, S> {
    /// Applies the limits among the rows of the nodes' table that this node reads at its start, and
    /// deletes those that have expired.
    pub(super) fn load_throttles(&self, rows: &[Row]) {
        self.apply_throttles(&throttles(rows));
        let now = unix_millis();
        let expired = rows.iter().filter(|row| is_expired(row, now));
        let delete = |row: &Row| Write {
            table: TABLE.into(),
            key: row.key.clone(),
            value: None,
            condition: Condition::At(row.revision),
        };
        for write in expired.map(delete).take(THROTTLES_LIMIT) {
            tokio::task::spawn_local(delete_row(self.store.clone(), write));
        }
    }

    /// Applies the limits among changed rows of the nodes' table, and passes them on to all nodes.
    pub(super) fn update_throttles(&self, rows: &[Row]) {
        let rows = throttles(rows);
        self.apply_throttles(&rows);
        if let Some(membership) = &self.membership {
            for rows in rows.chunks(THROTTLES_LIMIT) {
                membership.send_notice(NoticeContent::Throttles(rows.to_vec()));
            }
        }
    }

    fn apply_throttles(&self, rows: &[TableRow]) {
        if !rows.is_empty() {
            self.report(PeerReport::Throttles(rows.to_vec()));
        }
    }
}

/// Returns the limits among the rows of the nodes' table.
fn throttles(rows: &[Row]) -> Vec<TableRow> {
    let limits = rows.iter().filter(|row| row.key.starts_with(PREFIX));
    let row = |row: &Row| TableRow {
        key: row.key.clone(),
        revision: row.revision,
        value: row.value.as_ref().map(|value| value.to_vec()),
    };
    limits.map(row).collect()
}

fn is_expired(row: &Row, now: u64) -> bool {
    let limit = row.value.as_ref().and_then(|value| Limit::parse(&row.key, value).ok());
    limit.is_some_and(|limit| limit.is_expired(now))
}

/// Deletes a row unless it has changed. A failure is not repeated: the row has no effect, and the next
/// node that starts deletes it.
async fn delete_row<S: Store>(store: S, write: Write) {
    match store.write(std::slice::from_ref(&write)).await {
        Ok(_) | Err(StoreError::Conflict) => {}
        Err(error) => {
            log::warn!(key = write.key.as_str(); "cannot delete an expired limit: {error}");
        }
    }
}
