//! Limits of operators: the share of the requests of a route or an account that is still admitted, for
//! a time.
//!
//! A limit is a row of the store. Each node decides alone, from the row, the request and the time; it
//! needs neither counters nor messages. Requests are selected by the hash of their attempt id, so that
//! all nodes agree, and a lower share admits a subset of the requests of a higher one.

use {
    compact_str::{CompactString, format_compact},
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, time::Duration},
    xxhash_rust::xxh64::xxh64,
};

/// Prefix of the rows' keys, followed by `SERVICE/SUBJECT`.
pub const PREFIX: &str = "admission/";
/// Maximum size of a row's value in bytes, so that the rows of all limits fit into a peer message.
pub const MAX_VALUE_BYTES: usize = 1_024;
/// Maximum size of a row's key in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// Result whose error is an [`InvalidLimit`].
pub type Result<T> = std::result::Result<T, InvalidLimit>;

/// Requests that a limit applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// Requests of a route.
    Route(CompactString),
    /// Requests of an account.
    Account(CompactString),
}

/// A limit of an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Service.
    pub service: CompactString,
    /// Requests that are limited.
    pub subject: Subject,
    /// Share of the requests that are admitted, from 0 to 1.
    pub share: f64,
    /// Time at which the limit ends, in milliseconds since the Unix epoch.
    pub until: u64,
    /// Reason given by the operator.
    pub reason: CompactString,
}

/// Content of a row.
#[derive(Deserialize, Serialize)]
struct Value {
    share: f64,
    until: u64,
    reason: CompactString,
}

/// Why a row is not a limit.
#[derive(Clone, Debug, PartialEq)]
#[derive(thiserror::Error)]
pub enum InvalidLimit {
    /// The key has another form.
    #[error("the key is not `{PREFIX}SERVICE/route=NAME` or `{PREFIX}SERVICE/account=NAME`")]
    Key,
    /// The key or the value is too long.
    #[error("longer than {MAX_KEY_BYTES} bytes of key and {MAX_VALUE_BYTES} bytes of value")]
    Length,
    /// The value is not a JSON object with the required fields.
    #[error("invalid value: {0}")]
    Value(CompactString),
    /// The share is out of range.
    #[error("the share {0} is not from 0 to 1")]
    Share(f64),
}

/// Attributes of a request that limits depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// Service.
    pub service: &'a str,
    /// Name of the route.
    pub route: &'a str,
    /// Name of the account, if it has one.
    pub account: Option<&'a str>,
    /// Attempt id.
    pub id: &'a str,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision<'a> {
    /// No limit rejects the request.
    Admit,
    /// The request is beyond the share of this limit.
    Reject(&'a Limit),
}

/// Decides on a request at the time `now`, in milliseconds since the Unix epoch. The strictest limit
/// on it applies.
pub fn decide<'a>(
    limits: impl IntoIterator<Item = &'a Limit>,
    request: &Request,
    now: u64,
) -> Decision<'a> {
    let valid = limits.into_iter().filter(|limit| !limit.is_expired(now) && limit.covers(request));
    let order = |a: &&Limit, b: &&Limit| {
        let by_share = a.share.total_cmp(&b.share);
        by_share.then(b.until.cmp(&a.until)).then_with(|| a.subject.cmp(&b.subject))
    };
    match valid.min_by(order) {
        Some(limit) if position(request.id) >= limit.share => Decision::Reject(limit),
        _ => Decision::Admit,
    }
}

impl Limit {
    /// Parses a row.
    pub fn parse(key: &str, value: &[u8]) -> Result<Limit> {
        let path = key.strip_prefix(PREFIX).and_then(|rest| rest.split_once('/'));
        let (service, subject) = path.filter(|(s, _)| !s.is_empty()).ok_or(InvalidLimit::Key)?;
        let subject = subject.parse()?;
        if key.len() > MAX_KEY_BYTES || value.len() > MAX_VALUE_BYTES {
            return Err(InvalidLimit::Length);
        }
        let Value { share, until, reason } = serde_json::from_slice(value)
            .map_err(|error| InvalidLimit::Value(format_compact!("{error}")))?;
        if !(0.0..=1.0).contains(&share) {
            return Err(InvalidLimit::Share(share));
        }
        Ok(Limit { service: service.into(), subject, share, until, reason })
    }

    /// Returns the key of the row.
    pub fn key(&self) -> CompactString {
        key(&self.service, &self.subject)
    }

    /// Returns the value of the row.
    pub fn encode(&self) -> Vec<u8> {
        let &Limit { share, until, ref reason, .. } = self;
        let value = Value { share, until, reason: reason.clone() };
        serde_json::to_vec(&value).expect("plain data serializes")
    }

    /// Returns whether the limit has ended.
    pub fn is_expired(&self, now: u64) -> bool {
        self.until <= now
    }

    /// Returns the time until the limit ends.
    pub fn time_left(&self, now: u64) -> Duration {
        Duration::from_millis(self.until.saturating_sub(now))
    }

    fn covers(&self, request: &Request) -> bool {
        let is_subject = match &self.subject {
            Subject::Route(name) => request.route == name,
            Subject::Account(name) => request.account == Some(name.as_str()),
        };
        is_subject && request.service == self.service
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Route(name) => write!(f, "route={name}"),
            Subject::Account(name) => write!(f, "account={name}"),
        }
    }
}

impl FromStr for Subject {
    type Err = InvalidLimit;

    fn from_str(text: &str) -> Result<Subject> {
        match text.split_once('=') {
            Some((_, "")) => Err(InvalidLimit::Key),
            Some(("route", name)) => Ok(Subject::Route(name.into())),
            Some(("account", name)) => Ok(Subject::Account(name.into())),
            _ => Err(InvalidLimit::Key),
        }
    }
}

/// Returns the key of the row of a limit.
pub fn key(service: &str, subject: &Subject) -> CompactString {
    format_compact!("{PREFIX}{service}/{subject}")
}

/// Returns a number from 0 to less than 1 that depends on the attempt id only.
fn position(id: &str) -> f64 {
    // A double has 53 significant bits.
    let bits = 53;
    (xxh64(id.as_bytes(), 0) >> (u64::BITS - bits)) as f64 / (1u64 << bits) as f64
}
