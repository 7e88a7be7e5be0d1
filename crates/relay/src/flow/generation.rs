//! Streams of events, which another runner goes on with when the first is lost.

mod copy;
mod place;
mod run;
mod told;

use {
    self::{
        copy::Backup,
        run::{Ended, Run},
    },
    super::Traffic,
    crate::{
        body::{self, Answer, Feed},
        call::{Call, Size},
        catalog::Kind,
        dialect::{Copy, Dialect, Order},
        events::Event,
        exchange::{Sent, is_failure},
        fleet::{Load, Place, RunnerKey},
        lines::RUN_LOST,
        metrics::{Part, Resume},
        network::Network,
        pool::SendError,
        refusal::Refusal,
    },
    bytes::Bytes,
    http::{Response, response::Parts},
    std::time::Duration,
    tokio::time::Instant,
};

/// Part of the longest pause on time after which a silent runner is left: what remains is the time
/// for another runner to go on from a copy.
const STALL_SHARE: f64 = 0.6;
/// Silence after which a runner is left where the route sets no longest pause.
const STALL_DEFAULT: Duration = Duration::from_secs(2);
/// Most sends of one stream, whatever comes of them.
const SENDS: u32 = 12;

/// A stream on its way.
struct Generation<D, N> {
    traffic: Traffic<D, N>,
    call: Call,
    /// Id of the last event that the caller has.
    position: Option<u64>,
    /// Runners that failed it; tried again only when there is no other.
    failed: Vec<RunnerKey>,
    /// Runners that began it anew.
    runs: u32,
    /// Sends so far.
    sends: u32,
    /// When the first event came.
    began: Option<Instant>,
    /// From what the last run went on.
    resumed: Resume,
    /// A copy of the last run's memory, and who holds it.
    copy: Option<(Place, Copy)>,
    /// A runner's own failure, passed on if no other does better.
    failure: Option<(Parts, Bytes)>,
    /// Why the last run that may have begun brought nothing.
    lost: Option<SendError>,
}

/// A run that has begun.
struct Begun {
    parts: Parts,
    run: Run,
    /// Its first event; `None` when it ended without one.
    first: Option<Event>,
}

/// Why no runner goes on with a stream.
enum Stopped {
    /// A runner's own failure, to be passed on.
    Failure(Parts, Bytes),
    /// This node's refusal.
    Refused(Refusal),
}

/// What came of one send.
enum Tried {
    Begun(Box<Begun>),
    Failure(Parts, Bytes),
    NotRun,
    Unsent,
    Lost(SendError),
}

/// Opens a stream; the answer starts with its first event.
pub(super) async fn serve<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    call: Call,
) -> Response<Answer> {
    let mut generation = Generation::new(traffic.clone(), call);
    match generation.begin().await {
        Ok(Begun { parts, run, first }) => {
            let open = traffic.opened();
            let fill = |feed| async move {
                generation.pump(feed, run, first).await;
                drop(open);
            };
            Response::from_parts(parts, body::stream(fill))
        }
        Err(Stopped::Failure(parts, bytes)) => Response::from_parts(parts, bytes.into()),
        Err(Stopped::Refused(refusal)) => traffic.refuse(&generation.call, refusal),
    }
}

impl<D: Dialect, N: Network> Generation<D, N> {
    fn new(traffic: Traffic<D, N>, call: Call) -> Generation<D, N> {
        Generation {
            traffic,
            position: call.head.resume,
            call,
            failed: Vec::new(),
            runs: 0,
            sends: 0,
            began: None,
            resumed: Resume::Anew,
            copy: None,
            failure: None,
            lost: None,
        }
    }

    /// Sends until a run begins.
    async fn begin(&mut self) -> Result<Begun, Stopped> {
        let end = self.call.deadline();
        let mut cached = if self.sends == 0 { self.find_cached().await } else { None };
        if self.sends == 0 && self.is_hopeless(cached.is_some()) {
            return Err(Stopped::Refused(self.traffic.not_run()));
        }
        while self.may_send(end) {
            let next = cached.take().map(|place| (place, None)).or_else(|| self.next_place());
            let Some((place, copy)) = next else { break };
            let copied = copy.is_some();
            self.sends += 1;
            match self.attempt(&place, copy, end).await {
                Tried::Begun(begun) => {
                    self.runs += u32::from(!copied);
                    self.began.get_or_insert_with(Instant::now);
                    if self.sends == 1 && self.call.head.resume.is_none() {
                        let tokens = self.size().prompt;
                        let took = self.call.start.elapsed();
                        self.traffic.pace(&self.call.service, |pace| pace.has_read(tokens, took));
                    }
                    self.resumed = if copied { Resume::Copy } else { Resume::Anew };
                    self.log_begun(&begun.run, copied);
                    return Ok(*begun);
                }
                Tried::Failure(parts, bytes) => {
                    self.judge(place.key, false);
                    self.runs += 1;
                    self.failure = Some((parts, bytes));
                }
                Tried::NotRun => {}
                Tried::Unsent => self.mark_failed(place.key),
                Tried::Lost(error) => {
                    self.judge(place.key, false);
                    self.runs += u32::from(!copied);
                    self.lost = Some(error);
                    self.mark_failed(place.key);
                }
            }
            // A copy that isn't there, or whose holder had no room for it, says nothing against
            // reading the whole prompt at the same runner.
            if !copied {
                self.failed.push(place.key);
            }
        }
        Err(self.stopped())
    }

