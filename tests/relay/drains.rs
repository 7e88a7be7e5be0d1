//! Runners that announce in their answers that they leave.

use {
    super::support::{ENGINES, Ends, PLAIN, Script, World, ms, play},
    tokio::time::{Instant, sleep},
};

const EVENTS: Script = Script::Events { last: 3, gap: ms(5), ends: Ends::Whole };

/// Guards against requests to a runner that has announced that it leaves, while the store is away, its
/// registration still says ready, and older lists of runners are applied again.
#[tokio::test(start_paused = true)]
async fn no_request_reaches_a_runner_after_its_announcement() {
    for (service, path, script) in [
        (PLAIN, "/lodge/1", Script::Whole(200, "lodged")),
        (PLAIN, "/look/1", Script::Whole(500, "no")),
        (PLAIN, "/lodge/1", Script::NotRun),
        (ENGINES, "/stream/1", EVENTS),
        (ENGINES, "/fixed/1", EVENTS),
    ] {
        play(async {
            let world = World::new(service, &["a", "b", "c"], &script);
            world.runners[0].leaving.set(true);
            for _ in 0..200 {
                world.serve(path, &[]).await;
                world.publish();
                sleep(ms(20)).await;
            }
            let count = world.runners[0].count();
            assert_eq!(count, 1, "{path}: requests to a leaving runner");
        })
        .await;
    }
}

/// Guards against an announcement that is recorded from some kinds of responses only.
#[tokio::test(start_paused = true)]
async fn an_announcement_is_recorded_from_any_response() {
    for script in [Script::Whole(200, "lodged"), Script::Whole(500, "no"), Script::NotRun] {
        play(async {
            let world = World::new(PLAIN, &["a"], &script);
            world.runners[0].leaving.set(true);
            world.serve("/lodge/1", &[]).await;
            let fleet = &world.traffic.client.fleet;
            assert!(fleet.is_draining(fleet.find("r-0").unwrap().key), "{script:?}");
        })
        .await;
    }
}

/// Guards against a wait, or a request to a leaving runner, where no other is left.
#[tokio::test(start_paused = true)]
async fn a_request_is_rejected_at_once_when_all_runners_leave() {
    play(async {
        let world = World::new(PLAIN, &["a"], &Script::Whole(200, "lodged"));
        world.runners[0].leaving.set(true);
        world.serve("/lodge/1", &[]).await;
        let start = Instant::now();
        let received = world.serve("/lodge/2", &[]).await;
        assert_eq!((received.status, start.elapsed(), world.sends()), (503, ms(0), 1));
    })
    .await;
}
