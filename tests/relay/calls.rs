//! Calls to plain services.

use {
    super::support::{Deployment, ENGINES, PLAIN, Script, call, ms, run_local},
    bilberryfront_relay::{
        budget::{Allowance, Budgets},
        dialect::SendOptions,
        runner_client::SendOutcome,
    },
    tokio::time::{Instant, sleep},
};

/// Guards against a duplicated effect: the runner reads a non-idempotent call and the connection
/// breaks before the response, so the call may have been executed. It must be sent once only, and
/// the response must be 502, which does not state that the call was not executed.
#[tokio::test(start_paused = true)]
async fn a_call_that_may_have_been_executed_is_not_sent_again() {
    for script in [Script::Close, Script::WrongAttempt] {
        run_local(async {
            let deployment = Deployment::new(PLAIN, &["a", "b", "c"], &script);
            let received = deployment.serve("/lodge/1", &[]).await;
            assert_eq!((received.status, deployment.request_count()), (502, 1), "{script:?}");
        })
        .await;
    }
}

/// Guards against a request that is sent to a runner of another service, whichever way that was selected.
#[tokio::test(start_paused = true)]
async fn a_request_is_not_sent_to_a_runner_of_another_service() {
    run_local(async {
        let script = Script::Respond(200, "lodged");
        let deployment = Deployment::new(PLAIN, &["a"], &script).with_runner(ENGINES, &script);
        let client = &deployment.traffic.client;
        let engine = client.fleet.find(&deployment.runners[1].id).unwrap();
        let call = call("/lodge/1", &[]);
        let options = SendOptions {
            runner: engine.id.clone(),
            resume: None,
            replica_to: None,
            from_replica: None,
            earlier: 0,
            priority: None,
        };
        let sent = client.send(&call, &engine, &options, call.deadline(), || true).await;
        assert!(matches!(sent, SendOutcome::Withheld));
        assert_eq!(deployment.request_count(), 0);
    })
    .await;
}

/// Guards against a call that outlasts its route's timeout when the runner does not respond, and
/// against a response (503) that states that the call was not executed.
#[tokio::test(start_paused = true)]
async fn a_call_to_an_unresponsive_runner_ends_at_its_timeout() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a", "b"], &Script::Hang);
        let start = Instant::now();
        let received = deployment.serve("/lodge/1", &[]).await;
        assert_eq!((received.status, deployment.request_count()), (504, 1));
        assert_eq!(start.elapsed(), ms(800));
    })
    .await;
}

/// Guards against a failed call when connections cannot be opened: nothing was sent, so the call
/// may be sent to another runner.
#[tokio::test(start_paused = true)]
async fn a_call_is_sent_to_another_runner_after_failed_connections() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a", "b", "c"], &Script::Respond(200, "lodged"));
        deployment.runners[0].crash();
        deployment.runners[1].is_unresponsive.set(true);
        for _ in 0..10 {
            let received = deployment.serve("/lodge/1", &[]).await;
            assert_eq!((received.status, received.text.as_str()), (200, "lodged"));
        }
        assert_eq!(deployment.runners[2].request_count(), 10);
    })
    .await;
}

/// Guards against a delayed or missing rejection when every runner states that it did not execute
/// the call. The response contains `Retry-After`.
#[tokio::test(start_paused = true)]
async fn a_call_that_all_runners_reject_is_rejected_at_once() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a", "b"], &Script::NotRun);
        let start = Instant::now();
        let received = deployment.serve("/lodge/1", &[]).await;
        assert_eq!(received.status, 503);
        assert!(start.elapsed() < ms(50), "took {:?}", start.elapsed());
        let retry: f64 = received.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!((0.1..1.0).contains(&retry));
    })
    .await;
}

/// Guards against an idempotent request that is not retried at another runner. If all runners fail,
/// the caller gets the response of a runner, with its stamp, instead of one that the node
/// generated.
#[tokio::test(start_paused = true)]
async fn an_idempotent_request_is_retried_at_another_runner() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a", "b"], &Script::Respond(500, "no"));
        let received = deployment.serve("/look/1", &[]).await;
        assert_eq!((received.status, deployment.request_count()), (500, 2));
        assert!(received.headers.contains_key("x-bilberryfront-server-stamp"));
        *deployment.runners[0].script.borrow_mut() = Script::Respond(200, "yes");
        let received = deployment.serve("/look/2", &[]).await;
        assert_eq!((received.status, received.text.as_str()), (200, "yes"));
    })
    .await;
}

