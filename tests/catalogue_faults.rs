//! Random faults of the table service against what each operator was told.

#[expect(dead_code, reason = "the tests of the commands take the service down for good")]
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

/// One operator's try to change the catalogue.
#[derive(Clone, Debug)]
struct Try {
    /// Faults of its commits, in order.
    faults: Vec<Kind>,
    /// Whether it was made from the newest revision, else from the one before.
    fresh: bool,
    /// Whether the operator sends it again whatever was told.
    again: bool,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    LoseReply,
    LoseCommit,
    Down,
    Race,
}

impl Arbitrary for Try {
    fn arbitrary(g: &mut Gen) -> Try {
        let kinds = [Kind::LoseReply, Kind::LoseCommit, Kind::Down, Kind::Race];
        let count = usize::arbitrary(g) % 6;
        let faults = (0..count).map(|_| *g.choose(&kinds).unwrap()).collect();
        Try { faults, fresh: u8::arbitrary(g) % 4 > 0, again: bool::arbitrary(g) }
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

/// The commit that another node would send for `apply` at this moment.
async fn rival(table: &FakeTable, apply: &str) -> Fault {
    let copy = table.fork();
    let store = Store::new(copy.clone());
    let head = store.head().await.unwrap();
    store.apply(&doc(apply), head, &change(apply)).await.unwrap();
    Fault::Race(copy.commits().pop().unwrap())
}

async fn run(tries: Vec<Try>) -> Result<(), String> {
    let table = FakeTable::default();
    let store = Store::new(table.clone());
    let mut told = Vec::new();
    for (i, attempt) in tries.iter().enumerate() {
        let apply = format!("try-{i}");
        let head = store.head().await.unwrap();
        let expected = if attempt.fresh { head } else { head.saturating_sub(1) };
        for (k, kind) in attempt.faults.iter().enumerate() {
            let fault = match kind {
                Kind::LoseReply => Fault::LoseReply,
                Kind::LoseCommit => Fault::LoseCommit,
                Kind::Down => Fault::Down,
                Kind::Race => rival(&table, &format!("rival-{i}-{k}")).await,
            };
            table.inject_faults([fault]);
        }
        for _ in 0..1 + u32::from(attempt.again) {
            told.push((apply.clone(), store.apply(&doc(&apply), expected, &change(&apply)).await));
        }
        table.clear_faults();
    }
    check(&store, &told).await
}

/// The log is the truth: each outcome must agree with it, and no change may stand in it twice.
async fn check(
    store: &Store<FakeTable>,
    told: &[(String, Result<Outcome, StoreError>)],
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
    for (apply, outcome) in told {
        let made: Vec<_> = past.iter().filter(|p| p.change.apply == *apply).collect();
        let agrees = match outcome {
            Ok(Outcome::Applied(revision)) => made.iter().any(|p| p.revision == *revision),
            Ok(Outcome::Conflict(_)) => made.is_empty(),
            Err(StoreError::Down(_)) => made.is_empty() || settled(told, apply),
            Err(_) => true,
        };
        if !agrees || made.len() > 1 {
            return Err(format!("{apply} was told {outcome:?}, the log has {made:?}"));
        }
    }
    Ok(())
}

/// Whether another send of the change was told something else than an outage.
fn settled(told: &[(String, Result<Outcome, StoreError>)], apply: &str) -> bool {
    told.iter().any(|(a, o)| a == apply && !matches!(o, Err(StoreError::Down(_))))
}

/// Operators change the catalogue while replies are lost before or after the effect, the service
/// goes down and others' commits take effect first. Whoever is told "applied" finds the change in
/// the log, whoever is told "conflict" does not, and no change is made twice or overwritten.
#[test]
fn what_operators_are_told_agrees_with_the_log() {
    fn property(tries: Vec<Try>) -> Result<(), String> {
        let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
        runtime.unwrap().block_on(run(tries))
    }
    QuickCheck::new()
        .tests(CASES)
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .quickcheck(property as fn(Vec<Try>) -> Result<(), String>);
}
