//! Deployments to measure; each process is a copy of this program.

use {
    crate::ROLE_VARIABLE,
    bilberryfront_harness::fleet::{CALLER_KEY, Fleet, Programs, catalog},
    bilberryfront_wire::{completion::CompletionRequest, runner::Generate},
    serde_json::json,
    std::{env, io, process},
    volo_http::{body::Body, client::Client, error::client::ClientError, response::Response},
};

/// Catalogue entry of the engine.
pub(crate) const ENGINE: &str = "verify-llm";
/// Catalogue entry of the service.
pub(crate) const SERVICE: &str = "desk-app";

/// Endpoint that receives the requests: a node, or a runner directly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// The runner stand-in.
    Direct,
    /// A node in front of runner stand-ins.
    Node,
}

/// Returns a command that starts a copy of this program in another role.
pub(crate) fn role(role: &str) -> process::Command {
    let program = env::current_exe().expect("the path of the running program is available");
    let mut command = process::Command::new(program);
    command.env(ROLE_VARIABLE, role);
    command
}

/// Starts runners, with `args` added to their command lines, and nodes, and waits until all are ready.
/// The catalogue's limits are high enough not to affect the measurements.
pub(crate) async fn start(runners: usize, nodes: usize, args: &[&str]) -> io::Result<Fleet> {
    let programs = Programs { standin: || role("standin"), product: || role("node") };
    let mut fleet = Fleet::new(programs)?;
    for i in 0..runners {
        let domain = format!("domain-{}", i % 4);
        let args = [&["--entry", ENGINE, "--domain", &domain][..], args].concat();
        fleet.start("runner", &format!("runner-{i}"), &args)?;
    }
    let mut doc = catalog(ENGINE, SERVICE);
    let entry = &mut doc["entries"][0];
    entry["limits"] = json!({"concurrent": 20_000, "stall_ms": 600_000, "first_ms": 30_000});
    entry["accounts"][0]["concurrent"] = json!(20_000);
    fleet.apply(1, &doc).await?;
    for i in 0..nodes {
        fleet.start_node(&format!("node-{i}"), &format!("domain-{}", i % 4)).await?;
    }
    fleet.ready().await?;
    Ok(fleet)
}

/// Starts a generation and returns the response, whose body is not read yet.
pub(crate) async fn open_stream(
    client: &Client,
    endpoint: Endpoint,
    url: &str,
    prompt: String,
) -> Result<Response, ClientError> {
    let (path, body) = match endpoint {
        Endpoint::Direct => ("generate", serde_json::to_vec(&generate(prompt))),
        Endpoint::Node => ("v1/completions", serde_json::to_vec(&completion(prompt))),
    };
    let body = body.expect("wire types always serialize");
    let bearer = format!("Bearer {CALLER_KEY}");
    let post = client.post(format!("{url}/{path}")).header("authorization", bearer.as_str());
    post.header("content-type", "application/json").body(Body::from(body)).send::<Body>().await
}

fn generate(prompt: String) -> Generate {
    Generate {
        request: "measure".into(),
        attempt: 1,
        model: ENGINE.into(),
        version: "v1".into(),
        prompt,
        index: 0,
        prefix: String::new(),
        max_tokens: 4_096,
        priority: 8,
    }
}

fn completion(prompt: String) -> CompletionRequest {
    CompletionRequest { model: ENGINE.into(), prompt, max_tokens: None, stream: true, resume: None }
}
