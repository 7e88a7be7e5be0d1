//! Registration in the instance list.

use {
    bilberryfront_wire::instance::Instance,
    std::io,
    volo_http::{body::Body, client::Client},
};

/// Registers an instance in the list whose base URL is `list`.
pub(crate) async fn register(list: &str, instance: &Instance) -> io::Result<()> {
    let url = format!("{list}/instances/{}", instance.name);
    let body = serde_json::to_vec(instance)?;
    let client = Client::builder().build().map_err(io::Error::other)?;
    let request = client.post(url).header("content-type", "application/json");
    let response = request.body(Body::from(body)).send::<Body>().await.map_err(io::Error::other)?;
    match response.status().is_success() {
        true => Ok(()),
        false => Err(io::Error::other(format!(
            "the instance list at {list} returned {} for instance {}",
            response.status(),
            instance.name
        ))),
    }
}
