//! The history of a subject: its log lines, related lines, and the probable cause of its outcome.

use {
    super::{
        cause,
        line::{Line, Logs},
    },
    bilberryfront_relay::log_messages::{CATALOG_APPLIED, SERVING},
    compact_str::CompactString,
    jiff::{SignedDuration, Timestamp},
    serde::Serialize,
    std::{collections::BTreeSet, fmt},
};

/// Field with the id of a request.
const REQUEST_FIELD: &str = "request";
/// Fields with the id of a runner.
const RUNNER_FIELDS: [&str; 4] = ["runner", "holder", "replica", "former"];
/// Time before a subject's first line in which related lines are included. An outage is logged only
/// when it starts, and lasts for seconds.
pub(super) const TIME_BEFORE: SignedDuration = SignedDuration::from_secs(10);
/// Time after a subject's last line in which related lines are included. If a failure domain fails,
/// the failure of its other runners is detected within this time.
const TIME_AFTER: SignedDuration = SignedDuration::from_millis(500);

/// The subject of a history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// A request's id.
    Request(CompactString),
    /// A runner's id.
    Runner(CompactString),
    /// A catalogue's version.
    Catalogue(u64),
}

/// The history of a subject.
#[derive(Debug, Serialize)]
pub struct History {
    /// The subject.
    pub subject: Subject,
    /// Probable cause of the outcome.
    pub cause: String,
    /// Events in chronological order.
    pub events: Vec<Event>,
}

/// An event from a log line.
#[derive(Debug, Serialize)]
pub struct Event {
    /// Time, by the instance's clock.
    pub at: Timestamp,
    /// Name of the instance.
    pub node: CompactString,
    /// Message and fields.
    pub text: String,
    /// Whether the line belongs to the subject itself.
    pub own: bool,
}

impl Subject {
    /// Finds the subject with this id in the logs: a request, a runner or a catalogue version.
    pub fn find(logs: &Logs, id: &str) -> Option<Subject> {
        let is_logged = |fields: &[&str]| logs.lines.iter().any(|line| line.has_text(fields, id));
        if is_logged(&[REQUEST_FIELD]) {
            return Some(Subject::Request(id.into()));
        }
        if is_logged(&RUNNER_FIELDS) {
            return Some(Subject::Runner(id.into()));
        }
        let version = id.parse().ok()?;
        let is_known = logs.lines.iter().any(|line| is_catalogue(line, version));
        is_known.then_some(Subject::Catalogue(version))
    }

    fn matches(&self, line: &Line) -> bool {
        match self {
            Subject::Request(id) => line.has_text(&[REQUEST_FIELD], id),
            Subject::Runner(id) => line.has_text(&RUNNER_FIELDS, id),
            Subject::Catalogue(version) => is_catalogue(line, *version),
        }
    }
}

impl History {
    /// Reconstructs the history of a subject that at least one line belongs to.
    pub fn new(logs: &Logs, subject: &Subject) -> History {
        let own: Vec<&Line> = logs.lines.iter().filter(|line| subject.matches(line)).collect();
        let cause = match subject {
            Subject::Request(_) => cause::of_request(logs, &own),
            Subject::Runner(_) => cause::of_runner(&own),
            Subject::Catalogue(version) => cause::of_catalogue(logs, *version, &own),
        };
        let related = RelatedLines::new(&own);
        let shown =
            logs.lines.iter().filter(|line| subject.matches(line) || related.contains(line));
        let event = |line: &Line| Event {
            at: line.at,
            node: line.node.clone(),
            text: format_line(line),
            own: subject.matches(line),
        };
        History { subject: subject.clone(), cause, events: shown.map(event).collect() }
    }
}

/// Selects the lines that are related to a subject: about the dependencies of its instances, or
/// about its runners, and close in time.
struct RelatedLines {
    nodes: BTreeSet<CompactString>,
    runners: BTreeSet<CompactString>,
    from: Timestamp,
    to: Timestamp,
}

impl RelatedLines {
    fn new(own: &[&Line]) -> RelatedLines {
        let runner = |line: &&Line| {
            let ids = RUNNER_FIELDS.iter().filter_map(|field| line.text(field));
            ids.filter(|id| !id.is_empty()).map(CompactString::from).collect::<Vec<_>>()
        };
        let time = |line: Option<&&Line>| line.map_or(Timestamp::MIN, |line| line.order);
        RelatedLines {
            nodes: own.iter().map(|line| line.node.clone()).collect(),
            runners: own.iter().flat_map(runner).collect(),
            from: time(own.first()).saturating_sub(TIME_BEFORE).unwrap_or(Timestamp::MIN),
            to: time(own.last()).saturating_add(TIME_AFTER).unwrap_or(Timestamp::MAX),
        }
    }

    /// Returns whether a line without a request id is related to the subject.
    fn contains(&self, line: &Line) -> bool {
        let is_near =
            (self.from..=self.to).contains(&line.order) && self.nodes.contains(&line.node);
        let runner = |field| line.text(field).is_some_and(|id| self.runners.contains(id));
        let is_relevant = line.fields.contains_key("table")
            || [CATALOG_APPLIED, SERVING].contains(&line.message.as_str())
            || RUNNER_FIELDS.into_iter().any(runner);
        is_near && is_relevant && !line.fields.contains_key(REQUEST_FIELD)
    }
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.subject {
            Subject::Request(id) => writeln!(f, "request {id}")?,
            Subject::Runner(id) => writeln!(f, "runner {id}")?,
            Subject::Catalogue(version) => writeln!(f, "catalogue, version {version}")?,
        }
        for Event { at, node, text, own } in &self.events {
            let mark = if *own { ' ' } else { '.' };
            writeln!(f, "{mark} {} {node}: {text}", at.strftime("%H:%M:%S%.3f"))?;
        }
        writeln!(f, "{}", self.cause)
    }
}

fn is_catalogue(line: &Line, version: u64) -> bool {
    line.message == CATALOG_APPLIED && line.number("version") == Some(version)
}

/// Formats the message and the fields of a line, except empty fields and the request id.
fn format_line(line: &Line) -> String {
    let shown = line.fields.iter().filter(|(name, value)| {
        *name != REQUEST_FIELD && value.as_str().is_none_or(|text| !text.is_empty())
    });
    let field = |(name, value): (&String, &serde_json::Value)| match value.as_str() {
        Some(text) => format!("{name} {text}"),
        None => format!("{name} {value}"),
    };
    let fields: Vec<String> = shown.map(field).collect();
    match fields.is_empty() {
        true => line.message.clone(),
        false => format!("{} ({})", line.message, fields.join(", ")),
    }
}
