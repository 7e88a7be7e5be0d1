//! Results as one JSON document.

use {
    super::Output,
    crate::{
        catalogue::{
            diff::Difference,
            store::{CatalogueRevision, HistoryEntry},
        },
        operator::message::{Accepted, MoveReport, Nodes},
    },
    bilberryfront_decide::id::Revision,
    serde::Serialize,
};

/// For machines.
pub struct Json;

/// What differs from the revision in force.
#[derive(Serialize)]
struct Compared<'a> {
    revision: Revision,
    differences: &'a [Difference],
}

/// Nothing was changed.
#[derive(Serialize)]
struct Unchanged<'a> {
    revision: Revision,
    unchanged: &'a str,
}

impl Output for Json {
    fn catalogue(&self, numbered: &CatalogueRevision) -> String {
        text(numbered)
    }

    fn differences(&self, revision: Revision, differences: &[Difference]) -> String {
        text(&Compared { revision, differences })
    }

    fn history(&self, past: &[HistoryEntry]) -> String {
        text(&past)
    }

    fn nodes(&self, nodes: &Nodes) -> String {
        text(nodes)
    }

    fn moves(&self, moves: &[MoveReport]) -> String {
        text(&moves)
    }

    fn move_of(&self, report: &MoveReport) -> String {
        text(report)
    }

    fn accepted(&self, accepted: Accepted) -> String {
        text(&accepted)
    }

    fn unchanged(&self, revision: Revision, reason: &str) -> String {
        text(&Unchanged { revision, unchanged: reason })
    }
}

/// A value as one indented document.
pub fn text(value: &impl Serialize) -> String {
    let mut text = serde_json::to_string_pretty(value).expect("results always serialize");
    text.push('\n');
    text
}
