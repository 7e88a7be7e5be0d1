//! Streams that end only after everything has been written.

use {
    std::{
        io,
        pin::Pin,
        task::{Context, Poll, Waker, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        time::{Instant, Sleep, sleep},
    },
};

/// Time without progress of the write, after the end has arrived, from which the write has failed. A QUIC stream that
/// the other side has stopped can stay blocked.
const MAX_STALL: Duration = Duration::from_millis(500);

/// Stream whose end is read only once everything has been written, and is an error if that fails. The other side may
/// end its direction and then reset the other one, and a reset is reported only once: a write that gets it
/// leaves a read that sees the end.
#[derive(Debug)]
pub struct WriteFirst<S> {
    stream: S,
    written: Written,
    is_ended: bool,
    /// Waits for the end of the write.
    reader: Option<Waker>,
    stall: Option<Pin<Box<Sleep>>>,
}

/// Result of the last write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    All,
    Part,
    Failed,
}

impl<S: AsyncRead + AsyncWrite + Unpin> WriteFirst<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> WriteFirst<S> {
        WriteFirst { stream, written: Written::All, is_ended: false, reader: None, stall: None }
    }

    fn record_write(&mut self, result: &Poll<io::Result<usize>>, length: usize) {
        self.written = match result {
            Poll::Ready(Ok(count)) if *count == length => Written::All,
            Poll::Ready(Ok(_)) | Poll::Pending => Written::Part,
            Poll::Ready(Err(_)) => Written::Failed,
        };
        if let (Poll::Ready(_), Some(stall)) = (result, &mut self.stall) {
            stall.as_mut().reset(Instant::now() + MAX_STALL);
        }
        if self.written != Written::Part
            && let Some(reader) = self.reader.take()
        {
            reader.wake();
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for WriteFirst<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.is_ended {
            let filled = buffer.filled().len();
            let is_full = buffer.remaining() == 0;
            ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
            if is_full || buffer.filled().len() > filled {
                return Poll::Ready(Ok(()));
            }
            self.is_ended = true;
        }
        match self.written {
            Written::All => Poll::Ready(Ok(())),
            Written::Part => {
                self.reader = Some(context.waker().clone());
                let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(MAX_STALL)));
                ready!(stall.as_mut().poll(context));
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            }
            Written::Failed => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for WriteFirst<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&result, bytes.len());
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.record_write(&result, parts.iter().map(|part| part.len()).sum());
        result
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
