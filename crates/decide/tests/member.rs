//! Tests of membership in virtual time.

use {
    bilberryfront_decide::{
        id::Incarnation,
        member::{
            Address, CONFIRM_TIMEOUT, MESH_INTERVAL, Me, Members, Output, PeerMessage,
            SILENCE_TIMEOUT, TOMBSTONE_RETENTION, Target,
            message::{
                Claim, Heartbeat, Hint, HintKind, Moment, NodeIncarnation, NodeLocation, NodeState,
                Update, Usage,
            },
        },
    },
    bilberryfront_wire::instance::{Instance, InstanceKind, InstanceList, InstanceState},
    compact_str::{CompactString, format_compact},
    std::time::Duration,
    tokio::time::Instant,
};

const STEP: Duration = Duration::from_millis(50);

fn location(name: &str) -> NodeLocation {
    let domain = format_compact!("domain-{}", &name[..1]);
    NodeLocation {
        domain,
        url: format_compact!("http://{name}"),
        peer: format_compact!("{name}:1"),
    }
}

fn incarnation(epoch: u64, incarnation: u64) -> NodeIncarnation {
    NodeIncarnation { epoch, incarnation: Incarnation(incarnation) }
}

fn member(now: Instant, name: &str) -> Members {
    let me = Me { name: name.into(), life: incarnation(1, 1), location: location(name) };
    let mut member = Members::new(7, now, me);
    member.ready();
    member
}

fn list(revision: u64, names: &[&str]) -> InstanceList {
    let instance = |name: &&str| Instance {
        name: (*name).into(),
        kind: InstanceKind::Node,
        url: location(name).url,
        domain: location(name).domain,
        entry: "".into(),
        version: "".into(),
        state: InstanceState::Live,
        fenced: false,
        peer: Some(location(name).peer),
    };
    InstanceList { revision, instances: names.iter().map(instance).collect() }
}

fn heartbeat(life: NodeIncarnation, beat: u64, state: NodeState) -> Heartbeat {
    Heartbeat {
        moment: Moment { life, beat },
        state,
        location: None,
        revision: 0.into(),
        usage: Vec::new(),
        updates: Vec::new(),
    }
}

fn state(member: &Members, name: &str) -> Option<NodeState> {
    member.states().find(|(n, _)| *n == name).map(|(_, state)| state)
}

fn urls(member: &Members) -> Vec<CompactString> {
    let mut urls: Vec<_> = member.addresses().into_iter().map(|a: Address| a.url).collect();
    urls.sort();
    urls
}

/// Returns a member `a` that has received one heartbeat from `b`.
fn pair(now: Instant) -> Members {
    let mut a = member(now, "a");
    a.apply_list(now, &list(1, &["a", "b"]));
    a.on_heartbeat(now, "b", &heartbeat(incarnation(1, 1), 1, NodeState::Ready), &mut Vec::new());
    a.tick(now + MESH_INTERVAL * 2, &mut Vec::new());
    a
}

/// Ticks `a` from `now` for `time`; returns the time at the end.
fn run(a: &mut Members, now: Instant, time: Duration, out: &mut Vec<Output>) -> Instant {
    let steps = time.as_millis() / STEP.as_millis();
    (1..=steps).for_each(|i| a.tick(now + STEP * i as u32, out));
    now + time
}

/// A simulated network of nodes. Messages arrive at the next step unless `cut` is true for their
/// sender and receiver.
struct Net {
    now: Instant,
    names: Vec<CompactString>,
    members: Vec<Members>,
    inbox: Vec<(usize, usize, PeerMessage)>,
    cut: fn(usize, usize) -> bool,
    /// Nodes that received a hint about a runner, one entry per receipt.
    hints: Vec<usize>,
    /// Number of messages.
    sent: usize,
    /// Number of messages between failure domains.
    crossed: usize,
}

impl Net {
    fn new(n: usize) -> Net {
        Net::of((0..n).map(|i| format_compact!("{i}")).collect())
    }

