//! Task that sends the queued frames to one node.

use {
    crate::{
        Received, Shared,
        codec::{Class, Frame},
        increment,
        queue::Queue,
        tls,
    },
    compact_str::CompactString,
    quinn::{Connection, ConnectionError, SendStream, VarInt},
    rand::Rng,
    std::{sync::Arc, time::Duration},
    tokio::{
        task::JoinHandle,
        time::{Instant, timeout},
    },
};

/// Handshake timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Write timeout of a control message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Write timeout of a catalogue.
const CATALOG_TIMEOUT: Duration = Duration::from_secs(10);
/// Initial backoff; doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Minimum age at which an outgoing connection is replaced when its node connects to this one and its
/// certificate doesn't tell whether it has restarted.
const MIN_RENEW_AGE: Duration = Duration::from_secs(1);
/// Idle time after which the link is removed.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The frame could not be sent and the connection is unusable.
struct SendFailed;

pub(super) async fn run(shared: Arc<Shared>, name: CompactString, queue: Arc<Queue>) {
    let mut sender = Sender {
        shared,
        name,
        queue,
        link: None,
        backoff: INITIAL_BACKOFF,
        last_used: Instant::now(),
    };
    while let Some(frame) = sender.next().await {
        sender.send(frame).await;
    }
    sender.flush().await;
}

struct Sender {
    shared: Arc<Shared>,
    name: CompactString,
    queue: Arc<Queue>,
    link: Option<OpenConnection>,
    backoff: Duration,
    last_used: Instant,
}

/// An open connection.
struct OpenConnection {
    connection: Connection,
    opened_at: Instant,
    stream: Option<SendStream>,
    catalog: Option<JoinHandle<()>>,
}

