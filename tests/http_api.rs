//! Rejections by the caller API. Every rejection is a problem document, and the runner's log must
//! agree with its `not_run`.

use {
    bilberryfront_harness::{
        caller::{Caller, Received},
        fleet::{CALLER_KEY, Fleet},
        http::{self as api, Answer},
    },
    bilberryfront_standins::{
        runner::RunnerLog,
        text::{Answer as Text, Sampling},
    },
    bilberryfront_wire::problem::{PROBLEM_JSON, Problem, Run},
    http::{HeaderMap, HeaderName, Method},
    serde_json::{Value, json},
    std::time::Duration,
    tokio::time::sleep,
};

#[path = "support/raw_http.rs"]
mod raw_http;
#[path = "support/programs.rs"]
mod programs;

use raw_http::{
    BODY_BYTES, ENGINE, MAX_TOKENS, OTHER_KEY, RawConnection, SERVICE, fleet, post_streamed,
    request, send_raw, wait_until,
};

/// An expected rejection.
struct Rejection {
    status: u16,
    kind: &'static str,
    detail_parts: &'static [&'static str],
}

const fn rejection(
    status: u16,
    kind: &'static str,
    detail_parts: &'static [&'static str],
) -> Rejection {
    Rejection { status, kind, detail_parts }
}

async fn call(
    fleet: &Fleet,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &[u8],
) -> Answer {
    let url = format!("{}{path}", fleet.nodes[0].server.url);
    api::call(fleet.client(), method, &url, headers, body.to_vec()).await.unwrap()
}

