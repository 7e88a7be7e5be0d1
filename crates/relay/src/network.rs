//! Transport for outgoing connections.

pub mod write_first;

use {
    crate::{
        tunnel::{self, Tunnels},
        view::NodeAddress,
    },
    bilberryfront_peer::tunnel::Tunnel,
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
        time::timeout,
    },
    tokio_util::either::Either,
};

/// `TCP_USER_TIMEOUT`, to detect a runner that is powered off or partitioned.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Keep-alive idle time and interval.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes before the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Maximum number of unsent bytes in the send buffer: the end of a response is read once its request is written,
/// and written bytes should have been sent.
const UNSENT_BYTES: u32 = 16 << 10;

/// Transport that opens connections; tests replace it with an in-memory one.
pub trait Network: Clone + 'static {
    /// Connection type.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Connects within `limit`.
    fn connect(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Connects through another node within `limit`.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::ConnectionRefused`] if the node was reached, and the connection was refused
    /// there.
    fn connect_through(
        &self,
        node: &NodeAddress,
        address: SocketAddr,
        limit: Duration,
    ) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Releases what connections through other nodes need, once they have ended.
    fn close_tunnels(&self) {}
}

/// TCP with detection of unreachable peers, and tunnels through other nodes.
#[derive(Clone, Default)]
pub struct Transport {
    /// Tunnels; none can be opened by default.
    pub tunnels: Tunnels,
}

impl Network for Transport {
    type Stream = Either<TcpStream, Tunnel>;

    async fn connect(&self, address: SocketAddr, limit: Duration) -> io::Result<Self::Stream> {
        Ok(Either::Left(connect_tcp(address, limit).await?))
    }

    async fn connect_through(
        &self,
        node: &NodeAddress,
        address: SocketAddr,
        limit: Duration,
    ) -> io::Result<Self::Stream> {
        let connecting = tunnel::connect(&self.tunnels, node, address);
        Ok(Either::Right(timeout(limit, connecting).await??))
    }

    fn close_tunnels(&self) {
        self.tunnels.close();
    }
}

/// Opens a TCP connection within `limit`.
pub async fn connect_tcp(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_PROBES))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_notsent_lowat(UNSENT_BYTES)?;
    Ok(stream)
}
