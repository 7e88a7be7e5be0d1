//! Runs a stand-in as a process: `cargo run --example standin -- runner --listen 127.0.0.1:0`.

use std::process::ExitCode;

fn main() -> ExitCode {
    bilberryfront_standins::main()
}
