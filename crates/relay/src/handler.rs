//! What happens to a caller's request from its head to its flow.

use {
    crate::{
        body::Answer,
        call::{Call, Head},
        catalog::{Account, Catalog, Denied, Route},
        dialect::{Dialect, Malformed, Question},
        flow::Traffic,
        leaving::Leaving,
        lines::REFUSED,
        network::Network,
        refusal::Refusal,
        view::NodeAddress,
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode, header, request::Parts, uri::PathAndQuery},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    rand::Rng,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// How long callers may keep an address answer: short, since a node that is killed stands in the
/// answers that are out there until they lapse; each renewal costs a caller one short call.
pub const ADDRESSES_TTL: Duration = Duration::from_secs(1);
/// Type of the metrics' text.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Most addresses in an answer.
const ADDRESSES: usize = 64;
/// Longest time for which a node that has just started keeps a request until it knows the catalogue and the
/// runners. After all nodes were killed callers are there again with the first of them, and most have one
/// try left: refused in the hundredths of a second until the store has answered, they are lost.
const STARTING_WAIT: Duration = Duration::from_millis(300);
/// Part of the caller's patience up to which that may last.
const STARTING_SHARE: f64 = 0.125;
/// Time between two looks meanwhile.
const STARTING_TICK: Duration = Duration::from_millis(5);
/// When to come back to a node that has just started: it has a catalogue within half a second.
const STARTING_RETRY: Duration = Duration::from_millis(500);
/// When to come back to a node that started while the store is away. An outage lasts seconds; a caller
/// who comes back sooner has used up its tries before the system can serve it. Callers wait a third of
/// the time that they have left at most.
const CUT_OFF_RETRY: Duration = Duration::from_secs(2);
/// When to come back if this node is leaving; the caller finds another one at once.
const LEAVING_RETRY: Duration = Duration::from_millis(20);

/// The faces of a node towards callers. Clones share it.
#[derive(Clone)]
pub struct Face<D, N> {
    /// The flows of requests.
    pub traffic: Traffic<D, N>,
    /// This node's own leaving.
    pub leaving: Leaving,
    /// Longest time for which callers may keep an address answer.
    pub keep: Duration,
}

impl<D: Dialect, N: Network> Face<D, N> {
    /// Answers a request of a caller's.
    pub async fn request(&self, request: Request<Incoming>) -> Response<Answer> {
        let start = Instant::now();
        let _open = self.traffic.opened();
        let (parts, body) = request.into_parts();
        if !self.has_started() {
            self.start(&parts, start).await;
        }
        let mut response = match self.admit(&parts, start) {
            Ok(admitted) => self.take(parts, body, admitted, start).await,
            Err((refusal, id)) => self.refuse(refusal, id.as_deref()),
        };
        if self.leaving.is_leaving() {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Answers a question about this node or the others.
    pub fn question(&self, request: &Request<Incoming>) -> Response<Answer> {
        let uri = request.uri();
        match self.dialect().question(uri.path(), uri.query().unwrap_or_default()) {
            Some(Question::Ready) => status(match self.is_ready() {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            }),
            Some(Question::Addresses(_)) => self.addresses(),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    /// The metrics as text.
    pub fn metrics(&self) -> Response<Answer> {
        let text = self.traffic.metrics.text(self.traffic.open.get());
        let mut response = Response::new(Answer::from(Bytes::from(text)));
        let kind = header::HeaderValue::from_static(METRICS_TYPE);
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }

    fn dialect(&self) -> &D {
        &self.traffic.exchange.dialect
    }

    fn is_ready(&self) -> bool {
        self.traffic.published.load().catalog.is_some() && !self.leaving.is_leaving()
    }

    /// Whether this node knows enough to judge a request, or can't learn it now.
    fn has_started(&self) -> bool {
        let view = self.traffic.published.load();
        view.cut_off || (view.catalog.is_some() && self.traffic.exchange.fleet.is_known())
    }

    /// Keeps a request until this node has started, for a short while at most.
    async fn start(&self, parts: &Parts, start: Instant) {
        let patience = self.dialect().head(parts).ok().and_then(|head| head.patience);
        let share = patience.map_or(STARTING_WAIT, |patience| patience.mul_f64(STARTING_SHARE));
        let end = start + share.min(STARTING_WAIT);
        while !self.has_started() && Instant::now() < end {
            sleep(STARTING_TICK).await;
        }
    }

    fn addresses(&self) -> Response<Answer> {
        let view = self.traffic.published.load();
        let mut nodes: Vec<SocketAddr> = view.nodes.iter().map(address).collect();
        if nodes.len() > ADDRESSES {
            let start = rand::rng().random_range(0..nodes.len());
            nodes.rotate_left(start);
            nodes.truncate(ADDRESSES);
        }
        if nodes.is_empty() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let ttl = ADDRESSES_TTL.min(self.keep);
        let (kind, body) = self.dialect().addresses(&nodes, ttl);
        let mut response = Response::new(Answer::from(Bytes::from(body)));
        let kind = header::HeaderValue::from_static(kind);
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }

    fn refuse(&self, refusal: Refusal, id: Option<&str>) -> Response<Answer> {
        self.traffic.metrics.refused(refusal);
        log::warn!(request = id.unwrap_or_default(), version = self.version(); "{REFUSED}{refusal:?}");
        refusal.answer(self.dialect(), id)
    }

    fn version(&self) -> u64 {
        self.traffic.published.load().catalog.as_ref().map_or(0, |c| c.version)
    }

    /// Judges a head by the newest catalogue.
    fn admit(&self, parts: &Parts, start: Instant) -> Result<Admitted, (Refusal, Option<String>)> {
        let head = self.dialect().head(parts).map_err(|e| (malformed(e), None))?;
        let id = || Some(head.id.to_string());
        let view = self.traffic.published.load();
        let Some(catalog) = view.catalog.clone() else {
            let retry = if view.cut_off { CUT_OFF_RETRY } else { STARTING_RETRY };
            return Err((Refusal::NotRun { retry }, id()));
        };
        let admitted = catalog.admit(&head.host, parts.uri.path(), head.key.as_deref());
        let (route, account) = admitted.map_err(|denied| (denied_as(denied), id()))?;
        let deadline = start + route.timeout;
        if route.kind.is_stream() && self.leaving.outlasts_grace(deadline) {
            return Err((Refusal::NotRun { retry: LEAVING_RETRY }, id()));
        }
        Ok(Admitted { head, route, account, catalog })
    }

    async fn take(
        &self,
        parts: Parts,
        body: Incoming,
        admitted: Admitted,
        start: Instant,
    ) -> Response<Answer> {
        let Admitted { head, route, account, catalog } = admitted;
        let limit = Limited::new(body, catalog.limits.body);
        let read = tokio::time::timeout_at(start + route.timeout, limit.collect());
        let body = match read.await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                let refusal = match error.is::<LengthLimitError>() {
                    true => Refusal::BodySize,
                    false => Refusal::Malformed,
                };
                return self.refuse(refusal, Some(&head.id));
            }
            Err(_) => {
                return self.refuse(Refusal::NotRun { retry: STARTING_RETRY }, Some(&head.id));
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

/// A request that may be served.
struct Admitted {
    head: Head,
    route: Arc<Route>,
    account: Option<Arc<Account>>,
    catalog: Arc<Catalog>,
}

fn address(node: &NodeAddress) -> SocketAddr {
    node.callers
}

fn malformed(error: Malformed) -> Refusal {
    log::info!("a request can't be read: {error}");
    Refusal::Malformed
}

fn denied_as(denied: Denied) -> Refusal {
    match denied {
        Denied::Route => Refusal::NoRoute,
        Denied::Key => Refusal::NoKey,
    }
}

fn status(status: StatusCode) -> Response<Answer> {
    let mut response = Response::new(Answer::empty());
    *response.status_mut() = status;
    response
}
