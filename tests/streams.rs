//! Long streams through processes that are killed, suspended or disconnected.

use {
    bilberryfront_harness::{
        caller::{Caller, Received},
        fleet::{CALLER_KEY, Fleet, catalog},
        http,
    },
    bilberryfront_standins::{
        faults::Faults,
        runner::RunnerLog,
        text::{Answer, Sampling},
    },
    bilberryfront_wire::{
        completion::{Completion, CompletionRequest, FinishReason},
        problem::Run,
        runner::LoadReport,
    },
    futures_util::future::join_all,
    std::time::Duration,
    tokio::{sync::watch, time::sleep},
};

#[path = "support/deployment.rs"]
mod deployment;
#[path = "support/programs.rs"]
mod programs;

use deployment::{PROMPT, TOKENS, expected, fleet, request};

/// Number of simultaneous streams.
const STREAMS: usize = 60;
/// Time for which a runner is suspended; longer than the stall limit of the catalogue.
const SUSPENSION: Duration = Duration::from_millis(2_500);

/// Waits until the stream has received this many events.
async fn wait_for_events(events: &mut watch::Receiver<u32>, count: u32) {
    events.wait_for(|e| *e >= count).await.unwrap();
}

/// Sends a streamed request and calls `act` when the response has `at` events.
async fn stream_with_fault(
    fleet: &mut Fleet,
    at: u32,
    act: impl AsyncFnOnce(&mut Fleet),
) -> Received {
    let nodes = fleet.urls();
    let (progress, mut events) = watch::channel(0);
    let caller = Caller::new(CALLER_KEY);
    let request = request();
    let stream = caller.stream(&nodes, &request, |received| {
        progress.send_replace(received.events);
    });
    let act = async {
        wait_for_events(&mut events, at).await;
        act(fleet).await;
    };
    let (received, ()) = tokio::join!(stream, act);
    received.unwrap()
}

/// Waits for a runner that generates tokens; returns its index.
async fn wait_for_busy_runner(fleet: &Fleet) -> usize {
    for _ in 0..1_000 {
        for (at, runner) in fleet.runners.iter().enumerate() {
            let url = format!("{}/load", runner.url);
            let load = http::get::<LoadReport>(fleet.client(), &url).await;
            if load.is_ok_and(|l| l.running > 0) {
                return at;
            }
        }
        sleep(Duration::from_millis(2)).await;
    }
    panic!("no runner generated tokens in time")
}

/// Guards against an incomplete response when two runners are killed one after the other during a
/// stream: the remaining runners resume from the next index.
#[tokio::test]
async fn two_runners_killed_during_one_stream() {
    let mut fleet = fleet(&["runner-a", "runner-b", "runner-c"], &["node-a"]).await;
    let received = stream_with_fault(&mut fleet, 20, async |fleet| {
        for _ in 0..2 {
            let at = wait_for_busy_runner(fleet).await;
            fleet.runners[at].process.kill();
        }
    })
    .await;
    assert_eq!(received.text, expected());
    assert_eq!((received.tokens, received.resumes), (TOKENS, 0));
}

/// Guards against old tokens of a suspended runner. The node detects that it is silent and resumes
/// at another runner; the suspended one continues later and sends the rest of its tokens on a
/// closed connection.
#[tokio::test]
async fn suspended_runner_continues_late() {
    let mut fleet = fleet(&["runner-a", "runner-b"], &["node-a"]).await;
    let mut frozen = 0;
    let received = stream_with_fault(&mut fleet, 20, async |fleet| {
        frozen = wait_for_busy_runner(fleet).await;
        fleet.runners[frozen].process.freeze();
    })
    .await;
    fleet.runners[frozen].process.thaw();
    assert_eq!(received.text, expected());
    assert_eq!((received.tokens, received.resumes), (TOKENS, 0));
}

