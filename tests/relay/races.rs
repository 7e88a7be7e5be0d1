//! Races of a silent run and the attempts beside it: limits, replicas and rollouts.

use {
    super::support::{
        Deployment, ENGINES, PLAIN, Runner, Script, StreamEnd, Trials, call, ms, node_address,
        run_local,
    },
    bilberryfront_decide::mover::{MoveId, Response as VersionResponse},
    bilberryfront_relay::{
        budget::{Allowance, Budgets},
        call::Call,
        view::{Registration, Rule, Split, State, View},
    },
    http_body_util::BodyExt,
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Headers of a prompt whose last segment is `b7`.
const PROMPT: [(&str, &str); 2] = [
    ("x-bilberryfront-token-counts", "5000,100"),
    ("x-bilberryfront-prompt-prefix", "a1:200,b7:4800"),
];

fn events(last: u64, gap: Duration) -> Script {
    Script::Events { last, gap, end: StreamEnd::Complete }
}

/// Returns the runner that has received a request, and the other runners.
fn split(deployment: &Deployment) -> (Rc<Runner>, Vec<Rc<Runner>>) {
    let (used, rest): (Vec<_>, Vec<_>) =
        deployment.runners.iter().cloned().partition(|r| r.request_count() > 0);
    (used[0].clone(), rest)
}

/// Returns a request to a resumable route with this maximum number of attempts.
fn call_with_attempts(attempts: u32) -> Call {
    let mut call = call("/stream/1", &PROMPT);
    Arc::make_mut(&mut call.route).attempts = attempts;
    call
}

/// Publishes changed registrations, and a rollout to version `v2` if `is_rollout`.
fn update(deployment: &Deployment, is_rollout: bool, change: impl Fn(usize, &mut Registration)) {
    let view = View::clone(&deployment.traffic.published.load());
    let mut runners = view.runners.to_vec();
    runners.iter_mut().enumerate().for_each(|(index, registration)| change(index, registration));
    deployment.traffic.client.fleet.update(&runners);
    let split = Split {
        id: MoveId(1),
        to: "v2".into(),
        rule: Rule::Canary,
        has_slack: true,
        is_rejected: false,
    };
    let splits = is_rollout.then_some((ENGINES.into(), split)).into_iter().collect();
    let (runners, splits) = (Arc::new(runners), Arc::new(splits));
    deployment.traffic.published.store(View { runners, splits, ..view });
}

/// Guards against a stream that runs on more runners than its route allows: attempts that were cancelled
/// because the silent run continued have run as well.
#[tokio::test(start_paused = true)]
async fn cancelled_attempts_count_as_attempts() {
    run_local(async {
        let deployment =
            Deployment::new(ENGINES, &["a", "b", "c", "d", "a", "b"], &events(6, ms(600)));
        for runner in &deployment.runners {
            *runner.resume_script.borrow_mut() = Some(Script::NotRun);
        }
        let response = deployment.traffic.serve(call_with_attempts(2)).await;
        response.into_body().collect().await.unwrap();
        let is_run = |runner: &&Rc<Runner>| {
            runner.requests.borrow().iter().any(|r| !r.headers.contains_key("kv-from"))
        };
        let count = deployment.runners.iter().filter(is_run).count();
        assert!(count <= 2, "the request ran on {count} runners");
    })
    .await;
}

/// Guards against a stream that is reported as not run although one of its attempts ran until it was
/// cancelled, since the runner of the first one responded again; that one is rejected in the end.
#[tokio::test(start_paused = true)]
async fn stream_with_a_cancelled_attempt_is_not_reported_as_not_run() {
    run_local(async {
        let script = Script::NotRunAfter(ms(2_600));
        let deployment = Deployment::new(ENGINES, &["a", "b"], &script);
        let silence = async {
            sleep(ms(10)).await;
            let (first, rest) = split(&deployment);
            first.is_unresponsive.set(true);
            *rest[0].script.borrow_mut() = events(1, ms(30_000));
            sleep(ms(1_700)).await;
            assert_eq!(rest[0].streams.get(), 1, "the stream has no second attempt");
            first.is_unresponsive.set(false);
            sleep(ms(600)).await;
            assert_eq!(rest[0].streams.get(), 0, "the second attempt was not cancelled");
            *first.script.borrow_mut() = Script::NotRun;
            rest[0].crash();
        };
        let (received, ()) = tokio::join!(deployment.serve("/stream/1", &PROMPT), silence);
        assert_eq!(received.status, 502);
    })
    .await;
}

/// Guards against a silence that costs a stream its replica. The holder is silent as well, so nothing was
/// resumed from the replica; it must be kept, and not be requested anew with the whole cache. The run
/// continues while another runner is probed, or after that.
#[tokio::test(start_paused = true)]
async fn replica_is_kept_if_its_run_continues() {
    for silence in [500, 650, 800, 1_400] {
        run_local(async {
            let script = events(4, ms(silence));
            let deployment = Deployment::new(ENGINES, &["a", "b", "c", "d"], &script);
            let response = deployment.send("/stream/1", &PROMPT).await;
            let (first, rest) = split(&deployment);
            rest.iter().for_each(|runner| runner.is_unresponsive.set(true));
            response.into_body().collect().await.unwrap();
            let copies = first.copy_targets.borrow().len();
            assert_eq!(copies, 0, "replicas requested at a silence of {silence} ms");
        })
        .await;
    }
}

/// Guards against a single silence that uses up the sends of a stream and the retry budget: runners without
/// room reject one attempt after the other at once. When the run is lost later, the stream must be resumed.
#[tokio::test(start_paused = true)]
async fn rejected_attempts_in_a_silence_leave_sends_for_a_failure() {
    run_local(async {
        let deployment =
            Deployment::new(ENGINES, &["a", "b", "c", "d"].repeat(5), &events(6, ms(600)));
        let response = deployment.send("/stream/1", &PROMPT).await;
        let (first, rest) = split(&deployment);
        rest.iter().for_each(|runner| *runner.script.borrow_mut() = Script::NotRun);
        rest.iter().for_each(|runner| *runner.resume_script.borrow_mut() = Some(Script::NotRun));
        let loss = async {
            sleep(ms(700)).await;
            let rejected = deployment.request_count() - 1;
            rest.iter().for_each(|runner| *runner.script.borrow_mut() = events(6, ms(40)));
            first.crash();
            rejected
        };
        let (rejected, body) = tokio::join!(loss, response.into_body().collect());
        assert!(rejected <= 2, "{rejected} attempts were rejected within a silence of 180 ms");
        assert!(body.is_ok(), "the stream was not resumed after its runner had crashed");
    })
    .await;
}

/// Guards against streams that fall silent together and all choose the same runner, because its load
/// counts only once it has been probed.
#[tokio::test(start_paused = true)]
async fn streams_that_are_silent_together_use_different_runners() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "a", "b", "b", "b"], &events(200, ms(40)));
        deployment.traffic.client.fleet.set_domain(&"a".into());
        let set_others = |state: State| {
            update(&deployment, false, |index, registration| {
                registration.state = if index == 0 { State::Ready } else { state };
            });
        };
        set_others(State::Draining);
        let mut bodies = Vec::new();
        for _ in 0..8 {
            bodies.push(deployment.send("/stream/1", &PROMPT).await.into_body());
        }
        assert_eq!(deployment.runners[0].request_count(), 8);
        deployment.runners[0].is_unresponsive.set(true);
        set_others(State::Ready);
        let reading = bodies.into_iter().map(|body| tokio::task::spawn_local(body.collect()));
        let _reading: Vec<_> = reading.collect();
        sleep(ms(1_000)).await;
        let counts: Vec<usize> =
            deployment.runners[1..].iter().map(|r| r.request_count()).collect();
        assert_eq!(counts.iter().sum::<usize>(), 8, "{counts:?}");
        assert!(counts.iter().all(|count| *count <= 4), "resumed at the runners: {counts:?}");
    })
    .await;
}

