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

/// Buffered events for a slow caller; beyond it, back-pressure reaches the runner.
const BUFFERED_EVENTS: usize = 16;

/// A response body.
pub enum ResponseBody {
    /// Buffered.
    Buffered(Option<Bytes>),
    /// Streamed.
    Stream(Stream),
}

/// Reading end of a stream; dropping it aborts the task that fills it.
pub struct Stream {
    events: mpsc::Receiver<Bytes>,
    ended: bool,
    task: AbortHandle,
    complete: Rc<Cell<bool>>,
}

/// Writing end of a stream.
pub struct BodySender {
    events: mpsc::Sender<Bytes>,
    complete: Rc<Cell<bool>>,
}

/// An aborted stream. Closes the connection without the final chunk, so that a truncated body does
/// not look complete.
#[derive(Clone, Copy, Debug)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream broke off")
    }
}

impl std::error::Error for Aborted {}

impl From<Infallible> for Aborted {
    fn from(never: Infallible) -> Aborted {
        match never {}
    }
}

/// A body filled by `fill` while it is being read.
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
    /// Sends an event; false if the reader is gone.
    pub async fn push(&self, bytes: Bytes) -> bool {
        self.events.send(bytes).await.is_ok()
    }

    /// Ends the body as complete; dropping the sender aborts it.
    pub fn finish(self) {
        self.complete.set(true);
    }
}

impl ResponseBody {
    /// Empty body.
    pub fn empty() -> ResponseBody {
        ResponseBody::Buffered(None)
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
            ResponseBody::Buffered(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ResponseBody::Stream(stream) => stream.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(bytes) => bytes.is_none(),
            ResponseBody::Stream(stream) => stream.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            ResponseBody::Stream(_) => SizeHint::default(),
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
