//! Splits a runner's response body into complete server-sent events for the library's reader.
//!
//! This works around four faults of the reader. It decodes invalid UTF-8 lossily, so that a token
//! would reach the caller altered. It treats a CRLF that is split across two frames as two line
//! ends, which ends an event early. It buffers an unterminated event without a limit. It moves its
//! whole buffer for every line, which takes quadratic time for a large frame.

use {
    bytes::{Bytes, BytesMut},
    http_body::Frame,
    std::{
        pin::Pin,
        task::{Context, Poll, ready},
    },
    volo_http::{body::Body, error::BoxError},
};

/// A result whose error is [`BadEvent`].
pub type Result<T> = std::result::Result<T, BadEvent>;

/// Maximum size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

/// Error of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum BadEvent {
    /// It is longer than [`MAX_EVENT_BYTES`].
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// It isn't valid UTF-8.
    #[error("an event isn't valid UTF-8")]
    NotUtf8,
}

/// A body in which each frame is one event, including its blank line.
///
/// An incomplete event at the end of the body is discarded, as the specification of server-sent
/// events requires.
pub struct EventFrames {
    body: Body,
    /// Received bytes that were not scanned yet.
    received: Bytes,
    /// Start of an event whose end was not received yet.
    partial: BytesMut,
    /// Last scanned byte other than CR.
    last: u8,
}

impl EventFrames {
    /// Splits a body whose lines end with LF or CRLF.
    pub fn new(body: Body) -> EventFrames {
        EventFrames { body, received: Bytes::new(), partial: BytesMut::new(), last: 0 }
    }

    /// Returns the next complete event from the received bytes.
    fn next_event(&mut self) -> Option<Result<Bytes>> {
        let Some(end) = self.find_end() else {
            self.partial.extend_from_slice(&self.received);
            self.received.clear();
            let is_too_long = self.partial.len() > MAX_EVENT_BYTES;
            return is_too_long.then_some(Err(BadEvent::TooLong));
        };
        let part = self.received.split_to(end);
        Some(check(match self.partial.is_empty() {
            true => part,
            false => {
                self.partial.extend_from_slice(&part);
                self.partial.split().freeze()
            }
        }))
    }

    /// Returns the position after the next blank line.
    fn find_end(&mut self) -> Option<usize> {
        for (at, &byte) in self.received.iter().enumerate() {
            let is_blank_line = byte == b'\n' && self.last == b'\n';
            if byte != b'\r' {
                self.last = byte;
            }
            if is_blank_line {
                return Some(at + 1);
            }
        }
        None
    }
}

fn check(event: Bytes) -> Result<Bytes> {
    if event.len() > MAX_EVENT_BYTES {
        return Err(BadEvent::TooLong);
    }
    match str::from_utf8(&event) {
        Ok(_) => Ok(event),
        Err(_) => Err(BadEvent::NotUtf8),
    }
}

impl http_body::Body for EventFrames {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BoxError>>> {
        loop {
            if let Some(event) = self.next_event() {
                return Poll::Ready(Some(event.map(Frame::data).map_err(BoxError::from)));
            }
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                // Trailers contain no events.
                Some(Ok(frame)) => self.received = frame.into_data().unwrap_or_default(),
                end => return Poll::Ready(end),
            }
        }
    }
}
