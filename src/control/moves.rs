//! Version moves: the task on the control thread that executes the outputs of the mover state
//! machine with the table and the peers, and the handle that traffic, peers and operators use to
//! reach it.

mod task;

use {
    bilberryfront_decide::mover::{Choice, MoveError, MoveId, MoveUpdate, Sample, Start, Status},
    compact_str::CompactString,
    std::time::Duration,
    tokio::sync::{mpsc, oneshot},
};

pub use task::Task;

/// A result whose error is a [`MoveError`].
pub type Result<T> = std::result::Result<T, MoveError>;

/// Messages to the task.
pub enum Message {
    /// The first attempt of a request ended.
    AttemptEnded(Trial, AttemptResult),
    /// A message from a peer.
    Peer(MoveUpdate),
    /// An operator starts a move.
    Start(Start, oneshot::Sender<Result<MoveId>>),
    /// An operator rolls back the move of an entry.
    Undo(CompactString, oneshot::Sender<Result<MoveId>>),
    /// An operator requests the status of all moves.
    List(oneshot::Sender<Vec<Status>>),
}

/// How the version of a request was chosen; kept until its first attempt ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// Catalogue entry.
    pub entry: CompactString,
    /// Class and size of the prompt, or method and path: kinds of request that are compared
    /// separately, because a version may fail for some of them only.
    pub route: CompactString,
    /// How the version was chosen.
    pub choice: Choice,
    /// Number that distinguishes accounts.
    pub account: u64,
}

/// Result of a first attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// Whether it succeeded.
    pub ok: bool,
    /// Time to the first token or to the head of the response.
    pub first: Option<Duration>,
    /// Mean time between tokens.
    pub pace: Option<Duration>,
    /// Number that distinguishes runners.
    pub runner: u64,
}

impl Trial {
    fn sample(&self, result: &AttemptResult) -> Sample<'_> {
        Sample {
            choice: self.choice,
            route: &self.route,
            response: result.ok.into(),
            first: result.first,
            pace: result.pace,
            runner: result.runner,
            account: self.account,
        }
    }
}

/// A handle to the task. The default handle is connected to no task and reports no moves.
#[derive(Clone, Default)]
pub struct Moves {
    sender: Option<mpsc::UnboundedSender<Message>>,
}

impl Moves {
    /// Returns a handle, and the receiver for [`Task`].
    pub fn new() -> (Moves, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Moves { sender: Some(sender) }, receiver)
    }

    /// Reports the result of a request's first attempt.
    pub fn report_attempt(&self, trial: Trial, result: AttemptResult) {
        self.send(Message::AttemptEnded(trial, result));
    }

    /// Passes on a message from a peer.
    pub fn receive(&self, update: MoveUpdate) {
        self.send(Message::Peer(update));
    }

    /// Starts a move; returns when the table has recorded or rejected it.
    pub async fn start(&self, start: Start) -> Result<MoveId> {
        let (sender, receiver) = oneshot::channel();
        self.send(Message::Start(start, sender));
        receiver.await.unwrap_or(Err(MoveError::Table))
    }

    /// Rolls back the move of an entry: immediately on this node, within seconds on all others.
    pub async fn undo(&self, entry: CompactString) -> Result<MoveId> {
        let (sender, receiver) = oneshot::channel();
        self.send(Message::Undo(entry, sender));
        receiver.await.unwrap_or(Err(MoveError::Table))
    }

    /// Returns the status of the latest move of every entry.
    pub async fn list(&self) -> Vec<Status> {
        let (sender, receiver) = oneshot::channel();
        self.send(Message::List(sender));
        receiver.await.unwrap_or_default()
    }

    fn send(&self, message: Message) {
        if let Some(sender) = &self.sender {
            // The receiver is dropped only when the process exits.
            _ = sender.send(message);
        }
    }
}