/// Starts a rollout to the first two of four engines, and sends requests until one of the new version has
/// received one.
async fn start_at_new_version(
    deployment: &Deployment,
) -> http::Response<bilberryfront_relay::body::ResponseBody> {
    deployment.publish_nodes(vec![node_address("n1", 1, "a")]);
    update(deployment, true, |index, registration| {
        registration.version = if index < 2 { "v2" } else { "v1" }.into();
    });
    for _ in 0..200 {
        let response = deployment.send("/stream/1", &PROMPT).await;
        if deployment.runners[..2].iter().any(|runner| runner.request_count() > 0) {
            return response;
        }
    }
    panic!("no request was assigned to the new version");
}

/// Guards against a bad version that is not noticed: its runners do not deliver the events that they
/// generate, and each request is served by the old version in the end.
#[tokio::test(start_paused = true)]
async fn replaced_first_attempt_is_a_sample_of_its_version() {
    run_local(async {
        let mut deployment = Deployment::new(ENGINES, &["a", "b", "c", "d"], &events(5, ms(40)));
        let mut trials = Trials::of(&mut deployment);
        for runner in &deployment.runners[..2] {
            *runner.script.borrow_mut() = Script::Hang;
            runner.generated_events.set(12);
        }
        start_at_new_version(&deployment).await.into_body().collect().await.unwrap();
        let mut new = trials.take_ended().into_iter().filter(|(is_new, _)| *is_new);
        let (_, response) = new.next().expect("the new version got a request and lost it");
        assert_eq!(response, VersionResponse::Lost);
    })
    .await;
}

