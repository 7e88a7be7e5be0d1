//! The lease of an entry: it selects the node that advances the entry's move, and provides the
//! fencing number for orders to runners.
//!
//! Clocks are not synchronized. The holder measures the lease's duration from before it sent the
//! write; all others measure it from when they first saw the row of that write. The holder
//! therefore always stops before another node takes over.

use {
    crate::id::Incarnation,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::Instant,
};

/// Duration of a lease without renewal.
pub const TTL: Duration = Duration::from_secs(9);
/// Time after which others take over the lease. Longer than [`TTL`], to allow for clocks that run
/// at different speeds.
pub const TAKE_OVER_AFTER: Duration = Duration::from_secs(10);
/// Time after which the holder renews the lease.
pub const RENEW_AFTER: Duration = Duration::from_secs(3);
/// Maximum number of own writes that are remembered, because their responses may be lost or late.
const MAX_WRITES: usize = 4;

/// Value of the lease's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRow {
    /// Holder.
    pub holder: Incarnation,
    /// Fencing number; increases with each change of the holder.
    pub fence: u64,
    /// Random number that identifies the write.
    pub commit: u64,
}

/// One node's view of a lease.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    row: Option<LeaseRow>,
    revision: u64,
    first_seen: Option<Instant>,
    writes: Vec<(u64, Instant)>,
}

impl Lease {
    /// Records the row as read or written at `now`. Older revisions are ignored.
    pub fn observe(&mut self, now: Instant, revision: u64, row: Option<LeaseRow>) {
        let newer = self.first_seen.is_none() || revision > self.revision;
        if newer {
            self.revision = revision;
            self.row = row;
            self.first_seen = Some(now);
        }
    }

    /// Returns the revision that the next write must expect.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the last known holder.
    pub fn holder(&self) -> Option<Incarnation> {
        self.row.map(|r| r.holder)
    }

    /// Returns the fencing number if `me` is certain to hold the lease at `now`.
    ///
    /// Without this check, a holder that was paused would continue to send orders after another
    /// node took over. The check alone doesn't make raises safe; they also depend on the
    /// conditional write. Orders are absolute and idempotent because some runners ignore the
    /// fencing number.
    pub fn fence(&self, now: Instant, me: Incarnation) -> Option<u64> {
        let row = self.row.filter(|r| r.holder == me)?;
        let (_, sent) = self.writes.iter().find(|(commit, _)| *commit == row.commit)?;
        (now < *sent + TTL).then_some(row.fence)
    }

    /// Returns whether `me` should write the row now, to renew the lease or to take over an expired
    /// one.
    pub fn is_due(&self, now: Instant, me: Incarnation) -> bool {
        let Some(first_seen) = self.first_seen else { return false };
        match self.row {
            None => true,
            Some(row) if row.holder == me => {
                let sent = self.writes.iter().find(|(commit, _)| *commit == row.commit);
                sent.is_none_or(|(_, sent)| now >= *sent + RENEW_AFTER)
            }
            Some(_) => now >= first_seen + TAKE_OVER_AFTER,
        }
    }

    /// Returns the row to write, identified by the random number `commit`, and remembers that it
    /// was sent at `now`.
    pub fn prepare_write(&mut self, now: Instant, me: Incarnation, commit: u64) -> LeaseRow {
        if self.writes.len() == MAX_WRITES {
            self.writes.remove(0);
        }
        self.writes.push((commit, now));
        let fence = match self.row {
            Some(row) if row.holder == me => row.fence,
            Some(row) => row.fence + 1,
            None => 1,
        };
        LeaseRow { holder: me, fence, commit }
    }
}
