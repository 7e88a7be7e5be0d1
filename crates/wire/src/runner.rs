//! The runners' interface: generations of model engines, and load reports and orders of all runners.
//!
//! - `POST /generate` with [`Generate`] returns server-sent events: one [`Token`] each, with the
//!   event id `ATTEMPT:INDEX`; then one event of type `finish` with [`Finish`]; then the data
//!   `[DONE]`. Closing the connection cancels the generation.
//! - `GET /load` returns a [`LoadReport`].
//! - `POST /orders` with [`Order`] returns 204 if it was executed, 409 if its fencing token is
//!   outdated.

use {
    crate::completion::FinishReason,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Data of the event that ends every complete stream.
pub const DONE: &str = "[DONE]";
/// Type of the event that carries a [`Finish`].
pub const FINISH: &str = "finish";

/// Body of `POST /generate`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Generate {
    /// Identifier of the caller's request.
    pub request: CompactString,
    /// Attempt number of this request, from 1; the runner repeats it in every event id.
    pub attempt: u32,
    /// Catalogue entry.
    pub model: CompactString,
    /// Required version; a runner with another version returns 409.
    pub version: CompactString,
    /// Text to complete.
    pub prompt: String,
    /// Tokens already generated, which is the index of the first token requested.
    pub index: u32,
    /// Text already generated, to be continued and not repeated.
    pub prefix: String,
    /// Token count of the whole generation at which it ends with `length`.
    pub max_tokens: u32,
    /// Scheduling priority; higher values run first.
    pub priority: u8,
}

/// Data of one token's event.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Token {
    /// Position in the whole generation, from 0.
    pub index: u32,
    /// Text of the token.
    pub text: CompactString,
}

/// Data of the event that states why a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Finish {
    /// Tokens of the whole generation.
    pub tokens: u32,
    /// Why it ended.
    pub reason: FinishReason,
}

/// Response of `GET /load`; its age is the runner's reporting lag.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct LoadReport {
    /// Version that the runner has loaded.
    pub version: CompactString,
    /// Generations or calls running.
    pub running: u32,
    /// Generations or calls waiting.
    pub waiting: u32,
    /// Generations or calls that can run concurrently without slowing down.
    pub slots: u32,
    /// Whether the runner is draining and rejects new requests.
    pub leaving: bool,
    /// Latest changes of the prompt cache, oldest first; may have gaps.
    #[serde(default)]
    pub cache: Vec<CacheEvent>,
}

/// A change of a runner's prompt cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct CacheEvent {
    /// Consecutive number of the event at its runner; a skipped number is a gap.
    pub sequence: u64,
    /// XXH64 (seed 0) of the [`prefix_bytes`] of the prompt.
    pub prefix: u64,
    /// Whether the prefix was added; otherwise it was evicted.
    pub held: bool,
}

/// Returns the part of a prompt that identifies its cached prefix, by its XXH64 (seed 0).
pub fn prefix_bytes(prompt: &str) -> &[u8] {
    /// Length of the part in bytes; prompts that begin with the same part share a cache entry.
    const PREFIX_LEN: usize = 256;
    &prompt.as_bytes()[..prompt.len().min(PREFIX_LEN)]
}

/// An order to a runner. It states the target state, so that sending it again has no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Order {
    /// Fencing token of the lease under which the order is sent.
    pub fence: u64,
    /// Target state.
    pub kind: OrderKind,
}

/// Target state of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Replace the loaded version with this one.
    Load {
        /// Version to load.
        version: CompactString,
    },
    /// Finish the running requests and reject new ones.
    Drain,
}
