//! Connections to runners through another node.
//!
//! A node that is partitioned from the runners opens a stream to a node that reaches them. The stream
//! begins with the runner's address in text, after its length in one byte; the other node responds
//! with a [`Reply`] byte and then carries the bytes of a TCP connection to the runner in both directions.

use {
    crate::{
        dialect::Dialect,
        flow::Traffic,
        network::{Transport, write_first::WriteFirst},
        runner_client::RunnerClient,
        view::NodeAddress,
    },
    bilberryfront_peer::{PeerNet, tunnel::Tunnel},
    std::{future, io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, copy, split},
        sync::watch,
        time::timeout,
    },
};

/// Timeout of the connection to the runner; shorter than that of a direct one, so that the partitioned
/// node gets the reply in time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout for reading the address.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Access to the peer transport, which starts when the node has joined. Clones share it.
#[derive(Clone, Default)]
pub struct Tunnels {
    net: watch::Sender<Option<PeerNet>>,
}

impl Tunnels {
    /// Sets the transport.
    pub fn attach(&self, net: PeerNet) {
        self.net.send_replace(Some(net));
    }

    /// Closes the connections for tunnels once all tunnels have ended.
    pub fn close(&self) {
        if let Some(net) = &*self.net.borrow() {
            net.close_tunnels();
        }
    }

    fn net(&self) -> Option<PeerNet> {
        self.net.borrow().clone()
    }
}

/// First byte of the other node's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    /// The bytes of the connection follow.
    Connected,
    /// The runner's host refused the connection.
    Refused,
    /// The runner could not be reached, or is not listed.
    Unreachable,
}

impl Reply {
    fn byte(self) -> u8 {
        match self {
            Reply::Connected => 0,
            Reply::Refused => 1,
            Reply::Unreachable => 2,
        }
    }

    fn into_result(byte: u8) -> io::Result<()> {
        match byte {
            0 => Ok(()),
            1 => Err(io::ErrorKind::ConnectionRefused.into()),
            _ => Err(io::ErrorKind::HostUnreachable.into()),
        }
    }
}

/// Connects to a runner through another node.
///
/// # Errors
///
/// [`io::ErrorKind::ConnectionRefused`] if the runner's host refused the connection, another error if the
/// other node or the runner cannot be reached.
pub async fn connect(
    tunnels: &Tunnels,
    node: &NodeAddress,
    address: SocketAddr,
) -> io::Result<Tunnel> {
    let net = tunnels.net().ok_or(io::ErrorKind::NotConnected)?;
    let mut tunnel = net.open_tunnel(&node.name, node.peers).await?;
    let text = address.to_string();
    let length = u8::try_from(text.len()).expect("an address is shorter than 256 bytes");
    tunnel.write_u8(length).await?;
    tunnel.write_all(text.as_bytes()).await?;
    Reply::into_result(tunnel.read_u8().await?)?;
    Ok(tunnel)
}

/// Carries the connections of other nodes to the runners.
pub async fn serve<D: Dialect>(traffic: Traffic<D, Transport>) {
    let mut attached = traffic.client.network.tunnels.net.subscribe();
    let Ok(net) = attached.wait_for(Option::is_some).await.map(|net| net.clone()) else { return };
    let Some(mut incoming) = net.map(|net| net.accept_tunnels()) else { return };
    while let Some(tunnel) = incoming.recv().await {
        let (client, guard) = (traffic.client.clone(), traffic.track_in_flight());
        tokio::task::spawn_local(async move {
            // Errors concern this connection only, and its two ends see them.
            _ = carry(&client, tunnel).await;
            drop(guard);
        });
    }
}

async fn carry<D: Dialect>(
    client: &RunnerClient<D, Transport>,
    mut tunnel: Tunnel,
) -> io::Result<()> {
    let address = timeout(REQUEST_TIMEOUT, read_address(&mut tunnel)).await??;
    let connected = match client.fleet.find_address(address) {
        Some(endpoint) => client.connect_for_peer(&endpoint, CONNECT_TIMEOUT).await,
        None => Err(io::ErrorKind::HostUnreachable.into()),
    };
    let reply = match &connected {
        Ok(_) => Reply::Connected,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Reply::Refused,
        Err(_) => Reply::Unreachable,
    };
    tunnel.write_u8(reply.byte()).await?;
    let Ok(connection) = connected else {
        return tunnel.shutdown().await;
    };
    let (mut from_runner, mut to_runner) = split(WriteFirst::new(connection));
    let (mut receive, mut send) = tunnel.into_inner();
    let respond = async {
        copy(&mut from_runner, &mut send).await?;
        // Only now is the response complete; `send` aborts the stream if it is dropped before.
        send.shutdown().await?;
        // The rest of the request may be reset, and the other node closes the connection otherwise.
        future::pending().await
    };
    // The other node never sends after the end of its stream, which means that its request is
    // cancelled.
    tokio::select! {
        result = respond => result,
        copied = copy(&mut receive, &mut to_runner) => copied.map(|_| ()),
    }
}

async fn read_address(tunnel: &mut Tunnel) -> io::Result<SocketAddr> {
    let mut text = vec![0; usize::from(tunnel.read_u8().await?)];
    tunnel.read_exact(&mut text).await?;
    let address = std::str::from_utf8(&text).ok().and_then(|text| text.parse().ok());
    address.ok_or_else(|| io::ErrorKind::InvalidData.into())
}
