//! Calls that may run at most once.

use {
    super::{Result, Services, job::Job},
    crate::{
        intents::{Call, Claim, Permit, answer},
        platform::table::Table,
        traffic::{
            chooser::Chooser,
            lease::Lease,
            problem::{self, Kind, not_run},
            send::{Exchange, Reply, Sent},
        },
    },
    bilberryfront_decide::{
        action::Reason,
        event::{Purpose, Verdict},
        id::RunnerKey,
        intent::{Answer, Outcome},
    },
    bilberryfront_wire::problem::{Problem, Run},
    compact_str::CompactString,
    http::{HeaderName, HeaderValue, StatusCode},
    std::time::Duration,
    tokio::time::Instant,
};

/// Most runners tried while no connection can be made.
const TRIES: u32 = 3;
/// Time after which no further runner is tried. Finding out that a connection can't be made takes a
/// second, and the table may be slow: three tries took the caller seven seconds, in which it could have
/// come back to a node that reaches more.
const TRY_FOR: Duration = Duration::from_millis(1_500);
/// When to ask again for a call whose outcome isn't known yet.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Runs a call at most once, or answers what came of it before.
///
/// The work goes on when the caller leaves: a call cut off in the middle would end as `unknown`
/// although its runner answers a moment later, and the caller's retry could never learn it.
/// `entered` is held as long as the work goes on, so that the node doesn't exit in its middle.
pub async fn run<T: Table, X: Exchange>(
    services: Services<T, X>,
    job: Job,
    key: CompactString,
    entered: impl Send + 'static,
) -> Result<Reply> {
    let work = tokio::spawn(async move {
        let answer = work(&services, &job, job.call(key)).await;
        drop(entered);
        answer
    });
    work.await.unwrap_or_else(|_| Err(unknown("the call broke off inside the node")))
}

async fn work<T: Table, X: Exchange>(
    services: &Services<T, X>,
    job: &Job,
    call: Call,
) -> Result<Reply> {
    let since = Instant::now();
    let mut avoid = None;
    let mut chooser = job.chooser(&services.control.view());
    for _ in 0..TRIES {
        let lease = match grant(services, job, avoid, &mut chooser).await {
            Ok(lease) => lease,
            Err(problem) => return refused(services, &call, problem).await,
        };
        let (lease, permit) = match services.intents.claim(call.clone()).await {
            Claim::Granted(permit) => (lease, permit),
            Claim::Busy(_) => {
                drop(lease);
                match wait(services, job, &call, &mut chooser).await {
                    Ok(taken) => taken,
                    Err(answer) => return answer,
                }
            }
            known => return settled(known),
        };
        match send(services, job, lease, permit).await {
            Attempt::Answered(answer) => return answer,
            Attempt::Unsent(_) if since.elapsed() >= TRY_FOR => break,
            Attempt::Unsent(runner) => avoid = Some(runner),
        }
    }
    let problem = not_run(Kind::NoRunner, "no runner took a connection");
    Err(problem::with_retry_after(problem, RETRY_AFTER))
}

/// Answers a call that no runner can take now. An earlier request with its key may have run, and
/// a plain refusal would say "not run" of it.
async fn refused<T: Table, X: Exchange>(
    services: &Services<T, X>,
    call: &Call,
    problem: Problem,
) -> Result<Reply> {
    match services.intents.peek(call).await {
        Claim::NotRun(_) => Err(problem),
        known => settled(known),
    }
}

async fn grant<T: Table, X: Exchange>(
    services: &Services<T, X>,
    job: &Job,
    avoid: Option<RunnerKey>,
    chooser: &mut Chooser,
) -> Result<Lease> {
    let control = &services.control;
    loop {
        let pin = chooser.version().cloned();
        let ask = job.ask(control.next_ticket(), Purpose::First, avoid, pin);
        match control.ask(ask).await {
            Ok(grant) => return Ok(Lease::new(control.clone(), grant, chooser.trial())),
            Err(refuse) if refuse.reason == Reason::NoRunner && chooser.fall_back() => {}
            Err(refuse) => return Err(problem::refusal(&refuse)),
        }
    }
}

