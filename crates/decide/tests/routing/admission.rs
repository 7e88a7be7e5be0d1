//! Tests of the limits of entries and accounts, for one node and for six that exchange their usage.

use {
    crate::fixture::{Fixture, V1, engine, node, reasons, rejections},
    bilberryfront_decide::{
        action::Reason,
        catalog::Limits,
        event::{PeerUse, Verdict},
        id::Ticket,
    },
    std::time::Duration,
};

const LIMIT: u32 = 60;
const NODES: usize = 6;
/// Maximum excess over the limit caused by rounding up the shares.
const ROUNDING: u32 = NODES as u32 - 1;

fn fixture(seed: u64, nodes: usize) -> Fixture {
    let limits = Limits { concurrent: LIMIT, queue: 0, ..Limits::default() };
    let mut fixture = Fixture::new(seed, limits, &[LIMIT, 4]);
    let runners = (0..30).map(|i| engine(&format!("r{i}"), "a", V1));
    fixture.set_instances(runners.chain((0..nodes).map(|i| node(&format!("n{i}")))).collect());
    fixture
}

/// Sends requests until one is rejected and returns the granted ones.
fn request_until_rejected(fixture: &mut Fixture) -> Vec<Ticket> {
    let asked = (0..200).map(|_| fixture.request(0));
    let granted = asked.take_while(|(_, out)| rejections(out).is_empty());
    granted.map(|(ticket, _)| ticket).collect()
}

fn running_requests(fixture: &Fixture) -> u32 {
    fixture.core.usage().iter().map(|(.., n)| n).sum()
}

/// Reports to every node the previous usage of the others.
fn exchange(nodes: &mut [Fixture], reported: &[u32]) {
    for (i, fixture) in nodes.iter_mut().enumerate() {
        let others = reported.iter().enumerate().filter(|(j, _)| *j != i).map(|(_, n)| n);
        fixture.set_peers(NODES as u32 - 1, &[(0, others.sum())]);
    }
}

#[test]
fn a_single_node_has_the_whole_limit() {
    let mut fixture = fixture(1, 1);
    assert_eq!(request_until_rejected(&mut fixture).len(), LIMIT as usize);
}

#[test]
fn an_account_at_its_limit_is_rejected_with_a_retry_time() {
    let mut fixture = fixture(1, 1);
    let first = fixture.expect_grant(1);
    fixture.now += Duration::from_secs(8);
    fixture.done(first.ticket, Verdict::Ok);
    (0..4).for_each(|_| _ = fixture.expect_grant(1));
    let (_, out) = fixture.request(1);
    assert_eq!(reasons(&out), [Reason::AccountLimit]);
    // Four requests of 8 s each are running, so one should end within 2 s.
    assert_eq!(rejections(&out)[0].retry_after, Some(Duration::from_secs(2)));
}

#[test]
fn an_account_at_its_limit_at_another_node_is_rejected() {
    let mut fixture = fixture(1, 2);
    fixture.set_peers(1, &[(1, 4)]);
    let (_, out) = fixture.request(1);
    assert_eq!(reasons(&out), [Reason::AccountLimit]);
}

#[test]
fn a_burst_at_all_nodes_at_once_stays_within_the_limit() {
    let mut nodes = (0..NODES as u64).map(|s| fixture(s, NODES)).collect::<Vec<_>>();
    let mut reported = vec![0; NODES];
    for round in 0..20 {
        nodes.iter_mut().for_each(|f| _ = request_until_rejected(f));
        exchange(&mut nodes, &reported);
        reported = nodes.iter().map(running_requests).collect();
        let sum = reported.iter().sum::<u32>();
        assert!(sum <= LIMIT + ROUNDING, "round {round}: {reported:?}");
    }
    assert!(reported.iter().sum::<u32>() >= LIMIT);
}

#[test]
fn a_share_follows_demand() {
    let mut nodes = (0..NODES as u64).map(|s| fixture(s, NODES)).collect::<Vec<_>>();
    for _ in 0..40 {
        request_until_rejected(&mut nodes[0]);
        let reported = nodes.iter().map(running_requests).collect::<Vec<_>>();
        exchange(&mut nodes, &reported);
    }
    assert!(running_requests(&nodes[0]) >= LIMIT * 9 / 10, "{}", running_requests(&nodes[0]));
}

// Guards against exceeding the limit during a network partition. A node that loses its connections
// learns of no other nodes and no usage of theirs. If it claimed the whole limit, while the other
// side keeps using its part, the sum would exceed the limit. Its share must not grow.
#[test]
fn a_partitioned_node_keeps_its_last_share() {
    let mut fixture = fixture(1, NODES);
    fixture.set_peers(NODES as u32 - 1, &[(0, 40)]);
    let granted = request_until_rejected(&mut fixture);
    fixture.step(bilberryfront_decide::Event::Peers(PeerUse::default()));
    assert!(request_until_rejected(&mut fixture).is_empty());
    granted.iter().for_each(|t| _ = fixture.done(*t, Verdict::Ok));
    assert!(request_until_rejected(&mut fixture).len() <= granted.len());
}

// Guards against overload by exceeding the limit. The usage of the nodes varies, and each node
// learns of it one exchange late. The sum may exceed the limit only by the requests started since
// the last report, and by rounding.
#[test]
fn shares_exceed_the_limit_by_no_more_than_the_bound() {
    let mut nodes = (0..NODES as u64).map(|s| fixture(s, NODES)).collect::<Vec<_>>();
    let mut running = vec![Vec::new(); NODES];
    let mut reported = vec![0; NODES];
    for round in 0..200_usize {
        exchange(&mut nodes, &reported);
        let before = nodes.iter().map(running_requests).collect::<Vec<_>>();
        let unreported =
            before.iter().zip(&reported).map(|(b, t)| b.saturating_sub(*t)).sum::<u32>();
        reported = before;
        for (i, fixture) in nodes.iter_mut().enumerate() {
            if (round * 7 + i * 3) % 5 < 2 {
                running[i].extend(request_until_rejected(fixture));
            }
        }
        let sum = nodes.iter().map(running_requests).sum::<u32>();
        let bound = LIMIT.max(reported.iter().sum()) + unreported + ROUNDING;
        assert!(sum <= bound, "round {round}: {sum} of {bound}");
        for (i, fixture) in nodes.iter_mut().enumerate() {
            let end = running[i].len() * ((round + i) % 4) / 4;
            running[i].drain(..end).for_each(|t| _ = fixture.done(t, Verdict::Ok));
        }
    }
}
