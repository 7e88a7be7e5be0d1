//! Conversion of a runner's response between HTTP and its recorded form.

use {
    super::call::hex,
    bilberryfront_decide::intent::{Answer, StoredBody},
    bytes::Bytes,
    compact_str::CompactString,
    http::HeaderMap,
};

/// Longest body that is recorded for retries, in bytes. Responses to such calls are usually short
/// receipts; a longer one would displace many other rows from a commit.
pub const BODY_MAX: usize = 16 << 10;
/// Headers that are recorded for retries.
pub const KEPT_HEADERS: [&str; 5] =
    ["content-type", "content-language", "location", "etag", "last-modified"];

/// Returns the response in its recorded form.
pub fn keep(status: u16, headers: &HeaderMap, body: &[u8]) -> Answer {
    let headers = KEPT_HEADERS
        .iter()
        .filter_map(|name| Some((*name, headers.get(*name)?.to_str().ok()?)))
        .map(|(name, value)| (CompactString::const_new(name), value.to_owned()))
        .collect();
    Answer { status, headers, body: keep_body(body) }
}

fn keep_body(body: &[u8]) -> StoredBody {
    if body.len() > BODY_MAX {
        return StoredBody::Dropped;
    }
    match std::str::from_utf8(body) {
        Ok(text) => StoredBody::Text(text.to_owned()),
        Err(_) => StoredBody::Hex(hex(body).into()),
    }
}

/// Returns the body of a recorded response; `None` if it was too long to record, or the row is
/// corrupt.
pub fn body(kept: &StoredBody) -> Option<Bytes> {
    match kept {
        StoredBody::Text(text) => Some(Bytes::copy_from_slice(text.as_bytes())),
        StoredBody::Hex(hex) => unhex(hex),
        StoredBody::Dropped => None,
    }
}

fn unhex(hex: &str) -> Option<Bytes> {
    if !hex.is_ascii() || !hex.len().is_multiple_of(2) {
        return None;
    }
    (0..hex.len()).step_by(2).map(|i| u8::from_str_radix(&hex[i..i + 2], 16).ok()).collect()
}
