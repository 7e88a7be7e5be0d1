//! The callers' interface: completions (`POST /v1/completions`) and addresses
//! (`GET /v1/addresses`).

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// Name of the catalogue entry.
    pub model: CompactString,
    /// Text to complete.
    pub prompt: String,
    /// Maximum tokens to generate; the entry's limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the response is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Text that the caller has already received, sent with `Last-Event-ID` to resume an interrupted
    /// stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<String>,
}

/// Data of one event of a streamed response, or the body of a response that is not streamed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Completion {
    /// Identifier of the request, the same in every event of one generation.
    pub id: CompactString,
    /// Name of the catalogue entry.
    pub model: CompactString,
    /// Always exactly one choice.
    pub choices: Vec<Choice>,
    /// Token counts, in the last event or in a response that is not streamed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A part of the generated text.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// Generated text, to be appended to that of the previous events.
    pub text: String,
    /// Set in the last event and in a response that is not streamed.
    pub finish_reason: Option<FinishReason>,
}

/// Why a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the generation.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// Token counts of one generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Usage {
    /// Tokens of the whole generation, including those sent before it was resumed.
    pub completion_tokens: u32,
}

/// Response of `GET /v1/addresses`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Addresses {
    /// Nodes that accept new requests, those in the responding node's failure domain first.
    pub addresses: Vec<NodeAddress>,
    /// Time for which the caller may cache this response, in seconds.
    pub ttl_seconds: u32,
}

/// Address at which a node serves callers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct NodeAddress {
    /// Base URL, such as `http://10.0.0.1:8080`.
    pub url: CompactString,
    /// Failure domain of the node.
    pub domain: CompactString,
}
