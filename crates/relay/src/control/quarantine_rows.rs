//! Quarantined requests in the nodes' table, for nodes that start when no other one is running.

use {
    super::{
        Control,
        join::{self, TABLE},
        members::unix_millis,
    },
    crate::{
        load_sync::PeerReport,
        records::Records,
        store::{Condition, Row, Store, Write},
    },
    bilberryfront_decide::member::message::{CrashReport, RequestId},
    compact_str::{CompactString, format_compact},
    serde::{Deserialize, Serialize},
};

/// Prefix of the keys.
const PREFIX: &str = "quarantine/";

/// Content of a row.
#[derive(Deserialize, Serialize)]
struct StoredCrashes {
    request: RequestId,
    runners: Vec<u64>,
    /// Time of the last crash in milliseconds since the Unix epoch.
    at: u64,
}

impl<R: Records, S: Store> Control<R, S> {
    /// Writes the rows of requests that this node has quarantined, and deletes those of requests that it
    /// has cleared.
    pub(super) fn write_quarantined(&self, reports: &[CrashReport]) {
        if !reports.is_empty() {
            let rows = reports.iter().map(row).collect();
            tokio::task::spawn_local(join::write_until_done(self.store.clone(), rows));
        }
    }

    /// Applies rows of the nodes' table.
    pub(super) fn apply_quarantined(&self, rows: &[Row]) {
        let reports: Vec<CrashReport> = rows.iter().filter_map(parse).collect();
        if !reports.is_empty() {
            self.report(PeerReport::Crashes(reports));
        }
    }
}

fn row(report: &CrashReport) -> Write {
    let CrashReport { id, runners, age_ms } = report;
    let at = unix_millis().saturating_sub(u64::from(*age_ms));
    let stored = StoredCrashes { request: *id, runners: runners.clone(), at };
    let value = (!runners.is_empty())
        .then(|| serde_json::to_vec(&stored).expect("plain data serializes").into());
    Write { table: TABLE.into(), key: key(*id), value, condition: Condition::None }
}

fn key(id: RequestId) -> CompactString {
    format_compact!("{PREFIX}{:016x}{:032x}", id.account, id.request)
}

fn parse(row: &Row) -> Option<CrashReport> {
    row.key.strip_prefix(PREFIX)?;
    let StoredCrashes { request, runners, at } =
        serde_json::from_slice(row.value.as_ref()?).ok()?;
    // The clock of the node that has written the row may be ahead.
    let age = unix_millis().saturating_sub(at);
    let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
    Some(CrashReport { id: request, runners, age_ms })
}
