//! Measures version moves by simulation of six movers with many seeds, compared with a fixed ramp.
//!
//! `cargo run --release -p bilberryfront-decide --example moves -- [SEEDS] [FIRST_SEED] [weights]`;
//! with `weights`, the simulation also runs with other weights than the deployments' own.

#[path = "../tests/mover/fake.rs"]
#[expect(dead_code, reason = "shared with the tests, which use all of it")]
mod fake;
#[path = "moves/load.rs"]
mod load;
#[path = "moves/naive.rs"]
mod naive;
#[path = "moves/table.rs"]
mod table;

use {
    load::{Kind, SITES, Scene, Weighing},
    std::thread,
};

/// Number of threads; limited because the machine may be shared.
const THREADS: u64 = 4;

fn main() {
    let number = |at: usize| std::env::args().nth(at).and_then(|a| a.parse::<u64>().ok());
    let seeds = number(1).unwrap_or(200);
    let first = number(2).unwrap_or(0);
    let weighings = if std::env::args().any(|a| a == "weights") { 4 } else { 1 };
    println!("seeds {first}..{} per row", first + seeds);
    table::print_header();
    for site in &SITES {
        for weighing in &Weighing::MOVER[..weighings] {
            print_rows(site, *weighing, first..first + seeds, load::run);
        }
        print_rows(site, Weighing::Naive, first..first + seeds, naive::run);
    }
}

fn print_rows(
    site: &'static load::Site,
    weighing: Weighing,
    seeds: std::ops::Range<u64>,
    run: fn(&Scene) -> table::Outcome,
) {
    for kind in Kind::ALL {
        let worker = |part: u64| {
            let own_seeds = seeds.clone().filter(move |s| s % THREADS == part);
            own_seeds
                .map(|seed| (seed, run(&Scene::new(site, weighing, kind, seed))))
                .collect::<Vec<_>>()
        };
        let mut outcomes: Vec<(u64, table::Outcome)> = thread::scope(|scope| {
            let parts: Vec<_> = (0..THREADS).map(|p| scope.spawn(move || worker(p))).collect();
            parts.into_iter().flat_map(|p| p.join().expect("a run panicked")).collect()
        });
        outcomes.sort_by_key(|(seed, _)| *seed);
        let outcomes: Vec<_> = outcomes.into_iter().map(|(_, o)| o).collect();
        table::print_row(site.name, weighing, kind, &outcomes);
    }
}
