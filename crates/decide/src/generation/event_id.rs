//! Event ids of a caller's stream, which contain all that a node needs to resume it.

use {
    crate::id::{Attempt, Index},
    compact_str::CompactString,
    std::{
        fmt::{self, Display, Formatter},
        str::FromStr,
    },
    xxhash_rust::xxh64::Xxh64,
};

/// A result whose error is [`BadEventId`].
pub type Result<T> = std::result::Result<T, BadEventId>;

/// Maximum size of an event id in bytes; longer ids are rejected unread.
pub const MAX_EVENT_ID_BYTES: usize = 256;

/// Error of parsing an event id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("invalid event id: expected `REQUEST.ATTEMPT.NEXT.DIGEST.VERSION`")]
pub struct BadEventId;

/// Position after one event of a stream, formatted as `REQUEST.ATTEMPT.NEXT.DIGEST.VERSION`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// Identifier of the request.
    pub request: CompactString,
    /// Attempt that produced the event.
    pub attempt: Attempt,
    /// Index of the next token.
    pub next: Index,
    /// Digest of account, request and the text up to this position.
    pub digest: u64,
    /// Version that produced the text.
    pub version: CompactString,
}

impl Display for EventId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let EventId { request, attempt, next, digest, version } = self;
        write!(f, "{request}.{attempt}.{next}.{digest:016x}.{version}")
    }
}

impl FromStr for EventId {
    type Err = BadEventId;

    fn from_str(text: &str) -> Result<EventId> {
        if text.len() > MAX_EVENT_ID_BYTES {
            return Err(BadEventId);
        }
        let mut parts = text.splitn(5, '.');
        let mut part = || parts.next().filter(|p| !p.is_empty()).ok_or(BadEventId);
        Ok(EventId {
            request: part()?.into(),
            attempt: part()?.parse().map_err(|_| BadEventId)?,
            next: part()?.parse().map_err(|_| BadEventId)?,
            digest: u64::from_str_radix(part()?, 16).map_err(|_| BadEventId)?,
            version: part()?.into(),
        })
    }
}

/// Incremental digest of account, request and text, independent of how the text is split.
///
/// It detects mistakes of a caller, such as text of another request or a missing piece, but not
/// forgery: a caller that forges an id can only corrupt its own answer.
#[derive(Clone)]
pub struct Digest(Xxh64);

impl Digest {
    /// Returns the digest of a request before any text.
    pub fn new(account: &str, model: &str, prompt: &str, limit: Index) -> Digest {
        /// Separator of the fields, so that moving a byte from one field to the next changes the
        /// digest.
        const SEPARATOR: &[u8] = &[0xff];
        let mut hash = Xxh64::new(0);
        for field in [account, model, prompt] {
            hash.update(field.as_bytes());
            hash.update(SEPARATOR);
        }
        hash.update(&limit.to_le_bytes());
        Digest(hash)
    }

    /// Appends text.
    pub fn push(&mut self, text: &str) {
        self.0.update(text.as_bytes());
    }

    /// Returns the current value.
    pub fn value(&self) -> u64 {
        self.0.digest()
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({:016x})", self.value())
    }
}
