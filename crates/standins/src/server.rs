//! HTTP server of a stand-in, and the handling of requests that all stand-ins share.

use {
    crate::{
        fault_injector::FaultInjector,
        faults::{Faults, Reject},
    },
    bytes::Bytes,
    futures_util::stream,
    http::{StatusCode, header},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        future::pending,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
    tokio::{
        net::TcpListener,
        runtime::{Builder, Runtime},
    },
    volo::net::incoming::DefaultIncoming,
    volo_http::{
        body::Body,
        response::Response,
        server::{
            IntoResponse, Server,
            route::{Router, get},
        },
        utils::Extension,
    },
};

/// Worker threads per stand-in.
const WORKER_THREADS: usize = 2;

/// A running stand-in; dropping it stops it.
pub struct Handle {
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Its faults.
    pub faults: Arc<FaultInjector>,
    runtime: SharedRuntime,
}

/// The runtime that serves a stand-in; `None` once stopped. Its shutdown aborts all connections, as
/// the end of a process does.
type SharedRuntime = Arc<Mutex<Option<Runtime>>>;

impl Handle {
    /// Starts serving `router` on `listen`; port 0 selects a free one.
    pub fn start(
        listen: SocketAddr,
        router: Router,
        faults: Arc<FaultInjector>,
    ) -> io::Result<Handle> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let runtime =
            Builder::new_multi_thread().worker_threads(WORKER_THREADS).enable_all().build()?;
        let router = router
            .route("/admin/faults", get(get_faults).post(set_faults))
            .layer(Extension(Arc::clone(&faults)));
        let shared = SharedRuntime::default();
        runtime.spawn(async move {
            let listener = TcpListener::from_std(listener).expect("the listener is non-blocking");
            Server::new(router).run(DefaultIncoming::from(listener)).await
        });
        runtime.spawn(stop_when_killed(Arc::clone(&faults), Arc::clone(&shared)));
        *shared.lock().expect("no holder of this lock panics") = Some(runtime);
        Ok(Handle { addr, faults, runtime: shared })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Stops accepting and aborts all connections.
    pub fn stop(&self) {
        stop(&self.runtime);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop();
    }
}

fn stop(shared: &SharedRuntime) {
    let runtime = shared.lock().expect("no holder of this lock panics").take();
    if let Some(runtime) = runtime {
        runtime.shutdown_background();
    }
}

/// Stops the stand-in when the fault `die` is set.
async fn stop_when_killed(faults: Arc<FaultInjector>, runtime: SharedRuntime) {
    faults.wait_until_killed().await;
    stop(&runtime);
}

async fn get_faults(Extension(faults): Extension<Arc<FaultInjector>>) -> Response {
    json(&faults.get())
}

async fn set_faults(Extension(injector): Extension<Arc<FaultInjector>>, body: Bytes) -> Response {
    parse_json(&body, |faults: Faults| {
        injector.set(faults);
        StatusCode::NO_CONTENT.into_response()
    })
}

/// Handles a call at `path`, with the faults that apply to whole calls.
pub async fn with_faults(
    faults: &FaultInjector,
    path: &str,
    execute: impl FnOnce() -> Response,
) -> Response {
    faults.wait_while_paused().await;
    faults.delay().await;
    let reject = faults.take(|f| &mut f.reject, |r| path.starts_with(r.path.as_str()));
    if let Some(reject) = reject {
        return rejection(&reject);
    }
    let lose = faults.take(|f| &mut f.lose, |l| path.starts_with(l.path.as_str()));
    let Some(lose) = lose else {
        let response = execute();
        faults.wait_while_paused().await;
        return response;
    };
    if lose.effect {
        execute();
    }
    match lose.hang {
        true => pending().await,
        false => close_connection(),
    }
}

fn rejection(reject: &Reject) -> Response {
    let status = StatusCode::from_u16(reject.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    match reject.retry {
        Some(seconds) => ([(header::RETRY_AFTER, seconds.to_string())], status).into_response(),
        None => status.into_response(),
    }
}

/// Returns a response that makes the server close the connection before it sends a byte: the body
/// fails immediately, while the head is still in the server's buffer.
fn close_connection() -> Response {
    let failure = io::Error::from(io::ErrorKind::ConnectionAborted);
    Response::new(Body::from_stream(stream::iter([Err(failure.into())])))
}

/// Returns a JSON response.
pub fn json(value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("responses always serialize");
    ([(header::CONTENT_TYPE, "application/json")], body).into_response()
}

/// Parses a JSON body and executes the call; returns 400 if the body is invalid.
pub fn parse_json<T: DeserializeOwned>(
    body: &[u8],
    execute: impl FnOnce(T) -> Response,
) -> Response {
    match serde_json::from_slice(body) {
        Ok(request) => execute(request),
        Err(error) => (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    }
}
