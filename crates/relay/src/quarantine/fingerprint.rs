//! Identity of a request across attempts.

use {
    crate::call::Call,
    bilberryfront_decide::member::message::RequestId,
    xxhash_rust::{xxh3::Xxh3, xxh64::xxh64},
};

/// Returns the identity of a request: equal for all attempts with the same account, method, path and
/// body.
pub(super) fn fingerprint(call: &Call) -> RequestId {
    let account = call.account.as_ref().map_or("", |account| account.name.as_str());
    let mut hash = Xxh3::new();
    for part in [call.method.as_str().as_bytes(), call.path.as_str().as_bytes(), &call.body] {
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    // The account is hashed by itself, so that no caller can construct a request that collides with
    // one of another account.
    RequestId { account: xxh64(account.as_bytes(), 0), request: hash.digest128() }
}
