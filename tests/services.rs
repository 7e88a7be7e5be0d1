//! Plain services through processes: idempotent requests are retried, non-idempotent ones are
//! executed at most once.

use {
    bilberryfront_harness::{
        caller::Caller,
        fleet::{CALLER_KEY, Fleet, Server, catalog},
        http::{self as api, Answer},
    },
    bilberryfront_standins::{
        faults::{Faults, Lose, Reject},
        service::ServiceLog,
    },
    bilberryfront_wire::problem::{Problem, Run},
    http::{Method, StatusCode},
    std::time::Duration,
    tokio::time::sleep,
};

#[path = "support/programs.rs"]
mod programs;

const ENGINE: &str = "verify-llm";
const SERVICE: &str = "desk-app";
const BODY: &[u8] = br#"{"claim": 7, "correction": "the bridge opened in 1932"}"#;

async fn fleet(services: &[&str]) -> Fleet {
    let mut fleet = Fleet::new(programs::programs()).unwrap();
    for name in services {
        fleet.start("service", name, &["--entry", SERVICE]).unwrap();
    }
    fleet.apply(1, &catalog(ENGINE, SERVICE)).await.unwrap();
    for name in ["node-a", "node-b"] {
        fleet.start_node(name, "domain-a").await.unwrap();
    }
    fleet.ready().await.unwrap();
    fleet
}

async fn post(fleet: &Fleet, node: usize, key: Option<&str>, body: &[u8]) -> Answer {
    let path = format!("{SERVICE}/corrections");
    let caller = Caller::new(CALLER_KEY);
    let node = &fleet.nodes[node].server.url;
    caller.service(node, Method::POST, &path, key, body.to_vec()).await.unwrap()
}

async fn executed_count(fleet: &Fleet) -> usize {
    let mut total = 0;
    for service in &fleet.runners {
        let url = format!("{}/admin/log", service.url);
        let log: ServiceLog = api::get(fleet.client(), &url).await.unwrap();
        total += log.executed.iter().filter(|e| e.method == "POST").count();
    }
    total
}

async fn lose_posts(fleet: &Fleet, server: &Server, path: &str, effect: bool, once: bool) {
    let lose = Lose { effect, hang: false, path: path.into(), once };
    fleet.faults(server, &Faults { lose: Some(lose), ..Faults::default() }).await.unwrap();
}

fn problem(answer: &Answer) -> Problem {
    answer.json().unwrap()
}

/// Guards against a double execution: the caller posts one correction twice with one key, to two
/// nodes concurrently. It is executed once, and both requests get its response.
#[tokio::test]
async fn concurrent_posts_are_executed_once() {
    let fleet = fleet(&["app-a", "app-b"]).await;
    for round in 0..10 {
        let key = format!("correction-{round}");
        let (one, two) =
            tokio::join!(post(&fleet, 0, Some(&key), BODY), post(&fleet, 1, Some(&key), BODY));
        assert_eq!((one.status, two.status), (StatusCode::OK, StatusCode::OK));
        assert_eq!(one.body, two.body);
        assert_eq!(executed_count(&fleet).await, round + 1);
    }
}

/// Guards against a second execution after a lost response: the service executed the correction and
/// closed the connection, the caller gets `unknown`, and a retry with the same key is not executed
/// at either node.
#[tokio::test]
async fn lost_response_is_unknown() {
    let fleet = fleet(&["app-a"]).await;
    lose_posts(&fleet, &fleet.runners[0], "/corrections", true, true).await;
    let first = problem(&post(&fleet, 0, Some("k"), BODY).await);
    assert_eq!(first.run, Run::Unknown);
    for node in [0, 1] {
        assert_eq!(problem(&post(&fleet, node, Some("k"), BODY).await).run, Run::Unknown);
    }
    assert_eq!(executed_count(&fleet).await, 1);
}

/// Guards against calls that reach the service, or wait, while the table service is down: they are
/// rejected at once with `not_run` and `Retry-After`. After the outage the same key is executed
/// once.
#[tokio::test]
async fn calls_are_rejected_at_once_while_the_table_is_down() {
    let fleet = fleet(&["app-a"]).await;
    let reject = Some(Reject { status: 503, retry: None, path: "".into(), once: false });
    fleet.faults(&fleet.table, &Faults { reject, ..Faults::default() }).await.unwrap();
    for _ in 0..3 {
        let answer = post(&fleet, 0, Some("k"), BODY).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers.contains_key("retry-after"));
        assert_eq!(problem(&answer).run, Run::NotRun);
    }
    assert_eq!(executed_count(&fleet).await, 0);
    fleet.faults(&fleet.table, &Faults::default()).await.unwrap();
    retry_until_executed(&fleet, "k").await;
    assert_eq!(executed_count(&fleet).await, 1);
}

