//! Authentication of operators. A node knows their keys only by digest.

use {
    crate::key::{bearer, digest},
    compact_str::{CompactString, format_compact},
    http::HeaderMap,
    subtle::ConstantTimeEq,
};

/// Number of digits of a key's digest that identify the operator in the history.
const SHOWN_DIGITS: usize = 8;

/// Digests of the accepted keys.
#[derive(Clone, Debug)]
pub struct Keys {
    digests: Vec<CompactString>,
}

impl Keys {
    /// Creates the set of keys with these lower-case hex SHA-256 digests.
    pub fn new(digests: Vec<CompactString>) -> Keys {
        Keys { digests }
    }

    /// Returns the operator identified by the key in the headers; `None` without an accepted key.
    ///
    /// Digests are compared in constant time: a comparison that stops at the first difference takes
    /// longer the more leading digits match, which reveals them to an attacker.
    pub fn operator(&self, headers: &HeaderMap) -> Option<CompactString> {
        let digest = digest(bearer(headers)?);
        let known = self
            .digests
            .iter()
            .fold(0, |known, d| known | d.as_bytes().ct_eq(digest.as_bytes()).unwrap_u8());
        (known == 1).then(|| format_compact!("key {}", &digest[..SHOWN_DIGITS]))
    }
}
