//! Deletion of rows that are older than their retention period.
//!
//! The row keys are digests, so a prefix of four hex digits selects 1/65,536 of them. The sweeper
//! reads one such shard at a time, in a cycle: a single node covers all shards in a day at 0.76
//! reads per second.

use {
    super::call::PREFIX,
    crate::platform::{http::Result, table::Table},
    bilberryfront_decide::intent::{Intent, RETENTION},
    bilberryfront_wire::table::{Commit, Row, Scan, Write, Written},
    compact_str::{CompactString, format_compact},
    std::time::Duration,
};

/// Number of shards, one for each four-digit prefix.
pub const SHARDS: u32 = 1 << 16;
/// Pause between two shards when a single node sweeps; multiplied by the number of nodes.
pub const PAUSE: Duration = Duration::from_millis(1300);
/// Maximum number of rows read from a shard at a time. The rest is deleted in the next cycle.
const MAX_ROWS: u32 = 1024;

/// Deletes the expired rows of shard `shard` modulo [`SHARDS`] and returns their number. `now` is
/// in seconds since the Unix epoch.
pub async fn sweep<T: Table>(table: &T, shard: u32, now: u64) -> Result<usize> {
    let prefix = format_compact!("{PREFIX}{:04x}", shard % SHARDS);
    let rows = table.scan(&Scan { prefix, limit: MAX_ROWS }).await?.rows;
    let writes: Vec<Write> = rows.into_iter().filter(|r| is_expired(r, now)).map(delete).collect();
    if writes.is_empty() {
        return Ok(0);
    }
    let committed = table.commit(&Commit { atomic: false, writes }).await?;
    Ok(committed.results.iter().filter(|w| matches!(w, Written::Done(_))).count())
}

/// Returns whether a row is past its retention. A row that can't be decoded is kept for inspection.
fn is_expired(row: &Row, now: u64) -> bool {
    serde_json::from_str::<Intent>(&row.value)
        .is_ok_and(|i| now.saturating_sub(i.created) >= RETENTION.as_secs())
}

/// Returns a delete that is conditional on the revision read, so that a row that was claimed again
/// in the meantime is kept.
fn delete(row: Row) -> Write {
    Write { key: row.key, expect: Some(row.revision), value: None }
}

/// Sweeps all shards continuously. Starts at a random shard, so that nodes are spread over them.
pub async fn sweep_all<T: Table>(table: T, nodes: impl Fn() -> u32) {
    let mut shard: u32 = rand::random();
    loop {
        tokio::time::sleep(PAUSE * nodes().max(1)).await;
        // A shard that fails is swept again in the next cycle.
        _ = sweep(&table, shard, super::unix_now()).await;
        shard = shard.wrapping_add(1);
    }
}

/// Returns the shard of a row key.
pub fn shard_of(row: &str) -> Option<u32> {
    let digits: CompactString = row.strip_prefix(PREFIX)?.chars().take(4).collect();
    u32::from_str_radix(&digits, 16).ok()
}
