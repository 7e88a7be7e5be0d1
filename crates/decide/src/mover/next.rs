//! The next change of a move, and the condition it waits for.

use {
    super::{
        schedule::{MIN_HOLD, MIN_SOAK, min_remaining},
        standing::Standing,
        track::Track,
        units::{Millis, Share},
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::Instant,
};

/// Requests of the new version required per step on each busy route.
const REQUESTS_PER_ROUTE: u32 = 4;
/// Minimum fraction of all requests for a route to count as busy.
const BUSY_FRACTION: f64 = 0.1;
/// Minimum time in the settled state, in which a verdict that is still in transit can roll the move
/// back. After adoption, the old version's runners may be gone.
const ADOPT_HOLD: Duration = Duration::from_secs(10);

/// Next change of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Next {
    /// None; the move is over.
    Nothing,
    /// Raise the share.
    Raise {
        /// Index of the step.
        step: u8,
        /// Share of the step.
        share: Share,
    },
    /// Send every request to the new version, permanently.
    Settle,
    /// Name the new version in the catalogue.
    Adopt,
}

/// Condition that a move waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Waiting {
    /// None; the lease holder makes the change on its next tick.
    Nothing,
    /// The planned duration of the step; holds the milliseconds left.
    Hold(Millis),
    /// More requests of the new version.
    Evidence {
        /// Route that lacks requests; empty for the total of all routes.
        route: CompactString,
        /// Requests seen in this step; for a route, in the whole move.
        have: u32,
        /// Requests required.
        need: u32,
    },
    /// The new version is suspect; it either recovers or is rolled back.
    Suspicion,
    /// More runners of the new version.
    Runners {
        /// Current number of runners.
        have: u32,
        /// Runners required.
        need: u32,
    },
    /// The catalogue still names the old version.
    Catalog,
    /// The verdict isn't in the table yet, but is already in force.
    Record,
}

/// Next change of a move, and the condition it waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Progress {
    /// Condition.
    pub waiting: Waiting,
    /// Next change.
    pub next: Next,
}

/// Returns the progress of the track's move at `now`.
pub(super) fn progress(track: &Track, now: Instant, wall: Millis) -> Progress {
    let Some(row) = &track.row else { return finished(Waiting::Nothing) };
    match &track.standing {
        Standing::Moving(step) => moving(track, usize::from(*step), now, wall),
        Standing::Settled => {
            Progress { waiting: settled(track, &row.moved.to, now), next: Next::Adopt }
        }
        Standing::Adopted => finished(Waiting::Nothing),
        Standing::TakenBack(_) if row.standing.verdict().is_none() => finished(Waiting::Record),
        Standing::TakenBack(_) => finished(Waiting::Nothing),
    }
}

fn settled(track: &Track, to: &CompactString, now: Instant) -> Waiting {
    let elapsed = now - track.step_since;
    if track.version != *to {
        Waiting::Catalog
    } else if elapsed < ADOPT_HOLD {
        Waiting::Hold((ADOPT_HOLD - elapsed).as_millis() as Millis)
    } else {
        Waiting::Nothing
    }
}

fn finished(waiting: Waiting) -> Progress {
    Progress { waiting, next: Next::Nothing }
}

fn moving(track: &Track, step: usize, now: Instant, wall: Millis) -> Progress {
    let moved = &track.row.as_ref().expect("a moving track has a row").moved;
    let next = match moved.steps.get(step + 1) {
        Some(after) => Next::Raise { step: step as u8 + 1, share: after.share },
        None => Next::Settle,
    };
    let elapsed = (now - track.step_since).as_millis() as Millis;
    let is_urgent = wall + min_remaining(&moved.steps, step) >= moved.by;
    let hold = moved.steps[step].hold;
    let min_hold = if next == Next::Settle { MIN_SOAK } else { MIN_HOLD };
    let hold = if is_urgent { hold.min(min_hold.as_millis() as Millis) } else { hold };
    let waiting = if track.test.is_suspect(now) {
        Waiting::Suspicion
    } else if let Some(runners) = runners(track, &next) {
        runners
    } else if elapsed < hold {
        Waiting::Hold(hold - elapsed)
    } else {
        evidence(track, step, is_urgent).unwrap_or(Waiting::Nothing)
    };
    Progress { waiting, next }
}

/// Requires runners of the new version in proportion to the next share, where the number of the old
/// version's runners is assumed to be sufficient for all requests. With fewer, a larger share would
/// only show that the runners are overloaded.
fn runners(track: &Track, next: &Next) -> Option<Waiting> {
    let [old, new] = track.runner_counts?;
    let share = match next {
        Next::Raise { share, .. } => *share,
        _ => Share::ALL,
    };
    let need = (f64::from(old.min(new.max(old))) * share.fraction()).floor().max(1.0) as u32;
    (new < need).then_some(Waiting::Runners { have: new, need })
}

/// Returns the evidence that is missing at this step. `is_urgent` is set when the remaining steps
/// need all of the time until the deadline.
fn evidence(track: &Track, step: usize, is_urgent: bool) -> Option<Waiting> {
    let moved = &track.row.as_ref()?.moved;
    let evidence_fraction = match (is_urgent, moved.force) {
        (false, _) => 1.0,
        (true, false) => moved.weights.evidence_fraction(),
        (true, true) => 0.0,
    };
    let scale = |need: u32| (f64::from(need) * evidence_fraction).ceil() as u32;
    let need = scale(moved.steps[step].need);
    let have = track.served().saturating_sub(track.served_before_step);
    if have < need {
        return Some(Waiting::Evidence { route: CompactString::default(), have, need });
    }
    // Waiting for a route with little traffic would use up the time of the later steps. The route
    // gets its requests sooner at a larger share, and they are still required in the last step.
    let is_last = step + 1 == moved.steps.len();
    if is_urgent && !is_last {
        return None;
    }
    let all: u32 = track.routes.values().map(|c| c.old + c.new).sum();
    let busy = f64::from(all) * BUSY_FRACTION;
    let need = scale(REQUESTS_PER_ROUTE * if is_urgent { 1 } else { step as u32 + 1 });
    track
        .routes
        .iter()
        .find(|(_, c)| f64::from(c.old + c.new) >= busy && c.new < need)
        .map(|(route, c)| Waiting::Evidence { route: route.clone(), have: c.new, need })
}
