//! HTTP client for the JSON services of the platform.

use {
    bilberryfront_relay::framing::Framing,
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

/// Maximum time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PlatformError {
    /// The call had no effect.
    #[error("the platform is down: {0}")]
    Down(String),
    /// The call may have had an effect, but its response was lost.
    #[error("the platform's answer was lost: {0}")]
    Lost(String),
}

/// Maximum size of a response, in bytes. At design size an instance list has 2 MiB, a catalogue
/// less.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Client for a service of the platform.
#[derive(Clone)]
pub struct Service {
    base: CompactString,
    client: Client,
    timeout: Duration,
    response_limit: usize,
}

impl Service {
    /// Creates a client for the service at `base`. A call that takes longer than `timeout` fails
    /// with [`PlatformError::Lost`].
    pub fn new(base: CompactString, timeout: Duration) -> Service {
        let mut builder = Client::builder();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        let client = builder.build().expect("the client's configuration is constant");
        Service { base, client, timeout, response_limit: MAX_RESPONSE_BYTES }
    }

    /// Returns the client with another response limit. A call with a longer response fails with
    /// [`PlatformError::Lost`].
    pub fn with_response_limit(self, bytes: usize) -> Service {
        Service { response_limit: bytes, ..self }
    }

    /// Sends `body` and returns the response.
    pub async fn post<Q, A>(&self, path: &str, body: &Q) -> Result<A>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let body = serde_json::to_vec(body).expect("wire types always serialize");
        self.call(Method::POST, path, Body::from(body)).await
    }

    /// Sends a GET request and returns the response.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A> {
        self.call(Method::GET, path, Body::empty()).await
    }

    async fn call<A: DeserializeOwned>(&self, method: Method, path: &str, body: Body) -> Result<A> {
        let url = format!("{}{path}", self.base);
        let exchange = async {
            let request = self
                .client
                .request(method.clone(), url)
                .header("content-type", "application/json")
                .body(body);
            let response = request.send::<Body>().await.map_err(|e| failure(&e))?;
            let (head, body) = response.into_parts();
            Framing::of(&method, &head).map_err(lost)?;
            let status = head.status;
            let body = Limited::new(body, self.response_limit);
            let bytes = body.collect().await.map_err(lost)?.to_bytes();
            match status {
                StatusCode::OK => serde_json::from_slice(&bytes).map_err(lost),
                // Other server errors, such as those of a gateway, may occur after the call took
                // effect.
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

/// Returns whether the client failed before it could send a byte of the request.
///
/// The client reports a failed connection attempt as a failed request, like a connection that broke
/// later. Only the former has an I/O error as its direct source: once the connection is
/// established, the HTTP library wraps every error in its own type.
pub(crate) fn is_unsent(error: &ClientError) -> bool {
    match error.kind() {
        ErrorKind::Connect | ErrorKind::Builder | ErrorKind::LoadBalance => true,
        _ => error.source().is_some_and(<dyn Error>::is::<io::Error>),
    }
}

fn lost(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Lost(error.to_string())
}
