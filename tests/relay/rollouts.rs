//! Requests during a rollout, through one node.

use {
    super::support::{
        Deployment, ENGINES, PLAIN, Script, StreamEnd, Trials, ms, node_address, run_local,
    },
    bilberryfront_decide::mover::MoveId,
    bilberryfront_relay::view::{Registration, Rule, Split, State, View},
    std::sync::Arc,
    tokio::time::sleep,
};

/// Numbers of runners of the new and of the old version.
const RUNNERS: (usize, usize) = (2, 2);
/// Number of nodes, of which only one is in address responses.
const NODES: usize = 6;

/// Returns a node during a rollout. The first runners have the new version, and respond with `status`.
fn start_rollout(status: u16) -> Deployment {
    let (new, old) = RUNNERS;
    let deployment =
        Deployment::new(PLAIN, &["a"; RUNNERS.0 + RUNNERS.1], &Script::Respond(200, "ok"));
    assert_eq!(deployment.runners.len(), new + old);
    for runner in &deployment.runners[..new] {
        *runner.script.borrow_mut() = Script::Respond(status, "ok");
    }
    deployment.publish_nodes(vec![node_address("n1", 1, "a")]);
    update(&deployment, |index, registration| {
        registration.version = if index < new { "v2" } else { "v1" }.into();
    });
    deployment
}

/// Publishes changed registrations.
fn update(deployment: &Deployment, change: impl Fn(usize, &mut Registration)) {
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
    let splits = Arc::new([(PLAIN.into(), split)].into_iter().collect());
    let runners = Arc::new(runners);
    deployment.traffic.published.store(View { senders: NODES, runners, splits, ..view });
}

/// Returns the number of requests that the new version has received.
fn new_requests(deployment: &Deployment) -> usize {
    deployment.runners[..RUNNERS.0].iter().map(|runner| runner.request_count()).sum()
}

/// Guards against a stream that its caller resumes on a version that was rolled back, because a runner of that
/// version has the prompt in its cache.
#[tokio::test(start_paused = true)]
async fn a_callers_resume_is_not_sent_to_a_version_that_was_rolled_back() {
    run_local(async {
        let events = Script::Events { last: 20, gap: ms(40), end: StreamEnd::Complete };
        let deployment = Deployment::new(ENGINES, &["a", "b"], &events);
        deployment.runners[0].cached_segments.borrow_mut().push("b7");
        let view = View::clone(&deployment.traffic.published.load());
        let mut runners = view.runners.to_vec();
        runners[0].version = "v2".into();
        deployment.traffic.client.fleet.update(&runners);
        let split = Split {
            id: MoveId(1),
            to: "v2".into(),
            rule: Rule::OnlyOld,
            has_slack: true,
            is_rejected: true,
        };
        let splits = Arc::new([(ENGINES.into(), split)].into_iter().collect());
        let runners = Arc::new(runners);
        deployment.traffic.published.store(View { runners, splits, ..view });
        let headers = [
            ("x-bilberryfront-token-counts", "5000,100"),
            ("x-bilberryfront-prompt-prefix", "a1:200,b7:4800"),
            ("last-event-id", "12"),
        ];
        let received = deployment.serve("/stream/1", &headers).await;
        assert_eq!(received.event_ids(), (13..=20).collect::<Vec<u64>>());
        let counts: Vec<usize> = deployment.runners.iter().map(|r| r.request_count()).collect();
        assert_eq!(counts, [0, 1], "requests of the rolled back version and of the other one");
    })
    .await;
}

