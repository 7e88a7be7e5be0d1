//! State charts: transition tables that are loaded from JSON files and validated before use.

use {
    rustc_hash::{FxHashMap, FxHashSet},
    serde::{Deserialize, de::DeserializeOwned},
    std::{fmt::Debug, hash::Hash},
};

/// A result whose error is a [`ChartError`].
pub type Result<T> = std::result::Result<T, ChartError>;

/// Trait alias for the fieldless enums that name a chart's states or events.
pub trait Label: Copy + Debug + Eq + Hash + DeserializeOwned {}

impl<T: Copy + Debug + Eq + Hash + DeserializeOwned> Label for T {}

/// An invalid chart file.
#[derive(Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ChartError {
    /// Malformed JSON, or a state or event that the enum doesn't define.
    #[error("malformed state chart: {0}")]
    Syntax(String),
    /// A state that can't be reached from the initial state.
    #[error("state chart: state {0} is unreachable from the initial state")]
    Unreachable(String),
    /// A non-final state without outgoing transitions.
    #[error("state chart: state {0} is not final but has no outgoing transition")]
    DeadEnd(String),
    /// A final state with an outgoing transition.
    #[error("state chart: state {0} is final but has an outgoing transition")]
    FinalWithExit(String),
}

/// A validated state chart over states `S` and events `E`.
#[derive(Clone, Debug)]
pub struct Chart<S, E> {
    initial: S,
    finals: FxHashSet<S>,
    transitions: FxHashMap<(S, E), S>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, bound = "S: DeserializeOwned, E: DeserializeOwned")]
struct ChartFile<S, E> {
    initial: S,
    #[serde(rename = "final")]
    finals: Vec<S>,
    #[serde(rename = "arrows")]
    transitions: Vec<Transition<S, E>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Transition<S, E> {
    from: S,
    on: E,
    to: S,
}

impl<S: Label, E: Label> Chart<S, E> {
    /// Parses and validates a chart file.
    pub fn parse(text: &str) -> Result<Chart<S, E>> {
        let file: ChartFile<S, E> =
            serde_json::from_str(text).map_err(|e| ChartError::Syntax(e.to_string()))?;
        let chart = Chart {
            initial: file.initial,
            finals: file.finals.into_iter().collect(),
            transitions: file.transitions.into_iter().map(|t| ((t.from, t.on), t.to)).collect(),
        };
        chart.validate()?;
        Ok(chart)
    }

    /// Returns the initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns the state after `event`, or `None` if `state` has no transition for it.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.transitions.get(&(state, event)).copied()
    }

    /// Returns whether `state` is final. Final states have no outgoing transitions.
    pub fn is_final(&self, state: S) -> bool {
        self.finals.contains(&state)
    }

    fn validate(&self) -> Result<()> {
        let reachable = self.reachable();
        let named = self.transitions.keys().map(|(from, _)| from).chain(&self.finals);
        for &state in named {
            if !reachable.contains(&state) {
                return Err(ChartError::Unreachable(format!("{state:?}")));
            }
        }
        for &state in &reachable {
            let has_exit = self.transitions.keys().any(|(from, _)| *from == state);
            match (has_exit, self.is_final(state)) {
                (true, true) => return Err(ChartError::FinalWithExit(format!("{state:?}"))),
                (false, false) => return Err(ChartError::DeadEnd(format!("{state:?}"))),
                _ => {}
            }
        }
        Ok(())
    }

    fn reachable(&self) -> FxHashSet<S> {
        let mut reachable = FxHashSet::from_iter([self.initial]);
        let mut pending = vec![self.initial];
        while let Some(state) = pending.pop() {
            for (_, &to) in self.transitions.iter().filter(|((from, _), _)| *from == state) {
                if reachable.insert(to) {
                    pending.push(to);
                }
            }
        }
        reachable
    }
}
