//! `ANY /v1/services/{entry}/{path}`: calls to plain services.

mod acquire;
pub mod job;
pub mod once;
pub mod repeat;

use {
    super::{
        Traffic, auth,
        meter::Meter,
        problem::{self, Kind, not_run},
        send::Reply,
    },
    crate::{control::Control, intents::Intents},
    bilberryfront_decide::intent::{KeyError, Plan, plan},
    bilberryfront_wire::problem::Problem,
    bytes::Bytes,
    futures_util::{future, stream},
    http::{HeaderMap, HeaderValue, Version, header::CONNECTION},
    http_body::Frame,
    job::Job,
    sync_wrapper::SyncStream,
    volo_http::{body::Body, request::Request, response::Response, utils::Extension},
};

/// A result whose error is the response to the caller.
pub type Result<T> = std::result::Result<T, Problem>;

/// Header with the key of a call that may run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Dependencies of calls to plain services.
#[derive(Clone)]
pub struct Services<T, X> {
    /// The control thread.
    pub control: Control,
    /// Claims of calls that may run at most once.
    pub intents: Intents<T>,
    /// Sends calls to runners.
    pub sender: X,
}

/// Handles a call by sending it to a runner of the entry named in its path.
pub async fn call(Extension(traffic): Extension<Traffic>, request: Request) -> Response {
    let mut meter = Meter::start(traffic.control.metrics());
    match route(traffic, request).await {
        Ok(reply) => {
            meter.complete();
            response(reply)
        }
        Err(problem) => {
            meter.problem(&problem);
            problem::response(&problem)
        }
    }
}

async fn route(traffic: Traffic, request: Request) -> Result<Reply> {
    let guard = traffic.begin_request()?;
    let (head, body) = request.into_parts();
    let view = traffic.control.view();
    let account = auth::account(&view.catalog, &head.headers)?;
    let job = Job::read(&view.catalog, account, &head, body).await?;
    let key = idempotency_key(&head.headers);
    match plan(head.method.as_str(), key).map_err(bad_key)? {
        Plan::Repeat => repeat::run(&traffic.services, &job).await,
        Plan::Once(key) => once::run(traffic.services, job, key.into(), guard).await,
    }
}

fn idempotency_key(headers: &HeaderMap) -> Option<&[u8]> {
    headers.get(IDEMPOTENCY_KEY).map(|value| value.as_bytes())
}

fn bad_key(error: KeyError) -> Problem {
    not_run(Kind::BadRequest, error.to_string())
}

/// Returns the response to the caller. The end of its body is stated only if the runner's was.
fn response(reply: Reply) -> Response {
    let Reply { status, headers, body, is_confirmed } = reply;
    let body = if is_confirmed { Body::from(body) } else { until_close(body) };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    if !is_confirmed {
        // HTTP/1.0 has no chunks, so that the body ends with the connection.
        *response.version_mut() = Version::HTTP_10;
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns a body of unknown length.
fn until_close(bytes: Bytes) -> Body {
    Body::from_stream(SyncStream::new(stream::once(future::ready(Ok(Frame::data(bytes))))))
}
