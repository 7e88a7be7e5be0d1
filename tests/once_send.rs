//! Non-idempotent calls are sent once, whatever happens to the connection to the runner.

use {
    bilberryfront::{
        platform::http::{PlatformError, Service},
        traffic::send::{Exchange, Outgoing, Sender, Sent},
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpSocket, TcpStream},
    },
    volo_http::{
        body::{Body, BodyConversion},
        client::Client,
    },
};

const TIMEOUT: Duration = Duration::from_secs(10);
const CREATED: &[u8] = b"HTTP/1.1 201 Created\r\ncontent-length: 2\r\nx-id: 7\r\n\r\nok";
const FAILED: &[u8] = b"HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n";
const UNAVAILABLE: &[u8] = b"HTTP/1.1 503 Unavailable\r\ncontent-length: 0\r\n\r\n";

/// Behaviour of the runner for the requests of a connection, by their number on it.
#[derive(Clone, Copy)]
enum Behavior {
    /// Reads each request and closes the connection without a response.
    Close,
    /// Responds to the first request, keeps the connection open, reads the second request and
    /// closes.
    CloseSecond,
    /// Responds to each request and keeps the connection open.
    Respond,
    /// Reads the requests and never responds.
    Hang,
    /// Sends a truncated response and closes.
    Truncate,
    /// Responds with status 500.
    Fail,
    /// Responds with status 503.
    RejectUnavailable,
}

#[derive(Clone)]
struct Runner {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

impl Runner {
    async fn start(behavior: Behavior) -> Runner {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let runner = Runner { address, requests: Arc::default(), connections: Arc::default() };
        let serving = runner.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                serving.connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serving.clone().serve(stream, behavior));
            }
        });
        runner
    }

    async fn serve(self, mut stream: TcpStream, behavior: Behavior) {
        let mut number = 0;
        while read_request(&mut stream).await {
            self.requests.fetch_add(1, Ordering::SeqCst);
            number += 1;
            let answer = match behavior {
                Behavior::Close => return,
                Behavior::CloseSecond if number > 1 => return,
                Behavior::CloseSecond | Behavior::Respond => CREATED,
                Behavior::Hang => continue,
                Behavior::Fail => FAILED,
                Behavior::RejectUnavailable => UNAVAILABLE,
                Behavior::Truncate => &CREATED[..CREATED.len() - 1],
            };
            if stream.write_all(answer).await.is_err() || matches!(behavior, Behavior::Truncate) {
                return;
            }
        }
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    fn url(&self) -> String {
        format!("http://{}/transfers", self.address)
    }
}

/// Reads one request whose body is `{}`; returns whether it was complete.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\n{}") {
        match stream.read(&mut byte).await {
            Ok(1) => received.push(byte[0]),
            _ => return false,
        }
    }
    true
}

fn transfer(url: String) -> Outgoing {
    let body = Bytes::from_static(b"{}");
    Outgoing { method: Method::POST, url, headers: HeaderMap::new(), body }
}

/// Guards against a repeated call when the runner reads the request and crashes. It may have
/// recorded the transfer, so the outcome is "unknown" and the request must not be sent again.
#[tokio::test]
async fn a_call_is_not_repeated_after_a_closed_connection() {
    let runner = Runner::start(Behavior::Close).await;
    let sent = Sender::default().send(transfer(runner.url()), TIMEOUT).await;
    assert!(matches!(sent, Sent::Unknown(_)), "{sent:?}");
    assert_eq!(runner.requests(), 1);
}

/// Guards against pooled connections: the runner closes a connection on its second request, which
/// would make that call "unknown". Each call uses its own connection and is answered.
#[tokio::test]
async fn calls_share_no_connection() {
    let runner = Runner::start(Behavior::CloseSecond).await;
    let sender = Sender::default();
    for _ in 0..3 {
        let sent = sender.send(transfer(runner.url()), TIMEOUT).await;
        assert!(matches!(sent, Sent::Answer(_)), "{sent:?}");
    }
    assert_eq!((runner.requests(), runner.connections.load(Ordering::SeqCst)), (3, 3));
}

/// Guards against a connection that the pool passes to a waiting call. The pool hands idle
/// connections to waiting calls even if it may keep none, so it must never get one.
#[tokio::test]
async fn concurrent_calls_share_no_connection() {
    let runner = Runner::start(Behavior::CloseSecond).await;
    let sender = Sender::default();
    let call = || sender.send(transfer(runner.url()), TIMEOUT);
    for sent in futures_util::future::join_all((0..64).map(|_| call())).await {
        assert!(matches!(sent, Sent::Answer(_)), "{sent:?}");
    }
    assert_eq!(runner.requests(), 64);
}

