//! Rate limits that runners state in their responses.

use {
    super::support::{Deployment, PLAIN, Runner, Script, ms, node_address, run_local},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep, sleep_until},
};

/// Time after a runner first states a limit until all nodes must keep it.
const SPREAD: Duration = Duration::from_secs(3);
/// Time that a node has to apply a limit after it first receives it; requests before then are not
/// counted.
const REACTION: Duration = ms(500);
/// Length of the sliding window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Delay of messages between nodes.
const DELAY: Duration = ms(3);

/// Nodes that exchange load updates.
struct System {
    nodes: Vec<Deployment>,
}

impl System {
    /// Creates a node in each failure domain of `nodes` and a plain runner in each of `runners`.
    fn new(nodes: &[&'static str], runners: &[&'static str]) -> System {
        let deployment = Deployment::new(PLAIN, runners, &Script::Respond(200, "lodged"));
        let list = || nodes.iter().zip(1..).map(|(domain, index)| (index, *domain));
        let addresses: Vec<_> =
            list().map(|(i, domain)| node_address(&format!("n{i}"), i, domain)).collect();
        let nodes = list().map(|(index, domain)| {
            let deployment = deployment.node(index, domain);
            deployment.publish_nodes(addresses.clone());
            deployment
        });
        System { nodes: nodes.collect() }
    }

    fn runners(&self) -> &[Rc<Runner>] {
        &self.nodes[0].runners
    }

    /// Sends `rate` calls per second to random nodes for some time; returns the number of rejected
    /// calls.
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

    /// Sends each node's load update to the other nodes.
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

/// Returns the largest number of requests to a runner in a window after `stated`, when it first
/// stated its limit.
fn most_in_window(runner: &Runner, stated: Instant) -> usize {
    let requests = runner.requests.borrow();
    let counted: Vec<Instant> =
        requests.iter().map(|r| r.at).filter(|at| *at >= stated + REACTION).collect();
    let ends = counted.iter().filter(|end| **end >= stated + SPREAD);
    let within =
        |end: &Instant| counted.iter().filter(|at| **at <= *end && **at > *end - WINDOW).count();
    ends.map(within).max().unwrap_or_default()
}

fn allowed(limit: f64) -> f64 {
    1.5 * limit * WINDOW.as_secs_f64() + 5.0
}

/// Guards against a limit that nodes ignore or apply separately, so that all nodes together exceed
/// it.
#[tokio::test(start_paused = true)]
async fn nodes_together_respect_a_runners_rate_limit() {
    run_local(async {
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
            assert_eq!(rejected, 0, "the other runners have capacity");
            for (runner, limit) in limits {
                let most = most_in_window(&system.runners()[runner], stated);
                assert!(most as f64 <= allowed(limit), "{most} requests at a limit of {limit}");
            }
        }
    })
    .await;
}

/// Guards against a limit that the metrics do not show.
#[tokio::test(start_paused = true)]
async fn requests_to_a_limited_runner_are_counted() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a", "b"], &Script::Respond(500, "no"));
        deployment.runners.iter().for_each(|runner| runner.rate_limit.set(Some(1000.0)));
        deployment.serve("/look/1", &[]).await;
        sleep(ms(100)).await;
        deployment.serve("/look/1", &[]).await;
        let text = deployment.traffic.metrics.encode(0);
        for send in ["First", "Repeat"] {
            let line = format!("limited_sends_total{{send=\"{send}\"}} 1");
            assert!(text.contains(&line), "{line} is not in {text}");
        }
    })
    .await;
}

/// Guards against a request that waits, or a `Retry-After` that is too short, while all runners are
/// at their limits, and against a runner at its limit that is recorded as failed.
#[tokio::test(start_paused = true)]
async fn a_request_beyond_all_limits_is_rejected_at_once() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a"], &Script::Respond(200, "lodged"));
        let alone = node_address("n1", 1, "a");
        deployment.publish_nodes(vec![alone]);
        deployment.runners[0].rate_limit.set(Some(0.25));
        assert_eq!(deployment.serve("/lodge/1", &[]).await.status, 200);
        let start = Instant::now();
        let received = deployment.serve("/lodge/2", &[]).await;
        assert_eq!((received.status, start.elapsed()), (503, Duration::ZERO));
        let retry: f64 = received.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!((4.0..5.0).contains(&retry), "{retry}");
        sleep(Duration::from_secs_f64(retry)).await;
        assert_eq!(deployment.serve("/lodge/2", &[]).await.status, 200);
        assert_eq!(deployment.request_count(), 2);
        assert!(deployment.traffic.client.fleet.take_update().failed.is_empty());
    })
    .await;
}

/// Guards against retries that ignore a limit which first attempts respect.
#[tokio::test(start_paused = true)]
async fn retries_respect_a_limit() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a", "b"], &Script::Respond(500, "no"));
        deployment.runners[1].rate_limit.set(Some(1.0));
        for _ in 0..100 {
            assert_eq!(deployment.serve("/look/1", &[]).await.status, 500);
            sleep(ms(100)).await;
        }
        let limited = deployment.runners[1].request_count();
        assert!(limited <= 15, "{limited} requests in 10 s at a limit of 1 a second");
    })
    .await;
}

/// Guards against a limit that is ignored because the runner states it in a rejection, which has no
/// server stamp.
#[tokio::test(start_paused = true)]
async fn a_limit_in_a_rejection_is_applied() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a", "b"], &Script::Respond(200, "lodged"));
        *deployment.runners[0].script.borrow_mut() = Script::NotRun;
        deployment.runners[0].rate_limit.set(Some(0.0));
        for _ in 0..50 {
            assert_eq!(deployment.serve("/lodge/1", &[]).await.status, 200);
            sleep(ms(100)).await;
        }
        assert_eq!(deployment.runners[0].request_count(), 1);
    })
    .await;
}
