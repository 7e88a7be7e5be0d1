//! Log lines as configured. The logger is global to a process, so each case runs in its own
//! process.

use {
    bilberryfront::{
        logs::{self, RateLimit},
        settings::{Log, LogFormat},
    },
    logforth::{
        Filter,
        filter::FilterResult,
        record::{Level, Record},
    },
    serde_json::Value,
    std::{env, process::Command},
};

/// Environment variable that sets the format which the process of a case writes.
const FORMAT_VARIABLE: &str = "BILBERRYFRONT_TEST_FORM";

/// Target of the program's own lines.
const OWN_TARGET: &str = "bilberryfront::control";

/// Runs the case named `test` in its own process and returns its log lines.
fn lines(test: &str, format: &str) -> Vec<String> {
    let output = Command::new(env::current_exe().unwrap())
        .args(["--exact", test, "--nocapture"])
        .env(FORMAT_VARIABLE, format)
        .output()
        .unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    text.lines().filter(|line| line.contains("node")).map(String::from).collect()
}

fn write_lines(format: LogFormat) {
    logs::start(&Log { format, level: "warn".into() });
    log::info!(target: OWN_TARGET, "the node is quiet");
    log::error!(target: "volo_http::client", "a node's connection failed");
    log::warn!(target: OWN_TARGET, node = "tg-2"; "node is lost");
}

/// Guards against a log full of lines of the HTTP library: during an outage of the platform it
/// writes some for each failed connection, so only the program's own lines are kept.
#[test]
fn json_lines_are_documents_with_level_and_fields() {
    if env::var_os(FORMAT_VARIABLE).is_some() {
        return write_lines(LogFormat::Json);
    }
    let lines = lines("json_lines_are_documents_with_level_and_fields", "json");
    assert_eq!(lines.len(), 1, "{lines:?}");
    let line: Value = serde_json::from_str(&lines[0]).unwrap();
    assert_eq!(line["level"], "WARN");
    assert_eq!(line["message"], "node is lost");
    assert_eq!(line["kvs"]["node"], "tg-2");
}

#[test]
fn text_lines_are_plain_text() {
    if env::var_os(FORMAT_VARIABLE).is_some() {
        return write_lines(LogFormat::Text);
    }
    let lines = lines("text_lines_are_plain_text", "text");
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("WARN") && lines[0].contains("node is lost"), "{lines:?}");
    assert!(!lines[0].contains('\u{1b}'), "{lines:?}");
}

/// Guards against warnings and errors that lines of information displace: when many requests fail, they
/// tell why.
#[test]
fn information_does_not_displace_warnings() {
    let limit = RateLimit::default();
    let passed = |level: Level, count: usize| {
        let record = Record::builder().level(level).build();
        (0..count).filter(|_| limit.matches(&record, &[]) == FilterResult::Neutral).count()
    };
    assert_eq!(passed(Level::Info, 500), 100);
    assert_eq!(passed(Level::Warn, 150), 150);
    assert_eq!(passed(Level::Error, 150), 50);
    assert_eq!(passed(Level::Debug, 10), 0);
}
