//! Nodes that are partitioned from the runners.

use {
    super::support::{
        Deployment, ENGINES, PLAIN, Partition, Script, StreamEnd, ms, node_address, run_local,
    },
    bilberryfront_relay::view::NodeAddress,
    tokio::time::{Instant, sleep, timeout},
};

const EVENTS: Script = Script::Events { last: 30, gap: ms(30), end: StreamEnd::Complete };
const DOMAINS: [&str; 6] = ["a", "a", "b", "b", "c", "c"];
/// Nodes of a failure domain of a large system.
const DOMAIN_NODES: u8 = 27;

/// Guards against a node that rejects its callers' requests while it is partitioned from the runners,
/// although other nodes reach them.
#[tokio::test(start_paused = true)]
async fn requests_at_a_partitioned_node_are_served_through_others() {
    for partition in [Partition::Refuse, Partition::Hang] {
        run_local(async {
            let engines = Deployment::new(ENGINES, &DOMAINS, &EVENTS);
            engines.partition(Some(partition));
            let received = engines.serve("/stream/1", &[]).await;
            assert_eq!(received.event_ids(), (1..=30).collect::<Vec<u64>>(), "{partition:?}");

            let plain = Deployment::new(PLAIN, &DOMAINS, &Script::Respond(200, "done"));
            plain.partition(Some(partition));
            for _ in 0..20 {
                for path in ["/look/1", "/lodge/1"] {
                    assert_eq!(plain.serve(path, &[]).await.status, 200, "{partition:?} {path}");
                }
            }
        })
        .await;
    }
}

/// Guards against a stream that is aborted because its node loses its path to the runners.
#[tokio::test(start_paused = true)]
async fn streams_continue_when_their_node_is_partitioned() {
    for partition in [Partition::Refuse, Partition::Hang] {
        run_local(async {
            let engines = Deployment::new(ENGINES, &DOMAINS, &EVENTS);
            let cut = async {
                sleep(ms(300)).await;
                engines.partition(Some(partition));
            };
            let (received, ()) = tokio::join!(engines.serve("/stream/1", &[]), cut);
            assert_eq!(received.event_ids(), (1..=30).collect::<Vec<u64>>(), "{partition:?}");
        })
        .await;
    }
}

/// Guards against other nodes that avoid sound runners because a partitioned node reports all of them
/// as failed.
#[tokio::test(start_paused = true)]
async fn partitioned_node_does_not_report_the_runners_as_failed() {
    run_local(async {
        let engines = Deployment::new(ENGINES, &DOMAINS, &EVENTS);
        engines.partition(Some(Partition::Refuse));
        for _ in 0..5 {
            engines.serve("/stream/1", &[]).await;
        }
        let failed = engines.traffic.client.fleet.take_update().failed;
        assert!(failed.len() <= 2, "{failed:?}");
    })
    .await;
}

/// Guards against a node that goes on using detours after its path is back, and against one that takes a
/// single reachable runner for the end of the partition.
#[tokio::test(start_paused = true)]
async fn partition_ends_after_several_direct_connections() {
    run_local(async {
        let plain = Deployment::new(PLAIN, &DOMAINS, &Script::Respond(200, "done"));
        let client = plain.traffic.client.clone();
        let recovery = tokio::task::spawn_local(async move { client.recover().await });
        plain.partition(Some(Partition::Refuse));
        for _ in 0..5 {
            assert_eq!(plain.serve("/look/1", &[]).await.status, 200);
        }
        let fleet = &plain.traffic.client.fleet;
        assert_eq!(fleet.partitions(), [PLAIN]);
        sleep(ms(2_000)).await;
        assert_eq!(fleet.partitions(), [PLAIN], "still partitioned");
        plain.partition(None);
        sleep(ms(500)).await;
        assert!(fleet.partitions().is_empty());
        let before = plain.tunnel_count();
        for _ in 0..5 {
            assert_eq!(plain.serve("/look/1", &[]).await.status, 200);
        }
        assert_eq!(plain.tunnel_count(), before);
        recovery.abort();
    })
    .await;
}

