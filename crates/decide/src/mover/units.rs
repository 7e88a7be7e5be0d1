//! Units of time and share in a move's rows.

use serde::{Deserialize, Serialize};

/// Milliseconds: either a wall-clock time since the Unix epoch or a duration. Wall-clock time is
/// only used for deadlines, so a wrong clock shifts a schedule but never a lease.
pub type Millis = u64;

/// A fraction of the requests, in ten-thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Share(pub u16);

impl Share {
    /// No request.
    pub const NONE: Share = Share(0);
    /// Every request.
    pub const ALL: Share = Share(10_000);

    /// Returns the share as a fraction from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Share::ALL.0)
    }

    /// Returns whether a request with this hash is in the share. A request in one share is also in
    /// every larger one.
    pub fn holds(self, hash: u64) -> bool {
        hash % u64::from(Share::ALL.0) < u64::from(self.0)
    }
}
