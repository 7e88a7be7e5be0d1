//! Retries: when they are taken from the budget, and what their requests state.

use {
    super::support::{
        Deployment, ENGINES, PLAIN, Partition, ReceivedRequest, Runner, Script, StreamEnd, call,
        ms, run_local,
    },
    bilberryfront_relay::budget::{Allowance, Budgets},
    futures_util::future::join_all,
    http::HeaderValue,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::HashMap, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep, timeout},
};

const DOMAINS: [&str; 6] = ["a", "a", "b", "b", "c", "c"];
const EVENTS: Script = Script::Events { last: 30, gap: ms(30), end: StreamEnd::Complete };
/// Number of nodes that a deployment publishes.
const NODES: usize = 2;

/// Guards against retries that are taken in one window and arrive in the next, whose budget is full again:
/// streams whose node finds no path to the runners.
#[tokio::test(start_paused = true)]
async fn retry_is_taken_when_its_request_is_sent() {
    for partition in [Partition::Refuse, Partition::Hang] {
        run_local(async {
            let mut engines = Deployment::new(ENGINES, &DOMAINS, &EVENTS);
            let allowance = Allowance { ratio: 0.0, slack: 100.0, window: ms(1_000) };
            engines.traffic.budgets = Budgets::new(allowance);
            let cut = async {
                sleep(ms(300)).await;
                engines.fail_tunnels(true);
                engines.partition(Some(partition));
                sleep(ms(2_000)).await;
                let before = engines.request_count();
                engines.fail_tunnels(false);
                // Nothing is left, from the first window's end on.
                let start = Instant::now();
                while start.elapsed() < ms(3_000) {
                    while engines.traffic.budgets.try_take(ENGINES, NODES) {}
                    sleep(ms(10)).await;
                }
                assert_eq!(engines.request_count(), before, "{partition:?}");
            };
            let streams =
                ["/stream/1", "/stream/2", "/stream/3"].map(|path| engines.serve(path, &[]));
            tokio::join!(join_all(streams), cut);
        })
        .await;
    }
}

/// Guards against runners that are told more time than is left, because it is read before there is a
/// connection: a partitioned node opens one through another node.
#[tokio::test(start_paused = true)]
async fn time_left_is_stated_when_the_request_is_sent() {
    for path in ["/lodge/1", "/look/1"] {
        run_local(async {
            let plain = Deployment::new(PLAIN, &DOMAINS, &Script::Respond(200, "done"));
            plain.partition(Some(Partition::Hang));
            let start = Instant::now();
            let deadline = ("x-bilberryfront-deadline-ms", "700");
            assert_eq!(plain.serve(path, &[deadline]).await.status, 200, "{path}");
            let stated = plain.runners.iter().flat_map(|runner| stated_ends(runner, start));
            let last = stated.max().expect("a runner has served it");
            assert!(last <= ms(700), "{path}: {last:?}");
        })
        .await;
    }
}

/// Guards against runners that work on a request, or read it late, after its node has answered the caller: the
/// route's timeout of 800 ms ends before the caller's deadline.
#[tokio::test(start_paused = true)]
async fn runner_is_not_told_more_time_than_the_node_waits() {
    for path in ["/lodge/1", "/look/1"] {
        run_local(async {
            let plain = Deployment::new(PLAIN, &DOMAINS, &Script::Respond(200, "done"));
            let start = Instant::now();
            let deadline = ("x-bilberryfront-deadline-ms", "2500");
            assert_eq!(plain.serve(path, &[deadline]).await.status, 200, "{path}");
            let stated = plain.runners.iter().flat_map(|runner| stated_ends(runner, start));
            assert_eq!(stated.max(), Some(ms(800)), "{path}");
        })
        .await;
    }
}

