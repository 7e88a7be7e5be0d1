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

/// Formats the id of a move for operators. A JSON number would not do: many JSON parsers round
/// 64-bit numbers.
pub(super) fn id(id: MoveId) -> CompactString {
    format_compact!("{:016x}", id.0)
}

/// Returns the report of a move by the responding node.
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
    let unknown = |Incarnation(id)| format_compact!("a former node ({id:016x})");
    let node = handle.name_of(node).unwrap_or_else(|| unknown(node));
    MoveVerdict { cause, route: route.clone(), node }
}

/// Converts the time of a row; a time after the last representable one is replaced by that.
fn time(millis: Millis) -> Timestamp {
    let millis = i64::try_from(millis).unwrap_or(i64::MAX);
    Timestamp::from_millisecond(millis).unwrap_or(Timestamp::MAX)
}
