//! Run of a stream on one runner.

use {
    super::replica::Replica,
    crate::{
        events::{EVENT_BYTES, Event, Splitter},
        fleet::{Endpoint, EventMeter, Fleet, Lease, Moment},
        framing::Framing,
        metrics::ResponseEnd,
        pool::Connection,
        runner_client::Reply,
    },
    bytes::BytesMut,
    http::{header, response::Parts},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::time::Duration,
    tokio::time::{Instant, timeout_at},
};

/// Interval at which a run without a replica looks for a holder with room.
const REPLICA_INTERVAL: Duration = Duration::from_millis(500);
/// Time after a timeout in which what has arrived is still read: a thread that was suspended sees its
/// timeouts before its sockets.
const READ_TIME: Duration = Duration::from_millis(10);

/// A run with its connection; dropping it closes the connection, which cancels the run.
pub(super) struct Run {
    connection: Connection,
    body: Incoming,
    framing: Framing,
    /// Number of events received.
    events: u32,
    splitter: Splitter,
    /// Comments and blank lines that are forwarded with the next event.
    comments: BytesMut,
    /// Whether the response may end here: its end is stated, or it has at least one event.
    may_end: bool,
    /// Whether the run has had an event that the caller lacked.
    has_advanced: bool,
    lease: Lease,
    replica: Option<Replica>,
    /// Time of the last search for a holder of a replica, after the one before the send.
    replica_search: Instant,
    idle_timeout: Option<Duration>,
    meter: EventMeter,
    /// Start of the wait for more data.
    wait_start: Option<Moment>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunEnd {
    /// The stream is complete.
    Whole,
    /// The response has ended regularly, but only this run says that there are no more events: its response
    /// stated no end, or had no event that the caller lacked.
    Unconfirmed,
    /// Connection error, or end of stream within an event or, without a length, before the first one.
    Cut,
    /// No event within the timeout.
    Silent,
    /// Missing or repeated event, an event that is too long, or a body that is longer than stated.
    Disorder,
}

impl RunEnd {
    pub(super) fn response_end(self) -> ResponseEnd {
        match self {
            RunEnd::Whole | RunEnd::Unconfirmed => ResponseEnd::Regular,
            RunEnd::Cut => ResponseEnd::Cut,
            RunEnd::Silent => ResponseEnd::Silent,
            RunEnd::Disorder => ResponseEnd::Disorder,
        }
    }
}

impl Run {
    /// Creates a run from a response head and its unread body.
    pub(super) fn new(reply: Reply, lease: Lease, replica: Option<Replica>) -> (Parts, Run) {
        let Reply { mut parts, head, body, framing, connection } = reply;
        // The events of later runs change the length.
        parts.headers.remove(header::CONTENT_LENGTH);
        let splitter = Splitter::default();
        let (may_end, idle_timeout) = (framing != Framing::Close, head.idle);
        let comments = BytesMut::new();
        let replica_search = Instant::now();
        let run = Run {
            connection,
            body,
            framing,
            events: 0,
            splitter,
            comments,
            may_end,
            has_advanced: false,
            lease,
            replica,
            replica_search,
            idle_timeout,
            meter: EventMeter::default(),
            wait_start: None,
        };
        (parts, run)
    }

    /// Returns the next event after `position`, or why there is none within `timeout`.
    pub(super) async fn next(
        &mut self,
        timeout: Duration,
        position: Option<u64>,
    ) -> Result<Event, RunEnd> {
        let wait_start = Instant::now();
        let next = self.receive(wait_start + timeout, position).await;
        match next {
            Ok(_) => self.record_event(wait_start),
            Err(_) => self.meter.reset(),
        }
        next
    }

    /// Records the time of an event. The time before the wait was spent on the caller.
    fn record_event(&mut self, wait_start: Instant) {
        if let Some(time) = self.meter.record(wait_start, Instant::now()) {
            self.lease.record_event_time(time);
        }
    }

