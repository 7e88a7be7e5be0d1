//! Results as a JSON document.

use {
    super::Output,
    crate::{
        admission::{LimitKey, LimitReport},
        catalogue::{
            diff::Difference,
            store::{CatalogueRevision, HistoryEntry},
        },
        operator::message::{Accepted, MoveReport, Nodes},
    },
    bilberryfront_decide::id::Revision,
    serde::Serialize,
};

/// Formatter for machines.
pub struct Json;

/// Differences from the revision in force.
#[derive(Serialize)]
struct Comparison<'a> {
    revision: Revision,
    differences: &'a [Difference],
}

/// Reason why nothing was changed.
#[derive(Serialize)]
struct Unchanged<'a> {
    revision: Revision,
    unchanged: &'a str,
}

/// End of a limit.
#[derive(Serialize)]
struct Lifted<'a> {
    service: &'a str,
    subject: String,
    lifted: bool,
}

impl Output for Json {
    fn catalogue(&self, current: &CatalogueRevision) -> String {
        to_json(current)
    }

    fn differences(&self, revision: Revision, differences: &[Difference]) -> String {
        to_json(&Comparison { revision, differences })
    }

    fn history(&self, entries: &[HistoryEntry]) -> String {
        to_json(&entries)
    }

    fn nodes(&self, nodes: &Nodes) -> String {
        to_json(nodes)
    }

    fn moves(&self, moves: &[MoveReport]) -> String {
        to_json(&moves)
    }

    fn move_of(&self, report: &MoveReport) -> String {
        to_json(report)
    }

    fn accepted(&self, accepted: Accepted) -> String {
        to_json(&accepted)
    }

    fn limits(&self, limits: &[LimitReport]) -> String {
        to_json(&limits)
    }

    fn limited(&self, limit: &LimitReport) -> String {
        to_json(limit)
    }

    fn lifted(&self, limit: &LimitKey) -> String {
        let LimitKey { service, subject } = limit;
        to_json(&Lifted { service, subject: subject.to_string(), lifted: true })
    }

    fn unchanged(&self, revision: Revision, reason: &str) -> String {
        to_json(&Unchanged { revision, unchanged: reason })
    }
}

/// Serializes a value as an indented JSON document with a line break at the end.
pub fn to_json(value: &impl Serialize) -> String {
    let mut text = serde_json::to_string_pretty(value).expect("results always serialize");
    text.push('\n');
    text
}
