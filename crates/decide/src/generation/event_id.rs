//! Event ids of a caller's stream: they carry all that a node needs to go on after a cut.

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

/// Most bytes of an event id that is looked at.
pub const MAX_EVENT_ID_BYTES: usize = 256;

/// Not an event id of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("not an event id of this system")]
pub struct BadEventId;

/// The position after one event of a stream, written `REQUEST.ATTEMPT.NEXT.DIGEST.VERSION`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// The request's identifier.
    pub request: CompactString,
    /// Attempt that wrote the event.
    pub attempt: Attempt,
    /// Index of the next token.
    pub next: Index,
    /// Digest of the account, the request and the text up to here.
    pub digest: u64,
    /// Version that wrote the text.
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

/// A digest that grows with the text, whatever pieces the text comes in.
///
/// It guards against a caller's mistake (text of another request, a piece missing), not against
/// forgery: who forges an id can only spoil an answer to himself.
#[derive(Clone)]
pub struct Digest(Xxh64);

impl Digest {
    /// The digest of a request before any text.
    pub fn new(account: &str, model: &str, prompt: &str, limit: Index) -> Digest {
        /// Stands between fields, so that moving a byte from one to the next changes the digest.
        const GAP: &[u8] = &[0xff];
        let mut hash = Xxh64::new(0);
        for field in [account, model, prompt] {
            hash.update(field.as_bytes());
            hash.update(GAP);
        }
        hash.update(&limit.to_le_bytes());
        Digest(hash)
    }

    /// Adds text.
    pub fn push(&mut self, text: &str) {
        self.0.update(text.as_bytes());
    }

    /// Its value now.
    pub fn value(&self) -> u64 {
        self.0.digest()
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({:016x})", self.value())
    }
}