/// Guards against aborted completions while all runners are suspended for longer than the stall limit: those
/// that may not be retried have to wait for their runners, which continue.
#[tokio::test]
async fn all_runners_are_suspended_for_a_while() {
    let mut fleet = Fleet::new(programs::programs()).unwrap();
    let tokens = TOKENS.to_string();
    for name in ["runner-a", "runner-b"] {
        let args = ["--entry", deployment::ENGINE, "--answer-tokens", &tokens];
        let speed = ["--token-ms", "20", "--slots", "64"];
        fleet.start("runner", name, &[args.as_slice(), &speed].concat()).unwrap();
    }
    let catalog = catalog(deployment::ENGINE, deployment::SERVICE);
    fleet.apply(1, &catalog).await.unwrap();
    fleet.start_node("node-a", "domain-a").await.unwrap();
    fleet.ready().await.unwrap();
    let (progress, mut events) = watch::channel(0);
    let (caller, node, request) = (Caller::new(CALLER_KEY), fleet.urls().remove(0), request());
    let streams = (0..STREAMS).map(async |_| {
        let mut received = Received::default();
        let mut on_text = |received: &Received| {
            progress.send_replace(received.events);
        };
        caller.stream_once(&node, &request, &mut received, &mut on_text).await.unwrap();
        received
    });
    let suspend = async {
        wait_for_events(&mut events, 40).await;
        fleet.runners.iter().for_each(|runner| runner.process.freeze());
        sleep(SUSPENSION).await;
        fleet.runners.iter().for_each(|runner| runner.process.thaw());
    };
    let (received, ()) = tokio::join!(join_all(streams), suspend);
    for runner in &fleet.runners {
        let log: RunnerLog =
            http::get(fleet.client(), &format!("{}/admin/log", runner.url)).await.unwrap();
        let mut n = std::collections::BTreeMap::new();
        for call in &log.calls {
            *n.entry((call.attempt, format!("{:?}", call.ended))).or_insert(0) += 1;
        }
        eprintln!("{n:?}");
    }
    let aborted = received.iter().filter(|received| received.text != expected()).count();
    let problem = received.iter().find_map(|received| received.problem.as_ref());
    assert_eq!(aborted, 0, "{problem:?}");
}

/// Guards against lost or repeated tokens when the caller's node is killed. The caller sends the id
/// of its last event and the text that it has to the other node, which never received the request.
#[tokio::test]
async fn caller_resumes_at_another_node() {
    let mut fleet = fleet(&["runner-a", "runner-b"], &["node-a", "node-b"]).await;
    let received =
        stream_with_fault(&mut fleet, 40, async |fleet| fleet.nodes[0].server.process.kill()).await;
    assert_eq!(received.text, expected());
    assert_eq!(received.tokens, TOKENS);
    assert!(received.resumes >= 1, "the first node was killed, so the caller must have resumed");
}

/// Guards against repeated tokens when the caller resumes from an older event than the last one
/// that was sent. The new node generates the missing tokens again.
#[tokio::test]
async fn resume_from_an_older_event() {
    let fleet = fleet(&["runner-a"], &["node-a", "node-b"]).await;
    let caller = Caller::new(CALLER_KEY);
    let nodes = fleet.urls();
    let mut older = None;
    let request = request();
    let whole = caller.stream(&nodes[..1], &request, |received| {
        if received.events == 50 {
            older = Some(received.clone());
        }
    });
    assert_eq!(whole.await.unwrap().text, expected());
    let mut received = older.unwrap();
    caller.stream_once(&nodes[1], &request, &mut received, &mut |_| {}).await.unwrap();
    assert_eq!(received.text, expected());
    assert!(received.is_whole());
}

