//! Frame codec.
//!
//! A frame has a version byte and a class byte, followed by the sender's name and the message in
//! postcard. Larger frames are compressed with LZ4 after the header.

use {
    crate::{PeerError, Result},
    bilberryfront_decide::member::{
        MAX_MEMBERS, MAX_UPDATES, PeerMessage,
        message::{Heartbeat, Load, NoticeContent, PromptReport},
    },
    bytes::Bytes,
    compact_str::CompactString,
    std::borrow::Cow,
};

/// Protocol version.
pub const VERSION: u8 = 13;
/// Maximum size of a [`Class::Control`] frame, in bytes.
pub const CONTROL_LIMIT: usize = 256 * 1024;
/// Maximum size of a [`Class::Catalog`] frame, in bytes.
pub const CATALOG_LIMIT: usize = 16 * 1024 * 1024;
/// Maximum size of a [`Class::Table`] frame, in bytes.
pub const TABLE_LIMIT: usize = 4 * 1024 * 1024;
/// Header size in bytes: version and class.
pub const HEADER: usize = 2;
/// Flag in the class byte of a compressed frame.
const COMPRESSED: u8 = 0x80;
/// Minimum size of a frame, before compression, that is sent compressed.
const COMPRESS_MIN_BYTES: usize = 512;
/// Size of the prefix of compressed data that states its uncompressed size.
const SIZE_PREFIX_BYTES: usize = size_of::<u32>();
/// Maximum usage entries per heartbeat.
const USAGE_LIMIT: usize = 64;
/// Maximum entries of each kind per load update.
pub const LOADS_LIMIT: usize = 1_024;

/// Maximum processes per message with evidence on a move.
pub const EVIDENCE_LIMIT: usize = 16;
/// Maximum requests per report on crashes.
pub const CRASHES_LIMIT: usize = 256;
/// Maximum entries of each kind per report on prompts.
pub const PROMPTS_LIMIT: usize = 256;
/// Maximum parts per prompt in a report.
pub const PARTS_LIMIT: usize = 64;
/// Maximum number of operators' limits in a notice; their size is bounded, so that they fit into it.
pub const THROTTLES_LIMIT: usize = 64;

/// An encoded message.
#[derive(Clone, Debug)]
pub struct Frame {
    /// Size class.
    pub class: Class,
    /// Whether it may be sent as a datagram.
    pub datagram: bool,
    /// Whether it supersedes earlier frames of its kind.
    pub latest: bool,
    /// Encoded bytes.
    pub bytes: Bytes,
}

/// Size class of a frame. The header states it, so that the receiver knows the maximum size before
/// it buffers the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Control messages.
    Control,
    /// A catalogue; accepted only from a node it was requested from.
    Catalog,
    /// Rows of a table.
    Table,
}

impl Class {
    /// Returns the class of a message.
    pub fn of(message: &PeerMessage) -> Class {
        match message {
            PeerMessage::CatalogPush(_) => Class::Catalog,
            PeerMessage::Table(_) => Class::Table,
            _ => Class::Control,
        }
    }

    /// Returns the maximum frame size in bytes.
    pub fn limit(self) -> usize {
        match self {
            Class::Control => CONTROL_LIMIT,
            Class::Catalog => CATALOG_LIMIT,
            Class::Table => TABLE_LIMIT,
        }
    }

    /// Parses a header; `None` for another version or an unknown class.
    pub fn read(header: [u8; HEADER]) -> Option<Class> {
        match [header[0], header[1] & !COMPRESSED] {
            [VERSION, 0] => Some(Class::Control),
            [VERSION, 1] => Some(Class::Catalog),
            [VERSION, 2] => Some(Class::Table),
            _ => None,
        }
    }

    fn byte(self) -> u8 {
        match self {
            Class::Control => 0,
            Class::Catalog => 1,
            Class::Table => 2,
        }
    }
}

/// Why a frame is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum DecodeError {
    /// Unknown version or class, or truncated.
    #[error("unknown frame version or class, or truncated header")]
    Header,
    /// Exceeds the size or item limit of its message.
    #[error("frame exceeds the size or item limit of its message")]
    Oversized,
    /// Invalid LZ4 or postcard data, trailing bytes, or a message of another class.
    #[error("frame body is not a message of the class in its header")]
    Garbled,
}

