//! A running node: the control thread, the traffic threads and the listeners.

mod control_thread;
mod serve;

use {
    crate::{
        control::{Control, membership::Leaving, moves::Moves, view::Published},
        error::{Error, Result},
        metrics::Metrics,
        platform::{http::Service, table::HttpTable},
        settings::Settings,
    },
    bilberryfront_decide::id::Incarnation,
    compact_str::{CompactString, format_compact},
    control_thread::Receivers,
    serde::Serialize,
    std::{
        io,
        net::{SocketAddr, TcpListener},
        time::Duration,
    },
    tokio::runtime,
};

/// Timeout of calls to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Printed to standard output as a line of JSON once the node listens.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Listening {
    /// Name of the instance.
    pub name: CompactString,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
}

/// State shared by the threads of a node.
#[derive(Clone)]
struct Shared {
    settings: Settings,
    control: Control,
    published: Published,
    leaving: Leaving,
    metrics: Metrics,
    /// Random; distinguishes this run of the node from all others.
    incarnation: Incarnation,
    /// Base URL of this node for callers.
    url: CompactString,
}

/// Runs a node until it has drained.
pub fn run(settings: &Settings) -> Result<()> {
    let callers = bind(settings.listen.callers)?;
    let operators = bind(settings.listen.operators)?;
    let published = Published::default();
    let (control, receiver) = Control::new(published.clone());
    let metrics =
        Metrics::start(settings.metrics.as_ref()).map_err(system_error("send metrics"))?;
    let (moves, move_receiver) = Moves::new();
    let control = control.with_moves(moves);
    let shared = Shared {
        settings: settings.clone(),
        control: control.with_metrics(metrics.clone()),
        published,
        leaving: Leaving::default(),
        metrics,
        incarnation: Incarnation(rand::random()),
        url: format_compact!("http://{}", local_address(&callers)?),
    };
    let peers =
        control_thread::start(&shared, Receivers { events: receiver, moves: move_receiver })?;
    let listening = Listening {
        name: settings.name.clone(),
        callers: local_address(&callers)?,
        operators: local_address(&operators)?,
        peers,
    };
    println!("{}", serde_json::to_string(&listening).expect("plain data serializes"));
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic.threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(system_error("start the traffic threads"))?;
    runtime.block_on(serve::run(&shared, callers, operators))
}

impl Shared {
    fn table(&self) -> HttpTable {
        HttpTable::new(Service::new(self.settings.platform.table.clone(), PLATFORM_TIMEOUT))
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    let bind_error = |source| Error::Bind { address, source };
    let listener = TcpListener::bind(address).map_err(bind_error)?;
    listener.set_nonblocking(true).map_err(system_error("configure a listener"))?;
    Ok(listener)
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().map_err(system_error("read a listener's address"))
}

fn system_error(attempt: &'static str) -> impl Fn(io::Error) -> Error {
    move |source| Error::System { attempt, source }
}
