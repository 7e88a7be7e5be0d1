//! Rate limits that runners state.

use {
    super::support::{PLAIN, Runner, Script, World, ms, node, play},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep, sleep_until},
};

/// Time after a runner first states a limit from which the limit holds.
const SPREAD: Duration = Duration::from_secs(3);
/// Time after a node first has a response with the limit from which its requests count.
const REACTION: Duration = ms(500);
/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Delay of messages between nodes.
const DELAY: Duration = ms(3);

/// Nodes that exchange load updates.
struct System {
    nodes: Vec<World>,
}

impl System {
    /// One node in each of `nodes`, the name of its failure domain; one plain runner in each of `runners`.
    fn new(nodes: &[&'static str], runners: &[&'static str]) -> System {
        let world = World::new(PLAIN, runners, &Script::Whole(200, "lodged"));
        let list = || nodes.iter().zip(1..).map(|(domain, index)| (index, *domain));
        let addresses: Vec<_> =
            list().map(|(i, domain)| node(&format!("n{i}"), i, domain)).collect();
        let nodes = list().map(|(index, domain)| {
            let world = world.node(index, domain);
            world.publish_nodes(addresses.clone());
            world
        });
        System { nodes: nodes.collect() }
    }

    fn runners(&self) -> &[Rc<Runner>] {
        &self.nodes[0].runners
    }

    /// Serves `rate` calls a second at random nodes for some time; returns how many were rejected.
    async fn serve(&self, rate: f64, time: Duration, seed: u64) -> usize {
        let mut random = SmallRng::seed_from_u64(seed);
        let end = Instant::now() + time;
        let mut next = Instant::now();
        let mut calls = Vec::new();
        while next < end {
            sleep_until(next).await;
            self.exchange();
            let node = self.nodes[random.random_range(0..self.nodes.len())].clone();
            calls.push(tokio::task::spawn_local(async move { node.serve("/lodge/1", &[]).await }));
            next += Duration::from_secs_f64(random.random_range(0.0..2.0) / rate);
        }
        let mut rejected = 0;
        for call in calls {
            rejected += usize::from(call.await.unwrap().status == 503);
        }
        rejected
    }

    /// Carries each node's update to the others.
    fn exchange(&self) {
        for (index, node) in self.nodes.iter().enumerate() {
            let update = node.traffic.client.fleet.take_update();
            let others = self.nodes.iter().enumerate().filter(|(other, _)| *other != index);
            for (_, other) in others {
                let (fleet, update) = (other.traffic.client.fleet.clone(), update.clone());
                let from = format!("n{}", index + 1).into();
                tokio::task::spawn_local(async move {
                    sleep(DELAY).await;
                    fleet.apply_peer_load(&from, &update);
                });
            }
        }
    }
}

/// The most requests of a runner in a window, from `stated` on, at which it first stated its limit.
fn most_in_window(runner: &Runner, stated: Instant) -> usize {
    let seen = runner.seen.borrow();
    let counted: Vec<Instant> =
        seen.iter().map(|s| s.at).filter(|at| *at >= stated + REACTION).collect();
    let ends = counted.iter().filter(|end| **end >= stated + SPREAD);
    let within =
        |end: &Instant| counted.iter().filter(|at| **at <= *end && **at > *end - WINDOW).count();
    ends.map(within).max().unwrap_or_default()
}

fn allowed(limit: f64) -> f64 {
    1.5 * limit * WINDOW.as_secs_f64() + 5.0
}

/// Guards against a limit that each node ignores, or keeps for itself alone: the runner gets more
/// requests from all nodes together than it takes.
#[tokio::test(start_paused = true)]
async fn nodes_together_keep_a_runners_rate_limit() {
    play(async {
        for seed in 0..10 {
            let domains = ["a", "a", "b", "b", "c", "d"];
            let system = System::new(&domains, &["a", "b", "c", "d"]);
            system.serve(27.0, Duration::from_secs(4), seed).await;
            let limits = [(2, 1.8), (3, 2.6)];
            let stated = Instant::now();
            for (runner, limit) in limits {
                system.runners()[runner].rate_limit.set(Some(limit));
            }
            let rejected = system.serve(27.0, Duration::from_secs(12), seed + 100).await;
            assert_eq!(rejected, 0, "others have room");
            for (runner, limit) in limits {
                let most = most_in_window(&system.runners()[runner], stated);
                assert!(most as f64 <= allowed(limit), "{most} requests at a limit of {limit}");
            }
        }
    })
    .await;
}

/// Guards against a limit that neither logs nor metrics show.
#[tokio::test(start_paused = true)]
async fn requests_to_a_limited_runner_are_counted() {
    play(async {
        let world = World::new(PLAIN, &["a", "b"], &Script::Whole(500, "no"));
        world.runners.iter().for_each(|runner| runner.rate_limit.set(Some(1000.0)));
        world.serve("/look/1", &[]).await;
        sleep(ms(100)).await;
        world.serve("/look/1", &[]).await;
        let text = world.traffic.metrics.encode(0);
        for send in ["First", "Repeat"] {
            let line = format!("limited_sends_total{{send=\"{send}\"}} 1");
            assert!(text.contains(&line), "{line} is not in {text}");
        }
    })
    .await;
}

/// Guards against a request that waits, or a caller sent back too early, while all runners are at their
/// limits; a runner at its limit has not failed.
#[tokio::test(start_paused = true)]
async fn a_request_beyond_all_limits_is_rejected_at_once() {
    play(async {
        let world = World::new(PLAIN, &["a"], &Script::Whole(200, "lodged"));
        let alone = node("n1", 1, "a");
        world.publish_nodes(vec![alone]);
        world.runners[0].rate_limit.set(Some(0.25));
        assert_eq!(world.serve("/lodge/1", &[]).await.status, 200);
        let start = Instant::now();
        let received = world.serve("/lodge/2", &[]).await;
        assert_eq!((received.status, start.elapsed()), (503, Duration::ZERO));
        let retry: f64 = received.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!((4.0..5.0).contains(&retry), "{retry}");
        sleep(Duration::from_secs_f64(retry)).await;
        assert_eq!(world.serve("/lodge/2", &[]).await.status, 200);
        assert_eq!(world.sends(), 2);
        assert!(world.traffic.client.fleet.take_update().failed.is_empty());
    })
    .await;
}

/// Guards against a repeat that is sent past a limit which first sends respect.
#[tokio::test(start_paused = true)]
async fn repeats_keep_to_a_limit() {
    play(async {
        let world = World::new(PLAIN, &["a", "b"], &Script::Whole(500, "no"));
        world.runners[1].rate_limit.set(Some(1.0));
        for _ in 0..100 {
            assert_eq!(world.serve("/look/1", &[]).await.status, 500);
            sleep(ms(100)).await;
        }
        let limited = world.runners[1].count();
        assert!(limited <= 15, "{limited} requests in 10 s at a limit of 1 a second");
    })
    .await;
}

/// Guards against a limit that is missed because the runner states it while it rejects a request, which
/// it does not sign.
#[tokio::test(start_paused = true)]
async fn a_limit_in_a_rejection_holds() {
    play(async {
        let world = World::new(PLAIN, &["a", "b"], &Script::Whole(200, "lodged"));
        *world.runners[0].script.borrow_mut() = Script::NotRun;
        world.runners[0].rate_limit.set(Some(0.0));
        for _ in 0..50 {
            assert_eq!(world.serve("/lodge/1", &[]).await.status, 200);
            sleep(ms(100)).await;
        }
        assert_eq!(world.runners[0].count(), 1);
    })
    .await;
}
