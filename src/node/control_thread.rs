//! Starts the control thread and its tasks.

use {
    super::{PLATFORM_TIMEOUT, Parts, system},
    crate::{
        catalogue::store::Store,
        control::{self, Message, membership::Membership, moves, pollers},
        error::{Error, Result},
        metrics::{Gauge, Metrics, measure_always},
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

/// What the control thread is sent.
pub(super) struct Inbox {
    /// For the core.
    pub(super) events: mpsc::UnboundedReceiver<Message>,
    /// For the mover.
    pub(super) moves: mpsc::UnboundedReceiver<moves::Message>,
}

/// Starts the control thread; returns the address at which other nodes reach this one.
pub(super) fn start(parts: &Parts, inbox: Inbox) -> Result<SocketAddr> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(system("start the control thread"))?;
    let (started, wait) = channel::channel();
    let parts = parts.clone();
    let work = move || {
        runtime.block_on(async {
            match listen(&parts.settings) {
                Ok((net, received, address)) => {
                    _ = started.send(Ok(address));
                    work(parts, inbox, net, received, address).await;
                }
                Err(error) => _ = started.send(Err(error)),
            }
        });
    };
    thread::Builder::new().name("control".into()).spawn(work).map_err(system("start a thread"))?;
    let ended = || Error::System {
        attempt: "start the control thread",
        source: io::Error::other("it ended at once"),
    };
    wait.recv().map_err(|_| ended())?
}

async fn work(
    parts: Parts,
    inbox: Inbox,
    net: PeerNet,
    received: mpsc::Receiver<Received>,
    address: SocketAddr,
) {
    let Parts { settings, control, published, .. } = &parts;
    let (lists, listed) = watch::channel(None);
    let instances = Service::new(settings.platform.instances.clone(), PLATFORM_TIMEOUT);
    tokio::spawn(pollers::poll_instances(control.clone(), lists, instances));
    tokio::spawn(pollers::poll_catalog(control.clone(), Store::new(parts.table())));
    tokio::spawn(pollers::poll_loads(control.clone()));
    tokio::spawn(measure_always(parts.metrics.clone(), {
        let net = net.clone();
        move |metrics| measure(metrics, &net)
    }));
    let task = moves::Task::new(
        mover(&parts),
        parts.table(),
        net.clone(),
        control.clone(),
        published.clone(),
    );
    tokio::spawn(task.run(inbox.moves));
    let membership = membership(&parts, net, address);
    tokio::spawn(membership.run(received, listed));
    let location =
        location::Location { region: settings.region.clone(), domain: settings.domain.clone() };
    let core = Core::new(rand::random(), location);
    control::drive(core, inbox.events, published.clone()).await;
}

fn measure(metrics: &Metrics, net: &PeerNet) {
    let counts = net.counts();
    metrics.set(Gauge::PeersSent, counts.sent);
    metrics.set(Gauge::PeersReceived, counts.received);
    metrics.set(Gauge::PeersDropped, counts.dropped);
    metrics.set(Gauge::PeersRefused, counts.refused);
}

fn membership(parts: &Parts, net: PeerNet, address: SocketAddr) -> Membership<PeerNet> {
    let settings = &parts.settings;
    let location = NodeLocation {
        domain: settings.domain.clone(),
        url: parts.url.clone(),
        peer: format_compact!("{address}"),
    };
    let life = NodeIncarnation { epoch: wall(), incarnation: parts.incarnation };
    let me = bilberryfront_decide::member::Me { name: settings.name.clone(), life, location };
    Membership {
        members: Members::new(rand::random(), Instant::now(), me),
        net,
        name: settings.name.clone(),
        drain: Drain::new(Duration::from_secs(settings.drain.ttl.into())),
        leaving: parts.leaving.clone(),
        control: parts.control.clone(),
        published: parts.published.clone(),
    }
}

fn mover(parts: &Parts) -> Mover {
    Mover::new(parts.incarnation, rand::random(), Instant::now(), wall())
}

/// Milliseconds since the Unix epoch.
fn wall() -> u64 {
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
    };
    let (net, received) = PeerNet::start(&config).map_err(refused)?;
    let address = net.address().map_err(system("read the peers' address"))?;
    Ok((net, received, address))
}

fn read(path: &Path) -> Result<Vec<u8>> {
    fs::read(path).map_err(|source| Error::Read { path: path.to_owned(), source })
}

fn refused(error: PeerError) -> Error {
    match error {
        PeerError::Listen { address, cause } => Error::Bind { address, source: cause },
        other => Error::System {
            attempt: "set up the face for other nodes",
            source: io::Error::other(other.to_string()),
        },
    }
}
