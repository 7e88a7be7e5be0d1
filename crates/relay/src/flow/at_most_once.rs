//! Flow of requests that must not run more than once.

use {
    super::{Traffic, end_trial, lose_trial, send_options},
    crate::{
        body::ResponseBody, call::Call, dialect::Dialect, framing::BadHead, network::Network,
        pool::SendError, rejection::Rejection, runner_client::SendOutcome,
    },
    http::Response,
    std::{cell::Cell, time::Duration},
    tokio::time::Instant,
};

/// Maximum number of runners that are tried while each of them rejects the request.
const MAX_RUNNERS: usize = 4;

/// Tries runners until the request may have started on one of them, and does not retry after that.
/// A retry by the caller carries a new attempt id, so no state is kept between requests.
pub(super) async fn serve<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    call: &Call,
) -> Response<ResponseBody> {
    let deadline = call.deadline();
    let mut tried = Vec::new();
    let is_sent = Cell::new(false);
    while tried.len() < MAX_RUNNERS && Instant::now() < deadline {
        let Some(endpoint) = traffic.choose_runner(call, &tried) else { break };
        if is_sent.get() && !traffic.find_retry(&call.service) {
            break;
        }
        let fleet = &traffic.client.fleet;
        let _lease = fleet.lease_call(endpoint.clone());
        let key = endpoint.key;
        let options = send_options(call, &endpoint, tried.len());
        let sent_at = Instant::now();
        let trial = traffic.start_trial(call, key);
        let admit = || traffic.admit_send(call, &is_sent);
        match traffic.client.send(call, &endpoint, &options, deadline, admit).await {
            SendOutcome::Answered(reply) => {
                return match traffic
                    .read_answer(reply, call, &endpoint, sent_at, trial.as_ref())
                    .await
                {
                    Ok((answer, ended_at)) => {
                        let status = answer.parts.status;
                        if status.is_success() {
                            fleet.record_call_time(key, ended_at - sent_at);
                        }
                        traffic.record_response(call);
                        traffic.quarantine.record_sound_run(call, sent_at);
                        end_trial(trial.as_ref(), status);
                        answer.into_response()
                    }
                    Err(error) => {
                        lose_trial(trial.as_ref(), error);
                        traffic.reject(call, rejection_of(error))
                    }
                };
            }
            SendOutcome::NotRun | SendOutcome::Withheld => {}
            SendOutcome::Unsent => fleet.record_failure(key, Instant::now()),
            // Other runners of the service cannot be reached either.
            SendOutcome::NoPath | SendOutcome::NotAdmitted => break,
            SendOutcome::Lost(error) => {
                match error {
                    SendError::Disconnected => {
                        fleet.record_failure(key, Instant::now());
                        traffic.record_crash(call, &endpoint, sent_at, Some(Duration::ZERO)).await;
                    }
                    SendError::Timeout => {
                        traffic.check_silence(call, &endpoint, sent_at, Some(Duration::ZERO));
                    }
                    // A runner may respond so to all requests.
                    SendError::Malformed(BadHead::Endless) => {}
                    SendError::Malformed(_) => fleet.record_failure(key, Instant::now()),
                    SendError::Unsent | SendError::NoPath => {}
                }
                lose_trial(trial.as_ref(), error);
                return traffic.reject(call, rejection_of(error));
            }
        }
        tried.push(key);
    }
    traffic.reject(call, traffic.not_run_rejection(call))
}

/// Returns the rejection of a request that may have run.
fn rejection_of(error: SendError) -> Rejection {
    match error {
        SendError::Timeout => Rejection::Timeout,
        SendError::Unsent
        | SendError::NoPath
        | SendError::Malformed(_)
        | SendError::Disconnected => Rejection::Lost,
    }
}
