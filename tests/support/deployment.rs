//! A small deployment with one engine entry and one service entry.

use {
    bilberryfront_harness::fleet::{Fleet, catalog},
    bilberryfront_standins::text::{Answer, Sampling},
    bilberryfront_wire::completion::CompletionRequest,
};

/// Name of the engine entry in the catalogue.
pub(crate) const ENGINE: &str = "verify-llm";
/// Name of the service entry in the catalogue.
pub(crate) const SERVICE: &str = "desk-app";
/// Tokens in each completion.
pub(crate) const TOKENS: u32 = 120;
/// Prompt of [`request`].
pub(crate) const PROMPT: &str = "Is the bridge older than the town hall?";

/// Starts runners and nodes, and waits until the nodes are ready.
pub(crate) async fn fleet(runners: &[&str], nodes: &[&str]) -> Fleet {
    let mut fleet = Fleet::new(crate::programs::programs()).unwrap();
    let tokens = TOKENS.to_string();
    for name in runners {
        let args = ["--entry", ENGINE, "--answer-tokens", &tokens, "--token-ms", "2"];
        fleet.start("runner", name, &args).unwrap();
    }
    fleet.apply(1, &catalog(ENGINE, SERVICE)).await.unwrap();
    for name in nodes {
        fleet.start_node(name, "domain-a").await.unwrap();
    }
    fleet.ready().await.unwrap();
    fleet
}

/// Returns a streamed request.
pub(crate) fn request() -> CompletionRequest {
    CompletionRequest {
        model: ENGINE.into(),
        prompt: PROMPT.into(),
        max_tokens: None,
        stream: true,
        resume: None,
    }
}

/// Returns the complete text of the response to [`request`].
pub(crate) fn expected() -> String {
    Answer::new("v1", PROMPT, Sampling::Same, Some(TOKENS)).text(TOKENS)
}
