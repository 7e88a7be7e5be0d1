//! Removal of hop-by-hop headers (RFC 9110, 7.6.1).

use http::{HeaderMap, HeaderName, header};

const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Hop-by-hop headers without a constant in the `http` crate.
const HOP_BY_HOP_OTHERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub fn strip(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    listed.iter().for_each(|name| _ = headers.remove(name));
    HOP_BY_HOP.iter().for_each(|name| _ = headers.remove(name));
    HOP_BY_HOP_OTHERS.iter().for_each(|name| _ = headers.remove(*name));
}
