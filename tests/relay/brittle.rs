//! Runners that bear only few rejections per second.

use {
    super::support::{Deployment, PLAIN, Script, ms, node_address, run_local},
    futures_util::future::join_all,
    tokio::time::{Instant, sleep},
};

const NODES: u8 = 6;
const CAPACITY: usize = 8;
const MAX_REJECTIONS: u32 = 3;
/// Time that a call takes.
const SERVICE_MS: u64 = 40;

/// Guards against runners that fall over because all nodes together send them more than they have room
/// for.
#[tokio::test(start_paused = true)]
async fn brittle_runners_reject_few_requests_under_overload() {
    run_local(async {
        let script = Script::RespondAfter(200, "found", ms(SERVICE_MS));
        let first = Deployment::new(PLAIN, &["a", "b", "c"], &script);
        for runner in &first.runners {
            runner.capacity.set(Some(CAPACITY));
            runner.max_rejections.set(Some(MAX_REJECTIONS));
        }
        let domain = |index: u8| ["a", "b", "c"][usize::from(index % 3)];
        let names = (0..NODES).map(|i| node_address(&format!("n{i}"), i, domain(i)));
        let addresses: Vec<_> = names.collect();
        let nodes: Vec<Deployment> = (0..NODES).map(|i| first.node(i, domain(i))).collect();
        for node in &nodes {
            node.publish_nodes(addresses.clone());
            // Shows the node that the runners are brittle.
            for _ in 0..9 {
                assert_eq!(node.serve("/look/1", &[]).await.status, 200);
            }
        }
        let start = Instant::now();
        let mut calls = Vec::new();
        while start.elapsed() < ms(3_000) {
            for node in &nodes {
                let node = node.clone();
                calls.extend((0..4).map(|_| {
                    let node = node.clone();
                    tokio::task::spawn_local(async move { node.serve("/look/1", &[]).await.status })
                }));
            }
            sleep(ms(20)).await;
        }
        let served = join_all(calls).await.into_iter().filter(|s| *s.as_ref().unwrap() == 200);
        let served = served.count();
        let possible = CAPACITY * first.runners.len() * 3_000 / SERVICE_MS as usize;
        assert!(served * 2 > possible, "{served} of {possible} possible");
        for runner in &first.runners {
            let peak = runner.peak_rejections();
            assert!(peak <= MAX_REJECTIONS as usize, "{} rejected {peak} in a second", runner.id);
        }
    })
    .await;
}
