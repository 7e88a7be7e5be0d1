//! Claims and outcomes of non-idempotent calls, with a table that fails.

#[path = "fakes/table.rs"]
mod table;

use {
    bilberryfront::{
        intents::{
            Call, Claim, Intents, Limits, Permit, answer,
            call::digest,
            sweep::{shard_of, sweep},
        },
        platform::http::PlatformError,
    },
    bilberryfront_decide::{
        id::Incarnation,
        intent::{Answer, Outcome, StoredBody},
    },
    bilberryfront_wire::table::Row,
    futures_util::future::join_all,
    http::HeaderMap,
    std::time::Duration,
    table::{FakeTable, Fault},
    tokio::time::Instant,
};

const LATENCY: Duration = Duration::from_millis(5);
const WAIT: Duration = Duration::from_secs(3);

fn node(table: &FakeTable, incarnation: u64) -> Intents<FakeTable> {
    Intents::start(table.clone(), Incarnation(incarnation), Limits::default())
}

fn call(key: &str) -> Call {
    Call {
        account: "arequipa".into(),
        entry: "libro-horas".into(),
        key: key.into(),
        digest: digest("POST", "/transfers", b"{}"),
    }
}

fn receipt() -> Outcome {
    Outcome::Answer(answer::keep(201, &HeaderMap::new(), b"transfer 7"))
}

fn granted(claim: Claim) -> Permit {
    match claim {
        Claim::Granted(permit) => permit,
        _ => panic!("the claim must be granted"),
    }
}

/// Guards against a second execution of a call: its response is lost, and the caller sends it again
/// to another node. It gets the recorded response, and no second permit is granted.
#[tokio::test(start_paused = true)]
async fn a_retry_at_another_node_gets_the_recorded_response() {
    let table = FakeTable::new(LATENCY);
    let (a, b) = (node(&table, 1), node(&table, 2));
    let mut permit = granted(a.claim(call("k")).await);
    assert!(permit.begin());
    assert!(a.settle(permit, receipt()).await);
    assert!(matches!(b.claim(call("k")).await, Claim::Outcome(o) if o == receipt()));
}

/// Guards against a rejected retry while the first node still waits for the runner. The retry waits
/// at the second node and gets the response that the first one records.
#[tokio::test(start_paused = true)]
async fn a_retry_waits_for_the_owner() {
    let table = FakeTable::new(LATENCY);
    let (a, b) = (node(&table, 1), node(&table, 2));
    let mut permit = granted(a.claim(call("k")).await);
    assert!(permit.begin());
    let owner = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        a.settle(permit, receipt()).await
    };
    let retry = async {
        assert!(
            matches!(b.claim(call("k")).await, Claim::Busy(h) if h.owner.incarnation == Incarnation(1))
        );
        b.wait(&call("k"), WAIT).await
    };
    let (settled, claim) = tokio::join!(owner, retry);
    assert!(settled);
    assert!(matches!(claim, Claim::Outcome(o) if o == receipt()));
}

/// Guards against a second send when the owner of a claim has crashed and never records an outcome.
/// The retry ends as busy after its wait.
#[tokio::test(start_paused = true)]
async fn a_crashed_owner_leaves_the_call_busy() {
    let table = FakeTable::new(LATENCY);
    let (a, b) = (node(&table, 1), node(&table, 2));
    let mut permit = granted(a.claim(call("k")).await);
    assert!(permit.begin());
    assert!(matches!(b.wait(&call("k"), WAIT).await, Claim::Busy(_)));
}

