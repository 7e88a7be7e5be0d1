//! HTTP API for callers.

pub mod access;
pub mod addresses;
pub mod auth;
pub mod body;
pub mod chooser;
pub mod completions;
pub mod fallback;
pub mod lease;
pub mod meter;
pub mod problem;
pub mod send;
pub mod services;
pub mod stream;
pub mod upstream;

use {
    crate::{control::Control, platform::table::HttpTable},
    bilberryfront_wire::problem::Problem,
    problem::{Kind, not_run},
    send::Sender,
    services::Services,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    upstream::HttpEngines,
    volo_http::{
        server::{
            middleware::from_fn,
            route::{Router, any, get, post},
        },
        utils::Extension,
    },
};

/// A result whose error is the response to the caller.
pub type Result<T> = std::result::Result<T, Problem>;

/// `Retry-After` of a node that is starting or draining.
const NOT_SERVING_RETRY: Duration = Duration::from_secs(1);

/// State shared by all handlers.
#[derive(Clone)]
pub struct Traffic {
    /// The control thread.
    pub control: Control,
    /// Client for model engines.
    pub engines: HttpEngines,
    /// Client for plain services.
    pub services: Services<HttpTable, Sender>,
    /// Time to live of an address response, in seconds.
    pub ttl: u32,
    /// Number of requests and streams in flight.
    pub in_flight: Arc<AtomicUsize>,
}

impl Traffic {
    /// Counts a request as in flight, or rejects it if the node doesn't accept new requests.
    pub fn begin_request(&self) -> Result<InFlight> {
        InFlight::new(&self.control, &self.in_flight)
    }
}

/// A request that is counted as in flight until this guard is dropped.
pub struct InFlight(Arc<AtomicUsize>);

impl InFlight {
    /// Counts a request in `in_flight`, or rejects it if the node doesn't accept new requests.
    pub fn new(control: &Control, in_flight: &Arc<AtomicUsize>) -> Result<InFlight> {
        // Counted before the view is loaded: the node exits only when it rejects requests and the
        // count is zero, so a request that was accepted can't be missed and aborted.
        in_flight.fetch_add(1, Ordering::SeqCst);
        let guard = InFlight(in_flight.clone());
        let view = control.view();
        if view.accepts_requests() {
            return Ok(guard);
        }
        let detail = match view.ready {
            true => "the node is leaving: ask another for addresses",
            false => "the node is starting and has no catalogue or instance list yet",
        };
        Err(problem::with_retry_after(not_run(Kind::NotServing, detail), NOT_SERVING_RETRY))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the router of the API for callers.
pub fn router(traffic: Traffic) -> Router {
    Router::new()
        .route("/healthz", get(addresses::health).fallback(fallback::only_get))
        .route("/readyz", get(addresses::ready).fallback(fallback::only_get))
        .route("/v1/addresses", get(addresses::list).fallback(fallback::only_get))
        .route("/v1/completions", post(completions::complete).fallback(fallback::only_post))
        .route("/v1/services/{*path}", any(services::call))
        .fallback(fallback::not_found)
        .layer(from_fn(fallback::check_headers))
        .layer(Extension(traffic))
}
