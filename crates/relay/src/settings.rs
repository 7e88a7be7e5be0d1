//! What an entry instance is told at start.

use {
    crate::{budget::Allowance, moves::exposure::Bound},
    compact_str::CompactString,
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// Everything an entry instance is told at start.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Unique name of the instance.
    pub name: CompactString,
    /// Its failure domain.
    pub domain: CompactString,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The platform's store.
    pub store: SocketAddr,
    /// What the platform lets the system do.
    #[serde(default)]
    pub bounds: Bounds,
    /// What to log.
    #[serde(default)]
    pub log: Log,
}

/// Addresses to listen on; the last is UDP, the others are TCP.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// The question whether this instance is ready.
    pub health: SocketAddr,
    /// Callers' question where to connect.
    pub addresses: SocketAddr,
    /// Other instances.
    pub peers: SocketAddr,
    /// Metrics as text; nowhere when absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// What the platform lets the system do. Times are in seconds; an absent one takes its default.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// From the order to leave to the kill.
    pub grace: f64,
    /// From a runner's word that it leaves to the last request that it may get; in milliseconds.
    pub leave_ms: f64,
    /// Longest time for which callers keep an address answer.
    pub keep: f64,
    /// Further sends allowed for each request.
    pub ratio: f64,
    /// Further sends of the whole system allowed besides.
    pub slack: f64,
    /// Time over which further sends are counted.
    pub window: f64,
    /// Part of a service's requests that an unproved version may get during a move.
    pub exposure: f64,
    /// Requests of the whole system that it may get besides.
    pub trials: f64,
}

impl Default for Bounds {
    /// Bounds that are safe on a platform that doesn't tell its own: a short grace, short-lived
    /// answers and few further sends.
    fn default() -> Bounds {
        Bounds {
            grace: 5.0,
            leave_ms: 2_000.0,
            keep: 2.0,
            ratio: 0.2,
            slack: 10.0,
            window: 10.0,
            exposure: 0.05,
            trials: 10.0,
        }
    }
}

/// What to log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Least severe level that is written: `error`, `warn`, `info` or `debug`.
    pub level: CompactString,
}

impl Default for Log {
    fn default() -> Log {
        Log { level: "info".into() }
    }
}

impl Bounds {
    /// From the order to leave to the kill.
    pub fn grace(&self) -> Duration {
        seconds(self.grace)
    }

    /// From a runner's word that it leaves to the last request that it may get.
    pub fn leave(&self) -> Duration {
        seconds(self.leave_ms / 1_000.0)
    }

    /// Longest time for which callers keep an address answer.
    pub fn keep(&self) -> Duration {
        seconds(self.keep)
    }

    /// The bound on an unproved version.
    pub fn exposure(&self) -> Bound {
        Bound { share: self.exposure, slack: self.trials }
    }

    /// The bound on further sends.
    pub fn allowance(&self) -> Allowance {
        Allowance { ratio: self.ratio, slack: self.slack, window: seconds(self.window) }
    }
}

fn seconds(count: f64) -> Duration {
    Duration::try_from_secs_f64(count).unwrap_or_default()
}
