//! Random faults of the table service, and the outcomes that operators get.

#[expect(dead_code, reason = "the tests of the commands take the service down permanently")]
#[path = "support/table.rs"]
mod table;

use {
    bilberryfront::catalogue::store::{Change, Outcome, Store, StoreError},
    bilberryfront_decide::catalog::{Account, CatalogDoc},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    table::{FakeTable, Fault},
    tokio::runtime::Builder,
};

const SEED: u64 = 20_261_203;
const SIZE: usize = 24;
const CASES: u64 = 500;

/// An operator's attempt to change the catalogue.
#[derive(Clone, Debug)]
struct Attempt {
    /// Faults of the commits, in order.
    faults: Vec<Kind>,
    /// Whether it is based on the newest revision, otherwise on the one before.
    is_current: bool,
    /// Whether the operator sends it again, whatever the first outcome was.
    resend: bool,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    LoseReply,
    LoseCommit,
    Down,
    Race,
}

impl Arbitrary for Attempt {
    fn arbitrary(g: &mut Gen) -> Attempt {
        let kinds = [Kind::LoseReply, Kind::LoseCommit, Kind::Down, Kind::Race];
        let count = usize::arbitrary(g) % 6;
        let faults = (0..count).map(|_| *g.choose(&kinds).unwrap()).collect();
        Attempt { faults, is_current: u8::arbitrary(g) % 4 > 0, resend: bool::arbitrary(g) }
    }
}

fn doc(apply: &str) -> CatalogDoc {
    let account = Account { name: apply.into(), keys: vec![] };
    CatalogDoc { accounts: vec![account], entries: vec![] }
}

fn change(apply: &str) -> Change {
    Change {
        apply: apply.into(),
        who: "key 2c26b46b".into(),
        when: "2026-12-03T00:00:00Z".parse().unwrap(),
        comment: String::new(),
    }
}

/// Returns the commit that another node would send for `apply` now.
async fn racing_commit(table: &FakeTable, apply: &str) -> Fault {
    let copy = table.fork();
    let store = Store::new(copy.clone());
    let head = store.head().await.unwrap();
    store.apply(&doc(apply), head, &change(apply)).await.unwrap();
    Fault::Race(copy.commits().pop().unwrap())
}

async fn run(attempts: Vec<Attempt>) -> Result<(), String> {
    let table = FakeTable::default();
    let store = Store::new(table.clone());
    let mut outcomes = Vec::new();
    for (i, attempt) in attempts.iter().enumerate() {
        let apply = format!("try-{i}");
        let head = store.head().await.unwrap();
        let expected = if attempt.is_current { head } else { head.saturating_sub(1) };
        for (k, kind) in attempt.faults.iter().enumerate() {
            let fault = match kind {
                Kind::LoseReply => Fault::LoseReply,
                Kind::LoseCommit => Fault::LoseCommit,
                Kind::Down => Fault::Down,
                Kind::Race => racing_commit(&table, &format!("rival-{i}-{k}")).await,
            };
            table.inject_faults([fault]);
        }
        for _ in 0..1 + u32::from(attempt.resend) {
            outcomes
                .push((apply.clone(), store.apply(&doc(&apply), expected, &change(&apply)).await));
        }
        table.clear_faults();
    }
    check(&store, &outcomes).await
}

/// Checks each outcome against the log, and that no change is in the log twice.
async fn check(
    store: &Store<FakeTable>,
    outcomes: &[(String, Result<Outcome, StoreError>)],
) -> Result<(), String> {
    let head = store.head().await.unwrap();
    let past = store.history(u32::MAX).await.unwrap();
    let revisions: Vec<_> = past.iter().map(|p| p.revision).collect();
    if revisions != (1..=head).rev().collect::<Vec<_>>() {
        return Err(format!("gaps in the log: {revisions:?}"));
    }
    for p in &past {
        if store.revision(p.revision).await.unwrap().catalogue != doc(&p.change.apply) {
            return Err(format!("revision {} is not its change's", p.revision));
        }
    }
    for (apply, outcome) in outcomes {
        let made: Vec<_> = past.iter().filter(|p| p.change.apply == *apply).collect();
        let agrees = match outcome {
            Ok(Outcome::Applied(revision)) => made.iter().any(|p| p.revision == *revision),
            Ok(Outcome::Conflict(_)) => made.is_empty(),
            Err(StoreError::Down(_)) => made.is_empty() || has_certain_outcome(outcomes, apply),
            Err(_) => true,
        };
        if !agrees || made.len() > 1 {
            return Err(format!("{apply} was reported as {outcome:?}, the log has {made:?}"));
        }
    }
    Ok(())
}

/// Returns whether another send of the change had an outcome other than an outage.
fn has_certain_outcome(outcomes: &[(String, Result<Outcome, StoreError>)], apply: &str) -> bool {
    outcomes.iter().any(|(a, o)| a == apply && !matches!(o, Err(StoreError::Down(_))))
}

/// Guards against outcomes that contradict the log. Operators change the catalogue while replies
/// are lost before or after the commit takes effect, the service is down, and commits of other
/// operators take effect first. A change reported as applied must be in the log, one reported as a
/// conflict must not, and no change may be made twice or overwritten.
#[test]
fn outcomes_agree_with_the_log() {
    fn property(attempts: Vec<Attempt>) -> Result<(), String> {
        let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
        runtime.unwrap().block_on(run(attempts))
    }
    QuickCheck::new()
        .tests(CASES)
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .quickcheck(property as fn(Vec<Attempt>) -> Result<(), String>);
}
