//! Membership: the other nodes and the messages exchanged with them.

use {
    super::{authority::Authority, join},
    crate::{
        fanout::{self, Fanout, Peer, Scope},
        metrics::Metrics,
        readers::Ranking,
        settings::Settings,
        store::{Revision, Rows},
        view::NodeAddress,
    },
    bilberryfront_decide::{
        id::Incarnation,
        member::{
            Address, Me, Members, Node, Output, PeerMessage, Target,
            message::{
                CatalogPush, Hint, HintKind, Life, Load, NodeLocation, NodeState, RelayedLoad,
            },
        },
    },
    bilberryfront_peer::{PeerConfig, PeerError, PeerNet, Received},
    bilberryfront_wire::instance::{Instance, InstanceKind, InstanceList, InstanceState},
    bytes::Bytes,
    compact_str::{CompactString, format_compact},
    rustc_hash::FxHashMap,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{sync::mpsc, time::Instant},
};

/// Maximum number of nodes for which messages are sent to all; above it, to heartbeat targets.
const FULL_MESH_LIMIT: usize = 100;
/// Time after the start for which registered nodes without a heartbeat are ranked as readers.
const RANK_UNSEEN: Duration = Duration::from_secs(3);
/// Maximum age of [`Routes`] while no node changes its state; a node may change its address.
const ROUTES_AGE: Duration = Duration::from_millis(250);
/// Time for which a node must be dead before its registration is deleted.
const RETENTION: Duration = Duration::from_secs(600);
/// Scheme of callers' addresses in the membership.
const SCHEME: &str = "http://";

/// A started transport with its membership.
pub(super) struct Joined {
    pub(super) membership: Membership,
    pub(super) events: mpsc::Receiver<Received>,
}

/// Membership and transport of this node.
pub(super) struct Membership {
    members: Members,
    net: PeerNet,
    me: NodeAddress,
    listed: BTreeMap<CompactString, NodeAddress>,
    start: Instant,
    metrics: Metrics,
    draining: bool,
    /// Whether the set of nodes changed since it was last read.
    changed: bool,
    /// Whether registered nodes without a heartbeat are in the ranking.
    ranks_unseen: bool,
    routes: Routes,
    /// Since when nodes have been dead.
    dead: BTreeMap<CompactString, Instant>,
    scope: Scope,
}

/// Receivers of this node's messages.
struct Routes {
    at: Instant,
    /// Running nodes.
    peers: Vec<Peer>,
    fanout: Fanout,
}

/// What the control thread derives from the membership.
pub(super) struct Nodes {
    /// Nodes for address responses.
    pub(super) ready: Vec<NodeAddress>,
    /// Nodes of the own failure domain by rank.
    pub(super) ranking: Ranking,
    /// Number of failure domains.
    pub(super) domains: usize,
    /// Which loads this node knows.
    pub(super) scope: Scope,
}

/// Starts the transport with a certificate of the authority.
pub(super) fn listen(
    settings: &Settings,
    authority: &Authority,
    metrics: Metrics,
) -> Result<Joined, PeerError> {
    let me = NodeAddress {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        callers: settings.listen.callers,
        peers: settings.listen.peers,
    };
    let identity = authority.sign(&me.name).map_err(|e| PeerError::Tls(e.to_string()))?;
    let config = PeerConfig {
        name: me.name.clone(),
        listen: me.peers,
        certificate: identity.certificate.into_bytes(),
        key: identity.key.into_bytes(),
        authority: authority.certificate.clone().into_bytes(),
    };
    let (net, events) = PeerNet::start(&config)?;
    let life = Life { epoch: wall(), incarnation: Incarnation(rand::random()) };
    let named = Me { name: me.name.clone(), life, location: location(&me) };
    let start = Instant::now();
    let members = Members::new(rand::random(), start, named);
    let membership = Membership {
        members,
        net,
        me,
        listed: BTreeMap::new(),
        start,
        metrics,
        draining: false,
        changed: true,
        ranks_unseen: true,
        routes: Routes { at: start, peers: Vec::new(), fanout: Fanout::default() },
        dead: BTreeMap::new(),
        scope: Scope::default(),
    };
    Ok(Joined { membership, events })
}

impl Membership {
    /// Marks this node as ready.
    pub(super) fn ready(&mut self) {
        if !self.draining {
            self.members.ready();
            self.changed = true;
        }
    }

    /// Marks this node as draining.
    pub(super) fn leave(&mut self, now: Instant) {
        if !std::mem::replace(&mut self.draining, true) {
            self.members.drain(now);
            self.changed = true;
        }
    }

    /// Applies registrations of nodes.
    pub(super) fn list(&mut self, rows: &Rows, whole: bool) {
        if whole {
            self.listed.clear();
        }
        for row in &rows.rows {
            let Some(name) = join::node_name(&row.key) else { continue };
            match join::address(row) {
                Some(node) => _ = self.listed.insert(name.into(), node),
                None => _ = self.listed.remove(name),
            }
        }
        let instances = self.listed.values().map(instance).collect();
        let list = InstanceList { revision: rows.revision, instances };
        self.members.list(Instant::now(), &list);
        self.changed = true;
    }

