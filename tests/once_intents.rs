//! Claims and outcomes of non-idempotent calls over a table that fails.

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
const PATIENCE: Duration = Duration::from_secs(3);

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

fn mine(claim: Claim) -> Permit {
    match claim {
        Claim::Granted(permit) => permit,
        _ => panic!("the claim must be granted"),
    }
}

/// A coordinator's kiosk posts a transfer, loses the answer and posts it again at another node. It
/// gets the first answer; no second permit is given.
#[tokio::test(start_paused = true)]
async fn a_retry_elsewhere_gets_the_recorded_answer() {
    let table = FakeTable::new(LATENCY);
    let (a, b) = (node(&table, 1), node(&table, 2));
    let mut permit = mine(a.claim(call("k")).await);
    assert!(permit.begin());
    assert!(a.settle(permit, receipt()).await);
    assert!(matches!(b.claim(call("k")).await, Claim::Outcome(o) if o == receipt()));
}

/// The retry comes while the first node still waits for the runner. It waits at the second node
/// and gets the answer that the first one records.
#[tokio::test(start_paused = true)]
async fn a_retry_waits_for_the_owner() {
    let table = FakeTable::new(LATENCY);
    let (a, b) = (node(&table, 1), node(&table, 2));
    let mut permit = mine(a.claim(call("k")).await);
    assert!(permit.begin());
    let owner = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        a.settle(permit, receipt()).await
    };
    let retry = async {
        assert!(
            matches!(b.claim(call("k")).await, Claim::Busy(h) if h.owner.incarnation == Incarnation(1))
        );
        b.wait(&call("k"), PATIENCE).await
    };
    let (settled, claim) = tokio::join!(owner, retry);
    assert!(settled);
    assert!(matches!(claim, Claim::Outcome(o) if o == receipt()));
}

/// The owner died and never says what came of the call. The retry hears so when its patience ends
/// and no one sends the call again.
#[tokio::test(start_paused = true)]
async fn a_silent_owner_leaves_the_call_busy() {
    let table = FakeTable::new(LATENCY);
    let (a, b) = (node(&table, 1), node(&table, 2));
    let mut permit = mine(a.claim(call("k")).await);
    assert!(permit.begin());
    assert!(matches!(b.wait(&call("k"), PATIENCE).await, Claim::Busy(_)));
}

/// The owner died long ago. The retry must hear so at once and not after the patience of a call.
#[tokio::test(start_paused = true)]
async fn a_long_silent_owner_is_not_waited_for() {
    let table = FakeTable::new(LATENCY);
    let digest = call("k").digest;
    let old = serde_json::json!({
        "owner": {"incarnation": 1, "claim": 0}, "generation": 1, "digest": digest, "created": 0,
    });
    table.state().rows.put(Row { key: call("k").row(), revision: 1, value: old.to_string() });
    let asked = Instant::now();
    assert!(matches!(node(&table, 2).wait(&call("k"), PATIENCE).await, Claim::Busy(_)));
    assert!(asked.elapsed() < Duration::from_millis(100), "one jittered pause and one look");
}

/// A hundred requests with one key meet at one node. One may send.
#[tokio::test(start_paused = true)]
async fn requests_that_meet_get_one_permit() {
    let table = FakeTable::new(LATENCY);
    let a = node(&table, 1);
    let claims = join_all((0..100).map(|_| a.claim(call("k")))).await;
    let permits = claims.iter().filter(|c| matches!(c, Claim::Granted(_))).count();
    assert_eq!(permits, 1);
    assert!(claims.iter().all(|c| matches!(c, Claim::Granted(_) | Claim::Busy(_))));
}

/// The insert takes effect but its reply is lost. The read-back shows the row to be ours.
#[tokio::test(start_paused = true)]
async fn a_lost_reply_is_settled_by_reading_back() {
    let table = FakeTable::new(LATENCY);
    table.state().commit_faults.push_back(Fault::LoseReply);
    let a = node(&table, 1);
    mine(a.claim(call("k")).await);
}

