//! Process of a node: the control thread, the traffic thread and the listeners.

use {
    crate::{
        budget::Budgets,
        control,
        dialect::Dialect,
        drain::{Closing, Drain},
        flow::Traffic,
        handler::{ADDRESSES_TTL, Handler},
        load_sync::{self, Channels},
        log_messages::SERVING,
        metrics::Metrics,
        network::Transport,
        records::Records,
        rollouts::trial::TrialReporter,
        server::{self, Purpose},
        settings::Settings,
        store::Store,
        tunnel::{self, Tunnels},
        view::{Published, Registration},
    },
    compact_str::CompactString,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, mpsc},
        thread,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        runtime::{Builder, Runtime},
        signal::unix::{SignalKind, signal},
        sync::{Notify, mpsc::unbounded_channel, oneshot, watch},
        task::LocalSet,
        time::{Instant, sleep},
    },
};

/// Result with a [`NodeError`].
pub type Result<T> = std::result::Result<T, NodeError>;

/// Interval at which a draining node checks for open connections.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for sending the leave message.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(250);

/// Why a node cannot run.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum NodeError {
    /// Cannot bind an address.
    #[error("cannot listen on {address}")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A system call failed.
    #[error("cannot {attempt}")]
    System {
        /// Operation.
        attempt: &'static str,
        /// Cause.
        source: io::Error,
    },
}

/// Runs a node until it has drained. `store` creates the store client on the control thread.
pub fn run<D, R, S>(
    settings: &Settings,
    dialect: D,
    records: R,
    store: impl FnOnce() -> S + Send + 'static,
) -> Result<()>
where
    D: Dialect,
    R: Records + Send,
    S: Store,
{
    let published = Published::default();
    let drain = Drain::new(settings.bounds.grace());
    let (end, ended) = oneshot::channel::<()>();
    let (done, finished) = mpsc::channel::<()>();
    let (load_sender, load_receiver) = unbounded_channel();
    let (trial_sender, trial_receiver) = unbounded_channel();
    let (report_sender, report_receiver) = unbounded_channel();
    let metrics = Metrics::default();
    let demand = Arc::new(Notify::new());
    let tunnels = Tunnels::default();
    let work = {
        let (metrics, signal) = (metrics.clone(), demand.clone());
        let (settings, published, drain) = (settings.clone(), published.clone(), drain.clone());
        let tunnels = tunnels.clone();
        let runtime = runtime()?;
        move || {
            let shutdown = async move { _ = ended.await };
            let channels = control::Channels {
                updates: load_receiver,
                trials: trial_receiver,
                peer_reports: report_sender,
                demand: signal,
                metrics,
                tunnels,
            };
            let control =
                control::run(settings, records, store(), published, drain, channels, shutdown);
            LocalSet::new().block_on(&runtime, control);
            drop(done);
        }
    };
    thread::Builder::new()
        .name("control".into())
        .spawn(work)
        .map_err(system("start the control thread"))?;
    let bounds = &settings.bounds;
    let network = Transport { tunnels: tunnels.clone() };
    let mut traffic = Traffic::new(
        dialect,
        network,
        published,
        bounds.retry_allowance(),
        bounds.exposure_bound(),
    );
    traffic.client.fleet.set_domain(&settings.domain);
    traffic.client.fleet.set_reuse_delay(bounds.reuse_delay());
    traffic.trials = Some(TrialReporter::new(trial_sender, &metrics));
    traffic.admission.policy = settings.admission.policy();
    if !settings.bootstrap {
        traffic.budgets = Budgets::restarted(bounds.retry_allowance());
    }
    traffic.set_metrics(&metrics);
    let handler =
        Handler { traffic, drain, demand, max_addresses_ttl: settings.bounds.max_addresses_ttl() };
    LocalSet::new().block_on(
        &runtime()?,
        serve(settings, handler, Channels { updates: load_sender, peer_reports: report_receiver }),
    )?;
    _ = end.send(());
    // Nothing is sent; the channel disconnects when the control thread ends.
    _ = finished.recv_timeout(LEAVE_TIMEOUT);
    log::info!("stopped");
    Ok(())
}

