//! Command line arguments as typed values.

mod admission;
mod moves;

use {
    crate::output::Format, bilberryfront_decide::id::Revision, clap::ArgMatches,
    clap_complete::Shell, std::path::PathBuf,
};

pub use {
    admission::{AdmissionCommand, AdmissionOptions},
    moves::MoveCommand,
};

/// A parsed command with its arguments.
#[derive(Clone, Debug, PartialEq)]
pub enum Options {
    /// Run a node.
    Serve {
        /// The node's settings file.
        settings: PathBuf,
    },
    /// Run an entry instance on the users' platform.
    Relay {
        /// The instance's settings file.
        settings: PathBuf,
    },
    /// Validate files.
    Check {
        /// Kind of the files; detected from their content if absent.
        kind: Option<FileKind>,
        /// The files.
        files: Vec<PathBuf>,
    },
    /// Read or change the catalogue in force.
    Catalogue {
        /// Node that receives the requests.
        node: NodeOptions,
        /// Subcommand.
        command: CatalogueCommand,
    },
    /// Start, show or undo version moves.
    Move {
        /// Node that receives the requests.
        node: NodeOptions,
        /// Subcommand.
        command: MoveCommand,
    },
    /// List nodes.
    Nodes {
        /// Node that receives the requests.
        node: NodeOptions,
    },
    /// Reconstruct the history of a request, a runner or a catalogue from logs.
    Explain(ExplainOptions),
    /// Limit the requests of a route or an account.
    Admission(AdmissionOptions),
    /// Print shell completions.
    Completions(Shell),
}

/// Arguments of `explain`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainOptions {
    /// Id of a request or a runner, or a catalogue's version.
    pub id: String,
    /// Log files; `-` is standard input.
    pub logs: Vec<PathBuf>,
    /// Output format.
    pub format: Format,
}

/// Arguments of all commands that send requests to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeOptions {
    /// Base URL of the node's address for operators, without a trailing slash.
    pub url: String,
    /// File with the operator's key.
    pub key_file: PathBuf,
    /// Output format.
    pub format: Format,
}

/// Subcommands of `catalogue`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogueCommand {
    /// Show the catalogue in force.
    Get,
    /// Compare the catalogue in force with a file.
    Diff {
        /// The file.
        file: PathBuf,
    },
    /// Replace the catalogue in force with a file.
    Apply(ApplyOptions),
    /// Show the changes of the catalogue.
    History,
}

/// Arguments of `catalogue apply`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyOptions {
    /// File with the new catalogue.
    pub file: PathBuf,
    /// Revision that the file is based on; the one in force if absent.
    pub expect: Option<Revision>,
    /// Reason for the change, recorded in the history.
    pub comment: String,
    /// Show the changes without applying them.
    pub dry_run: bool,
}

/// Kind of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// A node's settings.
    Settings,
    /// An entry instance's settings.
    Relay,
    /// A catalogue.
    Catalogue,
}

impl Options {
    /// Converts matches of [`crate::cli::command`].
    pub fn from_matches(matches: &ArgMatches) -> Options {
        let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
        match name {
            "serve" => Options::Serve { settings: required(matches, "settings") },
            "relay" => Options::Relay { settings: required(matches, "settings") },
            "check" => Options::Check { kind: file_kind(matches), files: files(matches) },
            "catalogue" => Options::Catalogue {
                node: NodeOptions::from_matches(subcommand_matches(matches)),
                command: CatalogueCommand::from_matches(matches),
            },
            "move" => Options::Move {
                node: NodeOptions::from_matches(subcommand_matches(matches)),
                command: MoveCommand::from_matches(matches),
            },
            "nodes" => Options::Nodes { node: NodeOptions::from_matches(matches) },
            "explain" => Options::Explain(ExplainOptions {
                id: required(matches, "id"),
                logs: matches.get_many("logs").into_iter().flatten().cloned().collect(),
                format: format(matches),
            }),
            "admission" => Options::Admission(AdmissionOptions::from_matches(matches)),
            "completions" => Options::Completions(required(matches, "shell")),
            _ => unreachable!("clap accepts only known subcommands"),
        }
    }
}

impl NodeOptions {
    fn from_matches(matches: &ArgMatches) -> NodeOptions {
        let url: String = required(matches, "node");
        NodeOptions {
            url: url.trim_end_matches('/').into(),
            key_file: required(matches, "key-file"),
            format: format(matches),
        }
    }
}

impl CatalogueCommand {
    fn from_matches(matches: &ArgMatches) -> CatalogueCommand {
        let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
        match name {
            "get" => CatalogueCommand::Get,
            "diff" => CatalogueCommand::Diff { file: required(matches, "file") },
            "apply" => CatalogueCommand::Apply(ApplyOptions {
                file: required(matches, "file"),
                expect: matches.get_one("expect").copied(),
                comment: matches.get_one("comment").cloned().unwrap_or_default(),
                dry_run: matches.get_flag("dry-run"),
            }),
            "history" => CatalogueCommand::History,
            _ => unreachable!("clap accepts only known subcommands"),
        }
    }
}

fn subcommand_matches(matches: &ArgMatches) -> &ArgMatches {
    matches.subcommand().map_or(matches, |(_, inner)| inner)
}

fn format(matches: &ArgMatches) -> Format {
    match required::<String>(matches, "output").as_str() {
        "json" => Format::Json,
        _ => Format::Human,
    }
}

fn file_kind(matches: &ArgMatches) -> Option<FileKind> {
    let kind = matches.get_one::<String>("kind")?;
    match kind.as_str() {
        "settings" => Some(FileKind::Settings),
        "relay" => Some(FileKind::Relay),
        _ => Some(FileKind::Catalogue),
    }
}

fn files(matches: &ArgMatches) -> Vec<PathBuf> {
    matches.get_many("files").into_iter().flatten().cloned().collect()
}

fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, id: &str) -> T {
    matches.get_one::<T>(id).cloned().expect("clap requires this argument")
}