/// Guards against a run of the old version that is replicated to a runner of the new one, from which the
/// stream would be resumed there.
#[tokio::test(start_paused = true)]
async fn retry_at_the_old_version_is_replicated_to_it() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b", "c", "d"], &events(5, ms(40)));
        for runner in &deployment.runners[..2] {
            *runner.script.borrow_mut() = events(5, ms(900));
            *runner.resume_script.borrow_mut() = Some(Script::NotRun);
        }
        let response = start_at_new_version(&deployment).await;
        let before: Vec<usize> = deployment.runners.iter().map(|r| r.request_count()).collect();
        response.into_body().collect().await.unwrap();
        let new: Vec<String> =
            deployment.runners[..2].iter().map(|r| r.address.to_string()).collect();
        for (runner, before) in deployment.runners.iter().zip(before).skip(2) {
            for request in &runner.requests.borrow()[before..] {
                let holder = request.headers["x-bilberryfront-kv-backup"].to_str().unwrap();
                assert!(!new.iter().any(|address| address == holder), "replicated to {holder}");
            }
        }
    })
    .await;
}

/// Guards against an early 503 or 504 although the first attempt may still be served: no retry is left, and
/// the runner responds after a silence.
#[tokio::test(start_paused = true)]
async fn first_event_is_awaited_without_a_budget() {
    for path in ["/stream/1", "/fixed/1"] {
        run_local(async {
            let mut deployment = Deployment::new(ENGINES, &["a", "b"], &events(5, ms(6_000)));
            let allowance = Allowance { ratio: 0.0, slack: 0.0, window: Duration::from_secs(10) };
            deployment.traffic.budgets = Budgets::new(allowance);
            let loss = async {
                sleep(ms(100)).await;
                deployment.runners.iter().for_each(|runner| runner.is_unresponsive.set(true));
                sleep(ms(3_000)).await;
                deployment.runners.iter().for_each(|runner| runner.is_unresponsive.set(false));
            };
            let (response, ()) = tokio::join!(deployment.send(path, &PROMPT), loss);
            assert_eq!(response.status(), 200, "{path}");
            assert_eq!(deployment.request_count(), 1, "{path}");
        })
        .await;
    }
}

/// Guards against an early 504 of a call whose runner takes longer than the hedge delay of 60 ms, when no
/// retry is left: the runner responds long before the timeout of the route.
#[tokio::test(start_paused = true)]
async fn slow_call_is_awaited_without_a_budget() {
    run_local(async {
        let script = Script::RespondAfter(200, "yes", ms(300));
        let mut deployment = Deployment::new(PLAIN, &["a", "b"], &script);
        let allowance = Allowance { ratio: 0.0, slack: 0.0, window: Duration::from_secs(10) };
        deployment.traffic.budgets = Budgets::new(allowance);
        let received = deployment.serve("/look/1", &[]).await;
        assert_eq!((received.status, deployment.request_count()), (200, 1));
    })
    .await;
}

