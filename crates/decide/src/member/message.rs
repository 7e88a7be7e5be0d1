//! Messages between nodes.

use {
    crate::{
        id::{CatalogRevision, Incarnation, StoreRevision},
        mover::{MoveEvidence, MoveQuery, MoveUpdate},
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// A message. New variants are appended, so that the encoding of the others is stable.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PeerMessage {
    /// Heartbeat.
    Heartbeat(Heartbeat),
    /// The sender has applied this catalogue revision.
    Revision(CatalogRevision),
    /// Requests the catalogue if it is newer than this revision.
    CatalogPull(CatalogRevision),
    /// Response to [`PeerMessage::CatalogPull`].
    CatalogPush(CatalogPush),
    /// Requests the membership table.
    MembersPull,
    /// Response to [`PeerMessage::MembersPull`].
    MembersPush(Vec<Claim>),
    /// The sender exits.
    Leave(Moment),
    /// Claims to be checked; the receiver refutes outdated ones. Sent before a suspicion is
    /// gossiped. A claim about the sender itself requests a heartbeat.
    Claims(Vec<Claim>),
    /// State of a rollout.
    Move(MoveUpdate),
    /// Load and failures of runners.
    Load(Box<Load>),
    /// A relayed [`PeerMessage::Load`].
    RelayedLoad(Box<RelayedLoad>),
    /// Rows of a table of the store.
    Table(TableUpdate),
    /// Requests rows of a table; answered with [`PeerMessage::Table`].
    TablePull(TablePull),
    /// State of a reader of the store.
    StoreReport(StoreReport),
    /// A notice for all nodes.
    Notice(Notice),
    /// Requests the evidence of all processes, including those that have ended; answered with
    /// [`PeerMessage::MoveEvidence`].
    MoveQuery(MoveQuery),
    /// Response to [`PeerMessage::MoveQuery`], in several messages if there is much evidence.
    MoveEvidence(MoveEvidence),
}

/// A notice for all nodes, sent to those of the origin's failure domain and to one of each other domain.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Notice {
    /// Originating node.
    pub origin: CompactString,
    /// Whether the receiver forwards it within its failure domain.
    pub forward: bool,
    /// Content.
    pub content: NoticeContent,
}

/// Content of a [`Notice`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum NoticeContent {
    /// Requests that have crashed runners.
    Crashes(Vec<CrashReport>),
    /// Evidence on prompts that crash runners, and quarantined patterns of prompts.
    Prompts(PromptReport),
    /// Services from whose runners the origin is partitioned, while other nodes reach them.
    Partitions(Vec<CompactString>),
    /// Rows of operators' limits on the admission, from the nodes' table; see
    /// [`crate::admission::throttle`].
    Throttles(Vec<TableRow>),
}

/// Identity of a request across attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct RequestId {
    /// Hash of the account.
    pub account: u64,
    /// Hash of the method, path and body.
    pub request: u128,
}

/// Runners that have crashed while running a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct CrashReport {
    /// Request.
    pub id: RequestId,
    /// Hashes of the runners' incarnations; empty if a run of the request has completed.
    pub runners: Vec<u64>,
    /// Age of the last crash in milliseconds.
    pub age_ms: u32,
}

/// Evidence on prompts that crash runners, and quarantined patterns of prompts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct PromptReport {
    /// Crashes of runners.
    pub crashes: Vec<PromptCrash>,
    /// Parts with sound runs that refute crashes.
    pub sound: Vec<SoundPart>,
    /// Quarantined patterns.
    pub patterns: Vec<PatternReport>,
}

/// A runner that crashed while it held a request, unless it had responded to the request for long.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct PromptCrash {
    /// Hash of the runner's incarnation.
    pub runner: u64,
    /// Time since the request was sent to the runner, in milliseconds.
    pub sent_ms: u32,
    /// Age of the crash in milliseconds.
    pub age_ms: u32,
    /// Prompt.
    pub prompt: Prompt,
    /// Whether the response had begun.
    pub begun: bool,
    /// Parts of the prompt with sound runs before the crash.
    pub sound: Vec<SoundPart>,
}

