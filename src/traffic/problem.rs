//! Error answers.

use {
    bilberryfront_decide::action::{Reason, Refuse},
    bilberryfront_wire::problem::{PROBLEM_JSON, Problem, Run},
    compact_str::format_compact,
    http::{StatusCode, header},
    std::time::Duration,
    volo_http::{body::Body, response::Response},
};

/// Kinds of problem. Each has one status and one title.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// No key, or an unknown one.
    Unauthorized,
    /// Nothing is at the path.
    NotFound,
    /// The path takes other methods.
    MethodNotAllowed,
    /// The headers are larger than this face allows.
    HeadersTooLarge,
    /// The account may not use the entry.
    Forbidden,
    /// No such entry.
    UnknownEntry,
    /// The request is not what the page of this face describes.
    BadRequest,
    /// The body is larger than the entry allows.
    TooLarge,
    /// The body came too slowly.
    SlowBody,
    /// The event id or the text sent back isn't of this request.
    ResumeMismatch,
    /// The account's limit is reached.
    AccountLimit,
    /// The entry's limit is reached, or the wait would be too long.
    Overloaded,
    /// No runner can take it now.
    NoRunner,
    /// The node is starting or leaving.
    NotServing,
    /// Part of the answer came, the rest won't.
    Cut,
    /// The runner refused the request itself.
    RunnerRefused,
    /// An idempotency key came with another call before.
    KeyMismatch,
    /// The platform's table can't be reached, and the call needs it.
    StoreDown,
    /// A call that may run at most once may have run.
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

/// A problem of which nothing was run and for which asking again doesn't help.
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

/// The same problem, with the time after which asking again may help.
pub fn with_retry_after(mut problem: Problem, after: Duration) -> Problem {
    problem.retry_after = Some(whole_seconds(after));
    problem
}

/// The answer that carries a problem.
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

/// Problem document for a rejection by the core.
pub fn refusal(refuse: &Refuse) -> Problem {
    let (kind, detail) = match refuse.reason {
        Reason::NoEntry => (Kind::UnknownEntry, "the entry was just taken out of the catalogue"),
        Reason::NoAccess => (Kind::Forbidden, "ask the entry's owner for access"),
        Reason::AccountLimit => (Kind::AccountLimit, "wait until some of your requests have ended"),
        Reason::EntryLimit => (Kind::Overloaded, "the entry's limit and its queue are full"),
        Reason::Late => (Kind::Overloaded, "the wait would be longer than the entry allows"),
        Reason::NoRunner => (Kind::NoRunner, "no live runner of the entry's version"),
        Reason::NoBudget => (Kind::NoRunner, "too many requests are being tried again"),
    };
    let problem = not_run(kind, detail);
    match refuse.retry {
        Some(after) => with_retry_after(problem, after),
        None => problem,
    }
}

fn whole_seconds(time: Duration) -> u32 {
    let seconds = time.as_secs_f64().ceil();
    (seconds as u32).max(1)
}
