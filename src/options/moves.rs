//! Arguments of `move`.

use {
    super::required, crate::operator::message::MoveRequest, bilberryfront_decide::mover::Weights,
    clap::ArgMatches, compact_str::CompactString,
};

/// Subcommands of `move`.
#[derive(Clone, Debug, PartialEq)]
pub enum MoveCommand {
    /// Start a move.
    Start {
        /// Parameters of the move.
        request: MoveRequest,
        /// Whether to wait for the end of the move.
        wait: bool,
    },
    /// Show the latest move of an entry.
    Status(CompactString),
    /// List the latest moves of all entries.
    List,
    /// Roll back the move of an entry.
    Undo(CompactString),
}

impl MoveCommand {
    pub(super) fn from_matches(matches: &ArgMatches) -> MoveCommand {
        let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
        match name {
            "start" => {
                MoveCommand::Start { request: request(matches), wait: matches.get_flag("wait") }
            }
            "status" => MoveCommand::Status(required(matches, "entry")),
            "list" => MoveCommand::List,
            "undo" => MoveCommand::Undo(required(matches, "entry")),
            _ => unreachable!("clap accepts only known subcommands"),
        }
    }
}

fn request(matches: &ArgMatches) -> MoveRequest {
    let weights = Weights {
        on_time: required(matches, "on-time"),
        take_back: required(matches, "take-back"),
        extra_use: required(matches, "extra-use"),
    };
    MoveRequest {
        entry: required(matches, "entry"),
        to: required(matches, "to"),
        by: required(matches, "by"),
        weights,
        force: matches.get_flag("force"),
    }
}
