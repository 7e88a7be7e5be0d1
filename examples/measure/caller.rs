//! Caller processes that read as fast as they can, so that the callers don't limit the throughput.

use {
    crate::deployment::{Endpoint, open_stream, role},
    bilberryfront_harness::http::client,
    http_body_util::BodyExt,
    serde::{Deserialize, Serialize},
    std::{
        env, io,
        process::{ExitCode, Stdio},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering::Relaxed},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep},
    volo_http::client::Client,
};

/// Warm-up time before counting begins.
const WARM_UP_TIME: Duration = Duration::from_millis(1_000);
/// Last event of a complete answer.
const END_EVENT: &[u8] = b"data: [DONE]\n\n";
/// Number of events in an answer that carry no token: the finish event and `[DONE]`.
const NON_TOKEN_EVENTS: u64 = 2;

/// Results of a caller process.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub(crate) struct Count {
    /// Tokens per second.
    pub(crate) rate: f64,
    /// Number of complete answers.
    pub(crate) whole: u64,
    /// Number of incomplete answers.
    pub(crate) broken: u64,
}

#[derive(Default)]
struct Counters {
    tokens: AtomicU64,
    whole: AtomicU64,
    broken: AtomicU64,
}

/// Runs `callers` processes concurrently for `time`, assigned to the URLs in turn, and returns the sum of
/// their results.
pub(crate) async fn run_callers(
    endpoint: Endpoint,
    urls: &[String],
    callers: usize,
    streams: usize,
    time: Duration,
) -> io::Result<Count> {
    let start = |i: usize| {
        let mut command = role("caller");
        command.arg(if endpoint == Endpoint::Node { "node" } else { "direct" });
        command.args([&urls[i % urls.len()], &streams.to_string(), &time.as_millis().to_string()]);
        command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()
    };
    let children = (0..callers).map(start).collect::<io::Result<Vec<_>>>()?;
    tokio::task::spawn_blocking(move || {
        let mut sum = Count::default();
        for child in children {
            let output = child.wait_with_output()?;
            let count: Count = serde_json::from_slice(&output.stdout).map_err(io::Error::other)?;
            sum.rate += count.rate;
            sum.whole += count.whole;
            sum.broken += count.broken;
        }
        Ok(sum)
    })
    .await?
}

/// Runs the caller process; its arguments are `ENDPOINT URL STREAMS MILLIS`.
pub(crate) fn main() -> ExitCode {
    let args = env::args().skip(1).collect::<Vec<_>>();
    let endpoint = if args[0] == "node" { Endpoint::Node } else { Endpoint::Direct };
    let streams = args[2].parse().expect("the parent passes a number");
    let time = Duration::from_millis(args[3].parse().expect("the parent passes a number"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the runtime can be built");
    let count = runtime.block_on(count(endpoint, &args[1], streams, time));
    println!("{}", serde_json::to_string(&count).expect("the result serializes"));
    ExitCode::SUCCESS
}

async fn count(endpoint: Endpoint, url: &str, streams: usize, time: Duration) -> Count {
    let counters = Arc::new(Counters::default());
    let client = client();
    for i in 0..streams {
        tokio::spawn(request_answers(
            client.clone(),
            endpoint,
            url.to_owned(),
            i,
            counters.clone(),
        ));
    }
    sleep(WARM_UP_TIME).await;
    let (before, started) = (counters.tokens.load(Relaxed), Instant::now());
    sleep(time).await;
    let tokens = counters.tokens.load(Relaxed) - before;
    Count {
        rate: tokens as f64 / started.elapsed().as_secs_f64(),
        whole: counters.whole.load(Relaxed),
        broken: counters.broken.load(Relaxed),
    }
}

/// Requests one answer after another, without end.
async fn request_answers(
    client: Client,
    endpoint: Endpoint,
    url: String,
    stream: usize,
    counters: Arc<Counters>,
) {
    for n in 0u64.. {
        let prompt = format!("document {stream} of {n}");
        match read_answer(&client, endpoint, &url, prompt, &counters).await {
            Ok(true) => counters.whole.fetch_add(1, Relaxed),
            _ => counters.broken.fetch_add(1, Relaxed),
        };
    }
}

/// Reads an answer and counts its tokens; returns whether it was complete.
async fn read_answer(
    client: &Client,
    endpoint: Endpoint,
    url: &str,
    prompt: String,
    counters: &Counters,
) -> io::Result<bool> {
    let response = open_stream(client, endpoint, url, prompt).await.map_err(io::Error::other)?;
    let mut body = response.into_body();
    let (mut last, mut tail) = (0, Vec::new());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(io::Error::other)?;
        let Some(data) = frame.data_ref() else { continue };
        let mut ends = 0;
        for &byte in data {
            ends += u64::from(byte == b'\n' && last == b'\n');
            last = byte;
        }
        counters.tokens.fetch_add(ends, Relaxed);
        tail.extend_from_slice(&data[data.len().saturating_sub(END_EVENT.len())..]);
        tail.drain(..tail.len().saturating_sub(END_EVENT.len()));
    }
    let whole = tail == END_EVENT;
    if whole {
        counters.tokens.fetch_sub(NON_TOKEN_EVENTS, Relaxed);
    }
    Ok(whole)
}
