//! Run of a stream on one runner.

use {
    super::replica::Replica,
    crate::{
        events::{Event, Splitter},
        fleet::{Endpoint, Fleet, Lease},
        pool::Connection,
        runner_client::Reply,
    },
    http::{header, response::Parts},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::time::Duration,
    tokio::time::{Instant, timeout_at},
};

/// A run with its connection; dropping it closes the connection, which cancels the run.
pub(super) struct Run {
    connection: Connection,
    body: Incoming,
    splitter: Splitter,
    /// Whether the end of the connection is the end of a complete response: it has a length or chunks,
    /// or at least one event.
    may_end: bool,
    lease: Lease,
    replica: Option<Replica>,
    idle_timeout: Option<Duration>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunEnd {
    /// The stream is complete.
    Whole,
    /// Connection error, or end of stream within an event or, without a length, before the first one.
    Cut,
    /// No event within the timeout.
    Silent,
    /// Missing event, or an event that is too long.
    Disorder,
}

impl Run {
    /// Creates a run from a response head and its unread body.
    pub(super) fn new(reply: Reply, lease: Lease, replica: Option<Replica>) -> (Parts, Run) {
        let Reply { mut parts, head, body, framed, connection } = reply;
        // The events of later runs change the length.
        parts.headers.remove(header::CONTENT_LENGTH);
        let splitter = Splitter::default();
        let (may_end, idle_timeout) = (framed, head.idle);
        (parts, Run { connection, body, splitter, may_end, lease, replica, idle_timeout })
    }

    /// Returns the next event after `position`, or why there is none within `timeout`.
    pub(super) async fn next(
        &mut self,
        timeout: Duration,
        position: Option<u64>,
    ) -> Result<Event, RunEnd> {
        let until = Instant::now() + timeout;
        loop {
            match self.splitter.take() {
                Ok(Some(event)) => {
                    self.may_end = true;
                    match check_continuity(&event, position) {
                        Continuity::Next => {
                            self.lease.record_response();
                            return Ok(event);
                        }
                        // There may be more of them without end.
                        Continuity::Duplicate if Instant::now() >= until => {
                            return Err(RunEnd::Silent);
                        }
                        Continuity::Duplicate => continue,
                        Continuity::Gap => return Err(RunEnd::Disorder),
                    }
                }
                Ok(None) => {}
                Err(_) => return Err(RunEnd::Disorder),
            }
            // A timeout alone does not end a wait if there is always something to read.
            if Instant::now() >= until {
                return Err(RunEnd::Silent);
            }
            let frame = timeout_at(until, self.body.frame()).await.map_err(|_| RunEnd::Silent)?;
            match frame {
                Some(Ok(frame)) => self.push_frame(&frame),
                Some(Err(_)) => return Err(RunEnd::Cut),
                None if self.splitter.is_partial() || !self.may_end => return Err(RunEnd::Cut),
                None => return Err(RunEnd::Whole),
            }
        }
    }

    /// Marks the prompt as prefilled in the load of the runner.
    pub(super) fn mark_started(&mut self) {
        self.lease.mark_prefilled();
    }

    pub(super) fn endpoint(&self) -> &Endpoint {
        &self.lease.endpoint
    }

    pub(super) fn replica(&self) -> Option<&Replica> {
        self.replica.as_ref()
    }

    pub(super) fn set_replica(&mut self, replica: Option<Replica>) {
        self.replica = replica;
    }

    /// Returns the connection of a completed run to the pool.
    pub(super) fn release_connection(self, fleet: &Fleet) {
        fleet.return_connection(self.lease.endpoint.key, self.connection, self.idle_timeout);
    }

    fn push_frame(&mut self, frame: &hyper::body::Frame<bytes::Bytes>) {
        if let Some(bytes) = frame.data_ref() {
            self.splitter.push(bytes);
        }
    }
}

enum Continuity {
    Next,
    Duplicate,
    Gap,
}

/// Compares an event's id with the id of the last delivered event. A resumed run may repeat events;
/// a missing event cannot be recovered.
fn check_continuity(event: &Event, position: Option<u64>) -> Continuity {
    match (event.id, position) {
        (Some(id), Some(last)) if id <= last => Continuity::Duplicate,
        (Some(id), Some(last)) if id > last + 1 => Continuity::Gap,
        _ => Continuity::Next,
    }
}
