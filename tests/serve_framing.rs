//! Ends of the responses that callers of a node get over their sockets.

use {
    bilberryfront_harness::{
        fleet::{CALLER_KEY, Fleet, catalog},
        http as api,
    },
    bilberryfront_wire::instance::{Instance, InstanceKind, InstanceState},
    http::Method,
    serde_json::json,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

#[path = "support/programs.rs"]
mod programs;

const ENGINE: &str = "verify-llm";
const SERVICE: &str = "desk-app";
/// Time without bytes after which a connection counts as kept open.
const SILENCE: Duration = Duration::from_millis(1_500);
/// End of a complete stream.
const DONE: &str = "data: [DONE]\n\n";

/// Bytes that a caller received.
#[derive(Debug)]
struct Received {
    text: String,
    is_closed: bool,
}

/// A deployment of a node, a model engine, and a service that sends the same bytes as response to each call.
struct Deployment {
    fleet: Fleet,
    response: Arc<Mutex<String>>,
}

impl Deployment {
    async fn start() -> Deployment {
        let mut fleet = Fleet::new(programs::programs()).unwrap();
        let args = ["--entry", ENGINE, "--answer-tokens", "40", "--token-ms", "20"];
        fleet.start("runner", "runner-a", &args).unwrap();
        let response = Arc::new(Mutex::new(String::new()));
        start_service(&fleet, response.clone()).await;
        fleet.apply(1, &catalog(ENGINE, SERVICE)).await.unwrap();
        fleet.start_node("node-a", "domain-a").await.unwrap();
        fleet.ready().await.unwrap();
        Deployment { fleet, response }
    }

    fn respond_with(&self, response: &str) {
        *self.response.lock().unwrap() = response.into();
    }

    /// Opens a connection to the node and sends a request.
    async fn send(&self, line: &str, headers: &str, body: &str) -> TcpStream {
        let address = self.fleet.nodes[0].server.url.strip_prefix("http://").unwrap();
        let mut stream = TcpStream::connect(address).await.unwrap();
        let length = body.len();
        let request = format!(
            "{line}\r\nhost: node\r\nauthorization: Bearer {CALLER_KEY}\r\n{headers}\
            content-length: {length}\r\n\r\n{body}"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        stream
    }

    /// Calls the service.
    async fn call(&self, method: &str, headers: &str) -> Received {
        let line = format!("{method} /v1/services/{SERVICE}/x HTTP/1.1");
        read(&mut self.send(&line, headers, "").await).await
    }

    /// Starts a stream in HTTP/1.0.
    async fn stream(&self, headers: &str) -> TcpStream {
        let body = json!({"model": ENGINE, "prompt": "p", "stream": true}).to_string();
        self.send("POST /v1/completions HTTP/1.0", headers, &body).await
    }
}

async fn start_service(fleet: &Fleet, response: Arc<Mutex<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let instance = Instance {
        name: "raw".into(),
        kind: InstanceKind::Service,
        url: format!("http://{}", listener.local_addr().unwrap()).into(),
        domain: "domain-a".into(),
        entry: SERVICE.into(),
        version: "v1".into(),
        state: InstanceState::Live,
        fenced: false,
        peer: None,
    };
    let url = format!("{}/instances/{}", fleet.list.url, instance.name);
    let (headers, body) = ([("content-type", "application/json")], serde_json::to_vec(&instance));
    let registered = api::call(fleet.client(), Method::POST, &url, &headers, body.unwrap()).await;
    assert!(registered.unwrap().status.is_success());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let response = response.lock().unwrap().clone();
            tokio::spawn(respond(stream, response));
        }
    });
}

/// Responds to one call, which fits into one read.
async fn respond(mut stream: TcpStream, response: String) {
    if stream.read(&mut [0; 4096]).await.is_ok_and(|count| count > 0) {
        _ = stream.write_all(response.as_bytes()).await;
    }
}

/// Reads until the connection is closed or silent.
async fn read(stream: &mut TcpStream) -> Received {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    let is_closed = loop {
        match timeout(SILENCE, stream.read(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            Ok(_) => break true,
            Err(_) => break false,
        }
    };
    Received { text: String::from_utf8(bytes).unwrap(), is_closed }
}

/// Guards against a changed or an invented length of a response that has no body.
#[tokio::test]
async fn responses_without_a_body_keep_the_length_that_the_service_stated() {
    let deployment = Deployment::start().await;
    for (method, head, length) in [
        ("HEAD", "200 OK\r\ncontent-length: 17\r\n", Some("17")),
        ("HEAD", "200 OK\r\nconnection: close\r\n", None),
        ("HEAD", "200 OK\r\ntransfer-encoding: chunked\r\n", None),
        ("GET", "204 No Content\r\n", None),
        ("GET", "304 Not Modified\r\n", None),
    ] {
        deployment.respond_with(&format!("HTTP/1.1 {head}\r\n"));
        let received = deployment.call(method, "").await;
        let (head, body) = received.text.split_once("\r\n\r\n").expect("a whole head");
        let mut lengths = head.lines().filter_map(|line| line.strip_prefix("content-length: "));
        assert_eq!((lengths.next(), lengths.next()), (length, None), "{received:?}");
        assert!(!head.contains("transfer-encoding"), "{received:?}");
        assert_eq!((body, received.is_closed), ("", false), "{received:?}");
    }
}

/// Guards against an empty body that is returned in place of the service's: a success ends a `CONNECT` request, and
/// what follows is not read as a body.
#[tokio::test]
async fn connect_requests_are_rejected() {
    let deployment = Deployment::start().await;
    deployment.respond_with("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    let received = deployment.call("CONNECT", "idempotency-key: k\r\n").await;
    assert!(received.text.starts_with("HTTP/1.1 400 "), "{received:?}");
    assert!(received.text.contains("/problems/bad-request"), "{received:?}");
    assert!(received.text.contains("not_run"), "{received:?}");
}

/// Guards against a stream without an end that states that its connection is kept.
#[tokio::test]
async fn a_stream_without_chunks_states_that_its_connection_closes() {
    let deployment = Deployment::start().await;
    for headers in ["", "connection: keep-alive\r\n"] {
        let received = read(&mut deployment.stream(headers).await).await;
        let (head, body) = received.text.split_once("\r\n\r\n").expect("a whole head");
        assert!(head.contains("connection: close") && !head.contains("keep-alive"), "{head}");
        assert!(body.ends_with(DONE) && received.is_closed, "{received:?}");
    }
}

/// Guards against a complete stream from a node that is killed: the connection is closed as at an end.
#[tokio::test]
async fn a_stream_without_chunks_of_a_killed_node_has_no_end() {
    let mut deployment = Deployment::start().await;
    let mut stream = deployment.stream("").await;
    let mut buffer = [0; 4096];
    while !String::from_utf8_lossy(&buffer).contains("data: ") {
        assert!(stream.read(&mut buffer).await.unwrap() > 0);
    }
    deployment.fleet.nodes[0].server.process.kill();
    let received = read(&mut stream).await;
    assert!(received.is_closed && !received.text.contains(DONE), "{received:?}");
}
