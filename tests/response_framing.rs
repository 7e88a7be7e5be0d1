//! Responses whose head or end cannot be relied on, outside of the relay.

use {
    bilberryfront::{
        platform::http::{PlatformError, Service},
        traffic::send::{Exchange, Outgoing, Sender, Sent},
    },
    bytes::Bytes,
    http::{HeaderMap, Method},
    serde_json::Value,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

const TIMEOUT: Duration = Duration::from_secs(10);
const OK: &str = "200 OK";
const BODY: &str = r#"{"number": 7}"#;

/// Starts a server that responds to one request per connection, and returns its URL.
async fn start(response: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            read_request(&mut stream).await;
            // The client may have closed the connection.
            _ = stream.write_all(response.as_bytes()).await;
        }
    });
    url
}

async fn read_request(stream: &mut TcpStream) {
    let mut received = Vec::new();
    while !is_complete(&received) && stream.read_buf(&mut received).await.is_ok_and(|n| n > 0) {}
}

/// Returns whether a request has arrived to its end.
fn is_complete(received: &[u8]) -> bool {
    let text = String::from_utf8_lossy(received).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    body.len() >= length.map_or(0, |length| length.trim().parse().unwrap())
}

/// Returns responses whose heads do not state where the body ends as HTTP/1.1 demands, or hold a line that
/// is no field.
fn malformed(status: &str, body: &str) -> Vec<String> {
    let length = body.len();
    let chunks = format!("{length:x}\r\n{body}\r\n0\r\n\r\n");
    let in_chunks =
        ["transfer-encoding: chunkd", "transfer-encoding: chunked\r\ncontent-length: 5"];
    let in_chunks =
        in_chunks.map(|fields| format!("HTTP/1.1 {status}\r\n{fields}\r\n\r\n{chunks}"));
    let with_length = [
        format!("content-length: {length}\r\ncontent-length: {length}"),
        format!("content-length: 5\r\ncontent-length: {length}"),
        format!("content-lengsh: {length}"),
        format!("content-length: {length}x"),
        format!("content-length {length}"),
        format!("content-length : {length}"),
        format!("content-length: {length}\r\nnothing"),
        format!("content-length: {length}\r\nx a: 1"),
        format!("content-length: {length}\r\nx\u{1}a: 1"),
    ];
    let with_length =
        with_length.map(|fields| format!("HTTP/1.1 {status}\r\n{fields}\r\n\r\n{body}"));
    let old = format!("HTTP/1.0 {status}\r\ntransfer-encoding: chunked\r\n\r\n{chunks}");
    in_chunks.into_iter().chain(with_length).chain([old]).collect()
}

/// Returns responses whose status is none of a final response.
fn with_bad_status(body: &str) -> Vec<String> {
    let statuses = ["000", "099", "101", "600"];
    let response = |status| {
        format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n\r\n{body}", body.len())
    };
    statuses.map(response).to_vec()
}

fn outgoing(method: Method, url: &str) -> Outgoing {
    let (url, headers) = (format!("{url}/transfers"), HeaderMap::new());
    Outgoing { method, url, headers, body: Bytes::from_static(b"{}") }
}

/// Guards against a spoilt body that is returned as the runner's answer.
#[tokio::test]
async fn a_response_with_a_malformed_head_is_unknown() {
    for response in malformed(OK, BODY).into_iter().chain(with_bad_status(BODY)) {
        let url = start(response.clone()).await;
        let sent = Sender::default().send(outgoing(Method::POST, &url), TIMEOUT).await;
        assert!(matches!(sent, Sent::Unknown(_)), "{response:?}: {sent:?}");
    }
}

/// Guards against a write that is taken for one without an effect, although the table service may have
/// made it: only a valid response states that.
#[tokio::test]
async fn a_malformed_response_of_the_table_service_is_lost() {
    for response in malformed(OK, BODY).into_iter().chain(with_bad_status(BODY)) {
        let url = start(response.clone()).await;
        let answer = Service::new(url.into(), TIMEOUT).post::<_, Value>("/commit", &()).await;
        assert!(matches!(answer, Err(PlatformError::Lost(_))), "{response:?}: {answer:?}");
    }
}
