//! Connections that other nodes make to this one.

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

/// Most connections, in and out; past it new ones are refused, which bounds memory and is several
/// times what the heartbeat graph of the largest system needs.
const CONNECTIONS: usize = 512;
/// Longest handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the whole of a message once its stream is open.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a stream gave no message.
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

/// Each connection has its own task: a node that is silent in its handshake holds up no other.
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

/// Reads one message from its stream. The transport's limit of open streams bounds these tasks.
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
    // Unasked-for catalogues would let one broken node fill this one's memory, 16 MiB at a time.
    if class == Class::Catalog && !shared.pulled().remove(peer) {
        return Err(Unread);
    }
    let mut bytes = stream.read_to_end(class.limit() - HEADER).await.map_err(|_| Unread)?;
    bytes.splice(..0, header);
    Ok((class, bytes))
}
