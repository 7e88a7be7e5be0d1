//! Runs timed fault scenarios against the product's own code, on Tokio's paused clock.
//!
//! Several nodes run in one process, each with its own control task, membership, mover and traffic
//! code. Runners, the platform and the network between nodes are fakes. docs/SCENARIOS.md documents
//! the scenario language; `checks.rs` has the invariants that are checked after every step.

mod caller;
mod checks;
mod expect;
mod fleet;
mod gate;
mod language;
mod load;
mod moves;
mod net;
mod node;
mod operator;
mod runner;
mod storm;
mod table;
mod wire;
mod world;
mod writer;

/// A result whose error names the step and the violated expectation.
pub type Result<T = ()> = std::result::Result<T, String>;

/// Runs a scenario that is written in JSON with comments.
pub fn play(text: &str) -> Result {
    let scenario = jsonc_parser::parse_to_serde_value(text, &Default::default());
    world::run(&scenario.map_err(|e| e.to_string())?)
}

/// Runs the random scenario of a seed.
pub fn play_storm(seed: u64) -> Result {
    world::run(&storm::draw(seed))
}

/// Returns the steps of the random scenario of a seed, one per line.
pub fn storm_steps(seed: u64) -> String {
    let steps = storm::draw(seed).steps;
    steps.iter().map(|step| format!("{step:?}\n")).collect()
}