    fn of(names: Vec<CompactString>) -> Net {
        let now = Instant::now();
        let list = list(1, &names.iter().map(CompactString::as_str).collect::<Vec<_>>());
        let start = |name: &CompactString| {
            let mut member = member(now, name);
            member.apply_list(now, &list);
            member
        };
        let members = names.iter().map(start).collect();
        let (inbox, hints) = (Vec::new(), Vec::new());
        Net { now, names, members, inbox, cut: |_, _| false, hints, sent: 0, crossed: 0 }
    }

    fn run(&mut self, time: Duration) {
        (0..time.as_millis() / STEP.as_millis()).for_each(|_| self.step());
    }

    fn step(&mut self) {
        self.now += STEP;
        for (from, to, message) in std::mem::take(&mut self.inbox) {
            let mut out = Vec::new();
            self.members[to].receive(self.now, &self.names[from], &message, &mut out);
            self.post(to, out);
        }
        for i in 0..self.members.len() {
            let mut out = Vec::new();
            self.members[i].tick(self.now, &mut out);
            self.post(i, out);
        }
    }

    fn post(&mut self, from: usize, out: Vec<Output>) {
        for output in out {
            if let Output::Hint(_) = output {
                self.hints.push(from);
            }
            let Output::Send { to, message } = output else { continue };
            for target in to {
                let to = self.names.iter().position(|n| *n == target.name).unwrap();
                self.sent += 1;
                let domain = |index: usize| location(&self.names[index]).domain;
                self.crossed += usize::from(domain(from) != domain(to));
                if !(self.cut)(from, to) {
                    self.inbox.push((from, to, message.clone()));
                }
            }
        }
    }

    fn counts(&self) -> Vec<usize> {
        self.members.iter().map(|m| m.addresses().len()).collect()
    }
}

/// Guards against addresses of dead nodes: the list lags behind, so a listed node without a
/// heartbeat may be dead.
#[test]
fn a_listed_node_without_a_heartbeat_is_not_in_addresses() {
    let now = Instant::now();
    let mut a = member(now, "a");
    a.apply_list(now, &list(1, &["a", "b"]));
    assert_eq!(state(&a, "b"), Some(NodeState::Unknown));
    assert_eq!(urls(&a), ["http://a"]);
    a.on_heartbeat(
        now,
        "b",
        &heartbeat(incarnation(1, 1), 1, NodeState::Starting),
        &mut Vec::new(),
    );
    assert_eq!(urls(&a), ["http://a"]);
    a.on_heartbeat(now, "b", &heartbeat(incarnation(1, 1), 2, NodeState::Ready), &mut Vec::new());
    assert_eq!(urls(&a), ["http://a", "http://b"]);
}

#[test]
fn addresses_of_the_local_domain_come_first() {
    let now = Instant::now();
    let mut a = member(now, "a1");
    let names = ["a1", "a2", "b1", "b2", "a3"];
    a.apply_list(now, &list(1, &names));
    for name in &names[1..] {
        a.on_heartbeat(
            now,
            name,
            &heartbeat(incarnation(1, 1), 1, NodeState::Ready),
            &mut Vec::new(),
        );
    }
    let domains: Vec<_> = a.addresses().into_iter().map(|x| x.domain).collect();
    assert_eq!(domains, ["domain-a", "domain-a", "domain-a", "domain-b", "domain-b"]);
}

/// Guards against nodes that are only known from heartbeats, as most are in a large system, being
/// addressed without their names and peer addresses.
#[test]
fn addresses_of_unlisted_nodes_have_their_names_and_peer_addresses() {
    let now = Instant::now();
    let mut a = member(now, "a1");
    let beat = heartbeat(incarnation(1, 1), 1, NodeState::Ready);
    let beat = Heartbeat { location: Some(location("b1")), ..beat };
    a.on_heartbeat(now, "b1", &beat, &mut Vec::new());
    let NodeLocation { domain, url, peer } = location("b1");
    assert_eq!(a.addresses()[1], Address { name: "b1".into(), url, peer, domain });
}

