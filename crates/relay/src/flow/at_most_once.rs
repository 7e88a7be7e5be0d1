//! Requests that may run at most once.

use {
    super::{Traffic, ended, order},
    crate::{
        body::Answer,
        call::Call,
        dialect::Dialect,
        exchange::{Sent, is_failure},
        network::Network,
        pool::SendError,
        refusal::Refusal,
    },
    http::Response,
    tokio::time::Instant,
};

/// Most runners that are asked while none takes the request.
const RUNNERS: usize = 4;

/// Sends a request until a runner may have begun with it, and never after that.
///
/// The caller's next attempt has an id of its own and is a request of its own, so nothing has to be
/// remembered here: it is enough that this send isn't repeated.
pub(super) async fn serve<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    call: &Call,
) -> Response<Answer> {
    let until = call.deadline();
    let mut tried = Vec::new();
    while tried.len() < RUNNERS && Instant::now() < until {
        let Some(place) = traffic.choose(call, &tried) else { break };
        if !tried.is_empty() && !traffic.may_retry(&call.service) {
            break;
        }
        let fleet = &traffic.exchange.fleet;
        let _lease = fleet.call(place.clone());
        let key = place.key;
        match traffic.exchange.send(call, &place, &order(call, &place), until).await {
            Sent::Answered(reply) => {
                return match traffic.exchange.whole(reply, &place, until).await {
                    Ok((parts, bytes)) => {
                        traffic.judge(call, key, ended(call, !is_failure(parts.status)));
                        Response::from_parts(parts, bytes.into())
                    }
                    Err(error) => {
                        traffic.judge(call, key, ended(call, false));
                        traffic.refuse(call, lost(error))
                    }
                };
            }
            Sent::NotRun => {}
            Sent::Unsent => fleet.failed(key, Instant::now()),
            Sent::Lost(error) => {
                if error == SendError::Broken {
                    fleet.failed(key, Instant::now());
                }
                traffic.judge(call, key, ended(call, false));
                return traffic.refuse(call, lost(error));
            }
        }
        tried.push(key);
    }
    traffic.refuse(call, traffic.not_run())
}

/// What to say when it may have run.
fn lost(error: SendError) -> Refusal {
    match error {
        SendError::Silent => Refusal::Timeout,
        SendError::Unsent | SendError::Broken => Refusal::Lost,
    }
}
