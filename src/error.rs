//! What can go wrong at the command line, each with advice and an exit code.

use {
    crate::settings::locate::Invalid,
    bilberryfront_relay::node::NodeError,
    miette::Diagnostic,
    std::{io, net::SocketAddr, path::PathBuf, process::ExitCode},
};

/// A result whose error is an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A failed command.
#[derive(Debug)]
#[derive(Diagnostic, thiserror::Error)]
pub enum Error {
    /// A file can't be read.
    #[error("cannot read {}", path.display())]
    #[diagnostic(help("check that the file exists and that this user may read it"))]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's answer.
        source: io::Error,
    },
    /// A key file doesn't hold a key.
    #[error("{} holds no key", path.display())]
    #[diagnostic(help("write the key in one line of visible ASCII signs"))]
    Key {
        /// The file.
        path: PathBuf,
    },
    /// Settings or a catalogue with faults, each shown at its line.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Invalid(#[from] Box<Invalid>),
    /// An address can't be listened on.
    #[error("cannot listen on {address}")]
    #[diagnostic(help(
        "another process may hold the port: stop it, or change the address under `listen` in the \
         settings; port 0 takes a free one"
    ))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The system's answer.
        source: io::Error,
    },
    /// The node refused the call.
    #[error("{title}: {detail}")]
    #[diagnostic(help("docs/OPERATORS.md lists the problems and what to do about each"))]
    Refused {
        /// Kind of problem.
        title: String,
        /// What happened and what to do.
        detail: String,
    },
    /// Another change of the catalogue came first.
    #[error("nothing was applied: {detail}")]
    #[diagnostic(help("see what changed with `bilberryfront catalogue diff FILE`"))]
    Conflict {
        /// What the node says.
        detail: String,
    },
    /// Replies of the platform were lost.
    #[error("the outcome is unknown: {detail}")]
    #[diagnostic(help("see with `bilberryfront catalogue history` whether the change is there"))]
    Unknown {
        /// What the node says.
        detail: String,
    },
    /// The table gave no answer to a move's write.
    #[error("the outcome is unknown: {detail}")]
    #[diagnostic(help("see with `bilberryfront move status ENTRY` whether the move is there"))]
    MoveUnknown {
        /// What the node says.
        detail: String,
    },
    /// The platform gives the node no answer.
    #[error("nothing was done: {detail}")]
    #[diagnostic(help("the node is well but its platform is not: try again in {seconds} s"))]
    StoreDown {
        /// What the node says.
        detail: String,
        /// When to try again, in seconds.
        seconds: u32,
    },
    /// The node can't be connected to.
    #[error("cannot connect to {url}: {reason}")]
    #[diagnostic(help("give the operators' address of a node that runs with --node"))]
    Unreachable {
        /// The node.
        url: String,
        /// What failed.
        reason: String,
    },
    /// The node's answer was lost.
    #[error("no usable answer from {url}: {reason}")]
    #[diagnostic(help(
        "the node may have done it: look with `bilberryfront catalogue history` or `bilberryfront \
         move list`, or ask another node"
    ))]
    Lost {
        /// The node.
        url: String,
        /// What failed.
        reason: String,
    },
    /// A system call failed that seldom does.
    #[error("cannot {attempt}")]
    #[diagnostic(help("see the system's answer above; the process may be out of a resource"))]
    System {
        /// What was tried, such as `start a thread`.
        attempt: &'static str,
        /// The system's answer.
        source: io::Error,
    },
}

/// Exit codes of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// A file failed its check, `catalogue diff` found a difference, a move was taken back, or `explain` found
    /// nothing.
    Failed = 1,
    /// Wrong arguments.
    Usage = 2,
    /// The node refused: wrong key, a conflict with a newer revision, or a bad catalogue.
    Refused = 3,
    /// No answer from the node, or the node has none from the platform.
    Unreachable = 4,
    /// The process can't run here: an occupied address or a failed system call.
    System = 5,
}

impl Error {
    /// The exit code that tells scripts this error.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Read { .. } | Error::Key { .. } | Error::Invalid(_) => Exit::Failed,
            Error::Refused { .. } | Error::Conflict { .. } => Exit::Refused,
            Error::Unknown { .. }
            | Error::MoveUnknown { .. }
            | Error::StoreDown { .. }
            | Error::Unreachable { .. }
            | Error::Lost { .. } => Exit::Unreachable,
            Error::Bind { .. } | Error::System { .. } => Exit::System,
        }
    }
}

impl From<NodeError> for Error {
    fn from(error: NodeError) -> Error {
        match error {
            NodeError::Listen { address, source } => Error::Bind { address, source },
            NodeError::System { attempt, source } => Error::System { attempt, source },
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}
