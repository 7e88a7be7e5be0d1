//! Validation of the certificate files under `tls`.

use {
    super::{
        Settings,
        locate::{Document, LocatedFault},
    },
    bilberryfront_decide::catalog::Step,
    rustls::{crypto::ring, sign::CertifiedKey},
    rustls_pki_types::{
        CertificateDer, PrivateKeyDer, UnixTime,
        pem::{self, PemObject},
    },
    std::path::Path,
    webpki::{EndEntityCert, KeyUsage, anchor_from_trusted_cert},
};

/// A result whose error is a [`FileError`].
type Result<T> = std::result::Result<T, FileError>;

/// Reason why a PEM file can't be used.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum FileError {
    #[error(transparent)]
    Pem(#[from] pem::Error),
    #[error("no certificate in it")]
    NoCertificate,
}

type Chain = Vec<CertificateDer<'static>>;

/// Adds all faults of the files under `settings.tls`, whose paths are already resolved.
pub fn check(doc: &Document, settings: &Settings, faults: &mut Vec<LocatedFault>) {
    let tls = &settings.tls;
    let authority = read_certificates(&tls.authority)
        .map_err(|e| faults.push(unusable_file(doc, "authority", &tls.authority, &e)));
    let chain = read_certificates(&tls.certificate)
        .map_err(|e| faults.push(unusable_file(doc, "certificate", &tls.certificate, &e)));
    let key = PrivateKeyDer::from_pem_file(&tls.key)
        .map_err(|e| faults.push(unusable_file(doc, "key", &tls.key, &e.into())));
    let Ok(chain) = chain else { return };
    check_name(doc, settings, &chain, faults);
    if let Ok(authority) = authority {
        check_acceptance(doc, &chain, &authority, faults);
    }
    if let Ok(key) = key {
        check_key(doc, chain, key, faults);
    }
}

fn read_certificates(path: &Path) -> Result<Chain> {
    let chain = CertificateDer::pem_file_iter(path)?.collect::<std::result::Result<Vec<_>, _>>()?;
    match chain.is_empty() {
        true => Err(FileError::NoCertificate),
        false => Ok(chain),
    }
}

fn check_name(
    doc: &Document,
    settings: &Settings,
    chain: &[CertificateDer<'static>],
    faults: &mut Vec<LocatedFault>,
) {
    let first_name = EndEntityCert::try_from(&chain[0])
        .ok()
        .and_then(|cert| cert.valid_dns_names().next().map(String::from));
    if first_name.as_deref() != Some(settings.name.as_str()) {
        let found = first_name.unwrap_or_else(|| "none".into());
        faults.push(doc.fault(
            &tls_field("certificate"),
            format!("the certificate's first DNS name is {found}, not `{}`", settings.name),
            "other nodes verify this node by its name: change `name`, or issue a certificate for it",
        ));
    }
}

/// Checks that peers would accept the certificate as that of a server and of a client. Otherwise the node
/// would start, and every peer would reject it.
fn check_acceptance(
    doc: &Document,
    chain: &[CertificateDer<'static>],
    authority: &[CertificateDer<'static>],
    faults: &mut Vec<LocatedFault>,
) {
    for usage in [KeyUsage::server_auth(), KeyUsage::client_auth()] {
        if let Err(e) = verify(chain, authority, usage) {
            faults.push(doc.fault(
                &tls_field("certificate"),
                format!("other nodes would refuse the certificate: {e}"),
                "issue a certificate that is valid now, by the authority under `authority`, for \
                 use as server and client",
            ));
            return;
        }
    }
}

fn verify(
    chain: &[CertificateDer<'static>],
    authority: &[CertificateDer<'static>],
    usage: KeyUsage,
) -> std::result::Result<(), webpki::Error> {
    let anchors = authority
        .iter()
        .map(anchor_from_trusted_cert)
        .collect::<std::result::Result<Vec<_>, _>>()?;
    let provider = ring::default_provider();
    let algorithms = provider.signature_verification_algorithms.all;
    let now = UnixTime::now();
    EndEntityCert::try_from(&chain[0])?
        .verify_for_usage(algorithms, &anchors, &chain[1..], now, usage, None, None)
        .map(|_| ())
}

fn check_key(
    doc: &Document,
    chain: Chain,
    key: PrivateKeyDer<'static>,
    faults: &mut Vec<LocatedFault>,
) {
    if let Err(e) = CertifiedKey::from_der(chain, key, &ring::default_provider()) {
        faults.push(doc.fault(
            &tls_field("key"),
            format!("the key does not match the certificate: {e}"),
            "name the key file that was made together with `certificate`",
        ));
    }
}

fn unusable_file(
    doc: &Document,
    name: &'static str,
    path: &Path,
    reason: &FileError,
) -> LocatedFault {
    let message = format!("cannot use {}: {reason}", path.display());
    doc.fault(&tls_field(name), message, "name a PEM file, relative to the settings file")
}

fn tls_field(name: &'static str) -> [Step; 2] {
    [Step::Field("tls"), Step::Field(name)]
}
