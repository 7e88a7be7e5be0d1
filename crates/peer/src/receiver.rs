//! Incoming connections.

use {
    crate::{
        Shared,
        codec::{Class, HEADER},
        increment, tls,
    },
    compact_str::CompactString,
    quinn::{Connection, Incoming, RecvStream, VarInt},
    std::{sync::Arc, time::Duration},
    tokio::{io::AsyncReadExt, time::timeout},
};

/// Incoming connections are rejected while so many are open, outgoing ones included.
const MAX_CONNECTIONS: usize = 512;
/// Handshake timeout.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for reading a message.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// The message could not be read.
struct ReadError;

pub(super) async fn run(shared: Arc<Shared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        if shared.endpoint.open_connections() >= MAX_CONNECTIONS {
            increment(&shared.counters.refused);
            incoming.refuse();
            continue;
        }
        tokio::spawn(accept(shared.clone(), incoming));
    }
}

/// Completes the handshake and serves the connection. Each connection has its own task, so that a
/// stalled handshake does not delay the others.
async fn accept(shared: Arc<Shared>, incoming: Incoming) {
    let Ok(Ok(connection)) = timeout(HANDSHAKE_TIMEOUT, incoming).await else {
        return increment(&shared.counters.refused);
    };
    let Some(certificate) = tls::peer_certificate(&connection) else {
        return increment(&shared.counters.refused);
    };
    match tls::first_dns_name(&certificate) {
        Some(peer) => {
            shared.notify_incoming(&peer, certificate);
            serve(&shared, &connection, peer).await;
        }
        None => increment(&shared.counters.refused),
    }
}

async fn serve(shared: &Arc<Shared>, connection: &Connection, peer: CompactString) {
    loop {
        tokio::select! {
            datagram = connection.read_datagram() => match datagram {
                Ok(bytes) => shared.handle_frame(&peer, Class::Control, &bytes).await,
                Err(_) => return,
            },
            stream = connection.accept_uni() => match stream {
                Ok(stream) => _ = tokio::spawn(receive(shared.clone(), peer.clone(), stream)),
                Err(_) => return,
            },
            tunnel = connection.accept_bi() => match tunnel {
                Ok(tunnel) => {
                    connection.set_max_concurrent_bi_streams(VarInt::from_u32(tls::MAX_TUNNELS));
                    shared.accept_tunnel(tunnel);
                }
                Err(_) => return,
            },
        }
    }
}

/// Reads a frame from a stream and handles it. The transport limits the number of open streams.
async fn receive(shared: Arc<Shared>, peer: CompactString, mut stream: RecvStream) {
    match timeout(READ_TIMEOUT, read_frame(&shared, &peer, &mut stream)).await {
        Ok(Ok((class, bytes))) => shared.handle_frame(&peer, class, &bytes).await,
        _ => {
            increment(&shared.counters.refused);
            _ = stream.stop(VarInt::from_u32(0));
        }
    }
}

async fn read_frame(
    shared: &Shared,
    peer: &CompactString,
    stream: &mut RecvStream,
) -> Result<(Class, Vec<u8>), ReadError> {
    let mut header = [0; HEADER];
    stream.read_exact(&mut header).await.map_err(|_| ReadError)?;
    let class = Class::read(header).ok_or(ReadError)?;
    // Rejects unsolicited catalogues, to bound the memory that one node can use.
    if class == Class::Catalog && !shared.catalog_requests().remove(peer) {
        return Err(ReadError);
    }
    let limit = class.limit();
    let mut bytes = header.to_vec();
    // Reads in order: `RecvStream::read_to_end` does not, and counts data twice that has arrived twice before.
    let mut rest = stream.take((limit + 1 - HEADER) as u64);
    rest.read_to_end(&mut bytes).await.map_err(|_| ReadError)?;
    if bytes.len() > limit { Err(ReadError) } else { Ok((class, bytes)) }
}