/// Guards against a node that counts as partitioned while the runners themselves are down.
#[tokio::test(start_paused = true)]
async fn outage_of_all_runners_is_no_partition() {
    run_local(async {
        let plain = Deployment::new(PLAIN, &DOMAINS, &Script::Respond(200, "done"));
        plain.runners.iter().for_each(|runner| runner.crash());
        for _ in 0..5 {
            assert_eq!(plain.serve("/look/1", &[]).await.status, 503);
        }
        assert!(plain.traffic.client.fleet.partitions().is_empty());
        plain.runners.iter().for_each(|runner| runner.is_crashed.set(false));
        let before = plain.tunnel_count();
        for _ in 0..5 {
            assert_eq!(plain.serve("/look/1", &[]).await.status, 200);
        }
        assert_eq!(plain.tunnel_count(), before);
        assert!(plain.traffic.client.fleet.partitions().is_empty());
    })
    .await;
}

/// Guards against requests that wait for ever for a check whose first runner has been removed meanwhile.
#[tokio::test(start_paused = true)]
async fn requests_do_not_wait_for_a_check_of_a_removed_runner() {
    run_local(async {
        let mut plain = Deployment::new(PLAIN, &DOMAINS, &Script::Respond(200, "done"));
        plain.partition(Some(Partition::Hang));
        let waiting = plain.clone();
        let first = tokio::task::spawn_local(async move { waiting.serve("/look/1", &[]).await });
        // During the check, which follows two connections that take 250 ms each.
        sleep(ms(600)).await;
        plain.runners.truncate(2);
        plain.publish();
        first.await.unwrap();
        let received = timeout(ms(2_000), plain.serve("/look/1", &[])).await;
        assert_eq!(received.unwrap().status, 200);
    })
    .await;
}

/// Guards against a node that is busy with nothing else while it is partitioned from a service without
/// any ready runner.
#[tokio::test(start_paused = true)]
async fn recovery_pauses_while_no_runner_is_ready() {
    run_local(async {
        let plain = Deployment::new(PLAIN, &DOMAINS, &Script::Respond(200, "done"));
        let client = plain.traffic.client.clone();
        let recovery = tokio::task::spawn_local(async move { client.recover().await });
        plain.partition(Some(Partition::Refuse));
        assert_eq!(plain.serve("/look/1", &[]).await.status, 200);
        let fleet = &plain.traffic.client.fleet;
        for runner in &plain.runners {
            fleet.set_draining(fleet.find(&runner.id).unwrap().key);
        }
        sleep(ms(1_000)).await;
        assert_eq!(fleet.partitions(), [PLAIN]);
        recovery.abort();
    })
    .await;
}

/// Guards against callers that are sent to partitioned nodes, and against none at all if every node is
/// partitioned.
#[tokio::test(start_paused = true)]
async fn address_responses_leave_partitioned_nodes_out_unless_all_are() {
    run_local(async {
        let nodes = [node_address("n1", 1, "a"), node_address("n2", 2, "a")];
        let plain = Deployment::new(PLAIN, &DOMAINS, &Script::Respond(200, "done"));
        let fleet = &plain.traffic.client.fleet;
        let listed = || {
            let connected = fleet.connected_nodes(&nodes).into_iter();
            connected.map(|node| node.name.to_string()).collect::<Vec<_>>()
        };
        assert_eq!(listed(), ["n1", "n2"]);
        fleet.apply_peer_partitions(&"n2".into(), vec![PLAIN.into()]);
        assert_eq!(listed(), ["n1"]);
        sleep(ms(3_000)).await;
        assert_eq!(listed(), ["n1", "n2"], "the report has expired");
        plain.partition(Some(Partition::Refuse));
        assert_eq!(plain.serve("/look/1", &[]).await.status, 200);
        assert_eq!(listed(), ["n2"]);
        fleet.apply_peer_partitions(&"n2".into(), vec![PLAIN.into()]);
        assert_eq!(listed(), ["n1", "n2"]);
    })
    .await;
}

/// Guards against requests that wait for one other node after the other, although none reaches the
/// runners.
#[tokio::test(start_paused = true)]
async fn requests_are_rejected_at_once_while_no_node_reaches_the_runners() {
    run_local(async {
        for partition in [Partition::Refuse, Partition::Hang] {
            let plain = Deployment::new(PLAIN, &DOMAINS, &Script::Respond(200, "done"));
            plain.partition(Some(partition));
            plain.fail_tunnels(true);
            for _ in 0..2 {
                assert_eq!(plain.serve("/look/1", &[]).await.status, 503);
            }
            for _ in 0..5 {
                let start = Instant::now();
                assert_eq!(plain.serve("/look/1", &[]).await.status, 503);
                assert!(start.elapsed() < ms(5), "{partition:?}: {:?}", start.elapsed());
            }
        }
    })
    .await;
}

