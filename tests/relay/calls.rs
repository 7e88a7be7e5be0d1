//! Calls to plain services.

use {
    super::support::{PLAIN, Script, World, ms, play},
    bilberryfront_relay::budget::{Allowance, Budgets},
    tokio::time::Instant,
};

/// The caller posts a correction; the runner takes it and the connection breaks before its answer.
/// The runner may have lodged it: a second send could lodge it twice, and "not run" could be a lie.
/// So there is one send, and 502, which promises nothing.
#[tokio::test(start_paused = true)]
async fn a_call_that_may_have_run_is_never_sent_again_nor_called_not_run() {
    for script in [Script::Close, Script::Crossed] {
        play(async {
            let world = World::new(PLAIN, &["a", "b", "c"], &script);
            let received = world.serve("/lodge/1", &[]).await;
            assert_eq!((received.status, world.sends()), (502, 1), "{script:?}");
        })
        .await;
    }
}

/// The runner takes the correction and says nothing. At the route's timeout the caller gets its final
/// answer, and that answer doesn't say that the correction hasn't run.
#[tokio::test(start_paused = true)]
async fn a_silent_runner_ends_a_call_at_its_timeout() {
    play(async {
        let world = World::new(PLAIN, &["a", "b"], &Script::Hang);
        let start = Instant::now();
        let received = world.serve("/lodge/1", &[]).await;
        assert_eq!((received.status, world.sends()), (504, 1));
        assert_eq!(start.elapsed(), ms(800));
    })
    .await;
}

/// Runners that are gone take no connection: no byte left, so the call goes on to one that does.
#[tokio::test(start_paused = true)]
async fn a_call_goes_past_runners_that_take_no_connection() {
    play(async {
        let world = World::new(PLAIN, &["a", "b", "c"], &Script::Whole(200, "lodged"));
        world.runners[0].crash();
        world.runners[1].dark.set(true);
        for _ in 0..10 {
            let received = world.serve("/lodge/1", &[]).await;
            assert_eq!((received.status, received.text.as_str()), (200, "lodged"));
        }
        assert_eq!(world.runners[2].count(), 10);
    })
    .await;
}

/// Every runner vouches that it didn't run the call: the caller is told so at once, and when to come
/// back.
#[tokio::test(start_paused = true)]
async fn a_call_that_no_runner_takes_is_refused_at_once_as_not_run() {
    play(async {
        let world = World::new(PLAIN, &["a", "b"], &Script::NotRun);
        let start = Instant::now();
        let received = world.serve("/lodge/1", &[]).await;
        assert_eq!(received.status, 503);
        assert!(start.elapsed() < ms(50), "took {:?}", start.elapsed());
        let retry: f64 = received.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!((0.1..1.0).contains(&retry));
    })
    .await;
}

/// A look-up fails at one runner and would succeed at another: the caller sees the success. When both
/// fail, it sees a runner's own failure, signed, and not one of this node's.
#[tokio::test(start_paused = true)]
async fn a_look_up_is_repeated_at_another_runner() {
    play(async {
        let world = World::new(PLAIN, &["a", "b"], &Script::Whole(500, "no"));
        let received = world.serve("/look/1", &[]).await;
        assert_eq!((received.status, world.sends()), (500, 2));
        assert!(received.headers.contains_key("x-bilberryfront-server-stamp"));
        *world.runners[0].script.borrow_mut() = Script::Whole(200, "yes");
        let received = world.serve("/look/2", &[]).await;
        assert_eq!((received.status, received.text.as_str()), (200, "yes"));
    })
    .await;
}

/// A look-up's first runner falls silent. The other one is asked early enough for an answer within the
/// route's objective of 100 ms.
#[tokio::test(start_paused = true)]
async fn a_look_up_leaves_a_silent_runner_in_time() {
    play(async {
        let world = World::new(PLAIN, &["a", "b"], &Script::Whole(200, "yes"));
        world.runners[0].dark.set(true);
        for _ in 0..5 {
            let start = Instant::now();
            let received = world.serve("/look/1", &[]).await;
            assert_eq!(received.status, 200);
            assert!(start.elapsed() < ms(300), "took {:?}", start.elapsed());
        }
    })
    .await;
}

/// What a caller sends in the system's own headers is not passed on, and the runner is told which
/// runner is meant and how long the caller waits.
#[tokio::test(start_paused = true)]
async fn a_caller_cannot_set_the_systems_headers() {
    play(async {
        let world = World::new(PLAIN, &["a"], &Script::Whole(200, "yes"));
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
        world.serve("/lodge/1", &headers).await;
        let runner = &world.runners[0];
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

/// Guards against calls that are rejected because connections to dead runners used up the retries.
#[tokio::test(start_paused = true)]
async fn an_attempt_without_a_connection_takes_no_retry() {
    play(async {
        for path in ["/lodge/1", "/look/1"] {
            let mut world = World::new(PLAIN, &["a", "b", "c"], &Script::Whole(200, "served"));
            let allowance = Allowance { ratio: 0.0, slack: 0.0, window: ms(10_000) };
            world.traffic.budgets = Budgets::new(allowance);
            world.runners[0].crash();
            world.runners[1].crash();
            assert_eq!(world.serve(path, &[]).await.status, 200);
        }
    })
    .await;
}
