//! Addresses of the nodes, and health and readiness of this node.

use {
    super::{Traffic, auth, problem},
    bilberryfront_wire::completion::Addresses,
    http::{StatusCode, header},
    volo_http::{
        body::Body, request::Request, response::Response, server::IntoResponse, utils::Extension,
    },
};

/// `GET /healthz`: whether the process responds.
pub async fn health() -> StatusCode {
    StatusCode::OK
}

/// `GET /readyz`: whether requests can be served.
pub async fn ready(Extension(traffic): Extension<Traffic>) -> Response {
    match traffic.begin_request() {
        Ok(_) => StatusCode::OK.into_response(),
        Err(problem) => problem::response(&problem),
    }
}

/// `GET /v1/addresses`: available nodes, those of this node's failure domain first.
pub async fn list(Extension(traffic): Extension<Traffic>, request: Request) -> Response {
    let view = traffic.control.view();
    if let Err(problem) = auth::account(&view.catalog, request.headers()) {
        return problem::response(&problem);
    }
    json(&Addresses { addresses: view.addresses.clone(), ttl_seconds: traffic.ttl })
}

/// Returns a response with a JSON body.
pub fn json(value: &impl serde::Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("wire types always serialize");
    http::Response::builder()
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::from(body))
        .expect("statuses and headers are constants")
}