/// A node dies but stays listed. It must become suspect after [`SILENCE_TIMEOUT`] and be removed
/// from the addresses after [`CONFIRM_TIMEOUT`].
#[test]
fn a_silent_node_is_removed_from_addresses_while_listed() {
    let start = Instant::now();
    let mut a = pair(start);
    let mut out = Vec::new();
    let now = run(&mut a, start + MESH_INTERVAL * 2, SILENCE_TIMEOUT, &mut out);
    assert_eq!(state(&a, "b"), Some(NodeState::Suspect));
    a.apply_list(now, &list(2, &["a", "b"]));
    run(&mut a, now, CONFIRM_TIMEOUT + STEP, &mut out);
    assert_eq!(state(&a, "b"), Some(NodeState::Gone));
    assert_eq!(urls(&a), ["http://a"]);
}

/// Guards against the removal of a working node: the list no longer contains a node that still
/// sends heartbeats.
#[test]
fn a_node_with_heartbeats_stays_in_addresses_while_unlisted() {
    let now = Instant::now();
    let mut a = pair(now);
    a.apply_list(now, &list(2, &["a"]));
    a.on_heartbeat(now, "b", &heartbeat(incarnation(1, 1), 2, NodeState::Ready), &mut Vec::new());
    assert_eq!(urls(&a), ["http://a", "http://b"]);
}

#[test]
fn an_older_list_is_ignored() {
    let now = Instant::now();
    let mut a = member(now, "a");
    a.apply_list(now, &list(2, &["a", "b"]));
    a.apply_list(now, &list(1, &["a", "c"]));
    assert_eq!(state(&a, "b"), Some(NodeState::Unknown));
    assert_eq!(state(&a, "c"), None);
}

#[test]
fn a_node_listed_as_leaving_is_not_in_addresses() {
    let now = Instant::now();
    let mut a = pair(now);
    let mut leaving = list(2, &["a", "b"]);
    leaving.instances[1].state = InstanceState::Leaving;
    a.apply_list(now, &leaving);
    assert_eq!(urls(&a), ["http://a"]);
}

/// The instance list is unavailable for an hour. No node may be removed from the addresses because
/// of that, and a node that fails afterwards must still be detected.
#[test]
fn failure_detection_works_without_the_list() {
    let mut net = Net::new(3);
    net.run(Duration::from_secs(3_600));
    assert_eq!(net.counts(), [3, 3, 3]);
    net.cut = |from, to| from == 2 || to == 2;
    net.run(Duration::from_secs(4));
    assert_eq!(net.counts(), [2, 2, 1]);
}

/// A failed connection makes a node suspect immediately. Its next heartbeat must clear the
/// suspicion, and until then it must stay in the addresses.
#[test]
fn a_failed_connection_causes_a_suspicion_until_the_next_heartbeat() {
    let now = Instant::now();
    let mut a = pair(now);
    a.connection_failed(now, "b", &mut Vec::new());
    assert_eq!(state(&a, "b"), Some(NodeState::Suspect));
    assert_eq!(urls(&a), ["http://a", "http://b"]);
    a.on_heartbeat(now, "b", &heartbeat(incarnation(1, 1), 2, NodeState::Ready), &mut Vec::new());
    assert_eq!(state(&a, "b"), Some(NodeState::Ready));
}

/// Guards against a delayed heartbeat of a former incarnation that arrives after the first one of
/// the new incarnation and would restore the old state.
#[test]
fn a_late_heartbeat_of_an_older_incarnation_is_ignored() {
    let now = Instant::now();
    let mut a = pair(now);
    a.on_heartbeat(
        now,
        "b",
        &heartbeat(incarnation(2, 9), 1, NodeState::Starting),
        &mut Vec::new(),
    );
    a.on_heartbeat(now, "b", &heartbeat(incarnation(1, 1), 50, NodeState::Ready), &mut Vec::new());
    assert_eq!(state(&a, "b"), Some(NodeState::Starting));
    a.on_heartbeat(now, "b", &heartbeat(incarnation(2, 9), 2, NodeState::Ready), &mut Vec::new());
    assert_eq!(state(&a, "b"), Some(NodeState::Ready));
}