/// Shared parts of a request's prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Prompt {
    /// Hash of the account.
    pub account: u64,
    /// Hash of the method, path and body.
    pub request: u64,
    /// Ids of the parts that other prompts may share, sorted.
    pub parts: Vec<u64>,
}

/// A part of a prompt that a runner has processed without crashing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct SoundPart {
    /// Id of the part.
    pub id: u64,
    /// Time since the start of the response, in milliseconds.
    pub age_ms: u32,
}

/// What prompts that crash runners have in common.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct PromptPattern {
    /// Hash of the account; `None` if the account varies.
    pub account: Option<u64>,
    /// Ids of the parts that all of them have, sorted.
    pub parts: Vec<u64>,
}

/// A quarantined pattern, or one that is no longer quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct PatternReport {
    /// Pattern.
    pub pattern: PromptPattern,
    /// Age of the first crash in milliseconds.
    pub since_ms: u32,
    /// Age of the last crash in milliseconds.
    pub age_ms: u32,
    /// Whether a sound run has shown that the pattern does not crash runners.
    pub cleared: bool,
}

impl PromptReport {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound.is_empty() && self.patterns.is_empty()
    }
}

impl PromptPattern {
    /// Returns the pattern of a single prompt.
    pub fn of(prompt: &Prompt) -> PromptPattern {
        PromptPattern { account: Some(prompt.account), parts: prompt.parts.clone() }
    }

    /// Returns whether a prompt has all that the pattern consists of.
    pub fn matches(&self, account: u64, has_part: impl Fn(u64) -> bool) -> bool {
        self.account.is_none_or(|own| own == account) && self.parts.iter().all(|id| has_part(*id))
    }

    /// Returns whether each prompt that matches `other` matches this pattern too.
    pub fn generalizes(&self, other: &PromptPattern) -> bool {
        let has_account = self.account.is_none() || self.account == other.account;
        has_account && self.parts.iter().all(|id| other.parts.binary_search(id).is_ok())
    }

    /// Returns what the pattern and a prompt have in common.
    pub fn intersect(&self, prompt: &Prompt) -> PromptPattern {
        let parts = self.parts.iter().copied();
        PromptPattern {
            account: self.account.filter(|account| *account == prompt.account),
            parts: parts.filter(|id| prompt.parts.binary_search(id).is_ok()).collect(),
        }
    }

    /// Returns the number of conditions.
    pub fn len(&self) -> usize {
        self.parts.len() + usize::from(self.account.is_some())
    }

    /// Returns whether the pattern has no condition.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A replicated table of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub enum TableId {
    /// Catalogue and orders of the operators.
    Operators,
    /// Registrations of runners.
    Runners,
    /// Statuses of rollouts.
    Statuses,
}

impl TableId {
    /// All tables.
    pub const ALL: [TableId; 3] = [TableId::Operators, TableId::Runners, TableId::Statuses];
}

/// Rows of a table, forwarded by a reader of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct TableUpdate {
    /// Table.
    pub table: TableId,
    /// Revision of the store up to which the sender has read the table.
    pub revision: StoreRevision,
    /// Which rows are included.
    pub extent: Extent,
    /// Milliseconds for which a removed row may still return, after an outage of the store; 0 if
    /// none.
    pub grace_ms: u32,
    /// Rows.
    pub rows: Vec<TableRow>,
}

/// Which rows an update of a table includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum Extent {
    /// Some rows that have changed.
    Changes,
    /// All rows that have changed after a revision, of those that the receiver holds.
    Since(StoreRevision),
    /// All rows that the receiver holds, as the service of some runners is divided into shards.
    Shard,
    /// All rows of the table.
    Whole,
}

/// Request for rows of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct TablePull {
    /// Table.
    pub table: TableId,
    /// Revision up to which the sender has the rows; `None` if it needs all of them.
    pub since: Option<StoreRevision>,
    /// Position of the sender among the shards; `None` if it holds the whole table.
    pub shard: Option<u32>,
}

