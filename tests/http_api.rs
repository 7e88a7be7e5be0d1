//! What the callers' face refuses. Every refusal is a problem document whose `not_run` the runner's
//! log bears out.

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
    BODY_BYTES, ENGINE, MAX_TOKENS, OTHER_KEY, RawConnection, SERVICE, fleet, request, send_raw,
    wait_until,
};

/// A refusal that is looked for.
struct Refusal {
    status: u16,
    kind: &'static str,
    says: &'static [&'static str],
}

const fn refusal(status: u16, kind: &'static str, says: &'static [&'static str]) -> Refusal {
    Refusal { status, kind, says }
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

/// Posts a completion with the caller's key and other headers.
async fn post(fleet: &Fleet, headers: &[(&'static str, &str)], body: &[u8]) -> Answer {
    let headers = [&[("authorization", "Bearer caller-key")], headers].concat();
    call(fleet, Method::POST, "/v1/completions", &headers, body).await
}

fn body(changes: &Value) -> Vec<u8> {
    let mut body = json!({"model": ENGINE, "prompt": "p", "stream": true});
    body.as_object_mut().unwrap().extend(changes.as_object().unwrap().clone());
    body.to_string().into_bytes()
}

fn check(answer: &Answer, wanted: &Refusal) {
    let text = String::from_utf8_lossy(&answer.body);
    assert_eq!(answer.status.as_u16(), wanted.status, "{text}");
    assert_eq!(answer.headers["content-type"], PROBLEM_JSON, "{text}");
    let problem: Problem = answer.json().unwrap();
    assert_eq!(problem.kind, format!("/problems/{}", wanted.kind));
    assert_eq!((problem.status, problem.run), (wanted.status, Run::NotRun));
    for part in wanted.says {
        assert!(problem.detail.contains(part), "`{part}` isn't in: {}", problem.detail);
    }
    let header = answer.headers.get("retry-after").map(|v| v.to_str().unwrap().to_owned());
    assert_eq!(header, problem.retry_after.map(|s| s.to_string()));
}

async fn log(fleet: &Fleet) -> RunnerLog {
    api::get(fleet.client(), &format!("{}/admin/log", fleet.runners[0].url)).await.unwrap()
}

async fn nothing_ran(fleet: &Fleet) {
    assert_eq!(log(fleet).await.calls, []);
}

/// The caller's key is missing, no bearer, or unknown: 401 at every path that needs one.
#[tokio::test]
async fn keys() {
    let fleet = fleet(json!({}), 4).await;
    let wanted = refusal(401, "unauthorized", &[]);
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
    nothing_ran(&fleet).await;
}

/// The entry is unknown, of the other kind, or not for this account.
#[tokio::test]
async fn entries() {
    let fleet = fleet(json!({}), 4).await;
    let unknown = refusal(404, "unknown-entry", &["no-such"]);
    check(&post(&fleet, &[], &body(&json!({"model": "no-such"}))).await, &unknown);
    let service = refusal(404, "unknown-entry", &[SERVICE]);
    check(&post(&fleet, &[], &body(&json!({"model": SERVICE}))).await, &service);
    let other = format!("Bearer {OTHER_KEY}");
    let headers = [("authorization", other.as_str())];
    let forbidden = refusal(403, "forbidden", &["desk", ENGINE]);
    let answer = call(&fleet, Method::POST, "/v1/completions", &headers, &body(&json!({}))).await;
    check(&answer, &forbidden);
    let path = "/v1/services/no-such/x";
    let headers = [("authorization", "Bearer caller-key")];
    check(&call(&fleet, Method::GET, path, &headers, b"").await, &unknown);
    let path = "/v1/services/desk-app";
    let form = refusal(400, "bad-request", &["/v1/services/ENTRY/PATH"]);
    check(&call(&fleet, Method::GET, path, &headers, b"").await, &form);
    nothing_ran(&fleet).await;
}

/// The body isn't JSON, has an unknown or a bad field, or asks for too many tokens.
#[tokio::test]
async fn bodies() {
    let fleet = fleet(json!({}), 4).await;
    let bad = |says| refusal(400, "bad-request", says);
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
    nothing_ran(&fleet).await;
}

/// The body is too long, by its announced length (refused although none of it comes) or by what
/// comes in chunks.
#[tokio::test]
async fn long_bodies() {
    let fleet = fleet(json!({}), 4).await;
    let long = body(&json!({"prompt": "x".repeat(BODY_BYTES)}));
    let wanted = refusal(413, "too-large", &["bytes"]);
    let head = format!("content-length: {}\r\n\r\n", long.len());
    check(&whole(send_raw(&fleet, &head, b"").await).await, &wanted);
    let chunked = [format!("{:x}\r\n", long.len()).as_bytes(), &long, b"\r\n"].concat();
    let head = "transfer-encoding: chunked\r\n\r\n";
    check(&whole(send_raw(&fleet, head, &chunked).await).await, &wanted);
    nothing_ran(&fleet).await;
}

/// The resume isn't of this request, or half of it is missing.
#[tokio::test]
async fn resumes() {
    let fleet = fleet(json!({}), 4).await;
    let mut got = Received::default();
    let caller = Caller::new(CALLER_KEY);
    let node = fleet.urls()[0].clone();
    caller.stream_once(&node, &request("p"), &mut got, &mut |_| {}).await.unwrap();
    let before = log(&fleet).await.calls.len();
    let id = got.last.as_str();
    let mismatch = refusal(422, "resume-mismatch", &[]);
    let text = body(&json!({"resume": "of something else"}));
    check(&post(&fleet, &[("last-event-id", id)], &text).await, &mismatch);
    let prompt = body(&json!({"prompt": "q", "resume": got.text}));
    check(&post(&fleet, &[("last-event-id", id)], &prompt).await, &mismatch);
    let gone = id.rsplit_once('.').unwrap().0.to_owned() + ".v0";
    let whole = body(&json!({"resume": got.text}));
    check(&post(&fleet, &[("last-event-id", &gone)], &whole).await, &mismatch);
    let alone = refusal(400, "bad-request", &["`resume`", "`Last-Event-ID`"]);
    check(&post(&fleet, &[], &whole).await, &alone);
    let unstreamed = body(&json!({"resume": got.text, "stream": false}));
    let streamed = refusal(400, "bad-request", &["`stream`"]);
    check(&post(&fleet, &[("last-event-id", id)], &unstreamed).await, &streamed);
    let bad = refusal(400, "bad-request", &["`Last-Event-ID`"]);
    let long = format!("{id}{}", "x".repeat(300));
    for id in ["", "7", "a.b.c.d.e", "a.1.99999999999.0.v1", &long] {
        check(&post(&fleet, &[("last-event-id", id)], &whole).await, &bad);
    }
    assert_eq!(log(&fleet).await.calls.len(), before);
}

/// The caller sends headers without end. They are refused before they cost much.
#[tokio::test]
async fn large_headers() {
    let fleet = fleet(json!({}), 4).await;
    let wanted = refusal(431, "headers-too-large", &["KiB"]);
    let long = "x".repeat(20 << 10);
    for path in ["/v1/addresses", "/v1/completions", "/v1/services/desk-app/x", "/nowhere"] {
        let headers = [("authorization", "Bearer caller-key"), ("x-long", long.as_str())];
        check(&call(&fleet, Method::POST, path, &headers, b"{}").await, &wanted);
    }
    // The library's own bounds, which no handler sees: it answers without a document.
    let many = "x-a: b\r\n".repeat(200);
    let endless = format!("x-a: {}\r\n", "x".repeat(1 << 20));
    for head in [many, endless] {
        let answer = whole(send_raw(&fleet, &format!("{head}\r\n"), b"").await).await;
        assert_eq!(answer.status.as_u16(), 431);
    }
    nothing_ran(&fleet).await;
}

/// Nothing is at the path, or the path takes another method.
#[tokio::test]
async fn paths_and_methods() {
    let fleet = fleet(json!({}), 4).await;
    let wanted = refusal(404, "not-found", &["/v1/completions"]);
    for path in ["/", "/v1/completion", "/v1/services", "/v2/completions"] {
        check(&call(&fleet, Method::POST, path, &[], b"").await, &wanted);
    }
    let wanted = refusal(405, "method-not-allowed", &["POST"]);
    let answer = call(&fleet, Method::GET, "/v1/completions", &[], b"").await;
    assert_eq!(answer.headers["allow"], "POST");
    check(&answer, &wanted);
    let wanted = refusal(405, "method-not-allowed", &["GET"]);
    for path in ["/v1/addresses", "/healthz", "/readyz"] {
        let answer = call(&fleet, Method::DELETE, path, &[], b"").await;
        assert_eq!(answer.headers["allow"], "GET");
        check(&answer, &wanted);
    }
    nothing_ran(&fleet).await;
}

/// The account runs as much as it may. It is refused at once with when to come back, and is served
/// when it does come back then and its other request has ended.
#[tokio::test]
async fn account_limit() {
    let fleet = fleet(json!({"account": 1, "tokens": MAX_TOKENS}), 4).await;
    let mut first = raw_http::post_streamed(&fleet, "first").await;
    first.read_status().await;
    let answer = post(&fleet, &[], &body(&json!({}))).await;
    check(&answer, &refusal(429, "account-limit", &[]));
    let wait = answer.json::<Problem>().unwrap().retry_after.unwrap();
    assert_eq!(log(&fleet).await.calls.len(), 1);
    drop(first);
    wait_until(async || log(&fleet).await.cancelled == 1).await;
    sleep(Duration::from_secs(wait.into())).await;
    assert_eq!(raw_http::post_streamed(&fleet, "last").await.read_status().await.as_u16(), 200);
}

/// The entry runs as much as it may and its queue is full. One caller more is refused at once with
/// when to come back.
#[tokio::test]
async fn full_queue() {
    let limits = json!({"concurrent": 1, "queue": 1, "wait_ms": 60_000});
    let fleet = fleet(json!({"limits": limits, "tokens": MAX_TOKENS}), 20).await;
    let mut first = raw_http::post_streamed(&fleet, "first").await;
    first.read_status().await;
    let refused = tokio::select! {
        answer = async { whole(raw_http::post_streamed(&fleet, "one").await).await } => answer,
        answer = async { whole(raw_http::post_streamed(&fleet, "two").await).await } => answer,
    };
    check(&refused, &refusal(503, "overloaded", &[]));
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(log(&fleet).await.calls.len(), 1);
}

/// Two accounts send the same body at the same moment. Each gets the answer to its own request, and
/// neither may resume the other's.
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
    check(&answer, &refusal(422, "resume-mismatch", &[]));
    assert_eq!(log(&fleet).await.calls.len(), 2);
}

/// Reads an answer with a length.
async fn whole(mut raw: RawConnection) -> Answer {
    let status = raw.read_status().await;
    let end = raw.received.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    let mut headers = HeaderMap::new();
    let head = String::from_utf8(raw.received[..end].to_vec()).unwrap();
    for line in head.lines().skip(1).filter(|l| !l.is_empty()) {
        let (name, value) = line.split_once(": ").unwrap();
        headers.insert(name.parse::<HeaderName>().unwrap(), value.parse().unwrap());
    }
    let length: usize = headers["content-length"].to_str().unwrap().parse().unwrap();
    while raw.received.len() < end + length {
        assert!(raw.read().await > 0, "closed in the body");
    }
    Answer { status, headers, body: raw.received[end..end + length].to_vec() }
}
