//! Clients that read slowly or disconnect, and the metrics of their requests.

use {
    bilberryfront_harness::{
        caller::Caller,
        fleet::{CALLER_KEY, Fleet},
        http as api,
    },
    bilberryfront_standins::{
        faults::{After, Faults, Reject},
        runner::{Call, Ended, RunnerLog},
    },
    bilberryfront_wire::{completion::CompletionRequest, problem::Run},
    collector::Collector,
    serde_json::json,
    std::{fs, time::Duration},
    tokio::time::{Instant, sleep},
};

#[path = "support/collector.rs"]
mod collector;
#[path = "support/raw_http.rs"]
mod raw_http;
#[path = "support/programs.rs"]
mod programs;

use raw_http::{RawConnection, fleet, post_streamed, request, wait_until};

async fn log(fleet: &Fleet) -> RunnerLog {
    api::get(fleet.client(), &format!("{}/admin/log", fleet.runners[0].url)).await.unwrap()
}

async fn written_tokens(fleet: &Fleet) -> u32 {
    log(fleet).await.calls.iter().map(|c| c.written).sum()
}

/// Waits until the runner has written nothing for three times the stall limit; returns the number
/// of tokens it has written.
async fn wait_for_backpressure(fleet: &Fleet) -> u32 {
    let mut last = 0;
    loop {
        sleep(3 * STALL).await;
        let now = written_tokens(fleet).await;
        if now == last && now > 0 {
            return now;
        }
        last = now;
    }
}

/// Reads a stream until its end marker.
async fn read_to_end(connection: &mut RawConnection) {
    const DONE: &[u8] = b"data: [DONE]\n\n";
    while !connection.received.windows(DONE.len()).any(|w| w == DONE) {
        let keep = connection.received.len().saturating_sub(DONE.len());
        connection.received.drain(..keep);
        assert!(connection.read().await > 0, "the stream ended before its end marker");
    }
}

/// Returns the resident memory of the node, in KiB.
fn memory_kib(fleet: &Fleet) -> u64 {
    let id = fleet.nodes[0].server.process.id();
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
    line.split_whitespace().next().unwrap().parse().unwrap()
}

/// Tokens of a response that is larger than all buffers between runner and client.
const LONG_TOKENS: u32 = 1_000_000;
/// Longest silence of a runner before the node treats it as stalled.
const STALL: Duration = Duration::from_millis(300);
/// Number of clients that read only the response head.
const NON_READING_CLIENTS: u32 = 8;
/// Limit on the memory that each of these clients costs the node, in KiB: three buffers of the HTTP
/// library (one being read, one that was read, one to be written) of at most 408 KiB each, and some
/// other memory. Without backpressure a response would take some 200,000 KiB.
const MAX_KIB_PER_CLIENT: u64 = 1_536;

/// Without backpressure the node would buffer the whole response for a client that reads the response
/// head and then nothing for a while. The node must stop reading from the runner, so that the runner
/// stops writing, and must not treat the runner as stalled meanwhile: there must be only one call,
/// and the client gets the rest when it continues to read.
#[tokio::test]
async fn slow_client_causes_backpressure() {
    let limits = json!({"stall_ms": STALL.as_millis() as u64});
    let fleet = fleet(json!({"limits": limits, "tokens": LONG_TOKENS}), 0).await;
    let mut connection = post_streamed(&fleet, "long").await;
    connection.read_status().await;
    let written = wait_for_backpressure(&fleet).await;
    assert!(
        written < LONG_TOKENS / 4,
        "{written} tokens were written although the client reads nothing"
    );
    read_to_end(&mut connection).await;
    let calls = log(&fleet).await.calls;
    let whole =
        |c: &Call| (c.attempt, c.written, c.ended) == (1, LONG_TOKENS, Some(Ended::Finished));
    assert!(matches!(&calls[..], [call] if whole(call)), "{calls:?}");
}

/// Guards against a stream that waits forever for its silent runner when there is no other: the runner is
/// left after three times the stall limit.
#[tokio::test]
async fn runner_that_stays_silent_is_left() {
    let limits = json!({"stall_ms": STALL.as_millis() as u64});
    let fleet = fleet(json!({"limits": limits}), 1).await;
    let stall = Some(After { tokens: 50, once: true });
    fleet.faults(&fleet.runners[0], &Faults { stall, ..Faults::default() }).await.unwrap();
    let start = Instant::now();
    let (caller, nodes, request) = (Caller::new(CALLER_KEY), fleet.urls(), request("stall"));
    let received = caller.stream(&nodes, &request, |_| {}).await.unwrap();
    assert_eq!((received.tokens, received.resumes), (raw_http::TOKENS, 0));
    let elapsed = start.elapsed();
    assert!((3 * STALL..20 * STALL).contains(&elapsed), "took {elapsed:?}");
}

