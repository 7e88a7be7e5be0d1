//! Parser for server-sent events.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum size of an event.
pub const EVENT_BYTES: usize = 1 << 20;
/// Prefix of the id field.
const ID: &[u8] = b"id:";
/// Prefix of the data field.
const DATA: &[u8] = b"data";

/// A complete event with its final blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Id of the event; ids are consecutive.
    pub id: Option<u64>,
    /// Bytes of the event as received.
    pub bytes: Bytes,
}

impl Event {
    /// Returns whether the event is a part of an answer; otherwise it is a comment or a blank line.
    pub fn is_answer(&self) -> bool {
        self.id.is_some() || self.bytes.split(|&b| b == b'\n').any(|line| line.starts_with(DATA))
    }
}

/// Error for an event that is longer than [`EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("an event is longer than {EVENT_BYTES} bytes")]
pub struct TooLong;

/// Splitter of a byte stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the buffer that has been searched for the end of the first event.
    searched: usize,
}

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next complete event, if there is one.
    pub fn take(&mut self) -> Result<Option<Event>, TooLong> {
        let Some(end) = self.end() else {
            // The end of the event may be split; it has at most four bytes.
            self.searched = self.buffer.len().saturating_sub(3);
            return if self.buffer.len() > EVENT_BYTES { Err(TooLong) } else { Ok(None) };
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Ok(Some(Event { id: id(&bytes), bytes }))
    }

    /// Returns whether the buffer contains an incomplete event.
    pub fn is_partial(&self) -> bool {
        self.buffer.has_remaining()
    }

    /// Returns the length of the first complete event.
    fn end(&self) -> Option<usize> {
        let buffer = &self.buffer[..];
        (self.searched..buffer.len()).filter(|&i| buffer[i] == b'\n').find_map(|i| {
            match &buffer[i + 1..] {
                [b'\n', ..] => Some(i + 2),
                [b'\r', b'\n', ..] => Some(i + 3),
                _ => None,
            }
        })
    }
}

fn id(event: &[u8]) -> Option<u64> {
    let line = event.split(|&b| b == b'\n').find_map(|line| line.strip_prefix(ID))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
