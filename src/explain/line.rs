//! Log lines, as entry instances write them.

use {
    bilberryfront_relay::log_messages::SERVES,
    compact_str::CompactString,
    jiff::Timestamp,
    serde::Deserialize,
    serde_json::{Map, Value},
};

/// One line of an instance's log.
#[derive(Clone, Debug)]
pub struct Line {
    /// When it was written, by the instance's clock.
    pub at: Timestamp,
    /// The latest time of it and the lines before it in its file: a clock that was set back doesn't change
    /// the order in which an instance did things.
    pub order: Timestamp,
    /// The instance.
    pub node: CompactString,
    /// What happened.
    pub message: String,
    /// What decided it.
    pub fields: Map<String, Value>,
}

/// The lines of all files, in the order in which they happened as far as clocks allow.
#[derive(Debug, Default)]
pub struct Logs {
    /// The lines.
    pub lines: Vec<Line>,
    /// Lines that could not be read.
    pub unreadable: usize,
}

/// A line as JSON.
#[derive(Deserialize)]
struct Written {
    timestamp: Timestamp,
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
}

impl Logs {
    /// Adds the lines of one instance; `name` stands for it unless its lines tell their own.
    pub fn add(&mut self, name: &str, text: &str) {
        let mut order = Timestamp::MIN;
        let first = self.lines.len();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let Ok(Written { timestamp: at, message, kvs: fields }) = serde_json::from_str(line)
            else {
                self.unreadable += 1;
                continue;
            };
            order = order.max(at);
            self.lines.push(Line { at, order, node: name.into(), message, fields });
        }
        let added = &mut self.lines[first..];
        let own = added.iter().find(|l| l.message == SERVES).and_then(|l| l.text("name"));
        if let Some(own) = own.map(CompactString::from) {
            added.iter_mut().for_each(|line| line.node = own.clone());
        }
        self.lines.sort_by_key(|line| line.order);
    }
}

impl Line {
    /// A field that holds text.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// A field that holds a number.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Whether one of these fields holds this text.
    pub fn names(&self, fields: &[&str], text: &str) -> bool {
        fields.iter().any(|field| self.text(field) == Some(text))
    }
}