/// Guards against a retry that waits although the owner of the claim crashed long ago.
#[tokio::test(start_paused = true)]
async fn a_retry_does_not_wait_for_an_owner_that_crashed_long_ago() {
    let table = FakeTable::new(LATENCY);
    let digest = call("k").digest;
    let old = serde_json::json!({
        "owner": {"incarnation": 1, "claim": 0}, "generation": 1, "digest": digest, "created": 0,
    });
    table.state().rows.put(Row { key: call("k").row(), revision: 1, value: old.to_string() });
    let start = Instant::now();
    assert!(matches!(node(&table, 2).wait(&call("k"), WAIT).await, Claim::Busy(_)));
    assert!(start.elapsed() < Duration::from_millis(100), "one jittered pause and one read");
}

/// Guards against more than one send when a hundred requests with one key are concurrent at one
/// node.
#[tokio::test(start_paused = true)]
async fn concurrent_requests_get_one_permit() {
    let table = FakeTable::new(LATENCY);
    let a = node(&table, 1);
    let claims = join_all((0..100).map(|_| a.claim(call("k")))).await;
    let permits = claims.iter().filter(|c| matches!(c, Claim::Granted(_))).count();
    assert_eq!(permits, 1);
    assert!(claims.iter().all(|c| matches!(c, Claim::Granted(_) | Claim::Busy(_))));
}

/// Guards against a failed claim when the insert takes effect but its reply is lost. The read-back
/// shows that the row is the node's own.
#[tokio::test(start_paused = true)]
async fn a_lost_reply_is_settled_by_reading_back() {
    let table = FakeTable::new(LATENCY);
    table.state().commit_faults.push_back(Fault::LoseReply);
    let a = node(&table, 1);
    granted(a.claim(call("k")).await);
}

/// Guards against a wrong outcome when the insert is lost. The read-back shows no row, so the
/// outcome is "not run", and the retry is granted.
#[tokio::test(start_paused = true)]
async fn a_lost_insert_is_not_run() {
    let table = FakeTable::new(LATENCY);
    table.state().commit_faults.push_back(Fault::LoseRequest);
    let a = node(&table, 1);
    assert!(matches!(a.claim(call("k")).await, Claim::NotRun(PlatformError::Lost(_))));
    granted(a.claim(call("k")).await);
}

/// Guards against a second send when the insert takes effect, and both its reply and the read-back
/// are lost: the outcome is "unknown". The call was not sent, so a retry at this node is granted
/// the claim; one at another node is not.
#[tokio::test(start_paused = true)]
async fn an_unknown_claim_is_granted_again_at_its_node_only() {
    let table = FakeTable::new(LATENCY);
    table.state().commit_faults.push_back(Fault::LoseReply);
    table.state().read_faults.push_back(Fault::LoseReply);
    let (a, b) = (node(&table, 1), node(&table, 2));
    assert!(matches!(a.claim(call("k")).await, Claim::Unknown));
    assert!(matches!(b.claim(call("k")).await, Claim::Busy(_)));
    let permit = granted(a.claim(call("k")).await);
    assert!(matches!(a.claim(call("k")).await, Claim::Busy(_)));
    drop(permit);
}

/// Guards against a call that stays blocked after no connection to the runner could be opened: the
/// retry at another node is executed.
#[tokio::test(start_paused = true)]
async fn a_call_recorded_as_not_run_may_run_elsewhere() {
    let table = FakeTable::new(LATENCY);
    let (a, b) = (node(&table, 1), node(&table, 2));
    let permit = granted(a.claim(call("k")).await);
    a.settle(permit, Outcome::NotRun).await;
    let mut permit = granted(b.claim(call("k")).await);
    assert!(permit.begin());
    b.settle(permit, receipt()).await;
    assert!(matches!(a.claim(call("k")).await, Claim::Outcome(o) if o == receipt()));
}

/// Guards against a wrong record when the caller disconnects: before the send, the retry is
/// executed; during the send, the outcome is "unknown".
#[tokio::test(start_paused = true)]
async fn a_dropped_permit_records_what_is_known() {
    let table = FakeTable::new(LATENCY);
    let (a, b) = (node(&table, 1), node(&table, 2));
    drop(granted(a.claim(call("unsent")).await));
    let mut permit = granted(a.claim(call("sent")).await);
    assert!(permit.begin());
    drop(permit);
    granted(b.wait(&call("unsent"), WAIT).await);
    assert!(matches!(b.wait(&call("sent"), WAIT).await, Claim::Outcome(Outcome::Unknown)));
}

