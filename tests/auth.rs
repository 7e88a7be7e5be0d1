//! Authentication of callers.

use {
    bilberryfront::traffic::auth,
    bilberryfront_decide::catalog::Catalog,
    bilberryfront_wire::problem::Run,
    http::{HeaderMap, HeaderValue, header::AUTHORIZATION},
};

/// Guards against a 401 from a node without a catalogue, such as one that was replaced during an
/// outage of the table service. The key may be valid, and a caller that gets 401 would not retry.
#[test]
fn a_node_without_a_catalogue_rejects_no_key() {
    let key = HeaderValue::from_static("Bearer good");
    let headers = HeaderMap::from_iter([(AUTHORIZATION, key)]);
    let problem = auth::account(&Catalog::default(), &headers).unwrap_err();
    assert_eq!((problem.status, problem.run), (503, Run::NotRun));
    assert!(problem.retry_after.is_some());
}
