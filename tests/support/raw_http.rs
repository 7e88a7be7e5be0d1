//! A deployment of one runner and one node, and clients that write HTTP to a plain socket.

use {
    bilberryfront_harness::fleet::{CALLER_KEY, Fleet, digest},
    bilberryfront_wire::completion::CompletionRequest,
    http::StatusCode,
    serde_json::{Value, json},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        time::sleep,
    },
};

/// Name of the engine entry in the catalogue.
pub(crate) const ENGINE: &str = "verify-llm";
/// Name of the service entry in the catalogue.
pub(crate) const SERVICE: &str = "desk-app";
/// API key of an account that has access to no entry unless `other` is set.
pub(crate) const OTHER_KEY: &str = "other-key";
/// Limit on the bytes of a request body.
pub(crate) const BODY_BYTES: usize = 65_536;
/// Limit on the tokens of a completion.
pub(crate) const MAX_TOKENS: u32 = 1_000_000;
/// Tokens in each completion unless `tokens` is set.
pub(crate) const TOKENS: u32 = 200;
/// Receive buffer of raw connections; small, so that a client that does not read soon causes
/// backpressure.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;

/// Starts a deployment. `changes` may contain `limits` of the engine entry, `account` (limit on
/// concurrent requests of the account), `other` (whether the other account has access to the entry)
/// and `tokens`.
pub(crate) async fn fleet(changes: Value, pace_ms: u32) -> Fleet {
    let mut fleet = Fleet::new(crate::programs::programs()).unwrap();
    start(&mut fleet, &changes, pace_ms).await;
    fleet
}

/// Starts the runner and the node of a deployment in which only the platform runs.
pub(crate) async fn start(fleet: &mut Fleet, changes: &Value, pace_ms: u32) {
    let tokens = changes["tokens"].as_u64().unwrap_or(TOKENS.into()).to_string();
    let pace = pace_ms.to_string();
    let args = ["--entry", ENGINE, "--answer-tokens", &tokens, "--token-ms", &pace];
    fleet.start("runner", "runner-a", &args).unwrap();
    fleet.apply(1, &catalog(changes)).await.unwrap();
    fleet.start_node("node-a", "domain-a").await.unwrap();
    fleet.ready().await.unwrap();
}

fn catalog(changes: &Value) -> Value {
    let mut limits = json!({"max_tokens": MAX_TOKENS, "body_bytes": BODY_BYTES});
    if let Some(changed) = changes["limits"].as_object() {
        limits.as_object_mut().unwrap().extend(changed.clone());
    }
    let concurrent = changes["account"].as_u64().unwrap_or(1_000);
    let mut accounts = vec![json!({"account": "desk", "concurrent": concurrent})];
    if changes["other"] == true {
        accounts.push(json!({"account": "other", "concurrent": 1_000}));
    }
    let entry = |name: &str, kind: &str| {
        json!({
            "name": name, "owner": "desk", "class": "interactive", "kind": kind,
            "versions": ["v1"], "version": "v1", "limits": limits, "accounts": accounts,
        })
    };
    json!({
        "accounts": [
            {"name": "desk", "keys": [digest(CALLER_KEY)]},
            {"name": "other", "keys": [digest(OTHER_KEY)]},
        ],
        "entries": [entry(ENGINE, "engine"), entry(SERVICE, "service")],
    })
}

/// Returns a streamed request.
pub(crate) fn request(prompt: &str) -> CompletionRequest {
    CompletionRequest {
        model: ENGINE.into(),
        prompt: prompt.into(),
        max_tokens: None,
        stream: true,
        resume: None,
    }
}

/// Polls until the condition is met, for at most 20 s. Only for conditions that follow from events
/// already in progress.
pub(crate) async fn wait_until(mut is_met: impl AsyncFnMut() -> bool) {
    for _ in 0..1_000 {
        if is_met().await {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("the condition was not met within 20 s")
}

/// A client connection over a plain socket.
pub(crate) struct RawConnection {
    stream: TcpStream,
    /// Bytes received so far.
    pub(crate) received: Vec<u8>,
}

/// Sends a completion request with these header lines and this body. `head` ends with the blank
/// line.
pub(crate) async fn send_raw(fleet: &Fleet, head: &str, body: &[u8]) -> RawConnection {
    let address = fleet.nodes[0].server.url.strip_prefix("http://").unwrap();
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let mut stream = socket.connect(address.parse().unwrap()).await.unwrap();
    let start = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {CALLER_KEY}\r\n"
    );
    // The node may reject the request and close the connection before it has read everything.
    _ = stream.write_all(&[start.as_bytes(), head.as_bytes(), body].concat()).await;
    RawConnection { stream, received: Vec::new() }
}

/// Sends a streamed completion request.
pub(crate) async fn post_streamed(fleet: &Fleet, prompt: &str) -> RawConnection {
    let body = serde_json::to_vec(&request(prompt)).unwrap();
    send_raw(fleet, &format!("content-length: {}\r\n\r\n", body.len()), &body).await
}

impl RawConnection {
    /// Reads until the end of the response head; returns the status.
    pub(crate) async fn read_status(&mut self) -> StatusCode {
        while !self.received.windows(4).any(|w| w == b"\r\n\r\n") {
            assert!(self.read().await > 0, "connection closed before the end of the response head");
        }
        let line = String::from_utf8_lossy(&self.received[..12]);
        line[9..].parse().unwrap()
    }

    /// Reads more bytes; returns their number, 0 at the end of the stream.
    pub(crate) async fn read(&mut self) -> usize {
        let mut buffer = [0; 65_536];
        let count = self.stream.read(&mut buffer).await.unwrap();
        self.received.extend_from_slice(&buffer[..count]);
        count
    }
}
