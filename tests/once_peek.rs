//! Responses to calls while no runner is available.

#[expect(dead_code, reason = "other tests use more faults")]
#[path = "fakes/table.rs"]
mod table;

use {
    bilberryfront::intents::{Call, Claim, Intents, Limits, answer, call::digest},
    bilberryfront_decide::{id::Incarnation, intent::Outcome},
    http::HeaderMap,
    std::time::Duration,
    table::{FakeTable, Fault},
    tokio::time::Instant,
};

fn call(body: &[u8]) -> Call {
    Call {
        account: "trentside".into(),
        entry: "desk-app".into(),
        key: "k".into(),
        digest: digest("POST", "/corrections", body),
    }
}

fn receipt() -> Outcome {
    Outcome::Answer(answer::keep(201, &HeaderMap::new(), b"correction 7"))
}

/// Guards against a wrong "not run" for a call that was executed and whose response was lost. The
/// caller retries at another node when no runner is left, and must get the recorded response: after
/// "not run" it would send the correction as a new call.
#[tokio::test(start_paused = true)]
async fn a_peek_returns_the_recorded_outcome() {
    let table = FakeTable::new(Duration::from_millis(5));
    let node =
        |incarnation| Intents::start(table.clone(), Incarnation(incarnation), Limits::default());
    let (a, b) = (node(1), node(2));
    assert!(matches!(b.peek(&call(b"1")).await, Claim::NotRun(_)));
    let Claim::Granted(mut permit) = a.claim(call(b"1")).await else {
        panic!("the first claim must be granted")
    };
    assert!(permit.begin());
    assert!(matches!(b.peek(&call(b"1")).await, Claim::Busy(_)));
    a.settle(permit, receipt()).await;
    assert!(matches!(b.peek(&call(b"1")).await, Claim::Outcome(o) if o == receipt()));
    assert!(matches!(b.peek(&call(b"2")).await, Claim::Mismatch));
    assert_eq!(table.state().commit_sizes.len(), 2, "a peek writes nothing");
}

/// Guards against a wait for the table service during its outage.
#[tokio::test(start_paused = true)]
async fn a_peek_in_an_outage_does_not_wait() {
    let table = FakeTable::new(Duration::from_millis(5));
    table.state().default_fault = Some(Fault::Hang);
    let a = Intents::start(table.clone(), Incarnation(1), Limits::default());
    a.claim(call(b"1")).await;
    let start = Instant::now();
    assert!(matches!(a.peek(&call(b"1")).await, Claim::NotRun(_)));
    assert_eq!(start.elapsed(), Duration::ZERO);
}