/// Guards against a late event of a silent run that continues while the end of another attempt is examined:
/// the check whether its runner has crashed may take 50 ms.
#[tokio::test(start_paused = true)]
async fn lost_attempt_does_not_delay_a_run_that_continues() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b", "c"], &events(3, ms(800)));
        let start = Instant::now();
        let mut body = deployment.send("/stream/1", &PROMPT).await.into_body();
        body.frame().await.unwrap().unwrap();
        let (first, rest) = split(&deployment);
        // The replica is not used, as that would end the silent run.
        first.probe_delay.set(ms(1_000));
        let holder = first.header("x-bilberryfront-kv-backup").unwrap();
        let is_holder = |runner: &&Rc<Runner>| runner.address.to_string() == holder;
        rest.iter().find(is_holder).unwrap().is_unresponsive.set(true);
        let other = rest.iter().find(|runner| !is_holder(runner)).unwrap();
        let loss = async {
            sleep(ms(790)).await;
            assert_eq!(other.request_count(), 1, "the silent run was not hedged");
            other.is_unresponsive.set(true);
            other.connections.borrow_mut().drain(..).for_each(|task| task.abort());
        };
        let (frame, ()) = tokio::join!(body.frame(), loss);
        frame.unwrap().unwrap();
        let at = start.elapsed();
        assert!(at < ms(1_610), "the event of 1,600 ms was forwarded after {at:?}");
    })
    .await;
}

/// Guards against blaming a request for runners whose hosts freeze and are lost two seconds later: a request
/// that crashes its runner does so when it begins.
#[tokio::test(start_paused = true)]
async fn request_is_not_blamed_for_a_crash_after_a_silence() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b", "c", "d", "e"], &events(20, ms(30)));
        for _ in 0..3 {
            let before: Vec<usize> = deployment.runners.iter().map(|r| r.request_count()).collect();
            let body = deployment.send("/stream/1", &PROMPT).await.into_body();
            let mut runners = deployment.runners.iter().zip(before);
            let (first, _) = runners.find(|(r, count)| r.request_count() > *count).unwrap();
            let loss = async {
                sleep(ms(200)).await;
                deployment.runners.iter().for_each(|runner| runner.is_unresponsive.set(true));
                sleep(ms(2_000)).await;
                deployment.runners.iter().for_each(|runner| runner.is_unresponsive.set(false));
                first.crash();
            };
            let (body, ()) = tokio::join!(body.collect(), loss);
            assert!(body.is_ok(), "the stream was not resumed");
        }
        assert!(deployment.traffic.quarantine.is_empty());
    })
    .await;
}

/// Guards against a request that waits for a runner which has restarted: it responds to probes, but it has
/// lost the request, whose connection hangs.
#[tokio::test(start_paused = true)]
async fn attempt_at_a_restarted_runner_is_not_waited_for() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b"], &Script::Hang);
        let start = Instant::now();
        let restart = async {
            sleep(ms(10)).await;
            let (first, rest) = split(&deployment);
            rest[0].prefill_time.set(ms(1_200));
            *rest[0].script.borrow_mut() = events(3, ms(40));
            first.is_unresponsive.set(true);
            sleep(ms(2_000)).await;
            first.is_unresponsive.set(false);
            *first.restarted.borrow_mut() = Some(("r-new", "m"));
        };
        let (received, ()) = tokio::join!(deployment.serve("/stream/1", &PROMPT), restart);
        assert_eq!(received.event_ids(), [1, 2, 3]);
        assert!(start.elapsed() < ms(4_000), "took {:?}", start.elapsed());
    })
    .await;
}

