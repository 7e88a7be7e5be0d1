//! Runners that reject requests for some time.

use {
    super::support::{Deployment, ENGINES, PLAIN, Script, StreamEnd, ms, run_local},
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

const EVENTS: Script = Script::Events { last: 3, gap: ms(5), end: StreamEnd::Complete };

/// Guards against requests to a runner before the `Retry-After` time of its rejection is over, and
/// against a runner that is not used again afterwards.
#[tokio::test(start_paused = true)]
async fn no_request_reaches_a_runner_before_its_retry_after() {
    for (service, path, script) in [
        (PLAIN, "/lodge/1", Script::Respond(200, "lodged")),
        (PLAIN, "/look/1", Script::Respond(500, "no")),
        (ENGINES, "/stream/1", EVENTS),
        (ENGINES, "/fixed/1", EVENTS),
    ] {
        run_local(async {
            let deployment = Deployment::new(service, &["a", "b", "c"], &script);
            let runner = &deployment.runners[0];
            *runner.script.borrow_mut() = Script::NotRun;
            runner.retry_after.set(Some("2.5"));
            while runner.request_count() == 0 {
                deployment.serve(path, &[]).await;
            }
            let end = Instant::now() + ms(2_400);
            while Instant::now() < end {
                deployment.serve(path, &[]).await;
                sleep(ms(20)).await;
            }
            assert_eq!(runner.request_count(), 1, "{path}");
            sleep(ms(200)).await;
            for _ in 0..50 {
                deployment.serve(path, &[]).await;
            }
            assert!(runner.request_count() > 1, "{path}");
        })
        .await;
    }
}

/// Guards against a `Retry-After` that ends before, or long after, the first runner accepts
/// requests again.
#[tokio::test(start_paused = true)]
async fn callers_get_the_shortest_wait_of_all_runners() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a", "b"], &Script::NotRun);
        deployment.runners[0].retry_after.set(Some("3"));
        deployment.runners[1].retry_after.set(Some("20"));
        deployment.serve("/lodge/1", &[]).await;
        let start = Instant::now();
        let received = deployment.serve("/lodge/2", &[]).await;
        assert_eq!(
            (received.status, start.elapsed(), deployment.request_count()),
            (503, Duration::ZERO, 2)
        );
        let retry: f64 = received.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!((2.9..4.0).contains(&retry), "{retry}");
    })
    .await;
}
