//! Checks of response heads, and where the bodies end. All responses of runners and of the store pass them.

use {
    crate::dialect::guarantees_not_run,
    http::{HeaderMap, Method, StatusCode, Version, header, response::Parts},
    prometheus_client::encoding::EncodeLabelValue,
    std::ops::RangeInclusive,
};

/// Result with a [`BadHead`].
pub type Result<T> = std::result::Result<T, BadHead>;

/// Start of a response.
const RESPONSE_START: &[u8] = b"HTTP/";
/// Statuses of final responses; no request asks for another protocol.
const STATUSES: RangeInclusive<u16> = 200..=599;

/// How a response states where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub enum Framing {
    /// Content length, or a response that has no body.
    Length,
    /// Transfer coding `chunked`, with a final chunk.
    Chunks,
    /// The end of the connection, which is also what is seen of a runner that is killed.
    Close,
}

/// Why the head of a response cannot be relied on. Its body may be anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum BadHead {
    /// Unknown status, or one that is not final.
    #[error("a status outside 200 to 599")]
    Status,
    /// Transfer coding other than `chunked`, or several.
    #[error("an unknown transfer coding")]
    Coding,
    /// Content length that is no number or too small, or several.
    #[error("an invalid content length")]
    Length,
    /// Both a content length and a transfer coding.
    #[error("both a content length and a transfer coding")]
    Ambiguous,
    /// Neither a content length nor a transfer coding, although the connection is to be kept.
    #[error("no end of the body is stated")]
    Endless,
}

impl Framing {
    /// Checks the head of a response to a request with `method`, and returns the framing that it states.
    ///
    /// # Errors
    ///
    /// Fails if the head does not state exactly one framing that HTTP/1.1 allows.
    pub fn of(method: &Method, parts: &Parts) -> Result<Framing> {
        let Parts { status, version, headers, .. } = parts;
        if !STATUSES.contains(&status.as_u16()) {
            return Err(BadHead::Status);
        }
        let codings = headers.get_all(header::TRANSFER_ENCODING).iter().count();
        let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
        match (codings, lengths) {
            (0, 0) if has_no_body(method, *status) => Ok(Framing::Length),
            (0, 0) if closes(*version, headers) => Ok(Framing::Close),
            // The status says all.
            (0, 0) if guarantees_not_run(*status) => Ok(Framing::Close),
            (0, 0) => Err(BadHead::Endless),
            (0, 1) if is_length(&headers[header::CONTENT_LENGTH]) => Ok(Framing::Length),
            (0, _) => Err(BadHead::Length),
            (1, 0) if *version == Version::HTTP_11 && is_chunked(headers) => Ok(Framing::Chunks),
            (_, 0) => Err(BadHead::Coding),
            _ => Err(BadHead::Ambiguous),
        }
    }
}

/// Returns whether a response has no body, whatever length it states (RFC 9112, 6.3).
pub fn has_no_body(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Returns whether bytes behind a response neither begin another one, which a faulty runner may send, nor are line
/// ends, which some servers add.
pub fn is_surplus(behind: &[u8]) -> bool {
    let rest = behind.trim_ascii_start();
    let start = &rest[..rest.len().min(RESPONSE_START.len())];
    !RESPONSE_START.starts_with(start)
}

/// Returns whether the connection ends with the response.
fn closes(version: Version, headers: &HeaderMap) -> bool {
    let options =
        headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let mut options = options.flat_map(|value| value.split(',')).map(str::trim);
    version == Version::HTTP_10 || options.any(|option| option.eq_ignore_ascii_case("close"))
}

fn is_length(value: &header::HeaderValue) -> bool {
    !value.is_empty() && value.as_bytes().iter().all(u8::is_ascii_digit)
}

fn is_chunked(headers: &HeaderMap) -> bool {
    headers[header::TRANSFER_ENCODING].as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked")
}