/// Guards against a key that is used with two bodies. The second call is a mistake of the caller
/// and must neither be executed nor get the response of the first one.
#[tokio::test(start_paused = true)]
async fn a_key_with_another_body_is_a_mismatch() {
    let table = FakeTable::new(LATENCY);
    let a = node(&table, 1);
    let other = Call { digest: digest("POST", "/transfers", b"{\"hours\":2}"), ..call("k") };
    let _permit = granted(a.claim(call("k")).await);
    assert!(matches!(a.claim(other).await, Claim::Mismatch));
}

/// Guards against calls that each wait for a table that hangs. The first call fails after the
/// commit timeout; all others get "not run" at once until a probe finds that the table responds
/// again.
#[tokio::test(start_paused = true)]
async fn calls_are_rejected_at_once_while_the_table_hangs() {
    let table = FakeTable::new(LATENCY);
    table.state().default_fault = Some(Fault::Hang);
    let a = node(&table, 1);
    assert!(matches!(a.claim(call("first")).await, Claim::Unknown));
    let start = Instant::now();
    assert!(matches!(a.claim(call("second")).await, Claim::NotRun(PlatformError::Down(_))));
    assert_eq!(start.elapsed(), Duration::ZERO, "rejected without a wait on the paused clock");
    table.state().default_fault = None;
    tokio::time::sleep(Limits::default().probe).await;
    granted(a.claim(call("third")).await);
    granted(a.claim(call("fourth")).await);
}

/// Guards against a sequence of timeouts for calls that wait behind two hanging commits: they must
/// all get "not run" when the first commit times out.
#[tokio::test(start_paused = true)]
async fn calls_behind_a_hanging_commit_are_rejected_together() {
    let table = FakeTable::new(LATENCY);
    table.state().default_fault = Some(Fault::Hang);
    let limits = Limits { rows: 1, ..Limits::default() };
    let a = Intents::start(table.clone(), Incarnation(1), limits);
    let start = Instant::now();
    let keys: Vec<String> = (0..50).map(|n| n.to_string()).collect();
    let claims = join_all(keys.iter().map(|k| a.claim(call(k)))).await;
    let down = claims.iter().filter(|c| matches!(c, Claim::NotRun(PlatformError::Down(_)))).count();
    assert_eq!(down, 48);
    assert!(
        start.elapsed() <= limits.reply_timeout * 2 + limits.interval,
        "one commit and one read"
    );
}

/// Guards against a wrong "not run" for a retry of a call that this node has sent, while the table
/// is down.
#[tokio::test(start_paused = true)]
async fn a_retry_of_a_sent_call_in_an_outage_is_busy() {
    let table = FakeTable::new(LATENCY);
    let a = node(&table, 1);
    let mut permit = granted(a.claim(call("sent")).await);
    assert!(permit.begin());
    a.settle(permit, receipt()).await;
    a.settle(granted(a.claim(call("unsent")).await), Outcome::NotRun).await;
    table.state().default_fault = Some(Fault::Down);
    assert!(matches!(a.claim(call("sent")).await, Claim::Busy(_)));
    assert!(matches!(a.claim(call("unsent")).await, Claim::NotRun(_)));
    assert!(matches!(a.claim(call("new")).await, Claim::NotRun(_)));
}

