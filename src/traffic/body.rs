//! Reading of a caller's body, with limits on size and time.

use {
    super::problem::{Kind, not_run},
    bilberryfront_wire::problem::Problem,
    bytes::Bytes,
    http_body::Body as _,
    http_body_util::{BodyExt, LengthLimitError, Limited},
    std::time::Duration,
    tokio::time::timeout,
    volo_http::body::Body,
};

/// A result whose error is the response to the caller.
pub type Result<T> = std::result::Result<T, Problem>;

/// Maximum time to receive a body. Without it a caller that sends a byte now and then would hold
/// memory indefinitely.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the whole body, of at most `limit` bytes.
pub async fn read(body: Body, limit: u32) -> Result<Bytes> {
    // A body whose declared length is too large is rejected before it is received: receiving it
    // could not change the result.
    if body.size_hint().lower() > limit.into() {
        return Err(too_large(limit));
    }
    let collected = Limited::new(body, limit as usize).collect();
    match timeout(BODY_TIMEOUT, collected).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large(limit)),
        Ok(Err(error)) => Err(not_run(Kind::BadRequest, format!("the body broke off: {error}"))),
        Err(_) => Err(not_run(Kind::SlowBody, "send the whole body within 10 s")),
    }
}

/// Rejects a body that is larger than its entry allows.
pub fn check(body: &[u8], limit: u32) -> Result<()> {
    if body.len() > limit as usize {
        return Err(too_large(limit));
    }
    Ok(())
}

fn too_large(limit: u32) -> Problem {
    not_run(Kind::TooLarge, format!("send at most {limit} bytes"))
}
