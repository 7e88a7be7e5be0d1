//! Error responses of the operators' API: rejections and their problem documents.

use {
    crate::catalogue::store::StoreError,
    bilberryfront_decide::id::Revision,
    bilberryfront_wire::problem::{PROBLEM_JSON, Problem, Run},
    compact_str::CompactString,
    http::{
        Response, StatusCode,
        header::{CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE},
    },
    jiff::{Timestamp, Unit},
    std::time::Duration,
    volo_http::body::Body,
};

/// Problem type of a conflict with another change.
pub const CONFLICT: &str = "/problems/conflict";
/// Problem type of an outage of the platform.
pub const STORE_DOWN: &str = "/problems/store-down";
/// Problem type of a change whose replies were lost.
pub const UNKNOWN: &str = "/problems/unknown-outcome";
/// Problem type of a move whose write got no reply.
pub const MOVE_UNKNOWN: &str = "/problems/move-unknown";

/// `Retry-After` while the platform is unavailable, in seconds.
const RETRY_SECONDS: u32 = 5;

/// Reason for the rejection of an operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Refusal {
    /// The key is missing or not accepted.
    #[error("send `Authorization: Bearer KEY` with a key whose digest the node's settings list")]
    Key,
    /// The path doesn't exist.
    #[error("nothing is at this path; see docs/OPERATORS.md")]
    Path,
    /// The body is too long.
    #[error("the body is longer than {0} bytes")]
    Long(usize),
    /// The body can't be parsed.
    #[error("the body is not of the form that the path takes: {0}")]
    Body(String),
    /// The catalogue is invalid.
    #[error("{}", .0.join("; "))]
    Faults(Vec<String>),
    /// Another change was applied first.
    #[error("revision {now} is in force and not {expect}; read it, merge and apply again")]
    Conflict {
        /// The revision that was expected.
        expect: Revision,
        /// The latest revision.
        now: Revision,
    },
    /// The node has no catalogue yet.
    #[error("the node has no catalogue yet: apply one, or ask again in a few seconds")]
    NoCatalog,
    /// The entry isn't in the catalogue.
    #[error("the catalogue has no entry `{0}`")]
    NoEntry(CompactString),
    /// The entry doesn't have the new version.
    #[error("version `{to}` is not among the entry's versions: {}", versions.join(", "))]
    NoVersion {
        /// The requested version.
        to: CompactString,
        /// The entry's versions.
        versions: Vec<CompactString>,
    },
    /// The entry has had no version move.
    #[error("entry `{0}` has had no move")]
    NoMove(CompactString),
    /// There is no move to roll back.
    #[error("no move of entry `{0}` is under way")]
    MoveOver(CompactString),
    /// The entry already has the new version.
    #[error("the entry has version `{0}` already")]
    SameVersion(CompactString),
    /// Another move of the entry is in progress, with this id.
    #[error("move {0} of the entry is under way; it settles or is undone first")]
    OtherMove(CompactString),
    /// The deadline is too close to collect the evidence.
    #[error(
        "the evidence takes {} s: the earliest deadline is {earliest}; give that, or force the move \
         and do with less evidence",
        takes.as_secs()
    )]
    Late {
        /// Minimum duration of the move.
        takes: Duration,
        /// Earliest possible deadline.
        earliest: Timestamp,
    },
    /// The table did not reply to the write of a move.
    #[error("the table service gives no answer; the move may still take effect")]
    MoveUnknown,
    /// Error of the catalogue store.
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl Refusal {
    /// Creates the rejection of a deadline that is too close at `now` for a move that takes
    /// `takes`.
    pub fn late(now: Timestamp, takes: Duration) -> Refusal {
        // Rounded up, so that the reported time is accepted as a deadline.
        let earliest = now.checked_add(takes + Duration::from_secs(1)).unwrap_or(Timestamp::MAX);
        let earliest = earliest.round(Unit::Second).unwrap_or(earliest);
        Refusal::Late { takes, earliest }
    }

    fn kind(&self) -> (&'static str, &'static str, StatusCode) {
        match self {
            Refusal::Key => ("/problems/key", "Wrong key", StatusCode::UNAUTHORIZED),
            Refusal::Path => ("/problems/path", "Nothing here", StatusCode::NOT_FOUND),
            Refusal::Long(_) => ("/problems/long", "Body too long", StatusCode::PAYLOAD_TOO_LARGE),
            Refusal::Body(_) => ("/problems/body", "Broken body", StatusCode::BAD_REQUEST),
            Refusal::Faults(_) => {
                ("/problems/catalogue", "Bad catalogue", StatusCode::UNPROCESSABLE_ENTITY)
            }
            Refusal::Conflict { .. } => {
                (CONFLICT, "Another change came first", StatusCode::CONFLICT)
            }
            Refusal::NoCatalog => {
                ("/problems/no-catalogue", "No catalogue yet", StatusCode::SERVICE_UNAVAILABLE)
            }
            Refusal::NoEntry(_) => ("/problems/entry", "Unknown entry", StatusCode::NOT_FOUND),
            Refusal::NoVersion { .. } => {
                ("/problems/version", "Unknown version", StatusCode::UNPROCESSABLE_ENTITY)
            }
            Refusal::NoMove(_) => ("/problems/no-move", "No move", StatusCode::NOT_FOUND),
            Refusal::MoveOver(_) => {
                ("/problems/move-over", "No move to undo", StatusCode::CONFLICT)
            }
            Refusal::SameVersion(_) => {
                ("/problems/same-version", "Nothing to move", StatusCode::CONFLICT)
            }
            Refusal::OtherMove(_) => {
                ("/problems/other-move", "Another move is under way", StatusCode::CONFLICT)
            }
            Refusal::Late { .. } => {
                ("/problems/late", "The deadline is too close", StatusCode::CONFLICT)
            }
            Refusal::MoveUnknown => {
                (MOVE_UNKNOWN, "Outcome unknown", StatusCode::SERVICE_UNAVAILABLE)
            }
            Refusal::Store(StoreError::Unknown { .. }) => {
                (UNKNOWN, "Outcome unknown", StatusCode::SERVICE_UNAVAILABLE)
            }
            Refusal::Store(StoreError::Down(_)) => {
                (STORE_DOWN, "The platform gives no answer", StatusCode::SERVICE_UNAVAILABLE)
            }
            Refusal::Store(StoreError::Damaged { .. }) => {
                ("/problems/damaged", "Damaged catalogue", StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    fn problem(&self) -> Problem {
        let (kind, title, status) = self.kind();
        let run = match self {
            Refusal::Store(StoreError::Unknown { .. }) | Refusal::MoveUnknown => Run::Unknown,
            _ => Run::NotRun,
        };
        let is_retryable = status == StatusCode::SERVICE_UNAVAILABLE;
        Problem {
            kind: kind.into(),
            title: title.into(),
            status: status.as_u16(),
            detail: self.to_string(),
            run,
            retry_after: is_retryable.then_some(RETRY_SECONDS),
        }
    }

    /// Returns the response with the problem document.
    pub fn response(&self) -> Response<Body> {
        let problem = self.problem();
        let body = serde_json::to_string(&problem).expect("problems always serialize");
        let mut response =
            Response::builder().status(problem.status).header(CONTENT_TYPE, PROBLEM_JSON);
        if let Some(seconds) = problem.retry_after {
            response = response.header(RETRY_AFTER, seconds);
        }
        if *self == Refusal::Key {
            response = response.header(WWW_AUTHENTICATE, "Bearer");
        }
        response.body(Body::from(body)).expect("the headers are valid")
    }
}
