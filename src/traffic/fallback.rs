//! Rejection of requests before a handler runs: unknown paths, unsupported methods, oversized
//! headers.

use {
    super::problem::{self, Kind, not_run},
    http::{HeaderMap, HeaderValue, Method, header::ALLOW},
    volo_http::{
        context::ServerContext, request::Request, response::Response, server::middleware::Next,
    },
};

/// Maximum total size of header names and values, in bytes. The HTTP library accepts 400 KiB and
/// 100 lines, which would amount to gigabytes for 32,000 concurrent requests.
const MAX_HEADER_BYTES: usize = 16 << 10;

/// Rejects a request whose headers are too large, for any path.
pub async fn check_headers(cx: &mut ServerContext, request: Request, next: Next) -> Response {
    if size(request.headers()) > MAX_HEADER_BYTES {
        let detail = format!("send at most {} KiB of headers", MAX_HEADER_BYTES >> 10);
        return problem::response(&not_run(Kind::HeadersTooLarge, detail));
    }
    match next.run(cx, request).await {
        Ok(response) => response,
        Err(never) => match never {},
    }
}

/// Rejects an unknown path.
pub async fn not_found() -> Response {
    let detail = "the paths are /v1/addresses, /v1/completions, /v1/services/ENTRY/PATH, /healthz \
                  and /readyz";
    problem::response(&not_run(Kind::NotFound, detail))
}

/// Rejects other methods for a path that supports only GET.
pub async fn only_get() -> Response {
    method_not_allowed(&Method::GET)
}

/// Rejects other methods for a path that supports only POST.
pub async fn only_post() -> Response {
    method_not_allowed(&Method::POST)
}

fn method_not_allowed(method: &Method) -> Response {
    let detail = format!("this path takes only {method}");
    let mut response = problem::response(&not_run(Kind::MethodNotAllowed, detail));
    let allow = HeaderValue::from_str(method.as_str()).expect("a method is a token");
    response.headers_mut().insert(ALLOW, allow);
    response
}

fn size(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
}