    /// Passes events on until the stream has ended or nobody can go on with it.
    async fn pump(&mut self, feed: Feed, mut run: Run, first: Option<Event>) {
        let mut next = first.ok_or(Ended::Whole);
        loop {
            match next {
                Ok(event) => {
                    let bytes = event.bytes.len();
                    self.traffic.exchange.carried(Part::Events, run.place(), bytes);
                    if !self.pass(&feed, event).await {
                        return;
                    }
                    self.renew_backup(&mut run);
                    next = run.next(self.stall(), self.position).await;
                }
                Err(Ended::Whole) => {
                    self.log_ended(&run);
                    self.judge(run.place().key, true);
                    run.keep(&self.traffic.exchange.fleet);
                    return feed.finish();
                }
                Err(reason) => {
                    let lost = Instant::now();
                    self.leave(run, reason);
                    if !self.is_resumable() {
                        return self.log_broken();
                    }
                    match self.begin().await {
                        Ok(begun) => {
                            self.traffic.metrics.resumed(self.resumed, lost.elapsed());
                            run = begun.run;
                            next = begun.first.ok_or(Ended::Whole);
                        }
                        Err(_) => return self.log_broken(),
                    }
                }
            }
        }
    }

    async fn pass(&mut self, feed: &Feed, event: Event) -> bool {
        self.position = event.id.or(self.position);
        feed.push(event.bytes).await
    }

    /// Gives a run up. Its connection closes with it, so that its runner stops before another one
    /// goes on.
    fn leave(&mut self, run: Run, reason: Ended) {
        let key = run.place().key;
        self.judge(key, false);
        log::warn!(request = self.call.head.id.as_str(), runner = run.place().id.as_str(),
            position = self.position.unwrap_or_default(),
            holder = run.backup().map_or("", |b| b.holder().id.as_str());
            "{RUN_LOST}{reason:?}");
        self.mark_failed(key);
        self.failed.push(key);
        self.copy = run.backup().and_then(Backup::take);
        drop(run);
    }

    async fn attempt(&mut self, place: &Place, copy: Option<Copy>, end: Instant) -> Tried {
        let backup = self.choose_backup(place);
        let now = Instant::now();
        let order = Order {
            runner: place.id.clone(),
            left: self.call.patience_end().map(|e| e.saturating_duration_since(now)),
            resume: self.position,
            backup: backup.as_ref().map(|p| p.address),
            copy: copy.clone(),
        };
        let fleet = &self.traffic.exchange.fleet;
        let memory = self.size().total();
        let unread = if copy.is_some() { 0 } else { self.size().prompt };
        let lease = fleet.lease(place.clone(), Load { running: 1, memory, unread });
        let copied = Load { memory, ..Load::default() };
        let id = &self.call.head.id;
        let backup = backup.map(|p| Backup::growing(fleet.lease(p, copied), id));
        let send = async {
            let reply = match self.traffic.exchange.send(&self.call, place, &order, end).await {
                Sent::Answered(reply) if is_failure(reply.parts.status) => {
                    return match self.traffic.exchange.whole(reply, place, end).await {
                        Ok((parts, bytes)) => Tried::Failure(parts, bytes),
                        Err(error) => Tried::Lost(error),
                    };
                }
                Sent::Answered(reply) => reply,
                Sent::NotRun => return Tried::NotRun,
                Sent::Unsent => return Tried::Unsent,
                Sent::Lost(error) => return Tried::Lost(error),
            };
            let (parts, mut run) = Run::new(*reply, lease, backup);
            let patience = end.saturating_duration_since(Instant::now());
            match run.next(patience, self.position).await {
                Ok(first) => {
                    run.has_begun();
                    Tried::Begun(Box::new(Begun { parts, run, first: Some(first) }))
                }
                Err(Ended::Whole) => Tried::Begun(Box::new(Begun { parts, run, first: None })),
                Err(Ended::Silent) => Tried::Lost(SendError::Silent),
                Err(_) => Tried::Lost(SendError::Broken),
            }
        };
        tokio::select! {
            tried = send => tried,
            () = self.traffic.exchange.until_lost(&self.call, place) => Tried::Lost(SendError::Silent),
        }
    }

    fn may_send(&self, end: Instant) -> bool {
        let first = self.sends == 0;
        let runs = self.runs < self.call.route.attempts.max(1);
        let again = self.lost.is_none() || self.is_resumable();
        let left = self.sends < SENDS && Instant::now() < end;
        first || (runs && again && left && self.traffic.may_retry(&self.call.service))
    }

    fn is_resumable(&self) -> bool {
        self.call.route.kind == Kind::Resumable
    }

    /// Tells how the first send ended, where a version is being judged.
    fn judge(&self, key: RunnerKey, ok: bool) {
        if self.sends > 1 {
            return;
        }
        let events = self.position.unwrap_or_default() - self.call.head.resume.unwrap_or_default();
        let pace = self.began.map(|at| at.elapsed().div_f64(events.max(1) as f64));
        let first = self.began.map(|at| at - self.call.start);
        self.traffic.judge(&self.call, key, super::Ended { ok, first, pace });
    }

    fn size(&self) -> Size {
        self.call.head.size.unwrap_or(Size { prompt: 0, output: 0 })
    }

    fn stall(&self) -> Duration {
        self.call.route.gap.map_or(STALL_DEFAULT, |gap| gap.mul_f64(STALL_SHARE))
    }

    fn mark_failed(&self, key: RunnerKey) {
        self.traffic.exchange.fleet.failed(key, Instant::now());
    }

    fn stopped(&mut self) -> Stopped {
        match (self.failure.take(), self.lost) {
            (Some((parts, bytes)), _) => Stopped::Failure(parts, bytes),
            (None, None) => Stopped::Refused(self.traffic.not_run()),
            (None, Some(SendError::Silent)) => Stopped::Refused(Refusal::Timeout),
            (None, Some(_)) => Stopped::Refused(Refusal::Lost),
        }
    }
}
