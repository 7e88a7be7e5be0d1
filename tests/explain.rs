//! `explain`, through the real program, on logs of two instances.

use {
    bilberryfront_relay::log_messages,
    serde_json::{Value, json},
    std::{
        fs,
        io::Write,
        process::{Command, Output, Stdio},
    },
    tempfile::TempDir,
};

/// A log line, `millis` after the start of a day.
fn line(millis: i64, message: &str, fields: impl Into<Value>) -> String {
    let fields: Value = fields.into();
    let at = jiff::Timestamp::from_millisecond(1_780_000_000_000 + millis).unwrap();
    json!({"timestamp": at.to_string(), "level": "INFO", "message": message, "kvs": fields})
        .to_string()
}

fn in_force(millis: i64, version: u64) -> String {
    line(millis, log_messages::CATALOG_APPLIED, json!({"version": version, "revision": version}))
}

fn lost(millis: i64, request: &str) -> String {
    let fields = json!({"request": request, "runner": "e1", "holder": "e2", "position": 38});
    line(millis, &format!("{}Silent", log_messages::RUN_LOST), fields)
}

fn begun(millis: i64, request: &str, copied: bool) -> String {
    let fields =
        json!({"request": request, "runner": "e2", "from_replica": copied, "position": 38});
    line(millis, log_messages::RUN_STARTED, fields)
}

/// Logs of the instances `n1` and `n2`; the second one's catalogue is behind for two seconds.
fn logs() -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    let first = [
        line(0, log_messages::SERVING, json!({"name": "n1"})),
        in_force(1_000, 7),
        lost(2_000, "copied"),
        begun(2_010, "copied", true),
        lost(2_000, "read-again"),
        begun(3_200, "read-again", false),
        line(3_300, log_messages::RUNNER_REMOVED, json!({"runner": "e1"})),
        line(4_000, log_messages::STREAM_COMPLETED, json!({"request": "copied"})),
        line(4_000, log_messages::STREAM_COMPLETED, json!({"request": "read-again"})),
        "no log line".into(),
        line(5_000, "rejected: Lost", json!({"request": "call", "waited": 18, "ready": 4})),
        line(6_000, "rejected: NotRun { retry: 300ms }", json!({"request": "full", "ready": 0})),
        in_force(7_000, 9),
        line(
            7_100,
            log_messages::RUNNER_ERROR,
            json!({"request": "failing", "runner": "p1", "status": 500}),
        ),
        line(
            7_130,
            log_messages::RUNNER_ERROR,
            json!({"request": "failing", "runner": "p2", "status": 500}),
        ),
        line(7_131, log_messages::ERROR_RETURNED, json!({"request": "failing", "status": 500})),
        begun(9_000, "cut-short", false),
        line(10_500, log_messages::SERVING, json!({"name": "n1"})),
    ];
    let second = [
        line(0, log_messages::SERVING, json!({"name": "n2"})),
        in_force(1_000, 7),
        line(8_000, "rejected: NoKey", json!({"request": "denied", "version": 7})),
        // The clock is set back: what comes later in the file happened later all the same.
        line(7_000, log_messages::CATALOG_APPLIED, json!({"version": 9, "revision": 9})),
        line(9_500, "rejected: NoKey", json!({"request": "unknown-key", "version": 9})),
    ];
    fs::write(folder.path().join("one.log"), first.join("\n")).unwrap();
    fs::write(folder.path().join("two.log"), second.join("\n")).unwrap();
    folder
}

fn explain(folder: &TempDir, id: &str, more: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bilberryfront"));
    command.arg("explain").arg(id).args(more);
    command.arg(folder.path().join("one.log")).arg(folder.path().join("two.log"));
    command.output().unwrap()
}

/// Each kind of end has its cause told, also where it shows only in another instance's log.
#[test]
fn every_kind_of_end_is_told_with_its_cause() {
    let folder = logs();
    for (id, cause) in [
        ("copied", "resumed from a replica in time"),
        ("read-again", "the replica's holder was lost too, so the prompt was prefilled again"),
        ("call", "It may have run"),
        ("full", "no runner of the service was listed"),
        ("denied", "while n1 had catalogue 9 for 1000 ms: the instance was behind"),
        ("unknown-key", "the newest that any of these instances had"),
        ("failing", "status 500: each of the runners p1, p2 ran it and failed"),
        ("cut-short", "n1 restarted 1500 ms after"),
        ("e1", "2 were lost, 0 requests were rejected. Its entry was removed."),
        ("9", "came into force at n1 first"),
    ] {
        let output = explain(&folder, id, &[]);
        let told = String::from_utf8(output.stdout).unwrap();
        assert_eq!(output.status.code(), Some(0), "{id}: {told}");
        assert!(told.contains(cause), "{id}: {told}");
    }
}

/// What happened to the runners that a request met, and to its instance's dependencies, stands between its
/// own lines; other requests' lines don't.
#[test]
fn a_story_holds_what_happened_around_it() {
    let output = explain(&logs(), "read-again", &["--output", "json"]);
    let story: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(story["subject"], json!({"request": "read-again"}));
    let events = story["events"].as_array().unwrap();
    let told: Vec<_> = events.iter().map(|e| (e["text"].as_str().unwrap(), &e["own"])).collect();
    assert!(
        told.iter()
            .any(|(text, own)| text.starts_with(log_messages::RUNNER_REMOVED) && **own == false)
    );
    assert!(events.iter().all(|e| e["node"] == "n1"));
    assert_eq!(told.iter().filter(|(text, _)| text.starts_with(log_messages::RUN_LOST)).count(), 1);
}

/// A clock that was set back doesn't change the order of one instance's lines.
#[test]
fn a_clock_that_was_set_back_changes_no_order() {
    let output = explain(&logs(), "unknown-key", &["--output", "json"]);
    let story: Value = serde_json::from_slice(&output.stdout).unwrap();
    let own: Vec<bool> =
        story["events"].as_array().unwrap().iter().map(|e| e["own"] == true).collect();
    assert_eq!(own.last(), Some(&true), "{story}");
}

/// What isn't there, and what isn't a log, is said so; lines that can be read still count.
#[test]
fn what_cannot_be_told_is_said_so() {
    let folder = logs();
    let output = explain(&folder, "nobody", &[]);
    let shown = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(shown.contains("no log lines, passed over: 1") && shown.contains("no line names"));
    let missing = Command::new(env!("CARGO_BIN_EXE_bilberryfront"))
        .args(["explain", "x", "not-there.log"])
        .output()
        .unwrap();
    assert!(!missing.status.success());
    assert!(String::from_utf8(missing.stderr).unwrap().contains("cannot read not-there.log"));
}

/// Logs come from standard input where no file is named, such as from a log store's own client.
#[test]
fn logs_are_read_from_standard_input() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_bilberryfront"))
        .args(["explain", "call"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let text = fs::read(logs().path().join("one.log")).unwrap();
    child.stdin.take().unwrap().write_all(&text).unwrap();
    let told = String::from_utf8(child.wait_with_output().unwrap().stdout).unwrap();
    assert!(told.contains("It may have run"), "{told}");
}

/// The operators' page tells of every line that `explain` looks for.
#[test]
fn the_operators_page_lists_the_lines() {
    let page =
        fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/docs/OPERATIONS.md")).unwrap();
    let missing: Vec<_> = log_messages::ALL
        .into_iter()
        .filter(|line| !page.contains(line.trim_end_matches(": ")))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}
