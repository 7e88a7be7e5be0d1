//! Runners that reject requests for some time.

use {
    super::support::{ENGINES, Ends, PLAIN, Script, World, ms, play},
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

const EVENTS: Script = Script::Events { last: 3, gap: ms(5), ends: Ends::Whole };

/// Guards against requests to a runner before the time that its rejection stated is over, and against a
/// runner that is not used again after it.
#[tokio::test(start_paused = true)]
async fn no_request_reaches_a_runner_before_its_retry_after() {
    for (service, path, script) in [
        (PLAIN, "/lodge/1", Script::Whole(200, "lodged")),
        (PLAIN, "/look/1", Script::Whole(500, "no")),
        (ENGINES, "/stream/1", EVENTS),
        (ENGINES, "/fixed/1", EVENTS),
    ] {
        play(async {
            let world = World::new(service, &["a", "b", "c"], &script);
            let runner = &world.runners[0];
            *runner.script.borrow_mut() = Script::NotRun;
            runner.retry_after.set(Some("2.5"));
            while runner.count() == 0 {
                world.serve(path, &[]).await;
            }
            let end = Instant::now() + ms(2_400);
            while Instant::now() < end {
                world.serve(path, &[]).await;
                sleep(ms(20)).await;
            }
            assert_eq!(runner.count(), 1, "{path}");
            sleep(ms(200)).await;
            for _ in 0..50 {
                world.serve(path, &[]).await;
            }
            assert!(runner.count() > 1, "{path}");
        })
        .await;
    }
}

/// Guards against a caller that is sent back before, or long after, the first runner takes requests again.
#[tokio::test(start_paused = true)]
async fn callers_get_the_shortest_wait_of_all_runners() {
    play(async {
        let world = World::new(PLAIN, &["a", "b"], &Script::NotRun);
        world.runners[0].retry_after.set(Some("3"));
        world.runners[1].retry_after.set(Some("20"));
        world.serve("/lodge/1", &[]).await;
        let start = Instant::now();
        let received = world.serve("/lodge/2", &[]).await;
        assert_eq!((received.status, start.elapsed(), world.sends()), (503, Duration::ZERO, 2));
        let retry: f64 = received.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!((2.9..4.0).contains(&retry), "{retry}");
    })
    .await;
}
