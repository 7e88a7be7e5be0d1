//! The command line's grammar and help.

mod moves;

use {
    bilberryfront_decide::id::Revision,
    clap::{Arg, ArgAction, Command, ValueHint, builder::ValueParser, value_parser},
    clap_complete::Shell,
    std::path::PathBuf,
};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  a file failed its check, `catalogue diff` found a difference, `move start --wait` saw the
     move taken back, or `explain` found nothing
  2  wrong arguments
  3  the node refused: wrong key, a conflict, or a bad catalogue
  4  no answer from the node, or the node has none from the platform
  5  the process can't run here, for example because its port is occupied

Example:
  bilberryfront check node.jsonc catalogue.jsonc";

/// Builds the whole command.
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
            explain(),
            completions(),
        ])
}

fn serve() -> Command {
    let settings = file("settings", "The node's settings, JSON with comments");
    Command::new("serve")
        .about("Runs a node until it is stopped by SIGTERM")
        .arg(settings.long("settings").value_name("FILE").required(true))
        .after_help("Example:\n  bilberryfront serve --settings node.jsonc")
}

fn relay() -> Command {
    let settings = file("settings", "The instance's settings, JSON with comments");
    Command::new("relay")
        .about("Runs an entry instance on the users' platform until it is stopped by SIGTERM")
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
        .help("What the files are; detected from their content by default");
    let files = file("files", "Settings or catalogue files");
    Command::new("check")
        .about("Checks settings and catalogue files without a node")
        .arg(kind)
        .arg(files.value_name("FILE").num_args(1..).required(true))
        .after_help("Example:\n  bilberryfront check node.jsonc catalogue.jsonc")
}

fn catalogue() -> Command {
    Command::new("catalogue")
        .about("Reads and changes the catalogue in force, through a node")
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
        .about("Shows the catalogue in force, as a file that can be edited and applied")
        .args(node_args())
        .after_help(
            "Example:\n  bilberryfront catalogue get > catalogue.jsonc\n\n\
             The example takes the node and the key file from the environment.",
        )
}

fn diff() -> Command {
    Command::new("diff")
        .about("Compares a file with the catalogue in force; exit code 1 when they differ")
        .args(node_args())
        .arg(file("file", "The catalogue file").value_name("FILE").required(true))
        .after_help("Example:\n  bilberryfront catalogue diff catalogue.jsonc")
}

fn apply() -> Command {
    let expect = Arg::new("expect")
        .long("expect")
        .value_name("REVISION")
        .value_parser(value_parser!(Revision))
        .help("Revision that the file was made from; refused when another is in force");
    let comment =
        Arg::new("comment").long("comment").value_name("TEXT").help("Why, for the history");
    let dry_run = Arg::new("dry-run")
        .long("dry-run")
        .action(ArgAction::SetTrue)
        .help("Only shows what would change");
    Command::new("apply")
        .about("Shows what a file changes in the catalogue, and puts it in force")
        .args(node_args())
        .arg(file("file", "The catalogue file").value_name("FILE").required(true))
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
        .about("Lists the nodes that a node knows of")
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
    let logs = file("logs", "Log files, one an instance; `-` is standard input");
    Command::new("explain")
        .about("Tells from instances' logs what became of a request, and why")
        .arg(id)
        .arg(logs.value_name("FILE").num_args(1..).default_value("-"))
        .arg(output())
        .after_help(
            "Exit code 1 when no line of the logs names the id.\n\n\
             Example:\n  bilberryfront explain d794ef9b5a294571 front-a-1.log front-b-1.log",
        )
}

/// Arguments of every command that asks a node.
fn node_args() -> [Arg; 3] {
    let node = Arg::new("node")
        .long("node")
        .value_name("URL")
        .env("BILBERRYFRONT_NODE")
        .value_parser(ValueParser::new(base_url))
        .value_hint(ValueHint::Url)
        .required(true)
        .help("Operators' address of any node, such as http://127.0.0.1:7001");
    let key = file("key-file", "File that holds the operator's key")
        .long("key-file")
        .value_name("FILE")
        .env("BILBERRYFRONT_KEY_FILE")
        .required(true);
    [node, key, output()]
}

fn output() -> Arg {
    Arg::new("output")
        .long("output")
        .value_name("FORMAT")
        .value_parser(["human", "json"])
        .default_value("human")
        .help("Form of the result")
}

fn base_url(text: &str) -> Result<String, String> {
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

fn file(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_parser(value_parser!(PathBuf)).value_hint(ValueHint::FilePath).help(help)
}
