//! Callers that don't read, leave while they wait, and what is counted of them all.

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
    tokio::time::sleep,
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

async fn written(fleet: &Fleet) -> u32 {
    log(fleet).await.calls.iter().map(|c| c.written).sum()
}

/// Waits until the runner has written nothing for three times the stall bound.
async fn held_back(fleet: &Fleet) -> u32 {
    let mut last = 0;
    loop {
        sleep(3 * STALL).await;
        let now = written(fleet).await;
        if now == last && now > 0 {
            return now;
        }
        last = now;
    }
}

/// Reads a stream to its end mark.
async fn read_to_done(raw: &mut RawConnection) {
    const DONE: &[u8] = b"data: [DONE]\n\n";
    while !raw.received.windows(DONE.len()).any(|w| w == DONE) {
        let keep = raw.received.len().saturating_sub(DONE.len());
        raw.received.drain(..keep);
        assert!(raw.read().await > 0, "cut before its end");
    }
}

/// Resident memory of the node, in KiB.
fn memory(fleet: &Fleet) -> u64 {
    let id = fleet.nodes[0].server.process.id();
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
    line.split_whitespace().next().unwrap().parse().unwrap()
}

/// Tokens of an answer that no buffer on the way holds.
const LONG: u32 = 1_000_000;
/// Longest silence of a runner.
const STALL: Duration = Duration::from_millis(300);
/// Callers that don't read.
const IDLE: u32 = 8;
/// Most memory that each of them may cost the node, in KiB: three buffers of the HTTP library (being
/// read, read, to be written) at their bound of 408 KiB, and something for the rest. Unbounded, the
/// answer would take some 200,000 KiB.
const IDLE_KIB: u64 = 1_536;

/// The caller reads the head of a long answer and then nothing for a while. The node stops reading
/// from the runner, which is held back; its silence is the caller's doing and not taken for a stall,
/// so there is one call. When the caller reads on it gets the rest.
#[tokio::test]
async fn slow_reader_holds_the_runner_back() {
    let limits = json!({"stall_ms": STALL.as_millis() as u64});
    let fleet = fleet(json!({"limits": limits, "tokens": LONG}), 0).await;
    let mut raw = post_streamed(&fleet, "long").await;
    raw.read_status().await;
    let held = held_back(&fleet).await;
    assert!(held < LONG / 4, "{held} tokens were written to nobody");
    read_to_done(&mut raw).await;
    let calls = log(&fleet).await.calls;
    let whole = |c: &Call| (c.attempt, c.written, c.ended) == (1, LONG, Some(Ended::Finished));
    assert!(matches!(&calls[..], [call] if whole(call)), "{calls:?}");
}

/// Many callers read only the heads of long answers. Each costs the node a bounded amount of memory
/// and not the whole answer.
#[tokio::test]
async fn idle_callers_cost_bounded_memory() {
    let fleet = fleet(json!({"tokens": LONG}), 0).await;
    let before = memory(&fleet);
    let mut idle = Vec::new();
    for caller in 0..IDLE {
        let mut raw = post_streamed(&fleet, &format!("long {caller}")).await;
        raw.read_status().await;
        idle.push(raw);
    }
    held_back(&fleet).await;
    let grown = memory(&fleet).saturating_sub(before);
    assert!(grown < u64::from(IDLE) * IDLE_KIB, "{grown} KiB for {IDLE} callers");
}

/// The entry runs one request. A second caller waits in the queue and leaves. It is forgotten: its
/// place is free for a third, which is served when the first ends, and the runner never hears of it.
#[tokio::test]
async fn caller_leaves_the_queue() {
    let mut collector = Collector::start().await;
    let mut fleet = Fleet::new(programs::programs()).unwrap();
    fleet.statsd = Some(collector.address());
    let limits = json!({"concurrent": 1, "queue": 1, "wait_ms": 60_000});
    raw_http::start(&mut fleet, &json!({"limits": limits, "tokens": LONG}), 20).await;
    let mut first = post_streamed(&fleet, "first").await;
    first.read_status().await;
    let queued = post_streamed(&fleet, "queued").await;
    collector.wait_for_gauge("open", 2).await;
    drop(queued);
    // The node counts it as gone only after it has told its core to forget it.
    collector.wait_for_gauge("open", 1).await;
    let mut last: RawConnection = post_streamed(&fleet, "last").await;
    collector.wait_for_gauge("open", 2).await;
    drop(first);
    assert_eq!(last.read_status().await.as_u16(), 200);
    assert_eq!(log(&fleet).await.calls.len(), 2, "the first and the last");
}

/// A request whose answer ends soon, at a runner whose answers don't.
fn short(prompt: &str) -> CompletionRequest {
    CompletionRequest { max_tokens: Some(raw_http::TOKENS), ..request(prompt) }
}

/// Callers are served, refused, left in the middle, cut by a runner and refused by it. Each request
/// is counted once by its end, and each token once.
#[tokio::test]
async fn everything_is_counted() {
    let mut collector = Collector::start().await;
    let mut fleet = Fleet::new(programs::programs()).unwrap();
    fleet.statsd = Some(collector.address());
    raw_http::start(&mut fleet, &json!({"tokens": LONG}), 5).await;
    let caller = Caller::new(CALLER_KEY);
    let nodes = fleet.urls();
    let cut = Some(After { tokens: 50, once: true });
    let runner = &fleet.runners[0];
    fleet.faults(runner, &Faults { cut, ..Faults::default() }).await.unwrap();
    let got = caller.stream(&nodes, &short("cut once"), |_| {}).await.unwrap();
    assert_eq!((got.tokens, got.resumes), (raw_http::TOKENS, 0));
    let whole = CompletionRequest { stream: false, ..short("whole") };
    assert_eq!(caller.complete(&nodes[0], &whole).await.unwrap().status.as_u16(), 200);
    let bad = CompletionRequest { max_tokens: Some(0), ..request("bad") };
    assert_eq!(caller.complete(&nodes[0], &bad).await.unwrap().status.as_u16(), 400);
    let reject = Reject { status: 400, retry: None, path: "/generate".into(), once: true };
    fleet.faults(runner, &Faults { reject: Some(reject), ..Faults::default() }).await.unwrap();
    let refused = caller.stream(&nodes, &request("refused"), |_| {}).await.unwrap();
    assert_eq!(refused.problem.unwrap().run, Run::Unknown);
    let mut left = post_streamed(&fleet, "left").await;
    left.read_status().await;
    drop(left);
    wait_until(async || log(&fleet).await.cancelled == 1).await;
    collector.wait_until(|c| c.get("abandoned") == 1).await;
    let counted = ["requests", "completed", "refused", "unknown", "abandoned", "partial"];
    assert_eq!(counted.map(|name| collector.get(name)), [5, 2, 1, 1, 1, 0]);
    assert_eq!((collector.get("resumes"), collector.get("runners.broken")), (1, 1));
    assert_eq!((collector.get("runners.rejected"), collector.get("sends")), (1, 5));
    assert!(collector.get("tokens") >= u64::from(2 * raw_http::TOKENS));
    assert_eq!((collector.get("first_token.time"), collector.get("resume.time")), (3, 1));
    assert_eq!(collector.get("request.time"), 4, "all but the one that was left");
    collector.wait_for_gauge("open", 0).await;
    collector.wait_for_gauge("nodes", 1).await;
    collector.wait_for_gauge("peers.dropped", 0).await;
    collector.wait_for_gauge("intents.failed", 0).await;
}
