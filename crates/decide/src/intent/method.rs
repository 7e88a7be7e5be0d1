//! Classification of calls as repeatable or not, by RFC 9110 section 9.2.

/// A result whose error is a [`KeyError`].
pub type Result<T> = std::result::Result<T, KeyError>;

/// Maximum length of an `Idempotency-Key`, in bytes.
pub const KEY_MAX: usize = 255;

/// How often a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan<'a> {
    /// Any number of times, also to different runners.
    Repeat,
    /// At most once per key; holds the key.
    Once(&'a str),
}

/// A missing or invalid `Idempotency-Key`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum KeyError {
    /// No key, although the method is not idempotent.
    #[error("this method is not idempotent: send an Idempotency-Key header")]
    Missing,
    /// Empty or longer than [`KEY_MAX`].
    #[error("the Idempotency-Key must have 1 to {KEY_MAX} characters")]
    Length,
    /// Contains a byte that is not a visible ASCII character.
    #[error("the Idempotency-Key must be visible ASCII without spaces")]
    Charset,
}

/// Decides how often a call may be sent, by its method and its `Idempotency-Key`.
///
/// Safe methods ignore the key. For `PUT` and `DELETE`, which are idempotent, the key is optional
/// and requests at-most-once execution. All other methods require a key.
pub fn plan<'a>(method: &str, key: Option<&'a [u8]>) -> Result<Plan<'a>> {
    match (method, key) {
        ("GET" | "HEAD" | "OPTIONS", _) | ("PUT" | "DELETE", None) => Ok(Plan::Repeat),
        (_, None) => Err(KeyError::Missing),
        (_, Some(key)) => validate(key).map(Plan::Once),
    }
}

fn validate(key: &[u8]) -> Result<&str> {
    if key.is_empty() || key.len() > KEY_MAX {
        return Err(KeyError::Length);
    }
    if !key.iter().all(u8::is_ascii_graphic) {
        return Err(KeyError::Charset);
    }
    std::str::from_utf8(key).map_err(|_| KeyError::Charset)
}
