//! Responses whose head or end cannot be relied on, outside of the relay.

#[path = "support/programs.rs"]
mod programs;

use {
    bilberryfront::{
        platform::http::{PlatformError, Service},
        traffic::{
            send::{Exchange, Outgoing, Sender, Sent},
            upstream::{Engines, Failure, HttpEngines},
        },
    },
    bilberryfront_decide::catalog::Limits,
    bilberryfront_harness::{
        caller::Caller,
        fleet::{CALLER_KEY, Fleet, catalog},
        http::{Answer, post},
    },
    bilberryfront_wire::{
        instance::{Instance, InstanceKind, InstanceState},
        problem::{Problem, Run},
        runner::{Generate, LoadReport},
    },
    bytes::Bytes,
    http::{HeaderMap, Method, StatusCode},
    serde_json::Value,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::Instant,
    },
    volo_http::client::Client,
};

const TIMEOUT: Duration = Duration::from_secs(10);
const OK: &str = "200 OK";
const BODY: &str = r#"{"number": 7}"#;
const SERVICE: &str = "desk-app";

/// Starts a server that responds to one request per connection, and returns its URL. Its load reports are
/// sound.
async fn start(response: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let request = read_request(&mut stream).await;
            let is_report = request.starts_with(b"GET /load");
            let response = if is_report { load_report() } else { response.clone() };
            // The client may have closed the connection.
            _ = stream.write_all(response.as_bytes()).await;
        }
    });
    url
}

async fn read_request(stream: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    while !is_complete(&received) && stream.read_buf(&mut received).await.is_ok_and(|n| n > 0) {}
    received
}

fn load_report() -> String {
    let (version, cache) = ("v1".into(), Vec::new());
    let report = LoadReport { version, running: 0, waiting: 0, slots: 8, leaving: false, cache };
    with_length(&serde_json::to_string(&report).unwrap())
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

/// Guards against a corrupted body that is returned as the runner's answer.
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

/// Starts a node with one service for each response.
async fn fleet(responses: &[String]) -> Fleet {
    let mut urls = Vec::new();
    for response in responses {
        urls.push(start(response.clone()).await);
    }
    fleet_of(&urls).await
}

/// Starts a node with a service at each URL.
async fn fleet_of(urls: &[String]) -> Fleet {
    let mut fleet = Fleet::new(programs::programs()).unwrap();
    for (index, url) in urls.iter().enumerate() {
        let instance = Instance {
            name: format!("app-{index}").into(),
            kind: InstanceKind::Service,
            url: url.as_str().into(),
            domain: "domain-a".into(),
            entry: SERVICE.into(),
            version: "v1".into(),
            state: InstanceState::Live,
            fenced: false,
            peer: None,
        };
        let url = format!("{}/instances/{}", fleet.list.url, instance.name);
        post(fleet.client(), &url, &instance).await.unwrap();
    }
    fleet.apply(1, &catalog("verify-llm", SERVICE)).await.unwrap();
    fleet.start_node("node-a", "domain-a").await.unwrap();
    fleet.ready().await.unwrap();
    fleet
}

async fn call(fleet: &Fleet, method: Method, key: Option<&str>) -> Answer {
    let path = format!("{SERVICE}/transfers");
    let node = &fleet.nodes[0].server.url;
    Caller::new(CALLER_KEY).service(node, method, &path, key, b"{}".to_vec()).await.unwrap()
}

/// Returns whether the response states where its body ends.
fn states_end(answer: &Answer) -> bool {
    ["content-length", "transfer-encoding"].iter().any(|name| answer.headers.contains_key(*name))
}

fn until_close(body: &str) -> String {
    format!("HTTP/1.1 {OK}\r\nconnection: close\r\n\r\n{body}")
}

fn with_length(body: &str) -> String {
    format!("HTTP/1.1 {OK}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// Guards against a part of a body that is returned as a whole one: the runner is killed within a body
/// whose end it does not state, and its connection ends regularly. Another runner has the whole body.
#[tokio::test]
async fn a_cut_body_without_a_stated_end_is_requested_from_another_runner() {
    let fleet = fleet(&[until_close(&BODY[..5]), with_length(BODY)]).await;
    for _ in 0..8 {
        let answer = call(&fleet, Method::GET, None).await;
        assert_eq!((answer.status, &*answer.body), (StatusCode::OK, BODY.as_bytes()));
        assert!(states_end(&answer), "{answer:?}");
    }
}

/// Guards against an end that is stated to the caller although no runner has stated it.
#[tokio::test]
async fn a_body_without_a_stated_end_ends_with_the_connection() {
    let fleet = fleet(&[until_close(BODY)]).await;
    for key in [None, Some("k")] {
        let method = if key.is_some() { Method::POST } else { Method::GET };
        let answer = call(&fleet, method, key).await;
        assert_eq!((answer.status, &*answer.body), (StatusCode::OK, BODY.as_bytes()), "{key:?}");
        assert!(!states_end(&answer), "{answer:?}");
    }
}

/// Guards against two runners that crash on a request at the same byte of their responses: that they agree
/// does not state an end.
#[tokio::test]
async fn a_body_that_two_runners_end_alike_ends_with_the_connection() {
    let cut = until_close(&BODY[..5]);
    let fleet = fleet(&[cut.clone(), cut]).await;
    let answer = call(&fleet, Method::GET, None).await;
    assert_eq!((answer.status, &*answer.body), (StatusCode::OK, &BODY.as_bytes()[..5]));
    assert!(!states_end(&answer), "{answer:?}");
}

/// Guards against a part of a body that is recorded as the whole answer for retries of a call that may run
/// once.
#[tokio::test]
async fn a_body_without_a_stated_end_is_not_kept_for_a_retry() {
    let fleet = fleet(&[until_close(&BODY[..5])]).await;
    assert!(!states_end(&call(&fleet, Method::POST, Some("k")).await));
    let retry = call(&fleet, Method::POST, Some("k")).await;
    assert_eq!(retry.json::<Problem>().unwrap().run, Run::Unknown);
}

/// Guards against an error in place of the response of a service that never states an end: a retry at
/// another runner fails.
#[tokio::test]
async fn a_failed_retry_does_not_replace_a_body_without_a_stated_end() {
    let failed = "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n";
    let fleet = fleet(&[until_close(BODY), failed.into()]).await;
    let mut statuses = Vec::new();
    for _ in 0..8 {
        statuses.push(call(&fleet, Method::GET, None).await.status.as_u16());
    }
    assert!(statuses.contains(&200), "{statuses:?}");
}

/// Guards against an error in place of a success, because both have the same body: neither states its end.
#[tokio::test]
async fn an_error_without_a_stated_end_does_not_replace_a_success() {
    let failed = "HTTP/1.1 500 Failed\r\nconnection: close\r\n\r\n";
    let fleet = fleet(&[until_close(""), failed.into()]).await;
    for _ in 0..8 {
        assert_eq!(call(&fleet, Method::GET, None).await.status, StatusCode::OK);
    }
}

/// Starts a server that responds only if no other server has got a request, and hangs otherwise.
async fn start_hanging(response: String, is_taken: Arc<AtomicBool>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        let mut hanging = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            read_request(&mut stream).await;
            if is_taken.swap(true, Ordering::SeqCst) {
                hanging.push(stream);
            } else {
                _ = stream.write_all(response.as_bytes()).await;
            }
        }
    });
    url
}