async fn serve<D: Dialect>(
    settings: &Settings,
    handler: Handler<D, Transport>,
    channels: Channels,
) -> Result<()> {
    let (close, closed) = watch::channel(false);
    let start = |address, purpose| {
        let listener = listen(address)?;
        let serve = server::serve(listener, purpose, handler.clone(), closed.clone());
        _ = tokio::task::spawn_local(serve);
        Ok(())
    };
    start(settings.listen.health, Purpose::Queries)?;
    start(settings.listen.addresses, Purpose::Queries)?;
    start(settings.listen.callers, Purpose::Requests)?;
    if let Some(address) = settings.listen.metrics {
        start(address, Purpose::Metrics)?;
    }
    let name = settings.name.clone();
    tokio::task::spawn_local(apply_views(handler.traffic.clone(), name));
    let fleet = handler.traffic.client.fleet.clone();
    let budgets = handler.traffic.budgets.clone();
    let quarantine = handler.traffic.quarantine.clone();
    let admission = handler.traffic.admission.clone();
    let throttles = handler.traffic.throttles.clone();
    let sync = load_sync::sync(fleet, budgets, admission, quarantine, throttles, channels);
    tokio::task::spawn_local(sync);
    tokio::task::spawn_local(handle_signals(handler.drain.clone()));
    tokio::task::spawn_local(tunnel::serve(handler.traffic.clone()));
    let client = handler.traffic.client.clone();
    tokio::task::spawn_local(
        async move { tokio::join!(client.recover(), client.check_suspected()) },
    );
    log::info!(name = settings.name.as_str(), domain = settings.domain.as_str(),
        callers:% = settings.listen.callers; "{SERVING}");
    let at = handler.drain.started().await;
    handler.traffic.admission.close();
    wait_drained(&handler, &settings.name, at, &close).await;
    Ok(())
}

/// Applies published views to the fleet.
async fn apply_views<D: Dialect>(traffic: Traffic<D, Transport>, name: CompactString) {
    let mut signal = traffic.published.watch();
    let mut applied: Option<Arc<Vec<Registration>>> = None;
    loop {
        let view = traffic.published.load();
        traffic.client.fleet.set_scope(view.scope);
        traffic.client.fleet.set_nodes(&name, &view.nodes);
        let is_applied =
            applied.as_ref().is_some_and(|runners| Arc::ptr_eq(runners, &view.runners));
        if view.listed && !is_applied {
            traffic.client.fleet.update(&view.runners);
            applied = Some(view.runners.clone());
        }
        if signal.changed().await.is_err() {
            return;
        }
    }
}

async fn handle_signals(drain: Drain) {
    let handlers = (signal(SignalKind::terminate()), signal(SignalKind::hangup()));
    let (Ok(mut terminate), Ok(mut hangup)) = handlers else {
        return log::error!("cannot install signal handlers: graceful shutdown is unavailable");
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => drain.start(),
            _ = hangup.recv() => log::info!("SIGHUP: the settings are read at the next start"),
        }
    }
}

/// Waits until the node may exit: it accepts connections until no caller needs it, and closes them once
/// they are idle, at most until the kill deadline.
async fn wait_drained<D: Dialect>(
    handler: &Handler<D, Transport>,
    name: &str,
    at: Instant,
    close: &watch::Sender<bool>,
) {
    let end = handler.drain.kill_deadline(at);
    wait_unused(handler, name, at).await;
    close.send_replace(true);
    let traffic = &handler.traffic;
    let is_open = || traffic.in_flight.get() > 0 || traffic.connections.get() > 0;
    while is_open() && Instant::now() < end {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    // Leaves time to send the last responses, which the sockets still buffer.
    sleep(DRAIN_POLL_INTERVAL).await;
    let open = traffic.in_flight.get();
    log::info!(open = open as u64, after = at.elapsed().as_millis() as u64; "drained");
}

/// Waits until no request is in flight and the address responses that list this node have expired, at
/// most until the accept deadline.
async fn wait_unused<D: Dialect>(handler: &Handler<D, Transport>, name: &str, at: Instant) {
    let ttl = ADDRESSES_TTL.min(handler.max_addresses_ttl);
    let mut closing = Closing::new(&handler.drain, at, ttl);
    let is_due = |closing: &mut Closing| {
        let is_listed = handler.traffic.published.load().lists_draining(name);
        closing.is_due(Instant::now(), is_listed, handler.traffic.in_flight.get() == 0)
    };
    while !is_due(&mut closing) {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener> {
    server::listen(address).map_err(|source| NodeError::Listen { address, source })
}

fn runtime() -> Result<Runtime> {
    Builder::new_current_thread().enable_all().build().map_err(system("start a runtime"))
}

fn system(attempt: &'static str) -> impl Fn(io::Error) -> NodeError {
    move |source| NodeError::System { attempt, source }
}
