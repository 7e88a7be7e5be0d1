//! Keys of callers and operators in requests.

use {
    compact_str::{CompactString, format_compact},
    http::{HeaderMap, header::AUTHORIZATION},
    sha2::{Digest, Sha256},
};

const SCHEME: &str = "bearer";

/// Returns the key of the header `Authorization: Bearer KEY`.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case(SCHEME).then_some(key)
}

/// Returns the lower-case hex SHA-256 digest of a key.
pub fn digest(key: &str) -> CompactString {
    Sha256::digest(key).iter().map(|byte| format_compact!("{byte:02x}")).collect()
}
