//! Changes of the operators' rows while the store is silent for some instances, through instances that
//! run as processes.

#[path = "relay/process.rs"]
#[allow(dead_code, reason = "shared with the other tests of the program")]
mod process;
#[path = "relay/support.rs"]
#[allow(dead_code, reason = "shared with the in-memory tests")]
mod support;

use {
    bilberryfront_relay::readers::Ranking,
    bilberryfront_standins::{
        faults::{Faults, Lose},
        feed_store::FeedStore,
        server::Handle,
    },
    futures_util::future::join_all,
    process::{Instance, Platform, wait_until},
    std::time::Duration,
    support::{ms, run_local},
    tokio::time::{Instant, sleep},
};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Time within which a change must be in force at all instances that the store serves.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// An instance with its own access to the store.
struct Node {
    instance: Instance,
    store: Handle,
    is_reader: bool,
}

/// Starts instances in three failure domains and waits until all know each other.
async fn start_nodes(platform: &Platform, per_domain: usize) -> Vec<Node> {
    let mut nodes = Vec::new();
    for domain in DOMAINS {
        let names: Vec<String> = (1..=per_domain).map(|i| format!("n{domain}{i}")).collect();
        let ranking = Ranking::new(names.iter().map(|name| name.as_str().into()));
        for name in &names {
            let access: FeedStore = platform.store.with_own_faults();
            let store = access.start("127.0.0.1:0".parse().unwrap()).unwrap();
            let instance = platform.start_in(name, domain, store.addr);
            let is_reader = ranking.readers().iter().any(|reader| reader == name);
            nodes.push(Node { instance, store, is_reader });
        }
    }
    for Node { instance, .. } in &nodes {
        let is_known = async || instance.resolve().await.len() == nodes.len();
        wait_until("each instance knows all", is_known).await;
    }
    nodes
}

/// Returns the time until all instances accept a key.
async fn time_until_accepted(nodes: &[&Node], key: &str) -> Duration {
    let start = Instant::now();
    let accepts = |node: &Node| {
        let callers = node.instance.callers;
        async move { process::post(callers, "/lodge/1", key).await.is_some_and(|r| r.status == 200) }
    };
    let accepted = nodes.iter().map(|node| async move {
        wait_until("the key is accepted", async || accepts(node).await).await;
    });
    join_all(accepted).await;
    start.elapsed()
}

/// Returns the time until the instances that the store serves accept a key that was added while
/// all readers get no responses to calls on `path`.
async fn time_behind_silent_readers(path: &str) -> Duration {
    let platform = Platform::new().await;
    let nodes = start_nodes(&platform, 4).await;
    let all: Vec<&Node> = nodes.iter().collect();
    platform.put_catalog(2, &["k1", "k2", "k4"]);
    time_until_accepted(&all, "k4").await;
    // The readers wait for the next change.
    sleep(ms(200)).await;
    let lose = Lose { effect: false, hang: true, path: path.into(), once: false };
    for node in nodes.iter().filter(|node| node.is_reader) {
        node.store.faults.set(Faults { lose: Some(lose.clone()), ..Faults::default() });
    }
    platform.put_catalog(3, &["k1", "k2", "k3"]);
    let others: Vec<&Node> = nodes.iter().filter(|node| !node.is_reader).collect();
    time_until_accepted(&others, "k3").await
}

/// Guards against a change that waits until a long poll of the operators' rows times out, although
/// other polls of the same readers show nothing wrong.
#[tokio::test]
async fn change_is_in_force_in_time_while_all_readers_hear_nothing_of_it() {
    run_local(async {
        let time = time_behind_silent_readers("/api/rows-feed?table=op").await;
        assert!(time <= APPLY_TIME, "in force after {time:?}");
    })
    .await;
}

/// Guards against a change that waits for readers to which the store has fallen silent, although it
/// serves other instances.
#[tokio::test]
async fn change_is_in_force_in_time_while_all_readers_hear_nothing() {
    run_local(async {
        let time = time_behind_silent_readers("").await;
        assert!(time <= APPLY_TIME, "in force after {time:?}");
    })
    .await;
}
