//! Streams that are handed over to the runner of their replica, and what else is open then.

use {
    super::support::{Deployment, ENGINES, Runner, Script, StreamEnd, call, ms, run_local},
    bilberryfront_decide::mover::MoveId,
    bilberryfront_relay::{
        quarantine::{MAX_CRASHES, RunnerCrash},
        view::{Rule, Split, View},
    },
    http_body_util::BodyExt,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

const EVENTS: Script = Script::Events { last: 60, gap: ms(40), end: StreamEnd::Complete };
const LONG: Script = Script::Events { last: 200, gap: ms(40), end: StreamEnd::Complete };
/// Headers of a prompt whose last segment is `b7`.
const PROMPT: [(&str, &str); 2] = [
    ("x-bilberryfront-token-counts", "5000,100"),
    ("x-bilberryfront-prompt-prefix", "a1:200,b7:4800"),
];

/// Returns the longest time for which a run that was open when a request with a replica arrived at another
/// runner was open beside it.
fn longest_overlap(deployment: &Deployment) -> Duration {
    let mut longest = Duration::ZERO;
    for next in &deployment.runners {
        let requests = next.requests.borrow();
        let resumes = requests.iter().filter(|request| request.headers.contains_key("kv-from"));
        let is_run = |at: &Instant| next.runs.borrow().iter().any(|(_, span)| span.start == *at);
        for at in resumes.map(|request| request.at).filter(is_run) {
            let others = deployment.runners.iter().filter(|other| !Rc::ptr_eq(other, next));
            for other in others {
                for (_, span) in other.runs.borrow().iter().filter(|(_, span)| span.start < at) {
                    let end = span.end.unwrap_or_else(Instant::now);
                    longest = longest.max(end.saturating_duration_since(at));
                }
            }
        }
    }
    longest
}

/// Returns the runner of the first run, the holder of its replica, and the third runner.
fn roles(deployment: &Deployment) -> (Rc<Runner>, Rc<Runner>, Rc<Runner>) {
    let runners = &deployment.runners;
    let first = runners.iter().find(|r| r.request_count() > 0).unwrap().clone();
    let address = first.header("x-bilberryfront-kv-backup").unwrap();
    let holder = runners.iter().find(|r| r.address.to_string() == address).unwrap().clone();
    let is_third = |r: &&Rc<Runner>| !Rc::ptr_eq(r, &first) && !Rc::ptr_eq(r, &holder);
    let third = runners.iter().find(is_third).unwrap().clone();
    (first, holder, third)
}

/// Rolls the version of a runner back.
fn reject_version(deployment: &Deployment, bad: &Runner) {
    let view = View::clone(&deployment.traffic.published.load());
    let mut runners = view.runners.to_vec();
    for registration in &mut runners {
        let version = if registration.id == bad.id.as_str() { "v2" } else { "v1" };
        registration.version = version.into();
    }
    deployment.traffic.client.fleet.update(&runners);
    let split = Split {
        id: MoveId(1),
        to: "v2".into(),
        rule: Rule::OnlyOld,
        has_slack: true,
        is_rejected: true,
    };
    let splits = Arc::new([(ENGINES.into(), split)].into_iter().collect());
    deployment.traffic.published.store(View { runners: Arc::new(runners), splits, ..view });
}

/// Guards against a stream that goes on at two runners: an attempt from the prompt, whose version was rolled
/// back or whose runner is late with its reports, works on while the stream is resumed from its replica.
#[tokio::test(start_paused = true)]
async fn attempt_from_the_prompt_ends_when_the_replica_is_used() {
    for is_rejected in [true, false] {
        run_local(async {
            let deployment = Deployment::new(ENGINES, &["a", "b", "c"], &EVENTS);
            let response = deployment.send("/stream/1", &PROMPT).await;
            let (first, holder, third) = roles(&deployment);
            let course = async {
                sleep(ms(210)).await;
                first.pause_streams_for(ms(60_000));
                first.probe_delay.set(ms(1_000));
                holder.probe_delay.set(ms(1_000));
                holder.resume_time.set(ms(2_000));
                third.prefill_time.set(ms(30_000));
                sleep(ms(900)).await;
                assert_eq!((holder.request_count(), third.request_count()), (0, 1));
                match is_rejected {
                    true => reject_version(&deployment, &third),
                    false => third.probe_delay.set(ms(1_000)),
                }
                holder.probe_delay.set(ms(0));
            };
            let (body, ()) = tokio::join!(response.into_body().collect(), course);
            body.unwrap();
            assert_eq!(holder.request_count(), 1, "not resumed from the replica");
            let overlap = longest_overlap(&deployment);
            assert!(overlap < ms(400), "rolled back: {is_rejected}, {overlap:?}");
        })
        .await;
    }
}

/// Guards against a stream that is cut although its silent run goes on: the request is quarantined while
/// there is no connection to the runner of the replica yet, so that nothing was sent.
#[tokio::test(start_paused = true)]
async fn silent_run_is_kept_if_nothing_was_sent_before_the_quarantine() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b", "c"], &EVENTS);
        let response = deployment.send("/stream/1", &PROMPT).await;
        let (first, holder, _) = roles(&deployment);
        let course = async {
            sleep(ms(210)).await;
            first.pause_streams_for(ms(700));
            sleep(ms(380)).await;
            // It has been seen just now, and does not accept the connection.
            let fleet = &deployment.traffic.client.fleet;
            fleet.record_response(fleet.find(&holder.id).unwrap().key, Instant::now());
            holder.is_unresponsive.set(true);
            sleep(ms(120)).await;
            let (call, now) = (call("/stream/1", &PROMPT), Instant::now());
            for runner in 0..MAX_CRASHES as u64 {
                let crash = RunnerCrash::now(runner + 7, now, Some(Duration::ZERO));
                deployment.traffic.quarantine.record_crash(&call, &crash);
            }
            assert!(deployment.traffic.quarantine.time_left(&call).is_some());
        };
        let (body, ()) = tokio::join!(response.into_body().collect(), course);
        assert_eq!(holder.request_count(), 0);
        body.expect("the silent run goes on");
    })
    .await;
}

