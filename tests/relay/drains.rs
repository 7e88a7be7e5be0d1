//! Runners that announce in their responses that they leave.

use {
    super::support::{Deployment, ENGINES, PLAIN, Script, StreamEnd, ms, run_local},
    tokio::time::{Instant, sleep},
};

const EVENTS: Script = Script::Events { last: 3, gap: ms(5), end: StreamEnd::Complete };

/// Guards against requests to a runner that has announced that it leaves while the store is
/// unavailable: its registration still says ready, and older lists of runners are applied again.
#[tokio::test(start_paused = true)]
async fn no_request_reaches_a_runner_after_its_announcement() {
    for (service, path, script) in [
        (PLAIN, "/lodge/1", Script::Respond(200, "lodged")),
        (PLAIN, "/look/1", Script::Respond(500, "no")),
        (PLAIN, "/lodge/1", Script::NotRun),
        (ENGINES, "/stream/1", EVENTS),
        (ENGINES, "/fixed/1", EVENTS),
    ] {
        run_local(async {
            let deployment = Deployment::new(service, &["a", "b", "c"], &script);
            deployment.runners[0].is_leaving.set(true);
            for _ in 0..200 {
                deployment.serve(path, &[]).await;
                deployment.publish();
                sleep(ms(20)).await;
            }
            let count = deployment.runners[0].request_count();
            assert_eq!(count, 1, "{path}: requests to a leaving runner");
        })
        .await;
    }
}

/// Guards against an announcement that is recorded only from some kinds of responses.
#[tokio::test(start_paused = true)]
async fn an_announcement_is_recorded_from_any_response() {
    for script in [Script::Respond(200, "lodged"), Script::Respond(500, "no"), Script::NotRun] {
        run_local(async {
            let deployment = Deployment::new(PLAIN, &["a"], &script);
            deployment.runners[0].is_leaving.set(true);
            deployment.serve("/lodge/1", &[]).await;
            let fleet = &deployment.traffic.client.fleet;
            assert!(fleet.is_draining(fleet.find("r-0").unwrap().key), "{script:?}");
        })
        .await;
    }
}

/// Guards against a wait, or a request to a leaving runner, when no other runner is available.
#[tokio::test(start_paused = true)]
async fn a_request_is_rejected_at_once_when_all_runners_leave() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a"], &Script::Respond(200, "lodged"));
        deployment.runners[0].is_leaving.set(true);
        deployment.serve("/lodge/1", &[]).await;
        let start = Instant::now();
        let received = deployment.serve("/lodge/2", &[]).await;
        assert_eq!((received.status, start.elapsed(), deployment.request_count()), (503, ms(0), 1));
    })
    .await;
}
