//! Runners that give a response twice: the second copy arrives where the next response is expected.

use {
    super::support::{
        Deployment, ENGINES, PLAIN, Received, Script, StreamEnd, call, ms, run_local,
    },
    tokio::{task::yield_now, time::sleep},
};

const EVENTS: Script = Script::Events { last: 5, gap: ms(10), end: StreamEnd::Complete };

/// Sends a request with the attempt id `id`.
async fn serve_as(deployment: &Deployment, path: &str, id: &'static str) -> Received {
    let mut call = call(path, &[]);
    call.head.headers.insert("x-bilberryfront-attempt-id", id.parse().unwrap());
    call.head.id = id.into();
    deployment.serve_call(call).await
}

/// Returns the number of times that the runners have received the request `id`.
fn count_received(deployment: &Deployment, id: &str) -> usize {
    let is_id = |headers: &http::HeaderMap| headers["x-bilberryfront-attempt-id"] == id;
    let runners = deployment.runners.iter();
    runners.map(|r| r.requests.borrow().iter().filter(|r| is_id(&r.headers)).count()).sum()
}

fn repeat_responses(deployment: &Deployment) {
    deployment.runners.iter().for_each(|runner| runner.repeats.set(true));
}

/// Guards against a request that runs twice, or is reported as not run although it runs: the second copy
/// of the rejection of another request is taken for its own.
#[tokio::test(start_paused = true)]
async fn a_copy_of_a_rejection_is_not_the_response_to_the_next_request() {
    let cases =
        [(PLAIN, "/lodge/1", Script::Respond(200, "lodged")), (ENGINES, "/fixed/1", EVENTS)];
    for (service, path, script) in cases {
        run_local(async {
            let deployment = Deployment::new(service, &["a", "b"], &Script::NotRun);
            assert_eq!(serve_as(&deployment, path, "a1").await.status, 503);
            deployment.runners.iter().for_each(|r| *r.script.borrow_mut() = script.clone());
            repeat_responses(&deployment);
            let received = serve_as(&deployment, path, "a2").await;
            assert_eq!((received.status, count_received(&deployment, "a2")), (502, 1), "{path}");
        })
        .await;
    }
}

/// Guards against a runner that gets no requests because of a pause that it stated in a rejection before,
/// whose second copy arrives after the pause.
#[tokio::test(start_paused = true)]
async fn a_copy_of_a_rejection_does_not_pause_its_runner_again() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a"], &Script::NotRun);
        deployment.runners[0].retry_after.set(Some("0.3"));
        assert_eq!(serve_as(&deployment, "/lodge/1", "a1").await.status, 503);
        sleep(ms(400)).await;
        *deployment.runners[0].script.borrow_mut() = Script::Respond(200, "lodged");
        repeat_responses(&deployment);
        assert_eq!(serve_as(&deployment, "/lodge/1", "a2").await.status, 502);
        let fleet = &deployment.traffic.client.fleet;
        let endpoint = fleet.find(&deployment.runners[0].id).unwrap();
        assert_eq!(fleet.paused_until(endpoint.key), None);
    })
    .await;
}

/// Guards against a request that ends as lost: the second copy of another response is taken for the response
/// to a control request, whose own response then arrives as the response to the next request.
#[tokio::test(start_paused = true)]
async fn a_copy_of_a_response_is_not_the_response_to_a_control_request() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a"], &EVENTS);
        assert_eq!(serve_as(&deployment, "/fixed/1", "a1").await.status, 200);
        let runner = &deployment.runners[0];
        runner.probe_delay.set(ms(50));
        runner.repeats.set(true);
        let client = &deployment.traffic.client;
        let endpoint = client.fleet.find(&runner.id).unwrap();
        assert_eq!(client.cached_tokens(&endpoint, 0xb7).await, 0);
        runner.repeats.set(false);
        let received = serve_as(&deployment, "/fixed/2", "a2").await;
        assert_eq!((received.status, received.event_ids()), (200, vec![1, 2, 3, 4, 5]));
    })
    .await;
}

/// Guards against a stream that runs twice on its only runner: the second copy of its own rejection is taken
/// for the response to its next attempt.
#[tokio::test(start_paused = true)]
async fn a_copy_of_a_rejection_is_not_the_response_to_the_next_attempt() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a"], &Script::NotRun);
        let runner = deployment.runners[0].clone();
        runner.repeats.set(true);
        let accept_later = async {
            while runner.request_count() == 0 {
                yield_now().await;
            }
            *runner.script.borrow_mut() = EVENTS;
        };
        let (received, ()) = tokio::join!(serve_as(&deployment, "/fixed/1", "a1"), accept_later);
        assert_eq!((received.status, runner.runs.borrow().len()), (200, 1));
        assert_eq!(received.event_ids(), [1, 2, 3, 4, 5]);
    })
    .await;
}

/// Guards against a stream that is resumed from the replica of another one: the second copy of the response
/// to a replication request is taken for the response to the next, and neither bears an id.
#[tokio::test(start_paused = true)]
async fn a_copy_of_a_replication_response_is_not_the_response_to_the_next() {
    for probe_count in [0, 1, 2] {
        run_local(async {
            let deployment = Deployment::new(ENGINES, &["a"], &EVENTS);
            for id in ["a1", "a2"] {
                assert_eq!(serve_as(&deployment, "/fixed/1", id).await.status, 200);
            }
            let client = &deployment.traffic.client;
            let source = client.fleet.find(&deployment.runners[0].id).unwrap();
            assert_eq!(client.replicate(&source, &source, "a1").await.as_deref(), Some("h1"));
            deployment.runners[0].repeats.set(true);
            for _ in 0..probe_count {
                client.cached_tokens(&source, 0xb7).await;
            }
            let handle = client.replicate(&source, &source, "a2").await;
            assert_ne!(handle.as_deref(), Some("h1"), "after {probe_count} probes");
            assert!(probe_count > 0 || handle.is_some(), "the replica was not made");
        })
        .await;
    }
}
