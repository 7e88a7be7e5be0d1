//! Request and response bodies of the operators' API.

use {
    super::deadline::Deadline,
    bilberryfront_decide::{
        catalog::CatalogDoc,
        id::Revision,
        mover::{Cause, Millis, Next, RouteStatus, Share, Waiting, Weights},
    },
    compact_str::CompactString,
    jiff::Timestamp,
    serde::{Deserialize, Serialize},
};

/// A request to apply a catalogue.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// The revision it is based on; the proposal is rejected unless that is the latest one.
    pub expect: Revision,
    /// Random id, the same for each retry of the proposal.
    pub apply: CompactString,
    /// Comment of the operator.
    #[serde(default)]
    pub comment: String,
    /// The complete catalogue.
    pub catalogue: CatalogDoc,
}

/// Response to an applied proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Accepted {
    /// Revision of the catalogue.
    pub revision: Revision,
}

/// The nodes known to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Nodes {
    /// Current catalogue revision of the responding node.
    pub revision: Revision,
    /// All known nodes, including the responding one.
    pub nodes: Vec<NodeRow>,
}

/// A node, as known to the responding node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct NodeRow {
    /// Name in the instance list.
    pub name: CompactString,
    /// Failure domain.
    pub domain: CompactString,
    /// Address for callers.
    pub url: CompactString,
    /// State of the node, such as `ready` or `leaving`.
    pub state: CompactString,
    /// Current catalogue revision of the node, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
}

/// A request to start a version move.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MoveRequest {
    /// Catalogue entry.
    pub entry: CompactString,
    /// New version, one of the entry's `versions`.
    pub to: CompactString,
    /// Deadline.
    pub by: Deadline,
    /// Relative importance of meeting the deadline, of detecting faulty versions and of extra
    /// runners.
    #[serde(default)]
    pub weights: Weights,
    /// Whether to start although the deadline is too close to collect enough evidence.
    #[serde(default)]
    pub force: bool,
}

/// Response to the start or the rollback of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct MoveAccepted {
    /// Id of the move.
    pub id: CompactString,
}

/// Status of the latest move of an entry, as known to the responding node.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MoveReport {
    /// Random id of the move, in 16 hex digits.
    pub id: CompactString,
    /// Catalogue entry.
    pub entry: CompactString,
    /// Old version.
    pub from: CompactString,
    /// New version.
    pub to: CompactString,
    /// Time of the request to start it.
    pub started: Timestamp,
    /// Deadline.
    pub by: Timestamp,
    /// Milliseconds until the deadline.
    pub left: Millis,
    /// Whether it continues although the deadline is too close to collect enough evidence.
    pub force: bool,
    /// Relative importance of meeting the deadline, of detecting faulty versions and of extra
    /// runners.
    pub weights: Weights,
    /// State.
    pub state: MoveState,
    /// Current step, from 1; absent after the last one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub step: Option<u8>,
    /// Number of planned steps.
    pub steps: usize,
    /// Why it was rolled back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verdict: Option<MoveVerdict>,
    /// Share of requests that the table permits for the new version, in ten-thousandths.
    pub share: Share,
    /// Share that the responding node currently gives to the new version, in ten-thousandths.
    pub here: Share,
    /// Name of the node that advances the move, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<CompactString>,
    /// What the move is waiting for.
    pub waiting: Waiting,
    /// Next action.
    pub next: Next,
    /// Results of the requests of both versions, by route.
    pub routes: Vec<RouteStatus>,
}

/// State of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveState {
    /// The share of the new version is increased in steps.
    Moving,
    /// All requests use the new version, which isn't in the catalogue yet.
    Settled,
    /// Completed: the catalogue has the new version.
    Adopted,
    /// Rolled back.
    TakenBack,
}

impl MoveState {
    /// Returns whether the state is final.
    pub fn is_final(self) -> bool {
        matches!(self, MoveState::Adopted | MoveState::TakenBack)
    }
}

/// The reason for the rollback of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct MoveVerdict {
    /// Cause.
    pub cause: Cause,
    /// Route on which it was detected; empty for all routes together.
    pub route: CompactString,
    /// Name of the node that decided.
    pub node: CompactString,
}
