//! Definition of a move, and its row in the platform's table.

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

/// Maximum length of a row that is parsed, in bytes.
pub const MAX_ROW_BYTES: usize = 8_192;
/// Maximum number of steps of a move.
pub const MAX_STEPS: usize = 16;

/// Identifier of a move. Random, so that a later move of an entry is never mistaken for an earlier
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct MoveId(pub u64);

/// A move as requested by its operator and planned at its start.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Identifier.
    pub id: MoveId,
    /// Catalogue entry.
    pub entry: CompactString,
    /// Old version.
    pub from: CompactString,
    /// New version.
    pub to: CompactString,
    /// Wall-clock time at which a node received the operator's request and planned the move.
    pub started: Millis,
    /// Deadline; a move that has not settled by then is rolled back.
    pub by: Millis,
    /// Whether to start even if the deadline is too close to collect sufficient evidence; the steps
    /// are then shortened to fit.
    pub force: bool,
    /// The operator's priorities.
    pub weights: Weights,
    /// Planned steps, with non-decreasing shares.
    pub steps: Vec<Step>,
}

/// A move and its progress: the value of the row [`move_key`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MoveRow {
    /// The move.
    pub moved: Move,
    /// Progress.
    pub standing: Standing,
    /// Wall-clock time of the last change of `standing`.
    pub since: Millis,
    /// Random number that identifies the write, so that a writer whose response was lost can
    /// recognize its own row.
    pub commit: u64,
}

/// An invalid row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum RowError {
    /// Longer than [`MAX_ROW_BYTES`].
    #[error("row of a version move has {0} bytes; the maximum is {MAX_ROW_BYTES}")]
    Long(usize),
    /// Not the JSON of a row.
    #[error("malformed row of a version move: {0}")]
    Syntax(String),
    /// No steps, too many steps, decreasing or excessive shares, or a current step out of range.
    #[error("row of a version move has invalid steps or a current step out of range")]
    Steps,
}

impl MoveRow {
    /// Parses and validates a row's value.
    pub fn parse(text: &str) -> Result<MoveRow> {
        if text.len() > MAX_ROW_BYTES {
            return Err(RowError::Long(text.len()));
        }
        let row: MoveRow =
            serde_json::from_str(text).map_err(|e| RowError::Syntax(e.to_string()))?;
        let steps = &row.moved.steps;
        let is_valid = (1..=MAX_STEPS).contains(&steps.len())
            && steps.is_sorted_by_key(|s| s.share)
            && steps.iter().all(|s| s.share <= Share::ALL);
        let is_in_range = match row.standing {
            Standing::Moving(step) => usize::from(step) < steps.len(),
            _ => true,
        };
        if is_valid && is_in_range { Ok(row) } else { Err(RowError::Steps) }
    }

    /// Serializes the row's value.
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("all keys are strings")
    }

    /// Returns the new version's share according to the row.
    pub fn share(&self) -> Share {
        self.moved.share(&self.standing)
    }
}

impl Move {
    /// Returns the new version's share at `standing`.
    pub fn share(&self, standing: &Standing) -> Share {
        match standing {
            Standing::Moving(step) => self.steps[usize::from(*step)].share,
            Standing::Settled | Standing::Adopted => Share::ALL,
            Standing::TakenBack(_) => Share::NONE,
        }
    }
}

/// Returns the key of the row of an entry's latest move.
pub fn move_key(entry: &str) -> CompactString {
    format_compact!("move/{entry}")
}

/// Returns the key of the row of an entry's lease.
pub fn lease_key(entry: &str) -> CompactString {
    format_compact!("lease/{entry}")
}
