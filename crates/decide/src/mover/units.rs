//! Time and parts, as a move's rows spell them.

use serde::{Deserialize, Serialize};

/// Wall-clock time in milliseconds since the Unix epoch. Only deadlines use it: a clock that is wrong
/// shifts a schedule, never a lease.
pub type Millis = u64;

/// A part of the requests, in ten-thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Share(pub u16);

impl Share {
    /// No request.
    pub const NONE: Share = Share(0);
    /// Every request.
    pub const ALL: Share = Share(10_000);

    /// As a fraction from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Share::ALL.0)
    }

    /// Whether a request with this hash is in the share. A request in a share is in every larger one.
    pub fn holds(self, hash: u64) -> bool {
        hash % u64::from(Share::ALL.0) < u64::from(self.0)
    }
}
