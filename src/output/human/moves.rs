//! Version moves as tables and sentences.

use {
    super::{TIME_FORMAT, table},
    crate::operator::message::{MoveReport, MoveState, MoveVerdict},
    bilberryfront_decide::mover::{Cause, Millis, Next, Share, Side, Waiting},
    jiff::{SignedDuration, Unit},
};

/// Returns a table with a row for the latest move of each entry.
pub fn list(moves: &[MoveReport]) -> String {
    if moves.is_empty() {
        return "no entry has been moved yet\n".into();
    }
    let mut table = table(&["entry", "from", "to", "state", "share", "here", "left", "waits for"]);
    for report in moves {
        table.add_row([
            report.entry.to_string(),
            report.from.to_string(),
            report.to.to_string(),
            format_state(report),
            format_percent(report.share),
            format_percent(report.here),
            format_time_left(report),
            describe_waiting(&report.waiting),
        ]);
    }
    format!("{table}\n")
}

/// Returns the full report of a move.
pub fn status(report: &MoveReport) -> String {
    let MoveReport { id, entry, from, to, .. } = report;
    let mut text = format!("move {id} of {entry} from {from} to {to}\n");
    let mut line = |name: &str, value: String| text.push_str(&format!("  {name:<12}{value}\n"));
    line("state", format_state(report));
    if let Some(verdict) = &report.verdict {
        line("because", describe_verdict(verdict));
    }
    let (share, here) = (format_percent(report.share), format_percent(report.here));
    line("share", format!("{share} allowed, {here} at the node that was asked"));
    line("waits for", describe_waiting(&report.waiting));
    line("next", describe_next(&report.next));
    let by = report.by.strftime(TIME_FORMAT);
    match report.state.is_final() {
        true => line("deadline", by.to_string()),
        false => line("time left", format!("{}, until {by}", format_time_left(report))),
    }
    let holder = report.holder.as_deref().unwrap_or("unknown node");
    line("stepped by", holder.into());
    match report.routes.is_empty() {
        true => text.push_str("no request has ended since it started\n"),
        false => text.push_str(&routes_table(report)),
    }
    text
}

/// Returns a line that changes only when the move makes progress.
pub fn progress(report: &MoveReport) -> String {
    let (state, share) = (format_state(report), format_percent(report.share));
    format!("{state}, share {share}: waits for {}\n", condition(&report.waiting))
}

fn routes_table(report: &MoveReport) -> String {
    let header =
        ["route", "version", "ended", "failed", "late first token", "slow tokens", "accounts"];
    let mut table = table(&header);
    for route in &report.routes {
        let row = |name: &str, version: &str, side: Side, accounts: String| {
            let counts = [side.ended, side.failed, side.late, side.slow];
            let counts = counts.into_iter().map(|c| c.to_string());
            let names = [name, version].into_iter().map(str::to_owned);
            names.chain(counts).chain([accounts]).collect::<Vec<_>>()
        };
        table.add_row(row(&route.route, &report.from, route.old, String::new()));
        table.add_row(row("", &report.to, route.new, route.accounts.to_string()));
    }
    format!("{table}\n")
}

fn format_state(report: &MoveReport) -> String {
    match (report.state, report.step) {
        (MoveState::Moving, Some(step)) => format!("moving, step {step} of {}", report.steps),
        (MoveState::Moving, None) => "moving".into(),
        (MoveState::Settled, _) => "settled".into(),
        (MoveState::Adopted, _) => "adopted".into(),
        (MoveState::TakenBack, _) => "taken back".into(),
    }
}

fn describe_verdict(verdict: &MoveVerdict) -> String {
    let cause = match verdict.cause {
        Cause::Deadline => "the deadline expired",
        Cause::Undone => "an operator undid it",
        Cause::Failing => "the new version fails more often",
        Cause::SlowFirst => "the new version's first tokens are late more often",
        Cause::SlowPace => "the new version's tokens are slow more often",
        Cause::Lost => "the new version's responses are lost more often",
    };
    let place = match verdict.route.as_str() {
        "" => String::new(),
        route => format!(", on route {route}"),
    };
    format!("{cause}{place}; decided by {}", verdict.node)
}

fn describe_waiting(waiting: &Waiting) -> String {
    match waiting {
        Waiting::Hold(millis) => {
            format!("{}, {} more", condition(waiting), format_duration(*millis))
        }
        Waiting::Evidence { have, need, .. } => {
            format!("{}: {have} of {need}", condition(waiting))
        }
        Waiting::Runners { have, need } => format!("{}: {have} of {need}", condition(waiting)),
        _ => condition(waiting),
    }
}

/// Returns the condition without its numbers, which change continuously.
fn condition(waiting: &Waiting) -> String {
    match waiting {
        Waiting::Nothing => "nothing".into(),
        Waiting::Hold(_) => "the end of the hold time".into(),
        Waiting::Evidence { route, .. } if route.is_empty() => {
            "ended requests of the new version".into()
        }
        Waiting::Evidence { route, .. } => format!("ended requests of the new version on {route}"),
        Waiting::Suspicion => "evidence for or against the new version, which is suspect".into(),
        Waiting::Runners { .. } => "runners of the new version".into(),
        Waiting::Catalog => "the catalogue to contain the new version".into(),
        Waiting::Record => "the table to record the verdict, which is already in force".into(),
    }
}

fn describe_next(next: &Next) -> String {
    match next {
        Next::Nothing => "nothing: the move has ended".into(),
        Next::Raise { step, share } => {
            format!("step {}, which raises the share to {}", step + 1, format_percent(*share))
        }
        Next::Settle => "settles: the new version gets every request".into(),
        Next::Adopt => "adopts the new version: the runners of the old one may stop".into(),
    }
}

fn format_time_left(report: &MoveReport) -> String {
    match (report.state.is_final(), report.left) {
        (true, _) => "-".into(),
        (false, 0) => "none".into(),
        (false, left) => format_duration(left),
    }
}

fn format_duration(millis: Millis) -> String {
    let span = SignedDuration::from_millis(i64::try_from(millis).unwrap_or(i64::MAX));
    let rounded = span.round(Unit::Second).unwrap_or(span);
    format!("{rounded:#}")
}

fn format_percent(share: Share) -> String {
    format!("{} %", f64::from(share.0) / 100.0)
}
