//! Starts a small deployment on loopback, kills a runner in the middle of a long generation, posts
//! one call twice, and checks what the caller receives. Exits with 0 only if every check passed.
//!
//! `cargo run --release --example demo [-- --prompt-file FILE]`
//!
//! With `--stay` it only starts the deployment, prints its URLs, and keeps it running until Ctrl-C.

mod steps;

use {
    bilberryfront_harness::fleet::Programs,
    clap::{Arg, ArgAction, Command, ValueHint, value_parser},
    std::{
        env, fs,
        path::PathBuf,
        process::{self, ExitCode},
    },
};

/// Environment variable that selects the role of a copy of this program.
const ROLE_VARIABLE: &str = "BILBERRYFRONT_DEMO_ROLE";
/// Default prompt.
const PROMPT: &str = "Mark the doubtful claims in this council report: the bridge carries 9,000 \
                      vehicles a day, and the last survey was in 1987.";

fn main() -> ExitCode {
    match env::var(ROLE_VARIABLE).as_deref() {
        Ok("standin") => bilberryfront_standins::main(),
        Ok("node") => bilberryfront::command::main(),
        _ => demo(),
    }
}

fn demo() -> ExitCode {
    let file = Arg::new("prompt-file")
        .long("prompt-file")
        .value_name("FILE")
        .value_hint(ValueHint::FilePath)
        .value_parser(value_parser!(PathBuf))
        .help("Text to send as the prompt");
    let stay = Arg::new("stay")
        .long("stay")
        .action(ArgAction::SetTrue)
        .conflicts_with("prompt-file")
        .help("Only start the deployment, and keep it running until Ctrl-C");
    let command = Command::new("demo")
        .about("Shows that a generation survives the loss of its runner")
        .args([file, stay]);
    let matches = command.get_matches();
    let prompt = match matches.get_one::<PathBuf>("prompt-file") {
        None => PROMPT.to_owned(),
        Some(path) => match fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => {
                eprintln!("demo: can't read {}: {error}", path.display());
                return ExitCode::FAILURE;
            }
        },
    };
    let programs = Programs { standin: || role("standin"), product: || role("node") };
    let runtime = tokio::runtime::Runtime::new().expect("the runtime can be built");
    let ran = match matches.get_flag("stay") {
        true => runtime.block_on(steps::stay(programs)),
        false => runtime.block_on(steps::run(programs, &prompt)),
    };
    match ran {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn role(role: &str) -> process::Command {
    let program = env::current_exe().expect("the path of the running program is available");
    let mut command = process::Command::new(program);
    command.env(ROLE_VARIABLE, role);
    command
}