/// Returns the nodes of a large system.
fn large_system() -> Vec<NodeAddress> {
    let domain = |(index, domain): (u8, &'static str)| {
        let first = index * DOMAIN_NODES;
        (first..first + DOMAIN_NODES)
            .map(move |node| node_address(&format!("n{}", node + 1), node + 1, domain))
    };
    [(0, "a"), (1, "b"), (2, "c")].into_iter().flat_map(domain).collect()
}

/// Checks that a partitioned node serves its callers although `partitioned` other nodes are as well, none
/// of which has reported that.
async fn check_large_partition(runners: &[&'static str], partitioned: fn(&NodeAddress) -> bool) {
    for partition in [Partition::Refuse, Partition::Hang] {
        for (service, path, script) in
            [(ENGINES, "/stream/1", &EVENTS), (PLAIN, "/look/1", &Script::Respond(200, "done"))]
        {
            run_local(async {
                let deployment = Deployment::new(service, runners, script);
                let nodes = large_system();
                let cut: Vec<_> = nodes.iter().filter(|n| partitioned(n)).cloned().collect();
                deployment.publish_nodes(nodes);
                deployment.partition_nodes(&cut, partition);
                deployment.partition(Some(partition));
                let mut served = 0;
                for _ in 0..40 {
                    served += usize::from(deployment.serve(path, &[]).await.status == 200);
                    sleep(ms(200)).await;
                }
                assert!(served >= 38, "{partition:?} {path}: {served} of 40 served");
            })
            .await;
        }
    }
}

/// Guards against callers of a partitioned node whose requests fail because the other nodes of its failure
/// domain are partitioned as well.
#[tokio::test(start_paused = true)]
async fn requests_are_served_while_a_whole_domain_is_partitioned() {
    check_large_partition(&["a"; 3], |node| node.domain == "a").await;
}

/// Guards against callers of a partitioned node whose requests fail because most other nodes are
/// partitioned as well.
#[tokio::test(start_paused = true)]
async fn requests_are_served_while_one_node_in_five_reaches_the_runners() {
    check_large_partition(&DOMAINS, |node| {
        node.callers.ip().to_string().ends_with(|c| !"49".contains(c))
    })
    .await;
}

/// Guards against a stream that is aborted long before its deadline because no other node reaches the
/// runners for a moment.
#[tokio::test(start_paused = true)]
async fn streams_continue_after_a_moment_in_which_no_node_reaches_the_runners() {
    for partition in [Partition::Refuse, Partition::Hang] {
        run_local(async {
            let engines = Deployment::new(ENGINES, &DOMAINS, &EVENTS);
            let cut = async {
                sleep(ms(300)).await;
                engines.fail_tunnels(true);
                engines.partition(Some(partition));
                sleep(ms(2_000)).await;
                engines.fail_tunnels(false);
            };
            let (received, ()) = tokio::join!(engines.serve("/stream/1", &[]), cut);
            assert_eq!(received.event_ids(), (1..=30).collect::<Vec<u64>>(), "{partition:?}");
        })
        .await;
    }
}

/// Guards against calls that are sent on open connections, and may not be sent again, although the node or a
/// peer has already found a partition.
#[tokio::test(start_paused = true)]
async fn open_connections_are_not_used_after_signs_of_a_partition() {
    for is_reported in [false, true] {
        run_local(async {
            let deployment = Deployment::new(ENGINES, &DOMAINS, &EVENTS)
                .with_runner(PLAIN, &Script::Respond(200, "done"));
            let client = deployment.traffic.client.clone();
            let checks = tokio::task::spawn_local(async move { client.check_suspected().await });
            // Leaves an idle connection.
            assert_eq!(deployment.serve("/lodge/1", &[]).await.status, 200);
            deployment.partition(Some(Partition::Hang));
            let fleet = &deployment.traffic.client.fleet;
            match is_reported {
                true => {
                    sleep(ms(550)).await;
                    fleet.apply_peer_partitions(&"n2".into(), vec![PLAIN.into()]);
                    fleet.apply_peer_partitions(&"n2".into(), Vec::new());
                }
                false => {
                    let streams = deployment.clone();
                    tokio::task::spawn_local(async move { streams.serve("/stream/1", &[]).await });
                    fleet.wait_partitioned().await;
                }
            }
            sleep(ms(200)).await;
            let received = deployment.serve("/lodge/1", &[]).await;
            assert_eq!(received.status, 200, "reported by a peer: {is_reported}");
            checks.abort();
        })
        .await;
    }
}
