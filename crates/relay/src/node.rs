//! An entry instance: the control thread, the traffic thread and the listeners.

use {
    crate::{
        control::{self, Ends},
        dialect::Dialect,
        face::{ADDRESSES_TTL, Face},
        flow::Traffic,
        leaving::Leaving,
        lines::SERVES,
        loads::{self, Channels},
        metrics::Metrics,
        network::Tcp,
        records::Records,
        server::{self, Purpose},
        settings::Settings,
        store::Store,
        view::Published,
    },
    std::{io, net::SocketAddr, sync::mpsc, thread, time::Duration},
    tokio::{
        net::TcpListener,
        runtime::{Builder, Runtime},
        signal::unix::{SignalKind, signal},
        sync::{mpsc::unbounded_channel, oneshot, watch},
        task::LocalSet,
        time::{Instant, sleep, sleep_until},
    },
};

/// A result whose error is a [`NodeError`].
pub type Result<T> = std::result::Result<T, NodeError>;

/// Time between two looks at whether the last answer has ended.
const DRAIN_TICK: Duration = Duration::from_millis(50);
/// Longest wait for the control thread to say goodbye.
const GOODBYE: Duration = Duration::from_millis(250);

/// Why an instance can't run.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum NodeError {
    /// An address can't be listened on.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's answer.
        source: io::Error,
    },
    /// A system call failed that seldom does.
    #[error("cannot {attempt}")]
    System {
        /// What was tried.
        attempt: &'static str,
        /// The system's answer.
        source: io::Error,
    },
}

/// Runs an instance until it has left. `store` makes a client of the platform's store, on the control
/// thread.
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
    let leaving = Leaving::new(settings.bounds.grace());
    let (end, ended) = oneshot::channel::<()>();
    let (done, finished) = mpsc::channel::<()>();
    let (told, telling) = unbounded_channel();
    let (trials, tried) = unbounded_channel();
    let (hearing, heard) = unbounded_channel();
    let metrics = Metrics::default();
    let work = {
        let metrics = metrics.clone();
        let (settings, published, leaving) = (settings.clone(), published.clone(), leaving.clone());
        let runtime = runtime()?;
        move || {
            let gone = async move { _ = ended.await };
            let ends = Ends { told: telling, trials: tried, heard: hearing, metrics };
            let control = control::run(settings, records, store(), published, leaving, ends, gone);
            LocalSet::new().block_on(&runtime, control);
            drop(done);
        }
    };
    thread::Builder::new()
        .name("control".into())
        .spawn(work)
        .map_err(system("start the control thread"))?;
    let bounds = &settings.bounds;
    let mut traffic = Traffic::new(dialect, Tcp, published, bounds.allowance(), bounds.exposure());
    traffic.exchange.fleet.set_domain(&settings.domain);
    traffic.trials = Some(trials.clone());
    traffic.set_metrics(&metrics);
    let face = Face { traffic, leaving, keep: settings.bounds.keep() };
    LocalSet::new()
        .block_on(&runtime()?, serve(settings, face, Channels { told, trials, heard }))?;
    _ = end.send(());
    // Ends with an error in any case: nothing is ever sent.
    _ = finished.recv_timeout(GOODBYE);
    log::info!("the instance has left");
    Ok(())
}

async fn serve<D: Dialect>(
    settings: &Settings,
    face: Face<D, Tcp>,
    channels: Channels,
) -> Result<()> {
    let (close, closed) = watch::channel(false);
    let start = |address, purpose| {
        let listener = listen(address)?;
        let serve = server::serve(listener, purpose, face.clone(), closed.clone());
        _ = tokio::task::spawn_local(serve);
        Ok(())
    };
    start(settings.listen.health, Purpose::Questions)?;
    start(settings.listen.addresses, Purpose::Questions)?;
    start(settings.listen.callers, Purpose::Requests)?;
    if let Some(address) = settings.listen.metrics {
        start(address, Purpose::Metrics)?;
    }
    tokio::task::spawn_local(take_runners(face.traffic.clone()));
    let fleet = face.traffic.exchange.fleet.clone();
    tokio::task::spawn_local(loads::exchange(fleet, channels));
    tokio::task::spawn_local(signals(face.leaving.clone()));
    log::info!(name = settings.name.as_str(), domain = settings.domain.as_str(),
        callers:% = settings.listen.callers; "{SERVES}");
    let at = face.leaving.ordered().await;
    drain(&face, at, &close).await;
    Ok(())
}

/// Keeps the fleet as the control thread has published it.
async fn take_runners<D: Dialect>(traffic: Traffic<D, Tcp>) {
    let mut signal = traffic.published.watch();
    loop {
        let view = traffic.published.load();
        if view.listed {
            traffic.exchange.fleet.update(&view.runners);
        }
        if signal.changed().await.is_err() {
            return;
        }
    }
}

async fn signals(leaving: Leaving) {
    let handlers = (signal(SignalKind::terminate()), signal(SignalKind::hangup()));
    let (Ok(mut terminate), Ok(mut hangup)) = handlers else {
        return log::error!("signals can't be taken: the instance can't leave in order");
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => leaving.order(),
            _ = hangup.recv() => log::info!("SIGHUP: the settings are read at the next start"),
        }
    }
}

/// Waits until callers have forgotten this node and the last answer has ended, or the grace is over.
async fn drain<D: Dialect>(face: &Face<D, Tcp>, at: Instant, close: &watch::Sender<bool>) {
    let end = face.leaving.end(at);
    let forgotten = Leaving::forgotten(at, ADDRESSES_TTL.min(face.keep)).min(end);
    sleep_until(forgotten).await;
    close.send_replace(true);
    while face.traffic.open.get() > 0 && Instant::now() < end {
        sleep(DRAIN_TICK).await;
    }
    // The last answers are written out.
    sleep(DRAIN_TICK).await;
    let open = face.traffic.open.get();
    log::info!(open = open as u64, after = at.elapsed().as_millis() as u64; "drained");
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
