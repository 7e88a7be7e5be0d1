//! Output formats of results: tables for people, JSON for machines.

pub mod human;
pub mod json;

use {
    crate::{
        admission::{LimitKey, LimitReport},
        catalogue::{
            diff::Difference,
            store::{CatalogueRevision, HistoryEntry},
        },
        operator::message::{Accepted, MoveReport, Nodes},
    },
    bilberryfront_decide::id::Revision,
    human::Human,
    json::Json,
    std::io::{self, Write},
};

/// Output format of a command's result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Tables and sentences.
    #[default]
    Human,
    /// One JSON document.
    Json,
}

/// Formats results as text that ends with a line break.
pub trait Output {
    /// Formats the catalogue in force.
    fn catalogue(&self, current: &CatalogueRevision) -> String;
    /// Formats the differences between the revision in force and a file.
    fn differences(&self, revision: Revision, differences: &[Difference]) -> String;
    /// Formats the catalogue's history.
    fn history(&self, entries: &[HistoryEntry]) -> String;
    /// Formats a list of nodes.
    fn nodes(&self, nodes: &Nodes) -> String;
    /// Formats the latest moves of all entries.
    fn moves(&self, moves: &[MoveReport]) -> String;
    /// Formats the state of a move.
    fn move_of(&self, report: &MoveReport) -> String;
    /// Formats the acceptance of a catalogue.
    fn accepted(&self, accepted: Accepted) -> String;
    /// Formats the limits in force.
    fn limits(&self, limits: &[LimitReport]) -> String;
    /// Formats a limit that was written.
    fn limited(&self, limit: &LimitReport) -> String;
    /// Formats the end of a limit.
    fn lifted(&self, limit: &LimitKey) -> String;
    /// Formats the reason why nothing was changed.
    fn unchanged(&self, revision: Revision, reason: &str) -> String;
}

impl Format {
    /// Returns the formatter of this format.
    pub fn output(self) -> Box<dyn Output> {
        match self {
            Format::Human => Box::new(Human),
            Format::Json => Box::new(Json),
        }
    }
}

/// Writes to standard output. Errors are ignored, because a reader such as `head` may close the pipe early.
pub fn print(text: &str) {
    _ = io::stdout().write_all(text.as_bytes());
}
