//! TLS and transport configuration.

use {
    crate::{PeerConfig, PeerError, Result},
    compact_str::CompactString,
    quinn::{
        Connection, IdleTimeout, TransportConfig, VarInt,
        crypto::rustls::{QuicClientConfig, QuicServerConfig},
    },
    rustls::{
        ClientConfig, RootCertStore, ServerConfig,
        client::Resumption,
        crypto::{
            CryptoProvider,
            ring::{self, Ticketer, cipher_suite::TLS13_AES_128_GCM_SHA256},
        },
        server::{NoServerSessionStorage, WebPkiClientVerifier},
        version::TLS13,
    },
    rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    std::{sync::Arc, time::Duration},
};

/// Idle timeout of a connection.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// ALPN protocol.
const ALPN: &[u8] = b"bilberryfront/1";
/// Number of nodes whose TLS sessions are kept for resumption as client; more than a node sends to
/// regularly. Each session holds a certificate chain. A server keeps none: its tickets hold them.
const SESSIONS: usize = 64;
/// Number of sessions for which rustls counts a server.
const SESSIONS_PER_SERVER: usize = 8;
/// Maximum concurrent incoming streams per connection, with one message each.
const MAX_STREAMS: u32 = 16;
/// Maximum concurrent incoming tunnels per connection, before the first one; quinn allocates state for
/// all of them.
const INITIAL_TUNNELS: u32 = 1;
/// Maximum concurrent incoming tunnels per connection, after the first one.
pub const MAX_TUNNELS: u32 = 512;
/// Receive window per tunnel.
const TUNNEL_WINDOW_BYTES: u32 = 64 * 1024;
/// Receive window of all tunnels of a connection.
const TUNNELS_WINDOW_BYTES: u32 = 8 * 1024 * 1024;
/// Idle timeout of a connection for tunnels. A node that is cut off resumes its streams elsewhere once they
/// are silent, and the runs behind its tunnels must have ended soon after that.
const TUNNEL_IDLE_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval of keep-alive packets on a connection for tunnels, which may be silent while a runner works; some
/// of the packets may be lost.
const TUNNEL_KEEP_ALIVE: Duration = Duration::from_millis(150);
/// Receive window per connection and per stream, and send window.
const WINDOW_BYTES: u32 = 2 * 1024 * 1024;
/// Size of the send and receive buffers for datagrams.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;

/// TLS configuration for both roles.
pub struct Identity {
    /// Server side; requires a client certificate.
    pub server: quinn::ServerConfig,
    /// Client side.
    pub client: quinn::ClientConfig,
    /// Client side of connections for tunnels.
    pub tunnel_client: quinn::ClientConfig,
}

/// Builds the configurations of the transport for both roles.
pub fn identity(config: &PeerConfig) -> Result<Identity> {
    let (server, client) = configs(config)?;
    let server = QuicServerConfig::try_from(server).map_err(tls_error)?;
    let client = QuicClientConfig::try_from(client).map_err(tls_error)?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
    let mut client = quinn::ClientConfig::new(Arc::new(client));
    let mut tunnel_client = client.clone();
    let transport = Arc::new(transport_config());
    server.transport_config(transport.clone());
    client.transport_config(transport);
    tunnel_client.transport_config(Arc::new(tunnel_config()));
    Ok(Identity { server, client, tunnel_client })
}

/// Parses the certificates and builds the TLS configurations. The first DNS name of the certificate
/// must be the node's name.
pub fn configs(config: &PeerConfig) -> Result<(ServerConfig, ClientConfig)> {
    let chain = parse_certificates("certificate", &config.certificate)?;
    let key = PrivateKeyDer::from_pem_slice(&config.key).map_err(|e| pem_error("key", &e))?;
    let found = first_dns_name(&chain[0]).unwrap_or_default();
    if found != config.name {
        return Err(PeerError::Name { name: config.name.clone(), found });
    }
    let roots = Arc::new(root_store(&config.authority)?);
    let server = server_config(roots.clone(), chain.clone(), key.clone_key()).map_err(tls_error)?;
    let client = client_config(roots, chain, key).map_err(tls_error)?;
    Ok((server, client))
}

/// Returns the peer's certificate.
pub fn peer_certificate(connection: &Connection) -> Option<CertificateDer<'static>> {
    let chain = connection.peer_identity()?.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    chain.into_iter().next()
}

/// Returns the first DNS name of a certificate.
pub fn first_dns_name(certificate: &CertificateDer<'_>) -> Option<CompactString> {
    let certificate = webpki::EndEntityCert::try_from(certificate).ok()?;
    certificate.valid_dns_names().next().map(CompactString::from)
}

fn parse_certificates(part: &'static str, text: &[u8]) -> Result<Vec<CertificateDer<'static>>> {
    let all = CertificateDer::pem_slice_iter(text).collect::<std::result::Result<Vec<_>, _>>();
    let all = all.map_err(|e| pem_error(part, &e))?;
    if all.is_empty() {
        return Err(PeerError::Pem { part, cause: "no certificate in the PEM file".into() });
    }
    Ok(all)
}

fn root_store(authority: &[u8]) -> Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    for certificate in parse_certificates("authority", authority)? {
        roots.add(certificate).map_err(tls_error)?;
    }
    Ok(roots)
}

fn server_config(
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> std::result::Result<ServerConfig, Box<dyn std::error::Error>> {
    let provider = Arc::new(provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone()).build()?;
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)?;
    config.session_storage = Arc::new(NoServerSessionStorage {});
    config.ticketer = Ticketer::new()?;
    config.send_tls13_tickets = 1;
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(config)
}

fn client_config(
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> std::result::Result<ClientConfig, rustls::Error> {
    let mut config = ClientConfig::builder_with_provider(Arc::new(provider()))
        .with_protocol_versions(&[&TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)?;
    config.resumption = Resumption::in_memory_sessions(SESSIONS * SESSIONS_PER_SERVER);
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(config)
}

/// Returns the cryptography with the cipher suite whose hash, which derives the keys of each connection,
/// most processors implement.
fn provider() -> CryptoProvider {
    CryptoProvider { cipher_suites: vec![TLS13_AES_128_GCM_SHA256], ..ring::default_provider() }
}

fn transport_config() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(idle_timeout(IDLE_TIMEOUT)))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_bidi_streams(VarInt::from_u32(INITIAL_TUNNELS))
        .receive_window(VarInt::from_u32(WINDOW_BYTES))
        .stream_receive_window(VarInt::from_u32(WINDOW_BYTES))
        .send_window(u64::from(WINDOW_BYTES))
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES))
        .datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES);
    transport
}

fn tunnel_config() -> TransportConfig {
    let mut transport = transport_config();
    transport
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .max_concurrent_bidi_streams(VarInt::from_u32(0))
        .stream_receive_window(VarInt::from_u32(TUNNEL_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(TUNNELS_WINDOW_BYTES))
        .max_idle_timeout(Some(idle_timeout(TUNNEL_IDLE_TIMEOUT)))
        .keep_alive_interval(Some(TUNNEL_KEEP_ALIVE));
    transport
}

fn idle_timeout(timeout: Duration) -> IdleTimeout {
    IdleTimeout::try_from(timeout).expect("the timeout fits a QUIC varint")
}

fn pem_error(part: &'static str, error: &rustls_pki_types::pem::Error) -> PeerError {
    PeerError::Pem { part, cause: error.to_string() }
}

fn tls_error(error: impl std::fmt::Display) -> PeerError {
    PeerError::Tls(error.to_string())
}
