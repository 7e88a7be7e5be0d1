//! Flow of idempotent requests.

use {
    super::{Traffic, end_trial, lose_trial, send_options},
    crate::{
        body::ResponseBody,
        call::Call,
        dialect::Dialect,
        fleet::{Endpoint, RunnerKey},
        framing::BadHead,
        network::Network,
        pool::SendError,
        rejection::Rejection,
        rollouts::trial::Trial,
        runner_client::{Answer, SendOutcome, is_failure},
    },
    futures_util::{StreamExt, stream::FuturesUnordered},
    http::Response,
    std::{cell::Cell, pin::pin, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep, timeout},
};

/// Share of the latency objective after which the request is sent to another runner as well.
const HEDGE_SHARE: f64 = 0.6;
/// Maximum number of runners that are tried.
const MAX_RUNNERS: usize = 5;

/// State of a request.
#[derive(Default)]
struct Progress {
    tried: Vec<RunnerKey>,
    /// Runner of the first attempt while that has not ended.
    first: Option<RunnerKey>,
    /// The first attempt while that has not ended, during a rollout.
    trial: Option<Rc<Trial>>,
    /// Number of attempts that have not ended.
    pending: u32,
    /// Runner of the newest attempt while that has not ended.
    newest: Option<RunnerKey>,
    /// Whether the request was sent.
    is_sent: Rc<Cell<bool>>,
    /// Whether an attempt had no path to its runner.
    no_path: bool,
    /// Number of ended attempts that may have run.
    runs: u32,
    /// Error response of a runner, returned if no runner succeeds.
    failure: Option<Answer>,
    /// Response that may be cut off, returned if no other runner responds soon.
    unconfirmed: Option<Answer>,
    /// Error of the last attempt without a response.
    lost: Option<SendError>,
}

impl Progress {
    /// Returns whether another runner has given the same response.
    fn agrees(&self, answer: &Answer) -> bool {
        self.unconfirmed.as_ref().is_some_and(|first| first.equals(answer))
    }

    /// Returns whether there is a response that is not held back for runners that remain silent: one that only
    /// waits for a confirmation, or a failure of the newest attempt.
    fn is_ready(&self) -> bool {
        self.unconfirmed.is_some() || self.failure.is_some() && self.newest.is_none()
    }
}

/// A send of the request.
struct Send {
    /// Number of earlier sends.
    earlier: usize,
    /// Whether the request was sent.
    is_sent: Rc<Cell<bool>>,
    /// Set for the first send, during a rollout.
    trial: Option<Rc<Trial>>,
}

/// An attempt that has ended.
struct Attempt {
    endpoint: Endpoint,
    sent_at: Instant,
    result: AttemptResult,
}

/// How an attempt ended.
enum AttemptResult {
    /// Response, complete as far as is known, and the time of its end.
    Complete(Answer, Instant),
    /// Response whose body is incomplete.
    Incomplete(SendError),
    /// No response.
    Ended(SendOutcome),
}

/// Tries one runner after another until one succeeds. One that is silent is kept beside the next one,
/// and the first response wins.
pub(super) async fn serve<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    call: &Call,
) -> Response<ResponseBody> {
    let mut progress = Progress::default();
    let mut pending = FuturesUnordered::new();
    let response = loop {
        if let Some(endpoint) = next_runner(traffic, call, &progress) {
            let earlier = progress.tried.len();
            if earlier == 0 {
                progress.first = Some(endpoint.key);
                progress.trial = traffic.start_trial(call, endpoint.key).map(Rc::new);
            }
            progress.newest = Some(endpoint.key);
            progress.tried.push(endpoint.key);
            progress.pending += 1;
            let is_sent = progress.is_sent.clone();
            let trial = progress.trial.clone().filter(|_| earlier == 0);
            pending.push(attempt(traffic, call, endpoint, Send { earlier, is_sent, trial }));
        }
        let ended = tokio::select! {
            biased;
            ended = pending.next() => ended,
            () = sleep(hedge_delay(call)) => match progress.is_ready() {
                true => break None,
                false => continue,
            },
        };
        let Some(ended) = ended else { break None };
        progress.pending -= 1;
        progress.newest.take_if(|runner| *runner == ended.endpoint.key);
        if progress.first.take_if(|runner| *runner == ended.endpoint.key).is_some() {
            report_trial(progress.trial.take().as_deref(), &ended.result);
        }
        let response = evaluate(traffic, call, &mut progress, ended).await;
        if response.is_some() {
            break response;
        }
    };
    lose_trial(progress.trial.take().as_deref(), SendError::Timeout);
    match response.or(progress.unconfirmed.take()).or(progress.failure.take()) {
        Some(answer) => answer.into_response(),
        None => traffic.reject(call, rejection_of(traffic, call, &progress)),
    }
}

/// Returns the runner of the next attempt, if there is one and the budget has a retry for it.
fn next_runner<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    call: &Call,
    progress: &Progress,
) -> Option<Endpoint> {
    let is_excluded = progress.no_path
        || progress.runs + progress.pending >= call.route.attempts.max(1)
        || progress.tried.len() >= MAX_RUNNERS
        || Instant::now() >= call.deadline()
        || progress.lost.is_some() && traffic.quarantine.time_left(call).is_some();
    if is_excluded {
        return None;
    }
    let endpoint = traffic.choose_runner(call, &progress.tried)?;
    let is_hedge = progress.pending > 0;
    // A runner that is probably silent as well would only use up the budget.
    if is_hedge && traffic.client.fleet.is_ejected(endpoint.key) {
        return None;
    }
    let is_retry = is_hedge || progress.is_sent.get();
    (!is_retry || traffic.find_retry(&call.service)).then_some(endpoint)
}

