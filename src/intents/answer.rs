//! A runner's answer, from HTTP to a row and back.

use {
    super::call::hex,
    bilberryfront_decide::intent::{Answer, StoredBody},
    bytes::Bytes,
    compact_str::CompactString,
    http::HeaderMap,
};

/// Longest body that is kept for a retry, in bytes. Answers to such calls are short receipts; a
/// longer one would take the place of many other rows in a commit.
pub const BODY_MAX: usize = 16 << 10;
/// Headers that are kept for a retry.
pub const KEPT_HEADERS: [&str; 5] =
    ["content-type", "content-language", "location", "etag", "last-modified"];

/// The answer as a row keeps it.
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

/// The body of a kept answer; `None` when it was too long to keep, or its row is damaged.
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
