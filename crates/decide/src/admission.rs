//! Admission control of the requests to a service of model engines: which request starts next, how many
//! can start, and how long the others have to wait.
//!
//! Each node decides alone. It knows the load of the engines and the queues of the other nodes from their
//! reports, and lets a request start only if fewer requests wait ahead of it in the whole system than can
//! start. All nodes apply the same order, so that free capacity is not claimed by all of them at once.

pub mod capacity;
pub mod forecast;
pub mod queue;
pub mod throttle;

use std::time::Duration;

/// Parameters of the admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Number of requests of its own size for which a request leaves room on an engine, times its
    /// level.
    pub headroom: u32,
    /// The same for a replica of a request of the highest level.
    pub replica_headroom: u32,
    /// Longest time for which a prompt should wait at an engine for other prompts.
    pub start_delay: Duration,
    /// Number of starts of higher levels after which a waiting request starts as one of the highest
    /// level.
    pub share: u32,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy { headroom: 0, replica_headroom: 1, start_delay: Duration::from_secs(1), share: 8 }
    }
}
