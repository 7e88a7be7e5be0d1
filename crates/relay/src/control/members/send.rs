//! Sending of messages to other nodes.

use {
    super::Membership,
    crate::{
        fanout::{self, Fanout, GroupRelays, Peer, Scope},
        readers::Ranking,
        shards,
    },
    bilberryfront_decide::member::{
        Node, PeerMessage, Target,
        message::{Hint, HintKind, Load, NodeState, Notice, NoticeContent, RelayedLoad},
    },
    compact_str::CompactString,
    std::collections::BTreeMap,
    tokio::time::Instant,
};

/// Maximum number of other nodes up to which broadcasts are sent to all of them; above it, they are
/// sent to the heartbeat targets.
const FULL_MESH_LIMIT: usize = 100;
/// Number of nodes that are queried at the same time.
const QUERIED_NODES: usize = 2;

/// Receivers of this node's messages.
#[derive(Default)]
pub(super) struct Routes {
    /// Running nodes.
    peers: Vec<Peer>,
    fanout: Fanout,
    /// Relays, used in a large system.
    groups: GroupRelays,
}

impl Membership {
    /// Recomputes the receivers of messages.
    pub(super) fn update_routes(&mut self, now: Instant) {
        let peers = self.running_peers();
        let epoch = fanout::epoch(self.start, now);
        let fanout =
            Fanout::new(&self.local_node.name, &self.local_node.domain, peers.clone(), epoch);
        let groups = match self.scope {
            Scope::System => GroupRelays::default(),
            Scope::Group { .. } => {
                GroupRelays::new(&self.local_node.name, &self.local_node.domain, &peers, epoch)
            }
        };
        self.routes = Routes { peers, fanout, groups };
    }

    /// Sends a message to all other nodes, or to the heartbeat targets if there are more than
    /// [`FULL_MESH_LIMIT`].
    pub(in crate::control) fn broadcast(&self, message: &PeerMessage) {
        let peers = &self.routes.peers;
        let to = match peers.len() {
            ..=FULL_MESH_LIMIT => peers.iter().map(|peer| peer.target.clone()).collect(),
            _ => self.members.targets(),
        };
        self.send(&to, message);
    }

    /// Sends a message to all other nodes of this node's failure domain.
    pub(in crate::control) fn broadcast_local(&self, message: &PeerMessage) {
        self.send(&self.routes.fanout.local, message);
    }

    /// Sends a message to the other nodes of this node's failure domain that hold one of `count` shards.
    pub(in crate::control) fn send_to_shard(&self, shard: u32, count: u32, message: &PeerMessage) {
        let is_holder =
            |target: &&Target| shards::is_same_shard(shards::shard(&target.name), shard, count);
        let local = self.routes.fanout.local.iter();
        let holders: Vec<Target> = local.filter(is_holder).cloned().collect();
        self.send(&holders, message);
    }

    /// Sends a message to the first reader of each other failure domain.
    pub(in crate::control) fn send_to_readers(&self, message: &PeerMessage) {
        let mut domains = BTreeMap::<&CompactString, Vec<&Target>>::new();
        for Peer { target, domain } in &self.routes.peers {
            if *domain != self.local_node.domain {
                domains.entry(domain).or_default().push(target);
            }
        }
        let first = |targets: Vec<&Target>| {
            let ranking = Ranking::new(targets.iter().map(|target| target.name.clone()));
            targets.into_iter().find(|target| ranking.rank(&target.name) == 0).cloned()
        };
        let readers: Vec<Target> = domains.into_values().filter_map(first).collect();
        self.send(&readers, message);
    }

    /// Sends a message to one node.
    pub(in crate::control) fn send_to(&self, name: &str, message: &PeerMessage) {
        if let Some(target) = self.members.target(name) {
            self.send(&[target], message);
        }
    }

    /// Sends a message to [`QUERIED_NODES`] other nodes, the next ones with each attempt. Those that drain
    /// come first: they have run for longest, and will not respond later.
    pub(in crate::control) fn send_to_some(&self, attempt: usize, message: &PeerMessage) {
        let is_ready = |target: &Target| {
            let state = self.members.nodes().find(|node| node.name == target.name);
            state.is_some_and(|node| node.state == NodeState::Ready)
        };
        let mut targets: Vec<Target> =
            self.routes.peers.iter().map(|peer| peer.target.clone()).collect();
        targets.sort_by_cached_key(|target| (is_ready(target), target.name.clone()));
        let count = QUERIED_NODES.min(targets.len());
        let next = targets.iter().cycle().skip(attempt * count).take(count);
        self.send(&next.cloned().collect::<Vec<Target>>(), message);
    }

