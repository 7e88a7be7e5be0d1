//! Request handling: decoding, admission and dispatch.

use {
    crate::{
        body::ResponseBody,
        call::{Call, Head},
        catalog::{Account, Catalog, Denied, Route},
        dialect::{Dialect, Malformed, Query},
        drain::{DRAINING_ADDRESSES_TTL, DRAINING_RETRY, Drain},
        flow::Traffic,
        log_messages::REJECTED,
        network::Network,
        rejection::Rejection,
        view::NodeAddress,
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode, header, request::Parts, uri::PathAndQuery},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    rand::Rng,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::Notify,
        time::{Instant, sleep},
    },
};

/// Time to live of an address response; short, because callers keep using the address of a crashed
/// node until it expires.
pub const ADDRESSES_TTL: Duration = Duration::from_secs(1);
/// Content type of the metrics.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;
/// Maximum time for which a request waits while the node loads the catalogue and the runners. After
/// an outage of all nodes most callers have a single retry left, which would otherwise be rejected.
const STARTING_WAIT: Duration = Duration::from_millis(300);
/// Upper bound of [`STARTING_WAIT`] as a share of the caller's timeout.
const STARTING_SHARE: f64 = 0.125;
/// Interval at which a waiting request checks whether the node has started.
const STARTING_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// `Retry-After` while the node is starting.
const STARTING_RETRY: Duration = Duration::from_millis(500);
/// `Retry-After` while the store is unavailable at the start; long enough that the few retries of a
/// caller outlast a short outage.
const CUT_OFF_RETRY: Duration = Duration::from_secs(2);
/// Time that a call needs at least; a draining node rejects calls for which less is left.
const MIN_CALL_TIME: Duration = Duration::from_millis(200);
/// Range of the random part of `Retry-After` while no node is ready, so that not all rejected callers
/// return to the first one at the same time.
const DRAINING_RETRY_JITTER: Duration = Duration::from_millis(250);

/// Handler of callers' requests and queries. Clones share their state.
#[derive(Clone)]
pub struct Handler<D, N> {
    /// State of the request flows.
    pub traffic: Traffic<D, N>,
    /// Drain state.
    pub drain: Drain,
    /// Notified when a request waits for the catalogue or the runners.
    pub demand: Arc<Notify>,
    /// Maximum time to live of an address response.
    pub max_addresses_ttl: Duration,
}

