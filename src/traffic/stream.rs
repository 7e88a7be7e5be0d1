//! Streams one generation from its runners to its caller, and resumes it at another runner after a
//! failure.

mod job;
mod open;

pub use job::{Delivered, Job, Piece};

use {
    super::{
        chooser::Chooser,
        lease::Lease,
        problem::{self, Kind, not_run},
        upstream::{self, Engines, Failure, RunnerEvent, Source},
    },
    crate::{
        control::Control,
        metrics::{Counter, Timing},
    },
    bilberryfront_decide::{
        action::{Grant, Reason, Rejection},
        event::{Purpose, RunnerRequest, Verdict},
        generation::{Generation, Phase, TokenAction},
        id::{RunnerKey, Ticket},
    },
    bilberryfront_wire::{
        problem::{Problem, Run},
        runner::{Finish, Generate, Token},
    },
    compact_str::{CompactString, format_compact},
    open::{OpenAttempt, millis},
    std::time::Duration,
    tokio::time::Instant,
    xxhash_rust::xxh64::xxh64,
};

/// Maximum number of tokens returned at a time, if a runner is faster than the caller.
const MAX_BATCH: usize = 64;
/// `Retry-After` for a stream that ended early, if the core gives none.
const RESUME_AFTER: Duration = Duration::from_secs(1);

/// Interval at which another runner is requested while a runner is silent.
const REPLACE_INTERVAL: Duration = Duration::from_millis(250);
/// Multiple of the stall limit after which a silent runner is left without another one, so that the caller can
/// resume elsewhere.
const MAX_SILENCE_STALLS: u32 = 3;

/// Drives one generation.
pub struct Driver<E: Engines> {
    control: Control,
    engines: E,
    job: Job,
    generation: Generation,
    text: String,
    current: Option<OpenAttempt<E::Stream>>,
    chooser: Chooser,
    purpose: Purpose,
    ticket: Ticket,
    avoid: Option<RunnerKey>,
    /// Whether a runner may have received the request.
    is_sent: bool,
    /// Runner that was granted in place of a silent one.
    replacement: Option<Grant>,
    /// When a runner was lost; `None` after the next token.
    lost_at: Option<Instant>,
    has_ended: bool,
}

impl<E: Engines> Driver<E> {
    /// Creates a driver that has not requested a runner yet.
    pub fn new(control: Control, engines: E, job: Job, generation: Generation) -> Driver<E> {
        let is_resumed = generation.pin().is_some();
        let chooser = match is_resumed {
            true => Chooser::default(),
            false => {
                let hash = xxh64(job.runner_request.as_bytes(), 0);
                Chooser::new(&control.view(), job.entry, job.account, job.route.clone(), hash)
            }
        };
        Driver {
            chooser,
            ticket: control.next_ticket(),
            text: job.resumed_text.clone(),
            current: None,
            purpose: if is_resumed { Purpose::Resume } else { Purpose::First },
            avoid: None,
            is_sent: false,
            replacement: None,
            lost_at: None,
            has_ended: false,
            control,
            engines,
            job,
            generation,
        }
    }

    /// Returns the number of tokens delivered so far, including those before a resume.
    pub fn tokens(&self) -> u32 {
        self.generation.next()
    }

    /// Returns the text delivered so far, including that before a resume.
    pub fn into_text(self) -> String {
        self.text
    }

    /// Returns the id of the last delivered event.
    pub fn event_id(&self) -> CompactString {
        format_compact!("{}", self.generation.event_id(&self.job.request))
    }

    /// Returns the request that is being generated.
    pub fn job(&self) -> &Job {
        &self.job
    }

    /// Returns the next piece, or `None` after the last.
    pub async fn next(&mut self) -> Option<Piece> {
        while !self.has_ended {
            let step = match self.current.take() {
                // Boxed because the HTTP client's future takes several kilobytes, which the stream
                // would otherwise hold as long as it lasts.
                None => Box::pin(self.start_attempt()).await,
                Some(attempt) => self.read(attempt).await,
            };
            if let Some(piece) = step {
                self.has_ended = !matches!(piece, Piece::Tokens(_));
                return Some(piece);
            }
        }
        None
    }

