//! TLS and transport configuration.

use {
    crate::{PeerConfig, PeerError, Result},
    compact_str::CompactString,
    quinn::{
        Connection, IdleTimeout, TransportConfig, VarInt,
        crypto::rustls::{QuicClientConfig, QuicServerConfig},
    },
    rustls::{
        ClientConfig, RootCertStore, ServerConfig, crypto::ring, server::WebPkiClientVerifier,
        version::TLS13,
    },
    rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    std::{sync::Arc, time::Duration},
};

/// Idle timeout of a connection.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// ALPN protocol.
const ALPN: &[u8] = b"bilberryfront/1";
/// Incoming streams per connection, one message each.
const STREAMS: u32 = 16;
/// Receive window per connection and per stream.
const WINDOW: u32 = 2 * 1024 * 1024;
/// Datagram buffer size.
const DATAGRAMS: usize = 64 * 1024;

/// TLS configuration for both roles.
pub struct Identity {
    /// Server side; requires a client certificate.
    pub server: quinn::ServerConfig,
    /// Client side.
    pub client: quinn::ClientConfig,
}

/// Loads and checks the certificates.
pub fn identity(config: &PeerConfig) -> Result<Identity> {
    let chain = certificates("certificate", &config.certificate)?;
    let key = PrivateKeyDer::from_pem_slice(&config.key).map_err(|e| pem("key", &e))?;
    let found = first_name(&chain[0]).unwrap_or_default();
    if found != config.name {
        return Err(PeerError::Name { name: config.name.clone(), found });
    }
    let roots = Arc::new(roots(&config.authority)?);
    let transport = Arc::new(transport());
    let server = server(roots.clone(), chain.clone(), key.clone_key()).map_err(tls)?;
    let client = client(roots, chain, key).map_err(tls)?;
    let server = QuicServerConfig::try_from(server).map_err(tls)?;
    let client = QuicClientConfig::try_from(client).map_err(tls)?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
    let mut client = quinn::ClientConfig::new(Arc::new(client));
    server.transport_config(transport.clone());
    client.transport_config(transport);
    Ok(Identity { server, client })
}

/// First DNS name of the peer's certificate.
pub fn peer_name(connection: &Connection) -> Option<CompactString> {
    let chain = connection.peer_identity()?.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    first_name(chain.first()?)
}

fn first_name(certificate: &CertificateDer<'_>) -> Option<CompactString> {
    let certificate = webpki::EndEntityCert::try_from(certificate).ok()?;
    certificate.valid_dns_names().next().map(CompactString::from)
}

fn certificates(part: &'static str, text: &[u8]) -> Result<Vec<CertificateDer<'static>>> {
    let all = CertificateDer::pem_slice_iter(text).collect::<std::result::Result<Vec<_>, _>>();
    let all = all.map_err(|e| pem(part, &e))?;
    if all.is_empty() {
        return Err(PeerError::Pem { part, cause: "no certificate in it".into() });
    }
    Ok(all)
}

fn roots(authority: &[u8]) -> Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates("authority", authority)? {
        roots.add(certificate).map_err(tls)?;
    }
    Ok(roots)
}

fn server(
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> std::result::Result<ServerConfig, Box<dyn std::error::Error>> {
    let provider = Arc::new(ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone()).build()?;
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(config)
}

fn client(
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> std::result::Result<ClientConfig, rustls::Error> {
    let mut config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_protocol_versions(&[&TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(config)
}

fn transport() -> TransportConfig {
    let idle = IdleTimeout::try_from(IDLE_TIMEOUT).expect("the timeout fits the wire form");
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(idle))
        .max_concurrent_uni_streams(VarInt::from_u32(STREAMS))
        .max_concurrent_bidi_streams(VarInt::from_u32(0))
        .receive_window(VarInt::from_u32(WINDOW))
        .stream_receive_window(VarInt::from_u32(WINDOW))
        .send_window(u64::from(WINDOW))
        .datagram_receive_buffer_size(Some(DATAGRAMS))
        .datagram_send_buffer_size(DATAGRAMS);
    transport
}

fn pem(part: &'static str, error: &rustls_pki_types::pem::Error) -> PeerError {
    PeerError::Pem { part, cause: error.to_string() }
}

fn tls(error: impl std::fmt::Display) -> PeerError {
    PeerError::Tls(error.to_string())
}