/// Guards against an unbounded queue: calls beyond its limit get "not run" at once.
#[tokio::test(start_paused = true)]
async fn calls_beyond_the_queue_limit_are_rejected_at_once() {
    let table = FakeTable::new(LATENCY);
    let limits = Limits { queue: 10, ..Limits::default() };
    let a = Intents::start(table.clone(), Incarnation(1), limits);
    let keys: Vec<String> = (0..30).map(|n| n.to_string()).collect();
    let claims = join_all(keys.iter().map(|k| a.claim(call(k)))).await;
    let down = claims.iter().filter(|c| matches!(c, Claim::NotRun(_))).count();
    assert_eq!((down, a.stats().refused), (20, 20));
}

/// Guards against a stale write after the process was suspended while a claim waited for its
/// commit. The row may belong to another call of the same key and revision by then, so the write
/// must not be sent.
#[tokio::test(start_paused = true)]
async fn a_write_delayed_by_a_suspension_is_rejected() {
    let table = FakeTable::new(LATENCY);
    let a = node(&table, 1);
    granted(a.claim(call("first")).await);
    let suspended = a.clone();
    let claim = tokio::spawn(async move { suspended.claim(call("second")).await });
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
    tokio::time::advance(Duration::from_secs(3600)).await;
    let claim = claim.await.expect("the claim task must not panic");
    assert!(matches!(claim, Claim::NotRun(PlatformError::Down(_))));
    assert!(table.state().rows.get(&call("second").row()).is_none());
}

/// Guards against calls that wait although they would time out: those beyond what the node can
/// write within their timeout get "not run" at once.
#[tokio::test(start_paused = true)]
async fn a_call_that_would_time_out_is_rejected_at_once() {
    let table = FakeTable::new(LATENCY);
    let limits = Limits { rows: 1, timeout: Duration::from_millis(200), ..Limits::default() };
    let a = Intents::start(table.clone(), Incarnation(1), limits);
    let keys: Vec<String> = (0..30).map(|n| n.to_string()).collect();
    let start = Instant::now();
    let refused_after = |k: String| {
        let a = a.clone();
        async move {
            let claim = a.claim(call(&k)).await;
            matches!(claim, Claim::NotRun(_)).then(|| start.elapsed())
        }
    };
    let refused: Vec<Duration> =
        join_all(keys.into_iter().map(refused_after)).await.into_iter().flatten().collect();
    assert_eq!(refused, [Duration::ZERO; 20]);
}

/// Guards against a lost outcome, and a delayed response, when the table fails for ten seconds just
/// after the runner has responded. The outcome is recorded after the outage.
#[tokio::test(start_paused = true)]
async fn an_outcome_is_recorded_after_a_short_outage() {
    let table = FakeTable::new(LATENCY);
    let (a, b) = (node(&table, 1), node(&table, 2));
    let mut permit = granted(a.claim(call("k")).await);
    assert!(permit.begin());
    table.state().default_fault = Some(Fault::Down);
    let start = Instant::now();
    assert!(!a.settle(permit, receipt()).await);
    assert!(start.elapsed() <= Limits::default().reply_timeout);
    tokio::time::sleep(Duration::from_secs(10)).await;
    table.state().default_fault = None;
    // Two attempts are at most three seconds apart.
    assert!(matches!(b.wait(&call("k"), WAIT * 3).await, Claim::Outcome(o) if o == receipt()));
}

/// Guards against endless attempts to record an outcome during a long outage. The node stops and
/// counts the outcome; no retry executes the call again.
#[tokio::test(start_paused = true)]
async fn an_outcome_that_cannot_be_recorded_is_counted() {
    let table = FakeTable::new(LATENCY);
    let (a, b) = (node(&table, 1), node(&table, 2));
    let mut permit = granted(a.claim(call("k")).await);
    assert!(permit.begin());
    table.state().default_fault = Some(Fault::Down);
    assert!(!a.settle(permit, receipt()).await);
    tokio::time::sleep(Duration::from_secs(120)).await;
    assert_eq!(a.unrecorded(), 1);
    table.state().default_fault = None;
    assert!(matches!(b.wait(&call("k"), WAIT).await, Claim::Busy(_)));
}

