//! The HTTP servers of a node.

use {
    super::{Shared, system_error},
    crate::{
        catalogue::store::Store,
        error::Result,
        intents::{Intents, Limits, sweep},
        metrics::{Gauge, Metrics, flush_periodically, measure_periodically},
        operator::{self, OperatorApi, control::NodeHandle, key::Keys, moves::MovesApi},
        traffic::{self, Traffic, send::Sender, services::Services, upstream::HttpEngines},
    },
    bilberryfront_decide::member::message::NodeLocation,
    compact_str::CompactString,
    std::{io, net::TcpListener, sync::atomic::Ordering, time::Duration},
    volo::net::incoming::DefaultIncoming,
    volo_http::{
        client::Client,
        server::{Server, route::Router},
    },
};

/// Maximum time to connect to a runner.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves callers and operators until the node has drained.
pub(super) async fn run(
    shared: &Shared,
    callers: TcpListener,
    operators: TcpListener,
) -> Result<()> {
    tokio::spawn(flush_periodically(shared.metrics.clone()));
    let traffic = build_traffic(shared);
    tokio::spawn(measure_periodically(shared.metrics.clone(), {
        let traffic = traffic.clone();
        move |metrics| measure(metrics, &traffic)
    }));
    let sweeper = sweep::sweep_all(shared.table(), {
        let control = shared.control.clone();
        // The view lists the other nodes; add this one.
        move || control.view().nodes.len() as u32 + 1
    });
    tokio::spawn(sweeper);
    let api = operator_api(shared);
    let moves = MovesApi { keys: api.keys.clone(), node: api.control.clone() };
    let router = operator::router(api).merge(operator::moves::router(moves));
    tokio::spawn(serve(shared.clone(), router, operators));
    let result = serve(shared.clone(), traffic::router(traffic), callers).await;
    shared.metrics.flush();
    result
}

fn build_traffic(shared: &Shared) -> Traffic {
    let mut builder = Client::builder();
    builder.set_connect_timeout(CONNECT_TIMEOUT);
    let client = builder.build().expect("the client's configuration is constant");
    Traffic {
        control: shared.control.clone(),
        engines: HttpEngines::new(client),
        services: Services {
            control: shared.control.clone(),
            intents: Intents::start(shared.table(), shared.incarnation, Limits::default()),
            sender: Sender::default(),
        },
        ttl: shared.settings.drain.ttl,
        in_flight: shared.leaving.in_flight.clone(),
    }
}

fn measure(metrics: &Metrics, traffic: &Traffic) {
    let view = traffic.control.view();
    let running: u32 = view.usage.iter().map(|(.., count)| count).sum();
    metrics.set(Gauge::Open, traffic.in_flight.load(Ordering::Relaxed) as u64);
    metrics.set(Gauge::Running, running.into());
    // The view lists the other nodes; add this one.
    metrics.set(Gauge::Nodes, view.nodes.len() as u64 + 1);
    metrics.set(Gauge::Runners, view.runners.len() as u64);
    metrics.set(Gauge::Revision, view.catalog.revision);
    let intents = &traffic.services.intents;
    let stats = intents.stats();
    metrics.set(Gauge::IntentCommits, stats.commits);
    metrics.set(Gauge::IntentRows, stats.rows);
    metrics.set(Gauge::IntentsFailed, stats.failed);
    metrics.set(Gauge::IntentsRefused, stats.refused);
    metrics.set(Gauge::IntentsUnrecorded, intents.unrecorded());
}

fn operator_api(shared: &Shared) -> OperatorApi<crate::platform::table::HttpTable, NodeHandle> {
    let settings = &shared.settings;
    let location = NodeLocation {
        domain: settings.domain.clone(),
        url: shared.url.clone(),
        peer: CompactString::default(),
    };
    OperatorApi {
        store: Store::new(shared.table()),
        keys: Keys::new(settings.operators.clone()),
        control: NodeHandle {
            control: shared.control.clone(),
            name: settings.name.clone(),
            incarnation: shared.incarnation,
            location,
        },
    }
}

/// Serves until the node has drained.
///
/// The HTTP server handles SIGTERM itself: it continues to accept connections until its shutdown hook
/// returns, then stops accepting, and 30 s later aborts the requests that still run. The hook
/// therefore returns only when the last stream has ended.
async fn serve(shared: Shared, router: Router, listener: TcpListener) -> Result<()> {
    // The socket listens already; this fails if it can't be registered with the runtime.
    let listener = tokio::net::TcpListener::from_std(listener).map_err(system_error("listen"))?;
    let leaving = shared.leaving;
    let server = Server::new(router)
        .register_shutdown_hook(move || Box::pin(async move { leaving.leave().await }));
    let result = server.run(DefaultIncoming::from(listener)).await;
    result.map_err(|e| io::Error::other(e.to_string())).map_err(system_error("serve"))
}
