//! Deadlines given by operators.

use {
    jiff::{SignedDuration, Timestamp},
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// A result whose error is a [`BadDeadline`].
pub type Result<T> = std::result::Result<T, BadDeadline>;

/// A deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub enum Deadline {
    /// An absolute time.
    At(Timestamp),
    /// A duration from when the node receives the request, independent of the operator's clock.
    In(SignedDuration),
}

/// Error of a text that is not a deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("`{0}` is neither a time such as 2026-12-03T18:00:00Z nor a duration such as 1h 30m")]
pub struct BadDeadline(String);

impl Deadline {
    /// Returns the absolute time for a request received at `now`; `None` if it is not
    /// representable.
    pub fn from(self, now: Timestamp) -> Option<Timestamp> {
        match self {
            Deadline::At(time) => Some(time),
            Deadline::In(duration) => now.checked_add(duration).ok(),
        }
    }
}

impl FromStr for Deadline {
    type Err = BadDeadline;

    fn from_str(text: &str) -> Result<Deadline> {
        let time = text.parse().map(Deadline::At);
        let deadline = time.or_else(|_| text.parse().map(Deadline::In));
        deadline.map_err(|_| BadDeadline(text.into()))
    }
}

impl TryFrom<String> for Deadline {
    type Error = BadDeadline;

    fn try_from(text: String) -> Result<Deadline> {
        text.parse()
    }
}

impl From<Deadline> for String {
    fn from(deadline: Deadline) -> String {
        deadline.to_string()
    }
}

impl fmt::Display for Deadline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Deadline::At(time) => time.fmt(f),
            Deadline::In(duration) => duration.fmt(f),
        }
    }
}
