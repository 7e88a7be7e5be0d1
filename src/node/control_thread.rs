//! Start of the control thread and its tasks.

use {
    super::{PLATFORM_TIMEOUT, Shared, system_error},
    crate::{
        catalogue::store::Store,
        control::{self, Message, membership::Membership, moves, pollers},
        error::{Error, Result},
        metrics::{Gauge, Metrics, measure_periodically},
        peer::{PeerConfig, PeerError, PeerNet, Received},
        platform::http::Service,
        settings::Settings,
    },
    bilberryfront_decide::{
        Core, location,
        member::{
            Drain, Members,
            message::{NodeIncarnation, NodeLocation},
        },
        mover::Mover,
    },
    compact_str::format_compact,
    std::{
        fs, io,
        net::SocketAddr,
        path::Path,
        sync::mpsc as channel,
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        runtime,
        sync::{mpsc, watch},
        time::Instant,
    },
};

/// Receivers of the messages to the control thread.
pub(super) struct Receivers {
    /// Messages to the core.
    pub(super) events: mpsc::UnboundedReceiver<Message>,
    /// Messages to the mover.
    pub(super) moves: mpsc::UnboundedReceiver<moves::Message>,
}

/// Starts the control thread, and returns the address of this node for other nodes.
pub(super) fn start(shared: &Shared, receivers: Receivers) -> Result<SocketAddr> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(system_error("start the control thread"))?;
    let (started, result) = channel::channel();
    let shared = shared.clone();
    let run_thread = move || {
        runtime.block_on(async {
            match listen(&shared.settings) {
                Ok((net, received, address)) => {
                    _ = started.send(Ok(address));
                    run(shared, receivers, net, received, address).await;
                }
                Err(error) => _ = started.send(Err(error)),
            }
        });
    };
    thread::Builder::new()
        .name("control".into())
        .spawn(run_thread)
        .map_err(system_error("start a thread"))?;
    let exited = || Error::System {
        attempt: "start the control thread",
        source: io::Error::other("the thread exited before it listened for other nodes"),
    };
    result.recv().map_err(|_| exited())?
}

async fn run(
    shared: Shared,
    receivers: Receivers,
    net: PeerNet,
    received: mpsc::Receiver<Received>,
    address: SocketAddr,
) {
    let Shared { settings, control, published, .. } = &shared;
    let (list_sender, lists) = watch::channel(None);
    let instances = Service::new(settings.platform.instances.clone(), PLATFORM_TIMEOUT);
    tokio::spawn(pollers::poll_instances(control.clone(), list_sender, instances));
    tokio::spawn(pollers::poll_catalog(control.clone(), Store::new(shared.table())));
    tokio::spawn(pollers::poll_loads(control.clone()));
    tokio::spawn(measure_periodically(shared.metrics.clone(), {
        let net = net.clone();
        move |metrics| measure(metrics, &net)
    }));
    let move_task = moves::Task::new(
        mover(&shared),
        shared.table(),
        net.clone(),
        control.clone(),
        published.clone(),
    );
    tokio::spawn(move_task.run(receivers.moves));
    let membership = membership(&shared, net, address);
    tokio::spawn(membership.run(received, lists));
    let location =
        location::Location { region: settings.region.clone(), domain: settings.domain.clone() };
    let core = Core::new(rand::random(), location);
    control::drive(core, receivers.events, published.clone()).await;
}

fn measure(metrics: &Metrics, net: &PeerNet) {
    let counts = net.counts();
    metrics.set(Gauge::PeersSent, counts.sent);
    metrics.set(Gauge::PeersReceived, counts.received);
    metrics.set(Gauge::PeersDropped, counts.dropped);
    metrics.set(Gauge::PeersRefused, counts.refused);
}

fn membership(shared: &Shared, net: PeerNet, address: SocketAddr) -> Membership<PeerNet> {
    let settings = &shared.settings;
    let location = NodeLocation {
        domain: settings.domain.clone(),
        url: shared.url.clone(),
        peer: format_compact!("{address}"),
    };
    let life = NodeIncarnation { epoch: unix_millis(), incarnation: shared.incarnation };
    let me = bilberryfront_decide::member::Me { name: settings.name.clone(), life, location };
    Membership {
        members: Members::new(rand::random(), Instant::now(), me),
        net,
        name: settings.name.clone(),
        drain: Drain::new(Duration::from_secs(settings.drain.ttl.into())),
        leaving: shared.leaving.clone(),
        control: shared.control.clone(),
        published: shared.published.clone(),
    }
}

fn mover(shared: &Shared) -> Mover {
    Mover::new(shared.incarnation, rand::random(), Instant::now(), unix_millis())
}

/// Returns the milliseconds since the Unix epoch.
fn unix_millis() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.unwrap_or_default().as_millis() as u64
}

fn listen(settings: &Settings) -> Result<(PeerNet, mpsc::Receiver<Received>, SocketAddr)> {
    let tls = &settings.tls;
    let config = PeerConfig {
        name: settings.name.clone(),
        listen: settings.listen.peers,
        certificate: read(&tls.certificate)?,
        key: read(&tls.key)?,
        authority: read(&tls.authority)?,
        ephemeral: false,
    };
    let (net, received) = PeerNet::start(&config).map_err(peer_error)?;
    let address = net.address().map_err(system_error("read the address for other nodes"))?;
    Ok((net, received, address))
}

fn read(path: &Path) -> Result<Vec<u8>> {
    fs::read(path).map_err(|source| Error::Read { path: path.to_owned(), source })
}

fn peer_error(error: PeerError) -> Error {
    match error {
        PeerError::Listen { address, cause } => Error::Bind { address, source: cause },
        other => Error::System {
            attempt: "start the network to other nodes",
            source: io::Error::other(other.to_string()),
        },
    }
}
