//! HTTP client and set-up shared by the tests.

use {
    bilberryfront_standins::{
        runner::{Runner, RunnerConfig, RunnerLog},
        server::Handle,
    },
    bilberryfront_wire::runner::{DONE, FINISH, Finish, Generate, Token},
    compact_str::CompactString,
    http::StatusCode,
    serde::{Serialize, de::DeserializeOwned},
    std::net::SocketAddr,
    volo_http::{
        body::{Body, BodyConversion as _},
        client::{Client, sse::SseReader},
        response::Response,
    },
};

/// Loopback address with any free port.
pub(crate) const ANY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Events of a stream up to its end.
#[derive(Debug, Default)]
pub(crate) struct Stream {
    /// Event id and token of each event.
    pub(crate) tokens: Vec<(CompactString, Token)>,
    /// Data of the `finish` event.
    pub(crate) finish: Option<Finish>,
    /// Whether `[DONE]` was received.
    pub(crate) done: bool,
    /// Whether the connection failed or an event was invalid.
    pub(crate) broken: bool,
}

impl Stream {
    /// Returns the text of all tokens.
    pub(crate) fn text(&self) -> String {
        self.tokens.iter().map(|(_, token)| token.text.as_str()).collect()
    }

    /// Returns the indices of all tokens.
    pub(crate) fn indices(&self) -> Vec<u32> {
        self.tokens.iter().map(|(_, token)| token.index).collect()
    }
}

/// Sends JSON; `None` if there is no response.
pub(crate) async fn post(url: &str, body: &impl Serialize) -> Option<Response> {
    let body = Body::from(serde_json::to_vec(body).unwrap());
    client().post(url.to_owned()).body(body).send::<Body>().await.ok()
}

/// Sends JSON and parses a JSON response.
pub(crate) async fn post_json<A: DeserializeOwned>(url: &str, body: &impl Serialize) -> A {
    let response = post(url, body).await.expect("an answer");
    assert_eq!(response.status(), StatusCode::OK);
    serde_json::from_slice(&response.into_body().into_bytes().await.unwrap()).unwrap()
}

/// Fetches JSON.
pub(crate) async fn get<A: DeserializeOwned>(url: &str) -> A {
    let response = client().get(url.to_owned()).send::<Body>().await.expect("an answer");
    assert_eq!(response.status(), StatusCode::OK);
    serde_json::from_slice(&response.into_body().into_bytes().await.unwrap()).unwrap()
}

/// Starts a runner whose answers have ten tokens.
pub(crate) async fn start_runner() -> Handle {
    let config = RunnerConfig { answer: Some(10), ..RunnerConfig::default() };
    Runner::start(ANY, config).await.unwrap()
}

/// Returns a request for a generation from its first token.
pub(crate) fn new_request() -> Generate {
    Generate {
        request: "request".into(),
        attempt: 1,
        model: "model".into(),
        version: "v1".into(),
        prompt: "a question".into(),
        index: 0,
        prefix: String::new(),
        max_tokens: 1000,
        priority: 0,
    }
}

/// Reads a generation to its end.
pub(crate) async fn generate(runner: &Handle, request: &Generate) -> Stream {
    let response = post(&format!("{}/generate", runner.url()), request).await.expect("an answer");
    assert_eq!(response.status(), StatusCode::OK);
    let mut reader = SseReader::into_sse(response).unwrap();
    let mut stream = Stream::default();
    loop {
        let event = match reader.read().await {
            Ok(Some(event)) => event,
            Ok(None) => return stream,
            Err(_) => {
                stream.broken = true;
                return stream;
            }
        };
        match (event.event(), event.data().unwrap()) {
            (_, DONE) => stream.done = true,
            (FINISH, data) => stream.finish = Some(serde_json::from_str(data).unwrap()),
            (_, data) => match serde_json::from_str(data) {
                Ok(token) => stream.tokens.push((event.id().unwrap().into(), token)),
                Err(_) => stream.broken = true,
            },
        }
    }
}

/// Fetches the log of a runner.
pub(crate) async fn log(runner: &Handle) -> RunnerLog {
    get(&format!("{}/admin/log", runner.url())).await
}

fn client() -> Client {
    Client::builder().build().unwrap()
}