/// Guards against requests that wait at a version which was rolled back, and against some that are moved
/// while it is only paused.
#[tokio::test(start_paused = true)]
async fn request_leaves_a_version_only_when_it_is_rolled_back() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b", "c", "d"], &events(5, ms(40)));
        deployment.runners[..2].iter().for_each(|r| r.prefill_time.set(Duration::from_secs(15)));
        deployment.publish_nodes(vec![node_address("n1", 1, "a")]);
        let change = |index: usize, registration: &mut Registration| {
            registration.version = if index < 2 { "v2" } else { "v1" }.into();
        };
        update(&deployment, true, change);
        let requests: Vec<_> = (0..60)
            .map(|_| {
                let deployment = deployment.clone();
                tokio::task::spawn_local(
                    async move { deployment.serve("/stream/1", &PROMPT).await },
                )
            })
            .collect();
        sleep(ms(2_000)).await;
        let waiting = || deployment.runners[..2].iter().map(|r| r.running_streams()).sum::<usize>();
        let assigned = waiting();
        assert!(assigned > 0);
        let set_split = |is_rejected| {
            let view = View::clone(&deployment.traffic.published.load());
            let split = view.splits[ENGINES].clone();
            let split = Split { rule: Rule::OnlyOld, is_rejected, ..split };
            let splits = Arc::new([(ENGINES.into(), split)].into_iter().collect());
            deployment.traffic.published.store(View { splits, ..view });
        };
        set_split(false);
        sleep(ms(1_000)).await;
        assert_eq!(waiting(), assigned, "the version is only paused");
        set_split(true);
        sleep(ms(1_000)).await;
        assert_eq!(waiting(), 0);
        for request in requests {
            assert_eq!(request.await.unwrap().status, 200);
        }
    })
    .await;
}

/// Guards against a stream that is resumed, from its replica or a cached prompt, at a runner of a version
/// that was rolled back.
#[tokio::test(start_paused = true)]
async fn stream_is_not_resumed_at_a_version_that_was_rolled_back() {
    for is_cached in [false, true] {
        run_local(async {
            let deployment = Deployment::new(ENGINES, &["a", "b", "a"], &events(20, ms(40)));
            let set_split = |rule, is_rejected| {
                let view = View::clone(&deployment.traffic.published.load());
                let split = Split { rule, is_rejected, ..view.splits[ENGINES].clone() };
                let splits = Arc::new([(ENGINES.into(), split)].into_iter().collect());
                deployment.traffic.published.store(View { splits, ..view });
            };
            let change = |index: usize, registration: &mut Registration| {
                registration.version = if index < 2 { "v2" } else { "v1" }.into();
            };
            update(&deployment, true, change);
            set_split(Rule::OnlyNew, false);
            let received = if is_cached {
                deployment.runners[0].cached_segments.borrow_mut().push("b7");
                set_split(Rule::OnlyOld, true);
                let headers = [PROMPT[0], PROMPT[1], ("last-event-id", "12")];
                deployment.serve("/stream/1", &headers).await
            } else {
                let lose = async {
                    sleep(ms(200)).await;
                    set_split(Rule::OnlyOld, true);
                    split(&deployment).0.crash();
                };
                tokio::join!(deployment.serve("/stream/1", &PROMPT), lose).0
            };
            assert!(received.is_complete, "{received:?}");
            let sent: Vec<usize> = deployment.runners.iter().map(|r| r.request_count()).collect();
            let bad = usize::from(!is_cached);
            assert_eq!((sent[0] + sent[1], sent[2]), (bad, 1), "cached: {is_cached}");
        })
        .await;
    }
}

/// Guards against a stream that goes on at two runners: the silent run is continued although another one has
/// generated an event at the same time, as after a pause of the instance.
#[tokio::test(start_paused = true)]
async fn silent_run_is_not_continued_once_another_one_has_started() {
    const GAP: Duration = ms(40);
    const STALL: Duration = ms(420);
    let mut ties = 0;
    for time in 0..100 {
        run_local(async {
            let deployment = Deployment::new(ENGINES, &["a", "b"], &events(60, GAP));
            let response = deployment.send("/stream/1", &PROMPT).await;
            let (first, rest) = split(&deployment);
            let silence = async {
                sleep(ms(210)).await;
                first.pause_streams_for(STALL + ms(time));
                Instant::now() + STALL + ms(time)
            };
            let (continued_at, body) = tokio::join!(silence, response.into_body().collect());
            body.unwrap();
            let span = |runner: &Runner| runner.runs.borrow().first().map(|(_, span)| *span);
            let (former, Some(other)) = (span(&first).unwrap(), span(&rest[0])) else { return };
            let started_at = other.start + GAP;
            if started_at == continued_at {
                ties += 1;
                let overlap = former.end.unwrap() - started_at;
                assert!(overlap < ms(400), "both runners worked for {overlap:?}");
            }
        })
        .await;
    }
    assert_ne!(ties, 0);
}

/// Returns the requests that were resumed from a replica.
fn resumes(runner: &Runner) -> usize {
    let requests = runner.requests.borrow();
    requests.iter().filter(|request| request.headers.contains_key("kv-from")).count()
}