impl<D: Dialect, N: Network> Handler<D, N> {
    /// Handles a request of a caller.
    pub async fn handle_request(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let start = Instant::now();
        let _open = self.traffic.track_in_flight();
        let (parts, body) = request.into_parts();
        if !self.has_started() {
            self.wait_until_started(&parts, start).await;
        }
        let mut response = match self.admit(&parts, start) {
            Ok(admitted) => self.read_and_serve(parts, body, admitted, start).await,
            Err((rejection, id)) => self.reject(rejection, id.as_deref()),
        };
        // Callers of a partitioned node get the addresses of others when they connect again.
        if self.drain.is_draining() || self.traffic.client.fleet.is_confirmed_partitioned() {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Handles a query about this node.
    pub fn handle_query(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        let uri = request.uri();
        match self.dialect().parse_query(uri.path(), uri.query().unwrap_or_default()) {
            Some(Query::Ready) => status(match self.is_ready() {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            }),
            Some(Query::Addresses(_)) => self.addresses(),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    /// Handles a metrics scrape.
    pub fn handle_metrics(&self) -> Response<ResponseBody> {
        self.traffic.metrics.set_quarantined(self.traffic.quarantine.len());
        self.traffic.metrics.set_paces(&self.traffic.client.fleet.paces());
        let text = self.traffic.metrics.encode(self.traffic.in_flight.get());
        let mut response = Response::new(ResponseBody::from(Bytes::from(text)));
        let kind = header::HeaderValue::from_static(METRICS_CONTENT_TYPE);
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }

    fn dialect(&self) -> &D {
        &self.traffic.client.dialect
    }

    fn is_ready(&self) -> bool {
        self.traffic.published.load().catalog.is_some() && !self.drain.is_draining()
    }

    /// Returns whether the node has loaded the catalogue and the runners, or cannot load them now.
    fn has_started(&self) -> bool {
        let view = self.traffic.published.load();
        view.cut_off || (view.catalog.is_some() && self.traffic.client.fleet.is_loaded())
    }

    /// Waits until the node has loaded the catalogue and the runners, up to [`STARTING_WAIT`].
    async fn wait_until_started(&self, parts: &Parts, start: Instant) {
        let timeout = self.dialect().parse_request(parts).ok().and_then(|head| head.timeout);
        let share = timeout.map_or(STARTING_WAIT, |timeout| timeout.mul_f64(STARTING_SHARE));
        let end = start + share.min(STARTING_WAIT);
        self.demand.notify_one();
        while !self.has_started() && Instant::now() < end {
            sleep(STARTING_POLL_INTERVAL).await;
        }
    }

    fn addresses(&self) -> Response<ResponseBody> {
        let view = self.traffic.published.load();
        let nodes = self.traffic.client.fleet.connected_nodes(&view.nodes);
        let mut nodes: Vec<SocketAddr> = nodes.into_iter().map(address).collect();
        if nodes.len() > MAX_ADDRESSES {
            let start = rand::rng().random_range(0..nodes.len());
            nodes.rotate_left(start);
            nodes.truncate(MAX_ADDRESSES);
        }
        if nodes.is_empty() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let ttl = if view.next_ready.is_some() { DRAINING_ADDRESSES_TTL } else { ADDRESSES_TTL };
        let ttl = ttl.min(self.max_addresses_ttl);
        let (kind, body) = self.dialect().addresses(&nodes, ttl);
        let mut response = Response::new(ResponseBody::from(Bytes::from(body)));
        let kind = header::HeaderValue::from_static(kind);
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }

    fn reject(&self, rejection: Rejection, id: Option<&str>) -> Response<ResponseBody> {
        self.traffic.metrics.count_rejection(rejection);
        log::warn!(request = id.unwrap_or_default(), version = self.version(); "{REJECTED}{rejection:?}");
        rejection.into_response(self.dialect(), id)
    }

    fn version(&self) -> u64 {
        self.traffic.published.load().catalog.as_ref().map_or(0, |c| c.version)
    }

    /// Admits a request by the current catalogue.
    fn admit(
        &self,
        parts: &Parts,
        start: Instant,
    ) -> Result<Admitted, (Rejection, Option<String>)> {
        let mut head = self.dialect().parse_request(parts).map_err(|e| (malformed(e), None))?;
        let id = || Some(head.id.to_string());
        let view = self.traffic.published.load();
        let Some(catalog) = view.catalog.clone() else {
            let retry = if view.cut_off { CUT_OFF_RETRY } else { STARTING_RETRY };
            return Err((Rejection::NotRun { retry }, id()));
        };
        let admitted = catalog.admit(&head.host, parts.uri.path(), head.key.as_deref());
        let (route, account) = admitted.map_err(|denied| (rejection_of(denied), id()))?;
        let is_rejected = match self.drain.time_left() {
            None => false,
            Some(_) if route.kind.is_stream() => self.drain.outlives_grace(start + route.timeout),
            // The caller gets a response before this process exits, if not the runner's.
            Some(left) => {
                head.timeout = Some(head.timeout.unwrap_or(route.timeout).min(left));
                left < MIN_CALL_TIME
            }
        };
        if is_rejected {
            let jitter = || DRAINING_RETRY_JITTER.mul_f64(rand::rng().random());
            let wait = view.next_ready.map(|at| at.saturating_duration_since(start) + jitter());
            let retry = wait.unwrap_or(DRAINING_RETRY);
            return Err((Rejection::NotRun { retry }, id()));
        }
        Ok(Admitted { head, route, account, catalog })
    }

    async fn read_and_serve(
        &self,
        parts: Parts,
        body: Incoming,
        admitted: Admitted,
        start: Instant,
    ) -> Response<ResponseBody> {
        let Admitted { head, route, account, catalog } = admitted;
        let limit = Limited::new(body, catalog.limits.body);
        let read = tokio::time::timeout_at(start + route.timeout, limit.collect());
        let body = match read.await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                let rejection = match error.is::<LengthLimitError>() {
                    true => Rejection::BodySize,
                    false => Rejection::Malformed,
                };
                return self.reject(rejection, Some(&head.id));
            }
            Err(_) => {
                return self.reject(Rejection::NotRun { retry: STARTING_RETRY }, Some(&head.id));
            }
        };
        let path = parts.uri.path_and_query().cloned();
        let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
        let service = route.target(rand::rng().random()).clone();
        let method = parts.method;
        let version = None;
        let call = Call { head, method, path, body, route, account, start, service, version };
        self.traffic.serve(call).await
    }
}

/// Head of an admitted request, with its route.
struct Admitted {
    head: Head,
    route: Arc<Route>,
    account: Option<Arc<Account>>,
    catalog: Arc<Catalog>,
}

fn address(node: &NodeAddress) -> SocketAddr {
    node.callers
}

fn malformed(error: Malformed) -> Rejection {
    log::info!("malformed request: {error}");
    Rejection::Malformed
}

fn rejection_of(denied: Denied) -> Rejection {
    match denied {
        Denied::Route => Rejection::NoRoute,
        Denied::Key => Rejection::NoKey,
    }
}

fn status(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::empty());
    *response.status_mut() = status;
    response
}
