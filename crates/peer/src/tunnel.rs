//! Bidirectional streams to other nodes, which carry the bytes of other connections.
//!
//! They use QUIC connections of their own, so that a stream whose reader is slow cannot delay messages.

use {
    crate::{PeerNet, Shared, increment, tls},
    compact_str::CompactString,
    quinn::{Connection, RecvStream, SendStream, VarInt},
    std::{
        io,
        net::SocketAddr,
        pin::Pin,
        sync::Mutex,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncWrite, Join},
        sync::mpsc,
    },
};

/// A bidirectional stream.
pub type Tunnel = Join<RecvStream, SendHalf>;

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

/// Sending half of a stream. Its reader gets the end of the stream if it is shut down, and an error if it is
/// dropped before.
#[derive(Debug)]
pub struct SendHalf {
    stream: SendStream,
    is_ended: bool,
}

impl SendHalf {
    fn new(stream: SendStream) -> SendHalf {
        SendHalf { stream, is_ended: false }
    }
}

impl AsyncWrite for SendHalf {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        AsyncWrite::poll_write(Pin::new(&mut self.stream), context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.is_ended = true;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Drop for SendHalf {
    fn drop(&mut self) {
        // quinn ends a stream that is dropped as if it were complete.
        if !self.is_ended {
            // It fails if the reader has stopped the stream already.
            _ = self.stream.reset(VarInt::from_u32(ABORTED));
        }
    }
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
        Ok(tokio::io::join(receive, SendHalf::new(send)))
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
    pub(super) fn accept_tunnel(&self, (send, receive): (SendStream, RecvStream)) {
        let tunnel = tokio::io::join(receive, SendHalf::new(send));
        let incoming = self.tunnels.incoming.lock().expect("no holder of the lock panics").clone();
        match incoming.map(|incoming| incoming.try_reserve_owned()) {
            Some(Ok(permit)) => _ = permit.send(tunnel),
            _ => increment(&self.counters.refused),
        }
    }
}