    async fn receive(&mut self, end: Instant, position: Option<u64>) -> Result<Event, RunEnd> {
        let mut until = end;
        loop {
            let mut is_empty = false;
            match self.splitter.take() {
                Ok(Some(event)) if !event.is_answer() => {
                    self.comments.extend_from_slice(&event.bytes);
                }
                Ok(Some(event)) => {
                    self.may_end = true;
                    self.events += 1;
                    match check_continuity(&event, position) {
                        Continuity::Next => {
                            self.lease.record_response();
                            self.has_advanced = true;
                            return Ok(self.with_comments(event));
                        }
                        // The caller has the comments before it as well.
                        Continuity::Duplicate if !self.has_advanced => self.comments.clear(),
                        Continuity::Duplicate | Continuity::Gap => return Err(RunEnd::Disorder),
                    }
                }
                Ok(None) => is_empty = true,
                Err(_) => return Err(RunEnd::Disorder),
            }
            if self.comments.len() > EVENT_BYTES {
                return Err(RunEnd::Disorder);
            }
            // A timeout alone does not end a wait if there is always something to read.
            if Instant::now() >= until {
                if until > end {
                    return Err(RunEnd::Silent);
                }
                until = Instant::now() + READ_TIME;
            }
            if !is_empty {
                continue;
            }
            let wait_start = *self.wait_start.get_or_insert_with(Moment::now);
            let Ok(frame) = timeout_at(until, self.body.frame()).await else { continue };
            match frame {
                Some(Ok(frame)) => {
                    self.wait_start = None;
                    self.lease.record_arrival(wait_start);
                    self.push_frame(&frame);
                }
                Some(Err(_)) => return Err(RunEnd::Cut),
                None if self.connection.check_length().is_err() => return Err(RunEnd::Disorder),
                None if self.splitter.is_partial() => return Err(RunEnd::Cut),
                // A resumed run may have no event left.
                None if !self.may_end && position.is_none() => return Err(RunEnd::Cut),
                // Comments after the last event; an earlier run may have sent them already.
                None if !self.comments.is_empty() && (self.has_advanced || position.is_none()) => {
                    return Ok(Event { id: None, bytes: self.comments.split().freeze() });
                }
                None if self.has_advanced && self.framing != Framing::Close => {
                    return Err(RunEnd::Whole);
                }
                None => return Err(RunEnd::Unconfirmed),
            }
        }
    }

    /// Adds the comments before an event to it.
    fn with_comments(&mut self, event: Event) -> Event {
        if self.comments.is_empty() {
            return event;
        }
        let mut bytes = self.comments.split();
        bytes.extend_from_slice(&event.bytes);
        Event { id: event.id, bytes: bytes.freeze() }
    }

    /// Marks the prompt as prefilled in the load of the runner.
    pub(super) fn mark_started(&mut self) {
        self.lease.mark_prefilled();
    }

    pub(super) fn endpoint(&self) -> &Endpoint {
        &self.lease.endpoint
    }

    pub(super) fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns whether the connection runs through another node.
    pub(super) fn is_tunneled(&self) -> bool {
        self.connection.is_tunneled()
    }

    /// Returns the number of events received, also of those that the caller had already.
    pub(super) fn event_count(&self) -> u32 {
        self.events
    }

    pub(super) fn replica(&self) -> Option<&Replica> {
        self.replica.as_ref()
    }

    /// Returns whether a holder of a replica may be searched for now, and records the search. A run that
    /// was left without a replica for want of room looks for it at intervals only.
    pub(super) fn begin_replica_search(&mut self) -> bool {
        let is_due = self.replica.is_some() || self.replica_search.elapsed() >= REPLICA_INTERVAL;
        if is_due {
            self.replica_search = Instant::now();
        }
        is_due
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

/// Compares an event's id with the id of the last delivered event; a stream begins with event 1. A resumed
/// run may repeat events; a missing event cannot be recovered.
fn check_continuity(event: &Event, position: Option<u64>) -> Continuity {
    match (event.id, position) {
        (Some(id), Some(last)) if id <= last => Continuity::Duplicate,
        (Some(id), last) if id > last.unwrap_or(0).saturating_add(1) => Continuity::Gap,
        _ => Continuity::Next,
    }
}
