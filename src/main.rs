//! The `bilberryfront` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    bilberryfront::command::main()
}
