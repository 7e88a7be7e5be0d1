//! Draining of nodes and runners, through processes.

use {
    bilberryfront_harness::{
        caller::Caller,
        fleet::{CALLER_KEY, Fleet, catalog},
        http as api,
    },
    bilberryfront_standins::{
        runner::RunnerLog,
        text::{Answer, Sampling},
    },
    bilberryfront_wire::{
        completion::CompletionRequest,
        problem::{Problem, Run},
    },
    http::{Method, StatusCode},
    std::time::Duration,
    tokio::{sync::watch, time::sleep},
};

#[path = "support/deployment.rs"]
mod deployment;
#[path = "support/programs.rs"]
mod programs;

use deployment::{ENGINE, SERVICE, expected, fleet, request};

/// Tokens of the long completion; with [`LONG_TOKEN_MS`] it takes more than the 30 s after which
/// the HTTP library's own shutdown would cut it.
const LONG_TOKENS: u32 = 110;
const LONG_TOKEN_MS: &str = "300";

async fn addresses(caller: &Caller, node: &str) -> Vec<String> {
    let answer = caller.addresses(node).await.unwrap();
    answer.addresses.into_iter().map(|a| a.url.into()).collect()
}

/// Polls until the address list contains this many nodes.
async fn wait_for_addresses(caller: &Caller, node: &str, count: usize) {
    for _ in 0..200 {
        if addresses(caller, node).await.len() == count {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("the address list of {node} did not contain {count} nodes in time");
}

/// Guards against a stream that is cut when its node drains. The node is terminated at the start of
/// a stream that takes longer than the shutdown timeout of the HTTP library. Meanwhile the node is
/// removed from the address lists and then rejects new requests with `not_run`; after the last
/// token it exits with 0.
#[tokio::test]
async fn draining_node_cuts_no_stream() {
    let mut fleet = Fleet::new(programs::programs()).unwrap();
    let tokens = LONG_TOKENS.to_string();
    let args = ["--entry", ENGINE, "--answer-tokens", &tokens, "--token-ms", LONG_TOKEN_MS];
    fleet.start("runner", "runner-a", &args).unwrap();
    fleet.apply(1, &catalog(ENGINE, SERVICE)).await.unwrap();
    fleet.start_node("node-a", "domain-a").await.unwrap();
    fleet.start_node("node-b", "domain-a").await.unwrap();
    fleet.ready().await.unwrap();
    let caller = Caller::new(CALLER_KEY);
    let nodes = fleet.urls();
    wait_for_addresses(&caller, &nodes[1], 2).await;

    let (progress, mut events) = watch::channel(0);
    let request = CompletionRequest { prompt: "a long one".into(), ..request() };
    let stream = caller.stream(&nodes[..1], &request, |received| {
        progress.send_replace(received.events);
    });
    let leave = async {
        events.wait_for(|count| *count >= 2).await.unwrap();
        fleet.nodes[0].server.process.terminate();
        wait_for_addresses(&caller, &nodes[1], 1).await;
        let refused = send_until_rejected(&caller, &nodes[0]).await;
        assert_eq!((refused.run, refused.retry_after.is_some()), (Run::NotRun, true));
        assert!(
            *events.borrow() < LONG_TOKENS,
            "the stream ended before the node rejected requests"
        );
    };
    let (received, ()) = tokio::join!(stream, leave);
    let received = received.unwrap();
    let whole = Answer::new("v1", "a long one", Sampling::Same, Some(LONG_TOKENS));
    assert_eq!(received.text, whole.text(LONG_TOKENS));
    assert_eq!((received.tokens, received.resumes), (LONG_TOKENS, 0));
    assert!(fleet.nodes[0].server.process.wait().unwrap().success());
}

/// Sends requests of one token until the node rejects one.
async fn send_until_rejected(caller: &Caller, node: &str) -> Problem {
    let request = CompletionRequest { max_tokens: Some(1), stream: false, ..request() };
    for _ in 0..200 {
        let answer = caller.complete(node, &request).await.unwrap();
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            return answer.json().unwrap();
        }
        assert_eq!(answer.status, StatusCode::OK, "the node serves requests until it rejects them");
        sleep(Duration::from_millis(50)).await;
    }
    panic!("{node} did not reject a request in time");
}

/// Guards against failed requests while all three nodes are replaced one by one, for callers that
/// refresh the address list before each request.
#[tokio::test]
async fn nodes_are_replaced_under_load() {
    let mut fleet = fleet(&["runner-a", "runner-b"], &["node-a", "node-b", "node-c"]).await;
    let caller = Caller::new(CALLER_KEY);
    let first = fleet.urls().remove(0);
    wait_for_addresses(&caller, &first, 3).await;
    let (stop, stopped) = watch::channel(false);
    let load: Vec<_> =
        (0..4).map(|i| tokio::spawn(load(fleet.urls(), stopped.clone(), i))).collect();
    for (old, new) in [("node-a", "node-d"), ("node-b", "node-e"), ("node-c", "node-f")] {
        fleet.start_node(new, "domain-a").await.unwrap();
        fleet.ready().await.unwrap();
        let newest = fleet.nodes.last().unwrap().server.url.clone();
        wait_for_addresses(&caller, &newest, 4).await;
        let at = fleet.nodes.iter().position(|n| n.server.name == old).unwrap();
        let mut leaving = fleet.nodes.remove(at);
        leaving.server.process.terminate();
        let status = tokio::task::spawn_blocking(move || leaving.server.process.wait());
        assert!(status.await.unwrap().unwrap().success());
        let url = format!("{}/instances/{old}", fleet.list.url);
        api::call(fleet.client(), Method::DELETE, &url, &[], Vec::new()).await.unwrap();
        wait_for_addresses(&caller, &newest, 3).await;
    }
    stop.send_replace(true);
    for load in load {
        assert!(load.await.unwrap() > 0, "each client got responses");
    }
}

/// Sends requests one after the other and refreshes the address list before each; returns the
/// number of complete responses.
async fn load(mut nodes: Vec<String>, stop: watch::Receiver<bool>, offset: usize) -> u32 {
    let caller = Caller::new(CALLER_KEY);
    let mut whole = 0;
    while !*stop.borrow() {
        for at in 0..nodes.len() {
            if let Ok(answer) = caller.addresses(&nodes[at]).await {
                nodes = answer.addresses.into_iter().map(|a| a.url.into()).collect();
                break;
            }
        }
        let node = &nodes[offset % nodes.len()..][..1];
        let received = caller.stream(node, &request(), |_| {}).await.unwrap();
        assert_eq!(received.text, expected());
        assert_eq!(received.resumes, 0, "a request was cut or rejected");
        whole += 1;
    }
    whole
}

/// Guards against new requests to a draining runner, and against failed requests meanwhile. Within
/// seconds the runner gets no new requests, and it finishes those in progress.
#[tokio::test]
async fn draining_runner_gets_no_new_requests() {
    let fleet = fleet(&["runner-a", "runner-b"], &["node-a"]).await;
    let nodes = fleet.urls();
    let (stop, stopped) = watch::channel(false);
    let load: Vec<_> =
        (0..4).map(|i| tokio::spawn(load(nodes.clone(), stopped.clone(), i))).collect();
    let url = format!("{}/instances/runner-a/leave", fleet.list.url);
    api::call(fleet.client(), Method::POST, &url, &[], Vec::new()).await.unwrap();
    let mut calls = request_count(&fleet, 0).await;
    let mut quiet = 0;
    for _ in 0..200 {
        sleep(Duration::from_millis(100)).await;
        let now = request_count(&fleet, 0).await;
        quiet = if now == calls { quiet + 1 } else { 0 };
        calls = now;
        if quiet == 20 {
            break;
        }
    }
    let other = request_count(&fleet, 1).await;
    stop.send_replace(true);
    for load in load {
        assert!(load.await.unwrap() > 0);
    }
    assert_eq!(quiet, 20, "the draining runner still received requests");
    assert_eq!(request_count(&fleet, 0).await, calls);
    assert!(request_count(&fleet, 1).await >= other);
}

async fn request_count(fleet: &Fleet, runner: usize) -> usize {
    let url = format!("{}/admin/log", fleet.runners[runner].url);
    let log: RunnerLog = api::get(fleet.client(), &url).await.unwrap();
    log.calls.len()
}
