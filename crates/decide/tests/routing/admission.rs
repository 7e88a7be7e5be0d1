//! Limits of entries and accounts, for one node and for six that tell each other what they use.

use {
    crate::world::{V1, World, engine, node, reasons, refusals},
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
/// By how much rounding up may pass the limit.
const ROUNDING: u32 = NODES as u32 - 1;

fn world(seed: u64, nodes: usize) -> World {
    let limits = Limits { concurrent: LIMIT, queue: 0, ..Limits::default() };
    let mut world = World::new(seed, limits, &[LIMIT, 4]);
    let runners = (0..30).map(|i| engine(&format!("r{i}"), "a", V1));
    world.list(runners.chain((0..nodes).map(|i| node(&format!("n{i}")))).collect());
    world
}

/// Asks until refused; gives what was granted.
fn burst(world: &mut World) -> Vec<Ticket> {
    let asked = (0..200).map(|_| world.ask(0));
    let granted = asked.take_while(|(_, out)| refusals(out).is_empty());
    granted.map(|(ticket, _)| ticket).collect()
}

fn used(world: &World) -> u32 {
    world.core.usage().iter().map(|(.., n)| n).sum()
}

/// Tells every node what the others used a moment ago.
fn exchange(nodes: &mut [World], told: &[u32]) {
    for (i, world) in nodes.iter_mut().enumerate() {
        let others = told.iter().enumerate().filter(|(j, _)| *j != i).map(|(_, n)| n);
        world.peers(NODES as u32 - 1, &[(0, others.sum())]);
    }
}

#[test]
fn a_node_alone_has_the_whole_limit() {
    let mut world = world(1, 1);
    assert_eq!(burst(&mut world).len(), LIMIT as usize);
}

#[test]
fn an_account_at_its_limit_is_refused_and_told_when_to_come_back() {
    let mut world = world(1, 1);
    let first = world.granted(1);
    world.now += Duration::from_secs(8);
    world.done(first.ticket, Verdict::Ok);
    (0..4).for_each(|_| _ = world.granted(1));
    let (_, out) = world.ask(1);
    assert_eq!(reasons(&out), [Reason::AccountLimit]);
    // Four run, of 8 s each: one of them should end in 2 s.
    assert_eq!(refusals(&out)[0].retry_after, Some(Duration::from_secs(2)));
}

#[test]
fn an_account_at_its_limit_elsewhere_is_refused_here() {
    let mut world = world(1, 2);
    world.peers(1, &[(1, 4)]);
    let (_, out) = world.ask(1);
    assert_eq!(reasons(&out), [Reason::AccountLimit]);
}

#[test]
fn a_burst_at_all_nodes_at_once_stays_within_the_limit() {
    let mut nodes = (0..NODES as u64).map(|s| world(s, NODES)).collect::<Vec<_>>();
    let mut told = vec![0; NODES];
    for round in 0..20 {
        nodes.iter_mut().for_each(|w| _ = burst(w));
        exchange(&mut nodes, &told);
        told = nodes.iter().map(used).collect();
        let sum = told.iter().sum::<u32>();
        assert!(sum <= LIMIT + ROUNDING, "round {round}: {told:?}");
    }
    assert!(told.iter().sum::<u32>() >= LIMIT);
}

#[test]
fn a_share_follows_demand() {
    let mut nodes = (0..NODES as u64).map(|s| world(s, NODES)).collect::<Vec<_>>();
    for _ in 0..40 {
        burst(&mut nodes[0]);
        let told = nodes.iter().map(used).collect::<Vec<_>>();
        exchange(&mut nodes, &told);
    }
    assert!(used(&nodes[0]) >= LIMIT * 9 / 10, "{}", used(&nodes[0]));
}

// Callers of the other nodes would be refused although the limit leaves room for them: 1. A node
// loses its links. 2. It hears of no use elsewhere and of no other node. 3. It takes the whole
// limit for itself, and so does the other side. So a node cut off keeps what it had.
#[test]
fn a_node_cut_off_keeps_its_last_share() {
    let mut world = world(1, NODES);
    world.peers(NODES as u32 - 1, &[(0, 40)]);
    let granted = burst(&mut world);
    world.step(bilberryfront_decide::Event::Peers(PeerUse::default()));
    assert!(burst(&mut world).is_empty());
    granted.iter().for_each(|t| _ = world.done(*t, Verdict::Ok));
    assert!(burst(&mut world).len() <= granted.len());
}

// Callers see answers slow down for all, past the limit. 1. Nodes' use goes at random up and down,
// and each hears of it an exchange late. The sum may pass the limit by what was begun unheard, and
// by rounding, and by no more.
#[test]
fn shares_pass_the_limit_by_no_more_than_the_bound() {
    let mut nodes = (0..NODES as u64).map(|s| world(s, NODES)).collect::<Vec<_>>();
    let mut running = vec![Vec::new(); NODES];
    let mut told = vec![0; NODES];
    for round in 0..200_usize {
        exchange(&mut nodes, &told);
        let before = nodes.iter().map(used).collect::<Vec<_>>();
        let unheard = before.iter().zip(&told).map(|(b, t)| b.saturating_sub(*t)).sum::<u32>();
        told = before;
        for (i, world) in nodes.iter_mut().enumerate() {
            if (round * 7 + i * 3) % 5 < 2 {
                running[i].extend(burst(world));
            }
        }
        let sum = nodes.iter().map(used).sum::<u32>();
        let bound = LIMIT.max(told.iter().sum()) + unheard + ROUNDING;
        assert!(sum <= bound, "round {round}: {sum} of {bound}");
        for (i, world) in nodes.iter_mut().enumerate() {
            let end = running[i].len() * ((round + i) % 4) / 4;
            running[i].drain(..end).for_each(|t| _ = world.done(t, Verdict::Ok));
        }
    }
}
