//! JSON over HTTP to the platform.

use {
    compact_str::CompactString,
    http::{Method, StatusCode},
    http_body_util::{BodyExt, Limited},
    serde::{Serialize, de::DeserializeOwned},
    std::{error::Error, io, time::Duration},
    volo_http::{
        body::Body,
        client::Client,
        error::client::{ClientError, ErrorKind},
    },
};

/// A result whose error is a [`PlatformError`].
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why the platform gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PlatformError {
    /// The call had no effect.
    #[error("the platform is down: {0}")]
    Down(String),
    /// The call may have had its effect, but its answer was lost.
    #[error("the platform's answer was lost: {0}")]
    Lost(String),
}

/// Most bytes of an answer: an instance list at design size has 2 MiB, a catalogue less.
const ANSWER_BYTES: usize = 16 << 20;

/// One service of the platform.
#[derive(Clone)]
pub struct Service {
    base: CompactString,
    client: Client,
    timeout: Duration,
    limit: usize,
}

impl Service {
    /// A client of the service at `base`; a call that takes longer than `timeout` is lost.
    pub fn new(base: CompactString, timeout: Duration) -> Service {
        let mut builder = Client::builder();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        let client = builder.build().expect("the client's configuration is constant");
        Service { base, client, timeout, limit: ANSWER_BYTES }
    }

    /// The same, but an answer of more than `bytes` is lost.
    pub fn with_response_limit(self, bytes: usize) -> Service {
        Service { limit: bytes, ..self }
    }

    /// Sends `body` and reads the answer.
    pub async fn post<Q, A>(&self, path: &str, body: &Q) -> Result<A>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let body = serde_json::to_vec(body).expect("wire types always serialize");
        self.call(Method::POST, path, Body::from(body)).await
    }

    /// Reads an answer.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A> {
        self.call(Method::GET, path, Body::empty()).await
    }

    async fn call<A: DeserializeOwned>(&self, method: Method, path: &str, body: Body) -> Result<A> {
        let url = format!("{}{path}", self.base);
        let exchange = async {
            let request = self
                .client
                .request(method, url)
                .header("content-type", "application/json")
                .body(body);
            let response = request.send::<Body>().await.map_err(|e| failure(&e))?;
            let status = response.status();
            let body = Limited::new(response.into_body(), self.limit);
            let bytes = body.collect().await.map_err(lost)?.to_bytes();
            match status {
                StatusCode::OK => serde_json::from_slice(&bytes).map_err(lost),
                // Any other server error, such as one of a gateway, may come after the effect.
                _ if status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE => {
                    Err(PlatformError::Lost(format!("status {status}")))
                }
                _ => Err(PlatformError::Down(format!("status {status}"))),
            }
        };
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(PlatformError::Lost("timeout".into())),
        }
    }
}

fn failure(error: &ClientError) -> PlatformError {
    match is_unsent(error) {
        true => PlatformError::Down(error.to_string()),
        false => PlatformError::Lost(error.to_string()),
    }
}

/// Whether the client failed before the first byte of the request could leave.
///
/// The client reports a connection that can't be made as a failed request, like one that broke
/// later. Only the former has an I/O error as its direct source; once there is a connection, its
/// HTTP library wraps every error in one of its own.
pub(crate) fn is_unsent(error: &ClientError) -> bool {
    match error.kind() {
        ErrorKind::Connect | ErrorKind::Builder | ErrorKind::LoadBalance => true,
        _ => error.source().is_some_and(<dyn Error>::is::<io::Error>),
    }
}

fn lost(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Lost(error.to_string())
}
