//! Measures a node's added latency, throughput, memory and processor time, compared with direct
//! requests to the runner stand-ins.
//!
//! `cargo run --release --example measure [-- SECTION...]`, sections: `speed`, `memory`, `decision`,
//! `control`; all by default. The figures depend on other load on the machine, so each section prints
//! the load average before and after.

mod caller;
mod control;
#[path = "../../crates/decide/examples/cost/bench.rs"]
mod decision;
mod deployment;
mod memory;
mod process;
mod speed;

use {
    clap::{Arg, ArgAction, Command},
    std::{env, io, process::ExitCode},
};

/// Environment variable that selects the role of a copy of this program.
const ROLE_VARIABLE: &str = "BILBERRYFRONT_MEASURE_ROLE";
/// All sections, in the order in which they run.
const SECTIONS: [&str; 4] = ["speed", "memory", "decision", "control"];

fn main() -> ExitCode {
    match env::var(ROLE_VARIABLE).as_deref() {
        Ok("standin") => bilberryfront_standins::main(),
        Ok("node") => bilberryfront::command::main(),
        Ok("caller") => caller::main(),
        Ok("section") => section(&env::args().nth(1).unwrap_or_default()),
        _ => measure(),
    }
}

fn measure() -> ExitCode {
    let section = Arg::new("section")
        .value_name("SECTION")
        .action(ArgAction::Append)
        .value_parser(SECTIONS)
        .help("Section to measure; all by default");
    let matches = Command::new("measure").about("Measures a node").arg(section).get_matches();
    let asked = matches.get_many::<String>("section").into_iter().flatten().collect::<Vec<_>>();
    let wanted = |s: &&str| asked.is_empty() || asked.iter().any(|a| a == s);
    for section in SECTIONS.iter().copied().filter(wanted) {
        // Each section runs in its own process: memory that one has freed would hide what the next uses.
        let status = deployment::role("section").arg(section).status();
        if !status.is_ok_and(|s| s.success()) {
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn section(section: &str) -> ExitCode {
    println!("## {section}, load average {}", process::load());
    if let Err(error) = run(section) {
        eprintln!("measure: {section}: {error}");
        return ExitCode::FAILURE;
    }
    println!("(load average after: {})\n", process::load());
    ExitCode::SUCCESS
}

fn run(section: &str) -> io::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    match section {
        "speed" => runtime.block_on(speed::run()),
        "memory" => runtime.block_on(memory::run()),
        "decision" => {
            decision::run();
            Ok(())
        }
        _ => control::run(&runtime),
    }
}
