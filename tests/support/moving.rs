//! Two nodes, runners of two versions, clients that send requests continuously, and operator
//! commands.

use {
    crate::folder::{Outcome, run},
    bilberryfront_harness::{
        caller::Caller,
        fleet::{CALLER_KEY, Fleet, OPERATOR_KEY, catalog},
        http,
    },
    bilberryfront_standins::{
        runner::RunnerLog,
        text::{Answer, Sampling},
    },
    bilberryfront_wire::completion::CompletionRequest,
    serde_json::{Value, json},
    std::{
        fs,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Entry that is moved between versions.
pub(crate) const ENTRY: &str = "verify-llm";
/// Tokens in each completion.
const TOKENS: u32 = 20;
/// Number of concurrent clients.
const CLIENTS: u64 = 8;
/// Pause of a client between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two polls of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Polls before a test fails because a state was not reached.
const MAX_POLLS: u32 = 500;

/// Starts two runners of each version and two nodes, with the catalogue at `v1`.
pub(crate) async fn fleet() -> Fleet {
    let mut fleet = Fleet::new(crate::programs::programs()).unwrap();
    let tokens = TOKENS.to_string();
    for (name, version) in [("old-a", "v1"), ("old-b", "v1"), ("new-a", "v2"), ("new-b", "v2")] {
        let args = ["--entry", ENTRY, "--version", version, "--answer-tokens", &tokens];
        fleet.start("runner", name, &[&args[..], &["--token-ms", "1"]].concat()).unwrap();
    }
    let mut catalog = catalog(ENTRY, "desk-app");
    catalog["entries"][0]["versions"] = json!(["v1", "v2"]);
    fleet.apply(1, &catalog).await.unwrap();
    for name in ["node-a", "node-b"] {
        fleet.start_node(name, "domain-a").await.unwrap();
    }
    fleet.ready().await.unwrap();
    fs::write(fleet.folder().join("key"), OPERATOR_KEY).unwrap();
    wait_for_move_rows(&fleet).await;
    fleet
}

/// Waits until the nodes have read the rows of moves: from then on a start with a deadline this
/// short is rejected because of the deadline (exit code 3).
async fn wait_for_move_rows(fleet: &Fleet) {
    for node in 0..fleet.nodes.len() {
        while start(fleet, node, &["--by", "1s"]).code != Some(3) {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Runs an operator command against a node.
pub(crate) fn run_command(fleet: &Fleet, node: usize, args: &[&str]) -> Outcome {
    let node = ["--node", &fleet.nodes[node].operators, "--key-file", "key"];
    run(fleet.folder(), &[args, &node].concat())
}

/// Runs an operator command that must succeed, and returns its JSON output.
pub(crate) fn run_for_json(fleet: &Fleet, node: usize, args: &[&str]) -> Value {
    let outcome = run_command(fleet, node, &[args, &["--output", "json"]].concat());
    assert_eq!(outcome.code, Some(0), "{args:?}: {}", outcome.stderr);
    serde_json::from_str(&outcome.stdout).unwrap()
}

/// Returns a node's report of the entry's latest move.
pub(crate) fn status(fleet: &Fleet, node: usize) -> Value {
    run_for_json(fleet, node, &["move", "status", ENTRY])
}

/// Starts a move through a node.
pub(crate) fn start(fleet: &Fleet, node: usize, args: &[&str]) -> Outcome {
    let start = ["move", "start", "--entry", ENTRY, "--to", "v2"];
    run_command(fleet, node, &[&start[..], args].concat())
}

/// Polls a node's report of the entry's latest move until it satisfies `wanted`; returns that
/// report.
pub(crate) async fn wait_for_report(
    fleet: &Fleet,
    node: usize,
    wanted: impl Fn(&Value) -> bool,
) -> Value {
    let mut last = Value::Null;
    for _ in 0..MAX_POLLS {
        let outcome = run_command(fleet, node, &["move", "status", ENTRY, "--output", "json"]);
        last = serde_json::from_str(&outcome.stdout).unwrap_or_default();
        if wanted(&last) {
            return last;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("node {node} did not reach the expected state; last report: {last:#}")
}

/// Returns the number of requests that the new version's runners have received.
pub(crate) async fn requests_to_new_version(fleet: &Fleet) -> usize {
    let mut calls = 0;
    for runner in fleet.runners.iter().filter(|r| r.name.starts_with("new")) {
        let url = format!("{}/admin/log", runner.url);
        let log: RunnerLog = http::get(fleet.client(), &url).await.unwrap();
        calls += log.calls.len();
    }
    calls
}

/// Clients that send streamed requests one after the other, to both nodes.
pub(crate) struct Load {
    callers: JoinSet<()>,
    complete: Arc<AtomicU64>,
}

impl Load {
    /// Starts the clients. A response that is not the complete one of a single version fails the
    /// test at the next check, at the latest when the load is stopped.
    pub(crate) fn start(fleet: &Fleet) -> Load {
        let complete = Arc::new(AtomicU64::new(0));
        let mut callers = JoinSet::new();
        for caller in 0..CLIENTS {
            let mut nodes = fleet.urls();
            let first = caller as usize % nodes.len();
            nodes.rotate_left(first);
            callers.spawn(send_requests(caller, nodes, complete.clone()));
        }
        Load { callers, complete }
    }

    /// Waits for this many more complete responses.
    pub(crate) async fn wait_for_responses(&mut self, count: u64) {
        let target = self.complete.load(Ordering::Relaxed) + count;
        while self.complete.load(Ordering::Relaxed) < target {
            self.check();
            sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Stops the clients; returns the number of complete responses.
    pub(crate) async fn stop(mut self) -> u64 {
        self.check();
        self.callers.shutdown().await;
        self.complete.load(Ordering::Relaxed)
    }

    /// Fails the test if a client has ended: a client ends only after a wrong response.
    fn check(&mut self) {
        if let Some(ended) = self.callers.try_join_next() {
            ended.unwrap();
        }
    }
}

async fn send_requests(caller: u64, nodes: Vec<String>, complete: Arc<AtomicU64>) {
    let client = Caller::new(CALLER_KEY);
    for turn in 0_u64.. {
        let prompt = format!("Caller {caller} asks for the {turn}th time.");
        let request = CompletionRequest {
            model: ENTRY.into(),
            prompt: prompt.clone(),
            max_tokens: None,
            stream: true,
            resume: None,
        };
        let received = client.stream(&nodes, &request, |_| {}).await.unwrap();
        let expected = ["v1", "v2"].map(|version| {
            Answer::new(version, &prompt, Sampling::Same, Some(TOKENS)).text(TOKENS)
        });
        assert!(received.is_whole() && expected.contains(&received.text), "{received:?}");
        complete.fetch_add(1, Ordering::Relaxed);
        sleep(REQUEST_INTERVAL).await;
    }
}

/// Returns the state in a report.
pub(crate) fn state(report: &Value) -> &str {
    report["state"].as_str().unwrap_or_default()
}

/// Returns the entry's version in the catalogue that a node reports.
pub(crate) fn version(fleet: &Fleet, node: usize) -> Value {
    run_for_json(fleet, node, &["catalogue", "get"])["catalogue"]["entries"][0]["version"].clone()
}
