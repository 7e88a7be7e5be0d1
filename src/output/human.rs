//! Results as tables and sentences.

pub mod moves;

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
    comfy_table::{ContentArrangement, Table, TableComponent, presets},
};

/// Form of a time in UTC.
const TIME: &str = "%Y-%m-%d %H:%M:%SZ";
/// Longest value that is shown whole; digests of keys are longer.
const WHOLE: usize = 40;

/// For people.
pub struct Human;

impl Output for Human {
    /// A catalogue file that can be edited and applied.
    fn catalogue(&self, numbered: &CatalogueRevision) -> String {
        let doc = serde_json::to_string_pretty(&numbered.catalogue);
        let doc = doc.expect("catalogues always serialize");
        format!("// revision {}\n{doc}\n", numbered.revision)
    }

    fn differences(&self, revision: Revision, differences: &[Difference]) -> String {
        if differences.is_empty() {
            return format!("no difference from revision {revision}\n");
        }
        let mut table = table(&["part", "field", "in force", "file"]);
        for part in differences.chunk_by(|a, b| a.part == b.part) {
            add_part(&mut table, part);
        }
        let count = count(differences.len(), "difference");
        format!("{table}\n{count} from revision {revision}\n")
    }

    fn history(&self, past: &[HistoryEntry]) -> String {
        let mut table = table(&["revision", "when", "who", "comment"]);
        for HistoryEntry { revision, change } in past {
            table.add_row([
                revision.to_string(),
                change.when.strftime(TIME).to_string(),
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

    fn unchanged(&self, revision: Revision, reason: &str) -> String {
        format!("revision {revision} stays in force: {reason}\n")
    }
}

/// Adds a row for each field, or one row for a part that is wholly new or gone.
fn add_part(table: &mut Table, fields: &[Difference]) {
    let part = &fields[0].part;
    let all = |absent: fn(&Difference) -> bool| fields.iter().all(absent);
    let name = |d: &Difference| d.field == "name";
    if fields.iter().any(name) && all(|d| d.before.is_none()) {
        table.add_row([part, "all", "-", "new"]);
    } else if fields.iter().any(name) && all(|d| d.after.is_none()) {
        table.add_row([part, "all", "in force", "-"]);
    } else {
        table.add_rows(fields.iter().map(|d| {
            [
                part.clone(),
                d.field.clone(),
                shorten(d.before.as_deref()),
                shorten(d.after.as_deref()),
            ]
        }));
    }
}

fn shorten(value: Option<&str>) -> String {
    match value {
        None => "-".into(),
        Some(value) if value.chars().count() <= WHOLE => value.into(),
        Some(value) => value.chars().take(WHOLE).chain(['…']).collect(),
    }
}

fn count(count: usize, what: &str) -> String {
    let plural = if count == 1 { "" } else { "s" };
    format!("{count} {what}{plural}")
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
