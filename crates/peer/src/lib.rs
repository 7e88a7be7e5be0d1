//! Peer transport: QUIC with mutual TLS 1.3.
//!
//! Each node connects to the nodes to which it sends. Delivery is at most once: frames that cannot
//! be sent within a short time are dropped and counted, because the protocol above repeats every
//! message or requests it again.

pub mod codec;
mod queue;
mod receiver;
mod sender;
pub mod tls;
pub mod tunnel;

use {
    self::{
        codec::{Class, Frame},
        queue::Queue,
        tls::Identity,
        tunnel::Tunnels,
    },
    bilberryfront_decide::member::{PeerMessage, Target},
    compact_str::CompactString,
    quinn::{Endpoint, VarInt},
    rustc_hash::{FxHashMap, FxHashSet},
    rustls_pki_types::CertificateDer,
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
const EVENT_QUEUE_LEN: usize = 1_024;
/// Timeout for flushing on close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the transport cannot start.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PeerError {
    /// Invalid or incomplete PEM file.
    #[error("peer {part}: {cause}")]
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
    /// Message exceeds the size limit of its class.
    #[error("peer message of {0} bytes exceeds the size limit of its class")]
    Oversized(usize),
}

/// Configuration of the transport.
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
    /// Whether each process of the system has a certificate of its own, so that a node that presents
    /// another one has restarted.
    pub ephemeral: bool,
}

/// Events of the transport, for the control thread.
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
    /// Messages and connections that were rejected as invalid or above a limit.
    pub refused: u64,
    /// Connections opened to other nodes.
    pub connected: u64,
}

/// Handle of the peer transport. Clones share its connections.
#[derive(Clone)]
pub struct PeerNet {
    shared: Arc<Shared>,
}

struct Shared {
    name: CompactString,
    endpoint: Endpoint,
    client: quinn::ClientConfig,
    tunnel_client: quinn::ClientConfig,
    tunnels: Tunnels,
    ephemeral: bool,
    links: Mutex<FxHashMap<CompactString, Link>>,
    /// Nodes with an outstanding catalogue request.
    catalog_requests: Mutex<FxHashSet<CompactString>>,
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
    connected: AtomicU64,
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl PeerNet {
    /// Starts the transport on the current runtime.
    pub fn start(config: &PeerConfig) -> Result<(PeerNet, mpsc::Receiver<Received>)> {
        let Identity { server, client, tunnel_client } = tls::identity(config)?;
        let endpoint = Endpoint::server(server, config.listen)
            .map_err(|cause| PeerError::Listen { address: config.listen, cause })?;
        let (events, receiver) = mpsc::channel(EVENT_QUEUE_LEN);
        let shared = Arc::new(Shared {
            name: config.name.clone(),
            endpoint,
            client,
            tunnel_client,
            tunnels: Tunnels::default(),
            ephemeral: config.ephemeral,
            links: Mutex::default(),
            catalog_requests: Mutex::default(),
            events,
            counters: Counters::default(),
        });
        tokio::spawn(receiver::run(shared.clone()));
        Ok((PeerNet { shared }, receiver))
    }

    /// Returns the local address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.shared.endpoint.local_addr()
    }

    /// Queues a message for each target and returns its encoded size in bytes. Queues are bounded
    /// and keep only the latest heartbeat.
    pub fn send(&self, to: &[Target], message: &PeerMessage) -> Result<usize> {
        let frame = codec::encode(&self.shared.name, message)?;
        let bytes = frame.bytes.len();
        for target in to {
            match target.address.parse() {
                Ok(address) => self.shared.enqueue(target, address, message, frame.clone()),
                Err(_) => increment(&self.shared.counters.refused),
            }
        }
        Ok(bytes)
    }

    /// Returns the current counters.
    pub fn counts(&self) -> Counts {
        let counters = &self.shared.counters;
        let read = |c: &AtomicU64| c.load(Ordering::Relaxed);
        Counts {
            sent: read(&counters.sent),
            received: read(&counters.received),
            dropped: read(&counters.dropped),
            refused: read(&counters.refused),
            connected: read(&counters.connected),
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

    fn catalog_requests(&self) -> std::sync::MutexGuard<'_, FxHashSet<CompactString>> {
        self.catalog_requests.lock().expect("no holder of the lock panics")
    }

    /// Queues a frame on the link to a node, which is created if absent.
    fn enqueue(
        self: &Arc<Shared>,
        to: &Target,
        address: SocketAddr,
        message: &PeerMessage,
        frame: Frame,
    ) {
        if matches!(message, PeerMessage::CatalogPull(_)) {
            self.catalog_requests().insert(to.name.clone());
        }
        let mut links = self.links();
        let link = links.entry(to.name.clone()).or_insert_with(|| {
            let queue = Arc::new(Queue::new(address));
            let task = tokio::spawn(sender::run(self.clone(), to.name.clone(), queue.clone()));
            Link { queue, task }
        });
        if !link.queue.push(address, frame) {
            increment(&self.counters.dropped);
        }
    }

    /// Notifies the link to a node that has connected to this one; the node may have restarted.
    fn notify_incoming(&self, name: &str, certificate: CertificateDer<'static>) {
        if let Some(link) = self.links().get(name) {
            link.queue.notify_incoming(certificate);
        }
    }

    /// Removes a link whose queue is empty; false if a frame was queued in the meantime.
    fn remove_idle_link(&self, name: &str) -> bool {
        let mut links = self.links();
        let idle = links.get(name).is_none_or(|l| l.queue.is_empty());
        if idle {
            links.remove(name);
        }
        idle
    }

    /// Queues an event without blocking; it is dropped if the queue is full.
    fn try_emit(&self, event: Received) {
        if self.events.try_send(event).is_err() {
            increment(&self.counters.dropped);
        }
    }

    /// Decodes a frame and emits its message. The sender in the frame must be `peer`, the node named
    /// in the certificate.
    async fn handle_frame(&self, peer: &CompactString, class: Class, bytes: &[u8]) {
        let message = match codec::decode(bytes) {
            Ok((name, message)) if name == *peer && Class::of(&message) == class => message,
            _ => return increment(&self.counters.refused),
        };
        increment(&self.counters.received);
        let event = Received::Message { from: peer.clone(), message };
        match class {
            Class::Control => self.try_emit(event),
            Class::Catalog | Class::Table => _ = self.events.send(event).await,
        }
    }
}
