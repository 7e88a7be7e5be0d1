//! Bodies that end with their connection.
//!
//! While such a body is sent, the caller's connection is set up to be reset when it is closed, be it by the kernel
//! after the process was killed. A regular close would end the body as complete.

use {
    crate::{
        body::{Incomplete, ResponseBody},
        framing::has_no_body,
    },
    bytes::Bytes,
    http::{HeaderValue, Method, Response, Version, header},
    http_body::{Body, Frame, SizeHint},
    socket2::SockRef,
    std::{
        cell::Cell,
        io::{self, IoSlice},
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// State of a connection, which its stream and the bodies on it share.
#[derive(Clone, Debug, Default)]
pub struct Ending(Rc<Cell<State>>);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// All bodies so far state their end.
    #[default]
    Stated,
    /// A body that ends with the connection is not complete yet.
    Incomplete,
    /// That body is complete, and is sent.
    Complete,
}

impl Ending {
    /// Prepares a response to a request with `method` and `version` for its connection.
    pub fn prepare(
        &self,
        method: &Method,
        version: Version,
        mut response: Response<ResponseBody>,
    ) -> Response<CallerBody> {
        // HTTP/1.0 has no chunks.
        let has_chunks = version > Version::HTTP_10 && response.version() > Version::HTTP_10;
        let is_stated = has_chunks
            || response.body().size_hint().exact().is_some()
            || has_no_body(method, response.status());
        if !is_stated {
            self.0.set(State::Incomplete);
            // hyper would state to an HTTP/1.0 caller that the connection is kept, if that asked for it.
            *response.version_mut() = Version::HTTP_10;
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response.map(|body| CallerBody { body, ending: (!is_stated).then(|| self.clone()) })
    }
}

/// A response body on a caller's connection.
pub struct CallerBody {
    body: ResponseBody,
    /// Set if the body ends with the connection.
    ending: Option<Ending>,
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        let mut frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        // The connection says no more than the runner's did.
        if self.ending.is_some() && matches!(frame, Some(Err(Incomplete::Unconfirmed))) {
            frame = None;
        }
        let is_failed = matches!(frame, Some(Err(_)));
        if !is_failed && (frame.is_none() || self.body.is_end_stream()) {
            self.ending.take().inspect(|ending| ending.0.set(State::Complete));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Connection of a caller that is reset if it is closed within a body that ends with it.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    ending: Ending,
    /// Whether a close resets the connection.
    resets: bool,
}

impl CallerStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, ending: Ending) -> CallerStream {
        CallerStream { stream, ending, resets: false }
    }

    fn set_resets(&mut self, resets: bool) -> io::Result<()> {
        if self.resets != resets {
            SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO))?;
            self.resets = resets;
        }
        Ok(())
    }

    /// Sets up the reset before the first byte of a body is sent.
    fn before_write(&mut self) -> io::Result<()> {
        self.set_resets(self.ending.0.get() != State::Stated)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.before_write()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    /// Closes the connection regularly, unless it is to be reset, which happens when it is dropped.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.ending.0.get() == State::Incomplete {
            return Poll::Ready(Ok(()));
        }
        self.set_resets(false)?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.before_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
