//! Checks of response heads.

use {
    bilberryfront_relay::framing::{BadHead, Framing},
    http::{Method, Response, Version, response::Parts},
};

/// Returns the head of a response with these fields.
fn head(version: Version, status: u16, fields: &[Field]) -> Parts {
    let response = Response::builder().version(version).status(status);
    let response =
        fields.iter().fold(response, |response, (name, value)| response.header(*name, *value));
    response.body(()).unwrap().into_parts().0
}

/// Name and value of a field.
type Field = (&'static str, &'static [u8]);

fn framing(fields: &[Field]) -> Result<Framing, BadHead> {
    Framing::of(&Method::GET, &head(Version::HTTP_11, 200, fields))
}

/// Guards against a sound response that is taken for a malformed one.
#[test]
fn each_valid_framing_is_accepted() {
    assert_eq!(framing(&[("content-length", b"0")]), Ok(Framing::Length));
    assert_eq!(framing(&[("content-length", b"83")]), Ok(Framing::Length));
    assert_eq!(framing(&[("transfer-encoding", b"chunked")]), Ok(Framing::Chunks));
    assert_eq!(framing(&[("transfer-encoding", b"Chunked")]), Ok(Framing::Chunks));
    assert_eq!(framing(&[("connection", b"close")]), Ok(Framing::Close));
    assert_eq!(framing(&[("connection", b"x-field, Close")]), Ok(Framing::Close));
    let old = head(Version::HTTP_10, 200, &[]);
    assert_eq!(Framing::of(&Method::GET, &old), Ok(Framing::Close));
}

/// Guards against a response without a body that is taken for one that states no end.
#[test]
fn responses_that_have_no_body_need_no_framing() {
    let head = |status| head(Version::HTTP_11, status, &[]);
    assert_eq!(Framing::of(&Method::HEAD, &head(200)), Ok(Framing::Length));
    assert_eq!(Framing::of(&Method::GET, &head(204)), Ok(Framing::Length));
    assert_eq!(Framing::of(&Method::GET, &head(304)), Ok(Framing::Length));
}

/// Guards against a corrupted body that is returned as the runner's: the field that states its end is corrupted.
#[test]
fn a_corrupted_framing_is_rejected() {
    let cases: [(&[Field], BadHead); 12] = [
        (&[("transfer-encoding", b"chunkd")], BadHead::Coding),
        (&[("transfer-encoding", b"chun\xebed")], BadHead::Coding),
        (&[("transfer-encoding", b"")], BadHead::Coding),
        (&[("transfer-encoding", b"identity")], BadHead::Coding),
        (&[("transfer-encoding", b"gzip, chunked")], BadHead::Coding),
        (&[("transfer-encoding", b"chunked"), ("transfer-encoding", b"chunked")], BadHead::Coding),
        (&[("transfer-encoding", b"chunked"), ("content-length", b"41")], BadHead::Ambiguous),
        (&[("content-length", b"8x3")], BadHead::Length),
        (&[("content-length", b"+83")], BadHead::Length),
        (&[("content-length", b"")], BadHead::Length),
        (&[("content-length", b"83"), ("content-length", b"41")], BadHead::Length),
        (&[("content-lengsh", b"83"), ("keep-alive", b"timeout=10")], BadHead::Endless),
    ];
    for (fields, expected) in cases {
        assert_eq!(framing(fields), Err(expected), "{fields:?}");
    }
}

/// Guards against a rejection that is taken for a lost response, so that its request ends with an error or counts
/// as run.
#[test]
fn a_rejection_without_a_body_needs_no_framing() {
    for status in [408, 421, 429, 503] {
        let head = head(Version::HTTP_11, status, &[("keep-alive", b"timeout=10")]);
        assert_eq!(Framing::of(&Method::GET, &head), Ok(Framing::Close), "{status}");
    }
}

/// Guards against chunks that an HTTP/1.0 response cannot have.
#[test]
fn chunks_need_http_1_1() {
    let head = head(Version::HTTP_10, 200, &[("transfer-encoding", b"chunked")]);
    assert_eq!(Framing::of(&Method::GET, &head), Err(BadHead::Coding));
}

/// Guards against a status that is no final one and reaches the caller as an answer.
#[test]
fn a_status_that_is_not_final_is_rejected() {
    for status in [100, 101, 199, 600, 999] {
        let head = head(Version::HTTP_11, status, &[("content-length", b"0")]);
        assert_eq!(Framing::of(&Method::GET, &head), Err(BadHead::Status), "{status}");
    }
}
