//! The catalogue through the command line, with nodes and the table service as separate processes.

#[expect(dead_code, reason = "the fleet creates its own folder")]
#[path = "support/folder.rs"]
mod folder;
#[path = "support/programs.rs"]
mod programs;

use {
    bilberryfront_harness::fleet::{Fleet, OPERATOR_KEY, catalog},
    bilberryfront_standins::faults::{Faults, Lose, Reject},
    folder::{Outcome, run},
    serde_json::Value,
    std::{fs, time::Duration},
    tokio::time::sleep,
};

/// Time between two polls of a node.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Polls before a test fails because a node did not reach a state.
const MAX_POLLS: u32 = 200;

async fn fleet() -> Fleet {
    let mut fleet = Fleet::new(programs::programs()).unwrap();
    fleet.start_node("node-a", "domain-a").await.unwrap();
    fleet.start_node("node-b", "domain-b").await.unwrap();
    fs::write(fleet.folder().join("key"), OPERATOR_KEY).unwrap();
    write(&fleet, "verify-llm");
    fleet
}

fn write(fleet: &Fleet, engine: &str) {
    let text = catalog(engine, "desk-app").to_string();
    fs::write(fleet.folder().join("catalogue.jsonc"), text).unwrap();
}

fn run_command(fleet: &Fleet, node: usize, args: &[&str]) -> Outcome {
    let node = ["--node", &fleet.nodes[node].operators, "--key-file", "key", "--output", "json"];
    run(fleet.folder(), &[args, &node].concat())
}

/// Applies the file and returns the accepted revision.
fn apply(fleet: &Fleet, node: usize) -> Option<u64> {
    let outcome = run_command(fleet, node, &["catalogue", "apply", "catalogue.jsonc"]);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
    let accepted: Value = serde_json::from_str(&outcome.stdout).unwrap();
    accepted["revision"].as_u64()
}

/// Waits until a revision is in force at a node.
async fn wait_for_revision(fleet: &Fleet, node: usize, revision: u64) {
    for _ in 0..MAX_POLLS {
        let nodes: Value =
            serde_json::from_str(&run_command(fleet, node, &["nodes"]).stdout).unwrap();
        if nodes["revision"].as_u64() == Some(revision) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("revision {revision} did not come into force at node {node} in time");
}

#[tokio::test]
async fn an_applied_catalogue_is_in_force_on_every_node() {
    let fleet = fleet().await;
    assert_eq!(apply(&fleet, 0), Some(1));
    wait_for_revision(&fleet, 1, 1).await;
    write(&fleet, "redactor-lm");
    assert_eq!(apply(&fleet, 1), Some(2));
    wait_for_revision(&fleet, 0, 2).await;
    let outcome = run_command(&fleet, 0, &["catalogue", "diff", "catalogue.jsonc"]);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stdout);
}

/// Guards against a change that is made twice, or reported as failed, when the table service
/// applies it and closes the connection without a reply. The node sends the change again under its
/// apply id.
#[tokio::test]
async fn a_change_with_a_lost_reply_is_accepted_once() {
    let fleet = fleet().await;
    let lose = Lose { effect: true, hang: false, path: "/commit".into(), once: true };
    let faults = Faults { lose: Some(lose), ..Faults::default() };
    fleet.faults(&fleet.table, &faults).await.unwrap();
    assert_eq!(apply(&fleet, 0), Some(1));
    let history = run_command(&fleet, 1, &["catalogue", "history"]).stdout;
    let past: Value = serde_json::from_str(&history).unwrap();
    assert_eq!(past.as_array().map(Vec::len), Some(1), "{history}");
}

/// Guards against an outage that is reported as another failure: the table service rejects every
/// request, and the command must report that nothing was done. After the outage the same command
/// succeeds.
#[tokio::test]
async fn an_outage_is_reported_and_the_next_attempt_succeeds() {
    let fleet = fleet().await;
    let reject = Reject { status: 503, retry: None, path: "".into(), once: false };
    let faults = Faults { reject: Some(reject), ..Faults::default() };
    fleet.faults(&fleet.table, &faults).await.unwrap();
    let outcome = run_command(&fleet, 0, &["catalogue", "apply", "catalogue.jsonc"]);
    assert_eq!(outcome.code, Some(4));
    assert!(outcome.stderr.contains("nothing was done"), "{}", outcome.stderr);
    fleet.faults(&fleet.table, &Faults::default()).await.unwrap();
    assert_eq!(apply(&fleet, 0), Some(1));
}

/// Guards against an outage that is reported as an unknown outcome when the process of the table
/// service has exited. Connections are refused, so nothing was sent and nothing was done.
#[tokio::test]
async fn a_stopped_table_service_is_reported_as_an_outage() {
    let mut fleet = fleet().await;
    assert_eq!(apply(&fleet, 0), Some(1));
    fleet.table.process.kill();
    let outcome = run_command(&fleet, 0, &["catalogue", "apply", "catalogue.jsonc"]);
    assert_eq!(outcome.code, Some(4));
    assert!(outcome.stderr.contains("nothing was done"), "{}", outcome.stderr);
}
