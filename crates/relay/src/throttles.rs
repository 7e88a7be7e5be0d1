//! Limits of operators on the admission of requests that this node knows.
//!
//! The rows come from the nodes' table of the store or from peers. Of several versions of a row the one
//! with the latest revision applies, so that their order of arrival does not matter.

use {
    crate::{call::Call, log_messages::THROTTLED, metrics::Metrics},
    bilberryfront_decide::{
        admission::throttle::{Decision, Limit, MAX_KEY_BYTES, PREFIX, Request, decide},
        id::StoreRevision,
        member::message::TableRow,
    },
    bilberryfront_peer::codec::THROTTLES_LIMIT,
    compact_str::CompactString,
    rand::Rng,
    rustc_hash::FxHashMap,
    std::{
        cell::{Cell, RefCell},
        ops::Range,
        rc::Rc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::time::Instant,
};

/// Maximum `Retry-After` of a rejected request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Range of the random factor of `Retry-After`, so that rejected callers do not return at the same
/// time.
const RETRY_SPREAD: Range<f64> = 0.5..1.0;
/// Time in milliseconds for which the removal of a row is remembered and repeated at least, so that a
/// peer that has missed it does not pass the former row on.
const REMOVAL_TTL_MS: u64 = 60_000;

/// Limits of operators. Clones share their state.
#[derive(Clone, Default)]
pub struct Throttles {
    rows: Rc<RefCell<FxHashMap<CompactString, KnownRow>>>,
    /// Time of the system's clock when it was last read, from which the time is continued on the
    /// runtime's clock.
    clock: Rc<Cell<Option<(Instant, u64)>>>,
}

/// Latest version of a row.
struct KnownRow {
    revision: StoreRevision,
    /// `None` if the row was removed or is invalid.
    limit: Option<Limit>,
    /// Time until which the row is kept, in milliseconds since the Unix epoch.
    keep_until: u64,
}

impl Throttles {
    /// Applies rows of the nodes' table; those with other keys are ignored.
    pub fn apply(&self, rows: &[TableRow]) {
        self.clock.set(Some((Instant::now(), unix_millis())));
        let now = self.now();
        let mut known = self.rows.borrow_mut();
        for row in rows.iter().filter(|row| row.key.starts_with(PREFIX)) {
            let former = known.get(&row.key);
            if former.is_some_and(|former| former.revision >= row.revision) {
                continue;
            }
            let limit = parse(row).filter(|limit| !limit.is_expired(now));
            let is_ignored = row.key.len() > MAX_KEY_BYTES
                || former.is_none() && !make_room(&mut known, limit.is_some());
            if is_ignored {
                log::warn!(key = row.key.as_str(); "operator's limit ignored: too many or too long");
                continue;
            }
            let former = known.get(&row.key);
            let end = limit.as_ref().map_or(now + REMOVAL_TTL_MS, |limit| limit.until);
            let keep_until = former.map_or(end, |former| former.keep_until.max(end));
            log_change(former.and_then(|former| former.limit.as_ref()), limit.as_ref(), now);
            known.insert(row.key.clone(), KnownRow { revision: row.revision, limit, keep_until });
        }
    }

    /// Removes expired rows, and returns the others for peers that have missed a change.
    pub fn snapshot(&self) -> Vec<TableRow> {
        let now = self.now();
        let mut known = self.rows.borrow_mut();
        known.retain(|key, row| {
            if row.limit.as_ref().is_some_and(|limit| limit.is_expired(now)) {
                log::info!(key = key.as_str(); "operator's limit expired");
                row.limit = None;
            }
            now < row.keep_until
        });
        let row = |(key, row): (&CompactString, &KnownRow)| TableRow {
            key: key.clone(),
            revision: row.revision,
            value: row.limit.as_ref().map(Limit::encode),
        };
        known.iter().map(row).collect()
    }

    /// Returns the `Retry-After` of a request that a limit rejects; `None` if it is admitted.
    pub(crate) fn reject(&self, call: &Call, metrics: &Metrics) -> Option<Duration> {
        let known = self.rows.borrow();
        if known.is_empty() {
            return None;
        }
        let now = self.now();
        let request = Request {
            service: &call.service,
            route: &call.route.name,
            account: call.account.as_ref().map(|account| account.name.as_str()),
            id: &call.head.id,
        };
        let limits = known.values().filter_map(|row| row.limit.as_ref());
        let Decision::Reject(limit) = decide(limits, &request, now) else { return None };
        metrics.count_throttled(&limit.subject);
        log::info!(request = request.id, service = request.service,
            subject:% = limit.subject, share = limit.share, reason = limit.reason.as_str();
            "{THROTTLED}");
        let longest = limit.time_left(now).min(MAX_RETRY_AFTER);
        Some(longest.mul_f64(rand::rng().random_range(RETRY_SPREAD)))
    }

    /// Returns the time in milliseconds since the Unix epoch; 0 before the first row.
    fn now(&self) -> u64 {
        let (read_at, time) = self.clock.get().unwrap_or_else(|| (Instant::now(), 0));
        time + read_at.elapsed().as_millis() as u64
    }
}

/// Returns whether there is room for another row. A limit replaces the removed row that would be kept
/// for the shortest time.
fn make_room(known: &mut FxHashMap<CompactString, KnownRow>, is_limit: bool) -> bool {
    if known.len() < THROTTLES_LIMIT {
        return true;
    }
    let removed = known.iter().filter(|(_, row)| is_limit && row.limit.is_none());
    let key = removed.min_by_key(|(_, row)| row.keep_until).map(|(key, _)| key.clone());
    key.is_some_and(|key| known.remove(&key).is_some())
}

fn parse(row: &TableRow) -> Option<Limit> {
    let limit = Limit::parse(&row.key, row.value.as_ref()?);
    limit
        .inspect_err(|error| {
            log::warn!(key = row.key.as_str(), revision:% = row.revision;
                "operator's limit ignored: {error}");
        })
        .ok()
}

fn log_change(former: Option<&Limit>, limit: Option<&Limit>, now: u64) {
    match (former, limit) {
        (former, Some(limit)) if former != Some(limit) => {
            let left = limit.time_left(now).as_millis() as u64;
            log::warn!(service = limit.service.as_str(), subject:% = limit.subject,
                share = limit.share, left, reason = limit.reason.as_str();
                "operator's limit in force");
        }
        (Some(former), None) => {
            log::info!(service = former.service.as_str(), subject:% = former.subject;
                "operator's limit lifted");
        }
        _ => {}
    }
}

fn unix_millis() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.unwrap_or_default().as_millis() as u64
}
