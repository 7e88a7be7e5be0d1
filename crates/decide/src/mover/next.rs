//! What a move does next, and what it waits for.

use {
    super::{
        schedule::{MIN_HOLD, MIN_SOAK, rest},
        standing::Standing,
        track::Track,
        units::{Millis, Share},
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::Instant,
};

/// Requests of the new version wanted on each busy route at each step.
const ROUTE_NEED: u32 = 4;
/// A route is busy with at least this part of the requests.
const BUSY: f64 = 0.1;
/// Shortest stay at settled. A verdict that was on its way takes the move back; once it is adopted,
/// the old version's runners may be gone.
const ADOPT_HOLD: Duration = Duration::from_secs(10);

/// What a move does next.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Next {
    /// Nothing: it is over.
    Nothing,
    /// A larger share.
    Raise {
        /// Index of the step.
        step: u8,
        /// Its share.
        share: Share,
    },
    /// Every request, for good.
    Settle,
    /// The catalogue is to name the new version.
    Adopt,
}

/// What a move waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Waiting {
    /// Nothing: the next tick of the lease's holder does it.
    Nothing,
    /// The planned time of the step, in milliseconds left.
    Hold(Millis),
    /// Requests of the new version.
    Evidence {
        /// Route on which they are missing; empty for all together.
        route: CompactString,
        /// Requests seen in this step; on a route, in the whole move.
        have: u32,
        /// Requests wanted.
        need: u32,
    },
    /// The new version looks bad: either it recovers or it is taken back.
    Suspicion,
    /// Too few runners of the new version.
    Runners {
        /// Runners that there are.
        have: u32,
        /// Runners wanted.
        need: u32,
    },
    /// The catalogue still names the old version.
    Catalog,
    /// The verdict isn't in the table yet. It is in force all the same.
    Record,
}

/// What a move waits for, and what comes then.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Pace {
    /// What it waits for.
    pub waiting: Waiting,
    /// What comes then.
    pub next: Next,
}

/// Decides for the track's move at `now`.
pub(super) fn next(track: &Track, now: Instant, wall: Millis) -> Pace {
    let Some(row) = &track.row else { return over(Waiting::Nothing) };
    match &track.standing {
        Standing::Moving(step) => moving(track, usize::from(*step), now, wall),
        Standing::Settled => {
            Pace { waiting: settled(track, &row.moved.to, now), next: Next::Adopt }
        }
        Standing::Adopted => over(Waiting::Nothing),
        Standing::TakenBack(_) if row.standing.verdict().is_none() => over(Waiting::Record),
        Standing::TakenBack(_) => over(Waiting::Nothing),
    }
}

fn settled(track: &Track, to: &CompactString, now: Instant) -> Waiting {
    let stayed = now - track.step_since;
    if track.version != *to {
        Waiting::Catalog
    } else if stayed < ADOPT_HOLD {
        Waiting::Hold((ADOPT_HOLD - stayed).as_millis() as Millis)
    } else {
        Waiting::Nothing
    }
}

fn over(waiting: Waiting) -> Pace {
    Pace { waiting, next: Next::Nothing }
}

fn moving(track: &Track, step: usize, now: Instant, wall: Millis) -> Pace {
    let moved = &track.row.as_ref().expect("a moving track has a row").moved;
    let next = match moved.steps.get(step + 1) {
        Some(after) => Next::Raise { step: step as u8 + 1, share: after.share },
        None => Next::Settle,
    };
    let stayed = (now - track.step_since).as_millis() as Millis;
    let pressed = wall + rest(&moved.steps, step) >= moved.by;
    let hold = moved.steps[step].hold;
    let least = if next == Next::Settle { MIN_SOAK } else { MIN_HOLD };
    let hold = if pressed { hold.min(least.as_millis() as Millis) } else { hold };
    let waiting = if track.judge.is_suspect(now) {
        Waiting::Suspicion
    } else if let Some(runners) = runners(track, &next) {
        runners
    } else if stayed < hold {
        Waiting::Hold(hold - stayed)
    } else {
        evidence(track, step, pressed).unwrap_or(Waiting::Nothing)
    };
    Pace { waiting, next }
}

/// Runners of the new version in proportion to the share, the old version's counted as enough for
/// all; a larger share would only show that few runners are slow.
fn runners(track: &Track, next: &Next) -> Option<Waiting> {
    let [old, new] = track.fleet?;
    let share = match next {
        Next::Raise { share, .. } => *share,
        _ => Share::ALL,
    };
    let need = (f64::from(old.min(new.max(old))) * share.fraction()).floor().max(1.0) as u32;
    (new < need).then_some(Waiting::Runners { have: new, need })
}

fn evidence(track: &Track, step: usize, pressed: bool) -> Option<Waiting> {
    let moved = &track.row.as_ref()?.moved;
    let insist = match (pressed, moved.force) {
        (false, _) => 1.0,
        (true, false) => moved.weights.insist(),
        (true, true) => 0.0,
    };
    let scale = |need: u32| (f64::from(need) * insist).ceil() as u32;
    let need = scale(moved.steps[step].need);
    let have = track.served().saturating_sub(track.step_base);
    if have < need {
        return Some(Waiting::Evidence { route: CompactString::default(), have, need });
    }
    // A thin route would use up the time that the later steps need for theirs. It gets its requests
    // sooner at a larger share, and is still asked for before the end.
    let last = step + 1 == moved.steps.len();
    if pressed && !last {
        return None;
    }
    let all: u32 = track.routes.values().map(|c| c.old + c.new).sum();
    let least = f64::from(all) * BUSY;
    let need = scale(ROUTE_NEED * if pressed { 1 } else { step as u32 + 1 });
    track
        .routes
        .iter()
        .find(|(_, c)| f64::from(c.old + c.new) >= least && c.new < need)
        .map(|(route, c)| Waiting::Evidence { route: route.clone(), have: c.new, need })
}
