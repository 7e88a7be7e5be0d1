//! Rows of the system itself in the nodes' table, which are written again if a restored store lacks
//! them.
//!
//! Nodes that start later find the others by these rows. The readers of each failure domain check the
//! table after they have read it anew, and write what is missing of their domain.

use {
    super::{Control, authority::Authority, feed::Change, join, members::Membership},
    crate::{
        readers::READERS,
        records::Records,
        store::{Condition, Revision, Row, Store, Write},
    },
    rand::Rng,
    std::time::Duration,
    tokio::time::Instant,
};

/// Time until the first reader of a domain checks the table, before jitter.
const CHECK_DELAY: Duration = Duration::from_millis(300);
/// Additional delay per rank; longer than the interval in which nodes read the rows of earlier ranks.
const RANK_DELAY: Duration = Duration::from_secs(3);
/// Maximum number of rows per transaction, set by the store.
const MAX_WRITES: usize = 100;

/// Authority of this node, and the one in the store.
pub(super) struct OwnRows {
    authority: Authority,
    stored: Option<StoredAuthority>,
    check_at: Option<Instant>,
}

struct StoredAuthority {
    revision: Revision,
    /// `None` if the row is invalid.
    authority: Option<Authority>,
}

impl OwnRows {
    pub(super) fn new(authority: Authority) -> OwnRows {
        OwnRows { authority, stored: None, check_at: None }
    }

    /// Records changed rows of the nodes' table.
    fn observe(&mut self, rows: &[Row], is_snapshot: bool) {
        if is_snapshot {
            self.stored = None;
        }
        for row in rows.iter().filter(|row| row.key == join::AUTHORITY) {
            self.stored = row.value.as_ref().map(|value| StoredAuthority {
                revision: row.revision,
                authority: Authority::parse(value),
            });
        }
    }

    /// Returns the write that restores this node's authority, if it is missing or was replaced.
    fn authority_write(&self) -> Option<Write> {
        let condition = match &self.stored {
            None => Condition::Absent,
            Some(StoredAuthority { revision, authority: None }) => Condition::At(*revision),
            Some(StoredAuthority { revision, authority: Some(stored) }) => {
                if stored.precedes(&self.authority) {
                    log::error!("the store has an older certificate authority than this node");
                }
                if !self.authority.precedes(stored) {
                    return None;
                }
                Condition::At(*revision)
            }
        };
        Some(join::authority_row(&self.authority, condition))
    }
}

impl<R: Records, S: Store> Control<R, S> {
    /// Records a change of the nodes' table, and schedules a check if the table was read anew.
    pub(super) fn observe_own_rows(&mut self, change: &Change) {
        let Some(own_rows) = &mut self.own_rows else { return };
        match change {
            Change::Snapshot(rows) => {
                own_rows.observe(&rows.rows, true);
                let delay = CHECK_DELAY.mul_f64(rand::rng().random_range(0.5..1.5))
                    + RANK_DELAY * self.sync.rank().min(READERS) as u32;
                own_rows.check_at = Some(Instant::now() + delay);
            }
            Change::Rows(rows) => own_rows.observe(&rows.rows, false),
            Change::Unavailable | Change::Available => {}
        }
    }

    /// Writes missing rows if a check is due.
    pub(super) fn check_own_rows(&mut self, now: Instant) {
        let (Some(own_rows), Some(membership)) = (&mut self.own_rows, &self.membership) else {
            return;
        };
        if own_rows.check_at.is_none_or(|at| now < at) {
            return;
        }
        own_rows.check_at = None;
        let authority = own_rows.authority_write();
        let registrations: Vec<Write> = unlisted(membership);
        if authority.is_none() && registrations.is_empty() {
            return;
        }
        log::warn!(authority = authority.is_some(), registrations = registrations.len() as u64;
            "rows of the system are missing in the store: writing them again");
        let authority = authority.into_iter().map(|write| vec![write]);
        let registrations = registrations.chunks(MAX_WRITES).map(<[Write]>::to_vec);
        for writes in authority.chain(registrations) {
            tokio::task::spawn_local(join::write_until_done(self.store.clone(), writes));
        }
    }
}

/// Returns the registrations of running nodes of this failure domain that the store lacks.
fn unlisted(membership: &Membership) -> Vec<Write> {
    membership.unlisted().iter().map(join::registration_row).collect()
}
