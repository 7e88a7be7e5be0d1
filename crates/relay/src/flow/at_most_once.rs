//! Requests that must not run more than once.

use {
    super::{Traffic, ended, options},
    crate::{
        body::ResponseBody,
        call::Call,
        dialect::Dialect,
        network::Network,
        pool::SendError,
        refusal::Refusal,
        runner_client::{SendOutcome, is_failure},
    },
    http::Response,
    tokio::time::Instant,
};

/// Maximum runners tried while each rejects the request.
const RUNNERS: usize = 4;

/// Tries runners until the request may have started on one, and never again after that. Caller
/// retries carry a new attempt id, so no state has to be kept.
pub(super) async fn serve<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    call: &Call,
) -> Response<ResponseBody> {
    let until = call.deadline();
    let mut tried = Vec::new();
    let mut arrived = false;
    while tried.len() < RUNNERS && Instant::now() < until {
        let Some(endpoint) = traffic.choose(call, &tried) else { break };
        if arrived && !traffic.may_retry(&call.service) {
            break;
        }
        let fleet = &traffic.client.fleet;
        let _lease = fleet.call(endpoint.clone());
        let key = endpoint.key;
        let options = options(call, &endpoint, tried.len());
        match traffic.client.send(call, &endpoint, &options, until).await {
            SendOutcome::Answered(reply) => {
                return match traffic.client.whole(reply, &endpoint, until).await {
                    Ok((parts, bytes)) => {
                        traffic.record_trial(call, key, ended(call, !is_failure(parts.status)));
                        Response::from_parts(parts, bytes.into())
                    }
                    Err(error) => {
                        traffic.record_trial(call, key, ended(call, false));
                        traffic.refuse(call, lost(error))
                    }
                };
            }
            SendOutcome::NotRun => arrived = true,
            SendOutcome::Withheld => {}
            SendOutcome::Unsent => fleet.record_failure(key, Instant::now()),
            SendOutcome::Lost(error) => {
                if error == SendError::Broken {
                    fleet.record_failure(key, Instant::now());
                }
                traffic.record_trial(call, key, ended(call, false));
                return traffic.refuse(call, lost(error));
            }
        }
        tried.push(key);
    }
    traffic.refuse(call, traffic.not_run(call))
}

/// Response to a request that may have run.
fn lost(error: SendError) -> Refusal {
    match error {
        SendError::Silent => Refusal::Timeout,
        SendError::Unsent | SendError::Broken => Refusal::Lost,
    }
}