    async fn start_attempt(&mut self) -> Option<Piece> {
        let grant = match self.replacement.take() {
            Some(grant) => grant,
            None => match self.control.request_runner(self.runner_request(self.avoid)).await {
                Ok(grant) => grant,
                Err(rejection) => return self.on_rejection(&rejection),
            },
        };
        if self.purpose == Purpose::Retry {
            self.control.metrics().add(Counter::Resumes, 1);
        }
        self.purpose = Purpose::Retry;
        let lease = Lease::new(self.control.clone(), grant, self.chooser.trial());
        let generate = self.generate_request(&lease.grant);
        let wait = millis(self.job.limits.first_ms);
        let opened = self.engines.open(&lease.grant.url, &generate, wait).await;
        self.is_sent |= !matches!(opened, Err(Failure::Unsent));
        match opened {
            Ok(upstream) => {
                self.current = Some(OpenAttempt { upstream, lease, pending: None });
                None
            }
            Err(failure) => self.on_failure(failure, lease),
        }
    }

    fn runner_request(&self, avoid: Option<RunnerKey>) -> RunnerRequest {
        RunnerRequest {
            ticket: self.ticket,
            entry: self.job.entry,
            account: self.job.account,
            prefix: Some(self.job.prefix),
            pin: self.generation.pin().or(self.chooser.version()).cloned(),
            avoid,
            purpose: self.purpose,
        }
    }

    fn generate_request(&mut self, grant: &Grant) -> Generate {
        let attempt = self.generation.start_attempt(&grant.version);
        Generate {
            request: self.job.runner_request.clone(),
            attempt,
            model: self.job.model.clone(),
            version: grant.version.clone(),
            prompt: self.job.prompt.clone(),
            index: self.generation.next(),
            prefix: self.text.clone(),
            max_tokens: self.job.max,
            priority: self.job.priority,
        }
    }

    /// Reads until there is a piece for the caller, or the runner is lost.
    async fn read(&mut self, mut open: OpenAttempt<E::Stream>) -> Option<Piece> {
        let mut batch = Vec::new();
        let mut event = self.next_event(&mut open).await;
        loop {
            match event {
                Ok(RunnerEvent::Token(attempt, token)) => {
                    match self.generation.accept(attempt, &token) {
                        TokenAction::Deliver => batch.push(self.deliver(&mut open, token)),
                        TokenAction::Drop => self.control.metrics().add(Counter::DroppedTokens, 1),
                        TokenAction::Garbled => return self.abort(open, batch, Verdict::Garbled),
                    }
                }
                Ok(RunnerEvent::Finish(finish)) => {
                    if batch.is_empty() {
                        return self.finish(open, finish);
                    }
                    open.pending = Some(Ok(RunnerEvent::Finish(finish)));
                    return self.yield_batch(open, batch);
                }
                Ok(RunnerEvent::Done) => return self.abort(open, batch, Verdict::Garbled),
                Err(failure) if batch.is_empty() => return self.on_failure(failure, open.lease),
                Err(failure) => {
                    open.pending = Some(Err(failure));
                    return self.yield_batch(open, batch);
                }
            }
            if batch.len() >= MAX_BATCH {
                return self.yield_batch(open, batch);
            }
            event = match open.upstream.try_next() {
                Some(event) => event,
                None if batch.is_empty() => self.next_event(&mut open).await,
                None => return self.yield_batch(open, batch),
            };
        }
    }

    /// Waits for the next event. A runner that falls silent between two tokens may only be slow: it is left
    /// once another one is granted, or after [`MAX_SILENCE_STALLS`].
    async fn next_event(
        &mut self,
        open: &mut OpenAttempt<E::Stream>,
    ) -> upstream::Result<RunnerEvent> {
        let mut event = open.wait(&self.job.limits).await;
        let end = Instant::now() + millis(self.job.limits.stall_ms) * (MAX_SILENCE_STALLS - 1);
        while event == Err(Failure::Lost(Verdict::Stalled))
            && self.may_replace(&open.lease)
            && Instant::now() < end
        {
            let request = self.runner_request(Some(open.lease.grant.runner));
            let done = open.lease.done(Verdict::Stalled, true);
            if let Ok(grant) = self.control.replace_runner(request, done).await {
                open.lease.is_replaced = true;
                self.replacement = Some(grant);
                break;
            }
            event = open.wait_for(REPLACE_INTERVAL).await;
        }
        event
    }

    /// Returns whether a silent runner may be kept until another one is granted. A new version that is compared
    /// with an old one is left at once.
    fn may_replace(&self, lease: &Lease) -> bool {
        let is_incomplete = self.generation.next() < self.job.max;
        lease.first.is_some()
            && is_incomplete
            && self.generation.may_retry()
            && !self.chooser.is_new()
    }

