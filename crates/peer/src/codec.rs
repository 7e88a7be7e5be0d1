//! Bytes of a message: a version, a class that bounds its size, the sender's name and the message
//! in postcard.

use {
    crate::{PeerError, Result},
    bilberryfront_decide::member::{MAX_MEMBERS, PeerMessage, message::Relayed},
    bytes::Bytes,
    compact_str::CompactString,
};

/// First byte of every frame; another one is refused.
pub const VERSION: u8 = 2;
/// Most bytes of a frame of [`Class::Control`].
pub const CONTROL_LIMIT: usize = 256 * 1024;
/// Most bytes of a frame of [`Class::Catalog`].
pub const CATALOG_LIMIT: usize = 16 * 1024 * 1024;
/// Bytes before the postcard part: version and class.
pub const HEADER: usize = 2;
/// Most usage lines or news items of a heartbeat.
const ITEMS_LIMIT: usize = 64;
/// Most runners of one message about loads.
pub const LOADS_LIMIT: usize = 1_024;

/// Bytes of one message, with their class.
#[derive(Clone, Debug)]
pub struct Frame {
    /// The class, also the second byte.
    pub class: Class,
    /// Whether it may go as a datagram and be lost.
    pub datagram: bool,
    /// Whether only the newest of its kind is worth sending.
    pub latest: bool,
    /// All bytes.
    pub bytes: Bytes,
}

/// What bounds a frame. A reader knows the class, and so the bound, before it keeps any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Everything small.
    Control,
    /// A whole catalogue, taken only from a node that was asked for it.
    Catalog,
}

impl Class {
    /// The class of a message.
    pub fn of(message: &PeerMessage) -> Class {
        match message {
            PeerMessage::CatalogPush(_) => Class::Catalog,
            _ => Class::Control,
        }
    }

    /// Most bytes of a frame.
    pub fn limit(self) -> usize {
        match self {
            Class::Control => CONTROL_LIMIT,
            Class::Catalog => CATALOG_LIMIT,
        }
    }

    /// Reads the two bytes that every frame starts with.
    pub fn read(header: [u8; HEADER]) -> Option<Class> {
        match header {
            [VERSION, 0] => Some(Class::Control),
            [VERSION, 1] => Some(Class::Catalog),
            _ => None,
        }
    }

    fn byte(self) -> u8 {
        match self {
            Class::Control => 0,
            Class::Catalog => 1,
        }
    }
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum DecodeError {
    /// Another version, an unknown class, or less than a header.
    #[error("no frame of this version")]
    Header,
    /// More bytes or items than its class allows.
    #[error("too large")]
    Oversized,
    /// Not the postcard form of a message, or bytes left over.
    #[error("not a message")]
    Garbled,
}

/// The bytes of `message` from the node `name`.
pub fn encode(name: &CompactString, message: &PeerMessage) -> Result<Frame> {
    let class = Class::of(message);
    let header = vec![VERSION, class.byte()];
    let bytes =
        postcard::to_extend(&(name, message), header).expect("peer messages always serialize");
    if bytes.len() > class.limit() {
        return Err(PeerError::Oversized(bytes.len()));
    }
    let latest = matches!(message, PeerMessage::Heartbeat(_));
    let load = matches!(message, PeerMessage::Load(_) | PeerMessage::Relayed(_));
    let datagram = latest || load;
    Ok(Frame { class, datagram, latest, bytes: bytes.into() })
}

/// Reads a whole frame: the sender's name and the message.
pub fn decode(bytes: &[u8]) -> std::result::Result<(CompactString, PeerMessage), DecodeError> {
    let (header, body) = bytes.split_first_chunk().ok_or(DecodeError::Header)?;
    let class = Class::read(*header).ok_or(DecodeError::Header)?;
    if bytes.len() > class.limit() {
        return Err(DecodeError::Oversized);
    }
    let ((name, message), rest) =
        postcard::take_from_bytes(body).map_err(|_| DecodeError::Garbled)?;
    if !rest.is_empty() || Class::of(&message) != class {
        return Err(DecodeError::Garbled);
    }
    if items(&message) > limit(&message) {
        return Err(DecodeError::Oversized);
    }
    Ok((name, message))
}

fn items(message: &PeerMessage) -> usize {
    match message {
        PeerMessage::Heartbeat(heartbeat) => heartbeat.news.len().max(heartbeat.usage.len()),
        PeerMessage::MembersPush(claims) | PeerMessage::Claims(claims) => claims.len(),
        PeerMessage::Load(load) | PeerMessage::Relayed(Relayed { load, .. }) => {
            load.runners.len().max(load.failed.len()).max(load.restarts.len())
        }
        _ => 0,
    }
}

fn limit(message: &PeerMessage) -> usize {
    match message {
        PeerMessage::MembersPush(_) => MAX_MEMBERS + 1,
        PeerMessage::Load(_) | PeerMessage::Relayed(_) => LOADS_LIMIT,
        _ => ITEMS_LIMIT,
    }
}
