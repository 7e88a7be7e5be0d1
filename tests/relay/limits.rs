//! Rate limits that runners state.

use super::support::{PLAIN, Script, World, ms, play};

/// Guards against a limit that neither logs nor metrics show.
#[tokio::test(start_paused = true)]
async fn requests_to_a_limited_runner_are_counted() {
    play(async {
        let world = World::new(PLAIN, &["a", "b"], &Script::Whole(500, "no"));
        world.runners.iter().for_each(|runner| runner.rate_limit.set(Some(1000.0)));
        world.serve("/look/1", &[]).await;
        tokio::time::sleep(ms(100)).await;
        world.serve("/look/1", &[]).await;
        let text = world.traffic.metrics.text(0);
        for line in
            ["limited_sends_total{send=\"First\"} 1", "limited_sends_total{send=\"Repeat\"} 1"]
        {
            assert!(text.contains(line), "{line} is not in {text}");
        }
    })
    .await;
}
