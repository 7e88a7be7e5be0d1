//! Flow of idempotent requests.

use {
    super::{Traffic, lost_response, send_options, summarize},
    crate::{
        body::ResponseBody,
        call::Call,
        dialect::Dialect,
        fleet::{Endpoint, RunnerKey},
        network::Network,
        pool::SendError,
        rejection::Rejection,
        runner_client::{SendOutcome, is_failure},
    },
    bytes::Bytes,
    http::{Response, response::Parts},
    std::time::Duration,
    tokio::time::Instant,
};

/// Share of the latency objective after which the request is sent to another runner.
const HEDGE_SHARE: f64 = 0.6;
/// Maximum number of runners that are tried while each of them rejects the request.
const MAX_RUNNERS: usize = 5;

/// State of a request between two attempts.
#[derive(Default)]
struct Progress {
    tried: Vec<RunnerKey>,
    /// Whether an attempt has reached a runner.
    reached_runner: bool,
    /// Number of attempts that may have run.
    runs: u32,
    /// Error response of a runner, returned if no runner succeeds.
    failure: Option<(Parts, Bytes)>,
    /// Error of the last attempt without a response.
    lost: Option<SendError>,
}

/// One send.
struct Attempt<'a> {
    endpoint: &'a Endpoint,
    sent_at: Instant,
    deadline: Instant,
}

/// Tries one runner after another until one succeeds.
pub(super) async fn serve<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    call: &Call,
) -> Response<ResponseBody> {
    let mut progress = Progress::default();
    let end = call.deadline();
    let attempts = call.route.attempts.max(1);
    while progress.runs < attempts && progress.tried.len() < MAX_RUNNERS && Instant::now() < end {
        if progress.lost.is_some() && traffic.quarantine.time_left(call).is_some() {
            break;
        }
        let Some(endpoint) = traffic.choose_runner(call, &progress.tried) else { break };
        if progress.reached_runner && !traffic.take_retry(&call.service) {
            break;
        }
        let last =
            progress.runs + 1 == attempts || traffic.client.fleet.ready_count(&call.service) < 2;
        let deadline = if last { end } else { hedge_deadline(call, end) };
        let _lease = traffic.client.fleet.lease_call(endpoint.clone());
        let options = send_options(call, &endpoint, progress.tried.len());
        progress.tried.push(endpoint.key);
        let sent_at = Instant::now();
        let sent = traffic.client.send(call, &endpoint, &options, deadline).await;
        if matches!(sent, SendOutcome::NoPath) {
            // Other runners of the service cannot be reached either.
            break;
        }
        let attempt = Attempt { endpoint: &endpoint, sent_at, deadline };
        let response = evaluate(traffic, call, &mut progress, sent, &attempt).await;
        if progress.tried.len() == 1 && progress.runs == 1 {
            let outcome = progress.lost.map_or(response.is_some().into(), lost_response);
            traffic.report_sample(call, endpoint.key, summarize(call, outcome));
        }
        if let Some((parts, bytes)) = response {
            return Response::from_parts(parts, bytes.into());
        }
    }
    match progress.failure {
        Some((parts, bytes)) => Response::from_parts(parts, bytes.into()),
        None => traffic.reject(call, rejection_of(traffic, call, &progress)),
    }
}

/// Returns the deadline of an attempt that is not the last one.
fn hedge_deadline(call: &Call, end: Instant) -> Instant {
    let now = Instant::now();
    let share = call.route.objective.mul_f64(HEDGE_SHARE);
    (now + share).min(now + end.saturating_duration_since(now) / 2)
}

/// Evaluates an attempt and returns its response if that is final.
async fn evaluate<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    call: &Call,
    progress: &mut Progress,
    sent: SendOutcome,
    attempt: &Attempt<'_>,
) -> Option<(Parts, Bytes)> {
    let Attempt { endpoint, sent_at, deadline } = *attempt;
    let (fleet, key) = (&traffic.client.fleet, endpoint.key);
    progress.reached_runner |= !matches!(sent, SendOutcome::Unsent | SendOutcome::Withheld);
    match sent {
        SendOutcome::Answered(reply) => {
            progress.runs += 1;
            match traffic.client.read_body(reply, endpoint, deadline).await {
                Ok((parts, bytes)) => {
                    traffic.quarantine.record_response(call);
                    traffic.quarantine.record_sound_run(call, sent_at);
                    if !is_failure(parts.status) {
                        return Some((parts, bytes));
                    }
                    progress.failure = Some((parts, bytes));
                }
                Err(error) => {
                    progress.lost = Some(error);
                    traffic.record_crash(call, endpoint, sent_at, Some(Duration::ZERO)).await;
                }
            }
        }
        SendOutcome::NotRun | SendOutcome::Withheld | SendOutcome::NoPath => {}
        SendOutcome::Unsent => fleet.record_failure(key, Instant::now()),
        SendOutcome::Lost(error) => {
            progress.runs += 1;
            progress.lost = Some(error);
            match error {
                SendError::Timeout => fleet.record_overload(key, Instant::now()),
                SendError::Unsent | SendError::NoPath | SendError::Disconnected => {
                    fleet.record_failure(key, Instant::now());
                    traffic.record_crash(call, endpoint, sent_at, Some(Duration::ZERO)).await;
                }
            }
        }
    }
    None
}

fn rejection_of<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    call: &Call,
    progress: &Progress,
) -> Rejection {
    match progress.lost {
        None => traffic.not_run_rejection(call),
        Some(SendError::Timeout) => Rejection::Timeout,
        Some(_) => Rejection::Lost,
    }
}
