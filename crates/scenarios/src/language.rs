//! The scenario language; see docs/SCENARIOS.md.

use {
    bilberryfront_decide::mover::Cause, bilberryfront_wire::problem::Run,
    compact_str::CompactString as Name, serde::Deserialize,
};

/// Content of a scenario file.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Scenario {
    pub(crate) world: Setup,
    pub(crate) steps: Vec<Step>,
}

/// Initial setup of a scenario.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Setup {
    pub(crate) seed: u64,
    pub(crate) nodes: Vec<Name>,
    /// Engines, with their versions.
    pub(crate) engines: Vec<(Name, Name)>,
    pub(crate) services: Vec<Name>,
    /// Number of tokens in each complete generation.
    pub(crate) tokens: u32,
    /// Time per token of an engine, in milliseconds.
    pub(crate) pace_ms: u64,
    /// Whether two attempts of one request are sampled differently.
    pub(crate) differs: bool,
    /// Lag of the instance list, in milliseconds.
    pub(crate) lag_ms: u64,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            seed: 1,
            nodes: vec!["a".into(), "b".into()],
            engines: vec![],
            services: vec![],
            tokens: 20,
            pace_ms: 50,
            differs: true,
            lag_ms: 500,
        }
    }
}

/// One step of a scenario. Simulated time passes in `wait` and `finish` only.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum Step {
    /// A caller requests a generation.
    Request(Request),
    /// The caller of an interrupted generation resumes it after the tokens that it has received.
    Resume(Resume),
    /// A caller sends a call to a plain service.
    Call(Call),
    /// A caller closes its connection.
    HangUp(Name),
    /// An operator applies a catalogue.
    Apply(Apply),
    /// Callers send requests at a fixed interval.
    Load(Load),
    /// An operator starts moving the engines to another version.
    Move(StartMove),
    /// An operator undoes the move of the engines.
    Undo { name: Name, node: Name },
    /// Applies an action to one or more runners.
    Runner { who: Name, does: RunnerAction },
    /// Applies an action to a node.
    Node { who: Name, does: NodeAction },
    /// Applies an action to the table.
    Table(TableAction),
    /// Partitions these instances from all others and from the platform; an empty list ends the partition.
    Apart(Vec<Name>),
    /// Sets the lag of the instance list, in milliseconds.
    ListLag(u64),
    /// Advances the clock by this many milliseconds.
    Wait(u64),
    /// Advances the clock until these callers and operators have a result; fails after a minute.
    Finish(Vec<Name>),
    /// Checks that a condition holds now.
    Expect(Expect),
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Request {
    pub(crate) name: Name,
    pub(crate) node: Name,
    #[serde(default = "prompt")]
    pub(crate) prompt: Name,
    #[serde(default = "account")]
    pub(crate) account: Name,
    /// Whether the response is sent whole instead of streamed.
    #[serde(default)]
    pub(crate) whole: bool,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Resume {
    pub(crate) name: Name,
    pub(crate) node: Name,
    /// Number of tokens at the end that the caller has lost.
    #[serde(default)]
    pub(crate) forget: usize,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Call {
    pub(crate) name: Name,
    pub(crate) node: Name,
    /// Idempotency key; a call without one is a read that may be retried.
    pub(crate) key: Option<Name>,
    #[serde(default = "body")]
    pub(crate) body: Name,
    #[serde(default = "account")]
    pub(crate) account: Name,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Apply {
    pub(crate) name: Name,
    pub(crate) node: Name,
    /// Revision that the operator's change is based on.
    pub(crate) expect: u64,
    /// New version of the engines' entry.
    pub(crate) version: Name,
}

/// Requests sent at a fixed interval, to the running nodes in turn.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Load {
    pub(crate) name: Name,
    pub(crate) every_ms: u64,
    pub(crate) for_ms: u64,
    #[serde(default = "account")]
    pub(crate) account: Name,
    /// Minimum length of each prompt, in bytes.
    #[serde(default)]
    pub(crate) bytes: usize,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StartMove {
    pub(crate) name: Name,
    pub(crate) node: Name,
    pub(crate) to: Name,
    /// Deadline of the move, in seconds from now.
    pub(crate) by: u64,
    #[serde(default)]
    pub(crate) force: bool,
}

/// Action or fault of a runner. A variant named `...At` takes effect once, at the token with that
/// index: an index equal to the answer's length is the finish mark, one more is `[DONE]`.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum RunnerAction {
    Die,
    /// Restarts without faults.
    Start,
    Pause,
    Wake,
    Leave,
    /// Sets the time per token or call, in milliseconds.
    Slow(u64),
    /// Sets the time to the first token, in milliseconds.
    First(u64),
    /// Fails each generation whose prompt has at least this many bytes.
    Reject(usize),
    /// Fails each generation that starts while this many are already running.
    RejectOver(u32),
    /// Sends, before each of its tokens, a token of another text that is marked as of the attempt before.
    Cross,
    DieAt(u32),
    CutAt(u32),
    StallAt(u32),
    SkipAt(u32),
    RepeatAt(u32),
    /// Ends with `[DONE]` and no finish mark.
    EndAt(u32),
    /// Sends the finish mark too early, as if the answer were complete.
    FinishAt(u32),
    /// The next call is received but not run.
    CloseBefore,
    /// The next call is run but gets no response.
    CloseAfter,
    /// The next call is run, then the runner dies.
    DieAfter,
}

#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum NodeAction {
    Die,
    /// Restarts without any state.
    Start,
    Pause,
    Wake,
    /// Starts a graceful shutdown, as on a signal; the node exits when its last request has ended.
    Leave,
    /// Loses its connection to the table.
    CutOff,
    Rejoin,
}

#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum TableAction {
    Up,
    Down,
    /// Adds this time to each exchange, in milliseconds.
    Slow(u64),
    /// The next commits, this many, take effect but their replies are lost.
    LoseReplies(u32),
    /// The next commits, this many, are lost before they take effect.
    LoseCommits(u32),
    /// Reads return the rows as they are now, until `up`.
    StaleReads,
    /// Keeps a copy of all rows.
    BackUp,
    /// Replaces all rows by those of the last backup.
    Restore,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum Expect {
    /// These callers received the complete generation or the service's response.
    Answered(Vec<Name>),
    /// These callers are still waiting for the end of their response.
    Waiting(Vec<Name>),
    /// The response ended with this problem.
    Problem(Problem),
    /// The connection closed without an error message.
    Cut(Name),
    /// These two callers received the same text.
    Same(Name, Name),
    /// The caller received at least this many tokens.
    Holds(Name, usize),
    /// The call with this idempotency key was run this many times.
    Executed { key: Name, times: usize },
    /// Number of generations sent to engines for this request so far.
    Sends { name: Name, times: usize },
    /// Result that the operator received.
    #[serde(alias = "told")]
    Applied { name: Name, told: OperatorReply },
    /// Nodes that a node returns to callers as addresses, ordered by name.
    Addresses(Name, Vec<Name>),
    /// The node has left and exited.
    Gone(Name),
    /// State of the engines' move, as a node sees it.
    Move(Moved),
    /// The node holds the lease of the engines' move.
    Holder(Name),
    /// Of two operators who start moves, one got `started` and the other got `other`.
    Raced(Name, Name),
    /// Version of the engines in a node's current catalogue.
    Version(Name, Name),
    /// Share of all new requests that were sent to a version, at most this many percent.
    Part { version: Name, most: f64 },
    /// No new request was sent to the version later than this many milliseconds after the first verdict.
    Nothing { version: Name, after_ms: u64 },
    /// Number of callers of a load whose response ended incomplete so far, at most this many.
    Failed { load: Name, most: usize },
    /// Revision of a node's current catalogue; 0 is none.
    Revision(Name, u64),
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Moved {
    pub(crate) node: Name,
    pub(crate) is: Phase,
    /// Cause for which the move was rolled back.
    pub(crate) cause: Option<Cause>,
    /// Route on which the cause was detected; empty for all routes.
    pub(crate) route: Option<Name>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Phase {
    Moving,
    Settled,
    Adopted,
    TakenBack,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Problem {
    pub(crate) name: Name,
    pub(crate) run: Run,
    /// Suffix of the problem type.
    pub(crate) kind: Name,
    pub(crate) retry: bool,
    /// Maximum time since the caller last sent a request or received tokens, in milliseconds.
    pub(crate) within_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum OperatorReply {
    Applied,
    Conflict,
    Down,
    Unknown,
    /// The move has started.
    Started,
    /// The move was undone.
    Undone,
    /// Another move is in progress.
    Other,
    /// No move is in progress.
    Over,
    /// The deadline is too close.
    Late,
    /// The entry does not exist, or already has this version.
    Refused,
}

fn prompt() -> Name {
    "check the bridge".into()
}

fn account() -> Name {
    "desk".into()
}

fn body() -> Name {
    "the bridge opened in 1932".into()
}