/// The insert never got there, and the read-back shows no row: the caller hears "not run". The
/// retry runs.
#[tokio::test(start_paused = true)]
async fn a_lost_insert_is_not_run() {
    let table = FakeTable::new(LATENCY);
    table.state().commit_faults.push_back(Fault::LoseRequest);
    let a = node(&table, 1);
    assert!(matches!(a.claim(call("k")).await, Claim::NotRun(PlatformError::Lost(_))));
    mine(a.claim(call("k")).await);
}

/// The insert takes effect, and both its reply and the read-back are lost: the caller hears that
/// it isn't known. Nobody sent it, so the retry at this node takes it over; one elsewhere can't.
#[tokio::test(start_paused = true)]
async fn an_unclear_claim_is_taken_over_at_its_node_only() {
    let table = FakeTable::new(LATENCY);
    table.state().commit_faults.push_back(Fault::LoseReply);
    table.state().read_faults.push_back(Fault::LoseReply);
    let (a, b) = (node(&table, 1), node(&table, 2));
    assert!(matches!(a.claim(call("k")).await, Claim::Unknown));
    assert!(matches!(b.claim(call("k")).await, Claim::Busy(_)));
    let permit = mine(a.claim(call("k")).await);
    assert!(matches!(a.claim(call("k")).await, Claim::Busy(_)));
    drop(permit);
}

/// No connection to the runner could be made. The retry at another node runs.
#[tokio::test(start_paused = true)]
async fn a_call_recorded_as_not_run_may_run_elsewhere() {
    let table = FakeTable::new(LATENCY);
    let (a, b) = (node(&table, 1), node(&table, 2));
    let permit = mine(a.claim(call("k")).await);
    a.settle(permit, Outcome::NotRun).await;
    let mut permit = mine(b.claim(call("k")).await);
    assert!(permit.begin());
    b.settle(permit, receipt()).await;
    assert!(matches!(a.claim(call("k")).await, Claim::Outcome(o) if o == receipt()));
}

/// A caller leaves before its call is sent: the retry runs. Another leaves while it is sent: the
/// retry hears "unknown".
#[tokio::test(start_paused = true)]
async fn a_dropped_permit_records_what_is_known() {
    let table = FakeTable::new(LATENCY);
    let (a, b) = (node(&table, 1), node(&table, 2));
    drop(mine(a.claim(call("unsent")).await));
    let mut permit = mine(a.claim(call("sent")).await);
    assert!(permit.begin());
    drop(permit);
    mine(b.wait(&call("unsent"), PATIENCE).await);
    assert!(matches!(b.wait(&call("sent"), PATIENCE).await, Claim::Outcome(Outcome::Unknown)));
}

/// One key, two bodies: the second call is a caller's mistake, and must neither run nor get the
/// first one's answer.
#[tokio::test(start_paused = true)]
async fn a_key_with_another_body_is_a_mismatch() {
    let table = FakeTable::new(LATENCY);
    let a = node(&table, 1);
    let other = Call { digest: digest("POST", "/transfers", b"{\"hours\":2}"), ..call("k") };
    let _permit = mine(a.claim(call("k")).await);
    assert!(matches!(a.claim(other).await, Claim::Mismatch));
}

/// The table hangs. The first call hears of it after the bound on one commit; while it hangs, every
/// other hears "not run" at once, and when it is back a probe finds out.
#[tokio::test(start_paused = true)]
async fn a_hanging_table_refuses_at_once() {
    let table = FakeTable::new(LATENCY);
    table.state().default_fault = Some(Fault::Hang);
    let a = node(&table, 1);
    assert!(matches!(a.claim(call("first")).await, Claim::Unknown));
    let asked = Instant::now();
    assert!(matches!(a.claim(call("second")).await, Claim::NotRun(PlatformError::Down(_))));
    assert_eq!(asked.elapsed(), Duration::ZERO, "on the paused clock, at once is no time at all");
    table.state().default_fault = None;
    tokio::time::sleep(Limits::default().probe).await;
    mine(a.claim(call("third")).await);
    mine(a.claim(call("fourth")).await);
}