/// A node restarts with its clock set back, so that its new incarnation appears to be the older
/// one. The receiver must reply with its claim, and the node must raise its epoch; otherwise its
/// heartbeats would be ignored permanently.
#[test]
fn a_restart_with_an_older_clock_raises_the_epoch() {
    let now = Instant::now();
    let mut a = pair(now);
    let mut b = member(now, "b");
    b.apply_list(now, &list(1, &["a", "b"]));
    a.on_heartbeat(now, "b", &heartbeat(incarnation(5, 5), 1, NodeState::Ready), &mut Vec::new());
    a.on_heartbeat(
        now,
        "b",
        &heartbeat(incarnation(5, 5), 2, NodeState::Draining),
        &mut Vec::new(),
    );
    let mut out = Vec::new();
    a.on_heartbeat(now, "b", &heartbeat(incarnation(1, 1), 1, NodeState::Ready), &mut out);
    assert_eq!(state(&a, "b"), Some(NodeState::Draining));
    let [Output::Send { to, message }] = &out[..] else { panic!("{out:?}") };
    assert_eq!(to[0], Target { name: "b".into(), address: "b:1".into() });
    b.receive(now, "a", message, &mut Vec::new());
    let mut sent = Vec::new();
    run(&mut b, now, Duration::from_secs(1), &mut sent);
    let Some(Output::Send { message, .. }) = sent.first() else { panic!("{sent:?}") };
    a.receive(now, "b", message, &mut Vec::new());
    assert_eq!(state(&a, "b"), Some(NodeState::Ready));
}

/// A node that receives a false claim that it is gone must refute it.
#[test]
fn a_node_refutes_a_claim_that_it_is_gone() {
    let now = Instant::now();
    let mut a = pair(now);
    let claim = |moment, state| Claim { name: "a".into(), moment, state, location: None };
    let before = Moment { life: incarnation(1, 1), beat: 1 };
    let mut beat = heartbeat(incarnation(1, 1), 2, NodeState::Ready);
    beat.updates = vec![Update::Node(claim(before, NodeState::Gone))];
    a.on_heartbeat(now, "b", &beat, &mut Vec::new());
    let mut out = Vec::new();
    run(&mut a, now + MESH_INTERVAL * 2, Duration::from_secs(1), &mut out);
    let refuted = out.iter().any(|o| {
        let Output::Send { message: PeerMessage::Heartbeat(h), .. } = o else { return false };
        h.updates.iter().any(|n| match n {
            Update::Node(c) => c.name == "a" && c.state == NodeState::Ready && c.moment > before,
            Update::Runner(_) => false,
        })
    });
    assert!(refuted, "{out:?}");
}

/// Guards against false suspicions after a pause: the process is suspended for a minute, so that
/// the heartbeats of all other nodes appear overdue when it resumes.
#[test]
fn a_pause_of_this_process_causes_no_suspicion() {
    let start = Instant::now();
    let mut a = pair(start);
    let now = start + Duration::from_secs(60);
    let mut out = Vec::new();
    run(&mut a, now, SILENCE_TIMEOUT - STEP * 2, &mut out);
    assert_eq!(urls(&a), ["http://a", "http://b"]);
}

/// A partition splits a region. Each side must remove the nodes of the other side within seconds,
/// and both must merge again after the partition without a new list or a restart.
#[test]
fn a_partition_heals() {
    let mut net = Net::new(6);
    net.run(Duration::from_secs(2));
    assert_eq!(net.counts(), [6; 6]);
    net.cut = |from, to| (from < 2) != (to < 2);
    net.run(Duration::from_secs(4));
    assert_eq!(net.counts(), [2, 2, 4, 4, 4, 4]);
    net.cut = |_, _| false;
    net.run(Duration::from_secs(8));
    assert_eq!(net.counts(), [6; 6]);
}

/// Like [`a_partition_heals`], with so many nodes that no node sends to all others.
#[test]
fn a_partition_of_many_nodes_heals() {
    let mut net = Net::new(40);
    net.run(Duration::from_secs(20));
    assert_eq!(net.counts(), [40; 40]);
    net.cut = |from, to| (from < 15) != (to < 15);
    net.run(Duration::from_secs(10));
    assert!(net.counts()[..15].iter().all(|n| *n == 15), "{:?}", net.counts());
    assert!(net.counts()[15..].iter().all(|n| *n == 25), "{:?}", net.counts());
    net.cut = |_, _| false;
    net.run(Duration::from_secs(40));
    assert_eq!(net.counts(), [40; 40]);
}

