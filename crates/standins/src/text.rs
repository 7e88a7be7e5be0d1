//! The text that a stand-in engine generates: a pure function of version and prompt.

use {
    bilberryfront_wire::{completion::FinishReason, runner::Finish},
    compact_str::CompactString,
    xxhash_rust::xxh64::xxh64,
};

/// What else than version, prompt and index a token depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sampling {
    /// Nothing: every attempt writes the same answer.
    Same,
    /// The attempt and the prefix sent with it: no two attempts write the same answer.
    Differs {
        /// Attempt number.
        attempt: u32,
        /// XXH64 (seed 0) of the prefix.
        prefix: u64,
    },
}

/// Shortest natural answer.
const SHORTEST: u64 = 40;
/// Natural answers differ in length by less than this.
const SPREAD: u64 = 460;
/// Parts of words, some of them not ASCII.
const SYLLABLES: [&str; 32] = [
    "ba", "cor", "de", "el", "fi", "gar", "ho", "in", "ju", "ka", "lor", "mi", "no", "os", "pe",
    "qui", "ra", "sen", "to", "ul", "ver", "wa", "xi", "ya", "zo", "ción", "ñu", "é", "ü", "—",
    "時", "🫐",
];

/// The answer to one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    seed: u64,
    length: u32,
}

impl Answer {
    /// The answer of `version` to `prompt`, with `fixed` tokens or else as many as is natural.
    pub fn new(version: &str, prompt: &str, sampling: Sampling, fixed: Option<u32>) -> Answer {
        let hash = xxh64(prompt.as_bytes(), 0);
        let seed = xxh64(version.as_bytes(), hash);
        let seed = match sampling {
            Sampling::Same => seed,
            Sampling::Differs { attempt, prefix } => {
                xxh64(&prefix.to_le_bytes(), seed ^ u64::from(attempt))
            }
        };
        let natural = (SHORTEST + hash % SPREAD) as u32;
        Answer { seed, length: fixed.unwrap_or(natural) }
    }

    /// The token at `index`.
    pub fn token(&self, index: u32) -> CompactString {
        let mut bits = xxh64(&index.to_le_bytes(), self.seed);
        let mut text = CompactString::const_new(" ");
        let count = 1 + bits % 3;
        for _ in 0..count {
            bits >>= 5;
            text.push_str(SYLLABLES[bits as usize % SYLLABLES.len()]);
        }
        text
    }

    /// Where and why the answer ends.
    pub fn finish(&self, max_tokens: u32) -> Finish {
        match self.length <= max_tokens {
            true => Finish { tokens: self.length, reason: FinishReason::Stop },
            false => Finish { tokens: max_tokens, reason: FinishReason::Length },
        }
    }

    /// The first `tokens` tokens as one text.
    pub fn text(&self, tokens: u32) -> String {
        (0..tokens).map(|index| self.token(index)).collect()
    }
}

/// The token at `index` of the answer of `version` to `prompt`.
pub fn token(version: &str, prompt: &str, index: u32, sampling: Sampling) -> CompactString {
    Answer::new(version, prompt, sampling, None).token(index)
}
