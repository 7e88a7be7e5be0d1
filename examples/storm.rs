//! Runs random scenarios with new seeds: `cargo run --release --example storm -- --minutes 10`.
//!
//! Prints the first seed, each failure with the seed that reproduces it (`--seed SEED --cases 1`), and
//! the number of cases and failures at the end.

use {
    bilberryfront_scenarios::{Result, play_storm, storm_steps},
    clap::{Arg, ArgAction, Command, value_parser},
    std::{
        panic::{AssertUnwindSafe, catch_unwind},
        process::ExitCode,
        time::Duration,
    },
    tokio::time::Instant,
};

fn main() -> ExitCode {
    let number = |name| Arg::new(name).long(name).value_parser(value_parser!(u64));
    let matches = Command::new("storm")
        .arg(number("minutes").default_value("10"))
        .arg(number("cases").help("Stops after this many cases"))
        .arg(number("seed").help("Seed of the first case"))
        .arg(
            Arg::new("steps")
                .long("steps")
                .action(ArgAction::SetTrue)
                .help("Prints the steps of each case"),
        )
        .get_matches();
    let number = |name| matches.get_one::<u64>(name).copied();
    let seed = number("seed").unwrap_or_else(rand::random);
    let max_cases = number("cases").unwrap_or(u64::MAX);
    let until = Instant::now() + Duration::from_secs(60 * number("minutes").unwrap_or_default());
    println!("seed {seed}");
    let (mut cases, mut failures) = (0, 0);
    while cases < max_cases && Instant::now() < until {
        let case = seed.wrapping_add(cases);
        if matches.get_flag("steps") {
            print!("{}", storm_steps(case));
        }
        if let Err(broken) = run_case(case) {
            println!("seed {case}: {broken}");
            failures += 1;
        }
        cases += 1;
    }
    println!("{cases} cases, {failures} failures");
    if failures == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn run_case(seed: u64) -> Result {
    let run = AssertUnwindSafe(|| play_storm(seed));
    catch_unwind(run).unwrap_or_else(|_| Err("the scenario panicked".into()))
}