/// A row of a table of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct TableRow {
    /// Key.
    pub key: CompactString,
    /// Revision of the last write.
    pub revision: StoreRevision,
    /// Content; `None` for a removed row.
    pub value: Option<Vec<u8>>,
}

/// State of a reader of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct StoreReport {
    /// Whether the store responds to the reader.
    pub available: bool,
    /// Digest of each table as read; empty before the first read.
    pub digests: Vec<TableDigest>,
    /// Divided services.
    pub services: Vec<DividedService>,
    /// Node that should check whether the store has later rows than the reader.
    pub checker: Option<CompactString>,
}

/// A service whose registrations are divided into shards.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct DividedService {
    /// Service.
    pub service: CompactString,
    /// Number of shards; a power of two.
    pub shards: u32,
}

/// Digest of a replicated table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct TableDigest {
    /// Table.
    pub table: TableId,
    /// Revision of the store up to which the table was read.
    pub revision: StoreRevision,
    /// Hash of all rows.
    pub hash: u64,
    /// Hash of the rows that the receiver holds if it does not hold the whole table.
    pub shard_hash: u64,
}

/// A load update relayed by another node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RelayedLoad {
    /// Originating node.
    pub origin: CompactString,
    /// Update.
    pub load: Load,
    /// Whether the receiver forwards it within its failure domain.
    pub forward: bool,
}

/// Load and failures of runners, as seen by one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Load {
    /// Load per runner.
    pub runners: Vec<RunnerLoad>,
    /// Ids of runners with connection errors or timeouts.
    pub failed: Vec<CompactString>,
    /// Runners whose address belongs to another incarnation.
    pub restarts: Vec<Restart>,
    /// Usage of the sender's retry budgets.
    pub budgets: BudgetReport,
    /// Rate limits advertised by runners.
    pub limits: Vec<RateLimit>,
    /// Runners that announced that they are shutting down.
    pub draining: Vec<DrainNotice>,
    /// Requests that wait at the sender; `None` if unchanged.
    pub queues: Option<Vec<QueueReport>>,
    /// Speeds of runners.
    pub paces: Vec<PaceReport>,
}

/// Requests of one service and level that wait at a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct QueueReport {
    /// Service.
    pub service: CompactString,
    /// Position of their priority among those of the service; 0 is the highest.
    pub level: u8,
    /// Number of requests.
    pub waiting: u32,
    /// Age of the oldest one in milliseconds.
    pub oldest_ms: u32,
}

/// Observed speed of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct PaceReport {
    /// Runner id.
    pub runner: CompactString,
    /// Time per event of an engine, or per call of a plain runner, in microseconds.
    pub time_us: u32,
}

/// A runner's announcement that it is shutting down.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct DrainNotice {
    /// Runner id.
    pub runner: CompactString,
    /// Start time in milliseconds since the Unix epoch, because the id may be reused later.
    pub born: u64,
}

/// A runner's rate limit, or the end of one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RateLimit {
    /// Runner id.
    pub runner: CompactString,
    /// Limit for all nodes together, in thousandths of a request per second; `None` if the limit
    /// was lifted.
    pub limit: Option<u32>,
    /// Age of the response that carried it, in milliseconds; the newest one is applied.
    pub age_ms: u32,
}

/// Usage of retry budgets by one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct BudgetReport {
    /// Usage by service.
    pub uses: Vec<BudgetUse>,
    /// Receipts; `None` if only a part of the budgets is reported.
    pub receipts: Option<Receipts>,
}

impl BudgetReport {
    /// Returns whether nothing is reported.
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty()
    }
}

/// Receipts for complete reports of retry budgets, by which a node knows that its peers count what it uses.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Receipts {
    /// Random id of the report.
    pub id: u32,
    /// Ids of the latest reports of the sender's peers.
    pub received: Vec<u32>,
    /// Whether the sender has no receipt of one of its peers, and waits for it.
    pub is_awaited: bool,
}

