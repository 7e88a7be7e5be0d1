//! Identity of a request across attempts, and of its prompt.

use {
    crate::call::Call,
    bilberryfront_decide::member::message::{Prompt, RequestId},
    bilberryfront_peer::codec::PARTS_LIMIT,
    xxhash_rust::{xxh3::Xxh3, xxh64::xxh64},
};

/// Returns the identity of a request: equal for all attempts with the same account, method, path and
/// body.
pub(crate) fn fingerprint(call: &Call) -> RequestId {
    let mut hash = Xxh3::new();
    for part in [call.method.as_str().as_bytes(), call.path.as_str().as_bytes(), &call.body] {
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    // The account is hashed by itself, so that no caller can construct a request that collides with
    // one of another account.
    RequestId { account: account_hash(call), request: hash.digest128() }
}

/// Returns the shared parts of a request's prompt.
pub(super) fn prompt_of(call: &Call) -> Prompt {
    let mut parts = call.head.prefix.clone();
    parts.sort_unstable();
    parts.dedup();
    parts.truncate(PARTS_LIMIT);
    let RequestId { account, request } = fingerprint(call);
    Prompt { account, request: request as u64, parts }
}

/// Returns the hash of a request's account.
pub(super) fn account_hash(call: &Call) -> u64 {
    xxh64(call.account.as_ref().map_or("", |account| account.name.as_str()).as_bytes(), 0)
}