/// Guards against a response that is held back until the call's deadline: it states no end, and the runners that
/// could confirm it hang.
#[tokio::test]
async fn a_hanging_runner_does_not_hold_back_a_body_without_a_stated_end() {
    let is_taken = Arc::new(AtomicBool::new(false));
    let urls = [
        start_hanging(until_close(BODY), is_taken.clone()).await,
        start_hanging(until_close(BODY), is_taken).await,
    ];
    let fleet = fleet_of(&urls).await;
    let start = Instant::now();
    let answer = call(&fleet, Method::GET, None).await;
    let elapsed = start.elapsed();
    assert_eq!((answer.status, &*answer.body), (StatusCode::OK, BODY.as_bytes()));
    assert!(!states_end(&answer), "{answer:?}");
    let limit = Duration::from_millis(Limits::default().stall_ms.into());
    assert!(elapsed < limit + Duration::from_secs(1), "{elapsed:?}");
}

/// Guards against a length of the runner that is passed on: it is the caller's connection that frames the body.
#[tokio::test]
async fn the_length_of_a_body_is_not_passed_on() {
    let url = start(with_length(BODY)).await;
    let send = async |method| match Sender::default().send(outgoing(method, &url), TIMEOUT).await {
        Sent::Answer(reply) => reply,
        sent => panic!("expected a response, got {sent:?}"),
    };
    let reply = send(Method::GET).await;
    assert_eq!((&*reply.body, reply.headers), (BODY.as_bytes(), HeaderMap::new()));
    // The length of the body that a GET request would return.
    let reply = send(Method::HEAD).await;
    assert_eq!(reply.headers["content-length"], "13");
}

/// Guards against a rejection that is returned to the caller although its head is corrupted: another runner may
/// take the request.
#[tokio::test]
async fn a_malformed_rejection_of_a_generation_is_lost() {
    for response in malformed("422 Unprocessable Content", BODY) {
        let url = start(response.clone()).await;
        let engines = HttpEngines::new(Client::builder().build().unwrap());
        let opened = engines.open(&url, &generate(), TIMEOUT).await;
        assert!(matches!(opened, Err(Failure::Lost(_))), "{response:?}: {:?}", opened.err());
    }
}

fn generate() -> Generate {
    Generate {
        request: "r".into(),
        attempt: 1,
        model: "verify-llm".into(),
        version: "v1".into(),
        prompt: "a".into(),
        index: 0,
        prefix: String::new(),
        max_tokens: 10,
        priority: 1,
    }
}

/// Guards against a part of a body that is returned as a whole one: a digit of its length is corrupted, and
/// more arrives than stated.
#[tokio::test]
async fn a_response_that_is_longer_than_stated_is_unknown() {
    let response = format!("HTTP/1.1 {OK}\r\ncontent-length: 5\r\n\r\n{BODY}");
    let url = start(response).await;
    let sent = Sender::default().send(outgoing(Method::POST, &url), TIMEOUT).await;
    assert!(matches!(sent, Sent::Unknown(_)), "{sent:?}");
}

/// Guards against a lost answer of a service that responds twice: the first response is whole.
#[tokio::test]
async fn a_response_that_another_follows_is_an_answer() {
    let url = start([with_length(BODY), with_length(BODY)].concat()).await;
    let sent = Sender::default().send(outgoing(Method::POST, &url), TIMEOUT).await;
    assert!(matches!(&sent, Sent::Answer(reply) if reply.body == BODY), "{sent:?}");
}
