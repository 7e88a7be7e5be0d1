//! Which cause a subject's lines point to, and what to do about it.

use {
    super::line::{Line, Logs},
    bilberryfront_relay::lines::{
        FAILURE_PASSED, IN_FORCE, NOT_RUN, REFUSED, RUN_BEGUN, RUN_FAILED, RUN_LOST, RUNNER_GONE,
        SERVES, STORE_BACK, STREAM_BROKEN, STREAM_ENDED,
    },
    jiff::SignedDuration,
};

/// Pause between two runs of a stream from which it was most likely late; a run that goes on from a copy
/// takes a tenth of it.
const LONG_PAUSE: SignedDuration = SignedDuration::from_millis(300);

/// The cause of how a request ended, told by its last own answer or, if it was served, its worst pause.
pub(super) fn of_request(logs: &Logs, own: &[&Line]) -> String {
    let refused = own.iter().rfind(|line| line.message.starts_with(REFUSED));
    if let Some(line) = refused {
        return of_refusal(logs, own, line);
    }
    if let Some(line) = own.iter().rfind(|line| line.message == FAILURE_PASSED) {
        return of_failure(own, line);
    }
    let broken = own.iter().any(|line| line.message.starts_with(STREAM_BROKEN));
    let ended = own.iter().any(|line| line.message == STREAM_ENDED);
    let pauses = own.iter().enumerate().filter_map(|(i, line)| pause(own, i, line));
    let worst = pauses.max_by_key(|(pause, _)| *pause);
    match (broken, worst, ended) {
        (true, _, _) => {
            let lost = own.iter().filter(|l| l.message.starts_with(RUN_LOST)).count();
            format!(
                "The stream broke off: {lost} runs of it were lost, and no runner went on. The caller has \
                 a part and knows it; it may come back with its last event's id."
            )
        }
        (false, Some((pause, cause)), _) if pause >= LONG_PAUSE => cause,
        (false, Some(_), true) => {
            "Served whole; what was lost on the way went on from a copy in good time.".into()
        }
        (false, None, true) => "Served whole by its first run.".into(),
        _ => of_silence(logs, own),
    }
}

/// Why a request ended with a runner's own failure.
fn of_failure(own: &[&Line], passed: &Line) -> String {
    let failed: Vec<&str> =
        own.iter().filter(|l| l.message == RUN_FAILED).filter_map(|l| l.text("runner")).collect();
    let runs = match failed.as_slice() {
        [] => "a runner".to_owned(),
        [one] => format!("runner {one}"),
        all => format!("each of the runners {}", all.join(", ")),
    };
    format!(
        "Ended with a runner's own failure, status {}: {runs} ran it and failed, and no further one was to be \
         tried. Ask the service's own logs for the id.",
        passed.number("status").unwrap_or_default()
    )
}

/// What is known of a request whose lines tell of no end. An instance that loses power writes nothing, but
/// says so when it has started again.
fn of_silence(logs: &Logs, own: &[&Line]) -> String {
    let last = own[own.len() - 1];
    let start = logs
        .lines
        .iter()
        .find(|line| line.node == last.node && line.order > last.order && line.message == SERVES);
    match start {
        Some(start) => format!(
            "The lines tell of no end, and {} started anew {} ms after the last of them: unless the caller \
             left before, the request ended with the process. The caller has what came until then and may \
             come back under another id.",
            last.node,
            start.order.duration_since(last.order).as_millis()
        ),
        None => "The lines tell of no end: the instance was killed, the caller left, or a log is missing."
            .into(),
    }
}

/// The pause after a run that was lost, and why it was as long as it was.
fn pause(own: &[&Line], index: usize, line: &Line) -> Option<(SignedDuration, String)> {
    let reason = line.message.strip_prefix(RUN_LOST)?;
    let runner = line.text("runner").unwrap_or("unknown");
    let after = &own[index + 1..];
    let next = after.iter().find(|line| line.message == RUN_BEGUN)?;
    let pause = next.order.duration_since(line.order);
    let copied = next.fields.get("copied").and_then(serde_json::Value::as_bool) == Some(true);
    let refused = after.iter().any(|line| {
        line.message == NOT_RUN
            && line.fields.get("copy").and_then(serde_json::Value::as_bool) == Some(true)
    });
    let why = if copied {
        "it went on from the copy, late"
    } else if refused {
        "the holder of its copy had none, so the whole prompt was read again"
    } else if line.text("holder").is_none_or(str::is_empty) {
        "there was no copy, so the whole prompt was read again"
    } else {
        "the holder of its copy was gone too, so the whole prompt was read again"
    };
    let cause = format!(
        "The stream paused: runner {runner} was lost ({reason}) after event {}, and {why}. The next event came \
         {} ms after the runner was left.",
        line.number("position").unwrap_or_default(),
        pause.as_millis()
    );
    Some((pause, cause))
}

