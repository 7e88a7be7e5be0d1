//! What is said of a call that no runner can take now.

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

/// A correction was lodged and its answer lost. When the desk asks again at another node, no runner
/// is left. It must get the recorded answer: "not run" would make it lodge the correction anew.
#[tokio::test(start_paused = true)]
async fn a_peek_tells_what_is_recorded() {
    let table = FakeTable::new(Duration::from_millis(5));
    let node =
        |incarnation| Intents::start(table.clone(), Incarnation(incarnation), Limits::default());
    let (a, b) = (node(1), node(2));
    assert!(matches!(b.peek(&call(b"1")).await, Claim::NotRun(_)));
    let Claim::Granted(mut permit) = a.claim(call(b"1")).await else {
        panic!("the first is granted")
    };
    assert!(permit.begin());
    assert!(matches!(b.peek(&call(b"1")).await, Claim::Busy(_)));
    a.settle(permit, receipt()).await;
    assert!(matches!(b.peek(&call(b"1")).await, Claim::Outcome(o) if o == receipt()));
    assert!(matches!(b.peek(&call(b"2")).await, Claim::Mismatch));
    assert_eq!(table.state().commit_sizes.len(), 2, "a peek writes nothing");
}

/// The table fails too. The answer comes at once.
#[tokio::test(start_paused = true)]
async fn a_peek_in_an_outage_does_not_wait() {
    let table = FakeTable::new(Duration::from_millis(5));
    table.state().default_fault = Some(Fault::Hang);
    let a = Intents::start(table.clone(), Incarnation(1), Limits::default());
    a.claim(call(b"1")).await;
    let asked = Instant::now();
    assert!(matches!(a.peek(&call(b"1")).await, Claim::NotRun(_)));
    assert_eq!(asked.elapsed(), Duration::ZERO);
}
