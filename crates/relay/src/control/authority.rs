//! Certificate authority of the nodes.
//!
//! It is kept in a row of the store and created by the first node. Certificates authenticate nodes on the
//! network; they give no protection against users of the store, who can read the private key.

use {
    rcgen::{
        BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, Issuer, KeyPair,
        KeyUsagePurpose,
    },
    serde::{Deserialize, Serialize},
};

/// A result with a certificate error.
pub(super) type Result<T> = std::result::Result<T, rcgen::Error>;

/// Certificate and private key of the authority, in PEM format.
#[derive(Clone)]
#[derive(Deserialize, Serialize)]
pub(super) struct Authority {
    /// Creation time in milliseconds since the Unix epoch; 0 if unknown.
    #[serde(default)]
    created: u64,
    pub(super) certificate: String,
    key: String,
}

/// Certificate and private key of a node, in PEM format.
pub(super) struct Identity {
    pub(super) certificate: String,
    pub(super) key: String,
}

impl Authority {
    /// Creates a new authority with a self-signed certificate.
    pub(super) fn create(created: u64) -> Result<Authority> {
        let issuer = CertifiedIssuer::self_signed(params(), KeyPair::generate()?)?;
        let (certificate, key) = (issuer.pem(), issuer.key().serialize_pem());
        Ok(Authority { created, certificate, key })
    }

    /// Returns whether this authority replaces `other` in the store: the older one has signed the
    /// certificates of more nodes.
    pub(super) fn precedes(&self, other: &Authority) -> bool {
        (self.created, &self.certificate) < (other.created, &other.certificate)
    }

    /// Decodes a stored authority; `None` if it is invalid.
    pub(super) fn parse(value: &[u8]) -> Option<Authority> {
        let authority: Authority = serde_json::from_slice(value).ok()?;
        authority.issuer().is_ok().then_some(authority)
    }

    /// Encodes the authority for the store.
    pub(super) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain data serializes")
    }

    /// Signs a certificate for a node.
    pub(super) fn sign(&self, name: &str) -> Result<Identity> {
        let key = KeyPair::generate()?;
        let params = CertificateParams::new([name.to_owned()])?;
        let certificate = params.signed_by(&key, &self.issuer()?)?;
        Ok(Identity { certificate: certificate.pem(), key: key.serialize_pem() })
    }

    fn issuer(&self) -> Result<Issuer<'static, KeyPair>> {
        Ok(Issuer::new(params(), KeyPair::from_pem(&self.key)?))
    }
}

/// Returns the parameters of the authority's certificate.
fn params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params
}
