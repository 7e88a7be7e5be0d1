//! The request for a generation, and the pieces that its caller receives.

use {
    bilberryfront_decide::{
        catalog::Limits,
        id::{AccountKey, EntryKey},
    },
    bilberryfront_wire::{completion::FinishReason, problem::Problem},
    compact_str::CompactString,
};

/// A piece of the response to the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// Tokens, each with an event id from which the caller may resume.
    Tokens(Vec<Delivered>),
    /// The response is complete.
    Finish(FinishReason),
    /// The generation failed; there are no further pieces.
    Failed(Problem),
}

/// A token for the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivered {
    /// Event id.
    pub id: CompactString,
    /// Text of the token.
    pub text: CompactString,
}

/// A validated request for a generation.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id that the caller sees; the same across resumes.
    pub request: CompactString,
    /// Id that runners see; new for each request of the caller.
    pub runner_request: CompactString,
    /// Key of the entry.
    pub entry: EntryKey,
    /// Key of the account.
    pub account: AccountKey,
    /// Limits of the entry.
    pub limits: Limits,
    /// Name of the entry.
    pub model: CompactString,
    /// Prompt to complete.
    pub prompt: String,
    /// XXH64 of the prompt's prefix.
    pub prefix: u64,
    /// Class and size of the prompt: kinds of request that are compared separately during a version
    /// move.
    pub route: CompactString,
    /// Maximum number of tokens of the complete response.
    pub max: u32,
    /// Priority at the runner; higher values run first.
    pub priority: u8,
    /// Text that the caller has already received, for a resume.
    pub resumed_text: String,
}
