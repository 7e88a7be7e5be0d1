//! One run of a stream on one runner.

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

/// A run and its connection; dropping it closes the connection and cancels the run.
pub(super) struct Run {
    connection: Connection,
    body: Incoming,
    splitter: Splitter,
    lease: Lease,
    replica: Option<Replica>,
    idle_timeout: Option<Duration>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunEnd {
    /// Complete.
    Whole,
    /// Connection error, or end of stream within an event.
    Cut,
    /// Timeout.
    Silent,
    /// Missing event or malformed data.
    Disorder,
}

impl Run {
    /// Starts reading a response.
    pub(super) fn new(reply: Reply, lease: Lease, replica: Option<Replica>) -> (Parts, Run) {
        let Reply { mut parts, head, body, connection } = reply;
        // Events of further runs change the length.
        parts.headers.remove(header::CONTENT_LENGTH);
        let splitter = Splitter::default();
        (parts, Run { connection, body, splitter, lease, replica, idle_timeout: head.idle })
    }

    /// The next event after `position`, within `timeout`.
    pub(super) async fn next(
        &mut self,
        timeout: Duration,
        position: Option<u64>,
    ) -> Result<Event, RunEnd> {
        let until = Instant::now() + timeout;
        loop {
            match self.splitter.take() {
                Ok(Some(event)) => match check_continuity(&event, position) {
                    Continuity::Next => return Ok(event),
                    Continuity::Duplicate => continue,
                    Continuity::Gap => return Err(RunEnd::Disorder),
                },
                Ok(None) => {}
                Err(_) => return Err(RunEnd::Disorder),
            }
            let frame = timeout_at(until, self.body.frame()).await.map_err(|_| RunEnd::Silent)?;
            match frame {
                Some(Ok(frame)) => self.push_frame(&frame),
                Some(Err(_)) => return Err(RunEnd::Cut),
                None if self.splitter.is_partial() => return Err(RunEnd::Cut),
                None => return Err(RunEnd::Whole),
            }
        }
    }

    /// Marks the prompt as prefilled.
    pub(super) fn mark_started(&mut self) {
        self.lease.mark_prefilled();
    }

    /// The runner.
    pub(super) fn endpoint(&self) -> &Endpoint {
        &self.lease.endpoint
    }

    /// The replica.
    pub(super) fn replica(&self) -> Option<&Replica> {
        self.replica.as_ref()
    }

    /// Replaces the replica.
    pub(super) fn set_replica(&mut self, replica: Option<Replica>) {
        self.replica = replica;
    }

    /// Returns the connection of a completed run to the pool.
    pub(super) fn release_connection(self, fleet: &Fleet) {
        fleet.return_connection(self.lease.endpoint.key, self.connection, self.idle_timeout);
    }

    fn push_frame(&mut self, frame: &hyper::body::Frame<bytes::Bytes>) {
        if let Some(bytes) = frame.data_ref() {
            self.lease.record_response();
            self.splitter.push(bytes);
        }
    }
}

enum Continuity {
    Next,
    Duplicate,
    Gap,
}

/// Compares an event's id with `position`. A resumed run may repeat events; a gap cannot be
/// repaired.
fn check_continuity(event: &Event, position: Option<u64>) -> Continuity {
    match (event.id, position) {
        (Some(id), Some(last)) if id <= last => Continuity::Duplicate,
        (Some(id), Some(last)) if id > last + 1 => Continuity::Gap,
        _ => Continuity::Next,
    }
}