fn of_refusal(logs: &Logs, own: &[&Line], line: &Line) -> String {
    let reason = &line.message[REFUSED.len()..];
    let waited = line.number("waited").unwrap_or_default();
    let runner = own.iter().rev().find_map(|l| l.text("runner")).unwrap_or("a runner");
    match reason.split([' ', '{']).next().unwrap_or_default() {
        "NotRun" if line.number("version") == Some(0) => match outage(logs, line) {
            Some(outage) => format!(
                "Refused, not run: the instance had no catalogue, since {outage}. It takes requests as \
                 soon as the store or another instance tells it one."
            ),
            None => {
                "Refused, not run: the instance had just started and had no catalogue yet.".into()
            }
        },
        "NotRun" if line.number("ready") == Some(0) => {
            "Refused, not run: no runner of the service was listed as ready.".into()
        }
        "NotRun" => {
            let vouched = own.iter().filter(|l| l.message == NOT_RUN).count();
            format!(
                "Refused, not run: {vouched} runners vouched that they didn't run it, and {} were listed as \
                 ready; the others took no connection, or the retry budget was used up.",
                line.number("ready").unwrap_or_default()
            )
        }
        "Lost" => format!(
            "Ended without an answer: {runner} had the request, and its connection broke after {waited} ms. \
             It may have run, so it was neither sent again nor called \"not run\": ask the service's own \
             records for the id."
        ),
        "Timeout" => format!(
            "Ended without an answer: {runner} had the request and said nothing until the route's timeout, \
             {waited} ms. It may have run: ask the service's own records for the id."
        ),
        "NoKey" | "NoRoute" => behind(logs, line, reason),
        other => format!("Refused: {other}. What the caller sent can't be served."),
    }
}

/// The outage of the store that an instance was in.
fn outage(logs: &Logs, at: &Line) -> Option<String> {
    let last = logs.lines.iter().rfind(|line| {
        line.node == at.node && line.order <= at.order && line.fields.contains_key("table")
    })?;
    (last.message != STORE_BACK).then(|| format!("the store didn't answer it ({})", last.message))
}

/// A denial by an older catalogue than others had, or a right one.
fn behind(logs: &Logs, line: &Line, reason: &str) -> String {
    let held = line.number("version").unwrap_or_default();
    let mut newer = logs.lines.iter().filter(|l| {
        l.message == IN_FORCE && l.order < line.order && l.number("version") > Some(held)
    });
    match newer.next() {
        Some(other) => format!(
            "Denied ({reason}) by catalogue {held}, while {} had catalogue {} for {} ms: the instance was \
             behind. Look at its lines about the store and its peers.",
            other.node,
            other.number("version").unwrap_or_default(),
            line.order.duration_since(other.order).as_millis()
        ),
        None => format!(
            "Denied ({reason}) by catalogue {held}, the newest that any of these instances had: the \
             operators' catalogue doesn't allow it."
        ),
    }
}

/// What a runner's lines show of it.
pub(super) fn of_runner(own: &[&Line]) -> String {
    let count = |text: &str| own.iter().filter(|line| line.message.starts_with(text)).count();
    let (begun, lost, refused) = (count(RUN_BEGUN), count(RUN_LOST), count(NOT_RUN));
    let gone = if count(RUNNER_GONE) > 0 { " Its entry was removed." } else { "" };
    format!(
        "{begun} runs began at it or were copied to it, {lost} were lost, {refused} requests it didn't \
         run.{gone}"
    )
}

/// How a catalogue came into force.
pub(super) fn of_catalogue(logs: &Logs, version: u64, own: &[&Line]) -> String {
    let nodes: std::collections::BTreeSet<_> = logs.lines.iter().map(|line| &line.node).collect();
    let (first, last) = (own[0], own[own.len() - 1]);
    let spread = last.order.duration_since(first.order).as_millis();
    let holders: std::collections::BTreeSet<_> = own.iter().map(|line| &line.node).collect();
    let missing: Vec<&str> = nodes.difference(&holders).map(|node| node.as_str()).collect();
    let rest = match missing.is_empty() {
        true => "all of them".to_owned(),
        false => format!("not at {} (a newer one may have come first)", missing.join(", ")),
    };
    format!(
        "Catalogue {version} came into force at {} first and {spread} ms later at the last, {rest}.",
        first.node
    )
}