    fn deliver(&mut self, open: &mut OpenAttempt<E::Stream>, token: Token) -> Delivered {
        open.lease.count_token();
        if let Some(lost_at) = self.lost_at.take() {
            self.control.metrics().time(Timing::Resume, lost_at.elapsed());
        }
        self.text.push_str(&token.text);
        Delivered { id: self.event_id(), text: token.text }
    }

    /// Returns a batch of tokens and keeps the attempt for the next piece.
    fn yield_batch(
        &mut self,
        open: OpenAttempt<E::Stream>,
        batch: Vec<Delivered>,
    ) -> Option<Piece> {
        self.current = Some(open);
        Some(Piece::Tokens(batch))
    }

    /// Ends the attempt as lost, after the tokens in `batch` have been returned.
    fn abort(
        &mut self,
        mut open: OpenAttempt<E::Stream>,
        batch: Vec<Delivered>,
        verdict: Verdict,
    ) -> Option<Piece> {
        let failure = Failure::Lost(verdict);
        if batch.is_empty() {
            return self.on_failure(failure, open.lease);
        }
        open.pending = Some(Err(failure));
        self.yield_batch(open, batch)
    }

    fn finish(&mut self, mut open: OpenAttempt<E::Stream>, finish: Finish) -> Option<Piece> {
        if !self.generation.finish(&finish) {
            return self.on_failure(Failure::Lost(Verdict::Garbled), open.lease);
        }
        open.lease.verdict = Verdict::Ok;
        Some(Piece::Finish(finish.reason))
    }

    /// Handles a failed attempt: prepares another one, unless the response is complete or no retry
    /// is allowed.
    fn on_failure(&mut self, failure: Failure, mut lease: Lease) -> Option<Piece> {
        let verdict = match failure {
            Failure::Lost(verdict) => verdict,
            Failure::Unsent => Verdict::Broken,
            Failure::Refused(status) => {
                lease.verdict = Verdict::Rejected;
                lease.will_retry = false;
                self.generation.runner_lost();
                let detail = format!("the runner answered {status}");
                return Some(Piece::Failed(unknown(not_run(Kind::RunnerRefused, detail))));
            }
        };
        lease.verdict = verdict;
        lease.will_retry = false;
        self.avoid = Some(lease.grant.runner);
        if let Some(reason) = self.generation.runner_lost() {
            return Some(Piece::Finish(reason));
        }
        if self.chooser.fall_back() && self.generation.try_restart() {
            self.start_over();
            return None;
        }
        if !self.generation.may_retry() {
            let problem = not_run(Kind::NoRunner, "too many runners failed this request");
            return Some(self.give_up(problem::with_retry_after(problem, RESUME_AFTER)));
        }
        lease.will_retry = true;
        // After consecutive losses the first one counts: the caller has been waiting since then.
        self.lost_at.get_or_insert_with(Instant::now);
        None
    }

    /// Handles a rejection by the core: starts over if no token was delivered and another version
    /// may serve the request, otherwise ends the generation. A request rejected by the retry budget
    /// is not started over: that would bypass the budget, and the retries would overload the
    /// remaining runners.
    fn on_rejection(&mut self, rejection: &Rejection) -> Option<Piece> {
        let has_no_runner = rejection.reason == Reason::NoRunner;
        let can_restart = self.generation.try_restart() || self.generation.pin().is_none();
        if has_no_runner
            && can_restart
            && (self.purpose == Purpose::Retry || self.chooser.fall_back())
        {
            self.start_over();
            return None;
        }
        Some(self.give_up(problem::from_rejection(rejection)))
    }

    fn start_over(&mut self) {
        self.text.clear();
        self.purpose = Purpose::First;
        self.ticket = self.control.next_ticket();
    }

    fn give_up(&mut self, problem: Problem) -> Piece {
        let problem = match self.generation.give_up() {
            Phase::Partial => Problem {
                run: Run::Partial,
                detail: format!("{}; resume with `Last-Event-ID`", problem.detail),
                ..cut_off(&problem)
            },
            // After a restart the request counts as new, but a runner may have run it before.
            _ if self.is_sent => unknown(problem),
            _ => problem,
        };
        Piece::Failed(problem)
    }
}

fn cut_off(problem: &Problem) -> Problem {
    let after = problem.retry_after.map_or(RESUME_AFTER, |s| Duration::from_secs(s.into()));
    problem::with_retry_after(not_run(Kind::Cut, problem.detail.clone()), after)
}

fn unknown(problem: Problem) -> Problem {
    Problem { run: Run::Unknown, ..problem }
}