/// Calls wait behind two commits that hang. They must hear "not run" when the first one is given
/// up, not one timeout after the other.
#[tokio::test(start_paused = true)]
async fn what_waits_behind_a_hanging_commit_is_refused() {
    let table = FakeTable::new(LATENCY);
    table.state().default_fault = Some(Fault::Hang);
    let limits = Limits { rows: 1, ..Limits::default() };
    let a = Intents::start(table.clone(), Incarnation(1), limits);
    let asked = Instant::now();
    let keys: Vec<String> = (0..50).map(|n| n.to_string()).collect();
    let claims = join_all(keys.iter().map(|k| a.claim(call(k)))).await;
    let down = claims.iter().filter(|c| matches!(c, Claim::NotRun(PlatformError::Down(_)))).count();
    assert_eq!(down, 48);
    assert!(
        asked.elapsed() <= limits.reply_timeout * 2 + limits.interval,
        "one commit and one read"
    );
}

/// A node has sent a call and the table goes down. The retry at this node must not hear "not run".
#[tokio::test(start_paused = true)]
async fn a_retry_in_an_outage_is_not_called_not_run() {
    let table = FakeTable::new(LATENCY);
    let a = node(&table, 1);
    let mut permit = mine(a.claim(call("sent")).await);
    assert!(permit.begin());
    a.settle(permit, receipt()).await;
    a.settle(mine(a.claim(call("unsent")).await), Outcome::NotRun).await;
    table.state().default_fault = Some(Fault::Down);
    assert!(matches!(a.claim(call("sent")).await, Claim::Busy(_)));
    assert!(matches!(a.claim(call("unsent")).await, Claim::NotRun(_)));
    assert!(matches!(a.claim(call("new")).await, Claim::NotRun(_)));
}

/// More calls come than may wait: the surplus hears "not run" at once.
#[tokio::test(start_paused = true)]
async fn a_full_queue_refuses_at_once() {
    let table = FakeTable::new(LATENCY);
    let limits = Limits { queue: 10, ..Limits::default() };
    let a = Intents::start(table.clone(), Incarnation(1), limits);
    let keys: Vec<String> = (0..30).map(|n| n.to_string()).collect();
    let claims = join_all(keys.iter().map(|k| a.claim(call(k)))).await;
    let down = claims.iter().filter(|c| matches!(c, Claim::NotRun(_))).count();
    assert_eq!((down, a.stats().refused), (20, 20));
}

/// A node is stopped while a claim waits for its commit. When it wakes, the row may belong to
/// another call of the same key and revision, so the write must not leave.
#[tokio::test(start_paused = true)]
async fn a_write_that_slept_is_refused() {
    let table = FakeTable::new(LATENCY);
    let a = node(&table, 1);
    mine(a.claim(call("first")).await);
    let sleeper = a.clone();
    let claim = tokio::spawn(async move { sleeper.claim(call("second")).await });
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
    tokio::time::advance(Duration::from_secs(3600)).await;
    let claim = claim.await.expect("a claim doesn't panic");
    assert!(matches!(claim, Claim::NotRun(PlatformError::Down(_))));
    assert!(table.state().rows.get(&call("second").row()).is_none());
}

/// More calls come than the node's share of writes takes within their patience: the surplus hears
/// "not run" at once and not after a wait in vain.
#[tokio::test(start_paused = true)]
async fn a_call_that_would_wait_in_vain_is_refused_at_once() {
    let table = FakeTable::new(LATENCY);
    let limits = Limits { rows: 1, timeout: Duration::from_millis(200), ..Limits::default() };
    let a = Intents::start(table.clone(), Incarnation(1), limits);
    let keys: Vec<String> = (0..30).map(|n| n.to_string()).collect();
    let asked = Instant::now();
    let refused_after = |k: String| {
        let a = a.clone();
        async move {
            let claim = a.claim(call(&k)).await;
            matches!(claim, Claim::NotRun(_)).then(|| asked.elapsed())
        }
    };
    let refused: Vec<Duration> =
        join_all(keys.into_iter().map(refused_after)).await.into_iter().flatten().collect();
    assert_eq!(refused, [Duration::ZERO; 20]);
}