/// Guards against one commit per write: writes that arrive during a commit share the next one.
#[tokio::test(start_paused = true)]
async fn waiting_writes_share_a_commit() {
    let table = FakeTable::new(LATENCY);
    let a = node(&table, 1);
    let keys: Vec<String> = (0..300).map(|n| n.to_string()).collect();
    join_all(keys.iter().map(|k| a.claim(call(k)))).await;
    let sizes = table.state().commit_sizes.clone();
    assert!(sizes.len() <= 3, "{sizes:?}");
    assert!(sizes.iter().all(|n| *n <= Limits::default().rows));
}

/// Guards against a row that is deleted before the end of its retention, or not after it.
#[tokio::test(start_paused = true)]
async fn old_rows_are_swept() {
    let table = FakeTable::new(LATENCY);
    let a = node(&table, 1);
    let _permit = granted(a.claim(call("k")).await);
    let row = call("k").row();
    let shard = shard_of(&row).expect("the row has a shard");
    let now = std::time::UNIX_EPOCH.elapsed().expect("the clock is after 1970").as_secs();
    let day = 24 * 3600;
    assert_eq!(sweep(&table, shard, now + day - 60).await, Ok(0));
    assert_eq!(sweep(&table, shard + 1, now + day + 60).await, Ok(0));
    assert_eq!(sweep(&table, shard, now + day + 60).await, Ok(1));
    assert!(table.state().rows.is_empty());
}

/// Guards against the deletion of a new claim: a call recorded as not run is claimed again after
/// the sweep has read its old row. Without the claim, a retry would be executed as well.
#[tokio::test(start_paused = true)]
async fn a_row_that_was_claimed_again_is_not_swept() {
    let table = FakeTable::new(LATENCY);
    let row = call("k").row();
    let old = r#"{"owner":{"incarnation":1,"claim":0},"generation":1,"digest":"","created":0}"#;
    table.state().rows.put(Row { key: row.clone(), revision: 2, value: old.into() });
    let claim_again = async {
        tokio::time::sleep(LATENCY).await;
        let new_claim = Row { key: row.clone(), revision: 3, value: "anew".into() };
        table.state().rows.put(new_claim);
    };
    let shard = shard_of(&row).expect("the row has a shard");
    let (swept, ()) = tokio::join!(sweep(&table, shard, u64::MAX), claim_again);
    assert_eq!(swept, Ok(0));
    let kept = table.state().rows.get(&row).cloned();
    assert_eq!(kept, Some(Row { key: row, revision: 3, value: "anew".into() }));
}

#[test]
fn row_keys_have_one_length_and_no_ambiguity() {
    let long = "x".repeat(255);
    assert_eq!(call(&long).row().len(), call("k").row().len());
    let slash = Call { account: "a/b".into(), entry: "c".into(), ..call("k") };
    let other = Call { account: "a".into(), entry: "b/c".into(), ..call("k") };
    assert_ne!(slash.row(), other.row());
    assert_ne!(digest("POST", "/ab", b"c"), digest("POST", "/a", b"bc"));
}

#[test]
fn any_body_up_to_the_bound_is_kept() {
    let kept = |body: &[u8]| answer::keep(200, &HeaderMap::new(), body).body;
    for body in [&b""[..], b"text", &[0xff, 0x00, 0x7f]] {
        assert_eq!(answer::body(&kept(body)).as_deref(), Some(body));
    }
    assert_eq!(kept(&vec![b'x'; answer::BODY_MAX + 1]), StoredBody::Dropped);
    assert_eq!(answer::body(&StoredBody::Hex("zz".into())), None);
    let Answer { headers, .. } = answer::keep(200, &cookie(), b"");
    assert!(headers.is_empty(), "a cookie must not be sent to other callers");
}

fn cookie() -> HeaderMap {
    HeaderMap::from_iter([(http::header::SET_COOKIE, http::HeaderValue::from_static("a=b"))])
}
