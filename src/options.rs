//! The command line's arguments as typed values.

mod moves;

use {
    crate::output::Format, bilberryfront_decide::id::Revision, clap::ArgMatches,
    clap_complete::Shell, std::path::PathBuf,
};

pub use moves::MoveCommand;

/// What the user asked for.
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
    /// Check files.
    Check {
        /// Kind of the files; detected from their content if absent.
        kind: Option<FileKind>,
        /// The files.
        files: Vec<PathBuf>,
    },
    /// Read or change the catalogue in force.
    Catalogue {
        /// The node to ask.
        node: NodeOptions,
        /// What to do.
        command: CatalogueCommand,
    },
    /// Start, watch or undo version moves.
    Move {
        /// The node to ask.
        node: NodeOptions,
        /// What to do.
        command: MoveCommand,
    },
    /// List nodes.
    Nodes {
        /// The node to ask.
        node: NodeOptions,
    },
    /// Tell the story of a request, a runner or a catalogue.
    Explain(ExplainOptions),
    /// Print shell completions.
    Completions(Shell),
}

/// What to explain, from which logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainOptions {
    /// Id of a request or a runner, or a catalogue's version.
    pub id: String,
    /// Log files; `-` is standard input.
    pub logs: Vec<PathBuf>,
    /// Form of the story.
    pub format: Format,
}

/// A node to ask and how to show its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeOptions {
    /// Base URL of the node's operators' address, without a slash at the end.
    pub url: String,
    /// File that holds the operator's key.
    pub key_file: PathBuf,
    /// Form of the answer.
    pub format: Format,
}

/// What to do with the catalogue in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogueCommand {
    /// Show it.
    Get,
    /// Compare it with a file.
    Diff {
        /// The file.
        file: PathBuf,
    },
    /// Replace it by a file.
    Apply(ApplyOptions),
    /// Show who changed it.
    History,
}

/// How to replace the catalogue in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyOptions {
    /// The new catalogue.
    pub file: PathBuf,
    /// Revision that the file was made from; the one in force when absent.
    pub expect: Option<Revision>,
    /// Why, for the history.
    pub comment: String,
    /// Only show what would change.
    pub dry_run: bool,
}

/// What a file is.
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
    /// Reads arguments that [`crate::cli::command`] has accepted.
    pub fn from_matches(matches: &ArgMatches) -> Options {
        let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
        match name {
            "serve" => Options::Serve { settings: required(matches, "settings") },
            "relay" => Options::Relay { settings: required(matches, "settings") },
            "check" => Options::Check { kind: kind(matches), files: files(matches) },
            "catalogue" => Options::Catalogue {
                node: NodeOptions::from_matches(innermost(matches)),
                command: CatalogueCommand::from_matches(matches),
            },
            "move" => Options::Move {
                node: NodeOptions::from_matches(innermost(matches)),
                command: MoveCommand::from_matches(matches),
            },
            "nodes" => Options::Nodes { node: NodeOptions::from_matches(matches) },
            "explain" => Options::Explain(ExplainOptions {
                id: required(matches, "id"),
                logs: matches.get_many("logs").into_iter().flatten().cloned().collect(),
                format: format(matches),
            }),
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

fn innermost(matches: &ArgMatches) -> &ArgMatches {
    matches.subcommand().map_or(matches, |(_, inner)| inner)
}

fn format(matches: &ArgMatches) -> Format {
    match required::<String>(matches, "output").as_str() {
        "json" => Format::Json,
        _ => Format::Human,
    }
}

fn kind(matches: &ArgMatches) -> Option<FileKind> {
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