/// Guards against a late retry of an idempotent request: the first runner is unresponsive, and the
/// route's latency objective is 100 ms.
#[tokio::test(start_paused = true)]
async fn an_idempotent_request_leaves_an_unresponsive_runner_in_time() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a", "b"], &Script::Respond(200, "yes"));
        deployment.runners[0].is_unresponsive.set(true);
        for _ in 0..5 {
            let start = Instant::now();
            let received = deployment.serve("/look/1", &[]).await;
            assert_eq!(received.status, 200);
            assert!(start.elapsed() < ms(300), "took {:?}", start.elapsed());
        }
    })
    .await;
}

/// Guards against internal headers that a caller sets and the node forwards. The node sets the
/// expected instance and the deadline itself.
#[tokio::test(start_paused = true)]
async fn a_caller_cannot_set_the_systems_headers() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a"], &Script::Respond(200, "yes"));
        let headers = [
            ("x-bilberryfront-deadline-ms", "700"),
            ("x-bilberryfront-tenant", "forged"),
            ("x-bilberryfront-expect-instance", "forged"),
            ("x-bilberryfront-hold", "forged"),
            ("x-bilberryfront-pin-ms", "9"),
            ("x-bilberryfront-kv-backup", "127.0.0.9:1"),
            ("kv-from", "127.0.0.9:1/x"),
            ("authorization", "Bearer secret"),
            ("x-other", "kept"),
        ];
        deployment.serve("/lodge/1", &headers).await;
        let runner = &deployment.runners[0];
        for name in ["x-bilberryfront-tenant", "x-bilberryfront-hold", "x-bilberryfront-pin-ms"] {
            assert_eq!(runner.header(name), None, "{name}");
        }
        for name in ["x-bilberryfront-kv-backup", "kv-from", "authorization"] {
            assert_eq!(runner.header(name), None, "{name}");
        }
        assert_eq!(runner.header("x-bilberryfront-expect-instance").as_deref(), Some("r-0"));
        assert_eq!(runner.header("x-bilberryfront-deadline-ms").as_deref(), Some("700"));
        assert_eq!(runner.header("x-other").as_deref(), Some("kept"));
    })
    .await;
}

/// Guards against runners that work without a limit: the caller states no deadline, and the route's timeout
/// applies.
#[tokio::test(start_paused = true)]
async fn request_without_a_deadline_is_sent_with_that_of_the_route() {
    for (path, limit) in [("/lodge/1", 800), ("/look/1", 800), ("/stream/1", 20_000)] {
        run_local(async {
            let service = if limit == 800 { PLAIN } else { ENGINES };
            let script = Script::RespondAfter(500, "no", ms(300));
            let deployment = Deployment::new(service, &["a", "b"], &script);
            let start = Instant::now();
            deployment.serve(path, &[]).await;
            assert!(deployment.request_count() > 0);
            for runner in &deployment.runners {
                for request in &*runner.requests.borrow() {
                    let left = request.headers.get("x-bilberryfront-deadline-ms");
                    let left: u64 = left.expect(path).to_str().unwrap().parse().unwrap();
                    let elapsed = request.at.duration_since(start).as_millis() as u64;
                    assert!(left + elapsed <= limit, "{path}: {left} ms after {elapsed} ms");
                }
            }
        })
        .await;
    }
}

/// Guards against calls that are rejected because connection attempts to crashed runners used up
/// the retry budget.
#[tokio::test(start_paused = true)]
async fn a_failed_connection_uses_no_retry_budget() {
    run_local(async {
        for path in ["/lodge/1", "/look/1"] {
            let mut deployment =
                Deployment::new(PLAIN, &["a", "b", "c"], &Script::Respond(200, "served"));
            let allowance = Allowance { ratio: 0.0, slack: 0.0, window: ms(10_000) };
            deployment.traffic.budgets = Budgets::new(allowance);
            deployment.runners[0].crash();
            deployment.runners[1].crash();
            assert_eq!(deployment.serve(path, &[]).await.status, 200);
        }
    })
    .await;
}

