//! Wire format of requests and responses.

use {
    crate::call::{Call, Head},
    compact_str::CompactString,
    http::{HeaderMap, StatusCode, request, response},
    std::{net::SocketAddr, time::Duration},
};

/// Encodes and decodes message heads.
pub trait Dialect: Clone + 'static {
    /// Decodes a request head.
    fn parse_request(&self, parts: &request::Parts) -> Result<Head, Malformed>;

    /// Headers of a request to a runner.
    fn request_headers(&self, call: &Call, options: &SendOptions) -> HeaderMap;

    /// Decodes a response head.
    fn parse_response(&self, parts: &response::Parts) -> ResponseHead;

    /// Whether the headers carry a runner's signature.
    fn is_signed(&self, headers: &HeaderMap) -> bool;

    /// Headers of a rejection by this node.
    fn rejection_headers(&self, id: Option<&str>, retry: Option<Duration>) -> HeaderMap;

    /// Decodes a query about this node; `query` is empty if absent.
    fn parse_query(&self, path: &str, query: &str) -> Option<Query>;

    /// Content type and body of the response to [`Query::Addresses`].
    fn addresses(&self, nodes: &[SocketAddr], ttl: Duration) -> (&'static str, Vec<u8>);

    /// Path of a runner's load report.
    fn report_path(&self) -> &'static str;

    /// Progress of request `id` in a load report.
    fn progress(&self, body: &[u8], id: &str) -> Progress;

    /// Path of the replication request.
    fn replicate_path(&self) -> &'static str;

    /// Body of the replication request for run `id` to the runner at `to`.
    fn replicate_body(&self, id: &str, to: SocketAddr) -> Vec<u8>;

    /// Path that drops the replica `handle` at both ends.
    fn drop_replica_path(&self, handle: &str) -> String;

    /// The handle in a replication response.
    fn replicated_handle(&self, body: &[u8]) -> Option<CompactString>;

    /// The runner's identity in a load report; `None` if it is not an engine.
    fn identity(&self, body: &[u8]) -> Option<Identity>;

    /// Path of a runner's cache events.
    fn cache_path(&self) -> &'static str;

    /// Cached tokens of a prompt according to the cache events.
    fn cached_tokens(&self, body: &[u8], prompt: u64) -> u32;
}

/// Why a request head is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Malformed {
    /// Missing attempt id.
    #[error("the request has no usable id")]
    Id,
    /// Missing host.
    #[error("the request names no host")]
    Host,
    /// Invalid number.
    #[error("a header that must be a number is none")]
    Number,
    /// Both a length and chunked encoding.
    #[error("the body's framing is ambiguous")]
    Framing,
}

/// Options of one send.
#[derive(Clone, Debug, PartialEq)]
pub struct SendOptions {
    /// Expected runner id; any other runner rejects the request.
    pub runner: CompactString,
    /// Time left until the caller's deadline.
    pub left: Option<Duration>,
    /// Id of the last delivered event.
    pub resume: Option<u64>,
    /// Runner to which the run is replicated.
    pub replica_to: Option<SocketAddr>,
    /// Replica to resume from, on the runner that gets the request.
    pub from_replica: Option<ReplicaRef>,
    /// Number of earlier sends of the same request.
    pub earlier: u32,
}

/// Reference to a replica of a run's KV cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRef {
    /// The holder's address for a streamed replica, the source's for a snapshot.
    pub address: SocketAddr,
    /// The attempt id for a streamed replica, the source's handle for a snapshot.
    pub handle: CompactString,
}

/// Decoded response head.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Attempt id.
    pub id: Option<CompactString>,
    /// Whether it carries a runner's signature.
    pub signed: bool,
    /// Whether the request was not run and never will be.
    pub not_run: bool,
    /// Whether the address belongs to another runner now.
    pub misdirected: bool,
    /// Id of the responding runner, if stated.
    pub runner: Option<CompactString>,
    /// Idle timeout of the connection.
    pub idle: Option<Duration>,
    /// Requests per second that the runner accepts from all nodes together, while it advertises a limit.
    pub rate_limit: Option<f64>,
    /// Whether the runner announces that it leaves.
    pub draining: bool,
    /// Time for which the runner wants no request of this node, in a rejection.
    pub retry_after: Option<Duration>,
}

/// Progress of a request according to its runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Not reported.
    Unknown,
    /// Queued or in prefill.
    Waiting,
    /// Generated events.
    Made(u32),
}

/// Identity of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Served models.
    pub models: Vec<CompactString>,
    /// KV memory in tokens.
    pub memory: u32,
    /// Whether it is draining.
    pub draining: bool,
}

/// A query about this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// Readiness.
    Ready,
    /// Addresses of ready nodes; holds the caller's failure domain.
    Addresses(CompactString),
}

impl ResponseHead {
    /// Whether the response belongs to request `id`.
    pub fn is_for(&self, id: &str) -> bool {
        self.id.as_deref() == Some(id)
    }
}

/// Whether a status guarantees that the request has not run and never will.
pub fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