    /// Performs periodic work; returns runners reported as failed.
    pub(super) fn tick(
        &mut self,
        now: Instant,
        row: Option<&(Revision, Bytes)>,
    ) -> Vec<CompactString> {
        let mut out = Vec::new();
        if let Some((revision, _)) = row {
            self.members.set_revision(*revision, &mut out);
        }
        self.members.tick(now, &mut out);
        let lost = self.carry_out(out, row);
        if self.changed || now >= self.routes.at + ROUTES_AGE {
            self.update_routes(now);
        }
        lost
    }

    fn update_routes(&mut self, now: Instant) {
        let peers = self.running_peers();
        let epoch = fanout::epoch(self.start, now);
        let fanout = Fanout::new(&self.me.name, &self.me.domain, peers.clone(), epoch);
        self.routes = Routes { at: now, peers, fanout };
    }

    /// Handles a peer event; returns runners reported as failed.
    pub(super) fn receive(
        &mut self,
        now: Instant,
        event: Received,
        row: Option<&(Revision, Bytes)>,
    ) -> Vec<CompactString> {
        let mut out = Vec::new();
        match event {
            Received::Broken(name) => self.members.broken(now, &name, &mut out),
            Received::Message { from, message } => {
                self.members.receive(now, &from, &message, &mut out);
            }
        }
        self.carry_out(out, row)
    }

    /// The nodes, if they changed since the last call.
    pub(super) fn changed_nodes(&mut self, now: Instant) -> Option<Nodes> {
        let unseen = now < self.start + RANK_UNSEEN;
        let expired = std::mem::replace(&mut self.ranks_unseen, unseen) && !unseen;
        if !std::mem::take(&mut self.changed) && !expired {
            return None;
        }
        let ranked = |node: &Node| match node.state {
            NodeState::Starting | NodeState::Ready => true,
            NodeState::Unknown => unseen,
            _ => false,
        };
        let mut domains = BTreeSet::from([self.me.domain.clone()]);
        let mut local = Vec::new();
        for node in self.members.nodes().filter(ranked) {
            let Some(location) = node.location else { continue };
            if location.domain == self.me.domain {
                local.push(node.name);
            }
            domains.insert(location.domain);
        }
        if !self.draining {
            local.push(self.me.name.clone());
        }
        let ready = self.ready_nodes();
        let local_ready = ready.iter().filter(|node| node.domain == self.me.domain).count();
        self.scope = Scope::new(&self.me.name, ready.len(), local_ready);
        let (ranking, domains) = (Ranking::new(local), domains.len());
        Some(Nodes { ready, ranking, domains, scope: self.scope })
    }

    fn ready_nodes(&self) -> Vec<NodeAddress> {
        let known = self.listed.values().chain([&self.me]).map(|node| (node.callers, node));
        let known: FxHashMap<SocketAddr, &NodeAddress> = known.collect();
        let node = |a: Address| {
            let callers: SocketAddr = a.url.strip_prefix(SCHEME)?.parse().ok()?;
            let unlisted = || NodeAddress {
                name: a.url.clone(),
                domain: a.domain.clone(),
                callers,
                peers: callers,
            };
            Some(known.get(&callers).map_or_else(unlisted, |node| (*node).clone()))
        };
        self.members.addresses().into_iter().filter_map(node).collect()
    }

    /// Registered nodes of the own failure domain that have been dead for long.
    pub(super) fn stale_registrations(&mut self, now: Instant) -> Vec<CompactString> {
        let is_stale = |(name, since): &(&CompactString, &Instant)| {
            let local = self.listed.get(*name).is_some_and(|node| node.domain == self.me.domain);
            local && now >= **since + RETENTION
        };
        let stale: Vec<CompactString> =
            self.dead.iter().filter(is_stale).map(|(name, _)| name.clone()).collect();
        stale.iter().for_each(|name| _ = self.dead.remove(name));
        stale
    }

    /// Sends a message to all nodes, or to the heartbeat targets above [`FULL_MESH_LIMIT`].
    pub(super) fn broadcast(&self, message: &PeerMessage) {
        let peers = &self.routes.peers;
        let to = match peers.len() {
            ..=FULL_MESH_LIMIT => peers.iter().map(|peer| peer.target.clone()).collect(),
            _ => self.members.targets(),
        };
        self.send(&to, message);
    }

    /// Sends a message to all nodes of the own failure domain.
    pub(super) fn broadcast_local(&self, message: &PeerMessage) {
        self.send(&self.routes.fanout.local, message);
    }

