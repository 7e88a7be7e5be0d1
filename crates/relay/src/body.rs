//! Response bodies.

use {
    bytes::Bytes,
    http::{HeaderValue, Version, header, response::Parts},
    http_body::{Body, Frame, SizeHint},
    std::{
        cell::Cell,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::{sync::mpsc, task::AbortHandle},
};

/// Number of events buffered for a slow caller; beyond it, the response of the runner is not read
/// any further (backpressure).
const BUFFERED_EVENTS: usize = 16;

/// A response body.
pub enum ResponseBody {
    /// Complete in memory.
    Buffered(Option<Bytes>),
    /// In memory, without a statement where it ends.
    UntilClose(Option<Bytes>),
    /// Produced while it is sent.
    Stream(Stream),
}

/// Receiver of a streamed body; dropping it aborts the task that produces the body.
pub struct Stream {
    events: mpsc::Receiver<Bytes>,
    ended: bool,
    task: AbortHandle,
    end: Rc<Cell<StreamEnd>>,
}

/// Sender of a streamed body.
pub struct BodySender {
    events: mpsc::Sender<Bytes>,
    end: Rc<Cell<StreamEnd>>,
}

type StreamEnd = std::result::Result<(), Incomplete>;

/// Why a body has no end of its own. The connection is closed without the final chunk, so that a truncated body is
/// not taken for a complete one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Incomplete {
    /// More should follow.
    #[error("the stream was aborted before its end")]
    Aborted,
    /// The runner's connection has ended in order, which is the only sign that the body is complete.
    #[error("the stream has ended with the connection of its runner")]
    Unconfirmed,
}

/// Lets a response end with its connection. HTTP/1.0 has no chunks, so that its body needs no stated end.
pub fn end_with_connection(parts: &mut Parts) {
    parts.version = Version::HTTP_10;
    parts.headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// Returns a body that the task `fill` produces while it is being sent.
pub fn stream<F, W>(fill: F) -> ResponseBody
where
    F: FnOnce(BodySender) -> W,
    W: Future<Output = ()> + 'static,
{
    let (events_sender, events) = mpsc::channel(BUFFERED_EVENTS);
    let end = Rc::new(Cell::new(Err(Incomplete::Aborted)));
    let sender = BodySender { events: events_sender, end: end.clone() };
    let task = tokio::task::spawn_local(fill(sender)).abort_handle();
    ResponseBody::Stream(Stream { events, ended: false, task, end })
}

impl BodySender {
    /// Sends an event; returns false if the caller has disconnected.
    pub async fn push(&self, bytes: Bytes) -> bool {
        self.events.send(bytes).await.is_ok()
    }

    /// Ends the body as complete. Dropping the sender without this call or the next one aborts it.
    pub fn finish(self) {
        self.end.set(Ok(()));
    }

    /// Ends the body without a confirmation that it is complete.
    pub fn finish_unconfirmed(self) {
        self.end.set(Err(Incomplete::Unconfirmed));
    }
}

impl ResponseBody {
    /// Returns an empty body.
    pub fn empty() -> ResponseBody {
        ResponseBody::Buffered(None)
    }

    /// Returns a body that ends with its connection, as it may not be complete.
    pub fn until_close(bytes: Bytes) -> ResponseBody {
        ResponseBody::UntilClose(Some(bytes))
    }
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> ResponseBody {
        ResponseBody::Buffered((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        match &mut *self {
            ResponseBody::Buffered(bytes) | ResponseBody::UntilClose(bytes) => {
                Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b))))
            }
            ResponseBody::Stream(stream) => stream.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(bytes) | ResponseBody::UntilClose(bytes) => bytes.is_none(),
            ResponseBody::Stream(stream) => stream.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            ResponseBody::UntilClose(_) | ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}

impl Stream {
    fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.events.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Poll::Ready(None) => {
                self.ended = true;
                Poll::Ready(self.end.get().err().map(Err))
            }
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.task.abort();
    }
}
