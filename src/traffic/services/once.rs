//! Calls that may run at most once.

use {
    super::{
        Result, Services,
        acquire::{Wanted, acquire},
        job::Job,
    },
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
        event::Verdict,
        id::RunnerKey,
        intent::{Answer, Outcome, StoredBody},
    },
    bilberryfront_wire::problem::{Problem, Run},
    compact_str::CompactString,
    http::{HeaderName, HeaderValue, StatusCode},
    std::time::Duration,
    tokio::time::Instant,
};

/// Maximum number of runners tried while no connection can be established.
const MAX_ATTEMPTS: u32 = 3;
/// Time after which no further runner is tried. A connection time-out takes a second, and the table
/// may be slow: three attempts could take seven seconds, in which the caller could have retried at
/// a node that reaches more runners.
const ATTEMPTS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// `Retry-After` for a call whose outcome isn't known yet.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Runs a call at most once, or returns its recorded outcome.
///
/// The call continues if the caller disconnects: an aborted call would be recorded as `unknown`
/// although its runner responds a moment later, and the caller's retry could never get that
/// response. `guard` is held until the call has ended, so that the node doesn't exit before.
pub async fn run<T: Table, X: Exchange>(
    services: Services<T, X>,
    job: Job,
    key: CompactString,
    guard: impl Send + 'static,
) -> Result<Reply> {
    let task = tokio::spawn(async move {
        let result = run_call(&services, &job, job.call(key)).await;
        drop(guard);
        result
    });
    task.await.unwrap_or_else(|_| Err(unknown("the call broke off inside the node")))
}

async fn run_call<T: Table, X: Exchange>(
    services: &Services<T, X>,
    job: &Job,
    call: Call,
) -> Result<Reply> {
    let started_at = Instant::now();
    let mut avoid = None;
    let mut chooser = job.chooser(&services.control.view());
    for _ in 0..MAX_ATTEMPTS {
        let lease = match acquire_first(services, job, avoid, &mut chooser).await {
            Ok(lease) => lease,
            Err(problem) => return no_runner(services, &call, problem).await,
        };
        let (lease, permit) = match services.intents.claim(call.clone()).await {
            Claim::Granted(permit) => (lease, permit),
            Claim::Busy(_) => {
                drop(lease);
                match wait(services, job, &call, &mut chooser).await {
                    Ok(claimed) => claimed,
                    Err(result) => return result,
                }
            }
            other => return result_of_claim(other),
        };
        match send(services, job, lease, permit).await {
            Attempt::Ended(result) => return result,
            Attempt::Unsent(_) if started_at.elapsed() >= ATTEMPTS_TIMEOUT => break,
            Attempt::Unsent(runner) => avoid = Some(runner),
        }
    }
    let problem = not_run(Kind::NoRunner, "no runner took a connection");
    Err(problem::with_retry_after(problem, RETRY_AFTER))
}

/// Returns the result of a call for which no runner is available. An earlier request with its key
/// may have run, in which case `problem` would wrongly report it as "not run".
async fn no_runner<T: Table, X: Exchange>(
    services: &Services<T, X>,
    call: &Call,
    problem: Problem,
) -> Result<Reply> {
    match services.intents.peek(call).await {
        Claim::NotRun(_) => Err(problem),
        other => result_of_claim(other),
    }
}

async fn acquire_first<T: Table, X: Exchange>(
    services: &Services<T, X>,
    job: &Job,
    avoid: Option<RunnerKey>,
    chooser: &mut Chooser,
) -> Result<Lease> {
    let control = &services.control;
    let mut wanted = Wanted { avoid, ..Wanted::first(control) };
    let acquired = acquire(control, job, &mut wanted, chooser).await;
    acquired.map_err(|rejection| problem::from_rejection(&rejection))
}

/// Waits, without holding a runner, for the outcome of the same call by another request. If that
/// request certainly didn't run the call, claims the call and acquires a runner.
async fn wait<T: Table, X: Exchange>(
    services: &Services<T, X>,
    job: &Job,
    call: &Call,
    chooser: &mut Chooser,
) -> std::result::Result<(Lease, Permit), Result<Reply>> {
    let timeout = Duration::from_millis(job.limits.call_ms.into());
    let permit = match services.intents.wait(call, timeout).await {
        Claim::Granted(permit) => permit,
        other => return Err(result_of_claim(other)),
    };
    match acquire_first(services, job, None, chooser).await {
        Ok(lease) => Ok((lease, permit)),
        Err(problem) => {
            services.intents.settle(permit, Outcome::NotRun).await;
            Err(Err(problem))
        }
    }
}

enum Attempt {
    /// The final result; the runner may have run the call.
    Ended(Result<Reply>),
    /// Certainly not run, and recorded as such.
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
        return Attempt::Ended(Err(problem::with_retry_after(problem, RETRY_AFTER)));
    }
    let wait = Duration::from_millis(job.limits.call_ms.into());
    match services.sender.send(job.outgoing(&lease.grant.url), wait).await {
        Sent::Answer(reply) => {
            lease.mark_started();
            lease.verdict = Verdict::Ok;
            lease.failed = reply.status.is_server_error();
            let mut kept = answer::keep(reply.status.as_u16(), &reply.headers, &reply.body);
            if !reply.is_confirmed {
                kept.body = StoredBody::Dropped;
            }
            record(services, permit, Outcome::Answer(kept));
            Attempt::Ended(Ok(reply))
        }
        Sent::NotSent(_) => {
            lease.verdict = Verdict::Broken;
            let runner = lease.grant.runner;
            services.intents.settle(permit, Outcome::NotRun).await;
            Attempt::Unsent(runner)
        }
        Sent::Unknown(error) => {
            lease.verdict = Verdict::Broken;
            record(services, permit, Outcome::Unknown);
            Attempt::Ended(Err(unknown(format!("the runner may have run it: {error}"))))
        }
    }
}

/// Records an outcome in the background, so that the caller's response isn't delayed. If recording
/// fails, a retry gets `unknown`, which at-most-once execution permits.
fn record<T: Table, X: Exchange>(services: &Services<T, X>, permit: Permit, outcome: Outcome) {
    let intents = services.intents.clone();
    tokio::spawn(async move { intents.settle(permit, outcome).await });
}

/// Returns the result of a call that this request didn't send.
fn result_of_claim(claim: Claim) -> Result<Reply> {
    match claim {
        Claim::Outcome(Outcome::Answer(kept)) => replay(&kept),
        Claim::Outcome(_) => Err(unknown("the runner may have run it, and its answer was lost")),
        Claim::Mismatch => {
            let detail = "this Idempotency-Key came with another method, path or body before";
            Err(not_run(Kind::KeyMismatch, detail))
        }
        Claim::NotRun(error) => {
            let detail = format!("send it again with the same key: {error}");
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
        Claim::Granted(_) => unreachable!("a granted claim is sent"),
    }
}

fn replay(kept: &Answer) -> Result<Reply> {
    let Some(body) = answer::body(&kept.body) else {
        return Err(unknown(
            "it was run; its answer was too long to be kept, or may have been cut",
        ));
    };
    let headers = kept.headers.iter().filter_map(|(name, value)| {
        Some((HeaderName::try_from(name.as_str()).ok()?, HeaderValue::from_str(value).ok()?))
    });
    Ok(Reply {
        status: StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK),
        headers: headers.collect(),
        body,
        is_confirmed: true,
    })
}

fn unknown(detail: impl Into<String>) -> Problem {
    Problem { run: Run::Unknown, ..not_run(Kind::OutcomeUnknown, detail) }
}
