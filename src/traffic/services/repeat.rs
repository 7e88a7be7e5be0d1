//! Calls that may be retried, also at another runner.

use {
    super::{
        Result, Services,
        acquire::{Wanted, acquire},
        job::Job,
    },
    crate::{
        platform::table::Table,
        traffic::{
            problem::{self, Kind, not_run},
            send::{Exchange, Reply, Sent},
        },
    },
    bilberryfront_decide::{
        catalog::Limits,
        event::{Purpose, Verdict},
    },
    bilberryfront_wire::problem::{Problem, Run},
    http::StatusCode,
    std::time::Duration,
    tokio::time::{Instant, timeout_at},
};

/// Maximum number of runners tried for one call.
const MAX_ATTEMPTS: u32 = 3;
/// `Retry-After` for a call that failed at every runner tried.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Sends a call to one runner after another until one responds.
pub async fn run<T: Table, X: Exchange>(services: &Services<T, X>, job: &Job) -> Result<Reply> {
    let mut wanted = Wanted::first(&services.control);
    let mut may_have_run = false;
    // Response that may be cut off, returned if no runner's is known to be whole.
    let mut unconfirmed: Option<Reply> = None;
    // Time at which it is returned, although another runner may still confirm it.
    let mut confirm_by = None;
    let mut chooser = job.chooser(&services.control.view());
    let timeout = Duration::from_millis(job.limits.call_ms.into());
    // The timeout starts with the first granted runner: waiting for the grant has a limit of its
    // own.
    let mut deadline = None;
    for attempt in 1..=MAX_ATTEMPTS {
        let acquired = acquire(&services.control, job, &mut wanted, &mut chooser);
        let Some(acquired) = until(confirm_by, acquired).await else { break };
        let mut lease = match acquired {
            Ok(lease) => lease,
            Err(rejection) => {
                let problem = with_outcome(problem::from_rejection(&rejection), may_have_run);
                return unconfirmed.ok_or(problem);
            }
        };
        let now = Instant::now();
        let deadline = *deadline.get_or_insert(now + timeout);
        let wait = attempt_timeout(deadline.saturating_duration_since(now), attempt);
        let sent = services.sender.send(job.outgoing(&lease.grant.url), wait);
        let Some(sent) = until(confirm_by, sent).await else { break };
        may_have_run |= !matches!(sent, Sent::NotSent(_));
        lease.verdict = match sent {
            Sent::Answer(reply) if reply.status != StatusCode::SERVICE_UNAVAILABLE => {
                lease.mark_started();
                lease.verdict = Verdict::Ok;
                lease.failed = reply.status.is_server_error();
                match unconfirmed.take() {
                    Some(first) if lease.failed && !first.status.is_server_error() => {
                        return Ok(first);
                    }
                    _ if reply.is_confirmed => return Ok(reply),
                    // A third runner would probably not state an end either.
                    Some(first) if is_same(&first, &reply) => return Ok(first),
                    Some(first) if first.status.is_success() && !reply.status.is_success() => {
                        unconfirmed = Some(first);
                    }
                    _ => unconfirmed = Some(reply),
                }
                let now = Instant::now();
                let left = deadline.saturating_duration_since(now);
                confirm_by.get_or_insert(now + confirm_timeout(left, &job.limits));
                Verdict::Ok
            }
            Sent::Answer(_) => Verdict::Rejected,
            Sent::NotSent(_) | Sent::Unknown(_) => Verdict::Broken,
        };
        lease.will_retry = attempt < MAX_ATTEMPTS;
        wanted.avoid = Some(lease.grant.runner);
        wanted.purpose = Purpose::Retry;
    }
    let problem = not_run(Kind::NoRunner, format!("{MAX_ATTEMPTS} runners failed to answer"));
    let problem = with_outcome(problem::with_retry_after(problem, RETRY_AFTER), may_have_run);
    unconfirmed.ok_or(problem)
}

/// Returns whether two runners responded alike.
fn is_same(first: &Reply, second: &Reply) -> bool {
    first.status == second.status && first.body == second.body
}

/// Returns the timeout of an attempt: half of the time left for the call, or all of it for the last
/// attempt.
///
/// A paused runner accepts a call and doesn't respond. With the full timeout for each attempt, the
/// caller would wait three times as long as the entry allows; with all of the time for the first
/// attempt, no other runner could respond instead.
fn attempt_timeout(left: Duration, attempt: u32) -> Duration {
    if attempt < MAX_ATTEMPTS { left / 2 } else { left }
}

/// Returns the time that other runners have to confirm a response: half of the time left, but no longer than
/// runners may be silent within a response.
fn confirm_timeout(left: Duration, limits: &Limits) -> Duration {
    (left / 2).min(Duration::from_millis(limits.stall_ms.into()))
}

/// Waits for `future` until the time given, if any; `None` if it has passed.
async fn until<F: Future>(time: Option<Instant>, future: F) -> Option<F::Output> {
    match time {
        Some(time) => timeout_at(time, future).await.ok(),
        None => Some(future.await),
    }
}

/// Returns the problem of a call that was not run, or whose outcome is unknown.
fn with_outcome(problem: Problem, may_have_run: bool) -> Problem {
    let run = if may_have_run { Run::Unknown } else { Run::NotRun };
    Problem { run, ..problem }
}
