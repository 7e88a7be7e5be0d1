//! The certificate authority of the nodes.
//!
//! It is kept in the store and created by the first node. Certificates authenticate nodes on the
//! network; they do not protect against users of the store.

use {
    crate::store::{Store, StoreError, Write},
    rcgen::{
        BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, Issuer, KeyPair,
        KeyUsagePurpose,
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::sleep,
};

/// A result with a certificate error.
pub(super) type Result<T> = std::result::Result<T, rcgen::Error>;

/// Table and key of the authority.
const TABLE: &str = "bilberryfront-keys";
const KEY: &str = "authority";
/// Retry delay.
const RETRY: Duration = Duration::from_millis(400);

/// Certificate and private key of the authority, PEM.
#[derive(Clone)]
#[derive(Deserialize, Serialize)]
pub(super) struct Authority {
    pub(super) certificate: String,
    key: String,
}

/// Certificate and private key of a node, PEM.
pub(super) struct Identity {
    pub(super) certificate: String,
    pub(super) key: String,
}

/// Reads the authority, or creates it; retries until the store is available.
pub(super) async fn get<S: Store>(store: &S) -> Authority {
    loop {
        match get_once(store).await {
            Ok(authority) => return authority,
            Err(StoreError::Conflict) => {}
            Err(error) => {
                log::warn!("cannot read the certificate authority: {error}");
                sleep(RETRY).await;
            }
        }
    }
}

async fn get_once<S: Store>(store: &S) -> std::result::Result<Authority, StoreError> {
    let rows = store.read(TABLE).await?.rows;
    let row = rows.iter().find(|r| r.key == KEY);
    let (found, expected) = match row {
        Some(row) => (row.value.as_deref().and_then(parse), row.revision),
        None => (None, 0),
    };
    if let Some(authority) = found {
        return Ok(authority);
    }
    let authority = create().expect("a new key signs its own certificate");
    let value = serde_json::to_vec(&authority).expect("plain data serializes");
    let write = Write {
        table: TABLE.into(),
        key: KEY.into(),
        value: Some(value.into()),
        expected: Some(expected),
    };
    store.write(&[write]).await?;
    Ok(authority)
}

fn parse(value: &[u8]) -> Option<Authority> {
    let authority: Authority = serde_json::from_slice(value).ok()?;
    authority.issuer().is_ok().then_some(authority)
}

fn create() -> Result<Authority> {
    let issuer = CertifiedIssuer::self_signed(params(), KeyPair::generate()?)?;
    Ok(Authority { certificate: issuer.pem(), key: issuer.key().serialize_pem() })
}

impl Authority {
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

/// Parameters of the authority's certificate.
fn params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params
}
