//! Definition of the command `move`.

use {
    super::node_args,
    crate::operator::deadline::Deadline,
    bilberryfront_decide::catalog::check::is_name,
    clap::{Arg, ArgAction, Command, builder::ValueParser, value_parser},
    compact_str::CompactString,
};

/// Builds the command `move`.
pub(super) fn command() -> Command {
    Command::new("move")
        .about("Moves an entry's requests to a new version by a deadline, or back to the old one")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([start(), status(), list(), undo()])
        .after_help(
            "Example:\n  \
             bilberryfront move start --entry verify-llm --to 2026-12 --by 2h",
        )
}

fn start() -> Command {
    let name_arg = |id: &'static str, value: &'static str, help: &'static str| {
        let arg = Arg::new(id).long(id).value_name(value).required(true).help(help);
        arg.value_parser(ValueParser::new(parse_name))
    };
    let by = Arg::new("by")
        .long("by")
        .value_name("TIME")
        .value_parser(value_parser!(Deadline))
        .required(true)
        .help("Deadline: a time such as 2026-12-03T18:00:00Z, or a duration such as 30m");
    let force = Arg::new("force")
        .long("force")
        .action(ArgAction::SetTrue)
        .help("Starts the move even if the time is too short to collect the evidence");
    let wait = Arg::new("wait")
        .long("wait")
        .action(ArgAction::SetTrue)
        .help("Waits for the end of the move; exit code 0 only if the new version was adopted");
    Command::new("start")
        .about("Starts a move")
        .args(node_args())
        .arg(name_arg("entry", "ENTRY", "Catalogue entry"))
        .arg(name_arg("to", "VERSION", "New version, one of the entry's `versions`"))
        .arg(by)
        .args([
            weight_arg("on-time", "Weight of finishing by the deadline"),
            weight_arg("take-back", "Weight of detecting a bad version"),
            weight_arg("extra-use", "Weight of the time during which runners of both versions run"),
        ])
        .args([force, wait])
        .after_help(
            "Example:\n  \
             bilberryfront move start --entry verify-llm --to 2026-12 --by 2h --on-time 3 --wait\n\n\
             Only the ratios between the three weights matter.",
        )
}

fn weight_arg(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .long(id)
        .value_name("N")
        .value_parser(ValueParser::new(parse_weight))
        .default_value("1")
        .help(help)
}

fn parse_weight(text: &str) -> Result<f64, String> {
    let weight = text.parse::<f64>().map_err(|e| e.to_string())?;
    match weight.is_finite() && weight >= 0.0 {
        true => Ok(weight),
        false => Err("write a number of 0 or more".into()),
    }
}

fn status() -> Command {
    Command::new("status")
        .about("Shows the state of an entry's latest move, what it waits for and its next step")
        .args(node_args())
        .arg(entry_arg())
        .after_help("Example:\n  bilberryfront move status verify-llm")
}

fn list() -> Command {
    Command::new("list")
        .about("Lists the latest move of every entry")
        .args(node_args())
        .after_help("Example:\n  bilberryfront move list --output json")
}

fn undo() -> Command {
    Command::new("undo")
        .about("Takes an entry's move back: immediately on the node, within seconds on all others")
        .args(node_args())
        .arg(entry_arg())
        .after_help("Example:\n  bilberryfront move undo verify-llm")
}

fn entry_arg() -> Arg {
    Arg::new("entry")
        .value_name("ENTRY")
        .value_parser(ValueParser::new(parse_name))
        .required(true)
        .help("Catalogue entry")
}

fn parse_name(text: &str) -> Result<CompactString, String> {
    match is_name(text) {
        true => Ok(text.into()),
        false => {
            Err("write a name that is valid in the catalogue: letters, digits, `-`, `_` and `.`"
                .into())
        }
    }
}
