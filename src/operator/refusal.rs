//! Refusals of the operators' face and their problem documents.

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

/// Kind of the problem that tells a conflict.
pub const CONFLICT: &str = "/problems/conflict";
/// Kind of the problem that tells an outage of the platform.
pub const STORE_DOWN: &str = "/problems/store-down";
/// Kind of the problem that tells a change whose replies were lost.
pub const UNKNOWN: &str = "/problems/unknown-outcome";

/// Kind of the problem that tells a move whose write got no answer.
pub const MOVE_UNKNOWN: &str = "/problems/move-unknown";

/// Seconds after which to ask again while the platform is down.
const RETRY_SECONDS: u32 = 5;

/// Why an operator's call is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Refusal {
    /// No or a wrong key.
    #[error("send `Authorization: Bearer KEY` with a key whose digest the node's settings list")]
    Key,
    /// No such path.
    #[error("nothing is at this path; see docs/OPERATORS.md")]
    Path,
    /// The body is longer than any catalogue.
    #[error("the body is longer than {0} bytes")]
    Long(usize),
    /// The body isn't of the path's form.
    #[error("the body is not of the form that the path takes: {0}")]
    Body(String),
    /// The catalogue has faults.
    #[error("{}", .0.join("; "))]
    Faults(Vec<String>),
    /// Another change came first.
    #[error("revision {now} is in force and not {expect}; read it, merge and apply again")]
    Conflict {
        /// The revision that was expected.
        expect: Revision,
        /// The revision in force.
        now: Revision,
    },
    /// The node has no catalogue yet.
    #[error("the node has no catalogue yet: apply one, or ask again in a few seconds")]
    NoCatalog,
    /// Not an entry of the catalogue in force.
    #[error("the catalogue has no entry `{0}`")]
    NoEntry(CompactString),
    /// The new version isn't among the entry's.
    #[error("version `{to}` is not among the entry's versions: {}", versions.join(", "))]
    NoVersion {
        /// The version that was asked for.
        to: CompactString,
        /// The entry's versions.
        versions: Vec<CompactString>,
    },
    /// The entry was never moved.
    #[error("entry `{0}` has had no move")]
    NoMove(CompactString),
    /// No move can be taken back.
    #[error("no move of entry `{0}` is under way")]
    MoveOver(CompactString),
    /// The catalogue names the new version already.
    #[error("the entry has version `{0}` already")]
    SameVersion(CompactString),
    /// Another move of the entry is under way, with this id.
    #[error("move {0} of the entry is under way; it settles or is undone first")]
    OtherMove(CompactString),
    /// The deadline leaves no time for the evidence.
    #[error(
        "the evidence takes {} s: the earliest deadline is {earliest}; give that, or force the move \
         and do with less evidence",
        takes.as_secs()
    )]
    Late {
        /// Shortest time that would do.
        takes: Duration,
        /// Earliest deadline from now.
        earliest: Timestamp,
    },
    /// The table gave no answer to a move's write.
    #[error("the table service gives no answer; the move may still take effect")]
    MoveUnknown,
    /// The platform gave no answer.
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl Refusal {
    /// The deadline is too close at `now` for evidence that takes so long.
    pub fn late(now: Timestamp, takes: Duration) -> Refusal {
        // Rounds up, so that echoing the reported time is accepted.
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
        let helps = status == StatusCode::SERVICE_UNAVAILABLE;
        Problem {
            kind: kind.into(),
            title: title.into(),
            status: status.as_u16(),
            detail: self.to_string(),
            run,
            retry_after: helps.then_some(RETRY_SECONDS),
        }
    }

    /// The answer that tells the refusal.
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
