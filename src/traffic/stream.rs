//! Carries one generation from its runners to its caller, whatever happens to the runners.

mod job;
mod open;

pub use job::{Delivered, Job, Piece};

use {
    super::{
        chooser::Chooser,
        lease::Lease,
        problem::{self, Kind, not_run},
        upstream::{Engines, Failure, RunnerEvent, Source},
    },
    crate::{
        control::Control,
        metrics::{Counter, Timing},
    },
    bilberryfront_decide::{
        action::{Grant, Reason, Refuse},
        event::{Ask, Purpose, Verdict},
        generation::{Generation, Phase, Take},
        id::{RunnerKey, Ticket},
    },
    bilberryfront_wire::{
        problem::{Problem, Run},
        runner::{Finish, Generate, Token},
    },
    compact_str::{CompactString, format_compact},
    open::{Open, millis},
    std::time::Duration,
    tokio::time::Instant,
    xxhash_rust::xxh64::xxh64,
};

/// Most tokens handed on at once, when a runner is faster than the caller.
const BATCH: usize = 64;
/// When a caller of a cut stream may resume, if the core doesn't say.
const RESUME_AFTER: Duration = Duration::from_secs(1);

/// A generation on its way.
pub struct Driver<E: Engines> {
    control: Control,
    engines: E,
    job: Job,
    generation: Generation,
    text: String,
    open: Option<Open<E::Stream>>,
    chooser: Chooser,
    purpose: Purpose,
    ticket: Ticket,
    avoid: Option<RunnerKey>,
    /// Whether a runner may have had the request.
    sent: bool,
    /// When a runner was lost, until the next token.
    lost: Option<Instant>,
    ended: bool,
}

impl<E: Engines> Driver<E> {
    /// A driver that has not asked for a runner yet.
    pub fn new(control: Control, engines: E, job: Job, generation: Generation) -> Driver<E> {
        let resumed = generation.pin().is_some();
        let chooser = match resumed {
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
            open: None,
            purpose: if resumed { Purpose::Resume } else { Purpose::First },
            avoid: None,
            sent: false,
            lost: None,
            ended: false,
            control,
            engines,
            job,
            generation,
        }
    }

    /// Tokens delivered so far, those before a resume included.
    pub fn tokens(&self) -> u32 {
        self.generation.next()
    }

    /// Text delivered so far, that before a resume included.
    pub fn into_text(self) -> String {
        self.text
    }

    /// Id of the last event delivered.
    pub fn event_id(&self) -> CompactString {
        format_compact!("{}", self.generation.event_id(&self.job.request))
    }

    /// What was asked for.
    pub fn job(&self) -> &Job {
        &self.job
    }

    /// The next piece; `None` after the last.
    pub async fn next(&mut self) -> Option<Piece> {
        while !self.ended {
            let step = match self.open.take() {
                // Boxed, as the HTTP client's future has some kilobytes, which the stream would
                // otherwise hold for as long as it lasts.
                None => Box::pin(self.ask()).await,
                Some(open) => self.read(open).await,
            };
            if let Some(piece) = step {
                self.ended = !matches!(piece, Piece::Tokens(_));
                return Some(piece);
            }
        }
        None
    }

    async fn ask(&mut self) -> Option<Piece> {
        let ask = Ask {
            ticket: self.ticket,
            entry: self.job.entry,
            account: self.job.account,
            prefix: Some(self.job.prefix),
            pin: self.generation.pin().or(self.chooser.version()).cloned(),
            avoid: self.avoid,
            purpose: self.purpose,
        };
        let grant = match self.control.ask(ask).await {
            Ok(grant) => grant,
            Err(refuse) => return self.refused(&refuse),
        };
        if self.purpose == Purpose::Again {
            self.control.metrics().add(Counter::Resumes, 1);
        }
        self.purpose = Purpose::Again;
        let lease = Lease::new(self.control.clone(), grant, self.chooser.trial());
        let generate = self.generate(&lease.grant);
        let wait = millis(self.job.limits.first_ms);
        let opened = self.engines.open(&lease.grant.url, &generate, wait).await;
        self.sent |= !matches!(opened, Err(Failure::Unsent));
        match opened {
            Ok(upstream) => {
                self.open = Some(Open { upstream, lease, event: None });
                None
            }
            Err(failure) => self.failed(failure, lease),
        }
    }

