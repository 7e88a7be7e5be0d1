//! Definition of the command line and its help texts.

mod admission;
mod moves;

use {
    bilberryfront_decide::id::Revision,
    clap::{Arg, ArgAction, Command, ValueHint, builder::ValueParser, value_parser},
    clap_complete::Shell,
    std::path::PathBuf,
};

const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  a file is invalid, `catalogue diff` found a difference, the move of `move start --wait` was
     taken back, or `explain` found nothing
  2  invalid arguments
  3  the node rejected the request: wrong key, a conflict, or an invalid catalogue
  4  the node doesn't respond, or the platform doesn't respond to the node
  5  the process can't start, for example because its port is in use

Example:
  bilberryfront check node.jsonc catalogue.jsonc";

/// Builds the root command.
pub fn command() -> Command {
    Command::new("bilberryfront")
        .about(env!("CARGO_PKG_DESCRIPTION"))
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(EXIT_CODES)
        .subcommands([
            serve(),
            relay(),
            check(),
            catalogue(),
            moves::command(),
            nodes(),
            admission::command(),
            explain(),
            completions(),
        ])
}

fn serve() -> Command {
    let settings = file_arg("settings", "The node's settings, JSON with comments");
    Command::new("serve")
        .about("Runs a node until SIGTERM")
        .arg(settings.long("settings").value_name("FILE").required(true))
        .after_help("Example:\n  bilberryfront serve --settings node.jsonc")
}

fn relay() -> Command {
    let settings = file_arg("settings", "The instance's settings, JSON with comments");
    Command::new("relay")
        .about("Runs an entry instance on the users' platform until SIGTERM")
        .arg(
            settings.long("settings").value_name("FILE").env("BILBERRYFRONT_CONFIG").required(true),
        )
        .after_help("Example:\n  bilberryfront relay --settings instance.jsonc")
}

fn check() -> Command {
    let kind = Arg::new("kind")
        .long("kind")
        .value_name("KIND")
        .value_parser(["settings", "relay", "catalogue"])
        .help("Kind of the files; detected from their content by default");
    let files = file_arg("files", "Settings or catalogue files");
    Command::new("check")
        .about("Validates settings and catalogue files without a node")
        .arg(kind)
        .arg(files.value_name("FILE").num_args(1..).required(true))
        .after_help("Example:\n  bilberryfront check node.jsonc catalogue.jsonc")
}

fn catalogue() -> Command {
    Command::new("catalogue")
        .about("Shows and changes the catalogue in force, through a node")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([get(), diff(), apply(), history()])
        .after_help(
            "Example:\n  \
             bilberryfront catalogue get --node http://127.0.0.1:7001 --key-file operator.key",
        )
}

fn get() -> Command {
    Command::new("get")
        .about("Prints the catalogue in force as a file that can be edited and applied")
        .args(node_args())
        .after_help(
            "Example:\n  bilberryfront catalogue get > catalogue.jsonc\n\n\
             The example reads the node and the key file from the environment variables.",
        )
}

fn diff() -> Command {
    Command::new("diff")
        .about("Compares a file with the catalogue in force; exit code 1 if they differ")
        .args(node_args())
        .arg(file_arg("file", "The catalogue file").value_name("FILE").required(true))
        .after_help("Example:\n  bilberryfront catalogue diff catalogue.jsonc")
}

fn apply() -> Command {
    let expect = Arg::new("expect")
        .long("expect")
        .value_name("REVISION")
        .value_parser(value_parser!(Revision))
        .help("Revision that the file is based on; rejected if another one is in force");
    let comment = Arg::new("comment")
        .long("comment")
        .value_name("TEXT")
        .help("Reason for the change, recorded in the history");
    let dry_run = Arg::new("dry-run")
        .long("dry-run")
        .action(ArgAction::SetTrue)
        .help("Shows the changes without applying them");
    Command::new("apply")
        .about("Shows the changes that a file makes to the catalogue, and applies them")
        .args(node_args())
        .arg(file_arg("file", "The catalogue file").value_name("FILE").required(true))
        .args([expect, comment, dry_run])
        .after_help(
            "Example:\n  \
             bilberryfront catalogue apply catalogue.jsonc --expect 7 --comment 'more for the desk'",
        )
}

fn history() -> Command {
    Command::new("history")
        .about("Shows who changed the catalogue, when and why")
        .args(node_args())
        .after_help("Example:\n  bilberryfront catalogue history --output json")
}

fn nodes() -> Command {
    Command::new("nodes")
        .about("Lists the nodes that are known to a node")
        .args(node_args())
        .after_help(
            "Example:\n  \
             bilberryfront nodes --node http://127.0.0.1:7001 --key-file operator.key",
        )
}

fn explain() -> Command {
    let id = Arg::new("id")
        .value_name("ID")
        .required(true)
        .help("Id of a request or of a runner, or a catalogue's version");
    let logs = file_arg("logs", "Log files, one per instance; `-` is standard input");
    Command::new("explain")
        .about("Reconstructs the history of a request, a runner or a catalogue from logs")
        .arg(id)
        .arg(logs.value_name("FILE").num_args(1..).default_value("-"))
        .arg(output_arg())
        .after_help(
            "Exit code 1 if no line of the logs contains the id.\n\n\
             Example:\n  bilberryfront explain d794ef9b5a294571 front-a-1.log front-b-1.log",
        )
}

/// Returns the arguments of all commands that send requests to a node.
fn node_args() -> [Arg; 3] {
    let node = Arg::new("node")
        .long("node")
        .value_name("URL")
        .env("BILBERRYFRONT_NODE")
        .value_parser(ValueParser::new(parse_base_url))
        .value_hint(ValueHint::Url)
        .required(true)
        .help("Operators' address of any node, such as http://127.0.0.1:7001");
    let key = file_arg("key-file", "File with the operator's key")
        .long("key-file")
        .value_name("FILE")
        .env("BILBERRYFRONT_KEY_FILE")
        .required(true);
    [node, key, output_arg()]
}

fn output_arg() -> Arg {
    Arg::new("output")
        .long("output")
        .value_name("FORMAT")
        .value_parser(["human", "json"])
        .default_value("human")
        .help("Output format")
}

fn parse_base_url(text: &str) -> Result<String, String> {
    let uri = text.parse::<http::Uri>().map_err(|e| e.to_string())?;
    match uri.scheme_str() == Some("http") && uri.host().is_some() {
        true => Ok(text.into()),
        false => Err("write http://HOST:PORT".into()),
    }
}

fn completions() -> Command {
    Command::new("completions")
        .about("Prints completions for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .value_parser(value_parser!(Shell))
                .required(true)
                .help("The shell"),
        )
        .after_help("Example:\n  bilberryfront completions bash > bilberryfront.bash")
}

fn file_arg(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_parser(value_parser!(PathBuf)).value_hint(ValueHint::FilePath).help(help)
}