/// Waits for the outcome of the same call at another place, holding no runner meanwhile. Where the
/// other provably didn't run it, this one may.
async fn wait<T: Table, X: Exchange>(
    services: &Services<T, X>,
    job: &Job,
    call: &Call,
    chooser: &mut Chooser,
) -> std::result::Result<(Lease, Permit), Result<Reply>> {
    let timeout = Duration::from_millis(job.limits.call_ms.into());
    let permit = match services.intents.wait(call, timeout).await {
        Claim::Granted(permit) => permit,
        known => return Err(settled(known)),
    };
    match grant(services, job, None, chooser).await {
        Ok(lease) => Ok((lease, permit)),
        Err(problem) => {
            services.intents.settle(permit, Outcome::NotRun).await;
            Err(Err(problem))
        }
    }
}

enum Attempt {
    /// The runner may have run it; final.
    Answered(Result<Reply>),
    /// Provably not run, and recorded as such.
    Unsent(RunnerKey),
}

async fn send<T: Table, X: Exchange>(
    services: &Services<T, X>,
    job: &Job,
    mut lease: Lease,
    mut permit: Permit,
) -> Attempt {
    if !permit.begin() {
        services.intents.settle(permit, Outcome::NotRun).await;
        let problem = not_run(Kind::NoRunner, "the node was paused for too long to send safely");
        return Attempt::Answered(Err(problem::with_retry_after(problem, RETRY_AFTER)));
    }
    let wait = Duration::from_millis(job.limits.call_ms.into());
    match services.sender.send(job.outgoing(&lease.grant.url), wait).await {
        Sent::Answer(reply) => {
            lease.mark_started();
            lease.verdict = Verdict::Ok;
            lease.failed = reply.status.is_server_error();
            let kept = answer::keep(reply.status.as_u16(), &reply.headers, &reply.body);
            record(services, permit, Outcome::Answer(kept));
            Attempt::Answered(Ok(reply))
        }
        Sent::NotSent(_) => {
            lease.verdict = Verdict::Broken;
            let runner = lease.grant.runner;
            services.intents.settle(permit, Outcome::NotRun).await;
            Attempt::Unsent(runner)
        }
        Sent::Unknown(why) => {
            lease.verdict = Verdict::Broken;
            record(services, permit, Outcome::Unknown);
            Attempt::Answered(Err(unknown(format!("the runner may have run it: {why}"))))
        }
    }
}

/// Records an outcome while the caller gets its answer already. Should the record fail, a retry
/// hears `unknown`, which is no promise broken.
fn record<T: Table, X: Exchange>(services: &Services<T, X>, permit: Permit, outcome: Outcome) {
    let intents = services.intents.clone();
    tokio::spawn(async move { intents.settle(permit, outcome).await });
}

/// What the caller hears of a call that this request didn't send.
fn settled(claim: Claim) -> Result<Reply> {
    match claim {
        Claim::Outcome(Outcome::Answer(kept)) => replay(&kept),
        Claim::Outcome(_) => Err(unknown("the runner may have run it, and its answer was lost")),
        Claim::Mismatch => {
            let detail = "this Idempotency-Key came with another method, path or body before";
            Err(not_run(Kind::KeyMismatch, detail))
        }
        Claim::NotRun(why) => {
            let detail = format!("send it again with the same key: {why}");
            Err(problem::with_retry_after(not_run(Kind::StoreDown, detail), RETRY_AFTER))
        }
        Claim::Busy(_) => {
            let problem = unknown("the same call is under way; ask again with the same key");
            Err(problem::with_retry_after(problem, RETRY_AFTER))
        }
        Claim::Unknown => {
            let problem = unknown("the table gave no answer; ask again with the same key");
            Err(problem::with_retry_after(problem, RETRY_AFTER))
        }
        Claim::Granted(_) => unreachable!("a claim that is ours is sent"),
    }
}

fn replay(kept: &Answer) -> Result<Reply> {
    let Some(body) = answer::body(&kept.body) else {
        return Err(unknown("it was run; its answer was too long to be kept for a retry"));
    };
    let headers = kept.headers.iter().filter_map(|(name, value)| {
        Some((HeaderName::try_from(name.as_str()).ok()?, HeaderValue::from_str(value).ok()?))
    });
    Ok(Reply {
        status: StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK),
        headers: headers.collect(),
        body,
    })
}

fn unknown(detail: impl Into<String>) -> Problem {
    Problem { run: Run::Unknown, ..not_run(Kind::OutcomeUnknown, detail) }
}