/// Guards against a lookup that is given up although its runner would have responded in time: all
/// runners are silent for a while, and no retry is left in the budget.
#[tokio::test(start_paused = true)]
async fn an_idempotent_request_waits_for_its_runner_if_there_is_no_retry() {
    run_local(async {
        let script = Script::RespondAfter(200, "yes", ms(300));
        let mut deployment = Deployment::new(PLAIN, &["a", "b"], &script);
        let allowance = Allowance { ratio: 0.0, slack: 0.0, window: ms(10_000) };
        deployment.traffic.budgets = Budgets::new(allowance);
        let start = Instant::now();
        let received = deployment.serve("/look/1", &[]).await;
        assert_eq!((received.status, deployment.request_count()), (200, 1));
        assert_eq!(start.elapsed(), ms(300));
    })
    .await;
}

/// Guards against a lookup whose first runner is left as silent, although it responds before the second
/// one does, and against a run that continues after the response of the other.
#[tokio::test(start_paused = true)]
async fn the_first_response_to_an_idempotent_request_wins() {
    for (first, second) in [(200, 2_000), (2_000, 100)] {
        run_local(async {
            let script = Script::RespondAfter(200, "yes", ms(first));
            let deployment = Deployment::new(PLAIN, &["a", "b"], &script);
            let start = Instant::now();
            let (received, ()) = tokio::join!(deployment.serve("/look/1", &[]), async {
                sleep(ms(30)).await;
                let other = deployment.runners.iter().find(|r| r.request_count() == 0).unwrap();
                *other.script.borrow_mut() = Script::RespondAfter(200, "yes", ms(second));
            });
            assert_eq!((received.status, deployment.request_count()), (200, 2));
            assert_eq!(start.elapsed(), ms(first.min(second + 60)));
            sleep(ms(1)).await;
            assert!(deployment.runners.iter().all(|runner| runner.running.get() == 0));
        })
        .await;
    }
}

/// Guards against lookups that use up the retry budget in a silence of all runners: none of them
/// responds to another request either.
#[tokio::test(start_paused = true)]
async fn idempotent_requests_are_not_sent_to_further_silent_runners() {
    run_local(async {
        let script = Script::RespondAfter(200, "yes", ms(500));
        let deployment = Deployment::new(PLAIN, &["a", "b"], &script);
        let lookups = (0..20).map(|_| deployment.serve("/look/1", &[]));
        let received = futures_util::future::join_all(lookups).await;
        assert!(received.iter().all(|received| received.status == 200));
        // The first request finds a runner silent before the other one is known to be.
        assert!(deployment.request_count() <= 21, "{} requests", deployment.request_count());
    })
    .await;
}

/// Guards against the failure of a slow runner that is returned although the request was sent to another
/// one, which has not responded yet.
#[tokio::test(start_paused = true)]
async fn a_late_failure_does_not_end_the_next_attempt() {
    run_local(async {
        let script = Script::RespondAfter(500, "no", ms(80));
        let deployment = Deployment::new(PLAIN, &["a", "b"], &script);
        let (received, ()) = tokio::join!(deployment.serve("/look/1", &[]), async {
            sleep(ms(30)).await;
            let other = deployment.runners.iter().find(|r| r.request_count() == 0).unwrap();
            *other.script.borrow_mut() = Script::RespondAfter(200, "yes", ms(300));
        });
        assert_eq!((received.status, deployment.request_count()), (200, 2));
    })
    .await;
}

/// Guards against the failure of a runner that is held back until the deadline of a lookup, while
/// another runner is silent.
#[tokio::test(start_paused = true)]
async fn a_failure_is_not_held_back_for_a_silent_runner() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a", "b"], &Script::Hang);
        let start = Instant::now();
        let (received, ()) = tokio::join!(deployment.serve("/look/1", &[]), async {
            sleep(ms(30)).await;
            let other = deployment.runners.iter().find(|r| r.request_count() == 0).unwrap();
            *other.script.borrow_mut() = Script::Respond(500, "no");
        });
        assert_eq!((received.status, deployment.request_count()), (500, 2));
        assert!(start.elapsed() <= ms(120), "took {:?}", start.elapsed());
    })
    .await;
}
