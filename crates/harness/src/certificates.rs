//! Certificate authority for the nodes' mutual TLS.

use {
    rcgen::{
        BasicConstraints, CertificateParams, CertifiedIssuer, DnType, ExtendedKeyUsagePurpose,
        IsCa, KeyPair, KeyUsagePurpose,
    },
    std::{fs, io, path::Path},
};

/// Certificate authority that signs the certificates of nodes.
pub struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
    /// Creates an authority with a new key.
    pub fn new() -> Authority {
        let mut params = CertificateParams::default();
        params.distinguished_name.push(DnType::CommonName, "bilberryfront test authority");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
        let key = KeyPair::generate().expect("the system provides randomness");
        let issuer =
            CertifiedIssuer::self_signed(params, key).expect("the parameters are constant");
        Authority { issuer }
    }

    /// Signs a new certificate for node `name` and writes `NAME.pem`, `NAME.key` and `authority.pem`
    /// into `folder`.
    pub fn write(&self, folder: &Path, name: &str) -> io::Result<()> {
        let mut params = CertificateParams::new(vec![name.to_owned()]).map_err(io::Error::other)?;
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let key = KeyPair::generate().map_err(io::Error::other)?;
        let certificate = params.signed_by(&key, &self.issuer).map_err(io::Error::other)?;
        fs::write(folder.join(format!("{name}.pem")), certificate.pem())?;
        fs::write(folder.join(format!("{name}.key")), key.serialize_pem())?;
        fs::write(folder.join("authority.pem"), self.issuer.pem())
    }
}

impl Default for Authority {
    fn default() -> Authority {
        Authority::new()
    }
}
