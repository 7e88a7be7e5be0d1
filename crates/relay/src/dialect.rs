//! How callers and runners spell what the request path means.

use {
    crate::call::{Call, Head},
    compact_str::CompactString,
    http::{HeaderMap, StatusCode, request, response},
    std::{net::SocketAddr, time::Duration},
};

/// Translates heads of requests and answers.
pub trait Dialect: Clone + 'static {
    /// Decodes a caller's request.
    fn head(&self, parts: &request::Parts) -> Result<Head, Malformed>;

    /// Headers of a send to a runner.
    fn send(&self, call: &Call, order: &Order) -> HeaderMap;

    /// What the head of a runner's answer says.
    fn answer(&self, parts: &response::Parts) -> Answer;

    /// Whether a runner made an answer with these headers.
    fn is_signed(&self, headers: &HeaderMap) -> bool;

    /// Headers of a refusal of this node's own.
    fn refusal(&self, id: Option<&str>, retry: Option<Duration>) -> HeaderMap;

    /// Which of the node's own questions a path asks; `query` is empty without one.
    fn question(&self, path: &str, query: &str) -> Option<Question>;

    /// The answer to [`Question::Addresses`]: content type and body.
    fn addresses(&self, nodes: &[SocketAddr], ttl: Duration) -> (&'static str, Vec<u8>);

    /// Path at which a runner reports its load without needing a slot.
    fn report_path(&self) -> &'static str;

    /// What a runner says of the request `id`, by the answer at that path.
    fn progress(&self, body: &[u8], id: &str) -> Progress;

    /// Path at which a runner is asked to copy a run's memory.
    fn copy_path(&self) -> &'static str;

    /// Body of that question, for the run `id` and the runner at `to`.
    fn copy_order(&self, id: &str, to: SocketAddr) -> Vec<u8>;

    /// Path at which a runner is told to drop the copy `handle`, at both ends.
    fn forget_path(&self, handle: &str) -> String;

    /// The copy's name, by the answer.
    fn copied(&self, body: &[u8]) -> Option<CompactString>;

    /// Who a runner is, by its answer at the report's path; `None` when it isn't an engine's.
    fn identity(&self, body: &[u8]) -> Option<Identity>;

    /// Path at which a runner tells of its cache without needing a slot.
    fn cache_path(&self) -> &'static str;

    /// Tokens of a prompt's own part that a runner's cache holds, by the answer at that path.
    fn cached(&self, body: &[u8], prompt: u64) -> u32;
}

/// Why a head can't be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Malformed {
    /// No id of the attempt, or one that can't be echoed.
    #[error("the request has no usable id")]
    Id,
    /// No host.
    #[error("the request names no host")]
    Host,
    /// A number that isn't one.
    #[error("a header that must be a number is none")]
    Number,
    /// Length and chunks both claim to bound the body.
    #[error("the body's framing is ambiguous")]
    Framing,
}

/// What one send adds to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The runner's id; any other that took over its address refuses.
    pub runner: CompactString,
    /// Time left for the caller.
    pub left: Option<Duration>,
    /// Id of the last event that the caller has.
    pub resume: Option<u64>,
    /// Runner to which the run's memory is copied as it grows.
    pub backup: Option<SocketAddr>,
    /// Such a copy, at the runner that the request is sent to.
    pub copy: Option<Copy>,
}

/// How a runner finds a copy of a run's memory that it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copy {
    /// The holder's address where the copy grew with the run, the source's where it was asked for.
    pub address: SocketAddr,
    /// The attempt's id in the first case, the source's name for the copy in the second.
    pub handle: CompactString,
}

/// What the head of a runner's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The id of the request that it answers.
    pub id: Option<CompactString>,
    /// Whether a runner made it.
    pub signed: bool,
    /// Whether the runner vouches that the request has not run and never will.
    pub unrun: bool,
    /// Whether the address now belongs to another runner.
    pub moved: bool,
    /// Id of the runner that answered, where it says so.
    pub runner: Option<CompactString>,
    /// How long the connection may stay idle.
    pub idle: Option<Duration>,
}

/// What a runner says of a request that it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It doesn't say.
    Unknown,
    /// It waits, or its prompt is being read.
    Waiting,
    /// It has made this many events.
    Made(u32),
}

/// What a runner says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Models that it runs.
    pub models: Vec<CompactString>,
    /// Memory for prompts and output, in tokens.
    pub memory: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// What the node itself is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// Whether it takes requests.
    Ready,
    /// Which nodes callers may connect to; holds the caller's failure domain.
    Addresses(CompactString),
}

impl Answer {
    /// Whether the answer may be a success of the request `id`.
    pub fn fits(&self, id: &str) -> bool {
        self.id.as_deref() == Some(id)
    }
}

/// Whether a status promises that the request has not run and never will.
pub fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
