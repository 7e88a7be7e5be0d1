//! Measures the batching of intents: the real commit task with an in-memory table that takes 5 ms for
//! a commit, on a paused clock, compared with one row per commit.
//!
//! `cargo run --release --example intents`

#[expect(dead_code, reason = "this example injects no faults")]
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

/// Time that the table takes for a commit or a read.
const TABLE_LATENCY: Duration = Duration::from_millis(5);
/// Time that each row adds to a commit in the runs with a cost per row.
const ROW_COST: Duration = Duration::from_micros(100);
/// Time that the runner takes for a call.
const CALL_TIME: Duration = Duration::from_millis(20);
/// Time during which calls arrive, on the paused clock.
const RUN_TIME: Duration = Duration::from_secs(30);
/// Write limit of the table per second, shared by all nodes.
const WRITES_PER_SECOND: u32 = 300;
/// Calls per second in the first two result tables.
const CALL_RATES: [u32; 7] = [10, 25, 50, 100, 300, 1000, 3000];
/// Calls per second at the full design size, all counted as non-idempotent.
const DESIGN_CALL_RATE: u32 = 32_000;

/// Results of one run.
struct Outcomes {
    /// Microseconds from the claim to the permit.
    claims: Histogram<u64>,
    refused: u64,
    /// Number of rows in each commit.
    sizes: Vec<usize>,
}

fn main() {
    println!("one node of six: at most one commit per 20 ms");
    compare(Duration::ZERO);
    println!("\nthe same with {ROW_COST:?} per row added to each commit");
    compare(ROW_COST);
    println!("\n{DESIGN_CALL_RATE} calls/s spread over n writing nodes");
    print_header();
    for nodes in [6, 25, 50, 100, 1100] {
        let limits =
            Limits { interval: commit_interval(nodes), timeout: RUN_TIME, ..Limits::default() };
        let rate = DESIGN_CALL_RATE / nodes;
        print_row(&format!("{nodes} writers"), rate, &run(rate, limits, Duration::ZERO));
    }
}

fn compare(row_cost: Duration) {
    print_header();
    let batched = Limits { interval: commit_interval(6), ..Limits::default() };
    let single = Limits { rows: 1, ..batched };
    for rate in CALL_RATES {
        print_row("batched", rate, &run(rate, batched, row_cost));
        print_row("unbatched", rate, &run(rate, single, row_cost));
    }
}

/// Returns the minimum interval between a node's commits when `nodes` share the table's write limit.
fn commit_interval(nodes: u32) -> Duration {
    Duration::from_secs(1) * nodes / WRITES_PER_SECOND
}

fn print_header() {
    println!(
        "{:<13}{:>9}{:>11}{:>11}{:>10}{:>10}{:>10}",
        "mode", "calls/s", "commits/s", "rows each", "p50 ms", "p99 ms", "not run"
    );
}

fn print_row(mode: &str, rate: u32, outcomes: &Outcomes) {
    let commits = outcomes.sizes.len() as f64;
    let rows = outcomes.sizes.iter().sum::<usize>() as f64;
    let ms = |quantile| outcomes.claims.value_at_quantile(quantile) as f64 / 1000.0;
    let total = outcomes.claims.len() + outcomes.refused;
    println!(
        "{mode:<13}{rate:>9}{:>11.1}{:>11.1}{:>10.1}{:>10.1}{:>9.1}%",
        commits / RUN_TIME.as_secs_f64(),
        rows / commits,
        ms(0.5),
        ms(0.99),
        100.0 * outcomes.refused as f64 / total as f64,
    );
}

fn run(rate: u32, limits: Limits, row_cost: Duration) -> Outcomes {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("the runtime can be built");
    runtime.block_on(simulate_calls(rate, limits, row_cost))
}

/// Simulates calls that arrive at random (Poisson process); each is claimed, sent and settled.
async fn simulate_calls(rate: u32, limits: Limits, row_cost: Duration) -> Outcomes {
    let mut table = FakeTable::new(TABLE_LATENCY);
    table.row_cost = row_cost;
    let intents = Intents::start(table.clone(), Incarnation(1), limits);
    let claims = Arc::new(Mutex::new(Histogram::new(3).expect("three digits are valid")));
    let mut rng = SmallRng::seed_from_u64(1);
    let mut next = Instant::now();
    let end = next + RUN_TIME;
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

/// Runs one call; returns whether it was sent.
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
    let started = Instant::now();
    let Claim::Granted(mut permit) = intents.claim(call).await else { return false };
    let micros = started.elapsed().as_micros() as u64;
    claims.lock().expect("no call panics").record(micros).expect("the histogram grows");
    if !permit.begin() {
        intents.settle(permit, Outcome::NotRun).await;
        return false;
    }
    sleep(CALL_TIME).await;
    let receipt = answer::keep(201, &HeaderMap::new(), b"done");
    intents.settle(permit, Outcome::Answer(receipt)).await;
    true
}
