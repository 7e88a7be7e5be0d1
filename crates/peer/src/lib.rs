//! Peer transport: QUIC with mutual TLS 1.3.
//!
//! Each node dials the nodes it sends to. Delivery is at most once: frames that cannot be sent soon
//! are dropped and counted, as every message is repeated or requested again.

pub mod codec;
mod queue;
mod receiver;
mod sender;
pub mod tls;

use {
    self::{
        codec::{Class, Frame},
        queue::Queue,
        tls::Identity,
    },
    bilberryfront_decide::member::{PeerMessage, Target},
    compact_str::CompactString,
    quinn::{Endpoint, VarInt},
    rustc_hash::{FxHashMap, FxHashSet},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::mpsc, task::JoinHandle},
};

/// A result whose error is a [`PeerError`].
pub type Result<T> = std::result::Result<T, PeerError>;

/// Capacity of the event queue; further events are dropped and counted.
const EVENTS: usize = 1_024;
/// Timeout for flushing on close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the transport cannot start.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PeerError {
    /// Incomplete PEM file.
    #[error("{part}: {cause}")]
    Pem {
        /// `certificate`, `key` or `authority`.
        part: &'static str,
        /// Cause.
        cause: String,
    },
    /// Certificate and key do not match, or the authority is unusable.
    #[error("the peer certificate can't be used: {0}")]
    Tls(String),
    /// Certificate of another node.
    #[error("the peer certificate is for {found:?}, but this node is {name:?}")]
    Name {
        /// Node name in the settings.
        name: CompactString,
        /// First DNS name in the certificate.
        found: CompactString,
    },
    /// Cannot bind the address.
    #[error("can't listen for peers on {address}: {cause}")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        cause: io::Error,
    },
    /// Message exceeds the frame limit.
    #[error("the message has {0} bytes")]
    Oversized(usize),
}

/// Configuration.
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// Node name; must be the certificate's first DNS name.
    pub name: CompactString,
    /// UDP address; port 0 selects a free one.
    pub listen: SocketAddr,
    /// Certificate chain, PEM.
    pub certificate: Vec<u8>,
    /// Private key, PEM.
    pub key: Vec<u8>,
    /// CA certificates, PEM.
    pub authority: Vec<u8>,
}

/// Events for the control thread.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    /// A message from an authenticated node.
    Message {
        /// Sender.
        from: CompactString,
        /// Message.
        message: PeerMessage,
    },
    /// The connection to this node failed.
    Broken(CompactString),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages sent.
    pub sent: u64,
    /// Messages received.
    pub received: u64,
    /// Messages dropped by a full queue or a failed connection.
    pub dropped: u64,
    /// Rejected messages and connections.
    pub refused: u64,
}

/// Peer transport. Clones share it.
#[derive(Clone)]
pub struct PeerNet {
    shared: Arc<Shared>,
}

struct Shared {
    name: CompactString,
    endpoint: Endpoint,
    client: quinn::ClientConfig,
    links: Mutex<FxHashMap<CompactString, Link>>,
    /// Nodes with an outstanding catalogue request.
    pulled: Mutex<FxHashSet<CompactString>>,
    events: mpsc::Sender<Received>,
    counters: Counters,
}

/// Transport interface of the membership.
pub trait Peers: Send + Sync + 'static {
    /// Queues a message for each target; does not block.
    fn send(&self, to: &[Target], message: &PeerMessage) -> Result<()>;

    /// Flushes the queues and closes all connections.
    fn close(&self) -> impl Future<Output = ()> + Send;
}

impl Peers for PeerNet {
    fn send(&self, to: &[Target], message: &PeerMessage) -> Result<()> {
        PeerNet::send(self, to, message).map(|_| ())
    }

    async fn close(&self) {
        PeerNet::close(self).await;
    }
}

/// Outgoing link to one node.
struct Link {
    queue: Arc<Queue>,
    task: JoinHandle<()>,
}