/// Only the link between two nodes fails, in both directions. The other nodes receive heartbeats
/// from both and must refute the suspicions, so that neither node is removed from any addresses.
#[test]
fn a_failed_link_removes_no_node() {
    let mut net = Net::new(6);
    net.run(Duration::from_secs(2));
    net.cut = |from, to| from + to == 1;
    for _ in 0..400 {
        net.step();
        assert_eq!(net.counts(), [6; 6]);
    }
}

/// Guards against addresses of nodes that reject requests: a suspect that was draining or starting
/// must not be in the addresses.
#[test]
fn a_suspect_that_was_not_ready_is_not_in_addresses() {
    for before in [NodeState::Draining, NodeState::Starting] {
        let start = Instant::now();
        let mut a = member(start, "a");
        a.apply_list(start, &list(1, &["a", "b"]));
        a.on_heartbeat(start, "b", &heartbeat(incarnation(1, 1), 1, before), &mut Vec::new());
        run(&mut a, start, MESH_INTERVAL * 2 + SILENCE_TIMEOUT, &mut Vec::new());
        assert_eq!(state(&a, "b"), Some(NodeState::Suspect));
        assert_eq!(urls(&a), ["http://a"]);
    }
}

/// A node without a heartbeat was listed with a wrong address, which a later list corrects.
/// Heartbeats must be sent to the new address.
#[test]
fn the_list_corrects_the_address_of_a_node_without_a_heartbeat() {
    let now = Instant::now();
    let mut a = member(now, "a");
    a.apply_list(now, &list(1, &["a", "b"]));
    let mut corrected = list(2, &["a", "b"]);
    corrected.instances[1].peer = Some("10.0.0.2:2".into());
    a.apply_list(now, &corrected);
    let mut out = Vec::new();
    run(&mut a, now, MESH_INTERVAL * 2, &mut out);
    let Some(Output::Send { to, .. }) = out.first() else { panic!("{out:?}") };
    assert_eq!(to[0], Target { name: "b".into(), address: "10.0.0.2:2".into() });
}

/// Like [`a_failed_link_removes_no_node`], with many nodes, most of which don't receive heartbeats
/// from the two. They would remove a suspect if the suspicion was gossiped before its watchers had
/// time to refute it.
#[test]
fn a_failed_link_among_many_nodes_removes_no_node() {
    let mut net = Net::new(40);
    net.run(Duration::from_secs(20));
    assert_eq!(net.counts(), [40; 40]);
    let cuts: [fn(usize, usize) -> bool; 3] =
        [|a, b| a + b == 5, |a, b| a * b == 0 && a + b == 9, |a, b| b == 39 && a % 2 == 0];
    for cut in cuts {
        net.cut = cut;
        for _ in 0..400 {
            net.step();
            assert_eq!(net.counts()[..39], [40; 39]);
        }
    }
}

/// A node that considers another one gone receives a suspicion of it with a later moment. It must
/// gossip that moment: other nodes may still consider the lost node ready at that moment, and would
/// keep it in their addresses.
#[test]
fn a_later_suspicion_of_a_lost_node_is_gossiped() {
    let now = Instant::now();
    let mut a = pair(now);
    let claim = |beat, state| {
        let moment = Moment { life: incarnation(1, 1), beat };
        Update::Node(Claim { name: "c".into(), moment, state, location: None })
    };
    let mut beat = heartbeat(incarnation(1, 1), 2, NodeState::Ready);
    beat.updates = vec![claim(1, NodeState::Gone)];
    a.on_heartbeat(now, "b", &beat, &mut Vec::new());
    let later = run(&mut a, now + MESH_INTERVAL * 2, SILENCE_TIMEOUT, &mut Vec::new());
    (beat.moment.beat, beat.updates) = (3, vec![claim(5, NodeState::Suspect)]);
    a.on_heartbeat(later, "b", &beat, &mut Vec::new());
    let mut out = Vec::new();
    run(&mut a, later, MESH_INTERVAL * 2, &mut out);
    let gossiped = out.iter().any(|o| {
        let Output::Send { message: PeerMessage::Heartbeat(h), .. } = o else { return false };
        h.updates.contains(&claim(5, NodeState::Gone))
    });
    assert!(gossiped, "{out:?}");
}

