//! Reports of a move's status to operators.

use {
    super::{
        control::NodeHandle,
        message::{MoveReport, MoveState, MoveVerdict},
    },
    bilberryfront_decide::{
        id::Incarnation,
        mover::{Millis, MoveId, Standing, Status, Verdict},
    },
    compact_str::{CompactString, format_compact},
    jiff::Timestamp,
};

/// A move's id as operators see it. Not a number: JSON readers round numbers of 64 bits.
pub(super) fn id(id: MoveId) -> CompactString {
    format_compact!("{:016x}", id.0)
}

/// The report of a node that was asked.
pub(super) fn report(handle: &NodeHandle, status: Status) -> MoveReport {
    let step = match status.standing {
        Standing::Moving(step) => Some(step + 1),
        _ => None,
    };
    let moved = status.moved;
    MoveReport {
        id: id(moved.id),
        started: time(moved.started),
        by: time(moved.by),
        left: status.left,
        force: moved.force,
        weights: moved.weights,
        state: state(&status.standing),
        step,
        steps: moved.steps.len(),
        verdict: status.standing.verdict().map(|v| verdict(handle, v)),
        entry: moved.entry,
        from: moved.from,
        to: moved.to,
        share: status.share,
        here: status.here,
        holder: status.holder.and_then(|h| handle.name_of(h)),
        waiting: status.waiting,
        next: status.next,
        routes: status.routes,
    }
}

fn state(standing: &Standing) -> MoveState {
    match standing {
        Standing::Moving(_) => MoveState::Moving,
        Standing::Settled => MoveState::Settled,
        Standing::Adopted => MoveState::Adopted,
        Standing::TakenBack(_) => MoveState::TakenBack,
    }
}

fn verdict(handle: &NodeHandle, verdict: &Verdict) -> MoveVerdict {
    let Verdict { cause, ref route, node } = *verdict;
    let gone = |Incarnation(life)| format_compact!("a former node ({life:016x})");
    let node = handle.name_of(node).unwrap_or_else(|| gone(node));
    MoveVerdict { cause, route: route.clone(), node }
}

/// A row's time; one beyond the calendar is shown as its end.
fn time(millis: Millis) -> Timestamp {
    let millis = i64::try_from(millis).unwrap_or(i64::MAX);
    Timestamp::from_millisecond(millis).unwrap_or(Timestamp::MAX)
}
