//! Properties of merged state: the result doesn't depend on the order or the number of merges.

use {
    bilberryfront_decide::{
        id::Incarnation,
        mover::{
            Cause, Choice, Move, MoveId, Sample, Share, Standing, Verdict, Weights,
            evidence::{Collector, Evidence, PooledEvidence},
            schedule::Step,
        },
    },
    quickcheck::{Arbitrary, Gen, QuickCheck, TestResult},
    std::{collections::BTreeMap, time::Duration},
};

#[derive(Clone, Debug)]
struct AnyStanding(Standing);

impl Arbitrary for AnyStanding {
    fn arbitrary(g: &mut Gen) -> AnyStanding {
        let causes = [Cause::Deadline, Cause::Undone, Cause::Failing, Cause::SlowFirst];
        let verdict = Verdict {
            cause: *g.choose(&causes).expect("not empty"),
            route: (*g.choose(&["", "a", "b"]).expect("not empty")).into(),
            node: Incarnation(u64::arbitrary(g) % 3),
        };
        let moving = Standing::Moving(u8::arbitrary(g) % 5);
        let all = [moving, Standing::Settled, Standing::Adopted, Standing::TakenBack(verdict)];
        AnyStanding(g.choose(&all).expect("not empty").clone())
    }
}

fn check(property: fn(AnyStanding, AnyStanding, AnyStanding) -> bool) {
    let generator = Gen::from_size_and_seed(20, 7);
    QuickCheck::new()
        .rng(generator)
        .tests(1_000)
        .quickcheck(property as fn(AnyStanding, AnyStanding, AnyStanding) -> bool);
}

#[test]
fn standing_is_a_semilattice() {
    fn property(
        AnyStanding(a): AnyStanding,
        AnyStanding(b): AnyStanding,
        AnyStanding(c): AnyStanding,
    ) -> bool {
        let join = |a: &Standing, b: &Standing| a.clone().join(b.clone());
        join(&a, &a) == a
            && join(&a, &b) == join(&b, &a)
            && join(&join(&a, &b), &c) == join(&a, &join(&b, &c))
    }
    check(property);
}

#[test]
fn rollback_takes_precedence_and_has_no_share() {
    fn property(
        AnyStanding(a): AnyStanding,
        AnyStanding(b): AnyStanding,
        AnyStanding(c): AnyStanding,
    ) -> bool {
        let has_verdict = [&a, &b, &c].iter().any(|s| s.verdict().is_some());
        let joined = a.join(b).join(c);
        let share = moved().share(&joined);
        joined.verdict().is_some() == has_verdict && (share == Share::NONE) == has_verdict
    }
    check(property);
}

#[test]
fn share_only_decreases_by_rollback() {
    fn property(AnyStanding(a): AnyStanding, AnyStanding(b): AnyStanding, _: AnyStanding) -> bool {
        let share = moved().share(&a);
        let joined = a.join(b);
        joined.verdict().is_some() || moved().share(&joined) >= share
    }
    check(property);
}

/// The chart permits only changes to a higher value of the semilattice, and none after a verdict.
#[test]
fn chart_only_permits_increases() {
    fn property(AnyStanding(a): AnyStanding, AnyStanding(b): AnyStanding, _: AnyStanding) -> bool {
        let allowed = a.allows(&b);
        let is_higher = b > a;
        (!allowed || is_higher && a.verdict().is_none())
            && (allowed || !is_higher || a.verdict().is_some() || skips(&a, &b))
    }
    check(property);
}

/// Returns whether the change skips a step or the settled state. Such changes are higher in the
/// semilattice, because updates may be missed, but they are never written.
fn skips(a: &Standing, b: &Standing) -> bool {
    match (a, b) {
        (Standing::Moving(a), Standing::Moving(b)) => b - a > 1,
        (Standing::Moving(_), Standing::Adopted) => true,
        _ => false,
    }
}

fn moved() -> Move {
    Move {
        id: MoveId(1),
        entry: "e".into(),
        from: "v1".into(),
        to: "v2".into(),
        started: 0,
        by: 1,
        force: false,
        weights: Weights::default(),
        steps: (1..=5)
            .map(|s| Step { share: Share(s * 1_000), hold: 0, least: 0, need: 0 })
            .collect(),
    }
}

/// Returns the counters of a node after the given number of failures, alternating between versions.
fn evidence(failures: u64) -> Evidence {
    let mut collector = Collector::default();
    let pooled = BTreeMap::new();
    for number in 0..failures {
        let choice = Choice { id: None, new: number % 2 == 0, share: Share(1_000) };
        let latency = Some(Duration::from_millis(100));
        collector.observe(
            &Sample {
                choice,
                route: "r",
                response: false.into(),
                first: latency,
                pace: latency,
                runner: number,
                account: number,
            },
            &pooled,
        );
    }
    collector.evidence().clone()
}

#[test]
fn evidence_merge_is_commutative_and_idempotent() {
    fn property(order: Vec<(u8, u8)>) -> TestResult {
        let order: Vec<(Incarnation, u64)> = order
            .into_iter()
            .map(|(n, e)| (Incarnation(u64::from(n % 4)), u64::from(e % 8)))
            .collect();
        let pool = |order: &mut dyn Iterator<Item = &(Incarnation, u64)>| {
            let mut pool = PooledEvidence::default();
            order.for_each(|(node, count)| pool.merge(*node, &evidence(*count)));
            pool.routes()
        };
        let forward = pool(&mut order.iter());
        let backward = pool(&mut order.iter().rev());
        let twice = pool(&mut order.iter().chain(&order));
        TestResult::from_bool(forward == backward && forward == twice)
    }
    let generator = Gen::from_size_and_seed(20, 7);
    QuickCheck::new()
        .rng(generator)
        .tests(200)
        .quickcheck(property as fn(Vec<(u8, u8)>) -> TestResult);
}
