//! Identity of a non-idempotent call.

use {
    compact_str::{CompactString, format_compact},
    sha2::{Digest, Sha256},
    std::fmt::Write as _,
};

/// Prefix of the row key of every intent.
pub const PREFIX: &str = "intent/";

/// The identity of a call, as given by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Name of the account.
    pub account: CompactString,
    /// Name of the catalogue entry.
    pub entry: CompactString,
    /// The `Idempotency-Key`.
    pub key: CompactString,
    /// Lower-case hex SHA-256 of method, path and body.
    pub digest: CompactString,
}

impl Call {
    /// Returns the key of the call's row: [`PREFIX`] and a digest of account, entry and key.
    ///
    /// A digest has a fixed length, needs no escaping and distributes the rows evenly over key
    /// prefixes, so the sweeper can read them in small shards.
    pub fn row(&self) -> CompactString {
        let hash = hash([&*self.account, &*self.entry, &*self.key].map(str::as_bytes));
        format_compact!("{PREFIX}{hash}")
    }
}

/// Returns the digest of a call's request. Reuse of a key with another digest is a caller error.
pub fn digest(method: &str, path: &str, body: &[u8]) -> CompactString {
    hash([method.as_bytes(), path.as_bytes(), body])
}

/// Returns the lower-case hex SHA-256 of the parts. Each part is prefixed with its length, so that
/// ("ab", "c") and ("a", "bc") differ.
fn hash<const N: usize>(parts: [&[u8]; N]) -> CompactString {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hex(&hasher.finalize())
}

/// Encodes bytes as lower-case hex.
pub(super) fn hex(bytes: &[u8]) -> CompactString {
    let mut text = CompactString::with_capacity(bytes.len() * 2);
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to a string can't fail");
    }
    text
}
