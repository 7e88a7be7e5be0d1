//! HTTP client with JSON bodies, for stand-ins and nodes.

use {
    http::{HeaderMap, Method, StatusCode},
    serde::{Serialize, de::DeserializeOwned},
    std::io,
    volo_http::{
        body::{Body, BodyConversion},
        client::Client,
    },
};

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> io::Result<T> {
        serde_json::from_slice(&self.body).map_err(io::Error::other)
    }
}

/// Creates a client with its own connection pool.
pub fn client() -> Client {
    Client::builder().build().expect("the client's configuration is constant")
}

/// Sends a request and reads the whole response.
pub async fn call(
    client: &Client,
    method: Method,
    url: &str,
    headers: &[(&'static str, &str)],
    body: Vec<u8>,
) -> io::Result<Answer> {
    let mut request = client.request(method, url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = request.body(Body::from(body)).send::<Body>().await.map_err(io::Error::other)?;
    let (head, body) = response.into_parts();
    let body = body.into_vec().await.map_err(io::Error::other)?;
    Ok(Answer { status: head.status, headers: head.headers, body })
}

/// Sends JSON with `POST`; a status other than success is an error.
pub async fn post(client: &Client, url: &str, value: &impl Serialize) -> io::Result<Answer> {
    let body = serde_json::to_vec(value).map_err(io::Error::other)?;
    let headers = [("content-type", "application/json")];
    let answer = call(client, Method::POST, url, &headers, body).await?;
    match answer.status.is_success() {
        true => Ok(answer),
        false => {
            Err(io::Error::other(format!("POST {url}: expected success, got {}", answer.status)))
        }
    }
}

/// Fetches JSON with `GET`.
pub async fn get<T: DeserializeOwned>(client: &Client, url: &str) -> io::Result<T> {
    call(client, Method::GET, url, &[], Vec::new()).await?.json()
}
