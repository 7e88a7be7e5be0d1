//! Sends a non-idempotent call to a runner at most once.
//!
//! A request of which bytes may have been sent is never sent again, neither here nor by the HTTP
//! client's connection pool: each call uses a new connection, which is closed afterwards. On a
//! kept-alive connection that the runner is closing, the request could be lost without an
//! indication whether it ran, and every such call would end as "unknown".

use {
    crate::platform::http::is_unsent,
    bilberryfront_relay::framing::{Framing, has_no_body},
    bytes::Bytes,
    http::{
        HeaderMap, HeaderName, HeaderValue, Method, StatusCode,
        header::{
            CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
            TRAILER, TRANSFER_ENCODING, UPGRADE,
        },
    },
    http_body_util::{BodyExt, Limited},
    std::time::Duration,
    tokio::time::timeout,
    volo_http::{body::Body, client::Client, error::client::ClientError},
};

/// Maximum time to connect to a runner.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Headers that apply to a single connection.
const HOP_BY_HOP: [HeaderName; 10] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
    HeaderName::from_static("proxy-connection"),
];

/// A call to be sent to a runner.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Full URL at the runner.
    pub url: String,
    /// The caller's headers; hop-by-hop headers are removed when the call is sent.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// A runner's response, complete by its framing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers, except hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the runner stated where the body ends. Otherwise it may have been killed within the body.
    pub is_confirmed: bool,
}

/// Result of sending a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sent {
    /// The runner responded, with any status.
    Answer(Reply),
    /// No byte was sent, because no connection was established.
    NotSent(String),
    /// The request may have reached the runner.
    Unknown(String),
}

/// Sends calls to runners; tests replace it by a fake.
pub trait Exchange: Clone + Send + Sync + 'static {
    /// Sends the call and waits at most `wait` for the complete response. Dropping this future
    /// closes the connection, although the call may have run: spawn it if the caller may
    /// disconnect.
    fn send(&self, call: Outgoing, wait: Duration) -> impl Future<Output = Sent> + Send;
}

/// Sends each call on a new connection. Cheap to clone.
#[derive(Clone)]
pub struct Sender {
    client: Client,
}

impl Default for Sender {
    fn default() -> Sender {
        let mut builder = Client::builder();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        Sender { client: builder.build().expect("the client's configuration is constant") }
    }
}

impl Exchange for Sender {
    async fn send(&self, call: Outgoing, wait: Duration) -> Sent {
        match timeout(wait, self.exchange(call)).await {
            Ok(sent) => sent,
            Err(_) => Sent::Unknown("no answer in time".into()),
        }
    }
}

impl Sender {
    async fn exchange(&self, call: Outgoing) -> Sent {
        let Outgoing { method, url, mut headers, body } = call;
        remove_hop_by_hop(&mut headers);
        headers.remove(HOST);
        headers.remove(CONTENT_LENGTH);
        // Disabling idle connections in the pool isn't enough: it still passes a connection that
        // becomes idle to a request that waits for a new one. A connection with `close` never
        // becomes idle.
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        let mut request = self.client.request(method.clone(), url).body(Body::from(body));
        request.headers_mut().extend(headers);
        match request.send::<Body>().await {
            Ok(response) => read(&method, response).await,
            Err(error) => failure(&error),
        }
    }
}

async fn read(method: &Method, response: http::Response<Body>) -> Sent {
    let (mut head, body) = response.into_parts();
    let framing = match Framing::of(method, &head) {
        Ok(framing) => framing,
        Err(error) => return Sent::Unknown(format!("malformed response: {error}")),
    };
    remove_hop_by_hop(&mut head.headers);
    // The caller's connection frames the body anew.
    if !has_no_body(method, head.status) {
        head.headers.remove(CONTENT_LENGTH);
    }
    match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
        Ok(body) => Sent::Answer(Reply {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
            is_confirmed: framing != Framing::Close,
        }),
        Err(error) => Sent::Unknown(error.to_string()),
    }
}

/// Removes hop-by-hop headers: the standard ones, and those that `Connection` names.
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

fn failure(error: &ClientError) -> Sent {
    match is_unsent(error) {
        true => Sent::NotSent(error.to_string()),
        false => Sent::Unknown(error.to_string()),
    }
}
