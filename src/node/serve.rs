//! The HTTP servers of a node.

use {
    super::{Parts, system},
    crate::{
        catalogue::store::Store,
        error::Result,
        intents::{Intents, Limits, sweep},
        metrics::{Gauge, Metrics, flush_always, measure_always},
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

/// Longest wait for a connection to a runner.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves callers and operators until the node has left.
pub(super) async fn run(parts: &Parts, callers: TcpListener, operators: TcpListener) -> Result<()> {
    tokio::spawn(flush_always(parts.metrics.clone()));
    let traffic = traffic(parts);
    tokio::spawn(measure_always(parts.metrics.clone(), {
        let traffic = traffic.clone();
        move |metrics| measure(metrics, &traffic)
    }));
    let sweeper = sweep::sweep_all(parts.table(), {
        let control = parts.control.clone();
        move || control.view().nodes.len() as u32 + 1
    });
    tokio::spawn(sweeper);
    let face = face(parts);
    let moves = MovesApi { keys: face.keys.clone(), node: face.control.clone() };
    let router = operator::router(face).merge(operator::moves::router(moves));
    tokio::spawn(serve(parts.clone(), router, operators));
    let served = serve(parts.clone(), traffic::router(traffic), callers).await;
    parts.metrics.flush();
    served
}

fn traffic(parts: &Parts) -> Traffic {
    let mut builder = Client::builder();
    builder.set_connect_timeout(CONNECT_TIMEOUT);
    let client = builder.build().expect("the client's configuration is constant");
    Traffic {
        control: parts.control.clone(),
        engines: HttpEngines::new(client),
        services: Services {
            control: parts.control.clone(),
            intents: Intents::start(parts.table(), parts.incarnation, Limits::default()),
            sender: Sender::default(),
        },
        ttl: parts.settings.drain.ttl,
        in_flight: parts.leaving.in_flight.clone(),
    }
}

fn measure(metrics: &Metrics, traffic: &Traffic) {
    let view = traffic.control.view();
    let running: u32 = view.usage.iter().map(|(.., count)| count).sum();
    metrics.set(Gauge::Open, traffic.in_flight.load(Ordering::Relaxed) as u64);
    metrics.set(Gauge::Running, running.into());
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

fn face(parts: &Parts) -> OperatorApi<crate::platform::table::HttpTable, NodeHandle> {
    let settings = &parts.settings;
    let location = NodeLocation {
        domain: settings.domain.clone(),
        url: parts.url.clone(),
        peer: CompactString::default(),
    };
    OperatorApi {
        store: Store::new(parts.table()),
        keys: Keys::new(settings.operators.clone()),
        control: NodeHandle {
            control: parts.control.clone(),
            name: settings.name.clone(),
            incarnation: parts.incarnation,
            location,
        },
    }
}

/// Serves until the node has left.
///
/// The server takes SIGTERM itself, and 30 s later it would cut whatever still runs. It first waits
/// for its shutdown hook, though, and goes on accepting meanwhile: the hook returns when the last
/// stream has ended.
async fn serve(parts: Parts, router: Router, listener: TcpListener) -> Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener).map_err(system("listen"))?;
    let leaving = parts.leaving;
    let server = Server::new(router)
        .register_shutdown_hook(move || Box::pin(async move { leaving.leave().await }));
    let stopped = server.run(DefaultIncoming::from(listener)).await;
    stopped.map_err(|e| io::Error::other(e.to_string())).map_err(system("serve"))
}
