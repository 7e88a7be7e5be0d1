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
    control_thread::Inbox,
    serde::Serialize,
    std::{
        io,
        net::{SocketAddr, TcpListener},
        time::Duration,
    },
    tokio::runtime,
};

/// Longest wait for the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Written to standard output as one line of JSON when the node listens.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Listening {
    /// Name of the instance.
    pub name: CompactString,
    /// Callers' address.
    pub callers: SocketAddr,
    /// Operators' address.
    pub operators: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
}

/// What the parts of a node share.
#[derive(Clone)]
struct Parts {
    settings: Settings,
    control: Control,
    published: Published,
    leaving: Leaving,
    metrics: Metrics,
    /// Random at start: tells this life of the node from every other.
    incarnation: Incarnation,
    /// Base URL under which callers reach this node.
    url: CompactString,
}

/// Runs a node until it has left.
pub fn run(settings: &Settings) -> Result<()> {
    let callers = bind(settings.listen.callers)?;
    let operators = bind(settings.listen.operators)?;
    let published = Published::default();
    let (control, receiver) = Control::new(published.clone());
    let metrics = Metrics::start(settings.metrics.as_ref()).map_err(system("send metrics"))?;
    let (moves, wishes) = Moves::new();
    let control = control.with_moves(moves);
    let parts = Parts {
        settings: settings.clone(),
        control: control.with_metrics(metrics.clone()),
        published,
        leaving: Leaving::default(),
        metrics,
        incarnation: Incarnation(rand::random()),
        url: format_compact!("http://{}", local(&callers)?),
    };
    let peers = control_thread::start(&parts, Inbox { events: receiver, moves: wishes })?;
    let listening = Listening {
        name: settings.name.clone(),
        callers: local(&callers)?,
        operators: local(&operators)?,
        peers,
    };
    println!("{}", serde_json::to_string(&listening).expect("plain data serializes"));
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic.threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(system("start the traffic threads"))?;
    runtime.block_on(serve::run(&parts, callers, operators))
}

impl Parts {
    fn table(&self) -> HttpTable {
        HttpTable::new(Service::new(self.settings.platform.table.clone(), PLATFORM_TIMEOUT))
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    let refused = |source| Error::Bind { address, source };
    let listener = TcpListener::bind(address).map_err(refused)?;
    listener.set_nonblocking(true).map_err(system("set up a listener"))?;
    Ok(listener)
}

fn local(listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().map_err(system("read a listener's address"))
}

fn system(attempt: &'static str) -> impl Fn(io::Error) -> Error {
    move |source| Error::System { attempt, source }
}