#[derive(Default)]
struct Counters {
    sent: AtomicU64,
    received: AtomicU64,
    dropped: AtomicU64,
    refused: AtomicU64,
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl PeerNet {
    /// Starts the transport on the current runtime.
    pub fn start(config: &PeerConfig) -> Result<(PeerNet, mpsc::Receiver<Received>)> {
        let Identity { server, client } = tls::identity(config)?;
        let endpoint = Endpoint::server(server, config.listen)
            .map_err(|cause| PeerError::Listen { address: config.listen, cause })?;
        let (events, receiver) = mpsc::channel(EVENTS);
        let shared = Arc::new(Shared {
            name: config.name.clone(),
            endpoint,
            client,
            links: Mutex::default(),
            pulled: Mutex::default(),
            events,
            counters: Counters::default(),
        });
        tokio::spawn(receiver::run(shared.clone()));
        Ok((PeerNet { shared }, receiver))
    }

    /// Local address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.shared.endpoint.local_addr()
    }

    /// Queues a message for each target and returns its size. Queues are bounded; only the latest
    /// heartbeat is kept.
    pub fn send(&self, to: &[Target], message: &PeerMessage) -> Result<usize> {
        let frame = codec::encode(&self.shared.name, message)?;
        let bytes = frame.bytes.len();
        for target in to {
            match target.address.parse() {
                Ok(address) => self.shared.push(target, address, message, frame.clone()),
                Err(_) => count(&self.shared.counters.refused),
            }
        }
        Ok(bytes)
    }

    /// Current counters.
    pub fn counts(&self) -> Counts {
        let counters = &self.shared.counters;
        let read = |c: &AtomicU64| c.load(Ordering::Relaxed);
        Counts {
            sent: read(&counters.sent),
            received: read(&counters.received),
            dropped: read(&counters.dropped),
            refused: read(&counters.refused),
        }
    }

    /// Flushes the queues for a short time and closes all connections.
    pub async fn close(&self) {
        let links = std::mem::take(&mut *self.shared.links());
        links.values().for_each(|l| l.queue.close());
        let flushed = async {
            for link in links.into_values() {
                _ = link.task.await;
            }
        };
        _ = tokio::time::timeout(CLOSE_TIMEOUT, flushed).await;
        self.shared.endpoint.close(VarInt::from_u32(0), b"exit");
        _ = tokio::time::timeout(CLOSE_TIMEOUT, self.shared.endpoint.wait_idle()).await;
    }
}

impl Shared {
    fn links(&self) -> std::sync::MutexGuard<'_, FxHashMap<CompactString, Link>> {
        self.links.lock().expect("no holder of the lock panics")
    }

    fn pulled(&self) -> std::sync::MutexGuard<'_, FxHashSet<CompactString>> {
        self.pulled.lock().expect("no holder of the lock panics")
    }

    fn push(
        self: &Arc<Shared>,
        to: &Target,
        address: SocketAddr,
        message: &PeerMessage,
        frame: Frame,
    ) {
        if matches!(message, PeerMessage::CatalogPull(_)) {
            self.pulled().insert(to.name.clone());
        }
        let mut links = self.links();
        let link = links.entry(to.name.clone()).or_insert_with(|| {
            let queue = Arc::new(Queue::new(address));
            let task = tokio::spawn(sender::run(self.clone(), to.name.clone(), queue.clone()));
            Link { queue, task }
        });
        if !link.queue.push(address, frame) {
            count(&self.counters.dropped);
        }
    }

    /// Records an incoming connection; its node may have restarted.
    fn announce(&self, name: &str) {
        if let Some(link) = self.links().get(name) {
            link.queue.announce();
        }
    }

    /// Removes an idle link unless a frame was queued meanwhile.
    fn forget(&self, name: &str) -> bool {
        let mut links = self.links();
        let idle = links.get(name).is_none_or(|l| l.queue.is_empty());
        if idle {
            links.remove(name);
        }
        idle
    }

    fn tell(&self, event: Received) {
        if self.events.try_send(event).is_err() {
            count(&self.counters.dropped);
        }
    }

    /// Handles a frame from the node named in the peer's certificate.
    async fn take(&self, peer: &CompactString, class: Class, bytes: &[u8]) {
        let message = match codec::decode(bytes) {
            Ok((name, message)) if name == *peer && Class::of(&message) == class => message,
            _ => return count(&self.counters.refused),
        };
        count(&self.counters.received);
        let event = Received::Message { from: peer.clone(), message };
        match class {
            Class::Control => self.tell(event),
            Class::Catalog | Class::Table => _ = self.events.send(event).await,
        }
    }
}
