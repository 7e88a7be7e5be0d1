//! Connections of faulty runners that give responses twice.

use {
    super::Runner,
    std::{
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// A connection on which the last response is sent again, as soon as the next request has been read, while
/// the runner repeats its responses.
pub(super) struct Repeating<S> {
    runner: Rc<Runner>,
    stream: S,
    /// Bytes of the last response.
    response: Vec<u8>,
    /// Bytes of its second copy that are not sent yet.
    copy: Vec<u8>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Repeating<S> {
    pub(super) fn new(runner: Rc<Runner>, stream: S) -> Repeating<S> {
        Repeating { runner, stream, response: Vec::new(), copy: Vec::new() }
    }

    fn poll_send_copy(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.copy.is_empty() {
            let sent = ready!(Pin::new(&mut self.stream).poll_write(context, &self.copy))?;
            self.copy.drain(..sent);
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for Repeating<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > before && !self.response.is_empty() {
            let response = std::mem::take(&mut self.response);
            if self.runner.repeats.get() {
                self.copy = response;
                // What is not sent here precedes the next response.
                _ = self.poll_send_copy(context)?;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Repeating<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_send_copy(context))?;
        let sent = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.response.extend_from_slice(&bytes[..sent]);
        Poll::Ready(Ok(sent))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
