//! Calls that may be retried, also at another runner.

use {
    super::{Result, Services, job::Job},
    crate::{
        platform::table::Table,
        traffic::{
            lease::Lease,
            problem::{self, Kind, not_run},
            send::{Exchange, Reply, Sent},
        },
    },
    bilberryfront_decide::{
        action::Reason,
        event::{Purpose, Verdict},
        id::RunnerKey,
    },
    bilberryfront_wire::problem::{Problem, Run},
    http::StatusCode,
    std::time::Duration,
    tokio::time::Instant,
};

/// Maximum number of runners tried for one call.
const MAX_ATTEMPTS: u32 = 3;
/// `Retry-After` for a call that failed at every runner tried.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Sends a call to one runner after another until one responds.
pub async fn run<T: Table, X: Exchange>(services: &Services<T, X>, job: &Job) -> Result<Reply> {
    let mut ticket = services.control.next_ticket();
    let mut purpose = Purpose::First;
    let mut avoid: Option<RunnerKey> = None;
    let mut chooser = job.chooser(&services.control.view());
    let timeout = Duration::from_millis(job.limits.call_ms.into());
    // The timeout starts with the first granted runner: waiting for the grant has a limit of its
    // own.
    let mut deadline = None;
    for attempt in 1..=MAX_ATTEMPTS {
        let pin = chooser.version().cloned();
        let grant = match services
            .control
            .request_runner(job.runner_request(ticket, purpose, avoid, pin))
            .await
        {
            Ok(grant) => grant,
            Err(rejection) if rejection.reason == Reason::NoRunner && chooser.fall_back() => {
                (ticket, purpose) = (services.control.next_ticket(), Purpose::First);
                continue;
            }
            Err(rejection) if attempt == 1 => return Err(problem::from_rejection(&rejection)),
            Err(rejection) => return Err(unknown(problem::from_rejection(&rejection))),
        };
        let mut lease = Lease::new(services.control.clone(), grant, chooser.trial());
        let now = Instant::now();
        let deadline = *deadline.get_or_insert(now + timeout);
        let wait = attempt_timeout(deadline.saturating_duration_since(now), attempt);
        let sent = services.sender.send(job.outgoing(&lease.grant.url), wait).await;
        lease.verdict = match sent {
            Sent::Answer(reply) if reply.status != StatusCode::SERVICE_UNAVAILABLE => {
                lease.mark_started();
                lease.verdict = Verdict::Ok;
                lease.failed = reply.status.is_server_error();
                return Ok(reply);
            }
            Sent::Answer(_) => Verdict::Rejected,
            Sent::NotSent(_) | Sent::Unknown(_) => Verdict::Broken,
        };
        lease.will_retry = attempt < MAX_ATTEMPTS;
        avoid = Some(lease.grant.runner);
        purpose = Purpose::Retry;
    }
    let problem = not_run(Kind::NoRunner, format!("{MAX_ATTEMPTS} runners failed to answer"));
    Err(unknown(problem::with_retry_after(problem, RETRY_AFTER)))
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

fn unknown(problem: Problem) -> Problem {
    Problem { run: Run::Unknown, ..problem }
}