/// Serves a stream whose run is silent for `silence`, while `resume` is what the runner of its replica does.
/// Returns for how long both runners worked after the replica's runner had begun, and whether the first run
/// was the last one as well.
async fn overlap(silence: Duration, resume: impl Fn(&Runner)) -> (Option<Duration>, bool) {
    let deployment = Deployment::new(ENGINES, &["a", "b", "c"], &events(60, ms(40)));
    for runner in &deployment.runners {
        runner.prefill_time.set(ms(1_000));
        resume(runner);
    }
    let silence = async {
        sleep(ms(1_210)).await;
        split(&deployment).0.pause_streams_for(silence);
    };
    let (received, ()) = tokio::join!(deployment.serve("/stream/1", &PROMPT), silence);
    assert!(received.is_complete, "{received:?}");
    assert!(received.event_ids().into_iter().eq(1..=60), "{received:?}");
    let former = |runner: &&Rc<Runner>| resumes(runner) == 0 && runner.request_count() > 0;
    let first = deployment.runners.iter().find(former).expect("the first run is no resumed one");
    let end = first.runs.borrow()[0].1.end.expect("the stream has ended");
    let next = deployment.runners.iter().find(|runner| resumes(runner) > 0);
    let begin = next.and_then(|runner| runner.runs.borrow().first().map(|(_, span)| span.start));
    (begin.map(|begin| end.saturating_duration_since(begin)), end.elapsed() < ms(40))
}

/// Guards against a stream that goes on at two runners: the runner of the replica has accepted it and has no
/// event yet, while the silent run is kept, or continues.
#[tokio::test(start_paused = true)]
async fn former_run_ends_when_its_replica_is_used() {
    let mut count = 0;
    for lag in (0..900).step_by(50) {
        for silence in (430..1_600).step_by(65) {
            let resume = |runner: &Runner| runner.resume_time.set(ms(lag));
            let (overlap, _) = run_local(overlap(ms(silence), resume)).await;
            let Some(overlap) = overlap else { continue };
            count += 1;
            assert!(
                overlap < ms(400),
                "both runners worked for {overlap:?}: silence {silence} ms, first event after {lag} ms"
            );
        }
    }
    assert!(count > 200, "{count} streams were resumed from a replica");
}

/// Guards against a stream that goes on at two runners: the response of the replica's runner is lost, which
/// may have run the request, and the silent run continues.
#[tokio::test(start_paused = true)]
async fn former_run_ends_although_the_resumed_one_is_lost() {
    for silence in (500..2_000).step_by(90) {
        run_local(async {
            let deployment = Deployment::new(ENGINES, &["a", "b", "c"], &events(60, ms(40)));
            for runner in &deployment.runners {
                *runner.resume_script.borrow_mut() = Some(Script::Close);
            }
            let pause = async {
                sleep(ms(210)).await;
                let first = split(&deployment).0;
                first.pause_streams_for(ms(silence));
                first
            };
            let (received, first) = tokio::join!(deployment.serve("/stream/1", &PROMPT), pause);
            assert!(received.is_complete, "{received:?}");
            let is_resume = |at: &&Rc<Runner>| resumes(at) > 0;
            let Some(next) = deployment.runners.iter().find(is_resume) else { return };
            let begin = next.requests.borrow()[0].at;
            let end = first.runs.borrow()[0].1.end.expect("the stream has ended");
            let overlap = end.saturating_duration_since(begin);
            assert!(overlap < ms(400), "silence of {silence} ms: {overlap:?}");
        })
        .await;
    }
}

/// Guards against a silent run that is ended although nothing replaces it: the replica's runner rejects the
/// request, as it has no replica.
#[tokio::test(start_paused = true)]
async fn silent_run_is_kept_if_its_replica_is_rejected() {
    for delay in [0, 20, 60] {
        let reject = |runner: &Runner| {
            *runner.resume_script.borrow_mut() = Some(Script::NotRunAfter(ms(delay)));
        };
        for silence in (430..900).step_by(35) {
            let (overlap, is_kept) = run_local(overlap(ms(silence), reject)).await;
            assert_eq!((overlap, is_kept), (None, true), "silence of {silence} ms");
        }
    }
}