    /// Sends a load update to the nodes whose scope contains its runners. `domain` returns the
    /// failure domain of a runner.
    pub(in crate::control) fn send_load<'a>(
        &self,
        load: &Load,
        domain: impl Fn(&str) -> Option<&'a CompactString>,
    ) {
        match self.scope {
            Scope::System => self.send_to_all(load),
            Scope::Group { .. } => self.send_to_groups(load.clone(), domain),
        }
    }

    fn send_to_all(&self, load: &Load) {
        let Fanout { local, relays } = &self.routes.fanout;
        self.send(local, &PeerMessage::Load(Box::new(load.clone())));
        relays.iter().for_each(|relay| self.send_relayed(&relay.target, load.clone()));
    }

    /// Sends each runner's load to the runner's group, rate limits and drain notices to all nodes,
    /// and the rest to this node's group, speeds only of runners that it holds.
    fn send_to_groups<'a>(&self, load: Load, domain: impl Fn(&str) -> Option<&'a CompactString>) {
        let Load { runners, failed, restarts, budgets, limits, draining, queues, mut paces } = load;
        let advertised = Load { limits, draining, ..Load::default() };
        if !advertised.is_empty() {
            self.send_to_all(&advertised);
        }
        let is_own =
            |id: &str| domain(id) == Some(&self.local_node.domain) && self.scope.includes(id);
        let (own, others): (Vec<_>, Vec<_>) =
            runners.into_iter().partition(|load| is_own(&load.runner));
        let runners = own;
        paces.retain(|pace| is_own(&pace.runner));
        let own = Load { runners, failed, restarts, budgets, queues, paces, ..Load::default() };
        if !own.is_empty() {
            self.send(&self.group(), &PeerMessage::Load(Box::new(own)));
        }
        let mut relayed = BTreeMap::<&CompactString, (&Target, Load)>::new();
        // Replicas on runners of other groups are not reported, since they do not delay other
        // requests.
        for load in others.into_iter().filter(|load| load.running > 0) {
            let relay = domain(&load.runner)
                .and_then(|domain| self.routes.groups.relay(domain, &load.runner));
            if let Some(relay) = relay {
                let (_, loads) =
                    relayed.entry(&relay.name).or_insert_with(|| (relay, Load::default()));
                loads.runners.push(load);
            }
        }
        relayed.into_values().for_each(|(relay, load)| self.send_relayed(relay, load));
    }

    /// Returns the other nodes of this node's group.
    fn group(&self) -> Vec<Target> {
        let local = self.routes.fanout.local.iter();
        local.filter(|peer| self.scope.includes(&peer.name)).cloned().collect()
    }

    fn send_relayed(&self, relay: &Target, load: Load) {
        let relayed = RelayedLoad { origin: self.local_node.name.clone(), load, forward: true };
        self.send(std::slice::from_ref(relay), &PeerMessage::RelayedLoad(Box::new(relayed)));
    }

    /// Forwards a relayed update: rate limits and drain notices to all nodes of this failure
    /// domain, loads to the nodes whose scope contains the runners.
    pub(in crate::control) fn relay_load(&self, relayed: &RelayedLoad) {
        if !relayed.forward {
            return;
        }
        let relayed = RelayedLoad { forward: false, ..relayed.clone() };
        let is_for_all = !relayed.load.limits.is_empty() || !relayed.load.draining.is_empty();
        let message = PeerMessage::RelayedLoad(Box::new(relayed));
        match self.scope {
            Scope::Group { .. } if !is_for_all => self.send(&self.group(), &message),
            _ => self.broadcast_local(&message),
        }
    }

    /// Sends a notice to all nodes.
    pub(in crate::control) fn send_notice(&self, content: NoticeContent) {
        let origin = self.local_node.name.clone();
        let Fanout { local, relays } = &self.routes.fanout;
        let mut notice = Notice { origin, forward: false, content };
        self.send(local, &PeerMessage::Notice(notice.clone()));
        notice.forward = true;
        let relays: Vec<Target> = relays.iter().map(|relay| relay.target.clone()).collect();
        self.send(&relays, &PeerMessage::Notice(notice));
    }

    /// Sends a notice to the heartbeat targets, some of which may have missed it.
    pub(in crate::control) fn repeat_notice(&self, content: NoticeContent) {
        let notice = Notice { origin: self.local_node.name.clone(), forward: false, content };
        self.send(&self.members.targets(), &PeerMessage::Notice(notice));
    }

    /// Forwards a notice within this node's failure domain if its sender requests that.
    pub(in crate::control) fn forward_notice(&self, notice: &Notice) {
        if notice.forward {
            let notice = Notice { forward: false, ..notice.clone() };
            self.broadcast_local(&PeerMessage::Notice(notice));
        }
    }

    /// Gossips failures of runners.
    pub(in crate::control) fn gossip_failures(&mut self, now: Instant, runners: &[CompactString]) {
        for runner in runners {
            let hint = Hint { runner: runner.clone(), kind: HintKind::Lost };
            self.members.hint(now, &hint);
        }
    }

    fn running_peers(&self) -> Vec<Peer> {
        let running = |state| matches!(state, NodeState::Ready | NodeState::Draining);
        let target = |node: Node| {
            let location = node.location.filter(|_| running(node.state))?;
            let target = Target { name: node.name, address: location.peer };
            Some(Peer { target, domain: location.domain })
        };
        self.members.nodes().filter_map(target).collect()
    }

    pub(super) fn send(&self, to: &[Target], message: &PeerMessage) {
        match self.net.send(to, message) {
            Ok(bytes) => self.metrics.count_peer_bytes(message, bytes * to.len()),
            Err(error) => log::warn!("cannot encode a peer message: {error}"),
        }
    }
}
