//! The callers' HTTP face.

pub mod access;
pub mod addresses;
pub mod auth;
pub mod body;
pub mod chooser;
pub mod completions;
pub mod lease;
pub mod meter;
pub mod problem;
pub mod send;
pub mod services;
pub mod stream;
pub mod strays;
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

/// A result whose error is the answer to the caller.
pub type Result<T> = std::result::Result<T, Problem>;

/// When to come back to a node that is starting or leaving.
const REFUSED_RETRY: Duration = Duration::from_secs(1);

/// What every handler needs.
#[derive(Clone)]
pub struct Traffic {
    /// The control thread.
    pub control: Control,
    /// Model engines.
    pub engines: HttpEngines,
    /// Plain services.
    pub services: Services<HttpTable, Sender>,
    /// Seconds for which callers may keep an address answer.
    pub ttl: u32,
    /// Requests and streams under way.
    pub in_flight: Arc<AtomicUsize>,
}

impl Traffic {
    /// Counts a request as under way, if new ones are taken.
    pub fn begin_request(&self) -> Result<InFlight> {
        InFlight::new(&self.control, &self.in_flight)
    }
}

/// A request under way, until dropped.
pub struct InFlight(Arc<AtomicUsize>);

impl InFlight {
    /// Counts a request in `in_flight`, if the node takes new ones.
    pub fn new(control: &Control, in_flight: &Arc<AtomicUsize>) -> Result<InFlight> {
        // Counted before the look: the node exits only when it refuses and nothing is counted, so a
        // request that saw it accept can't be overlooked and cut.
        in_flight.fetch_add(1, Ordering::SeqCst);
        let entered = InFlight(in_flight.clone());
        let view = control.view();
        if view.accepts_requests() {
            return Ok(entered);
        }
        let detail = match view.ready {
            true => "the node is leaving: ask another for addresses",
            false => "the node is starting and has no catalogue or instance list yet",
        };
        Err(problem::with_retry_after(not_run(Kind::NotServing, detail), REFUSED_RETRY))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// All routes of the callers' face.
pub fn router(traffic: Traffic) -> Router {
    Router::new()
        .route("/healthz", get(addresses::health).fallback(strays::only_get))
        .route("/readyz", get(addresses::ready).fallback(strays::only_get))
        .route("/v1/addresses", get(addresses::list).fallback(strays::only_get))
        .route("/v1/completions", post(completions::complete).fallback(strays::only_post))
        .route("/v1/services/{*path}", any(services::call))
        .fallback(strays::not_found)
        .layer(from_fn(strays::check_headers))
        .layer(Extension(traffic))
}
