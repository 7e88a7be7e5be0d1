//! Requests that may run more than once.

use {
    super::{Traffic, ended, order},
    crate::{
        body::Answer,
        call::Call,
        dialect::Dialect,
        exchange::{Sent, is_failure},
        fleet::{Place, RunnerKey},
        network::Network,
        pool::SendError,
        refusal::Refusal,
    },
    bytes::Bytes,
    http::{Response, response::Parts},
    tokio::time::Instant,
};

/// Part of the route's objective after which a runner that doesn't answer is left for another one.
/// The rest is enough for the other's answer to be on time.
const PATIENCE: f64 = 0.6;
/// Most runners that are asked while none takes the request.
const RUNNERS: usize = 5;

/// How a request stands between two sends.
#[derive(Default)]
struct Progress {
    tried: Vec<RunnerKey>,
    /// Runners that may have run it.
    runs: u32,
    /// The answer to give when no runner does better.
    failure: Option<(Parts, Bytes)>,
    /// Why the last send brought none.
    lost: Option<SendError>,
}

/// Sends a request to one runner after another until one answers it well.
pub(super) async fn serve<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    call: &Call,
) -> Response<Answer> {
    let mut progress = Progress::default();
    let end = call.deadline();
    let attempts = call.route.attempts.max(1);
    while progress.runs < attempts && progress.tried.len() < RUNNERS && Instant::now() < end {
        let Some(place) = traffic.choose(call, &progress.tried) else { break };
        if !progress.tried.is_empty() && !traffic.may_retry(&call.service) {
            break;
        }
        let last = progress.runs + 1 == attempts || traffic.exchange.fleet.ready(&call.service) < 2;
        let until = if last { end } else { patience(call, end) };
        let _lease = traffic.exchange.fleet.call(place.clone());
        progress.tried.push(place.key);
        let sent = traffic.exchange.send(call, &place, &order(call, &place), until).await;
        let answer = take(traffic, &mut progress, sent, &place, until).await;
        if progress.tried.len() == 1 && progress.runs == 1 {
            traffic.judge(call, place.key, ended(call, answer.is_some()));
        }
        if let Some((parts, bytes)) = answer {
            return Response::from_parts(parts, bytes.into());
        }
    }
    match progress.failure {
        Some((parts, bytes)) => Response::from_parts(parts, bytes.into()),
        None => traffic.refuse(call, refusal(traffic, &progress)),
    }
}

/// The end of a send that isn't the last.
fn patience(call: &Call, end: Instant) -> Instant {
    let now = Instant::now();
    let share = call.route.objective.mul_f64(PATIENCE);
    (now + share).min(now + end.saturating_duration_since(now) / 2)
}

/// Takes what came of a send; the answer, if it is a good one.
async fn take<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    progress: &mut Progress,
    sent: Sent,
    place: &Place,
    until: Instant,
) -> Option<(Parts, Bytes)> {
    let (fleet, key) = (&traffic.exchange.fleet, place.key);
    match sent {
        Sent::Answered(reply) => {
            progress.runs += 1;
            match traffic.exchange.whole(reply, place, until).await {
                Ok((parts, bytes)) if !is_failure(parts.status) => return Some((parts, bytes)),
                Ok(failure) => progress.failure = Some(failure),
                Err(error) => progress.lost = Some(error),
            }
        }
        Sent::NotRun => {}
        Sent::Unsent => fleet.failed(key, Instant::now()),
        Sent::Lost(error) => {
            progress.runs += 1;
            progress.lost = Some(error);
            match error {
                SendError::Silent => fleet.full(key, Instant::now()),
                SendError::Unsent | SendError::Broken => fleet.failed(key, Instant::now()),
            }
        }
    }
    None
}

fn refusal<D: Dialect, N: Network>(traffic: &Traffic<D, N>, progress: &Progress) -> Refusal {
    match progress.lost {
        None => traffic.not_run(),
        Some(SendError::Silent) => Refusal::Timeout,
        Some(_) => Refusal::Lost,
    }
}
