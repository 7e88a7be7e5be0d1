//! Transport for outgoing connections.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
        time::timeout,
    },
};

/// `TCP_USER_TIMEOUT`, to detect a runner that is powered off or partitioned.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Keep-alive idle time and interval.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes before the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

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
}

/// TCP with detection of unreachable peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Network for Tcp {
    type Stream = TcpStream;

    async fn connect(&self, address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
        let stream = timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        let keepalive =
            TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_PROBES))?;
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        Ok(stream)
    }
}
