//! Errors of the command line, with help texts and exit codes.

use {
    crate::settings::locate::InvalidDocument,
    bilberryfront_relay::{node::NodeError, store::StoreError},
    compact_str::CompactString,
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
        /// Error of the operating system.
        source: io::Error,
    },
    /// A key file doesn't contain a valid key.
    #[error("{} does not contain a valid key", path.display())]
    #[diagnostic(help("write the key on one line, in printable ASCII characters without spaces"))]
    Key {
        /// The file.
        path: PathBuf,
    },
    /// Settings or a catalogue with faults; each fault is reported with its line.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Invalid(#[from] Box<InvalidDocument>),
    /// Listening on an address failed.
    #[error("cannot listen on {address}")]
    #[diagnostic(help(
        "another process may hold the port: stop it, or change the address under `listen` in the \
         settings; port 0 selects a free port"
    ))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The node rejected the request.
    #[error("{title}: {detail}")]
    #[diagnostic(help("see docs/OPERATORS.md for the problems and their remedies"))]
    Refused {
        /// Title of the problem.
        title: String,
        /// Cause and remedy.
        detail: String,
    },
    /// The revision in force is not the expected one.
    #[error("nothing was applied: {detail}")]
    #[diagnostic(help("show the changes with `bilberryfront catalogue diff FILE`"))]
    Conflict {
        /// Message of the node.
        detail: String,
    },
    /// The node received no response of the platform to a change of the catalogue.
    #[error("the outcome is unknown: {detail}")]
    #[diagnostic(help("check with `bilberryfront catalogue history` whether the change was made"))]
    Unknown {
        /// Message of the node.
        detail: String,
    },
    /// The node received no response of the table service to the write of a move.
    #[error("the outcome is unknown: {detail}")]
    #[diagnostic(help(
        "check with `bilberryfront move status ENTRY` whether the move was recorded"
    ))]
    MoveUnknown {
        /// Message of the node.
        detail: String,
    },
    /// The platform doesn't respond to the node.
    #[error("nothing was done: {detail}")]
    #[diagnostic(help(
        "the node runs, but its platform does not respond: try again in {seconds} s"
    ))]
    StoreDown {
        /// Message of the node.
        detail: String,
        /// Time until a retry, in seconds.
        seconds: u32,
    },
    /// Connecting to the node failed.
    #[error("cannot connect to {url}: {reason}")]
    #[diagnostic(help("set --node to the operators' address of a running node"))]
    Unreachable {
        /// URL of the node.
        url: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The node's response was lost or invalid.
    #[error("no valid response from {url}: {reason}")]
    #[diagnostic(help(
        "the node may have processed the request: check with `bilberryfront catalogue history` or \
         `bilberryfront move list`, or use another node"
    ))]
    Lost {
        /// URL of the node.
        url: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The platform's store did not execute a request of this process.
    #[error("nothing was changed: the store at {address} did not serve the request")]
    #[diagnostic(help(
        "check the address under `store` in the settings, and that this machine reaches it; try again"
    ))]
    StoreUnavailable {
        /// Address of the store.
        address: SocketAddr,
        /// Cause.
        source: StoreError,
    },
    /// The store's response to the write of a limit was lost.
    #[error("the outcome is unknown")]
    #[diagnostic(help(
        "check with `bilberryfront admission list` whether the change was made, and repeat it if not"
    ))]
    LimitUnknown {
        /// Cause.
        source: StoreError,
    },
    /// The catalogue does not have what a limit should apply to.
    #[error("nothing was changed: the catalogue has no {subject} for service `{service}`")]
    #[diagnostic(help(
        "compare the names with the platform's catalogue; a limit applies to one service"
    ))]
    NoSubject {
        /// Service.
        service: CompactString,
        /// `route=NAME` or `account=NAME`.
        subject: String,
    },
    /// The instances hold no further limit.
    #[error("nothing was changed: {count} limits are in force, and the instances apply no more")]
    #[diagnostic(help("lift one that is not needed; see `bilberryfront admission list`"))]
    TooManyLimits {
        /// Number of limits that the instances hold.
        count: usize,
    },
    /// There is no limit to lift.
    #[error("nothing was changed: there is no limit on {subject} of service `{service}`")]
    #[diagnostic(help("see `bilberryfront admission list`; a limit ends by itself at its time"))]
    NoLimit {
        /// Service.
        service: CompactString,
        /// `route=NAME` or `account=NAME`.
        subject: String,
    },
    /// A system call that rarely fails has failed.
    #[error("cannot {attempt}")]
    #[diagnostic(help("see the cause above; the process may have exhausted a resource"))]
    System {
        /// Operation that failed, such as `start a thread`.
        attempt: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Exit codes of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Success.
    Done = 0,
    /// A file is invalid, `catalogue diff` found a difference, a move was rolled back, or `explain` found
    /// nothing.
    Failed = 1,
    /// Invalid arguments.
    Usage = 2,
    /// The node rejected the request: wrong key, conflict with a newer revision, or invalid catalogue.
    Refused = 3,
    /// The node doesn't respond, or the platform doesn't respond to the node.
    Unreachable = 4,
    /// The process can't start: the address is in use, or a system call failed.
    System = 5,
}

impl Error {
    /// Returns the exit code for this error.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Read { .. } | Error::Key { .. } | Error::Invalid(_) => Exit::Failed,
            Error::Refused { .. }
            | Error::Conflict { .. }
            | Error::NoSubject { .. }
            | Error::TooManyLimits { .. }
            | Error::NoLimit { .. } => Exit::Refused,
            Error::Unknown { .. }
            | Error::MoveUnknown { .. }
            | Error::StoreDown { .. }
            | Error::StoreUnavailable { .. }
            | Error::LimitUnknown { .. }
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
