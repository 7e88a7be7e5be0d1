//! Authentication of callers: API keys are checked against the digests in the catalogue.

use {
    super::problem::{Kind, not_run, with_retry_after},
    crate::key::{bearer, digest},
    bilberryfront_decide::{catalog::Catalog, id::AccountKey},
    bilberryfront_wire::problem::Problem,
    http::HeaderMap,
    std::time::Duration,
};

/// A result whose error is the response to the caller.
pub type Result<T> = std::result::Result<T, Problem>;

/// `Retry-After` of a node that has no catalogue yet.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Finds the account whose key the request carries.
///
/// The lookup compares digests instead of keys, so that its duration reveals nothing about a key.
///
/// A node that starts during an outage of the table has no catalogue. It reports that it is not
/// serving yet instead of rejecting the key, since callers do not retry after that.
pub fn account(catalog: &Catalog, headers: &HeaderMap) -> Result<AccountKey> {
    if catalog.revision == 0 {
        let problem = not_run(Kind::NotServing, "the node has no catalogue yet");
        return Err(with_retry_after(problem, RETRY_AFTER));
    }
    let key = bearer(headers)
        .ok_or_else(|| not_run(Kind::Unauthorized, "send `Authorization: Bearer KEY`"))?;
    catalog
        .account_by_key(&digest(key))
        .ok_or_else(|| not_run(Kind::Unauthorized, "no account has this key"))
}
