//! Incoming connections.

use {
    crate::{
        Shared,
        codec::{Class, HEADER},
        count, tls,
    },
    compact_str::CompactString,
    quinn::{Connection, Incoming, RecvStream, VarInt},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Maximum connections, in and out.
const CONNECTIONS: usize = 512;
/// Handshake timeout.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for reading a message.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Why reading a message failed.
struct Unread;

pub(super) async fn run(shared: Arc<Shared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        if shared.endpoint.open_connections() >= CONNECTIONS {
            count(&shared.counters.refused);
            incoming.refuse();
            continue;
        }
        tokio::spawn(accept(shared.clone(), incoming));
    }
}

/// One task per connection, so that a stalled handshake blocks no other.
async fn accept(shared: Arc<Shared>, incoming: Incoming) {
    let Ok(Ok(connection)) = timeout(HANDSHAKE_TIMEOUT, incoming).await else {
        return count(&shared.counters.refused);
    };
    match tls::peer_name(&connection) {
        Some(peer) => {
            shared.announce(&peer);
            serve(&shared, &connection, peer).await;
        }
        None => count(&shared.counters.refused),
    }
}

async fn serve(shared: &Arc<Shared>, connection: &Connection, peer: CompactString) {
    loop {
        tokio::select! {
            datagram = connection.read_datagram() => match datagram {
                Ok(bytes) => shared.take(&peer, Class::Control, &bytes).await,
                Err(_) => return,
            },
            stream = connection.accept_uni() => match stream {
                Ok(stream) => _ = tokio::spawn(take(shared.clone(), peer.clone(), stream)),
                Err(_) => return,
            },
        }
    }
}

/// Reads a message. The transport limits the number of open streams.
async fn take(shared: Arc<Shared>, peer: CompactString, mut stream: RecvStream) {
    match timeout(READ_TIMEOUT, read(&shared, &peer, &mut stream)).await {
        Ok(Ok((class, bytes))) => shared.take(&peer, class, &bytes).await,
        _ => {
            count(&shared.counters.refused);
            _ = stream.stop(VarInt::from_u32(0));
        }
    }
}

async fn read(
    shared: &Shared,
    peer: &CompactString,
    stream: &mut RecvStream,
) -> Result<(Class, Vec<u8>), Unread> {
    let mut header = [0; HEADER];
    stream.read_exact(&mut header).await.map_err(|_| Unread)?;
    let class = Class::read(header).ok_or(Unread)?;
    // Bounds the memory that one node can claim with unsolicited catalogues.
    if class == Class::Catalog && !shared.pulled().remove(peer) {
        return Err(Unread);
    }
    let mut bytes = stream.read_to_end(class.limit() - HEADER).await.map_err(|_| Unread)?;
    bytes.splice(..0, header);
    Ok((class, bytes))
}
