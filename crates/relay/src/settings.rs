//! Settings of a node.

use {
    crate::{budget::Allowance, rollouts::exposure::Bound},
    bilberryfront_decide::admission::Policy,
    compact_str::CompactString,
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// All settings.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Unique name of the instance.
    pub name: CompactString,
    /// Failure domain.
    pub domain: CompactString,
    /// Listen addresses.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time, with all nodes at the same time.
    #[serde(default)]
    pub bootstrap: bool,
    /// Limits that the platform requires.
    #[serde(default)]
    pub bounds: Bounds,
    /// Admission control of streams.
    #[serde(default)]
    pub admission: Admission,
    /// Logging.
    #[serde(default)]
    pub log: Log,
}

/// Listen addresses; `peers` is UDP, the others are TCP.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub health: SocketAddr,
    /// Address queries.
    pub addresses: SocketAddr,
    /// Other nodes.
    pub peers: SocketAddr,
    /// Address at which other nodes reach `peers`, if that is behind a translation of addresses.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Metrics; disabled if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Limits that the platform requires; times are in seconds unless the name has another unit.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Grace period from SIGTERM to the kill.
    pub grace: f64,
    /// Time within which new requests to a draining runner must stop, in milliseconds.
    pub leave_ms: f64,
    /// Time within which a change of the catalogue must be in force, in milliseconds.
    pub apply_ms: f64,
    /// Maximum time to live of an address response.
    pub keep: f64,
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries of the whole system.
    pub slack: f64,
    /// Window of the retry budget.
    pub window: f64,
    /// Maximum share of the requests for a new version during its rollout.
    pub exposure: f64,
    /// Additional requests for the new version.
    pub trials: f64,
    /// Minimum time from the end of a runner until its address is assigned to another service.
    pub reuse: f64,
}

impl Default for Bounds {
    /// Returns conservative values, for a platform without requirements.
    fn default() -> Bounds {
        Bounds {
            grace: 5.0,
            leave_ms: 2_000.0,
            apply_ms: 2_000.0,
            keep: 2.0,
            ratio: 0.2,
            slack: 10.0,
            window: 10.0,
            exposure: 0.05,
            trials: 10.0,
            reuse: 0.0,
        }
    }
}

/// Admission control of streams of services with several priorities.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    /// Number of requests of its own size for which a request leaves room on an engine, times its
    /// level.
    pub headroom: u32,
    /// Number of requests of its own size for which a replica of a request of the highest level
    /// leaves room on its holder.
    pub replica_headroom: u32,
    /// Longest time for which a prompt should wait at an engine for other prompts, in milliseconds.
    pub start_delay_ms: u32,
    /// Number of starts of higher levels after which a waiting request starts as one of the highest
    /// level.
    pub share: u32,
}

impl Default for Admission {
    fn default() -> Admission {
        let Policy { headroom, replica_headroom, start_delay, share } = Policy::default();
        let start_delay_ms = u32::try_from(start_delay.as_millis()).unwrap_or(u32::MAX);
        Admission { headroom, replica_headroom, start_delay_ms, share }
    }
}

impl Admission {
    /// Returns the parameters of the admission control.
    pub fn policy(&self) -> Policy {
        let &Admission { headroom, replica_headroom, start_delay_ms, share } = self;
        let start_delay = Duration::from_millis(start_delay_ms.into());
        Policy { headroom, replica_headroom, start_delay, share }
    }
}

/// Logging.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Minimum level: `error`, `warn`, `info` or `debug`.
    pub level: CompactString,
}

impl Default for Log {
    fn default() -> Log {
        Log { level: "info".into() }
    }
}

impl Bounds {
    /// Returns the grace period from SIGTERM to the kill.
    pub fn grace(&self) -> Duration {
        seconds(self.grace)
    }

    /// Returns the time within which a change of the catalogue must be in force.
    pub fn apply_time(&self) -> Duration {
        seconds(self.apply_ms / 1_000.0)
    }

    /// Returns the time within which new requests to a draining runner must stop.
    pub fn drain_reaction_time(&self) -> Duration {
        seconds(self.leave_ms / 1_000.0)
    }

    /// Returns the maximum time to live of an address response.
    pub fn max_addresses_ttl(&self) -> Duration {
        seconds(self.keep)
    }

    /// Returns the minimum time from the end of a runner until its address is assigned to another service.
    pub fn reuse_delay(&self) -> Duration {
        seconds(self.reuse)
    }

    /// Returns the bound on the requests of a new version during its rollout.
    pub fn exposure_bound(&self) -> Bound {
        Bound { share: self.exposure, slack: self.trials }
    }

    /// Returns the bound on retries.
    pub fn retry_allowance(&self) -> Allowance {
        Allowance { ratio: self.ratio, slack: self.slack, window: seconds(self.window) }
    }
}

fn seconds(count: f64) -> Duration {
    Duration::try_from_secs_f64(count).unwrap_or_default()
}
