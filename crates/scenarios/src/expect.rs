//! Evaluation of a scenario's own `expect` steps, which add to the invariants.

use {
    crate::{
        caller::{Caller, ENGINE_ENTRY, End},
        language::{Expect, Moved, OperatorReply, Phase, Problem},
        moves,
        node::Node,
        world::{Result, World},
        writer::TOKEN_BYTES,
    },
    bilberryfront_decide::mover::Standing,
    compact_str::CompactString,
    std::time::Duration,
};

/// Checks one expectation.
pub(crate) fn check(world: &World, expect: &Expect) -> Result {
    let caller = |name: &str| world.caller(name).map(|c| c.lock().unwrap().clone());
    match expect {
        Expect::Answered(names) => {
            names.iter().try_for_each(|n| check_end(&caller(n)?, Some(&End::Whole)))
        }
        Expect::Waiting(names) => names.iter().try_for_each(|n| check_end(&caller(n)?, None)),
        Expect::Cut(name) => check_end(&caller(name)?, Some(&End::Cut)),
        Expect::Problem(wanted) => check_problem(&caller(&wanted.name)?, wanted),
        Expect::Same(one, two) => check_equal(&caller(one)?.text(), &caller(two)?.text()),
        Expect::Holds(name, least) => {
            let held = caller(name)?.text().len() / TOKEN_BYTES;
            ensure(held >= *least, || {
                format!("{name} received {held} tokens, expected at least {least}")
            })
        }
        Expect::Executed { key, times } => {
            let log = world.fleet.log.lock().unwrap();
            check_equal(&log.calls.iter().filter(|r| r.ran && r.key == *key).count(), times)
        }
        Expect::Sends { name, times } => {
            let runner_request_ids = caller(name)?.runner_request_ids;
            let log = world.fleet.log.lock().unwrap();
            check_equal(
                &log.generations
                    .iter()
                    .filter(|r| runner_request_ids.contains(&r.runner_request_id))
                    .count(),
                times,
            )
        }
        Expect::Applied { name, told } => {
            let operator = world.operators.get(name);
            let operator = operator.ok_or_else(|| format!("there is no operator {name}"))?;
            check_equal(&operator.lock().unwrap().map(|(t, _)| t), &Some(*told))
        }
        Expect::Revision(name, revision) => check_equal(&node(world, name)?.revision(), revision),
        Expect::Move(wanted) => check_move(world, wanted),
        Expect::Holder(name) => {
            let held = moves::latest_status(world, name)?.held;
            ensure(held, || format!("{name} doesn't hold the lease"))
        }
        Expect::Raced(one, two) => {
            let reply_of = |name| Some(world.operators.get(name)?.lock().unwrap().as_ref()?.0);
            let replies = [reply_of(one), reply_of(two)];
            let fits = [OperatorReply::Started, OperatorReply::Other]
                .iter()
                .all(|t| replies.contains(&Some(*t)));
            ensure(fits, || {
                format!("{one} and {two} got {replies:?}, expected one Started and one Other")
            })
        }
        Expect::Version(name, wanted) => {
            let view = node(world, name)?.control.view();
            let entry = view.catalog.entries.values().find(|e| e.name == ENGINE_ENTRY);
            check_equal(&entry.map(|e| &e.version), &Some(wanted))
        }
        Expect::Part { version, most } => {
            let part = moves::request_share_percent(&world.fleet.log.lock().unwrap(), version);
            ensure(part <= *most, || {
                format!("{version} got {part:.2}% of the new requests, expected at most {most}%")
            })
        }
        Expect::Nothing { version, after_ms } => {
            let after = Duration::from_millis(*after_ms);
            let log = world.fleet.log.lock().unwrap();
            check_equal(&moves::count_late_requests(world, &log, version, after)?, &0)
        }
        Expect::Failed { load, most } => {
            let load = world.loads.get(load).ok_or_else(|| format!("there is no load {load}"))?;
            ensure(load.failed <= *most, || {
                format!("{} callers failed, expected at most {most}", load.failed)
            })
        }
        Expect::Gone(name) => {
            ensure(node(world, name)?.has_exited(), || format!("{name} is still running"))
        }
        Expect::Addresses(name, wanted) => {
            let view = node(world, name)?.control.view();
            let urls = view.addresses.iter().map(|a| a.url.replace("http://", ""));
            let mut names = urls.map(CompactString::from).collect::<Vec<_>>();
            names.sort();
            check_equal(&names, wanted)
        }
    }
}

fn check_move(world: &World, wanted: &Moved) -> Result {
    let standing = moves::latest_status(world, &wanted.node)?.standing;
    let phase = match standing {
        Standing::Moving(_) => Phase::Moving,
        Standing::Settled => Phase::Settled,
        Standing::Adopted => Phase::Adopted,
        Standing::TakenBack(_) => Phase::TakenBack,
    };
    let verdict = standing.verdict();
    let fits = phase == wanted.is
        && wanted.cause.is_none_or(|c| verdict.is_some_and(|v| v.cause == c))
        && wanted.route.as_ref().is_none_or(|r| verdict.is_some_and(|v| v.route == *r));
    ensure(fits, || format!("{} sees {standing:?}, expected {wanted:?}", wanted.node))
}

fn node<'a>(world: &'a World, name: &str) -> Result<&'a Node> {
    world.nodes.get(name).ok_or_else(|| format!("there is no node {name}"))
}

fn check_end(caller: &Caller, end: Option<&End>) -> Result {
    ensure(caller.end.as_ref() == end, || {
        format!("{} ended as {:?}, expected {end:?}", caller.name, caller.end)
    })
}

fn check_problem(caller: &Caller, wanted: &Problem) -> Result {
    let Some(End::Problem(got)) = &caller.end else {
        return Err(format!("{} ended as {:?}, expected {wanted:?}", caller.name, caller.end));
    };
    let took = caller.ended_at - caller.last_active_at;
    let fits = got.run == wanted.run
        && got.kind.ends_with(wanted.kind.as_str())
        && got.retry_after.is_some() == wanted.retry
        && took <= Duration::from_millis(wanted.within_ms);
    ensure(fits, || format!("{} got {got:?} after {took:?}, expected {wanted:?}", caller.name))
}

fn check_equal<T: PartialEq + std::fmt::Debug>(got: &T, wanted: &T) -> Result {
    ensure(got == wanted, || format!("got {got:?}, expected {wanted:?}"))
}

fn ensure(holds: bool, text: impl FnOnce() -> String) -> Result {
    if holds { Ok(()) } else { Err(text()) }
}
