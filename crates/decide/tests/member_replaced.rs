//! Membership after all nodes were replaced several times, in virtual time.

use {
    bilberryfront_decide::{
        id::{Incarnation, StoreRevision},
        member::{
            Me, Members, Output,
            message::{NodeIncarnation, NodeLocation},
        },
    },
    bilberryfront_wire::instance::{Instance, InstanceKind, InstanceState},
    compact_str::format_compact,
    std::time::Duration,
    tokio::time::Instant,
};

const STEP: Duration = Duration::from_millis(50);
/// Registered nodes that have ended.
const DEAD: usize = 6;
const RUNNING: usize = 3;
/// Time within which all running nodes must know each other.
const MAX_TIME: Duration = Duration::from_secs(10);

fn instance(index: usize) -> Instance {
    Instance {
        name: format_compact!("entry-{index}"),
        kind: InstanceKind::Node,
        url: format_compact!("http://10.0.0.{index}:80"),
        domain: "a".into(),
        entry: "".into(),
        version: "".into(),
        state: InstanceState::Live,
        fenced: false,
        peer: Some(format_compact!("10.0.0.{index}:81")),
    }
}

/// Starts nodes beside dead ones and runs them; returns the time until all of them know each other.
fn time_until_known(seed: u64) -> Option<Duration> {
    let start = Instant::now();
    let listed: Vec<Instance> = (0..DEAD + RUNNING).map(instance).collect();
    let mut members: Vec<Members> = Vec::new();
    for (index, Instance { name, domain, url, peer, .. }) in
        listed.iter().cloned().enumerate().skip(DEAD)
    {
        let life = NodeIncarnation { epoch: 1, incarnation: Incarnation(index as u64 + 1) };
        let location = NodeLocation { domain, url, peer: peer.unwrap() };
        let me = Me { name, life, location };
        let mut member = Members::new(seed * 100 + index as u64, start, me);
        member.apply_instances(start, StoreRevision::new(0, 1), &listed);
        member.ready();
        members.push(member);
    }
    let mut inbox = Vec::new();
    let mut now = start;
    while now < start + MAX_TIME {
        now += STEP;
        let received = std::mem::take(&mut inbox);
        let mut outputs: Vec<(usize, Vec<Output>)> = Vec::new();
        for (from, to, message) in received {
            let (to, mut out): (usize, _) = (to, Vec::new());
            let from: usize = from;
            members[to].receive(now, &listed[DEAD + from].name, &message, &mut out);
            outputs.push((to, out));
        }
        for (index, member) in members.iter_mut().enumerate() {
            let mut out = Vec::new();
            member.tick(now, &mut out);
            outputs.push((index, out));
        }
        for (from, output) in
            outputs.into_iter().flat_map(|(from, out)| out.into_iter().map(move |o| (from, o)))
        {
            let Output::Send { to, message } = output else { continue };
            let position = |name: &str| listed.iter().position(|node| node.name == name);
            let alive = to.iter().filter_map(|target| position(&target.name)?.checked_sub(DEAD));
            inbox.extend(alive.map(|to| (from, to, message.clone())));
        }
        if members.iter().all(|member| member.addresses().len() == RUNNING) {
            return Some(now - start);
        }
    }
    None
}

/// Guards against nodes that do not get to know each other after all nodes were replaced, because the
/// registrations of ended nodes are most of the heartbeat targets.
#[test]
fn nodes_know_each_other_beside_registrations_of_ended_nodes() {
    let late: Vec<u64> = (0..50).filter(|seed| time_until_known(*seed).is_none()).collect();
    assert!(late.is_empty(), "not all nodes are known after {MAX_TIME:?} with seeds {late:?}");
}