    fn generate(&mut self, grant: &Grant) -> Generate {
        let attempt = self.generation.granted(&grant.version);
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

    /// Reads until there is something to hand on, or the runner is lost.
    async fn read(&mut self, mut open: Open<E::Stream>) -> Option<Piece> {
        let mut batch = Vec::new();
        let mut event = open.wait(&self.job.limits).await;
        loop {
            match event {
                Ok(RunnerEvent::Token(attempt, token)) => {
                    match self.generation.token(attempt, &token) {
                        Take::Deliver => batch.push(self.deliver(&mut open, token)),
                        Take::Drop => self.control.metrics().add(Counter::DroppedTokens, 1),
                        Take::Garbled => return self.stop(open, batch, Verdict::Garbled),
                    }
                }
                Ok(RunnerEvent::Finish(finish)) => {
                    if batch.is_empty() {
                        return self.finish(open, finish);
                    }
                    open.event = Some(Ok(RunnerEvent::Finish(finish)));
                    return self.hand_on(open, batch);
                }
                Ok(RunnerEvent::Done) => return self.stop(open, batch, Verdict::Garbled),
                Err(failure) if batch.is_empty() => return self.failed(failure, open.lease),
                Err(failure) => {
                    open.event = Some(Err(failure));
                    return self.hand_on(open, batch);
                }
            }
            if batch.len() >= BATCH {
                return self.hand_on(open, batch);
            }
            event = match open.upstream.try_next() {
                Some(event) => event,
                None if batch.is_empty() => open.wait(&self.job.limits).await,
                None => return self.hand_on(open, batch),
            };
        }
    }

    fn deliver(&mut self, open: &mut Open<E::Stream>, token: Token) -> Delivered {
        open.lease.count();
        if let Some(lost) = self.lost.take() {
            self.control.metrics().time(Timing::Resume, lost.elapsed());
        }
        self.text.push_str(&token.text);
        Delivered { id: self.event_id(), text: token.text }
    }

    fn hand_on(&mut self, open: Open<E::Stream>, batch: Vec<Delivered>) -> Option<Piece> {
        self.open = Some(open);
        Some(Piece::Tokens(batch))
    }

    fn stop(
        &mut self,
        mut open: Open<E::Stream>,
        batch: Vec<Delivered>,
        verdict: Verdict,
    ) -> Option<Piece> {
        let failure = Failure::Lost(verdict);
        if batch.is_empty() {
            return self.failed(failure, open.lease);
        }
        open.event = Some(Err(failure));
        self.hand_on(open, batch)
    }

    fn finish(&mut self, mut open: Open<E::Stream>, finish: Finish) -> Option<Piece> {
        if !self.generation.finish(&finish) {
            return self.failed(Failure::Lost(Verdict::Garbled), open.lease);
        }
        open.lease.verdict = Verdict::Ok;
        Some(Piece::Finish(finish.reason))
    }

    /// The present runner is of no more use: goes on with another, unless the answer is whole.
    fn failed(&mut self, failure: Failure, mut lease: Lease) -> Option<Piece> {
        let verdict = match failure {
            Failure::Lost(verdict) => verdict,
            Failure::Unsent => Verdict::Broken,
            Failure::Refused(status) => {
                lease.verdict = Verdict::Rejected;
                lease.will_retry = false;
                self.generation.lost();
                let detail = format!("the runner answered {status}");
                return Some(Piece::Failed(unknown(not_run(Kind::RunnerRefused, detail))));
            }
        };
        lease.verdict = verdict;
        lease.will_retry = false;
        self.avoid = Some(lease.grant.runner);
        if let Some(reason) = self.generation.lost() {
            return Some(Piece::Finish(reason));
        }
        if self.chooser.fall_back() && self.generation.restart() {
            self.start_over();
            return None;
        }
        if !self.generation.may_retry() {
            let problem = not_run(Kind::NoRunner, "too many runners failed this request");
            return Some(self.give_up(problem::with_retry_after(problem, RESUME_AFTER)));
        }
        lease.will_retry = true;
        // The first of two losses in a row: the caller has waited since then.
        self.lost.get_or_insert_with(Instant::now);
        None
    }

    /// No runner for now: starts over where no token was seen and another version may serve it, else
    /// ends at once. A request refused for lack of budget is not started over: that would go round
    /// the budget, and its retries would overload the runners that are left.
    fn refused(&mut self, refuse: &Refuse) -> Option<Piece> {
        let missing = refuse.reason == Reason::NoRunner;
        let unseen = self.generation.restart() || self.generation.pin().is_none();
        if missing && unseen && (self.purpose == Purpose::Again || self.chooser.fall_back()) {
            self.start_over();
            return None;
        }
        Some(self.give_up(problem::refusal(refuse)))
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
                ..cut(&problem)
            },
            // A restart asks as if for the first time, but a runner may have run the request before.
            _ if self.sent => unknown(problem),
            _ => problem,
        };
        Piece::Failed(problem)
    }
}

fn cut(problem: &Problem) -> Problem {
    let after = problem.retry_after.map_or(RESUME_AFTER, |s| Duration::from_secs(s.into()));
    problem::with_retry_after(not_run(Kind::Cut, problem.detail.clone()), after)
}

fn unknown(problem: Problem) -> Problem {
    Problem { run: Run::Unknown, ..problem }
}
