//! The other nodes: who they are, which of them take requests, and what they say.

use {
    super::authority::Authority,
    crate::{
        metrics::Metrics,
        settings::Settings,
        spread::{self, Peer, Routes},
        store::{Revision, Row, Rows},
        view::NodeAddress,
    },
    bilberryfront_decide::{
        id::Incarnation,
        member::{
            Me, Members, Node, Output, PeerMessage, Target,
            message::{CatalogPush, Hint, HintKind, Life, Load, NodeState, Place, Relayed},
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

/// Most nodes that are told at once what this one knows of runners. Beyond, nodes have so few requests each
/// that their own choices seldom meet, and word of failures goes with the heartbeats.
const EVERYONE: usize = 100;
/// Start of the URLs under which the membership knows the callers' addresses.
const SCHEME: &str = "http://";

/// A node that can talk to others.
pub(super) struct Joined {
    pub(super) membership: Membership,
    pub(super) events: mpsc::Receiver<Received>,
}

/// This node's membership and its way to the others.
pub(super) struct Membership {
    members: Members,
    net: PeerNet,
    me: NodeAddress,
    listed: BTreeMap<CompactString, NodeAddress>,
    start: Instant,
    metrics: Metrics,
    leaving: bool,
}

/// Listens for other nodes with a certificate of the authority.
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
    let named = Me { name: me.name.clone(), life, place: place(&me) };
    let start = Instant::now();
    let members = Members::new(rand::random(), start, named);
    let listed = BTreeMap::new();
    let membership = Membership { members, net, me, listed, start, metrics, leaving: false };
    Ok(Joined { membership, events })
}

impl Membership {
    /// Says that this node takes requests.
    pub(super) fn ready(&mut self) {
        if !self.leaving {
            self.members.ready();
        }
    }

    /// Says that this node is leaving.
    pub(super) fn leave(&mut self, now: Instant) {
        if !std::mem::replace(&mut self.leaving, true) {
            self.members.drain(now);
        }
    }

    /// Takes rows of the nodes' table.
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

    /// Does what is due, and tells of the catalogue in force; runners that other nodes lost.
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

    /// Takes what another node said; runners that nodes lost.
    pub(super) fn hear(
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

    /// Nodes that callers may be told of.
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

    /// Tells the other nodes at once: all of them while they are few enough, else those that get this
    /// one's heartbeats.
    pub(super) fn tell(&self, message: &PeerMessage) {
        let everyone = self.everyone();
        let to = match everyone.len() {
            ..=EVERYONE => everyone.into_iter().map(|peer| peer.target).collect(),
            _ => self.members.targets(),
        };
        self.send(&to, message);
    }

    /// Tells the same nodes what this one has under way, across each border only once.
    pub(super) fn tell_load(&self, now: Instant, load: Load) {
        let everyone = self.everyone();
        if everyone.len() > EVERYONE {
            return self.send(&self.members.targets(), &PeerMessage::Load(load));
        }
        let turn = spread::turn(self.start, now);
        let routes = Routes::new(&self.me.name, &self.me.domain, everyone, turn);
        let relayed = Relayed { origin: self.me.name.clone(), load: load.clone(), spread: true };
        self.send(&routes.near, &PeerMessage::Load(load));
        self.send(&routes.relays, &PeerMessage::Relayed(relayed));
    }

    /// Passes on what a node of another domain says, if this one is its relay.
    pub(super) fn pass_on(&self, relayed: &Relayed) {
        if relayed.spread {
            let near = self.everyone().into_iter().filter(|peer| peer.domain == self.me.domain);
            let near: Vec<Target> = near.map(|peer| peer.target).collect();
            let relayed = Relayed { spread: false, ..relayed.clone() };
            self.send(&near, &PeerMessage::Relayed(relayed));
        }
    }

    /// Tells all nodes, in a few heartbeats, that runners failed.
    pub(super) fn spread_failures(&mut self, now: Instant, runners: &[CompactString]) {
        for runner in runners {
            let hint = Hint { runner: runner.clone(), kind: HintKind::Lost };
            self.members.hint(now, &hint);
        }
    }

    fn everyone(&self) -> Vec<Peer> {
        let running = |state| matches!(state, NodeState::Ready | NodeState::Draining);
        let target = |node: Node| {
            let place = node.place.filter(|_| running(node.state))?;
            let target = Target { name: node.name, address: place.peer };
            Some(Peer { target, domain: place.domain })
        };
        self.members.nodes().filter_map(target).collect()
    }

    /// This node's name.
    pub(super) fn name(&self) -> &CompactString {
        &self.me.name
    }

    /// Says goodbye and ends all connections.
    pub(super) async fn goodbye(mut self) {
        let mut out = Vec::new();
        self.members.goodbye(&mut out);
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
                    log::info!(node = name.as_str(); "a node went from {from:?} to {to:?}");
                }
                Output::Hint(hint) => lost.push(hint.runner),
            }
        }
        lost
    }

    fn send(&self, to: &[Target], message: &PeerMessage) {
        match self.net.send(to, message) {
            Ok(bytes) => self.metrics.told(message, bytes * to.len()),
            Err(error) => log::warn!("a message to peers can't be sent: {error}"),
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
    let Place { domain, url, peer } = place(node);
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

fn place(node: &NodeAddress) -> Place {
    Place {
        domain: node.domain.clone(),
        url: format_compact!("{SCHEME}{}", node.callers),
        peer: format_compact!("{}", node.peers),
    }
}

/// Milliseconds since the Unix epoch. It only tells an earlier life of a node from a later one; a
/// clock that was set back is made up for by the membership.
fn wall() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.unwrap_or_default().as_millis() as u64
}
