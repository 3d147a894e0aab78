//! QUIC and TLS configuration: mutual TLS under one certificate authority of the fleet.

use std::path::Path;
use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::server::WebPkiClientVerifier;
use rustls::{DigitallySignedStruct, RootCertStore, SignatureScheme};

use crate::error::KeyError;
use crate::prelude::*;

/// The server name in every node's certificate.
pub const SERVER_NAME: &str = "node.lavenderflow";
/// ALPN protocol name, with the version of the messages.
const ALPN_PROTOCOL: &[u8] = b"lavenderflow/1";
/// Time without a packet after which a connection is lost.
const IDLE_TIMEOUT_MS: u32 = 6000;
/// Interval between keep-alive packets. A silent path is noticed sooner: each attempt is answered
/// within a bound, or else the connection is replaced.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(2000);
/// Maximum concurrent requests on one connection. Both ends allocate about 100 bytes for each of
/// them when the connection opens, whether or not there is a request.
const MAX_CONCURRENT_STREAMS: u32 = 512;
/// Bytes that a peer may send on one stream before they are read (flow control).
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Maximum unacknowledged bytes per connection.
const SEND_WINDOW_BYTES: u64 = 32 * 1024 * 1024;
/// Least value of the windows of a connection where memory is limited: two streams at full speed.
const MIN_WINDOW_BYTES: u64 = 2 * STREAM_WINDOW_BYTES as u64;
/// Initial estimate of the round-trip time, for availability zones in one region.
const INITIAL_RTT: Duration = Duration::from_millis(10);

/// Creates configurations with a self-signed certificate, for a fleet that trusts its network.
///
/// Traffic is encrypted, but neither side is authenticated. `window` limits the bytes that one
/// connection holds in each direction.
///
/// # Errors
///
/// The certificate or a configuration cannot be created.
pub fn self_signed(window: Option<u64>) -> Result<(ServerConfig, ClientConfig), KeyError> {
    let certified_key = rcgen::generate_simple_self_signed(vec![SERVER_NAME.to_owned()])?;
    let key = PrivateKeyDer::Pkcs8(certified_key.signing_key.serialize_der().into());
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let tls = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_no_client_auth()
        .with_single_cert(vec![certified_key.cert.der().clone()], key)?;
    let server = server_config(tls, window)?;
    let verifier = Arc::new(AcceptAnyCertificate(Arc::clone(&provider)));
    let tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .dangerous()
        .with_custom_certificate_verifier(verifier)
        .with_no_client_auth();
    Ok((server, client_config(tls, window)?))
}

/// Accepts any certificate whose key signs the handshake.
#[derive(Debug)]
struct AcceptAnyCertificate(Arc<CryptoProvider>);

impl ServerCertVerifier for AcceptAnyCertificate {
    fn verify_server_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls12_signature(message, certificate, signed, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, certificate, signed, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}

/// Loads the certificates and the key for both sides of connections between nodes; `window` limits
/// the bytes that one connection holds in each direction.
///
/// # Errors
///
/// A file is missing or malformed, or the key does not match the certificate.
pub fn load(
    authority: &Path,
    certificate: &Path,
    key: &Path,
    window: Option<u64>,
) -> Result<(ServerConfig, ClientConfig), KeyError> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(authority)? {
        roots.add(certificate)?;
    }
    let roots = Arc::new(roots);
    let chain = read_certificates(certificate)?;
    let key = PrivateKeyDer::from_pem_file(key)
        .map_err(|fault| KeyError::File { path: key.to_owned(), fault })?;
    let server = mtls_server_config(Arc::clone(&roots), chain.clone(), key.clone_key(), window)?;
    Ok((server, mtls_client_config(roots, chain, key, window)?))
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let file_error = |fault| KeyError::File { path: path.to_owned(), fault };
    CertificateDer::pem_file_iter(path)
        .map_err(file_error)?
        .collect::<Result<_, _>>()
        .map_err(file_error)
}

fn mtls_server_config(
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    window: Option<u64>,
) -> Result<ServerConfig, KeyError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider));
    let tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier.build()?)
        .with_single_cert(chain, key)?;
    server_config(tls, window)
}

fn server_config(
    mut tls: rustls::ServerConfig,
    window: Option<u64>,
) -> Result<ServerConfig, KeyError> {
    tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let mut config = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(tls)?));
    config.transport_config(Arc::new(transport_config(window)));
    Ok(config)
}

fn mtls_client_config(
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    window: Option<u64>,
) -> Result<ClientConfig, KeyError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)?;
    client_config(tls, window)
}

fn client_config(
    mut tls: rustls::ClientConfig,
    window: Option<u64>,
) -> Result<ClientConfig, KeyError> {
    tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
    let mut transport = transport_config(window);
    // Only the client sends keep-alive packets; they keep the connection alive for both ends.
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    config.transport_config(Arc::new(transport));
    Ok(config)
}

fn transport_config(window: Option<u64>) -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        // Probes for a larger MTU cost more bytes than most connections carry.
        .mtu_discovery_config(None)
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_CONCURRENT_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .send_window(SEND_WINDOW_BYTES)
        .initial_rtt(INITIAL_RTT);
    if let Some(window) = window {
        let window = window.clamp(MIN_WINDOW_BYTES, SEND_WINDOW_BYTES);
        transport.send_window(window);
        transport.receive_window(VarInt::from_u64(window).unwrap_or(VarInt::MAX));
    }
    transport
}
