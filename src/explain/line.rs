//! Parsing of the log lines of entry instances.

use {
    bilberryfront_relay::log_messages::SERVING,
    compact_str::CompactString,
    jiff::Timestamp,
    serde::Deserialize,
    serde_json::{Map, Value},
};

/// One line of an instance's log.
#[derive(Clone, Debug)]
pub struct Line {
    /// Time of the line, by the instance's clock.
    pub at: Timestamp,
    /// Latest time of this line and of all lines before it in its file, so that a clock that is set
    /// back doesn't change the order of the lines.
    pub order: Timestamp,
    /// Name of the instance.
    pub node: CompactString,
    /// Log message.
    pub message: String,
    /// Key-value pairs of the line.
    pub fields: Map<String, Value>,
}

/// The lines of all log files, ordered by time as far as the clocks are synchronized.
#[derive(Debug, Default)]
pub struct Logs {
    /// The lines.
    pub lines: Vec<Line>,
    /// Number of lines that could not be parsed.
    pub unreadable: usize,
}

/// The JSON form of a line.
#[derive(Deserialize)]
struct JsonLine {
    timestamp: Timestamp,
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
}

impl Logs {
    /// Adds the log file of one instance. `name` is used as the name of the instance unless the log
    /// contains it.
    pub fn add(&mut self, name: &str, text: &str) {
        let mut order = Timestamp::MIN;
        let first = self.lines.len();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let Ok(JsonLine { timestamp: at, message, kvs: fields }) = serde_json::from_str(line)
            else {
                self.unreadable += 1;
                continue;
            };
            order = order.max(at);
            self.lines.push(Line { at, order, node: name.into(), message, fields });
        }
        let added = &mut self.lines[first..];
        let own = added.iter().find(|l| l.message == SERVING).and_then(|l| l.text("name"));
        if let Some(own) = own.map(CompactString::from) {
            added.iter_mut().for_each(|line| line.node = own.clone());
        }
        self.lines.sort_by_key(|line| line.order);
    }
}

impl Line {
    /// Returns the value of a text field.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns the value of a numeric field.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Returns whether one of the fields has this text as its value.
    pub fn has_text(&self, fields: &[&str], text: &str) -> bool {
        fields.iter().any(|field| self.text(field) == Some(text))
    }
}