/// Guards against a stream that is cut although its silent run would have gone on: the runner of its replica
/// rejects the request late, and the budget allows no other attempt.
#[tokio::test(start_paused = true)]
async fn late_rejection_without_a_budget_cuts_nothing() {
    let mut cut = Vec::new();
    for delay in (0..300).step_by(25) {
        run_local(async {
            let deployment = Deployment::new(ENGINES, &["a", "b", "c"], &EVENTS);
            let response = deployment.send("/stream/1", &PROMPT).await;
            let (first, holder, _) = roles(&deployment);
            *holder.resume_script.borrow_mut() = Some(Script::NotRunAfter(ms(delay)));
            let course = async {
                sleep(ms(210)).await;
                first.pause_streams_for(ms(800));
                while holder.request_count() == 0 {
                    sleep(ms(1)).await;
                }
                while deployment.traffic.budgets.try_take(ENGINES, 2) {}
            };
            let (body, ()) = tokio::join!(response.into_body().collect(), course);
            if body.is_err() {
                cut.push(delay);
            }
        })
        .await;
    }
    assert!(cut.is_empty(), "cut when rejected after {cut:?} ms");
}

/// Guards against streams that go on at two runners, or get events twice or in another order, when runners are
/// silent, slow, late with their reports, reject requests, crash or are rolled back at random.
#[tokio::test(start_paused = true)]
async fn streams_have_one_run_after_a_replica_is_used() {
    for seed in 0..200 {
        run_local(async {
            let mut rng = SmallRng::seed_from_u64(seed);
            let deployment = Deployment::new(ENGINES, &["a", "b", "c", "a"], &LONG);
            let runners = deployment.runners.clone();
            let faults = async {
                loop {
                    sleep(ms(rng.random_range(20..400))).await;
                    let runner = &runners[rng.random_range(0..runners.len())];
                    let time = ms(rng.random_range(100..6_000));
                    match rng.random_range(0..10) {
                        0 | 1 => runner.pause_streams_for(time),
                        2 => runner.probe_delay.set(ms([0, 400, 1_000][rng.random_range(0..3)])),
                        3 => runner.prefill_time.set(time),
                        4 => runner.resume_time.set(time),
                        5 => {
                            let reject = Script::NotRunAfter(ms(rng.random_range(0..400)));
                            let script = rng.random_bool(0.4).then_some(reject);
                            *runner.resume_script.borrow_mut() = script;
                        }
                        6 => reject_version(&deployment, runner),
                        7 => runner.generated_events.set(rng.random_range(0..2) * 9),
                        8 if rng.random_bool(0.1) => runner.crash(),
                        _ => *runner.resume_script.borrow_mut() = None,
                    }
                }
            };
            let received = tokio::select! {
                received = deployment.serve("/stream/1", &PROMPT) => received,
                () = faults => unreachable!("faults do not end"),
            };
            let overlap = longest_overlap(&deployment);
            assert!(overlap < ms(400), "seed {seed}: both runners worked for {overlap:?}");
            let ids = received.event_ids();
            assert!(ids.iter().copied().eq(1..=ids.len() as u64), "seed {seed}: {ids:?}");
        })
        .await;
    }
}
