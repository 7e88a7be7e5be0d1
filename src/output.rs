//! How results are shown: tables for people, JSON for machines.

pub mod human;
pub mod json;

use {
    crate::{
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

/// Form of a command's result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Tables and sentences.
    #[default]
    Human,
    /// One JSON document.
    Json,
}

/// Turns results into text; each ends with a line break.
pub trait Output {
    /// The catalogue in force.
    fn catalogue(&self, numbered: &CatalogueRevision) -> String;
    /// What differs between the revision in force and a file.
    fn differences(&self, revision: Revision, differences: &[Difference]) -> String;
    /// The catalogue's history.
    fn history(&self, past: &[HistoryEntry]) -> String;
    /// Nodes.
    fn nodes(&self, nodes: &Nodes) -> String;
    /// The latest moves of all entries.
    fn moves(&self, moves: &[MoveReport]) -> String;
    /// How a move stands.
    fn move_of(&self, report: &MoveReport) -> String;
    /// A catalogue is in force.
    fn accepted(&self, accepted: Accepted) -> String;
    /// Nothing was changed, and why.
    fn unchanged(&self, revision: Revision, reason: &str) -> String;
}

impl Format {
    /// The output of this form.
    pub fn output(self) -> Box<dyn Output> {
        match self {
            Format::Human => Box::new(Human),
            Format::Json => Box::new(Json),
        }
    }
}

/// Writes to standard output; a reader that has seen enough, such as `head`, is no failure.
pub fn print(text: &str) {
    _ = io::stdout().write_all(text.as_bytes());
}
