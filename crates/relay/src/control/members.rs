//! Membership: the other nodes and the messages exchanged with them.

use {
    super::authority::Authority,
    crate::{
        fanout::{self, Fanout, Peer},
        metrics::Metrics,
        settings::Settings,
        store::{Revision, Row, Rows},
        view::NodeAddress,
    },
    bilberryfront_decide::{
        id::Incarnation,
        member::{
            Me, Members, Node, Output, PeerMessage, Target,
            message::{
                CatalogPush, Hint, HintKind, Life, Load, NodeLocation, NodeState, RelayedLoad,
            },
        },
    },
    bilberryfront_peer::{PeerConfig, PeerError, PeerNet, Received},
    bilberryfront_wire::instance::{Instance, InstanceKind, InstanceList, InstanceState},
    bytes::Bytes,
    compact_str::{CompactString, format_compact},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{SystemTime, UNIX_EPOCH},
    },
    tokio::{sync::mpsc, time::Instant},
};

/// Maximum number of nodes for which load updates are sent to all; above it only to heartbeat
/// targets.
const FULL_MESH_LIMIT: usize = 100;
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
    drain: bool,
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
    let listed = BTreeMap::new();
    let membership = Membership { members, net, me, listed, start, metrics, drain: false };
    Ok(Joined { membership, events })
}

impl Membership {
    /// Marks this node as ready.
    pub(super) fn ready(&mut self) {
        if !self.drain {
            self.members.ready();
        }
    }

    /// Marks this node as draining.
    pub(super) fn leave(&mut self, now: Instant) {
        if !std::mem::replace(&mut self.drain, true) {
            self.members.drain(now);
        }
    }

    /// Applies rows of the node table.
    pub(super) fn list(&mut self, rows: &Rows, whole: bool) {
        if whole {
            self.listed.clear();
        }
        for row in &rows.rows {
            match address(row) {
                Some(node) => _ = self.listed.insert(row.key.clone(), node),
                None => _ = self.listed.remove(&row.key),
            }
        }
        let instances = self.listed.values().map(instance).collect();
        let list = InstanceList { revision: rows.revision, instances };
        self.members.list(Instant::now(), &list);
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
        self.carry_out(out, row)
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

    /// Nodes for address responses.
    pub(super) fn nodes(&self) -> Vec<NodeAddress> {
        let addresses = self.members.addresses().into_iter();
        let node = |a: bilberryfront_decide::member::Address| {
            let callers: SocketAddr = a.url.strip_prefix(SCHEME)?.parse().ok()?;
            let known = self.listed.values().chain([&self.me]).find(|n| n.callers == callers);
            let unlisted = || NodeAddress {
                name: a.url.clone(),
                domain: a.domain.clone(),
                callers,
                peers: callers,
            };
            Some(known.cloned().unwrap_or_else(unlisted))
        };
        addresses.filter_map(node).collect()
    }

    /// Sends a message to all nodes, or to the heartbeat targets above [`FULL_MESH_LIMIT`].
    pub(super) fn broadcast(&self, message: &PeerMessage) {
        let running_peers = self.running_peers();
        let to = match running_peers.len() {
            ..=FULL_MESH_LIMIT => running_peers.into_iter().map(|peer| peer.target).collect(),
            _ => self.members.targets(),
        };
        self.send(&to, message);
    }

    /// Sends a load update, through relays to other domains.
    pub(super) fn send_load(&self, now: Instant, load: Load) {
        let running_peers = self.running_peers();
        if running_peers.len() > FULL_MESH_LIMIT {
            return self.send(&self.members.targets(), &PeerMessage::Load(load));
        }
        let epoch = fanout::epoch(self.start, now);
        let routes = Fanout::new(&self.me.name, &self.me.domain, running_peers, epoch);
        let relayed =
            RelayedLoad { origin: self.me.name.clone(), load: load.clone(), forward: true };
        self.send(&routes.local, &PeerMessage::Load(load));
        self.send(&routes.relays, &PeerMessage::RelayedLoad(relayed));
    }

    /// Forwards a relayed update within this failure domain.
    pub(super) fn relay_load(&self, relayed: &RelayedLoad) {
        if relayed.forward {
            let local =
                self.running_peers().into_iter().filter(|peer| peer.domain == self.me.domain);
            let local: Vec<Target> = local.map(|peer| peer.target).collect();
            let relayed = RelayedLoad { forward: false, ..relayed.clone() };
            self.send(&local, &PeerMessage::RelayedLoad(relayed));
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

    fn carry_out(&self, out: Vec<Output>, row: Option<&(Revision, Bytes)>) -> Vec<CompactString> {
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

fn address(row: &Row) -> Option<NodeAddress> {
    serde_json::from_slice(row.value.as_ref()?).ok()
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