/// Guards against a change in the HTTP library's pool: on a kept-alive connection that closes after
/// the second request, it must fail and not send that request again.
#[tokio::test]
async fn the_library_pool_does_not_repeat_a_request() {
    let runner = Runner::start(Behavior::CloseSecond).await;
    let client = Client::builder().build().expect("a plain client");
    let post = || client.post(runner.url()).body(Body::from("{}")).send::<Body>();
    let first = post().await.expect("a response to the first request");
    first.into_body().into_bytes().await.expect("the complete body");
    // The connection is returned to the pool in another task; this pause is as long as the one
    // between a caller's requests.
    tokio::time::sleep(Duration::from_millis(50)).await;
    let second = post().await;
    let connections = runner.connections.load(Ordering::SeqCst);
    assert_eq!((second.is_err(), runner.requests(), connections), (true, 2, 1));
}

#[tokio::test]
async fn a_response_is_complete_and_without_connection_headers() {
    let runner = Runner::start(Behavior::Respond).await;
    let Sent::Answer(reply) = Sender::default().send(transfer(runner.url()), TIMEOUT).await else {
        panic!("expected a response");
    };
    assert_eq!((reply.status.as_u16(), &*reply.body), (201, &b"ok"[..]));
    assert_eq!(reply.headers.get("x-id"), Some(&HeaderValue::from_static("7")));
}

/// Binds a port on which nothing listens.
fn unused_port() -> (TcpSocket, String) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = socket.local_addr().expect("a bound address");
    (socket, format!("http://{address}"))
}

/// Guards against a failed connection that counts as sent: nothing was sent, so the call may be
/// claimed again.
#[tokio::test]
async fn no_connection_means_not_sent() {
    let (_socket, url) = unused_port();
    let sent = Sender::default().send(transfer(url), TIMEOUT).await;
    assert!(matches!(sent, Sent::NotSent(_)), "{sent:?}");
}

/// Guards against a call that is sent in plain text although its runner's URL demands TLS.
#[tokio::test]
async fn a_call_to_a_url_of_another_scheme_is_not_sent() {
    let runner = Runner::start(Behavior::Respond).await;
    for scheme in ["https", "HTTPS", "ftp"] {
        let url = runner.url().replace("http", scheme);
        let sent = Sender::default().send(transfer(url), TIMEOUT).await;
        assert!(matches!(sent, Sent::NotSent(_)), "{scheme}: {sent:?}");
    }
    assert_eq!(runner.connections.load(Ordering::SeqCst), 0);
    let url = runner.url().replace("http", "HTTP");
    let sent = Sender::default().send(transfer(url), TIMEOUT).await;
    assert!(matches!(sent, Sent::Answer(_)), "{sent:?}");
}

/// Guards against a refused connection that counts as a lost reply: callers must get "not run",
/// because after a lost reply the outcome would be unknown.
#[tokio::test]
async fn a_table_service_without_connection_is_down() {
    let (_socket, url) = unused_port();
    let answer = Service::new(url.into(), TIMEOUT).post::<_, ()>("/commit", &()).await;
    assert!(matches!(answer, Err(PlatformError::Down(_))), "{answer:?}");
}

/// Guards against a 500 that counts as "no effect": a proxy in front of the table service may send
/// it after the write took effect. Only 503 means that there was no effect.
#[tokio::test]
async fn a_500_of_the_table_service_is_a_lost_reply() {
    let answer = |behavior| async move {
        let runner = Runner::start(behavior).await;
        let service = Service::new(format!("http://{}", runner.address).into(), TIMEOUT);
        service.post::<_, ()>("/commit", &serde_json::json!({})).await
    };
    let failed = answer(Behavior::Fail).await;
    assert!(matches!(failed, Err(PlatformError::Lost(_))), "{failed:?}");
    let down = answer(Behavior::RejectUnavailable).await;
    assert!(matches!(down, Err(PlatformError::Down(_))), "{down:?}");
    let closed = answer(Behavior::Close).await;
    assert!(matches!(closed, Err(PlatformError::Lost(_))), "{closed:?}");
}

/// Guards against a truncated response that is returned as complete. The runner executed the call,
/// so the outcome is "unknown".
#[tokio::test]
async fn a_truncated_response_is_unknown() {
    let runner = Runner::start(Behavior::Truncate).await;
    let sent = Sender::default().send(transfer(runner.url()), TIMEOUT).await;
    assert!(matches!(sent, Sent::Unknown(_)), "{sent:?}");
    assert_eq!(runner.requests(), 1);
}

/// Guards against a second send when the runner does not respond: after the wait the outcome is
/// "unknown".
#[tokio::test]
async fn a_missing_response_is_unknown() {
    let runner = Runner::start(Behavior::Hang).await;
    let sent = Sender::default().send(transfer(runner.url()), Duration::from_millis(300)).await;
    assert!(matches!(sent, Sent::Unknown(_)), "{sent:?}");
    assert!(runner.requests() <= 1);
}
