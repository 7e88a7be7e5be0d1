//! Bidirectional streams to other nodes, which carry the bytes of other connections.
//!
//! They use QUIC connections of their own, so that a stream whose reader is slow cannot delay messages.

use {
    crate::{PeerNet, Shared, increment, tls},
    compact_str::CompactString,
    quinn::{Connection, RecvStream, SendStream, VarInt},
    std::{io, net::SocketAddr, sync::Mutex},
    tokio::{io::Join, sync::mpsc},
};

/// A bidirectional stream. Dropping it ends it; see [`abort`].
pub type Tunnel = Join<RecvStream, SendStream>;

/// Capacity of the queue of incoming streams; further ones are refused.
const QUEUE_LEN: usize = 64;
/// Error code of a stream that is refused or aborted.
const ABORTED: u32 = 1;

/// Connections for outgoing streams, and the receiver of incoming ones.
#[derive(Default)]
pub(super) struct Tunnels {
    connections: Mutex<rustc_hash::FxHashMap<CompactString, Connection>>,
    incoming: Mutex<Option<mpsc::Sender<Tunnel>>>,
}

/// Resets a stream, so that its reader gets an error instead of the end of the stream.
pub fn abort(stream: &mut SendStream) {
    // It fails if the stream has ended already.
    _ = stream.reset(VarInt::from_u32(ABORTED));
}

impl PeerNet {
    /// Opens a stream to a node.
    ///
    /// # Errors
    ///
    /// Fails if the node cannot be reached or is another one.
    pub async fn open_tunnel(
        &self,
        node: &CompactString,
        address: SocketAddr,
    ) -> io::Result<Tunnel> {
        let connection = self.shared.tunnel_connection(node, address).await?;
        let (send, receive) = connection.open_bi().await?;
        Ok(tokio::io::join(receive, send))
    }

    /// Accepts streams of other nodes from now on. They are refused before.
    pub fn accept_tunnels(&self) -> mpsc::Receiver<Tunnel> {
        let (sender, receiver) = mpsc::channel(QUEUE_LEN);
        *self.shared.tunnels.incoming.lock().expect("no holder of the lock panics") = Some(sender);
        receiver
    }

    /// Closes the connections for outgoing streams once these have ended.
    pub fn close_tunnels(&self) {
        self.shared.tunnel_connections().clear();
    }
}

impl Shared {
    fn tunnel_connections(
        &self,
    ) -> std::sync::MutexGuard<'_, rustc_hash::FxHashMap<CompactString, Connection>> {
        self.tunnels.connections.lock().expect("no holder of the lock panics")
    }

    async fn tunnel_connection(
        &self,
        node: &CompactString,
        address: SocketAddr,
    ) -> io::Result<Connection> {
        let open = self.tunnel_connections().get(node).cloned();
        if let Some(connection) = open.filter(|connection| connection.close_reason().is_none()) {
            return Ok(connection);
        }
        let connecting = self.endpoint.connect_with(self.tunnel_client.clone(), address, node);
        let connection = connecting.map_err(io::Error::other)?.await?;
        let certificate = tls::peer_certificate(&connection);
        if certificate.and_then(|c| tls::first_dns_name(&c)).as_ref() != Some(node) {
            increment(&self.counters.refused);
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        increment(&self.counters.connected);
        self.tunnel_connections().insert(node.clone(), connection.clone());
        Ok(connection)
    }

    /// Queues an incoming stream; it is refused if the queue is full or nothing accepts streams.
    pub(super) fn accept_tunnel(&self, (mut send, receive): (SendStream, RecvStream)) {
        let incoming = self.tunnels.incoming.lock().expect("no holder of the lock panics").clone();
        match incoming.map(|incoming| incoming.try_reserve_owned()) {
            Some(Ok(permit)) => _ = permit.send(tokio::io::join(receive, send)),
            _ => {
                increment(&self.counters.refused);
                abort(&mut send);
            }
        }
    }
}
