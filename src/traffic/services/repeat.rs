//! Calls that may be sent again, to another runner too.

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

/// Most runners tried for one call.
const TRIES: u32 = 3;
/// When a call that failed at every runner tried may come again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Sends a call until a runner answers it.
pub async fn run<T: Table, X: Exchange>(services: &Services<T, X>, job: &Job) -> Result<Reply> {
    let mut ticket = services.control.next_ticket();
    let mut purpose = Purpose::First;
    let mut avoid: Option<RunnerKey> = None;
    let mut chooser = job.chooser(&services.control.view());
    let most = Duration::from_millis(job.limits.call_ms.into());
    // Counted from the first runner on: the wait for it has a bound of its own.
    let mut until = None;
    for tried in 1..=TRIES {
        let pin = chooser.version().cloned();
        let grant = match services.control.ask(job.ask(ticket, purpose, avoid, pin)).await {
            Ok(grant) => grant,
            Err(refuse) if refuse.reason == Reason::NoRunner && chooser.fall_back() => {
                (ticket, purpose) = (services.control.next_ticket(), Purpose::First);
                continue;
            }
            Err(refuse) if tried == 1 => return Err(problem::refusal(&refuse)),
            Err(refuse) => return Err(unknown(problem::refusal(&refuse))),
        };
        let mut lease = Lease::new(services.control.clone(), grant, chooser.trial());
        let now = Instant::now();
        let until = *until.get_or_insert(now + most);
        let wait = share(until.saturating_duration_since(now), tried);
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
        lease.will_retry = tried < TRIES;
        avoid = Some(lease.grant.runner);
        purpose = Purpose::Again;
    }
    let problem = not_run(Kind::NoRunner, format!("{TRIES} runners failed to answer"));
    Err(unknown(problem::with_retry_after(problem, RETRY_AFTER)))
}

/// Time for one try out of what is left for the call: half, or all for the last try.
///
/// A runner that was paused takes a call and says nothing. Were each try given the whole time, the
/// caller would wait three times as long as the entry allows; were the first given all of it, no
/// other runner could answer in its place.
fn share(left: Duration, tried: u32) -> Duration {
    if tried < TRIES { left / 2 } else { left }
}

fn unknown(problem: Problem) -> Problem {
    Problem { run: Run::Unknown, ..problem }
}
