//! Election of the nodes that read the store for their failure domain.
//!
//! The nodes of a domain are ranked by a hash of their names. The first [`READERS`] nodes read the
//! store and forward changes; the others read it only while no reader reports that the store is
//! available to it. Their attempts are spread over the domain, so that the rate of calls does not
//! depend on its size, even during an outage.

use {
    compact_str::CompactString,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
    xxhash_rust::xxh64::xxh64,
};

/// Number of readers per failure domain.
pub const READERS: usize = 2;
/// Interval of the readers' reports.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Age at which a report expires.
pub const REPORT_TTL: Duration = Duration::from_millis(1_200);
/// Time to wait for the first report of a reader after the start.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of deputies, which replace the readers one after the other; the attempts of all other
/// nodes are at random times.
const DEPUTIES: usize = 4;
/// Delay between the deputies' attempts.
const DEPUTY_INTERVAL: Duration = Duration::from_millis(100);
/// Mean time between attempts in a domain while the store is unavailable.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(500);

/// Nodes of one failure domain by rank.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranking(Vec<CompactString>);

impl Ranking {
    /// Ranks the nodes of a domain.
    pub fn new(names: impl IntoIterator<Item = CompactString>) -> Ranking {
        let mut names: Vec<CompactString> = names.into_iter().collect();
        names.sort_unstable_by_key(|name| (xxh64(name.as_bytes(), 0), name.clone()));
        names.dedup();
        Ranking(names)
    }

    /// Returns the rank of a node; the number of nodes if it is unknown.
    pub fn rank(&self, name: &str) -> usize {
        self.0.iter().position(|n| n == name).unwrap_or(self.0.len())
    }

    /// Returns whether a node is in the domain.
    pub fn contains(&self, name: &str) -> bool {
        self.rank(name) < self.len()
    }

    /// Returns the number of nodes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns all nodes by rank.
    pub fn names(&self) -> &[CompactString] {
        &self.0
    }

    /// Returns the nodes that should read the store.
    pub fn readers(&self) -> &[CompactString] {
        &self.0[..self.0.len().min(READERS)]
    }
}

/// Whether this node reads the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// Relies on the updates of the readers.
    Standby,
    /// Tries whether the store is available to this node.
    Attempt,
    /// Reads the store for the failure domain.
    Reader,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Instant,
    rank: usize,
    available: bool,
}

/// State of this node in the election.
#[derive(Debug)]
pub struct Election {
    role: Role,
    reports: BTreeMap<CompactString, Report>,
    /// Start of the election; `None` while the other nodes are unknown.
    start: Option<Instant>,
    attempt_at: Option<Instant>,
    rng: SmallRng,
}

impl Election {
    /// Creates the state of a node that does not participate before [`Election::start`].
    pub fn new(seed: u64) -> Election {
        let rng = SmallRng::seed_from_u64(seed);
        Election {
            role: Role::Standby,
            reports: BTreeMap::new(),
            start: None,
            attempt_at: None,
            rng,
        }
    }

    /// Starts the election.
    pub fn start(&mut self, now: Instant) {
        self.start = Some(now);
    }

    /// Returns whether this node participates.
    pub fn is_started(&self) -> bool {
        self.start.is_some()
    }

    /// Records the report of a reader.
    pub fn record_report(
        &mut self,
        now: Instant,
        from: &CompactString,
        rank: usize,
        available: bool,
    ) {
        self.reports.retain(|_, report| now < report.at + REPORT_TTL);
        self.reports.insert(from.clone(), Report { at: now, rank, available });
    }

    /// Records the outcome of a poll by this node.
    pub fn record_poll(&mut self, now: Instant, ok: bool, ranking: &Ranking) {
        match (self.role, ok) {
            (Role::Attempt, true) => self.role = Role::Reader,
            (Role::Attempt | Role::Reader, false) => {
                self.role = Role::Standby;
                let pause = ATTEMPT_INTERVAL.mul_f64(ranking.len() as f64);
                self.attempt_at = Some(now + pause.mul_f64(self.rng.random_range(0.5..1.5)));
            }
            _ => {}
        }
    }

    /// Returns whether some other node reports that the store is available to it.
    pub fn has_reader(&self, now: Instant) -> bool {
        self.reports.values().any(|report| report.is_available(now))
    }

    /// Returns whether no reader of a lower rank than this one reports that the store is available.
    pub fn is_first(&self, now: Instant, reader: &str) -> bool {
        let Some(rank) = self.reports.get(reader).map(|report| report.rank) else { return false };
        !self.reports.values().any(|report| report.rank < rank && report.is_available(now))
    }

    /// Returns whether this node should poll the store.
    pub fn step(&mut self, now: Instant, me: &str, ranking: &Ranking) -> bool {
        let Some(start) = self.start else { return false };
        let rank = ranking.rank(me);
        if rank < READERS {
            self.role = Role::Reader;
            return true;
        }
        match self.role {
            Role::Attempt => {}
            Role::Reader if self.is_relieved(now, rank) => self.role = Role::Standby,
            Role::Reader => {}
            Role::Standby if self.has_reader(now) => self.attempt_at = None,
            Role::Standby => {
                self.schedule(now, now.max(start + FIRST_REPORT_TIMEOUT), rank, ranking.len());
            }
        }
        self.role != Role::Standby
    }

    /// Returns whether a node with a lower rank reads the store.
    fn is_relieved(&self, now: Instant, rank: usize) -> bool {
        self.reports.values().any(|report| report.rank < rank && report.is_available(now))
    }

    /// Schedules this node's attempt, at `first` or later, and starts it once it is due.
    fn schedule(&mut self, now: Instant, first: Instant, rank: usize, size: usize) {
        let at = match self.attempt_at {
            Some(at) => at,
            None => {
                let delay = match rank - READERS {
                    deputy if deputy < DEPUTIES => DEPUTY_INTERVAL * deputy as u32,
                    _ => ATTEMPT_INTERVAL.mul_f64(size as f64).mul_f64(self.rng.random()),
                };
                *self.attempt_at.insert(first + delay)
            }
        };
        if now >= at {
            self.role = Role::Attempt;
            self.attempt_at = None;
        }
    }
}

impl Report {
    fn is_available(&self, now: Instant) -> bool {
        self.available && now < self.at + REPORT_TTL
    }
}