/// `a` considers `b` gone because of a false claim, and the refutation was lost. No other node
/// considers `b` gone, so there is no further gossip about it. The probes by `a` must restore `b`.
#[test]
fn a_node_wrongly_considered_gone_is_restored_by_probes() {
    let now = Instant::now();
    let mut a = pair(now);
    let mut b = member(now, "b");
    b.apply_list(now, &list(1, &["a", "b"]));
    let moment = Moment { life: incarnation(1, 1), beat: 1 };
    a.receive(now, "b", &PeerMessage::Leave(moment), &mut Vec::new());
    assert_eq!(state(&a, "b"), Some(NodeState::Gone));
    let (mut sent, mut reply) = (Vec::new(), Vec::new());
    let later = run(&mut a, now + MESH_INTERVAL * 2, Duration::from_secs(2), &mut sent);
    for output in &sent {
        let Output::Send { message, .. } = output else { continue };
        if !matches!(message, PeerMessage::Heartbeat(_)) {
            b.receive(later, "a", message, &mut reply);
        }
    }
    let Some(Output::Send { message, .. }) = reply.first() else { panic!("{reply:?}") };
    a.receive(later, "b", message, &mut Vec::new());
    assert_eq!(state(&a, "b"), Some(NodeState::Ready));
}

#[test]
fn a_draining_node_is_removed_from_all_addresses() {
    let mut net = Net::new(6);
    net.run(Duration::from_secs(2));
    let now = net.now;
    net.members[0].drain(now);
    net.run(STEP * 3);
    assert_eq!(net.counts(), [5; 6]);
    let mut out = Vec::new();
    net.members[0].send_leave(&mut out);
    net.post(0, out);
    net.step();
    assert!(net.members[1..].iter().all(|m| state(m, "0") == Some(NodeState::Gone)));
}

#[test]
fn a_revision_is_pulled_once_from_its_sender() {
    let now = Instant::now();
    let mut a = pair(now);
    let mut out = Vec::new();
    a.receive(now, "b", &PeerMessage::Revision(4.into()), &mut out);
    a.receive(now, "b", &PeerMessage::Revision(4.into()), &mut out);
    let to = vec![Target { name: "b".into(), address: "b:1".into() }];
    assert_eq!(out, [Output::Send { to: to.clone(), message: PeerMessage::CatalogPull(0.into()) }]);
    out.clear();
    a.set_revision(4.into(), &mut out);
    assert_eq!(out, [Output::Send { to: to.clone(), message: PeerMessage::Revision(4.into()) }]);
    out.clear();
    a.receive(now, "b", &PeerMessage::Revision(3.into()), &mut out);
    a.receive(now, "b", &PeerMessage::CatalogPull(4.into()), &mut out);
    assert_eq!(out, []);
    a.receive(now, "b", &PeerMessage::CatalogPull(3.into()), &mut out);
    assert_eq!(out, [Output::PushCatalog(to[0].clone())]);
}

