//! Classification of calls by method and `Idempotency-Key`.

use bilberryfront_decide::intent::{KeyError, Plan, plan};

#[test]
fn idempotent_methods_need_no_key() {
    for method in ["GET", "HEAD", "OPTIONS", "PUT", "DELETE"] {
        assert_eq!(plan(method, None), Ok(Plan::Repeat), "{method}");
    }
}

#[test]
fn other_methods_need_a_key() {
    for method in ["POST", "PATCH", "TRACE", "post", "MKCOL"] {
        assert_eq!(plan(method, None), Err(KeyError::Missing), "{method}");
        assert_eq!(plan(method, Some(b"a-key")), Ok(Plan::Once("a-key")), "{method}");
    }
}

#[test]
fn a_key_makes_an_idempotent_call_run_once() {
    assert_eq!(plan("PUT", Some(b"k")), Ok(Plan::Once("k")));
    assert_eq!(plan("GET", Some(b"k")), Ok(Plan::Repeat));
}

#[test]
fn invalid_keys_are_rejected() {
    let error = |key: &[u8]| plan("POST", Some(key)).expect_err("the key is invalid");
    assert_eq!(error(b""), KeyError::Length);
    assert_eq!(error(&[b'a'; 256]), KeyError::Length);
    assert_eq!(error(b"two words"), KeyError::Charset);
    assert_eq!(error("é".as_bytes()), KeyError::Charset);
    assert!(plan("POST", Some(&[b'~'; 255])).is_ok());
}
