//! `completions`: prints completions for a shell.

use {
    crate::{cli, error::Exit},
    clap_complete::Shell,
    std::io,
};

/// Prints the completions of all subcommands.
pub fn run(shell: Shell) -> Exit {
    clap_complete::generate(shell, &mut cli::command(), env!("CARGO_PKG_NAME"), &mut io::stdout());
    Exit::Done
}
