//! Runners that announce in their answers that they leave.

use super::support::{PLAIN, Script, World, play};

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
