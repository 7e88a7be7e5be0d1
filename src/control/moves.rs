//! Version moves: the task on the control thread that carries the pure mover's wishes to the table
//! and the peers, and the handle by which traffic, peers and operators reach it.

mod task;

use {
    bilberryfront_decide::mover::{Choice, MoveError, MoveId, PeerNews, Sample, Start, Status},
    compact_str::CompactString,
    std::time::Duration,
    tokio::sync::{mpsc, oneshot},
};

pub use task::Task;

/// A result whose error is a [`MoveError`].
pub type Result<T> = std::result::Result<T, MoveError>;

/// Messages to the task.
pub enum Message {
    /// A request ended on its first attempt.
    Ended(Trial, Ended),
    /// A peer's message came.
    News(PeerNews),
    /// An operator starts a move.
    Start(Start, oneshot::Sender<Result<MoveId>>),
    /// An operator takes an entry's move back.
    Undo(CompactString, oneshot::Sender<Result<MoveId>>),
    /// An operator wants to know how all moves stand.
    List(oneshot::Sender<Vec<Status>>),
}

/// How a request was given to its version; kept with its first attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// Catalogue entry.
    pub entry: CompactString,
    /// Class and size of prompt, or path: what may fail alone.
    pub route: CompactString,
    /// How the version was chosen.
    pub choice: Choice,
    /// Any number that tells accounts apart.
    pub account: u64,
}

/// How a first attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    /// Whether it ended well.
    pub ok: bool,
    /// Time to the first token or the answer's head.
    pub first: Option<Duration>,
    /// Mean time between tokens.
    pub pace: Option<Duration>,
    /// Any number that tells runners apart.
    pub runner: u64,
}

impl Trial {
    fn sample(&self, ended: &Ended) -> Sample<'_> {
        Sample {
            choice: self.choice,
            route: &self.route,
            ok: ended.ok,
            first: ended.first,
            pace: ended.pace,
            runner: ended.runner,
            account: self.account,
        }
    }
}

/// A handle to the task. The default one reaches nobody: no move is ever under way.
#[derive(Clone, Default)]
pub struct Moves {
    sender: Option<mpsc::UnboundedSender<Message>>,
}

impl Moves {
    /// A handle, and the receiver that [`Task`] needs.
    pub fn new() -> (Moves, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Moves { sender: Some(sender) }, receiver)
    }

    /// A request ended on its first attempt.
    pub fn report_attempt(&self, trial: Trial, ended: Ended) {
        self.send(Message::Ended(trial, ended));
    }

    /// A peer's message came.
    pub fn receive(&self, news: PeerNews) {
        self.send(Message::News(news));
    }

    /// Starts a move; answers when the table has it, or will not.
    pub async fn start(&self, start: Start) -> Result<MoveId> {
        let (answer, wait) = oneshot::channel();
        self.send(Message::Start(start, answer));
        wait.await.unwrap_or(Err(MoveError::Table))
    }

    /// Takes an entry's move back: at this node at once, everywhere within seconds.
    pub async fn undo(&self, entry: CompactString) -> Result<MoveId> {
        let (answer, wait) = oneshot::channel();
        self.send(Message::Undo(entry, answer));
        wait.await.unwrap_or(Err(MoveError::Table))
    }

    /// How the latest move of every entry stands.
    pub async fn list(&self) -> Vec<Status> {
        let (answer, wait) = oneshot::channel();
        self.send(Message::List(answer));
        wait.await.unwrap_or_default()
    }

    fn send(&self, message: Message) {
        if let Some(sender) = &self.sender {
            // The receiver goes away only when the process ends.
            _ = sender.send(message);
        }
    }
}