/// Guards against a stream that is resumed on a version that was rolled back while it ran, because the holder of
/// its replica has that version.
#[tokio::test(start_paused = true)]
async fn a_stream_is_not_resumed_from_a_replica_on_a_version_that_was_rolled_back() {
    run_local(async {
        let events = Script::Events { last: 20, gap: ms(40), end: StreamEnd::Complete };
        let deployment = Deployment::new(ENGINES, &["a", "b", "c"], &events);
        let view = View::clone(&deployment.traffic.published.load());
        let mut runners = view.runners.to_vec();
        runners[..2].iter_mut().for_each(|runner| runner.version = "v2".into());
        deployment.traffic.client.fleet.update(&runners);
        let runners = Arc::new(runners);
        let publish = |rule, is_rejected| {
            let split =
                Split { id: MoveId(1), to: "v2".into(), rule, has_slack: true, is_rejected };
            let splits = Arc::new([(ENGINES.into(), split)].into_iter().collect());
            let runners = runners.clone();
            deployment.traffic.published.store(View { runners, splits, ..view.clone() });
        };
        publish(Rule::OnlyNew, false);
        let headers = [
            ("x-bilberryfront-token-counts", "5000,100"),
            ("x-bilberryfront-prompt-prefix", "a1:200,b7:4800"),
        ];
        let rollback = async {
            sleep(ms(200)).await;
            publish(Rule::OnlyOld, true);
            let first = deployment.runners.iter().find(|r| r.request_count() > 0).unwrap();
            first.crash();
        };
        let (received, ()) = tokio::join!(deployment.serve("/stream/1", &headers), rollback);
        assert_eq!(received.event_ids(), (1..=20).collect::<Vec<u64>>());
        let new: usize = deployment.runners[..2].iter().map(|r| r.request_count()).sum();
        assert_eq!((new, deployment.runners[2].request_count()), (1, 1));
    })
    .await;
}

/// Guards against a node that uses the parts of others, which are not in address responses because they
/// drain, start or are cut off, but assign requests as well.
#[tokio::test(start_paused = true)]
async fn node_uses_its_part_of_the_exposure_bound_only() {
    run_local(async {
        let deployment = start_rollout(200);
        for _ in 0..300 {
            deployment.serve("/look/1", &[]).await;
        }
        let allowed = 0.1 * 300.0 + 50.0 / NODES as f64;
        let new = new_requests(&deployment);
        assert!(new > 0 && new as f64 <= allowed, "{new} requests, {allowed} allowed");
    })
    .await;
}

/// Guards against a node that is cut off from the others and uses their parts of the retry budget.
#[tokio::test(start_paused = true)]
async fn node_uses_its_part_of_the_retry_budget_only() {
    run_local(async {
        let deployment = start_rollout(500);
        update(&deployment, |_, registration| registration.version = "v1".into());
        for runner in &deployment.runners {
            *runner.script.borrow_mut() = Script::Respond(500, "no");
        }
        for _ in 0..120 {
            deployment.serve("/look/1", &[]).await;
        }
        let allowed = 0.8 * 120.0 + 100.0 / NODES as f64;
        let retries = deployment.request_count() - 120;
        assert!(retries as f64 <= allowed, "{retries} retries, {allowed} allowed");
    })
    .await;
}

/// Guards against callers that get an error of the new version, and against a version that gets more bad
/// responses than requests were assigned to it, because retries stay with it.
#[tokio::test(start_paused = true)]
async fn request_that_fails_on_the_new_version_is_retried_on_the_old_one() {
    run_local(async {
        let mut deployment = start_rollout(500);
        let mut trials = Trials::of(&mut deployment);
        for _ in 0..60 {
            assert_eq!(deployment.serve("/look/1", &[]).await.status, 200);
        }
        let assigned = trials.take_ended().into_iter().filter(|(is_new, _)| *is_new).count();
        assert!(assigned > 0);
        assert_eq!(new_requests(&deployment), assigned);
    })
    .await;
}

/// Guards against a good result of the old version that counts for the new one, all of whose runners are
/// unavailable.
#[tokio::test(start_paused = true)]
async fn request_that_ran_on_another_version_is_no_sample() {
    run_local(async {
        let mut deployment = start_rollout(200);
        let mut trials = Trials::of(&mut deployment);
        update(&deployment, |index, registration| {
            if index < RUNNERS.0 {
                registration.state = State::Draining;
            }
        });
        for _ in 0..60 {
            assert_eq!(deployment.serve("/look/1", &[]).await.status, 200);
        }
        let reported = trials.take_ended();
        assert!(reported.iter().any(|(is_new, _)| !is_new));
        assert!(!reported.iter().any(|(is_new, _)| *is_new));
    })
    .await;
}
