//! Talking to other nodes: QUIC with mutual TLS 1.3.
//!
//! Each node dials the nodes it sends to and only listens on the connections that it accepts, so a
//! pair never has to agree on one connection. Delivery is at most once: what can't be sent soon is
//! dropped and counted, since every message is repeated or asked for again by its owner.

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

/// Events that wait for the control thread; past it they are dropped and counted.
const EVENTS: usize = 1_024;
/// How long a leaving process waits for its last messages to be acknowledged.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the peer face can't start.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PeerError {
    /// A PEM file without what it should hold.
    #[error("{part}: {cause}")]
    Pem {
        /// Which file: `certificate`, `key` or `authority`.
        part: &'static str,
        /// What is wrong with it.
        cause: String,
    },
    /// The certificate and the key don't belong together, or the authority can't be used.
    #[error("the peer certificate can't be used: {0}")]
    Tls(String),
    /// The certificate is another node's.
    #[error("the peer certificate is for {found:?}, but this node is {name:?}")]
    Name {
        /// The node's name in the settings.
        name: CompactString,
        /// First DNS name of the certificate.
        found: CompactString,
    },
    /// The address can't be bound.
    #[error("can't listen for peers on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        cause: io::Error,
    },
    /// The message is larger than any node would take.
    #[error("the message has {0} bytes")]
    Oversized(usize),
}

/// What the peer face is told at start.
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// This node's name; must be the certificate's first DNS name.
    pub name: CompactString,
    /// UDP address; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Certificate chain, PEM.
    pub certificate: Vec<u8>,
    /// Private key, PEM.
    pub key: Vec<u8>,
    /// Certificates of the authority that signs all nodes' certificates, PEM.
    pub authority: Vec<u8>,
}

/// What the peer face tells the control thread.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    /// A message; the sender's name has been checked against its certificate.
    Message {
        /// Whose message it is.
        from: CompactString,
        /// What it says.
        message: PeerMessage,
    },
    /// The connection to this node broke or couldn't be made.
    Broken(CompactString),
}

/// What has been counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages given to the network.
    pub sent: u64,
    /// Messages taken.
    pub received: u64,
    /// Messages dropped because a queue was full or a connection broke.
    pub dropped: u64,
    /// Messages and connections refused: foreign certificate, another's name, bad or too many bytes.
    pub refused: u64,
}

/// The peer face of this node. Clones share it.
#[derive(Clone)]
pub struct PeerNet {
    shared: Arc<Shared>,
}

struct Shared {
    name: CompactString,
    endpoint: Endpoint,
    client: quinn::ClientConfig,
    links: Mutex<FxHashMap<CompactString, Link>>,
    /// Nodes that were asked for their catalogue and haven't sent it.
    pulled: Mutex<FxHashSet<CompactString>>,
    events: mpsc::Sender<Received>,
    counters: Counters,
}

/// What the membership needs of the peer face; tests put a fake in its place.
pub trait Peers: Send + Sync + 'static {
    /// Queues a message for each target and returns at once.
    fn send(&self, to: &[Target], message: &PeerMessage) -> Result<()>;

    /// Sends what is queued and ends all connections.
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

/// The way to one other node.
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
    /// Listens for other nodes. Must be called within a runtime, which then carries all peer
    /// traffic.
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

    /// The address that other nodes reach.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.shared.endpoint.local_addr()
    }

    /// Queues a message for each target and returns at once with its size in bytes. The queues are bounded;
    /// of several heartbeats that wait for one node only the last is kept.
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

    /// What has been counted since the start.
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

    /// Sends what is queued, waits a short while for it to arrive, and ends all connections.
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

    /// Takes note that a node has connected to this one: it is there, and may be a new process.
    fn announce(&self, name: &str) {
        if let Some(link) = self.links().get(name) {
            link.queue.announce();
        }
    }

    /// Forgets an idle node, unless something was queued for it in between.
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

    /// Takes a whole frame from the node whose certificate shows `peer`.
    async fn take(&self, peer: &CompactString, class: Class, bytes: &[u8]) {
        let message = match codec::decode(bytes) {
            Ok((name, message)) if name == *peer && Class::of(&message) == class => message,
            _ => return count(&self.counters.refused),
        };
        count(&self.counters.received);
        let event = Received::Message { from: peer.clone(), message };
        match class {
            Class::Control => self.tell(event),
            Class::Catalog => _ = self.events.send(event).await,
        }
    }
}
