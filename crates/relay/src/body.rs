//! Response bodies.

use {
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    std::{
        cell::Cell,
        convert::Infallible,
        fmt,
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
    complete: Rc<Cell<bool>>,
}

/// Sender of a streamed body.
pub struct BodySender {
    events: mpsc::Sender<Bytes>,
    complete: Rc<Cell<bool>>,
}

/// Error of an aborted stream. The connection is closed without the final chunk, so that a
/// truncated body is not taken for a complete one.
#[derive(Clone, Copy, Debug)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream was aborted before its end")
    }
}

impl std::error::Error for Aborted {}

impl From<Infallible> for Aborted {
    fn from(never: Infallible) -> Aborted {
        match never {}
    }
}

/// Returns a body that the task `fill` produces while it is being sent.
pub fn stream<F, W>(fill: F) -> ResponseBody
where
    F: FnOnce(BodySender) -> W,
    W: Future<Output = ()> + 'static,
{
    let (events_sender, events) = mpsc::channel(BUFFERED_EVENTS);
    let complete = Rc::new(Cell::new(false));
    let sender = BodySender { events: events_sender, complete: complete.clone() };
    let task = tokio::task::spawn_local(fill(sender)).abort_handle();
    ResponseBody::Stream(Stream { events, ended: false, task, complete })
}

impl BodySender {
    /// Sends an event; returns false if the caller has disconnected.
    pub async fn push(&self, bytes: Bytes) -> bool {
        self.events.send(bytes).await.is_ok()
    }

    /// Ends the body as complete. Dropping the sender without this call aborts the body.
    pub fn finish(self) {
        self.complete.set(true);
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
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
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
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.events.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Poll::Ready(None) => {
                self.ended = true;
                let complete = self.complete.get();
                Poll::Ready((!complete).then_some(Err(Aborted)))
            }
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.task.abort();
    }
}
