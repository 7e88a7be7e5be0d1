//! Conditional writes and faults of the stand-in table.

use {
    crate::client::{ANY, get, post, post_json},
    bilberryfront_standins::{
        faults::{Faults, Lose, Reject},
        server::Handle,
        table::{Counts, Table},
    },
    bilberryfront_wire::table::{Commit, Committed, Read, Rows, Scan, Write, Written},
    http::StatusCode,
};

fn write(key: &str, expect: Option<u64>, value: Option<&str>) -> Write {
    Write { key: key.into(), expect, value: value.map(String::from) }
}

async fn commit(table: &Handle, atomic: bool, writes: Vec<Write>) -> Vec<Written> {
    let commit = Commit { atomic, writes };
    post_json::<Committed>(&format!("{}/commit", table.url()), &commit).await.results
}

async fn values(table: &Handle, keys: &[&str]) -> Vec<String> {
    let read = Read { keys: keys.iter().map(|key| (*key).into()).collect() };
    let rows: Rows = post_json(&format!("{}/read", table.url()), &read).await;
    rows.rows.into_iter().map(|row| row.value).collect()
}

#[tokio::test]
async fn writes_conditionally() {
    let table = Table::start(ANY).await.unwrap();
    let insert = || vec![write("a", Some(0), Some("first"))];
    assert_eq!(commit(&table, false, insert()).await, [Written::Done(1)]);
    assert_eq!(commit(&table, false, insert()).await, [Written::Conflict(1)]);
    let update = vec![write("a", Some(1), Some("second")), write("b", None, Some("other"))];
    assert_eq!(commit(&table, false, update).await, [Written::Done(2), Written::Done(1)]);
    let delete = vec![write("a", Some(2), None)];
    assert_eq!(commit(&table, false, delete).await, [Written::Done(0)]);
    assert_eq!(values(&table, &["a", "b"]).await, ["other"]);
    assert_eq!(commit(&table, false, insert()).await, [Written::Done(1)]);
}

#[tokio::test]
async fn atomic_commits_apply_all_writes_or_none() {
    let table = Table::start(ANY).await.unwrap();
    commit(&table, false, vec![write("a", None, Some("x"))]).await;
    let mixed = || vec![write("b", Some(0), Some("y")), write("a", Some(0), Some("z"))];
    assert_eq!(commit(&table, true, mixed()).await, [Written::Aborted, Written::Conflict(1)]);
    assert_eq!(values(&table, &["a", "b"]).await, ["x"]);
    assert_eq!(commit(&table, false, mixed()).await, [Written::Done(1), Written::Conflict(1)]);
    assert_eq!(values(&table, &["a", "b"]).await, ["x", "y"]);
}

#[tokio::test]
async fn scans_a_prefix_in_key_order() {
    let table = Table::start(ANY).await.unwrap();
    let keys = ["b/2", "a/1", "b/1", "c/1", "b/3"];
    commit(&table, true, keys.iter().map(|key| write(key, None, Some(key))).collect()).await;
    let scan = Scan { prefix: "b/".into(), limit: 2 };
    let rows: Rows = post_json(&format!("{}/scan", table.url()), &scan).await;
    let keys: Vec<_> = rows.rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["b/1", "b/2"]);
}

/// The connection closes without a response although the insert was applied. A repeated insert
/// conflicts with the row that the first one created.
#[tokio::test]
async fn commit_is_applied_although_its_response_is_lost() {
    let table = Table::start(ANY).await.unwrap();
    let lose = Lose { effect: true, hang: false, path: "/commit".into(), once: true };
    table.faults.set(Faults { lose: Some(lose), ..Faults::default() });
    let insert = || vec![write("a", Some(0), Some("mine"))];
    let body = Commit { atomic: false, writes: insert() };
    assert!(post(&format!("{}/commit", table.url()), &body).await.is_none());
    assert_eq!(values(&table, &["a"]).await, ["mine"]);
    assert_eq!(commit(&table, false, insert()).await, [Written::Conflict(1)]);
    let counts: Counts = get(&format!("{}/admin/counts", table.url())).await;
    assert_eq!(counts, Counts { commits: 2, writes: 1, reads: 1, rows: 1 });
}

/// While the service is down, commits are rejected with 503 and not applied.
#[tokio::test]
async fn rejects_commits_while_down() {
    let table = Table::start(ANY).await.unwrap();
    let reject = Reject { status: 503, retry: None, path: "".into(), once: false };
    table.faults.set(Faults { reject: Some(reject), ..Faults::default() });
    let body = Commit { atomic: false, writes: vec![write("a", None, Some("x"))] };
    let response = post(&format!("{}/commit", table.url()), &body).await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    table.faults.set(Faults::default());
    assert!(values(&table, &["a"]).await.is_empty());
}