/// Encodes a message of the node `name`.
pub fn encode(name: &CompactString, message: &PeerMessage) -> Result<Frame> {
    let class = Class::of(message);
    let header = vec![VERSION, class.byte()];
    let bytes =
        postcard::to_extend(&(name, message), header).expect("peer messages always serialize");
    if bytes.len() > class.limit() {
        return Err(PeerError::Oversized(bytes.len()));
    }
    let bytes = if bytes.len() < COMPRESS_MIN_BYTES { bytes } else { compress(&bytes) };
    let latest = matches!(message, PeerMessage::Heartbeat(_));
    let load = matches!(message, PeerMessage::Load(_) | PeerMessage::RelayedLoad(_));
    let datagram = latest || load;
    Ok(Frame { class, datagram, latest, bytes: bytes.into() })
}

/// Decodes a frame into the sender's name and the message.
pub fn decode(bytes: &[u8]) -> std::result::Result<(CompactString, PeerMessage), DecodeError> {
    let (header, body) = bytes.split_first_chunk().ok_or(DecodeError::Header)?;
    let class = Class::read(*header).ok_or(DecodeError::Header)?;
    if bytes.len() > class.limit() {
        return Err(DecodeError::Oversized);
    }
    let body = match header[1] & COMPRESSED {
        0 => Cow::Borrowed(body),
        _ => Cow::Owned(decompress(body, class)?),
    };
    let ((name, message), rest) =
        postcard::take_from_bytes(&body).map_err(|_| DecodeError::Garbled)?;
    if !rest.is_empty() || Class::of(&message) != class {
        return Err(DecodeError::Garbled);
    }
    if has_too_many_items(&message) {
        return Err(DecodeError::Oversized);
    }
    Ok((name, message))
}

fn compress(frame: &[u8]) -> Vec<u8> {
    let (header, body) = frame.split_at(HEADER);
    let mut bytes = vec![header[0], header[1] | COMPRESSED];
    bytes.extend(lz4_flex::compress_prepend_size(body));
    bytes
}

/// Decompresses a body. Checks the declared size first, because a few bytes could expand to
/// gigabytes.
fn decompress(body: &[u8], class: Class) -> std::result::Result<Vec<u8>, DecodeError> {
    let size: &[u8; SIZE_PREFIX_BYTES] = body.first_chunk().ok_or(DecodeError::Garbled)?;
    if u32::from_le_bytes(*size) as usize > class.limit() {
        return Err(DecodeError::Oversized);
    }
    lz4_flex::decompress_size_prepended(body).map_err(|_| DecodeError::Garbled)
}

/// Returns whether a list in the message is longer than any sender makes it.
fn has_too_many_items(message: &PeerMessage) -> bool {
    match message {
        PeerMessage::Heartbeat(Heartbeat { updates, usage, .. }) => {
            updates.len() > MAX_UPDATES || usage.len() > USAGE_LIMIT
        }
        // At most all updates of a heartbeat are refuted.
        PeerMessage::Claims(claims) => claims.len() > MAX_UPDATES,
        PeerMessage::MembersPush(claims) => claims.len() > MAX_MEMBERS + 1,
        PeerMessage::Load(load) => has_too_many_loads(load),
        PeerMessage::RelayedLoad(relayed) => has_too_many_loads(&relayed.load),
        PeerMessage::MoveEvidence(evidence) => evidence.nodes.len() > EVIDENCE_LIMIT,
        PeerMessage::Notice(notice) => match &notice.content {
            NoticeContent::Crashes(crashes) => crashes.len() > CRASHES_LIMIT,
            NoticeContent::Prompts(report) => has_too_many_prompts(report),
            NoticeContent::Partitions(services) => services.len() > LOADS_LIMIT,
            NoticeContent::Throttles(rows) => rows.len() > THROTTLES_LIMIT,
        },
        _ => false,
    }
}

fn has_too_many_loads(load: &Load) -> bool {
    let (runners, budgets) = (load.runners.len(), load.budgets.uses.len());
    let queues = load.queues.as_ref().map_or(0, Vec::len).max(load.paces.len());
    let receipts = load.budgets.receipts.as_ref().map_or(0, |receipts| receipts.received.len());
    let longest = runners.max(budgets).max(load.failed.len()).max(load.restarts.len());
    longest.max(queues).max(receipts) > LOADS_LIMIT
}

fn has_too_many_prompts(report: &PromptReport) -> bool {
    let PromptReport { crashes, sound, patterns } = report;
    let longest = crashes.len().max(sound.len()).max(patterns.len());
    let prompts = crashes.iter().map(|crash| crash.prompt.parts.len().max(crash.sound.len()));
    let parts = prompts.chain(patterns.iter().map(|report| report.pattern.parts.len()));
    longest > PROMPTS_LIMIT || parts.max().is_some_and(|count| count > PARTS_LIMIT)
}
