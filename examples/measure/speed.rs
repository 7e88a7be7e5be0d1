//! Latency that a node adds, and its throughput in tokens per second.

use {
    crate::{
        caller::run_callers,
        deployment::{Endpoint, open_stream, start},
        process::{cpu, load},
    },
    bilberryfront_harness::{fleet::Fleet, http::client},
    bilberryfront_wire::runner::DONE,
    futures_util::future::try_join_all,
    hdrhistogram::Histogram,
    std::{io, time::Duration},
    tokio::time::{Instant, sleep},
    volo_http::client::{Client, sse::SseReader},
};

/// Number of concurrent streams in the latency measurement.
const STREAMS: usize = 200;
/// Number of answers that each stream reads, one after the other.
const ANSWERS: usize = 4;
/// Number of tokens in an answer.
const TOKENS: u32 = 75;
/// Interval between the starts of streams, so that the first tokens don't arrive in one burst.
const START_INTERVAL: Duration = Duration::from_millis(10);
/// Number of rounds of each measurement; the best round is the one least disturbed by other load.
const ROUNDS: usize = 3;
/// Number of runner processes.
const RUNNERS: usize = 4;
/// Number of caller processes.
const CALLERS: usize = 4;
/// Number of streams of each caller process.
const CALLER_STREAMS: usize = 32;
/// Time for which tokens are counted.
const COUNTING_TIME: Duration = Duration::from_secs(4);

/// Time to the first token and between tokens, in microseconds.
struct Times {
    first: Histogram<u64>,
    between: Histogram<u64>,
}

pub(crate) async fn run() -> io::Result<()> {
    latency().await?;
    throughput().await
}

async fn latency() -> io::Result<()> {
    let tokens = TOKENS.to_string();
    let args = ["--token-ms", "20", "--answer-tokens", &tokens, "--slots", "64"];
    let fleet = start(RUNNERS, 1, &args).await?;
    println!(
        "{STREAMS} streams of {ANSWERS} answers of {TOKENS} tokens, 20 ms per token, {RUNNERS} runners, one node; ms"
    );
    println!("{:22} {:>9} {:>9} {:>11} {:>11}", "", "first p50", "first p99", "between p50", "p99");
    for round in 1..=ROUNDS {
        let direct = measure_times(Endpoint::Direct, &runners(&fleet)).await?;
        let node = measure_times(Endpoint::Node, &fleet.urls()).await?;
        println!("round {round}, load average {}", load());
        print_row("  direct", &direct);
        print_row("  through the node", &node);
        let added = |q: f64, of: fn(&Times) -> &Histogram<u64>| {
            millis(of(&node), q) - millis(of(&direct), q)
        };
        println!(
            "{:22} {:>9.3} {:>9.3} {:>11.3} {:>11.3}",
            "  added",
            added(0.5, |t| &t.first),
            added(0.99, |t| &t.first),
            added(0.5, |t| &t.between),
            added(0.99, |t| &t.between),
        );
    }
    Ok(())
}

fn print_row(name: &str, times: &Times) {
    println!(
        "{name:22} {:>9.3} {:>9.3} {:>11.3} {:>11.3}",
        millis(&times.first, 0.5),
        millis(&times.first, 0.99),
        millis(&times.between, 0.5),
        millis(&times.between, 0.99),
    );
}

/// Returns a quantile in milliseconds.
fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

fn runners(fleet: &Fleet) -> Vec<String> {
    fleet.runners.iter().map(|r| r.url.clone()).collect()
}

async fn measure_times(endpoint: Endpoint, urls: &[String]) -> io::Result<Times> {
    let client = client();
    let one = |i: usize| {
        let (client, url) = (client.clone(), urls[i % urls.len()].clone());
        async move { tokio::spawn(read_answers(client, endpoint, url, i)).await? }
    };
    let mut all = Times { first: histogram(), between: histogram() };
    for times in try_join_all((0..STREAMS).map(one)).await? {
        all.first.add(times.first).expect("both have the same bounds");
        all.between.add(times.between).expect("both have the same bounds");
    }
    Ok(all)
}

async fn read_answers(
    client: Client,
    endpoint: Endpoint,
    url: String,
    i: usize,
) -> io::Result<Times> {
    let mut times = Times { first: histogram(), between: histogram() };
    sleep(START_INTERVAL * i as u32).await;
    for answer in 0..ANSWERS {
        read_answer(&client, endpoint, &url, format!("document {i} of {answer}"), &mut times)
            .await?;
    }
    Ok(times)
}

/// Reads one answer and records its times; fails if it has another number of events than expected.
async fn read_answer(
    client: &Client,
    endpoint: Endpoint,
    url: &str,
    prompt: String,
    times: &mut Times,
) -> io::Result<()> {
    let mut last = Instant::now();
    let response = open_stream(client, endpoint, url, prompt).await;
    let response = response.map_err(io::Error::other)?;
    let mut reader = SseReader::into_sse(response).map_err(io::Error::other)?;
    let mut count = 0;
    while let Some(event) = reader.read().await.map_err(io::Error::other)? {
        if event.data() == Some(DONE) {
            break;
        }
        count += 1;
        if count > TOKENS {
            continue;
        }
        let since = last.elapsed().as_micros() as u64;
        last = Instant::now();
        let histogram = if count == 1 { &mut times.first } else { &mut times.between };
        histogram.saturating_record(since);
    }
    // The last event before `[DONE]` has the finish reason and no token.
    match count == TOKENS + 1 {
        true => Ok(()),
        false => Err(io::Error::other(format!(
            "an answer ended after {count} events, expected {TOKENS} tokens and a finish event"
        ))),
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are constant")
}

async fn throughput() -> io::Result<()> {
    let args = ["--token-ms", "0", "--answer-tokens", "4000", "--slots", "64"];
    let fleet = start(RUNNERS, 1, &args).await?;
    let pid = fleet.nodes[0].server.process.id();
    println!(
        "\n{CALLERS} caller processes of {CALLER_STREAMS} streams, {RUNNERS} runner processes, \
         one node with 4 traffic threads"
    );
    for round in 1..=ROUNDS {
        let runners = runners(&fleet);
        let direct =
            run_callers(Endpoint::Direct, &runners, CALLERS, CALLER_STREAMS, COUNTING_TIME).await?;
        let (before, started) = (cpu(pid)?, Instant::now());
        let node =
            run_callers(Endpoint::Node, &fleet.urls(), CALLERS, CALLER_STREAMS, COUNTING_TIME)
                .await?;
        let (after, wall) = (cpu(pid)?, started.elapsed());
        let cores = (after.all - before.all) as f64 / wall.as_nanos() as f64;
        println!(
            "round {round}, load average {}: direct {:.0} tokens/s ({} answers complete, {} not), through \
             the node {:.0} tokens/s ({} complete, {} not), node {cores:.2} cores",
            load(),
            direct.rate,
            direct.whole,
            direct.broken,
            node.rate,
            node.whole,
            node.broken,
        );
    }
    Ok(())
}