/// The memory of the node must stay bounded when many clients read only the heads of long responses.
#[tokio::test]
async fn non_reading_clients_use_bounded_memory() {
    let fleet = fleet(json!({"tokens": LONG_TOKENS}), 0).await;
    let before = memory_kib(&fleet);
    let mut connections = Vec::new();
    for caller in 0..NON_READING_CLIENTS {
        let mut connection = post_streamed(&fleet, &format!("long {caller}")).await;
        connection.read_status().await;
        connections.push(connection);
    }
    wait_for_backpressure(&fleet).await;
    let grown = memory_kib(&fleet).saturating_sub(before);
    assert!(
        grown < u64::from(NON_READING_CLIENTS) * MAX_KIB_PER_CLIENT,
        "{grown} KiB for {NON_READING_CLIENTS} clients"
    );
}

/// A client that disconnects must not keep its slot in the queue. The entry runs one request at a
/// time; a second client waits in the queue and disconnects. Its slot must be free for a third one,
/// which is served when the first request ends, and the runner must never receive the second request.
#[tokio::test]
async fn disconnected_client_leaves_the_queue() {
    let mut collector = Collector::start().await;
    let mut fleet = Fleet::new(programs::programs()).unwrap();
    fleet.statsd = Some(collector.address());
    let limits = json!({"concurrent": 1, "queue": 1, "wait_ms": 60_000});
    raw_http::start(&mut fleet, &json!({"limits": limits, "tokens": LONG_TOKENS}), 20).await;
    let mut first = post_streamed(&fleet, "first").await;
    first.read_status().await;
    let queued = post_streamed(&fleet, "queued").await;
    collector.wait_for_gauge("open", 2).await;
    drop(queued);
    // The metric changes only after the node has removed the request from its queue.
    collector.wait_for_gauge("open", 1).await;
    let mut last: RawConnection = post_streamed(&fleet, "last").await;
    collector.wait_for_gauge("open", 2).await;
    drop(first);
    assert_eq!(last.read_status().await.as_u16(), 200);
    assert_eq!(
        log(&fleet).await.calls.len(),
        2,
        "only the first and the last request reach the runner"
    );
}

/// Returns a request for a short response, for a runner whose responses are long.
fn short(prompt: &str) -> CompletionRequest {
    CompletionRequest { max_tokens: Some(raw_http::TOKENS), ..request(prompt) }
}

/// Every request and token must be counted exactly once, whether the request is served, rejected by
/// the node (`refused`), rejected by the runner (`unknown`), cancelled by the client or cut by a
/// runner.
#[tokio::test]
async fn requests_and_tokens_are_counted_once() {
    let mut collector = Collector::start().await;
    let mut fleet = Fleet::new(programs::programs()).unwrap();
    fleet.statsd = Some(collector.address());
    raw_http::start(&mut fleet, &json!({"tokens": LONG_TOKENS}), 5).await;
    let caller = Caller::new(CALLER_KEY);
    let nodes = fleet.urls();
    let cut = Some(After { tokens: 50, once: true });
    let runner = &fleet.runners[0];
    fleet.faults(runner, &Faults { cut, ..Faults::default() }).await.unwrap();
    let received = caller.stream(&nodes, &short("cut once"), |_| {}).await.unwrap();
    assert_eq!((received.tokens, received.resumes), (raw_http::TOKENS, 0));
    let whole = CompletionRequest { stream: false, ..short("whole") };
    assert_eq!(caller.complete(&nodes[0], &whole).await.unwrap().status.as_u16(), 200);
    let invalid = CompletionRequest { max_tokens: Some(0), ..request("bad") };
    assert_eq!(caller.complete(&nodes[0], &invalid).await.unwrap().status.as_u16(), 400);
    let reject = Reject { status: 400, retry: None, path: "/generate".into(), once: true };
    fleet.faults(runner, &Faults { reject: Some(reject), ..Faults::default() }).await.unwrap();
    let rejected_by_runner = caller.stream(&nodes, &request("refused"), |_| {}).await.unwrap();
    assert_eq!(rejected_by_runner.problem.unwrap().run, Run::Unknown);
    let mut disconnected = post_streamed(&fleet, "left").await;
    disconnected.read_status().await;
    drop(disconnected);
    wait_until(async || log(&fleet).await.cancelled == 1).await;
    collector.wait_until(|c| c.get("abandoned") == 1).await;
    let counted = ["requests", "completed", "refused", "unknown", "abandoned", "partial"];
    assert_eq!(counted.map(|name| collector.get(name)), [5, 2, 1, 1, 1, 0]);
    assert_eq!((collector.get("resumes"), collector.get("runners.broken")), (1, 1));
    assert_eq!((collector.get("runners.rejected"), collector.get("sends")), (1, 5));
    assert!(collector.get("tokens") >= u64::from(2 * raw_http::TOKENS));
    assert_eq!((collector.get("first_token.time"), collector.get("resume.time")), (3, 1));
    assert_eq!(collector.get("request.time"), 4, "all requests except the cancelled one");
    collector.wait_for_gauge("open", 0).await;
    collector.wait_for_gauge("nodes", 1).await;
    collector.wait_for_gauge("peers.dropped", 0).await;
    collector.wait_for_gauge("intents.failed", 0).await;
}
