//! What a generation is asked for, and what its caller gets.

use {
    bilberryfront_decide::{
        catalog::Limits,
        id::{AccountKey, EntryKey},
    },
    bilberryfront_wire::{completion::FinishReason, problem::Problem},
    compact_str::CompactString,
};

/// What the caller gets next.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// Tokens, each with the id from which the caller may resume.
    Tokens(Vec<Delivered>),
    /// The whole answer was delivered.
    Finish(FinishReason),
    /// No more will come.
    Failed(Problem),
}

/// A token on its way to the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivered {
    /// Event id.
    pub id: CompactString,
    /// Its text.
    pub text: CompactString,
}

/// What is to be generated, for whom.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifier that the caller sees, the same over resumes.
    pub request: CompactString,
    /// Identifier that runners see, new with each request of the caller.
    pub runner_request: CompactString,
    /// Entry.
    pub entry: EntryKey,
    /// Account.
    pub account: AccountKey,
    /// Limits of the entry.
    pub limits: Limits,
    /// Name of the entry.
    pub model: CompactString,
    /// Text to complete.
    pub prompt: String,
    /// XXH64 of the prompt's prefix.
    pub prefix: u64,
    /// Class and size: what may fail alone when a version is bad.
    pub route: CompactString,
    /// Most tokens of the whole answer.
    pub max: u32,
    /// Higher runs first at the runner.
    pub priority: u8,
    /// Text that the caller holds already.
    pub resumed_text: String,
}
