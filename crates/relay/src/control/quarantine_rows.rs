//! Quarantined requests and patterns of prompts in the nodes' table, for nodes that start when no other one is running.

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
    bilberryfront_decide::member::message::{
        CrashReport, PatternReport, PromptPattern, PromptReport, RequestId,
    },
    compact_str::{CompactString, format_compact},
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::Xxh3,
};

/// Prefix of the keys of requests.
const PREFIX: &str = "quarantine/";
/// Prefix of the keys of patterns.
const PATTERN_PREFIX: &str = "quarantined-prompts/";

/// Content of the row of a request.
#[derive(Deserialize, Serialize)]
struct StoredCrashes {
    request: RequestId,
    runners: Vec<u64>,
    /// Time of the last crash in milliseconds since the Unix epoch.
    at: u64,
}

/// Content of the row of a pattern.
#[derive(Deserialize, Serialize)]
struct StoredPattern {
    pattern: PromptPattern,
    /// Times of the first and the last crash in milliseconds since the Unix epoch.
    since: u64,
    at: u64,
}

impl<R: Records, S: Store> Control<R, S> {
    /// Writes the rows of what this node has quarantined, and deletes those of what it has cleared.
    pub(super) fn write_quarantined(&self, requests: &[CrashReport], patterns: &[PatternReport]) {
        let patterns = patterns.iter().map(pattern_row);
        let rows: Vec<Write> = requests.iter().map(row).chain(patterns).collect();
        if !rows.is_empty() {
            tokio::task::spawn_local(join::write_until_done(self.store.clone(), rows));
        }
    }

    /// Applies rows of the nodes' table.
    pub(super) fn apply_quarantined(&self, rows: &[Row]) {
        let reports: Vec<CrashReport> = rows.iter().filter_map(parse).collect();
        if !reports.is_empty() {
            self.report(PeerReport::Crashes(reports));
        }
        let patterns: Vec<PatternReport> = rows.iter().filter_map(parse_pattern).collect();
        if !patterns.is_empty() {
            let report = PromptReport { patterns, ..PromptReport::default() };
            self.report(PeerReport::Prompts(report));
        }
    }
}

fn row(report: &CrashReport) -> Write {
    let CrashReport { id, runners, age_ms } = report;
    let stored = StoredCrashes { request: *id, runners: runners.clone(), at: time_of(*age_ms) };
    write(key(*id), (!runners.is_empty()).then_some(&stored))
}

fn pattern_row(report: &PatternReport) -> Write {
    let PatternReport { pattern, since_ms, age_ms, cleared } = report;
    let (since, at) = (time_of(*since_ms), time_of(*age_ms));
    let stored = StoredPattern { pattern: pattern.clone(), since, at };
    write(pattern_key(pattern), (!cleared).then_some(&stored))
}

/// Returns the write of a row; `None` deletes it.
fn write<T: Serialize>(key: CompactString, stored: Option<&T>) -> Write {
    let encode = |stored| serde_json::to_vec(stored).expect("plain data serializes").into();
    Write { table: TABLE.into(), key, value: stored.map(encode), condition: Condition::None }
}

fn key(id: RequestId) -> CompactString {
    format_compact!("{PREFIX}{:016x}{:032x}", id.account, id.request)
}

/// Returns the key of a pattern, whose parts may be too many for one.
fn pattern_key(pattern: &PromptPattern) -> CompactString {
    let mut hash = Xxh3::new();
    pattern.account.iter().chain(&pattern.parts).for_each(|id| hash.update(&id.to_le_bytes()));
    format_compact!("{PATTERN_PREFIX}{:032x}", hash.digest128())
}

fn parse(row: &Row) -> Option<CrashReport> {
    row.key.strip_prefix(PREFIX)?;
    let StoredCrashes { request, runners, at } =
        serde_json::from_slice(row.value.as_ref()?).ok()?;
    Some(CrashReport { id: request, runners, age_ms: age_of(at) })
}

fn parse_pattern(row: &Row) -> Option<PatternReport> {
    row.key.strip_prefix(PATTERN_PREFIX)?;
    let StoredPattern { pattern, since, at } = serde_json::from_slice(row.value.as_ref()?).ok()?;
    Some(PatternReport { pattern, since_ms: age_of(since), age_ms: age_of(at), cleared: false })
}

/// Returns the Unix time in milliseconds of what happened `age_ms` ago.
fn time_of(age_ms: u32) -> u64 {
    unix_millis().saturating_sub(u64::from(age_ms))
}

/// Returns the age in milliseconds; 0 if the clock of the node that has written the time is ahead.
fn age_of(time: u64) -> u32 {
    u32::try_from(unix_millis().saturating_sub(time)).unwrap_or(u32::MAX)
}