/// Guards against an old catalogue that stays in force for seconds because the first peer that announced
/// the new one has died, and others that announce it are not asked.
#[test]
fn a_revision_is_pulled_from_another_peer_if_the_first_does_not_respond() {
    let now = Instant::now();
    let mut a = pair(now);
    a.apply_list(now, &list(2, &["a", "b", "c"]));
    let mut out = Vec::new();
    let life = heartbeat(incarnation(1, 2), 1, NodeState::Ready);
    a.on_heartbeat(now, "c", &life, &mut Vec::new());
    a.receive(now, "b", &PeerMessage::Revision(4.into()), &mut out);
    a.receive(now, "c", &PeerMessage::Revision(4.into()), &mut out);
    let asked = |out: &[Output]| -> Vec<CompactString> {
        let is_pull = |message: &PeerMessage| matches!(message, PeerMessage::CatalogPull(_));
        let pulls = out.iter().filter_map(|output| match output {
            Output::Send { to, message } if is_pull(message) => Some(to[0].name.clone()),
            _ => None,
        });
        pulls.collect()
    };
    assert_eq!(asked(&out), ["b"]);
    let now = run(&mut a, now, Duration::from_millis(400), &mut out);
    assert_eq!(asked(&out), ["b", "c"]);
    a.set_revision(4.into(), &mut out);
    run(&mut a, now, Duration::from_secs(1), &mut out);
    assert_eq!(asked(&out), ["b", "c"]);
}

/// Guards against a request that cannot be sent, as the peer's address is not known, and that keeps others
/// from being sent.
#[test]
fn a_revision_is_pulled_although_a_peer_without_an_address_announced_it_first() {
    let now = Instant::now();
    let mut a = pair(now);
    let mut out = Vec::new();
    a.receive(now, "unknown", &PeerMessage::Revision(4.into()), &mut out);
    a.receive(now, "b", &PeerMessage::Revision(4.into()), &mut out);
    let to = vec![Target { name: "b".into(), address: "b:1".into() }];
    assert_eq!(out, [Output::Send { to, message: PeerMessage::CatalogPull(0.into()) }]);
}

#[test]
fn a_hint_reaches_every_node_once() {
    let mut net = Net::new(20);
    net.run(Duration::from_secs(5));
    let hint = Hint { runner: "r".into(), kind: HintKind::Lost };
    net.members[0].hint(net.now, &hint);
    net.run(Duration::from_secs(5));
    let receipts = |node| net.hints.iter().filter(|i| **i == node).count();
    assert!((1..20).all(|node| receipts(node) == 1), "{:?}", net.hints);
}

/// Guards against exceeded limits in a partition: a disconnected node must continue to count the
/// listed nodes, which may be serving on the other side and use their share of the limits.
#[test]
fn lost_nodes_keep_their_share_of_limits_while_listed() {
    let start = Instant::now();
    let mut a = pair(start);
    let mut beat = heartbeat(incarnation(1, 1), 2, NodeState::Ready);
    beat.usage = vec![Usage { entry: "e".into(), account: "c".into(), running: 3 }];
    a.on_heartbeat(start, "b", &beat, &mut Vec::new());
    assert_eq!(a.usage(start).nodes, 1);
    assert_eq!(a.usage(start).running, beat.usage);
    let now = run(&mut a, start + MESH_INTERVAL * 2, SILENCE_TIMEOUT * 2, &mut Vec::new());
    assert_eq!(state(&a, "b"), Some(NodeState::Gone));
    assert_eq!(a.usage(now).nodes, 1);
    assert_eq!(a.usage(now).running, []);
    a.apply_list(now, &list(2, &["a"]));
    assert_eq!(a.usage(now).nodes, 0);
}

#[test]
fn a_gone_and_unlisted_node_is_forgotten() {
    let start = Instant::now();
    let mut a = pair(start);
    let now = run(&mut a, start + MESH_INTERVAL * 2, SILENCE_TIMEOUT * 2, &mut Vec::new());
    a.apply_list(now, &list(2, &["a"]));
    assert_eq!(state(&a, "b"), Some(NodeState::Gone));
    run(&mut a, now, TOMBSTONE_RETENTION + SILENCE_TIMEOUT, &mut Vec::new());
    assert_eq!(state(&a, "b"), None);
}

#[test]
fn equal_seeds_give_equal_outputs() {
    let now = Instant::now();
    let (mut a, mut b) = (pair(now), pair(now));
    let (mut out_a, mut out_b) = (Vec::new(), Vec::new());
    run(&mut a, now + Duration::from_secs(1), Duration::from_secs(10), &mut out_a);
    run(&mut b, now + Duration::from_secs(1), Duration::from_secs(10), &mut out_b);
    assert_eq!(out_a, out_b);
}