/// Usage of a retry budget by one node within the budget's window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct BudgetUse {
    /// Service.
    pub service: CompactString,
    /// Requests.
    pub requests: u32,
    /// Retries.
    pub retries: u32,
    /// Retries since the node's start, so that a lost report is made up by the next one.
    pub total: u32,
    /// Retries of all nodes, including those that have ended; `None` if the node does not know those
    /// before its start.
    pub known: Option<u32>,
}

/// A runner that is gone: another incarnation responds at its address.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Restart {
    /// Former id.
    pub former: CompactString,
    /// New id; `None` if that incarnation is draining or may belong to another service.
    pub id: Option<CompactString>,
}

impl Load {
    /// Returns whether the update is empty.
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty()
            && self.failed.is_empty()
            && self.restarts.is_empty()
            && self.budgets.is_empty()
            && self.limits.is_empty()
            && self.draining.is_empty()
            && self.queues.is_none()
            && self.paces.is_empty()
    }
}

/// Load of one node on one runner. Values are absolute, so a lost update is repaired by the next
/// one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RunnerLoad {
    /// Runner id.
    pub runner: CompactString,
    /// Running requests.
    pub running: u32,
    /// KV memory reserved by running requests and by replicas, in tokens.
    pub memory: u32,
    /// Prompt tokens not yet prefilled.
    pub unread: u32,
}

/// A catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct CatalogPush {
    /// Revision.
    pub revision: CatalogRevision,
    /// The [`crate::catalog::CatalogDoc`] as JSON.
    pub doc: String,
}

/// Incarnation of a node, ordered by epoch.
///
/// The epoch is the wall clock at start in milliseconds. A node whose clock was set back raises its
/// epoch when it sees a newer one under its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct NodeIncarnation {
    /// Start time; increases with each restart.
    pub epoch: u64,
    /// Random number.
    pub incarnation: Incarnation,
}

/// Logical time of a claim about a node; claims with a later one replace earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct Moment {
    /// Incarnation.
    pub life: NodeIncarnation,
    /// Heartbeat sequence number.
    pub beat: u64,
}

/// Node state, in order of precedence for claims with the same [`Moment`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// Listed, but without a heartbeat.
    Unknown,
    /// Starting; no catalogue yet.
    Starting,
    /// Accepts requests.
    Ready,
    /// Draining.
    Draining,
    /// Suspected by a timeout or a connection error.
    Suspect,
    /// Left or dead.
    Gone,
    /// Dead and no longer listed.
    Forgotten,
}

/// Addresses of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct NodeLocation {
    /// Failure domain.
    pub domain: CompactString,
    /// Base URL for callers.
    pub url: CompactString,
    /// Peer address, `IP:PORT`.
    pub peer: CompactString,
}

/// Heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Heartbeat {
    /// Sender's moment.
    pub moment: Moment,
    /// Sender's state: starting, ready or draining.
    pub state: NodeState,
    /// Sender's addresses; omitted from most heartbeats.
    pub location: Option<NodeLocation>,
    /// Sender's catalogue revision.
    pub revision: CatalogRevision,
    /// Sender's highest usages of limits.
    pub usage: Vec<Usage>,
    /// Gossip.
    pub updates: Vec<Update>,
}

/// Running requests of one account for one entry on one node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Usage {
    /// Entry.
    pub entry: CompactString,
    /// Account.
    pub account: CompactString,
    /// Count.
    pub running: u32,
}

/// A gossiped update.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum Update {
    /// State of a node.
    Node(Claim),
    /// Hint about a runner.
    Runner(Hint),
}

/// A claim about a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Claim {
    /// Node.
    pub name: CompactString,
    /// Moment of the claim.
    pub moment: Moment,
    /// State.
    pub state: NodeState,
    /// Addresses, if the receivers may not know them.
    pub location: Option<NodeLocation>,
}

/// A hint about a runner, to be verified by the receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Hint {
    /// Runner.
    pub runner: CompactString,
    /// Observation.
    pub kind: HintKind,
}

/// Observation of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum HintKind {
    /// Connection errors or a stall.
    Lost,
    /// It is draining.
    Leaving,
}
