//! Sending task of one node.

use {
    crate::{
        Received, Shared,
        codec::{Class, Frame},
        count,
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
const BACKOFF_LEAST: Duration = Duration::from_millis(100);
/// Maximum backoff.
const BACKOFF_MOST: Duration = Duration::from_secs(2);
/// Minimum age at which an outgoing connection is replaced when its node connects to this one.
/// After a restart of the node the old connection would swallow messages until it times out.
const RENEW_AGE: Duration = Duration::from_secs(1);
/// Idle time after which the link is removed.
const IDLE: Duration = Duration::from_secs(30);

/// Why a connection is unusable.
struct Unsent;

pub(super) async fn run(shared: Arc<Shared>, name: CompactString, queue: Arc<Queue>) {
    let mut sender =
        Sender { shared, name, queue, link: None, backoff: BACKOFF_LEAST, used: Instant::now() };
    while let Some(frame) = sender.next().await {
        sender.send(frame).await;
    }
    sender.finish().await;
}

struct Sender {
    shared: Arc<Shared>,
    name: CompactString,
    queue: Arc<Queue>,
    link: Option<Open>,
    backoff: Duration,
    used: Instant,
}

/// An open connection.
struct Open {
    connection: Connection,
    made: Instant,
    stream: Option<SendStream>,
    catalog: Option<JoinHandle<()>>,
}

impl Sender {
    /// Waits for the next frame while watching the connection; `None` once the queue is closed.
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
                next = timeout(IDLE, self.queue.next()) => match next {
                    Ok(next) => return next,
                    Err(_) if self.shared.forget(&self.name) => return None,
                    Err(_) => {}
                },
                reason = closed => self.closed(&reason),
                () = self.queue.announced() => self.renew(),
            }
        }
    }

    /// An idle timeout is not evidence against the node; any other error is.
    fn closed(&mut self, reason: &ConnectionError) {
        self.link = None;
        let idle =
            matches!(reason, ConnectionError::TimedOut) && self.used.elapsed() >= tls::IDLE_TIMEOUT;
        if !idle {
            self.shared.tell(Received::Broken(self.name.clone()));
        }
    }

    /// Handles an incoming connection of the node.
    fn renew(&mut self) {
        self.backoff = BACKOFF_LEAST;
        if self.link.as_ref().is_some_and(|link| link.made.elapsed() >= RENEW_AGE) {
            self.link = None;
        }
    }

    async fn send(&mut self, frame: Frame) {
        let shared = self.shared.clone();
        let sent = match self.open().await {
            Some(link) => link.send(&shared, frame).await,
            None => Err(Unsent),
        };
        self.used = Instant::now();
        match sent {
            Ok(()) => {
                count(&self.shared.counters.sent);
                self.backoff = BACKOFF_LEAST;
            }
            Err(Unsent) => self.failed().await,
        }
    }

    async fn open(&mut self) -> Option<&mut Open> {
        if self.link.as_ref().is_none_or(|l| l.connection.close_reason().is_some()) {
            let connection = self.connect().await?;
            let made = Instant::now();
            self.link = Some(Open { connection, made, stream: None, catalog: None });
        }
        self.link.as_mut()
    }

    async fn connect(&self) -> Option<Connection> {
        let Shared { endpoint, client, counters, .. } = &*self.shared;
        let connect =
            || endpoint.connect_with(client.clone(), self.queue.address(), &self.name).ok();
        // The initial packet is retransmitted only after a second, so a new handshake is faster.
        let first = tokio::select! {
            first = timeout(CONNECT_TIMEOUT, connect()?) => Some(first),
            () = self.queue.announced() => None,
        };
        let connected = match first {
            Some(first) => first,
            None => timeout(CONNECT_TIMEOUT, connect()?).await,
        };
        let connection = connected.ok()?.ok()?;
        if tls::peer_name(&connection).as_ref() != Some(&self.name) {
            count(&counters.refused);
            connection.close(VarInt::from_u32(0), b"name");
            return None;
        }
        Some(connection)
    }

    /// Waits for the backoff, with jitter.
    async fn failed(&mut self) {
        count(&self.shared.counters.dropped);
        if let Some(link) = self.link.take() {
            link.connection.close(VarInt::from_u32(0), b"stuck");
        }
        self.shared.tell(Received::Broken(self.name.clone()));
        let share = rand::rng().random_range(0.5..1.0);
        tokio::select! {
            () = tokio::time::sleep(self.backoff.mul_f64(share)) => {
                self.backoff = (self.backoff * 2).min(BACKOFF_MOST);
            }
            () = self.queue.announced() => self.backoff = BACKOFF_LEAST,
        }
    }

    /// Waits until the last message is acknowledged; the caller sets the timeout.
    async fn finish(self) {
        let Some(link) = self.link else { return };
        if let Some(stream) = link.stream {
            _ = stream.stopped().await;
        }
        if let Some(catalog) = link.catalog {
            _ = catalog.await;
        }
    }
}

impl Open {
    /// Sends small supersedable frames as datagrams and all others on their own streams, which
    /// avoids head-of-line blocking.
    async fn send(&mut self, shared: &Shared, frame: Frame) -> Result<(), Unsent> {
        match frame {
            Frame { class: Class::Catalog, .. } => self.send_catalog(shared, frame),
            Frame { datagram: true, .. } if self.fits(&frame) => {
                self.connection.send_datagram(frame.bytes).map_err(|_| Unsent)?;
            }
            frame => {
                let write = write(&self.connection, frame);
                self.stream = Some(timeout(WRITE_TIMEOUT, write).await.map_err(|_| Unsent)??);
            }
        }
        Ok(())
    }

    /// Writes a catalogue in the background; a second one is dropped meanwhile and requested again.
    fn send_catalog(&mut self, shared: &Shared, frame: Frame) {
        if self.catalog.as_ref().is_some_and(|task| !task.is_finished()) {
            return count(&shared.counters.dropped);
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

    fn fits(&self, frame: &Frame) -> bool {
        self.connection.max_datagram_size().is_some_and(|most| frame.bytes.len() <= most)
    }
}

async fn write(connection: &Connection, frame: Frame) -> Result<SendStream, Unsent> {
    let mut stream = connection.open_uni().await.map_err(|_| Unsent)?;
    stream.write_chunk(frame.bytes).await.map_err(|_| Unsent)?;
    stream.finish().map_err(|_| Unsent)?;
    Ok(stream)
}