async fn retry_until_executed(fleet: &Fleet, key: &str) {
    for _ in 0..100 {
        if post(fleet, 0, Some(key), BODY).await.status == StatusCode::OK {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("the call was still rejected after 100 attempts")
}

/// Guards against a rejected call when the reply to its claim was lost after the claim took effect:
/// the node reads the claim back and recognizes it as its own.
#[tokio::test]
async fn lost_claim_is_read_back() {
    let fleet = fleet(&["app-a"]).await;
    lose_posts(&fleet, &fleet.table, "/commit", true, true).await;
    assert_eq!(post(&fleet, 0, Some("k"), BODY).await.status, StatusCode::OK);
    assert_eq!(post(&fleet, 1, Some("k"), BODY).await.status, StatusCode::OK);
    assert_eq!(executed_count(&fleet).await, 1);
}

/// Guards against a failed call when one of two services has crashed and is still listed: no
/// connection was opened, so the call was not executed and is sent to the other one.
#[tokio::test]
async fn crashed_service_is_skipped() {
    let mut fleet = fleet(&["app-a", "app-b"]).await;
    fleet.runners[0].process.kill();
    for round in 0..4 {
        let key = format!("k{round}");
        assert_eq!(post(&fleet, 0, Some(&key), BODY).await.status, StatusCode::OK);
    }
    let url = format!("{}/admin/log", fleet.runners[1].url);
    let log: ServiceLog = api::get(fleet.client(), &url).await.unwrap();
    assert_eq!(log.executed.len(), 4);
}

/// Guards against a second execution after the last service has left: a retry must get the recorded
/// response, because after "not run" the caller would post the correction as a new call. A call
/// that was never made is "not run".
#[tokio::test]
async fn retry_without_a_service_gets_the_recorded_response() {
    let fleet = fleet(&["app-a"]).await;
    let first = post(&fleet, 0, Some("k"), BODY).await;
    assert_eq!(first.status, StatusCode::OK);
    wait_until_recorded(&fleet, "k").await;
    let leave = format!("{}/instances/app-a/leave", fleet.list.url);
    api::post(fleet.client(), &leave, &()).await.unwrap();
    while get(&fleet, 1).await.status == StatusCode::OK {
        sleep(Duration::from_millis(20)).await;
    }
    let again = post(&fleet, 1, Some("k"), BODY).await;
    assert_eq!((again.status, &again.body), (StatusCode::OK, &first.body));
    assert_eq!(problem(&post(&fleet, 1, Some("new"), BODY).await).run, Run::NotRun);
    assert_eq!(executed_count(&fleet).await, 1);
}

/// Waits until the response is recorded, which happens after it is sent to the caller.
async fn wait_until_recorded(fleet: &Fleet, key: &str) {
    while post(fleet, 1, Some(key), BODY).await.status != StatusCode::OK {
        sleep(Duration::from_millis(20)).await;
    }
}

async fn get(fleet: &Fleet, node: usize) -> Answer {
    let path = format!("{SERVICE}/corrections");
    let node = &fleet.nodes[node].server.url;
    let caller = Caller::new(CALLER_KEY);
    caller.service(node, Method::GET, &path, None, Vec::new()).await.unwrap()
}

/// Guards against invalid calls that are executed or rejected without the reason.
#[tokio::test]
async fn invalid_calls_are_rejected() {
    let fleet = fleet(&["app-a"]).await;
    let missing = post(&fleet, 0, None, BODY).await;
    assert_eq!(missing.status, StatusCode::BAD_REQUEST);
    assert!(problem(&missing).detail.contains("Idempotency-Key"));
    assert_eq!(executed_count(&fleet).await, 0);

    assert_eq!(post(&fleet, 0, Some("k"), BODY).await.status, StatusCode::OK);
    let other = post(&fleet, 1, Some("k"), b"another body").await;
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(problem(&other).run, Run::NotRun);
    assert_eq!(executed_count(&fleet).await, 1);
}

/// Guards against an idempotent request that fails because the first service drops the connection.
#[tokio::test]
async fn idempotent_requests_are_retried() {
    let fleet = fleet(&["app-a", "app-b"]).await;
    assert_eq!(post(&fleet, 0, Some("k"), BODY).await.status, StatusCode::OK);
    for service in &fleet.runners {
        lose_posts(&fleet, service, "/corrections", false, true).await;
    }
    assert_eq!(get(&fleet, 0).await.status, StatusCode::OK);
}
