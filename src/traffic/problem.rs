//! Error responses: problem documents.

use {
    bilberryfront_decide::action::{Reason, Rejection},
    bilberryfront_wire::problem::{PROBLEM_JSON, Problem, Run},
    compact_str::format_compact,
    http::{StatusCode, header},
    std::time::Duration,
    volo_http::{body::Body, response::Response},
};

/// Kinds of problem. Each has one status and one title.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The key is missing or unknown.
    Unauthorized,
    /// The path doesn't exist.
    NotFound,
    /// The path supports other methods only.
    MethodNotAllowed,
    /// The headers are larger than this API allows.
    HeadersTooLarge,
    /// The account may not use the entry.
    Forbidden,
    /// The entry doesn't exist.
    UnknownEntry,
    /// The request is malformed.
    BadRequest,
    /// The body is larger than the entry allows.
    TooLarge,
    /// The body was not received in time.
    SlowBody,
    /// The event id or the text sent for the resume doesn't belong to this request.
    ResumeMismatch,
    /// The account's limit is reached.
    AccountLimit,
    /// The entry's limit is reached, or the expected wait is too long.
    Overloaded,
    /// No runner is available.
    NoRunner,
    /// The node is starting or draining.
    NotServing,
    /// The response ended before it was complete.
    Cut,
    /// The runner rejected the request as invalid.
    RunnerRefused,
    /// The idempotency key was used before for another call.
    KeyMismatch,
    /// The platform's table service is unavailable, and the call requires it.
    StoreDown,
    /// It is unknown whether a call that may run at most once has run.
    OutcomeUnknown,
}

impl Kind {
    fn status(self) -> StatusCode {
        match self {
            Kind::Unauthorized => StatusCode::UNAUTHORIZED,
            Kind::Forbidden => StatusCode::FORBIDDEN,
            Kind::UnknownEntry | Kind::NotFound => StatusCode::NOT_FOUND,
            Kind::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Kind::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Kind::BadRequest => StatusCode::BAD_REQUEST,
            Kind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Kind::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Kind::ResumeMismatch | Kind::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Kind::AccountLimit => StatusCode::TOO_MANY_REQUESTS,
            Kind::Overloaded | Kind::NoRunner | Kind::NotServing | Kind::StoreDown => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Kind::Cut | Kind::RunnerRefused | Kind::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Kind::Unauthorized => "unauthorized",
            Kind::NotFound => "not-found",
            Kind::MethodNotAllowed => "method-not-allowed",
            Kind::HeadersTooLarge => "headers-too-large",
            Kind::Forbidden => "forbidden",
            Kind::UnknownEntry => "unknown-entry",
            Kind::BadRequest => "bad-request",
            Kind::TooLarge => "too-large",
            Kind::SlowBody => "slow-body",
            Kind::ResumeMismatch => "resume-mismatch",
            Kind::AccountLimit => "account-limit",
            Kind::Overloaded => "overloaded",
            Kind::NoRunner => "no-runner",
            Kind::NotServing => "not-serving",
            Kind::Cut => "cut",
            Kind::RunnerRefused => "runner-refused",
            Kind::KeyMismatch => "key-mismatch",
            Kind::StoreDown => "store-down",
            Kind::OutcomeUnknown => "outcome-unknown",
        }
    }

    fn title(self) -> &'static str {
        match self {
            Kind::Unauthorized => "The key is missing or not known",
            Kind::NotFound => "Nothing is at this path",
            Kind::MethodNotAllowed => "The path takes other methods",
            Kind::HeadersTooLarge => "The headers are too large",
            Kind::Forbidden => "The account may not use this entry",
            Kind::UnknownEntry => "There is no such entry",
            Kind::BadRequest => "The request is malformed",
            Kind::TooLarge => "The body is too large",
            Kind::SlowBody => "The body came too slowly",
            Kind::ResumeMismatch => "The resume doesn't match the request",
            Kind::AccountLimit => "The account's limit is reached",
            Kind::Overloaded => "The entry is overloaded",
            Kind::NoRunner => "No runner can take the request now",
            Kind::NotServing => "This node isn't serving",
            Kind::Cut => "The answer was cut",
            Kind::RunnerRefused => "The runner refused the request",
            Kind::KeyMismatch => "The key belongs to another call",
            Kind::StoreDown => "The call can't be recorded now",
            Kind::OutcomeUnknown => "It isn't known whether the call ran",
        }
    }
}

/// Returns a problem for a request that was not run and for which a retry doesn't help.
pub fn not_run(kind: Kind, detail: impl Into<String>) -> Problem {
    Problem {
        kind: format_compact!("/problems/{}", kind.name()),
        title: kind.title().into(),
        status: kind.status().as_u16(),
        detail: detail.into(),
        run: Run::NotRun,
        retry_after: None,
    }
}

/// Returns the problem with the time after which a retry may succeed.
pub fn with_retry_after(mut problem: Problem, after: Duration) -> Problem {
    problem.retry_after = Some(whole_seconds(after));
    problem
}

/// Returns the response with a problem document.
pub fn response(problem: &Problem) -> Response {
    let body = serde_json::to_vec(problem).expect("wire types always serialize");
    let mut builder =
        http::Response::builder().status(problem.status).header(header::CONTENT_TYPE, PROBLEM_JSON);
    if let Some(seconds) = problem.retry_after {
        builder = builder.header(header::RETRY_AFTER, seconds);
    }
    if problem.status == StatusCode::UNAUTHORIZED {
        builder = builder.header(header::WWW_AUTHENTICATE, "Bearer");
    }
    builder.body(Body::from(body)).expect("statuses and headers are constants")
}

/// Returns the problem for a rejection by the core.
pub fn from_rejection(rejection: &Rejection) -> Problem {
    let (kind, detail) = match rejection.reason {
        Reason::NoEntry => (Kind::UnknownEntry, "the entry was just taken out of the catalogue"),
        Reason::NoAccess => (Kind::Forbidden, "ask the entry's owner for access"),
        Reason::AccountLimit => (Kind::AccountLimit, "wait until some of your requests have ended"),
        Reason::EntryLimit => (Kind::Overloaded, "the entry's limit and its queue are full"),
        Reason::WaitTooLong => (Kind::Overloaded, "the wait would be longer than the entry allows"),
        Reason::NoRunner => (Kind::NoRunner, "no live runner of the entry's version"),
        Reason::NoBudget => (Kind::NoRunner, "too many requests are being tried again"),
    };
    let problem = not_run(kind, detail);
    match rejection.retry_after {
        Some(after) => with_retry_after(problem, after),
        None => problem,
    }
}

fn whole_seconds(time: Duration) -> u32 {
    let seconds = time.as_secs_f64().ceil();
    (seconds as u32).max(1)
}
