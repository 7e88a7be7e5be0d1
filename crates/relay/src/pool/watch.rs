//! Watches what arrives behind a response. A body that is longer than the stated length was not meant to end there.

use {
    crate::framing::is_surplus,
    bytes::{Buf, BytesMut},
    std::{
        cell::RefCell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Maximum size of what is kept of a response until its length is known, in bytes.
const MAX_KEPT: usize = 64 << 10;
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Maximum number of bytes kept behind a body.
const MAX_BEHIND: usize = 8;
/// Offset of the status in a head.
const STATUS_AT: usize = b"HTTP/1.1 ".len();

/// Progress of the response on a connection.
#[derive(Debug, Default)]
pub(super) enum Watch {
    /// Nothing is to be watched.
    #[default]
    Off,
    /// Within the head; holds what has arrived.
    Head(BytesMut),
    /// Behind the head; holds what has arrived of the body.
    Body(BytesMut),
    /// Within or behind a body of known length.
    Length {
        /// Bytes of the body that have not arrived yet.
        left: u64,
        /// First bytes behind the body.
        behind: BytesMut,
    },
}

impl Watch {
    /// Begins with a new response.
    pub(super) fn begin(&mut self) {
        *self = Watch::Head(BytesMut::new());
    }

    /// Sets the length of the body; `None` if it ends otherwise.
    pub(super) fn set_length(&mut self, length: Option<u64>) {
        match (std::mem::take(self), length) {
            (Watch::Body(bytes), Some(left)) => {
                *self = Watch::Length { left, behind: BytesMut::new() };
                self.record(&bytes);
            }
            _ => *self = Watch::Off,
        }
    }

    /// Returns whether bytes have arrived behind the body that do not belong there; see [`is_surplus`].
    pub(super) fn has_surplus(&self) -> bool {
        match self {
            Watch::Length { behind, .. } => is_surplus(behind),
            Watch::Off | Watch::Head(_) | Watch::Body(_) => false,
        }
    }

    fn record(&mut self, bytes: &[u8]) {
        match self {
            Watch::Off => {}
            Watch::Head(head) => {
                head.extend_from_slice(bytes);
                self.skip_heads();
            }
            Watch::Body(body) => body.extend_from_slice(bytes),
            Watch::Length { left, behind } => {
                let within =
                    usize::try_from(*left).map_or(bytes.len(), |left| left.min(bytes.len()));
                *left -= within as u64;
                let rest = &bytes[within..];
                let missing = MAX_BEHIND - behind.len();
                behind.extend_from_slice(&rest[..missing.min(rest.len())]);
            }
        }
        if let Watch::Head(kept) | Watch::Body(kept) = self
            && kept.len() > MAX_KEPT
        {
            *self = Watch::Off;
        }
    }

    /// Skips the final head, and interim responses before it.
    fn skip_heads(&mut self) {
        while let Watch::Head(head) = self {
            while head.first().is_some_and(|byte| b"\r\n".contains(byte)) {
                head.advance(1);
            }
            let end = head.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END);
            let Some(end) = end else { return };
            let is_interim = head.get(STATUS_AT) == Some(&b'1');
            head.advance(end + HEAD_END.len());
            if !is_interim {
                *self = Watch::Body(std::mem::take(head));
            }
        }
    }
}

/// A stream that is watched.
pub(super) struct Watched<S> {
    stream: S,
    watch: Rc<RefCell<Watch>>,
}

impl<S> Watched<S> {
    pub(super) fn new(stream: S, watch: Rc<RefCell<Watch>>) -> Watched<S> {
        Watched { stream, watch }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.watch.borrow_mut().record(&buffer.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