/// Guards against a caller that waits when the only runner of the version was killed: it gets the
/// text so far and at once a problem document that states when to resume. Once a runner is
/// available, the resume completes the response.
#[tokio::test]
async fn no_runner_is_left() {
    let mut fleet = fleet(&["runner-a"], &["node-a"]).await;
    let caller = Caller::new(CALLER_KEY);
    let node = fleet.urls().remove(0);
    let (progress, mut events) = watch::channel(0);
    let mut received = Received::default();
    let request = request();
    let mut on_text = |received: &Received| {
        progress.send_replace(received.events);
    };
    let stream = caller.stream_once(&node, &request, &mut received, &mut on_text);
    let kill = async {
        wait_for_events(&mut events, 30).await;
        fleet.runners[0].process.kill();
    };
    let (ended, ()) = tokio::join!(stream, kill);
    ended.unwrap();
    let problem = received.problem.clone().expect("the response was cut");
    assert_eq!((problem.run, received.is_whole()), (Run::Partial, false));
    assert!(problem.retry_after.is_some());
    assert!(expected().starts_with(&received.text) && received.events >= 30);

    let tokens = TOKENS.to_string();
    fleet
        .start("runner", "runner-b", &["--entry", "verify-llm", "--answer-tokens", &tokens])
        .unwrap();
    let nodes = fleet.urls();
    for _ in 0..100 {
        received.problem = None;
        caller.stream_once(&nodes[0], &request, &mut received, &mut |_| {}).await.unwrap();
        if received.is_whole() {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(received.text, expected());
}

/// Guards against an unknown outcome when the only runner has crashed and is still listed: no
/// connection was opened and nothing was sent, so the response is `not_run` with a retry time.
#[tokio::test]
async fn no_connection_is_not_run() {
    let mut fleet = fleet(&["runner-a"], &["node-a"]).await;
    fleet.runners[0].process.kill();
    let mut received = Received::default();
    let (caller, node) = (Caller::new(CALLER_KEY), fleet.urls().remove(0));
    caller.stream_once(&node, &request(), &mut received, &mut |_| {}).await.unwrap();
    let problem = received.problem.expect("no runner could respond");
    assert_eq!((problem.run, problem.retry_after.is_some()), (Run::NotRun, true));
}

/// Guards against a run that continues after its caller has disconnected.
#[tokio::test]
async fn caller_disconnects() {
    let fleet = fleet(&["runner-a"], &["node-a"]).await;
    let caller = Caller::new(CALLER_KEY);
    let nodes = fleet.urls();
    let (progress, mut events) = watch::channel(0);
    let request = request();
    let stream = caller.stream(&nodes, &request, |received| {
        progress.send_replace(received.events);
    });
    tokio::select! {
        _ = stream => panic!("the stream ended before the caller disconnected"),
        () = wait_for_events(&mut events, 20) => {}
    }
    let url = format!("{}/admin/log", fleet.runners[0].url);
    for _ in 0..500 {
        let log: RunnerLog = http::get(fleet.client(), &url).await.unwrap();
        if log.cancelled == 1 {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("the run was not cancelled in time");
}

/// Guards against a failed response without streaming when the runner is killed: the caller has
/// received nothing, so the request can be resumed and the response is complete.
#[tokio::test]
async fn response_without_streaming() {
    let mut fleet = fleet(&["runner-a", "runner-b"], &["node-a"]).await;
    let request = CompletionRequest { stream: false, ..request() };
    let caller = Caller::new(CALLER_KEY);
    let node = fleet.urls().remove(0);
    let answer = caller.complete(&node, &request);
    let kill = async {
        let at = wait_for_busy_runner(&fleet).await;
        fleet.runners[at].process.kill();
    };
    let (answer, ()) = tokio::join!(answer, kill);
    let answer: Completion = answer.unwrap().json().unwrap();
    assert_eq!(answer.choices[0].text, expected());
    assert_eq!(answer.choices[0].finish_reason, Some(FinishReason::Stop));
    assert_eq!(answer.usage.unwrap().completion_tokens, TOKENS);
}

/// Guards against mixed responses when two callers send equal bodies concurrently, one runner is
/// killed, and sampling differs with every attempt: each response must be one attempt and its own
/// continuation.
#[tokio::test]
async fn equal_bodies_are_not_mixed() {
    let mut fleet = fleet(&["runner-a", "runner-b"], &["node-a"]).await;
    for runner in &fleet.runners {
        let faults = Faults { differs: true, ..Faults::default() };
        fleet.faults(runner, &faults).await.unwrap();
    }
    let nodes = fleet.urls();
    let caller = Caller::new(CALLER_KEY);
    let request = request();
    let kill = async {
        let at = wait_for_busy_runner(&fleet).await;
        fleet.runners[at].process.kill();
    };
    let (one, two, ()) = tokio::join!(
        caller.stream(&nodes, &request, |_| {}),
        caller.stream(&nodes, &request, |_| {}),
        kill
    );
    for received in [one.unwrap(), two.unwrap()] {
        assert_eq!((received.events, received.tokens), (TOKENS, TOKENS));
        assert!(is_coherent(&received.text), "mixed tokens of two attempts: {}", received.text);
    }
}

/// Returns whether the text is the start of attempt 1 followed by the continuation of exactly this
/// start by attempt 2.
fn is_coherent(text: &str) -> bool {
    let part = |attempt, prefix: &str, range: std::ops::Range<u32>| -> String {
        let prefix = xxhash_rust::xxh64::xxh64(prefix.as_bytes(), 0);
        let sampling = Sampling::Differs { attempt, prefix };
        let answer = Answer::new("v1", PROMPT, sampling, Some(TOKENS));
        range.map(|index| answer.token(index)).collect()
    };
    (0..=TOKENS).any(|cut| {
        let first = part(1, "", 0..cut);
        text.strip_prefix(first.as_str()) == Some(part(2, &first, cut..TOKENS).as_str())
    })
}
