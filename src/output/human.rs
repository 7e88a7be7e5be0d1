//! Results as tables and sentences.

pub mod moves;

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
    comfy_table::{ContentArrangement, Table, TableComponent, presets},
};

/// Format of a time in UTC.
const TIME_FORMAT: &str = "%Y-%m-%d %H:%M:%SZ";
/// Maximum length, in characters, of a value that is not truncated; digests of keys are longer.
const MAX_VALUE_CHARS: usize = 40;

/// Formatter for people.
pub struct Human;

impl Output for Human {
    /// Returns a catalogue file that can be edited and applied.
    fn catalogue(&self, current: &CatalogueRevision) -> String {
        let doc = serde_json::to_string_pretty(&current.catalogue);
        let doc = doc.expect("catalogues always serialize");
        format!("// revision {}\n{doc}\n", current.revision)
    }

    fn differences(&self, revision: Revision, differences: &[Difference]) -> String {
        if differences.is_empty() {
            return format!("no difference from revision {revision}\n");
        }
        let mut table = table(&["part", "field", "in force", "file"]);
        for part in differences.chunk_by(|a, b| a.part == b.part) {
            add_part(&mut table, part);
        }
        let count = with_plural(differences.len(), "difference");
        format!("{table}\n{count} from revision {revision}\n")
    }

    fn history(&self, entries: &[HistoryEntry]) -> String {
        let mut table = table(&["revision", "when", "who", "comment"]);
        for HistoryEntry { revision, change } in entries {
            table.add_row([
                revision.to_string(),
                change.when.strftime(TIME_FORMAT).to_string(),
                change.who.to_string(),
                change.comment.clone(),
            ]);
        }
        format!("{table}\n")
    }

    fn nodes(&self, nodes: &Nodes) -> String {
        let mut table = table(&["node", "domain", "state", "revision", "address"]);
        for node in &nodes.nodes {
            table.add_row([
                node.name.to_string(),
                node.domain.to_string(),
                node.state.to_string(),
                node.revision.map_or_else(|| "-".into(), |r| r.to_string()),
                node.url.to_string(),
            ]);
        }
        format!("{table}\nrevision {} is in force at the node that was asked\n", nodes.revision)
    }

    fn moves(&self, moves: &[MoveReport]) -> String {
        moves::list(moves)
    }

    fn move_of(&self, report: &MoveReport) -> String {
        moves::status(report)
    }

    fn accepted(&self, accepted: Accepted) -> String {
        format!("revision {} is accepted\n", accepted.revision)
    }

    fn limits(&self, limits: &[LimitReport]) -> String {
        if limits.is_empty() {
            return "no limit is in force\n".into();
        }
        let mut table = table(&["service", "limit on", "admitted", "until", "reason"]);
        for limit in limits {
            table.add_row([
                limit.service.to_string(),
                limit.subject.to_string(),
                format_share(limit.share),
                limit.until.strftime(TIME_FORMAT).to_string(),
                limit.reason.to_string(),
            ]);
        }
        format!("{table}\n")
    }

    fn limited(&self, limit: &LimitReport) -> String {
        let LimitReport { service, subject, share, until, .. } = limit;
        let (share, until) = (format_share(*share), until.strftime(TIME_FORMAT));
        format!(
            "{share} of the requests of {subject} to service `{service}` are admitted until {until}\n\
             all instances apply it within a few seconds\n"
        )
    }

    fn lifted(&self, limit: &LimitKey) -> String {
        let LimitKey { service, subject } = limit;
        format!("the limit on {subject} of service `{service}` is lifted\n")
    }

    fn unchanged(&self, revision: Revision, reason: &str) -> String {
        format!("revision {revision} stays in force: {reason}\n")
    }
}

/// Formats a share from 0 to 1 as a percentage with at most two decimals.
fn format_share(share: f64) -> String {
    format!("{} %", (share * 10_000.0).round() / 100.0)
}

/// Adds a row for each field, or a single row for a part that was added or removed as a whole.
fn add_part(table: &mut Table, fields: &[Difference]) {
    let part = &fields[0].part;
    let all = |predicate: fn(&Difference) -> bool| fields.iter().all(predicate);
    let is_name = |d: &Difference| d.field == "name";
    if fields.iter().any(is_name) && all(|d| d.before.is_none()) {
        table.add_row([part, "all", "-", "new"]);
    } else if fields.iter().any(is_name) && all(|d| d.after.is_none()) {
        table.add_row([part, "all", "in force", "-"]);
    } else {
        table.add_rows(fields.iter().map(|d| {
            [
                part.clone(),
                d.field.clone(),
                truncate(d.before.as_deref()),
                truncate(d.after.as_deref()),
            ]
        }));
    }
}

fn truncate(value: Option<&str>) -> String {
    match value {
        None => "-".into(),
        Some(value) if value.chars().count() <= MAX_VALUE_CHARS => value.into(),
        Some(value) => value.chars().take(MAX_VALUE_CHARS).chain(['…']).collect(),
    }
}

fn with_plural(count: usize, noun: &str) -> String {
    let plural = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{plural}")
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::UTF8_HORIZONTAL_ONLY)
        .remove_style(TableComponent::HorizontalLines)
        .remove_style(TableComponent::MiddleIntersections)
        .remove_style(TableComponent::LeftBorderIntersections)
        .remove_style(TableComponent::RightBorderIntersections)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_header(header);
    table
}