/// Guards against excessive traffic in large deployments: with 100 nodes in three domains and 300
/// in five, at least half of the messages must stay within a domain, and the message rate per node
/// must grow only with the logarithm of the number of nodes.
#[test]
fn most_heartbeats_stay_in_their_domain() {
    for (size, domains) in [(100, "abc"), (300, "abcde")] {
        let domain = |i: usize| domains.as_bytes()[i % domains.len()] as char;
        let mut net = Net::of((0..size).map(|i| format_compact!("{}{i}", domain(i))).collect());
        net.run(Duration::from_secs(5));
        assert_eq!(net.counts(), vec![size; size]);
        (net.sent, net.crossed) = (0, 0);
        net.run(Duration::from_secs(5));
        assert!(
            net.crossed * 2 <= net.sent,
            "{} of {} messages are sent to another domain",
            net.crossed,
            net.sent
        );
        let rate = net.sent as f64 / size as f64 / 5.0;
        assert!(rate <= 2.5 * (size as f64).log2(), "{rate} messages per second and node");
    }
}

/// Guards against addresses of nodes in a failure domain that was lost as a whole.
#[test]
fn the_loss_of_a_large_domain_is_detected() {
    let domain = |i: usize| "abcde".as_bytes()[i % 5] as char;
    let mut net = Net::of((0..150).map(|i| format_compact!("{}{i}", domain(i))).collect());
    net.run(Duration::from_secs(5));
    net.cut = |from, to| (from % 5 == 0) || (to % 5 == 0);
    net.run(SILENCE_TIMEOUT + CONFIRM_TIMEOUT + Duration::from_secs(3));
    let counts = net.counts();
    let others = counts.iter().enumerate().filter(|(i, _)| i % 5 > 0);
    assert!(others.clone().all(|(_, n)| *n == 120), "{counts:?}");
}

/// Guards against late joiners that stay unknown to most nodes because only some nodes read the
/// list.
#[test]
fn a_node_listed_by_few_becomes_known_to_all() {
    const OLD: usize = 60;
    let domain = |i: usize| "abc".as_bytes()[i % 3] as char;
    let names: Vec<CompactString> =
        (0..OLD + 12).map(|i| format_compact!("{}{i}", domain(i))).collect();
    let mut net = Net::of(names[..OLD].to_vec());
    net.run(Duration::from_secs(5));
    let all: Vec<&str> = names.iter().map(CompactString::as_str).collect();
    for name in &names[OLD..] {
        let mut member = member(net.now, name);
        member.apply_list(net.now, &list(2, &all));
        net.names.push(name.clone());
        net.members.push(member);
    }
    (0..3).for_each(|i| net.members[i].apply_list(net.now, &list(2, &all)));
    net.run(Duration::from_secs(4));
    assert_eq!(net.counts()[..OLD], [OLD + 12; OLD]);
    net.run(Duration::from_secs(2));
    assert_eq!(net.counts(), [OLD + 12; OLD + 12]);
}

/// Guards against callers who find no instance while all of them drain: which ones stay longest must
/// be known then.
#[test]
fn draining_nodes_are_ordered_by_the_start_of_their_drain() {
    let now = Instant::now();
    let mut a = pair(now);
    assert!(a.draining().is_empty());
    let draining = heartbeat(incarnation(1, 1), 2, NodeState::Draining);
    let urls = |a: &Members| -> Vec<_> {
        a.draining().into_iter().map(|(since, node)| (since - now, node.url)).collect()
    };
    a.on_heartbeat(now + STEP * 20, "b", &draining, &mut Vec::new());
    assert_eq!(urls(&a), [(STEP * 20, "http://b".into())]);
    a.drain(now + STEP * 30);
    a.drain(now + STEP * 40);
    assert_eq!(urls(&a), [(STEP * 20, "http://b".into()), (STEP * 30, "http://a".into())]);
    let left = Moment { life: incarnation(1, 1), beat: 3 };
    a.receive(now + STEP * 50, "b", &PeerMessage::Leave(left), &mut Vec::new());
    assert_eq!(urls(&a), [(STEP * 30, "http://a".into())]);
}
