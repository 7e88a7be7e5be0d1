//! Measures the batching of intents: the real committing task over a table in memory that takes
//! 5 ms for a commit, on a paused clock, beside one row a commit.
//!
//! `cargo run --release --example intents`

#[expect(dead_code, reason = "nothing fails here")]
#[path = "../tests/fakes/table.rs"]
mod table;

use {
    bilberryfront::intents::{Call, Claim, Intents, Limits, answer, call::digest},
    bilberryfront_decide::{id::Incarnation, intent::Outcome},
    compact_str::format_compact,
    hdrhistogram::Histogram,
    http::HeaderMap,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    table::FakeTable,
    tokio::{
        runtime::Builder,
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
};

/// What the table takes for a commit or a read.
const LATENCY: Duration = Duration::from_millis(5);
/// What a row adds where rows are dear.
const ROW_COST: Duration = Duration::from_micros(100);
/// What the runner takes for a call.
const RUNNER: Duration = Duration::from_millis(20);
/// How long calls come, on the paused clock.
const LENGTH: Duration = Duration::from_secs(30);
/// Writes a second that the table grants to all nodes together.
const WRITES: u32 = 300;
/// Calls a second in the first table.
const RATES: [u32; 7] = [10, 25, 50, 100, 300, 1000, 3000];
/// Calls a second over the whole design size, all taken as non-idempotent.
const DESIGN_RATE: u32 = 32_000;

/// What one run shows.
struct Outcomes {
    /// Microseconds from asking to the permit.
    claims: Histogram<u64>,
    refused: u64,
    /// Rows of each commit.
    sizes: Vec<usize>,
}

fn main() {
    println!("one node of six: a commit each 20 ms at most");
    compare(Duration::ZERO);
    println!("\nthe same where each row adds {ROW_COST:?} to its commit");
    compare(ROW_COST);
    println!("\n{DESIGN_RATE} calls/s over n nodes that write");
    head();
    for nodes in [6, 25, 50, 100, 1100] {
        let limits = Limits { interval: share(nodes), timeout: LENGTH, ..Limits::default() };
        let rate = DESIGN_RATE / nodes;
        line(&format!("{nodes} writers"), rate, &run(rate, limits, Duration::ZERO));
    }
}

fn compare(row_cost: Duration) {
    head();
    let batched = Limits { interval: share(6), ..Limits::default() };
    let single = Limits { rows: 1, ..batched };
    for rate in RATES {
        line("batched", rate, &run(rate, batched, row_cost));
        line("one by one", rate, &run(rate, single, row_cost));
    }
}

/// Shortest time between a node's commits when `nodes` share the table's writes.
fn share(nodes: u32) -> Duration {
    Duration::from_secs(1) * nodes / WRITES
}

fn head() {
    println!(
        "{:<13}{:>9}{:>11}{:>11}{:>10}{:>10}{:>10}",
        "way", "calls/s", "commits/s", "rows each", "p50 ms", "p99 ms", "not run"
    );
}

fn line(way: &str, rate: u32, outcomes: &Outcomes) {
    let commits = outcomes.sizes.len() as f64;
    let rows = outcomes.sizes.iter().sum::<usize>() as f64;
    let ms = |quantile| outcomes.claims.value_at_quantile(quantile) as f64 / 1000.0;
    let asked = outcomes.claims.len() + outcomes.refused;
    println!(
        "{way:<13}{rate:>9}{:>11.1}{:>11.1}{:>10.1}{:>10.1}{:>9.1}%",
        commits / LENGTH.as_secs_f64(),
        rows / commits,
        ms(0.5),
        ms(0.99),
        100.0 * outcomes.refused as f64 / asked as f64,
    );
}

fn run(rate: u32, limits: Limits, row_cost: Duration) -> Outcomes {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime starts");
    runtime.block_on(drive(rate, limits, row_cost))
}

/// Calls arrive at random (Poisson), each is claimed, sent and settled.
async fn drive(rate: u32, limits: Limits, row_cost: Duration) -> Outcomes {
    let mut table = FakeTable::new(LATENCY);
    table.row_cost = row_cost;
    let intents = Intents::start(table.clone(), Incarnation(1), limits);
    let claims = Arc::new(Mutex::new(Histogram::new(3).expect("three digits are valid")));
    let mut rng = SmallRng::seed_from_u64(1);
    let mut next = Instant::now();
    let end = next + LENGTH;
    let mut calls = JoinSet::new();
    for number in 0u64.. {
        let wait = -(1.0 - rng.random::<f64>()).ln() / f64::from(rate);
        next += Duration::from_secs_f64(wait);
        if next >= end {
            break;
        }
        sleep_until(next).await;
        calls.spawn(call(intents.clone(), number, claims.clone()));
    }
    sleep_until(end).await;
    let sizes = table.state().commit_sizes.clone();
    let refused = calls.join_all().await.into_iter().filter(|ran| !ran).count() as u64;
    let claims = claims.lock().expect("no call panics").clone();
    Outcomes { claims, refused, sizes }
}

/// One call; returns whether it got its permit.
async fn call(
    intents: Intents<FakeTable>,
    number: u64,
    claims: Arc<Mutex<Histogram<u64>>>,
) -> bool {
    let call = Call {
        account: "account".into(),
        entry: "entry".into(),
        key: format_compact!("{number}"),
        digest: digest("POST", "/transfers", b"{}"),
    };
    let asked = Instant::now();
    let Claim::Granted(mut permit) = intents.claim(call).await else { return false };
    let micros = asked.elapsed().as_micros() as u64;
    claims.lock().expect("no call panics").record(micros).expect("the histogram grows");
    if !permit.begin() {
        intents.settle(permit, Outcome::NotRun).await;
        return false;
    }
    sleep(RUNNER).await;
    let receipt = answer::keep(201, &HeaderMap::new(), b"done");
    intents.settle(permit, Outcome::Answer(receipt)).await;
    true
}
