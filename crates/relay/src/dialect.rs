//! Wire format of requests and responses.

use {
    crate::call::{Call, Head},
    compact_str::CompactString,
    http::{HeaderMap, StatusCode, request, response},
    std::{net::SocketAddr, time::Duration},
};

/// Encoder and decoder of requests and responses.
pub trait Dialect: Clone + 'static {
    /// Decodes a request head.
    fn parse_request(&self, parts: &request::Parts) -> Result<Head, Malformed>;

    /// Encodes the headers of a request to a runner, with the time that is left now.
    fn request_headers(&self, call: &Call, options: &SendOptions) -> HeaderMap;

    /// Decodes a response head.
    fn parse_response(&self, parts: &response::Parts) -> ResponseHead;

    /// Returns whether the headers carry a runner's signature.
    fn is_signed(&self, headers: &HeaderMap) -> bool;

    /// Encodes the headers of a rejection by this node.
    fn rejection_headers(&self, id: Option<&str>, retry: Option<Duration>) -> HeaderMap;

    /// Decodes a query about this node; `query` is empty if there is none.
    fn parse_query(&self, path: &str, query: &str) -> Option<Query>;

    /// Encodes the response to [`Query::Addresses`] as content type and body.
    fn addresses(&self, nodes: &[SocketAddr], ttl: Duration) -> (&'static str, Vec<u8>);

    /// Returns the path of a runner's load report.
    fn report_path(&self) -> &'static str;

    /// Decodes the progress of the request `id` from a load report; `None` if the report is malformed.
    fn progress(&self, body: &[u8], id: &str) -> Option<Progress>;

    /// Returns the path of the replication request.
    fn replicate_path(&self) -> &'static str;

    /// Encodes the body of the request to replicate the run `id` to the runner at `to`.
    fn replicate_body(&self, id: &str, to: SocketAddr) -> Vec<u8>;

    /// Returns the path of the request to drop the replica `handle` on its source and its holder.
    fn drop_replica_path(&self, handle: &str) -> String;

    /// Decodes the handle of the replica from a replication response.
    fn replicated_handle(&self, body: &[u8]) -> Option<CompactString>;

    /// Decodes the runner's identity from a load report; `None` if the runner is not an engine.
    fn identity(&self, body: &[u8]) -> Option<Identity>;

    /// Decodes the start time of the runner's process from a load report, as in its registration: none if it is
    /// not reported.
    fn born(&self, body: &[u8]) -> Result<Option<u64>, MalformedReport>;

    /// Returns the path of a runner's cache events.
    fn cache_path(&self) -> &'static str;

    /// Decodes the number of a prompt's cached tokens from a runner's cache events.
    fn cached_tokens(&self, body: &[u8], prompt: u64) -> u32;
}

/// Why a request head is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Malformed {
    /// Missing or empty attempt id.
    #[error("missing or empty attempt id")]
    Id,
    /// Missing host.
    #[error("missing host")]
    Host,
    /// Invalid number.
    #[error("invalid number in a header")]
    Number,
    /// Both a content length and a transfer encoding.
    #[error("both Content-Length and Transfer-Encoding are present")]
    Framing,
    /// `CONNECT`, which asks for a tunnel rather than a response.
    #[error("CONNECT requests are not forwarded")]
    Method,
}

/// Body that is not a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("malformed load report")]
pub struct MalformedReport;

/// Options of one send.
#[derive(Clone, Debug, PartialEq)]
pub struct SendOptions {
    /// Id of the expected runner; any other runner rejects the request.
    pub runner: CompactString,
    /// Id of the last delivered event.
    pub resume: Option<u64>,
    /// Address of the runner to which the run is replicated.
    pub replica_to: Option<SocketAddr>,
    /// Replica on the receiving runner from which the run is resumed.
    pub from_replica: Option<ReplicaRef>,
    /// Number of earlier sends of the same request.
    pub earlier: u32,
    /// Priority of the request, if requests to the service have different ones.
    pub priority: Option<u8>,
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
    /// Whether the request was not run and will not be run.
    pub not_run: bool,
    /// Whether the address now belongs to another runner.
    pub misdirected: bool,
    /// Id of the responding runner, if it is given.
    pub runner: Option<CompactString>,
    /// Idle timeout of the connection.
    pub idle: Option<Duration>,
    /// Requests per second that the runner accepts from all nodes together, if it advertises a
    /// limit.
    pub rate_limit: Option<f64>,
    /// Rejections per second, for lack of room, that the runner bears, if it is brittle.
    pub max_rejections: Option<u32>,
    /// Whether the runner announces that it is draining.
    pub draining: bool,
    /// Time for which the runner rejects requests of this node, given in a rejection.
    pub retry_after: Option<Duration>,
}

/// Progress of a request according to its runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Not reported.
    Unknown,
    /// Queued or in prefill.
    Waiting,
    /// Number of generated events.
    Made(u32),
}

/// Identity of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Served models.
    pub models: Vec<CompactString>,
    /// KV memory in tokens.
    pub memory: u32,
    /// Whether the runner is draining.
    pub draining: bool,
}

/// Query about this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// Readiness.
    Ready,
    /// Addresses of ready nodes, for a caller in this failure domain.
    Addresses(CompactString),
}

impl ResponseHead {
    /// Returns whether the response belongs to the request `id`.
    pub fn is_for(&self, id: &str) -> bool {
        self.id.as_deref() == Some(id)
    }
}

/// Returns whether a status guarantees that the request was not run and will not be run.
pub fn guarantees_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