impl Sender {
    /// Waits for the next frame and handles events of the connection meanwhile; `None` once the queue
    /// is closed or the link was idle.
    async fn next(&mut self) -> Option<Frame> {
        loop {
            let link = self.link.as_ref().map(|l| l.connection.clone());
            let closed = async {
                match link {
                    Some(connection) => connection.closed().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                next = timeout(LINK_IDLE_TIMEOUT, self.queue.next()) => match next {
                    Ok(next) => return next,
                    Err(_) if self.shared.remove_idle_link(&self.name) => return None,
                    Err(_) => {}
                },
                reason = closed => self.handle_close(&reason),
                () = self.queue.incoming() => self.renew(),
            }
        }
    }

    /// Reports a failed connection. A connection that times out after no frame was sent on it for
    /// that time says nothing about the node and is not reported.
    fn handle_close(&mut self, reason: &ConnectionError) {
        self.link = None;
        let idle = matches!(reason, ConnectionError::TimedOut)
            && self.last_used.elapsed() >= tls::IDLE_TIMEOUT;
        if !idle {
            self.shared.try_emit(Received::Broken(self.name.clone()));
        }
    }

    /// Drops the outgoing connection if the node, which has connected to this one, may have restarted:
    /// messages on the old connection would be lost until it times out.
    fn renew(&mut self) {
        self.backoff = INITIAL_BACKOFF;
        let may_be_restarted = |link: &OpenConnection| match self.shared.ephemeral {
            true => tls::peer_certificate(&link.connection) != self.queue.certificate(),
            false => link.opened_at.elapsed() >= MIN_RENEW_AGE,
        };
        if self.link.as_ref().is_some_and(may_be_restarted) {
            self.link = None;
        }
    }

    async fn send(&mut self, frame: Frame) {
        let shared = self.shared.clone();
        let sent = match self.connection().await {
            Some(link) => link.send(&shared, frame).await,
            None => Err(SendFailed),
        };
        self.last_used = Instant::now();
        match sent {
            Ok(()) => {
                increment(&self.shared.counters.sent);
                self.backoff = INITIAL_BACKOFF;
            }
            Err(SendFailed) => self.back_off().await,
        }
    }

    /// Returns the open connection, or connects if there is none.
    async fn connection(&mut self) -> Option<&mut OpenConnection> {
        if self.link.as_ref().is_none_or(|l| l.connection.close_reason().is_some()) {
            let connection = self.connect().await?;
            let opened_at = Instant::now();
            self.link = Some(OpenConnection { connection, opened_at, stream: None, catalog: None });
        }
        self.link.as_mut()
    }

    async fn connect(&self) -> Option<Connection> {
        let Shared { endpoint, client, counters, .. } = &*self.shared;
        let connect =
            || endpoint.connect_with(client.clone(), self.queue.address(), &self.name).ok();
        // QUIC retransmits the initial packet only after a second. If the node connects to this one
        // meanwhile, it can be reached now, and a new handshake is faster.
        let first = tokio::select! {
            first = timeout(CONNECT_TIMEOUT, connect()?) => Some(first),
            () = self.queue.incoming() => None,
        };
        let connected = match first {
            Some(first) => first,
            None => timeout(CONNECT_TIMEOUT, connect()?).await,
        };
        let connection = connected.ok()?.ok()?;
        let certificate = tls::peer_certificate(&connection);
        if certificate.and_then(|c| tls::first_dns_name(&c)).as_ref() != Some(&self.name) {
            increment(&counters.refused);
            connection.close(VarInt::from_u32(0), b"name");
            return None;
        }
        increment(&counters.connected);
        Some(connection)
    }

    /// Closes the connection, reports it as failed and waits for the backoff, with jitter.
    async fn back_off(&mut self) {
        increment(&self.shared.counters.dropped);
        if let Some(link) = self.link.take() {
            link.connection.close(VarInt::from_u32(0), b"stuck");
        }
        self.shared.try_emit(Received::Broken(self.name.clone()));
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::select! {
            () = tokio::time::sleep(self.backoff.mul_f64(jitter)) => {
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
            () = self.queue.incoming() => self.backoff = INITIAL_BACKOFF,
        }
    }

    /// Waits until the last message and a catalogue in transfer are acknowledged; the caller sets the
    /// timeout.
    async fn flush(self) {
        let Some(link) = self.link else { return };
        if let Some(stream) = link.stream {
            _ = stream.stopped().await;
        }
        if let Some(catalog) = link.catalog {
            _ = catalog.await;
        }
    }
}

impl OpenConnection {
    /// Sends a frame as a datagram if its kind permits it and it fits. All others get a stream of
    /// their own, which avoids head-of-line blocking.
    async fn send(&mut self, shared: &Shared, frame: Frame) -> Result<(), SendFailed> {
        match frame {
            Frame { class: Class::Catalog, .. } => self.send_catalog(shared, frame),
            Frame { datagram: true, .. } if self.fits_datagram(&frame) => {
                self.connection.send_datagram(frame.bytes).map_err(|_| SendFailed)?;
            }
            frame => {
                let write = write(&self.connection, frame);
                self.stream = Some(timeout(WRITE_TIMEOUT, write).await.map_err(|_| SendFailed)??);
            }
        }
        Ok(())
    }

    /// Writes a catalogue in the background. Another one is dropped until then; its receiver requests
    /// it again.
    fn send_catalog(&mut self, shared: &Shared, frame: Frame) {
        if self.catalog.as_ref().is_some_and(|task| !task.is_finished()) {
            return increment(&shared.counters.dropped);
        }
        let connection = self.connection.clone();
        let write = async move {
            if let Ok(stream) = write(&connection, frame).await {
                _ = stream.stopped().await;
            }
        };
        self.catalog = Some(tokio::spawn(async move {
            _ = timeout(CATALOG_TIMEOUT, write).await;
        }));
    }

    fn fits_datagram(&self, frame: &Frame) -> bool {
        self.connection.max_datagram_size().is_some_and(|limit| frame.bytes.len() <= limit)
    }
}

async fn write(connection: &Connection, frame: Frame) -> Result<SendStream, SendFailed> {
    let mut stream = connection.open_uni().await.map_err(|_| SendFailed)?;
    stream.write_chunk(frame.bytes).await.map_err(|_| SendFailed)?;
    stream.finish().map_err(|_| SendFailed)?;
    Ok(stream)
}