    /// Sends a message to the first reader of each other failure domain.
    pub(super) fn send_to_readers(&self, message: &PeerMessage) {
        let mut domains = BTreeMap::<&CompactString, Vec<&Target>>::new();
        for Peer { target, domain } in &self.routes.peers {
            if *domain != self.me.domain {
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
    pub(super) fn send_to(&self, name: &str, message: &PeerMessage) {
        if let Some(target) = self.members.target(name) {
            self.send(&[target], message);
        }
    }

    /// Sends a load update to the nodes that know these runners. `domain` is the failure domain of a
    /// runner.
    pub(super) fn send_load<'a>(
        &self,
        load: &Load,
        domain: impl Fn(&str) -> Option<&'a CompactString>,
    ) {
        let Fanout { local, relays } = &self.routes.fanout;
        match self.scope {
            Scope::System => {
                self.send(local, &PeerMessage::Load(load.clone()));
                relays.iter().for_each(|relay| self.send_relayed(relay, load.clone()));
            }
            Scope::Group { .. } => {
                let is_local = |id: &str| domain(id) == Some(&self.me.domain);
                let is_own = |id: &str| is_local(id) && self.scope.includes(id);
                let own = fanout::restrict(load, |load| is_own(&load.runner));
                let Load { failed, restarts, budgets, .. } = load.clone();
                let group = local.iter().filter(|peer| self.scope.includes(&peer.name));
                let group: Vec<Target> = group.cloned().collect();
                self.send_if_any(&group, Load { failed, restarts, budgets, ..own });
                // Replicas elsewhere are not reported: they delay no other request.
                let others = fanout::restrict(load, |load| {
                    load.running > 0 && is_local(&load.runner) && !is_own(&load.runner)
                });
                self.send_if_any(local, others);
                for relay in relays {
                    let theirs = fanout::restrict(load, |load| {
                        load.running > 0 && domain(&load.runner) == Some(&relay.domain)
                    });
                    self.send_relayed(relay, theirs);
                }
            }
        }
    }

    fn send_if_any(&self, to: &[Target], load: Load) {
        if !load.is_empty() {
            self.send(to, &PeerMessage::Load(load));
        }
    }

    fn send_relayed(&self, relay: &Peer, load: Load) {
        if !load.is_empty() {
            let relayed = RelayedLoad { origin: self.me.name.clone(), load, forward: true };
            self.send(std::slice::from_ref(&relay.target), &PeerMessage::RelayedLoad(relayed));
        }
    }

    /// Forwards a relayed update within this failure domain.
    pub(super) fn relay_load(&self, relayed: &RelayedLoad) {
        if relayed.forward {
            let relayed = RelayedLoad { forward: false, ..relayed.clone() };
            self.broadcast_local(&PeerMessage::RelayedLoad(relayed));
        }
    }

    /// Gossips failures of runners.
    pub(super) fn gossip_failures(&mut self, now: Instant, runners: &[CompactString]) {
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

    /// Name of this node.
    pub(super) fn name(&self) -> &CompactString {
        &self.me.name
    }

    /// Sends a leave message and closes all connections.
    pub(super) async fn send_leave(mut self) {
        let mut out = Vec::new();
        self.members.send_leave(&mut out);
        self.carry_out(out, None);
        self.net.close().await;
    }

    fn carry_out(
        &mut self,
        out: Vec<Output>,
        row: Option<&(Revision, Bytes)>,
    ) -> Vec<CompactString> {
        let mut lost = Vec::new();
        for output in out {
            match output {
                Output::Send { to, message } => self.send(&to, &message),
                Output::PushCatalog(target) => {
                    if let Some(message) = row.and_then(push) {
                        self.send(&[target], &message);
                    }
                }
                Output::Changed { name, from, to } => {
                    log::info!(node = name.as_str(); "node state changed from {from:?} to {to:?}");
                    self.changed = true;
                    match to {
                        NodeState::Gone => _ = self.dead.insert(name, Instant::now()),
                        _ => _ = self.dead.remove(&name),
                    }
                }
                Output::Hint(hint) => lost.push(hint.runner),
            }
        }
        lost
    }

    fn send(&self, to: &[Target], message: &PeerMessage) {
        match self.net.send(to, message) {
            Ok(bytes) => self.metrics.peer_sent(message, bytes * to.len()),
            Err(error) => log::warn!("cannot encode a peer message: {error}"),
        }
    }
}

fn push((revision, value): &(Revision, Bytes)) -> Option<PeerMessage> {
    let doc = String::from_utf8(value.to_vec()).ok()?;
    Some(PeerMessage::CatalogPush(CatalogPush { revision: *revision, doc }))
}

fn instance(node: &NodeAddress) -> Instance {
    let NodeLocation { domain, url, peer } = location(node);
    Instance {
        name: node.name.clone(),
        kind: InstanceKind::Node,
        url,
        domain,
        entry: CompactString::default(),
        version: CompactString::default(),
        state: InstanceState::Live,
        fenced: false,
        peer: Some(peer),
    }
}

fn location(node: &NodeAddress) -> NodeLocation {
    NodeLocation {
        domain: node.domain.clone(),
        url: format_compact!("{SCHEME}{}", node.callers),
        peer: format_compact!("{}", node.peers),
    }
}

/// Milliseconds since the Unix epoch. Orders incarnations only; the membership repairs a clock that
/// was set back.
fn wall() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.unwrap_or_default().as_millis() as u64
}
