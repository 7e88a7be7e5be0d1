//! How a response states where its body ends.

use {
    http::{HeaderMap, header},
    prometheus_client::encoding::EncodeLabelValue,
};

/// How a response states where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub enum Framing {
    /// Content length.
    Length,
    /// Transfer coding `chunked`, with a final chunk.
    Chunks,
    /// The end of the connection, which is also what is seen of a runner that is killed.
    Close,
}

impl Framing {
    /// Returns the framing that the headers of a response state.
    pub fn of(headers: &HeaderMap) -> Framing {
        match () {
            () if headers.contains_key(header::TRANSFER_ENCODING) => Framing::Chunks,
            () if headers.contains_key(header::CONTENT_LENGTH) => Framing::Length,
            () => Framing::Close,
        }
    }
}
