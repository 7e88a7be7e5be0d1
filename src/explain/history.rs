//! One subject's lines, what happened around them, and the cause that they point to.

use {
    super::{
        cause,
        line::{Line, Logs},
    },
    bilberryfront_relay::log_messages::{IN_FORCE, SERVES},
    compact_str::CompactString,
    jiff::{SignedDuration, Timestamp},
    serde::Serialize,
    std::{collections::BTreeSet, fmt},
};

/// Field that names a request.
const REQUEST: &str = "request";
/// Fields that name a runner.
const RUNNERS: [&str; 4] = ["runner", "holder", "replica", "former"];
/// How long before a request's first line something may have happened that explains it: an outage
/// shows in an instance's log at its start only, and lasts seconds.
const BEFORE: SignedDuration = SignedDuration::from_secs(10);
/// How long after its last line: a failure domain's other runners are noticed within this time.
const AFTER: SignedDuration = SignedDuration::from_millis(500);

/// What a story is about.
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

/// The story of one subject.
#[derive(Debug, Serialize)]
pub struct History {
    /// What it is about.
    pub subject: Subject,
    /// What the lines point to.
    pub cause: String,
    /// What happened, in order.
    pub events: Vec<Event>,
}

/// One thing that happened.
#[derive(Debug, Serialize)]
pub struct Event {
    /// When, by the instance's clock.
    pub at: Timestamp,
    /// At which instance.
    pub node: CompactString,
    /// What, with what decided it.
    pub text: String,
    /// Whether the line names the subject itself.
    pub own: bool,
}

impl Subject {
    /// What an id stands for, by the first line that names it.
    pub fn find(logs: &Logs, id: &str) -> Option<Subject> {
        let named = |fields: &[&str]| logs.lines.iter().any(|line| line.names(fields, id));
        if named(&[REQUEST]) {
            return Some(Subject::Request(id.into()));
        }
        if named(&RUNNERS) {
            return Some(Subject::Runner(id.into()));
        }
        let version = id.parse().ok()?;
        let known = logs.lines.iter().any(|line| is_catalogue(line, version));
        known.then_some(Subject::Catalogue(version))
    }

    fn is_named(&self, line: &Line) -> bool {
        match self {
            Subject::Request(id) => line.names(&[REQUEST], id),
            Subject::Runner(id) => line.names(&RUNNERS, id),
            Subject::Catalogue(version) => is_catalogue(line, *version),
        }
    }
}

impl History {
    /// Tells of a subject that at least one line names.
    pub fn new(logs: &Logs, subject: &Subject) -> History {
        let own: Vec<&Line> = logs.lines.iter().filter(|line| subject.is_named(line)).collect();
        let cause = match subject {
            Subject::Request(_) => cause::of_request(logs, &own),
            Subject::Runner(_) => cause::of_runner(&own),
            Subject::Catalogue(version) => cause::of_catalogue(logs, *version, &own),
        };
        let around = Around::new(&own);
        let shown = logs.lines.iter().filter(|line| subject.is_named(line) || around.has(line));
        let event = |line: &Line| Event {
            at: line.at,
            node: line.node.clone(),
            text: sentence(line),
            own: subject.is_named(line),
        };
        History { subject: subject.clone(), cause, events: shown.map(event).collect() }
    }
}

/// What a request's lines lead to: its instances' dependencies and the runners that it met.
struct Around {
    nodes: BTreeSet<CompactString>,
    runners: BTreeSet<CompactString>,
    from: Timestamp,
    to: Timestamp,
}

impl Around {
    fn new(own: &[&Line]) -> Around {
        let runner = |line: &&Line| {
            let ids = RUNNERS.iter().filter_map(|field| line.text(field));
            ids.filter(|id| !id.is_empty()).map(CompactString::from).collect::<Vec<_>>()
        };
        let edge = |line: Option<&&Line>| line.map_or(Timestamp::MIN, |line| line.order);
        Around {
            nodes: own.iter().map(|line| line.node.clone()).collect(),
            runners: own.iter().flat_map(runner).collect(),
            from: edge(own.first()).saturating_sub(BEFORE).unwrap_or(Timestamp::MIN),
            to: edge(own.last()).saturating_add(AFTER).unwrap_or(Timestamp::MAX),
        }
    }

    /// Whether a line that names no request tells of the same instances' dependencies or runners.
    fn has(&self, line: &Line) -> bool {
        let near = (self.from..=self.to).contains(&line.order) && self.nodes.contains(&line.node);
        let runner = |field| line.text(field).is_some_and(|id| self.runners.contains(id));
        let about = line.fields.contains_key("table")
            || [IN_FORCE, SERVES].contains(&line.message.as_str())
            || RUNNERS.into_iter().any(runner);
        near && about && !line.fields.contains_key(REQUEST)
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
    line.message == IN_FORCE && line.number("version") == Some(version)
}

/// The message and the fields that decided, empty ones and the request's own id aside.
fn sentence(line: &Line) -> String {
    let shown = line.fields.iter().filter(|(name, value)| {
        *name != REQUEST && value.as_str().is_none_or(|text| !text.is_empty())
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