/// The table fails for ten seconds just when the runner has answered. The caller's answer doesn't
/// wait for that, and the outcome is recorded when the table is back.
#[tokio::test(start_paused = true)]
async fn an_outcome_outlasts_a_short_outage() {
    let table = FakeTable::new(LATENCY);
    let (a, b) = (node(&table, 1), node(&table, 2));
    let mut permit = mine(a.claim(call("k")).await);
    assert!(permit.begin());
    table.state().default_fault = Some(Fault::Down);
    let asked = Instant::now();
    assert!(!a.settle(permit, receipt()).await);
    assert!(asked.elapsed() <= Limits::default().reply_timeout);
    tokio::time::sleep(Duration::from_secs(10)).await;
    table.state().default_fault = None;
    // Two tries are at most three seconds apart.
    assert!(matches!(b.wait(&call("k"), PATIENCE * 3).await, Claim::Outcome(o) if o == receipt()));
}

/// The outage lasts. The node stops trying and counts it; no retry runs the call again.
#[tokio::test(start_paused = true)]
async fn an_outcome_that_cannot_be_recorded_is_counted() {
    let table = FakeTable::new(LATENCY);
    let (a, b) = (node(&table, 1), node(&table, 2));
    let mut permit = mine(a.claim(call("k")).await);
    assert!(permit.begin());
    table.state().default_fault = Some(Fault::Down);
    assert!(!a.settle(permit, receipt()).await);
    tokio::time::sleep(Duration::from_secs(120)).await;
    assert_eq!(a.unrecorded(), 1);
    table.state().default_fault = None;
    assert!(matches!(b.wait(&call("k"), PATIENCE).await, Claim::Busy(_)));
}

/// What comes while a commit is under way goes with the next one.
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

/// A row is swept after its retention and not before.
#[tokio::test(start_paused = true)]
async fn old_rows_are_swept() {
    let table = FakeTable::new(LATENCY);
    let a = node(&table, 1);
    let _permit = mine(a.claim(call("k")).await);
    let row = call("k").row();
    let shard = shard_of(&row).expect("the row has a shard");
    let now = std::time::UNIX_EPOCH.elapsed().expect("a clock after 1970").as_secs();
    let day = 24 * 3600;
    assert_eq!(sweep(&table, shard, now + day - 60).await, Ok(0));
    assert_eq!(sweep(&table, shard + 1, now + day + 60).await, Ok(0));
    assert_eq!(sweep(&table, shard, now + day + 60).await, Ok(1));
    assert!(table.state().rows.is_empty());
}

/// A call recorded as not run is claimed anew after the sweeper has read its old row. The sweeper
/// must not delete the new claim, or a retry would run beside it.
#[tokio::test(start_paused = true)]
async fn a_row_claimed_anew_is_not_swept() {
    let table = FakeTable::new(LATENCY);
    let row = call("k").row();
    let old = r#"{"owner":{"incarnation":1,"claim":0},"generation":1,"digest":"","created":0}"#;
    table.state().rows.put(Row { key: row.clone(), revision: 2, value: old.into() });
    let claim_anew = async {
        tokio::time::sleep(LATENCY).await;
        let anew = Row { key: row.clone(), revision: 3, value: "anew".into() };
        table.state().rows.put(anew);
    };
    let shard = shard_of(&row).expect("the row has a shard");
    let (swept, ()) = tokio::join!(sweep(&table, shard, u64::MAX), claim_anew);
    assert_eq!(swept, Ok(0));
    let kept = table.state().rows.get(&row).cloned();
    assert_eq!(kept, Some(Row { key: row, revision: 3, value: "anew".into() }));
}

#[test]
fn rows_have_one_length_and_no_ambiguity() {
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
    assert!(headers.is_empty(), "a cookie is not for the next caller");
}

fn cookie() -> HeaderMap {
    HeaderMap::from_iter([(http::header::SET_COOKIE, http::HeaderValue::from_static("a=b"))])
}
