//! What nodes say to each other.

use {
    crate::{
        id::{Incarnation, Revision},
        mover::PeerNews,
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// A message between nodes. New variants go to the end, so that the encoding of the others stays.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PeerMessage {
    /// Regular sign of life.
    Heartbeat(Heartbeat),
    /// The sender has just put this catalogue in force.
    Revision(Revision),
    /// Asks for the catalogue, if its revision is higher than this.
    CatalogPull(Revision),
    /// Answer to [`PeerMessage::CatalogPull`].
    CatalogPush(CatalogPush),
    /// Asks for all that the receiver knows of the nodes.
    MembersPull,
    /// Answer to [`PeerMessage::MembersPull`].
    MembersPush(Vec<Claim>),
    /// The sender exits; this is its last message.
    Goodbye(Moment),
    /// What the sender holds of some nodes, to be checked: claims that are out of date are answered
    /// in kind. A node asks so before it tells all that another is silent.
    Claims(Vec<Claim>),
    /// What the sender knows of a version move; for the mover.
    Move(PeerNews),
    /// What the sender has under way at runners and which of them failed it; for whoever chooses
    /// runners.
    Load(Load),
    /// The same, by way of another node.
    Relayed(Relayed),
}

/// What one node says of runners, passed on by another one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Relayed {
    /// Whose word it is.
    pub origin: CompactString,
    /// What it says.
    pub load: Load,
    /// Whether the receiver is to pass it on to the nodes of its own failure domain.
    pub spread: bool,
}

/// What one node says of runners.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Load {
    /// What it has under way, at some of them.
    pub runners: Vec<RunnerLoad>,
    /// Ids of those that have just broken a connection, not taken one or fallen silent.
    pub failed: Vec<CompactString>,
    /// Those that were found to have started anew under another id.
    pub restarts: Vec<Restart>,
}

/// A runner that started anew at its address, under another id.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Restart {
    /// Id of the process that has ended.
    pub former: CompactString,
    /// Id of the new one.
    pub id: CompactString,
}

impl Load {
    /// Whether there is nothing to say.
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty() && self.failed.is_empty() && self.restarts.is_empty()
    }
}

/// What one node has under way at one runner. Whole amounts, so that a lost message is made up for by
/// the next one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RunnerLoad {
    /// The runner's id.
    pub runner: CompactString,
    /// Requests.
    pub running: u32,
    /// Tokens of memory that they take in the end, copies of other requests included.
    pub memory: u32,
    /// Prompt tokens that aren't known to be read yet.
    pub unread: u32,
}

/// A whole catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct CatalogPush {
    /// Its number.
    pub revision: Revision,
    /// The [`crate::catalog::CatalogDoc`] as JSON.
    pub doc: String,
}

/// One life of a node. Of two lives of one name the greater is the newer.
///
/// The incarnation alone tells lives apart but doesn't order them. The epoch orders them: the
/// node's wall clock at start, in milliseconds. A clock that was set back can't hide a node: it
/// raises its epoch when it hears of another life of its name that passes for newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct Life {
    /// Grows from life to life.
    pub epoch: u64,
    /// Random at start.
    pub incarnation: Incarnation,
}

/// A point of a node's life: what is known of a later one replaces what is known of an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct Moment {
    /// Which life.
    pub life: Life,
    /// Number of the node's last heartbeat in that life.
    pub beat: u64,
}

/// How a node stands, in the order in which one claim overrides another of the same [`Moment`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// Named by the instance list, never heard of otherwise.
    Unknown,
    /// Has no catalogue yet.
    Starting,
    /// Takes requests.
    Ready,
    /// Leaving.
    Draining,
    /// Silent, or its connection broke; out of the addresses unless it is heard of soon.
    Suspect,
    /// Has said goodbye, or stayed silent.
    Gone,
    /// Gone and no longer listed.
    Forgotten,
}

/// Where a node is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Place {
    /// Failure domain.
    pub domain: CompactString,
    /// Base URL for callers.
    pub url: CompactString,
    /// Peer face, `IP:PORT`.
    pub peer: CompactString,
}

/// Regular sign of life.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Heartbeat {
    /// When in the sender's life.
    pub moment: Moment,
    /// How the sender stands: starting, ready or draining.
    pub state: NodeState,
    /// Where the sender is; left out of most heartbeats to save bytes.
    pub place: Option<Place>,
    /// Catalogue in force at the sender; 0 for none.
    pub revision: Revision,
    /// The sender's greatest uses of limits.
    pub usage: Vec<Usage>,
    /// What the sender has heard lately.
    pub news: Vec<News>,
}

/// Requests of one account running for one entry at one node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Usage {
    /// Name of the entry.
    pub entry: CompactString,
    /// Name of the account.
    pub account: CompactString,
    /// How many.
    pub running: u32,
}

/// Something that every node should hear.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum News {
    /// How a node stands.
    Node(Claim),
    /// How a runner seems to stand.
    Runner(Hint),
}

/// What somebody holds of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Claim {
    /// The node's name.
    pub name: CompactString,
    /// Up to when in its life.
    pub moment: Moment,
    /// How it stands.
    pub state: NodeState,
    /// Where it is, where the receivers may not know.
    pub place: Option<Place>,
}

/// Evidence about a runner, for others to check; never taken for the truth.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Hint {
    /// The runner's name.
    pub runner: CompactString,
    /// What was seen.
    pub kind: HintKind,
}

/// What was seen of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum HintKind {
    /// Its connections broke or it stalled.
    Lost,
    /// It said that it is leaving.
    Leaving,
}
