//! Laws of what nodes merge: any order, any number of times, the same result.

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
struct Any(Standing);

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Any {
        let causes = [Cause::Deadline, Cause::Undone, Cause::Failing, Cause::SlowFirst];
        let verdict = Verdict {
            cause: *g.choose(&causes).expect("not empty"),
            route: (*g.choose(&["", "a", "b"]).expect("not empty")).into(),
            node: Incarnation(u64::arbitrary(g) % 3),
        };
        let moving = Standing::Moving(u8::arbitrary(g) % 5);
        let all = [moving, Standing::Settled, Standing::Adopted, Standing::TakenBack(verdict)];
        Any(g.choose(&all).expect("not empty").clone())
    }
}

fn check(law: fn(Any, Any, Any) -> bool) {
    let generator = Gen::from_size_and_seed(20, 7);
    QuickCheck::new().rng(generator).tests(1_000).quickcheck(law as fn(Any, Any, Any) -> bool);
}

#[test]
fn standing_is_a_semilattice() {
    fn law(Any(a): Any, Any(b): Any, Any(c): Any) -> bool {
        let join = |a: &Standing, b: &Standing| a.clone().join(b.clone());
        join(&a, &a) == a
            && join(&a, &b) == join(&b, &a)
            && join(&join(&a, &b), &c) == join(&a, &join(&b, &c))
    }
    check(law);
}

#[test]
fn taken_back_wins_over_everything_and_has_no_share() {
    fn law(Any(a): Any, Any(b): Any, Any(c): Any) -> bool {
        let any = [&a, &b, &c].iter().any(|s| s.verdict().is_some());
        let all = a.join(b).join(c);
        let share = moved().share(&all);
        all.verdict().is_some() == any && (share == Share::NONE) == any
    }
    check(law);
}

#[test]
fn share_never_sinks_but_by_taking_back() {
    fn law(Any(a): Any, Any(b): Any, _: Any) -> bool {
        let share = moved().share(&a);
        let all = a.join(b);
        all.verdict().is_some() || moved().share(&all) >= share
    }
    check(law);
}

/// What the chart allows only goes up in the lattice, and nothing leads away from a verdict.
#[test]
fn chart_goes_up() {
    fn law(Any(a): Any, Any(b): Any, _: Any) -> bool {
        let allowed = a.allows(&b);
        let up = b > a;
        (!allowed || up && a.verdict().is_none())
            && (allowed || !up || a.verdict().is_some() || skips(&a, &b))
    }
    check(law);
}

/// Steps, or the settling, left out: up in the lattice, as news may come late, but no write.
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

/// Counters of a node after so many failures, old and new in turn.
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
                ok: false,
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
fn evidence_merges_in_any_order_and_number() {
    fn law(order: Vec<(u8, u8)>) -> TestResult {
        let order: Vec<(Incarnation, u64)> = order
            .into_iter()
            .map(|(n, e)| (Incarnation(u64::from(n % 4)), u64::from(e % 8)))
            .collect();
        let pool = |order: &mut dyn Iterator<Item = &(Incarnation, u64)>| {
            let mut pool = PooledEvidence::default();
            order.for_each(|(node, count)| pool.merge(*node, &evidence(*count)));
            pool.routes()
        };
        let there = pool(&mut order.iter());
        let back = pool(&mut order.iter().rev());
        let twice = pool(&mut order.iter().chain(&order));
        TestResult::from_bool(there == back && there == twice)
    }
    let generator = Gen::from_size_and_seed(20, 7);
    QuickCheck::new().rng(generator).tests(200).quickcheck(law as fn(Vec<(u8, u8)>) -> TestResult);
}