/// Guards against requests that are sent to a runner that is leaving, because that became known after the decision,
/// while a connection was opened through another node.
#[tokio::test(start_paused = true)]
async fn request_is_withheld_if_its_runner_leaves_before_there_is_a_connection() {
    for path in ["/lodge/1", "/look/1"] {
        run_local(async {
            let plain = Deployment::new(PLAIN, &DOMAINS, &Script::Respond(200, "done"));
            plain.partition(Some(Partition::Hang));
            let leave = async {
                sleep(ms(200)).await;
                let fleet = &plain.traffic.client.fleet;
                let keys = plain.runners.iter().map(|runner| fleet.find(&runner.id).unwrap().key);
                keys.for_each(|key| fleet.set_draining(key));
            };
            let (received, ()) = tokio::join!(plain.serve(path, &[]), leave);
            assert_eq!((received.status, plain.request_count()), (503, 0), "{path}");
        })
        .await;
    }
}

/// Returns the times after `start` at which the requests of a runner end, as they state.
fn stated_ends(runner: &Rc<Runner>, start: Instant) -> Vec<Duration> {
    let requests = runner.requests.borrow();
    let end = |request: &ReceivedRequest| {
        let left = request.headers.get("x-bilberryfront-deadline-ms");
        let left = left.expect("a deadline").to_str().unwrap().parse().unwrap();
        request.at.duration_since(start) + ms(left)
    };
    requests.iter().map(end).collect()
}

/// Load: runners pause, crash and reject requests, and the node loses its path to them and finds it again.
/// Guards against repeated requests that are not taken from the budget.
#[tokio::test(start_paused = true)]
async fn every_repeat_is_taken_from_the_budget() {
    let mut sum = 0;
    for seed in 0..15 {
        sum += run_local(repeat_requests(seed)).await;
    }
    assert!(sum > 150, "{sum} repeats");
}

/// Returns the number of repeated requests.
async fn repeat_requests(seed: u64) -> u32 {
    let rng = &mut SmallRng::seed_from_u64(seed);
    let mut deployment = Deployment::new(ENGINES, &DOMAINS, &EVENTS);
    for _ in 0..3 {
        deployment = deployment.with_runner(PLAIN, &Script::Respond(200, "done"));
    }
    let client = deployment.traffic.client.clone();
    let recovery = tokio::task::spawn_local(async move { client.recover().await });
    let mut requests = Vec::new();
    for number in 0..80 {
        let path =
            ["/stream/1", "/stream/1", "/fixed/1", "/lodge/1", "/look/1"][rng.random_range(0..5)];
        let mut call = call(path, &[]);
        let id = format!("q{number}");
        call.head.id = id.as_str().into();
        let header = HeaderValue::from_str(&id).unwrap();
        call.head.headers.insert("x-bilberryfront-attempt-id", header);
        let serving = deployment.clone();
        requests.push(tokio::task::spawn_local(async move {
            _ = timeout(ms(20_000), serving.serve_call(call)).await;
        }));
        let runner = &deployment.runners[rng.random_range(0..deployment.runners.len())];
        match rng.random_range(0..12) {
            0..4 => runner.pause_for(ms(rng.random_range(100..3_000))),
            4 => runner.crash(),
            5 => _ = runner.resume_script.replace(Some(Script::NotRunAfter(ms(50)))),
            6 => _ = runner.resume_script.take(),
            7 => runner.prefill_time.set(ms(rng.random_range(0..1_500))),
            8 => {
                let partition = [None, Some(Partition::Hang), Some(Partition::Refuse)];
                deployment.partition(partition[rng.random_range(0..3)]);
            }
            9 => deployment.fail_tunnels(rng.random_bool(0.5)),
            _ => deployment.runners.iter().for_each(|runner| runner.is_crashed.set(false)),
        }
        sleep(ms(rng.random_range(0..300))).await;
    }
    deployment.partition(None);
    join_all(requests).await;
    recovery.abort();
    let mut arrivals = HashMap::<String, u32>::new();
    for request in deployment.runners.iter().flat_map(|runner| runner.requests.borrow().clone()) {
        let id = request.headers["x-bilberryfront-attempt-id"].to_str().unwrap().to_owned();
        *arrivals.entry(id).or_default() += 1;
    }
    let repeats: u32 = arrivals.values().map(|count| count - 1).sum();
    let used = deployment.traffic.budgets.take_update();
    let taken: u32 = used.uses.iter().map(|used| used.total).sum();
    assert!(repeats <= taken, "seed {seed}: {repeats} repeats, {taken} retries taken");
    repeats
}
