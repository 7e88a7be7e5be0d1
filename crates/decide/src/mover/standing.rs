//! Progress of a move, as a join-semilattice and as the state chart `charts/move.json`.

use {
    crate::{chart::Chart, id::Incarnation},
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::sync::LazyLock,
};

static CHART: LazyLock<Chart<Phase, Signal>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../../charts/move.json")).expect("charts/move.json is valid")
});

/// State of a move in `charts/move.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Phase {
    /// The share grows step by step.
    Moving,
    /// The new version receives every request; the catalogue still names the old one.
    Settled,
    /// The catalogue names the new version.
    Adopted,
    /// Rolled back.
    TakenBack,
}

/// Event of `charts/move.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Signal {
    /// The lease holder wrote the next step.
    Raised,
    /// The lease holder wrote that all steps are completed.
    Settled,
    /// The lease holder saw the new version in the catalogue.
    Adopted,
    /// A node or an operator decided to roll back.
    Judged,
}

/// Why a move was rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The deadline passed before the move had settled.
    Deadline,
    /// An operator requested it.
    Undone,
    /// Requests fail more often on the new version.
    Failing,
    /// First tokens are late more often on the new version.
    SlowFirst,
    /// Token rates are low more often on the new version.
    SlowPace,
    /// Responses are lost more often on the new version.
    Lost,
}

/// The decision to roll a move back.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Verdict {
    /// Cause.
    pub cause: Cause,
    /// Affected route; empty for the total of all routes.
    pub route: CompactString,
    /// Node that made the decision.
    pub node: Incarnation,
}

/// Progress of a move. The order of the variants is the order of the semilattice:
/// [`Standing::join`] returns the higher one, so that updates may arrive in any order and any
/// number of times.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// In progress, at this index of the move's steps.
    Moving(u8),
    /// Completed: the new version receives every request, whatever the catalogue says.
    Settled,
    /// Completed, and the catalogue names the new version: the row has no effect any more.
    Adopted,
    /// Rolled back for good. The highest value, so that no late raise or settling can revert it.
    TakenBack(Verdict),
}

impl Standing {
    /// Returns the higher of the two.
    #[must_use]
    pub fn join(self, other: Standing) -> Standing {
        self.max(other)
    }

    /// Returns whether the chart permits the change to `next` in one write.
    pub fn allows(&self, next: &Standing) -> bool {
        let (to, signal) = match next {
            Standing::Moving(step) => {
                let follows = matches!(self, Standing::Moving(now) if now + 1 == *step);
                return follows && CHART.next(Phase::Moving, Signal::Raised).is_some();
            }
            Standing::Settled => (Phase::Settled, Signal::Settled),
            Standing::Adopted => (Phase::Adopted, Signal::Adopted),
            Standing::TakenBack(_) => (Phase::TakenBack, Signal::Judged),
        };
        CHART.next(self.phase(), signal) == Some(to)
    }

    fn phase(&self) -> Phase {
        match self {
            Standing::Moving(_) => Phase::Moving,
            Standing::Settled => Phase::Settled,
            Standing::Adopted => Phase::Adopted,
            Standing::TakenBack(_) => Phase::TakenBack,
        }
    }

    /// Returns whether the move is over, so that another move of the entry may start.
    pub fn is_final(&self) -> bool {
        matches!(self, Standing::Adopted | Standing::TakenBack(_))
    }

    /// Returns the decision to roll the move back, if there is one.
    pub fn verdict(&self) -> Option<&Verdict> {
        match self {
            Standing::TakenBack(verdict) => Some(verdict),
            _ => None,
        }
    }
}
