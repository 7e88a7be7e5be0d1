//! What a move is, and the row that keeps it in the platform's table.

use {
    super::{
        schedule::{Step, Weights},
        standing::Standing,
        units::{Millis, Share},
    },
    compact_str::{CompactString, format_compact},
    serde::{Deserialize, Serialize},
};

/// A result whose error is a [`RowError`].
pub type Result<T> = std::result::Result<T, RowError>;

/// Most bytes of a row that is looked at.
pub const ROW_BYTES: usize = 8_192;
/// Most steps of a move.
pub const STEPS: usize = 16;

/// Names one move for ever; random, so that a second move of an entry is never taken for the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct MoveId(pub u64);

/// A move as its operator asked for it and as it was planned at its start.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Its name.
    pub id: MoveId,
    /// Catalogue entry.
    pub entry: CompactString,
    /// Version that has the traffic.
    pub from: CompactString,
    /// Version that is to have it.
    pub to: CompactString,
    /// When it was asked for.
    pub started: Millis,
    /// Deadline: settled by then, or else taken back.
    pub by: Millis,
    /// Whether the operator wants it although the time is too short for the evidence.
    pub force: bool,
    /// What the operator cares for.
    pub weights: Weights,
    /// Planned steps; shares grow.
    pub steps: Vec<Step>,
}

/// A move and how far it has come: the value of the row [`move_key`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MoveRow {
    /// The move.
    pub moved: Move,
    /// How far it has come.
    pub standing: Standing,
    /// When it came there.
    pub since: Millis,
    /// Random for each write, so that a writer whose answer was lost finds out if the row is its own.
    pub commit: u64,
}

/// Why a row can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum RowError {
    /// Longer than [`ROW_BYTES`].
    #[error("row of {0} bytes")]
    Long(usize),
    /// Not the JSON of a row.
    #[error("row: {0}")]
    Syntax(String),
    /// Steps that are none, too many or shrink, or a step beyond them.
    #[error("row with impossible steps")]
    Steps,
}

impl MoveRow {
    /// Reads and checks a row's value.
    pub fn parse(text: &str) -> Result<MoveRow> {
        if text.len() > ROW_BYTES {
            return Err(RowError::Long(text.len()));
        }
        let row: MoveRow =
            serde_json::from_str(text).map_err(|e| RowError::Syntax(e.to_string()))?;
        let steps = &row.moved.steps;
        let sound = (1..=STEPS).contains(&steps.len())
            && steps.is_sorted_by_key(|s| s.share)
            && steps.iter().all(|s| s.share <= Share::ALL);
        let inside = match row.standing {
            Standing::Moving(step) => usize::from(step) < steps.len(),
            _ => true,
        };
        if sound && inside { Ok(row) } else { Err(RowError::Steps) }
    }

    /// The row's value.
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("a row has no map with odd keys")
    }

    /// The share that the row allows the new version.
    pub fn share(&self) -> Share {
        self.moved.share(&self.standing)
    }
}

impl Move {
    /// The share that the new version gets at `standing`.
    pub fn share(&self, standing: &Standing) -> Share {
        match standing {
            Standing::Moving(step) => self.steps[usize::from(*step)].share,
            Standing::Settled | Standing::Adopted => Share::ALL,
            Standing::TakenBack(_) => Share::NONE,
        }
    }
}

/// Key of the row of an entry's latest move.
pub fn move_key(entry: &str) -> CompactString {
    format_compact!("move/{entry}")
}

/// Key of the row of an entry's lease.
pub fn lease_key(entry: &str) -> CompactString {
    format_compact!("lease/{entry}")
}