/// Returns the time after which another attempt is made beside those that have not ended.
fn hedge_delay(call: &Call) -> Duration {
    let left = call.deadline().saturating_duration_since(Instant::now());
    call.route.objective.mul_f64(HEDGE_SHARE).min(left / 2)
}

/// Sends a request to a runner and waits for the response.
async fn attempt<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    call: &Call,
    endpoint: Endpoint,
    send: Send,
) -> Attempt {
    let _lease = traffic.client.fleet.lease_call(endpoint.clone());
    let sent_at = Instant::now();
    let result = receive(traffic, call, &endpoint, &send).await;
    Attempt { endpoint, sent_at, result }
}

/// Waits for the response of a runner. While it is silent, other requests prefer other runners.
async fn receive<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    call: &Call,
    endpoint: &Endpoint,
    send: &Send,
) -> AttemptResult {
    let (fleet, sent_at) = (&traffic.client.fleet, Instant::now());
    let mut response = pin!(exchange(traffic, call, endpoint, send));
    if let Ok(result) = timeout(hedge_delay(call), &mut response).await {
        return result;
    }
    log::info!(request = call.head.id.as_str(), runner = endpoint.id.as_str();
        "no response yet: the request may be sent to another runner as well");
    fleet.record_overload(endpoint.key, Instant::now());
    traffic.client.record_lost_response(endpoint);
    loop {
        if let Ok(result) = timeout(hedge_delay(call), &mut response).await {
            return result;
        }
        if fleet.last_seen(endpoint.key).is_none_or(|last_seen| last_seen < sent_at) {
            fleet.record_overload(endpoint.key, Instant::now());
        }
    }
}

async fn exchange<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    call: &Call,
    endpoint: &Endpoint,
    send: &Send,
) -> AttemptResult {
    let Send { earlier, is_sent, trial } = send;
    let (client, deadline, sent_at) = (&traffic.client, call.deadline(), Instant::now());
    let options = send_options(call, endpoint, *earlier);
    let admit = || traffic.admit_send(call, is_sent);
    match client.send(call, endpoint, &options, deadline, admit).await {
        SendOutcome::Answered(reply) => {
            match traffic.read_answer(reply, call, endpoint, sent_at, trial.as_deref()).await {
                Ok((answer, ended_at)) => AttemptResult::Complete(answer, ended_at),
                Err(error) => AttemptResult::Incomplete(error),
            }
        }
        ended => AttemptResult::Ended(ended),
    }
}

/// Evaluates an attempt and returns its response if that is final.
async fn evaluate<D: Dialect, N: Network>(
    traffic: &Traffic<D, N>,
    call: &Call,
    progress: &mut Progress,
    attempt: Attempt,
) -> Option<Answer> {
    let Attempt { endpoint, sent_at, result } = attempt;
    let (fleet, key) = (&traffic.client.fleet, endpoint.key);
    match result {
        AttemptResult::Complete(answer, ended_at) => {
            let status = answer.parts.status;
            progress.runs += 1;
            traffic.record_response(call);
            traffic.quarantine.record_sound_run(call, sent_at);
            if status.is_success() {
                fleet.record_call_time(key, ended_at - sent_at);
            }
            if is_failure(status) {
                progress.failure = Some(answer);
            } else if answer.is_confirmed() || progress.agrees(&answer) {
                return Some(answer);
            } else {
                progress.unconfirmed.get_or_insert(answer);
            }
        }
        AttemptResult::Incomplete(error) => {
            progress.runs += 1;
            progress.lost = Some(error);
        }
        AttemptResult::Ended(SendOutcome::Lost(error)) => {
            progress.runs += 1;
            progress.lost = Some(error);
            match error {
                SendError::Timeout => {
                    fleet.record_overload(key, Instant::now());
                    traffic.check_silence(call, &endpoint, sent_at, Some(Duration::ZERO));
                }
                // A runner may respond so to all requests.
                SendError::Malformed(BadHead::Endless) => {}
                SendError::Malformed(_) => fleet.record_failure(key, Instant::now()),
                SendError::Unsent | SendError::NoPath | SendError::Disconnected => {
                    fleet.record_failure(key, Instant::now());
                    traffic.record_crash(call, &endpoint, sent_at, Some(Duration::ZERO)).await;
                }
            }
        }
        AttemptResult::Ended(SendOutcome::Unsent) => fleet.record_failure(key, Instant::now()),
        AttemptResult::Ended(SendOutcome::NoPath) => progress.no_path = true,
        AttemptResult::Ended(_) => {}
    }
    None
}

/// Reports what the first attempt says about its version, if it may have run.
fn report_trial(trial: Option<&Trial>, result: &AttemptResult) {
    match result {
        AttemptResult::Complete(answer, _) => end_trial(trial, answer.parts.status),
        AttemptResult::Incomplete(error) | AttemptResult::Ended(SendOutcome::Lost(error)) => {
            lose_trial(trial, *error);
        }
        AttemptResult::Ended(_) => {}
    }
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
