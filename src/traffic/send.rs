//! Sends a non-idempotent call to a runner at most once.
//!
//! A request of which bytes may have been sent is never sent again, neither here nor by a
//! connection pool: each call uses a new connection, which is closed afterwards. On a
//! kept-alive connection that the runner is closing, the request could be lost without an
//! indication whether it ran, and every such call would end as "unknown".

use {
    bilberryfront_relay::framing::{Framing, has_no_body, is_surplus},
    bytes::Bytes,
    futures_util::FutureExt,
    http::{
        HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri,
        header::{
            CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
            TRAILER, TRANSFER_ENCODING, UPGRADE,
        },
        uri::{Authority, PathAndQuery},
    },
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        body::Incoming,
        client::conn::http1::{self, Parts, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{io, pin::pin, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Connection to a runner, which has to be polled beside the request.
type Connection = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// Maximum time to connect to a runner.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Scheme of runners' URLs.
const HTTP: &str = "http";
/// Port of URLs that state none.
const HTTP_PORT: u16 = 80;
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

/// Sends each call on a new connection.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    connect_timeout: Duration,
}

impl Default for Sender {
    fn default() -> Sender {
        Sender { connect_timeout: CONNECT_TIMEOUT }
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
        if !is_plain(&call.url) {
            return Sent::NotSent(format!("the URL is not of the scheme {HTTP}"));
        }
        let (authority, request) = match to_request(call) {
            Ok(request) => request,
            Err(error) => return Sent::NotSent(error.to_string()),
        };
        let (sender, connection) = match self.connect(&authority).await {
            Ok(connected) => connected,
            Err(error) => return Sent::NotSent(error.to_string()),
        };
        let method = request.method().clone();
        let mut connection = pin!(connection.without_shutdown().fuse());
        let mut response = pin!(receive(sender, request));
        let mut ended = None;
        let sent = loop {
            tokio::select! {
                biased;
                sent = &mut response => break sent,
                end = &mut connection, if ended.is_none() => ended = Some(end),
            }
        };
        let behind = ended.or_else(|| connection.now_or_never()).and_then(Result::ok);
        match (&sent, behind) {
            (Sent::Answer(reply), Some(Parts { read_buf, .. }))
                if !has_no_body(&method, reply.status) && is_surplus(&read_buf) =>
            {
                Sent::Unknown("the response is longer than stated".into())
            }
            _ => sent,
        }
    }

    async fn connect(
        &self,
        authority: &Authority,
    ) -> io::Result<(SendRequest<Full<Bytes>>, Connection)> {
        let address = format!("{}:{}", authority.host(), authority.port_u16().unwrap_or(HTTP_PORT));
        let stream = timeout(self.connect_timeout, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)
    }
}

/// Returns whether a URL is one of plain HTTP.
fn is_plain(url: &str) -> bool {
    url.split_once("://").is_some_and(|(scheme, _)| scheme.eq_ignore_ascii_case(HTTP))
}

/// Returns the request of a call, and the authority of its runner.
fn to_request(call: Outgoing) -> http::Result<(Authority, Request<Full<Bytes>>)> {
    let Outgoing { method, url, mut headers, body } = call;
    let uri = Uri::try_from(url)?;
    let authority = Authority::try_from(uri.authority().map_or("", Authority::as_str))?;
    remove_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.insert(HOST, HeaderValue::try_from(authority.as_str())?);
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    let path = uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let mut request = Request::builder().method(method).uri(path).body(Full::new(body))?;
    *request.headers_mut() = headers;
    Ok((authority, request))
}

/// Sends a request and reads the whole response.
async fn receive(mut sender: SendRequest<Full<Bytes>>, request: Request<Full<Bytes>>) -> Sent {
    let method = request.method().clone();
    match sender.send_request(request).await {
        Ok(response) => read(&method, response).await,
        Err(error) => Sent::Unknown(error.to_string()),
    }
}

async fn read(method: &Method, response: http::Response<Incoming>) -> Sent {
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