/// Sends a completion request with the caller's key and other headers.
async fn post(fleet: &Fleet, headers: &[(&'static str, &str)], body: &[u8]) -> Answer {
    let headers = [&[("authorization", "Bearer caller-key")], headers].concat();
    call(fleet, Method::POST, "/v1/completions", &headers, body).await
}

fn body(changes: &Value) -> Vec<u8> {
    let mut body = json!({"model": ENGINE, "prompt": "p", "stream": true});
    body.as_object_mut().unwrap().extend(changes.as_object().unwrap().clone());
    body.to_string().into_bytes()
}

fn check(answer: &Answer, expected: &Rejection) {
    let text = String::from_utf8_lossy(&answer.body);
    assert_eq!(answer.status.as_u16(), expected.status, "{text}");
    assert_eq!(answer.headers["content-type"], PROBLEM_JSON, "{text}");
    let problem: Problem = answer.json().unwrap();
    assert_eq!(problem.kind, format!("/problems/{}", expected.kind));
    assert_eq!((problem.status, problem.run), (expected.status, Run::NotRun));
    for part in expected.detail_parts {
        assert!(problem.detail.contains(part), "`{part}` is not in: {}", problem.detail);
    }
    let header = answer.headers.get("retry-after").map(|v| v.to_str().unwrap().to_owned());
    assert_eq!(header, problem.retry_after.map(|s| s.to_string()));
}

async fn log(fleet: &Fleet) -> RunnerLog {
    api::get(fleet.client(), &format!("{}/admin/log", fleet.runners[0].url)).await.unwrap()
}

async fn assert_no_calls(fleet: &Fleet) {
    assert_eq!(log(fleet).await.calls, []);
}

/// Guards against requests without a valid key: 401 on every path that needs one, for a missing
/// header, another scheme and an unknown key.
#[tokio::test]
async fn invalid_keys() {
    let fleet = fleet(json!({}), 4).await;
    let wanted = rejection(401, "unauthorized", &[]);
    let bad: [&[(&str, &str)]; 3] =
        [&[], &[("authorization", "Basic x")], &[("authorization", "Bearer no-such-key")]];
    let paths = [
        (Method::GET, "/v1/addresses"),
        (Method::POST, "/v1/completions"),
        (Method::POST, "/v1/services/desk-app/corrections"),
    ];
    for headers in bad {
        for (method, path) in paths.clone() {
            let answer = call(&fleet, method, path, headers, &body(&json!({}))).await;
            check(&answer, &wanted);
            assert_eq!(answer.headers["www-authenticate"], "Bearer");
        }
    }
    assert_no_calls(&fleet).await;
}

/// Guards against requests to an entry that is unknown, of the other kind, or not available to the
/// account.
#[tokio::test]
async fn unavailable_entries() {
    let fleet = fleet(json!({}), 4).await;
    let unknown = rejection(404, "unknown-entry", &["no-such"]);
    check(&post(&fleet, &[], &body(&json!({"model": "no-such"}))).await, &unknown);
    let service = rejection(404, "unknown-entry", &[SERVICE]);
    check(&post(&fleet, &[], &body(&json!({"model": SERVICE}))).await, &service);
    let other = format!("Bearer {OTHER_KEY}");
    let headers = [("authorization", other.as_str())];
    let forbidden = rejection(403, "forbidden", &["desk", ENGINE]);
    let answer = call(&fleet, Method::POST, "/v1/completions", &headers, &body(&json!({}))).await;
    check(&answer, &forbidden);
    let path = "/v1/services/no-such/x";
    let headers = [("authorization", "Bearer caller-key")];
    check(&call(&fleet, Method::GET, path, &headers, b"").await, &unknown);
    let path = "/v1/services/desk-app";
    let form = rejection(400, "bad-request", &["/v1/services/ENTRY/PATH"]);
    check(&call(&fleet, Method::GET, path, &headers, b"").await, &form);
    assert_no_calls(&fleet).await;
}

/// Guards against invalid bodies: no JSON, an unknown or invalid field, or too many tokens.
#[tokio::test]
async fn invalid_bodies() {
    let fleet = fleet(json!({}), 4).await;
    let bad = |detail_parts| rejection(400, "bad-request", detail_parts);
    let broken = b"{\"model\": \"verify-llm\",\n \"prompt\": }";
    check(&post(&fleet, &[], broken).await, &bad(&["line 2"]));
    let unknown = b"{\"model\": \"verify-llm\", \"prompt\": \"p\",\n\n \"temprature\": 1}";
    check(&post(&fleet, &[], unknown).await, &bad(&["`temprature`", "line 3"]));
    let kind = b"{\"model\": \"verify-llm\",\n \"prompt\": 7}";
    check(&post(&fleet, &[], kind).await, &bad(&["`prompt`", "line 2"]));
    check(&post(&fleet, &[], b"{\"model\": \"verify-llm\"}").await, &bad(&["`prompt`", "line 1"]));
    check(&post(&fleet, &[], b"\xff\xfe").await, &bad(&["line 1"]));
    for max in [0, MAX_TOKENS + 1] {
        let body = body(&json!({"max_tokens": max}));
        check(&post(&fleet, &[], &body).await, &bad(&["`max_tokens`", "1 to"]));
    }
    assert_no_calls(&fleet).await;
}

/// Guards against oversized bodies: with `Content-Length` they are rejected before any of the body
/// is sent, in chunks when the limit is exceeded.
#[tokio::test]
async fn oversized_bodies() {
    let fleet = fleet(json!({}), 4).await;
    let long = body(&json!({"prompt": "x".repeat(BODY_BYTES)}));
    let wanted = rejection(413, "too-large", &["bytes"]);
    let head = format!("content-length: {}\r\n\r\n", long.len());
    check(&read_response(send_raw(&fleet, &head, b"").await).await, &wanted);
    let chunked = [format!("{:x}\r\n", long.len()).as_bytes(), &long, b"\r\n"].concat();
    let head = "transfer-encoding: chunked\r\n\r\n";
    check(&read_response(send_raw(&fleet, head, &chunked).await).await, &wanted);
    assert_no_calls(&fleet).await;
}

/// Guards against a resume of another request, or without all its parts.
#[tokio::test]
async fn invalid_resumes() {
    let fleet = fleet(json!({}), 4).await;
    let mut received = Received::default();
    let caller = Caller::new(CALLER_KEY);
    let node = fleet.urls()[0].clone();
    caller.stream_once(&node, &request("p"), &mut received, &mut |_| {}).await.unwrap();
    let before = log(&fleet).await.calls.len();
    let id = received.last.as_str();
    let mismatch = rejection(422, "resume-mismatch", &[]);
    let text = body(&json!({"resume": "of something else"}));
    check(&post(&fleet, &[("last-event-id", id)], &text).await, &mismatch);
    let prompt = body(&json!({"prompt": "q", "resume": received.text}));
    check(&post(&fleet, &[("last-event-id", id)], &prompt).await, &mismatch);
    let gone = id.rsplit_once('.').unwrap().0.to_owned() + ".v0";
    let whole = body(&json!({"resume": received.text}));
    check(&post(&fleet, &[("last-event-id", &gone)], &whole).await, &mismatch);
    let alone = rejection(400, "bad-request", &["`resume`", "`Last-Event-ID`"]);
    check(&post(&fleet, &[], &whole).await, &alone);
    let unstreamed = body(&json!({"resume": received.text, "stream": false}));
    let streamed = rejection(400, "bad-request", &["`stream`"]);
    check(&post(&fleet, &[("last-event-id", id)], &unstreamed).await, &streamed);
    let bad = rejection(400, "bad-request", &["`Last-Event-ID`"]);
    let long = format!("{id}{}", "x".repeat(300));
    for id in ["", "7", "a.b.c.d.e", "a.1.99999999999.0.v1", &long] {
        check(&post(&fleet, &[("last-event-id", id)], &whole).await, &bad);
    }
    assert_eq!(log(&fleet).await.calls.len(), before);
}

/// Guards against oversized headers: they are rejected while they cost little.
#[tokio::test]
async fn oversized_headers() {
    let fleet = fleet(json!({}), 4).await;
    let wanted = rejection(431, "headers-too-large", &["KiB"]);
    let long = "x".repeat(20 << 10);
    for path in ["/v1/addresses", "/v1/completions", "/v1/services/desk-app/x", "/nowhere"] {
        let headers = [("authorization", "Bearer caller-key"), ("x-long", long.as_str())];
        check(&call(&fleet, Method::POST, path, &headers, b"{}").await, &wanted);
    }
    // The limits of the HTTP library apply before any handler, so its response has no problem
    // document.
    let many = "x-a: b\r\n".repeat(200);
    let endless = format!("x-a: {}\r\n", "x".repeat(1 << 20));
    for head in [many, endless] {
        let answer = read_response(send_raw(&fleet, &format!("{head}\r\n"), b"").await).await;
        assert_eq!(answer.status.as_u16(), 431);
    }
    assert_no_calls(&fleet).await;
}

/// Guards against unknown paths and methods.
#[tokio::test]
async fn unknown_paths_and_methods() {
    let fleet = fleet(json!({}), 4).await;
    let wanted = rejection(404, "not-found", &["/v1/completions"]);
    for path in ["/", "/v1/completion", "/v1/services", "/v2/completions"] {
        check(&call(&fleet, Method::POST, path, &[], b"").await, &wanted);
    }
    let wanted = rejection(405, "method-not-allowed", &["POST"]);
    let answer = call(&fleet, Method::GET, "/v1/completions", &[], b"").await;
    assert_eq!(answer.headers["allow"], "POST");
    check(&answer, &wanted);
    let wanted = rejection(405, "method-not-allowed", &["GET"]);
    for path in ["/v1/addresses", "/healthz", "/readyz"] {
        let answer = call(&fleet, Method::DELETE, path, &[], b"").await;
        assert_eq!(answer.headers["allow"], "GET");
        check(&answer, &wanted);
    }
    assert_no_calls(&fleet).await;
}

/// Guards against requests beyond the account's limit. They are rejected at once with
/// `Retry-After`, and served after that time if the other request has ended.
#[tokio::test]
async fn account_limit() {
    let fleet = fleet(json!({"account": 1, "tokens": MAX_TOKENS}), 4).await;
    let mut first = post_streamed(&fleet, "first").await;
    first.read_status().await;
    let answer = post(&fleet, &[], &body(&json!({}))).await;
    check(&answer, &rejection(429, "account-limit", &[]));
    let wait = answer.json::<Problem>().unwrap().retry_after.unwrap();
    assert_eq!(log(&fleet).await.calls.len(), 1);
    drop(first);
    wait_until(async || log(&fleet).await.cancelled == 1).await;
    sleep(Duration::from_secs(wait.into())).await;
    assert_eq!(post_streamed(&fleet, "last").await.read_status().await.as_u16(), 200);
}

/// Guards against requests beyond the entry's limit and its queue: they are rejected at once with
/// `Retry-After`.
#[tokio::test]
async fn full_queue() {
    let limits = json!({"concurrent": 1, "queue": 1, "wait_ms": 60_000});
    let fleet = fleet(json!({"limits": limits, "tokens": MAX_TOKENS}), 20).await;
    let mut first = post_streamed(&fleet, "first").await;
    first.read_status().await;
    let refused = tokio::select! {
        answer = async { read_response(post_streamed(&fleet, "one").await).await } => answer,
        answer = async { read_response(post_streamed(&fleet, "two").await).await } => answer,
    };
    check(&refused, &rejection(503, "overloaded", &[]));
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(log(&fleet).await.calls.len(), 1);
}

/// Guards against mixed responses when two accounts send equal bodies concurrently, and against a
/// resume of the other account's request.
#[tokio::test]
async fn equal_bodies_of_two_accounts() {
    let fleet = fleet(json!({"other": true}), 4).await;
    let nodes = fleet.urls();
    let request = request("p");
    let (one, two) = (Caller::new(CALLER_KEY), Caller::new(OTHER_KEY));
    let (a, b) =
        tokio::join!(one.stream(&nodes, &request, |_| {}), two.stream(&nodes, &request, |_| {}));
    let (a, b) = (a.unwrap(), b.unwrap());
    let expected =
        Text::new("v1", "p", Sampling::Same, Some(raw_http::TOKENS)).text(raw_http::TOKENS);
    assert_eq!((&a.text, &b.text), (&expected, &expected));
    assert_ne!(a.last.split('.').next(), b.last.split('.').next());
    let foreign = body(&json!({"resume": b.text}));
    let answer = post(&fleet, &[("last-event-id", &b.last)], &foreign).await;
    check(&answer, &rejection(422, "resume-mismatch", &[]));
    assert_eq!(log(&fleet).await.calls.len(), 2);
}

/// Reads a response with `Content-Length`.
async fn read_response(mut connection: RawConnection) -> Answer {
    let status = connection.read_status().await;
    let end = connection.received.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    let mut headers = HeaderMap::new();
    let head = String::from_utf8(connection.received[..end].to_vec()).unwrap();
    for line in head.lines().skip(1).filter(|l| !l.is_empty()) {
        let (name, value) = line.split_once(": ").unwrap();
        headers.insert(name.parse::<HeaderName>().unwrap(), value.parse().unwrap());
    }
    let length: usize = headers["content-length"].to_str().unwrap().parse().unwrap();
    while connection.received.len() < end + length {
        assert!(connection.read().await > 0, "connection closed before the end of the body");
    }
    Answer { status, headers, body: connection.received[end..end + length].to_vec() }
}
