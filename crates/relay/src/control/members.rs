//! Membership: the other nodes, and the messages exchanged with them.

mod send;

use {
    self::send::Routes,
    super::{authority::Authority, join, schedule::Schedule},
    crate::{
        drain::Drain, fanout::Scope, metrics::Metrics, readers::Ranking, settings::Settings,
        store::Rows, view::NodeAddress,
    },
    bilberryfront_decide::{
        id::{CatalogRevision, Incarnation},
        member::{
            Address, Me, Members, Node, Output, PeerMessage,
            message::{CatalogPush, NodeIncarnation, NodeLocation, NodeState},
        },
    },
    bilberryfront_peer::{PeerConfig, PeerError, PeerNet, Received},
    bilberryfront_wire::instance::{Instance, InstanceKind, InstanceState},
    bytes::Bytes,
    compact_str::CompactString,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{sync::mpsc, time::Instant},
};

/// Startup grace period, in which registered nodes are ranked as readers although no heartbeat of
/// them has arrived yet.
const STARTUP_GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Time after which the registration of a dead node is deleted.
const RETENTION: Duration = Duration::from_secs(600);
/// Divisor of the number of draining nodes that gives the number of those in address responses while no
/// node is ready. The others exit once they are idle, so that some are ready again before the last exit.
const LISTED_DRAINING_DIVISOR: usize = 3;
/// Minimum number of draining nodes in address responses, as one may crash.
const MIN_LISTED_DRAINING: usize = 2;

/// Started transport with its membership.
pub(super) struct Joined {
    pub(super) authority: Authority,
    pub(super) membership: Membership,
    pub(super) events: mpsc::Receiver<Received>,
}

/// Membership and transport of this node.
pub(super) struct Membership {
    members: Members,
    net: PeerNet,
    local_node: NodeAddress,
    listed: BTreeMap<CompactString, NodeAddress>,
    start: Instant,
    metrics: Metrics,
    draining: bool,
    /// Time after the start of a drain at which the process is killed.
    grace: Duration,
    /// Schedule of [`Self::changed_nodes`].
    schedule: Schedule,
    /// Whether the startup grace period was still running at the last call of
    /// [`Self::changed_nodes`].
    in_grace_period: bool,
    routes: Routes,
    /// Time at which each dead node was detected as dead.
    dead: BTreeMap<CompactString, Instant>,
    scope: Scope,
}

/// State that the control thread derives from the membership.
pub(super) struct Nodes {
    /// Nodes for address responses.
    pub(super) listed: Vec<NodeAddress>,
    /// Time at which a node is expected to be ready, if none is and the listed ones are draining.
    pub(super) next_ready: Option<Instant>,
    /// Number of nodes that may serve callers, including this one.
    pub(super) senders: usize,
    /// Nodes of this node's failure domain by rank.
    pub(super) ranking: Ranking,
    /// Number of failure domains.
    pub(super) domains: usize,
    /// Runners whose load this node knows, determined by the numbers of ready nodes.
    pub(super) scope: Scope,
}

/// Starts the peer transport with a certificate signed by the authority.
pub(super) fn listen(
    settings: &Settings,
    authority: &Authority,
    metrics: Metrics,
) -> Result<Joined, PeerError> {
    let local_node = NodeAddress::of(settings);
    let identity = authority.sign(&local_node.name).map_err(|e| PeerError::Tls(e.to_string()))?;
    let config = PeerConfig {
        name: local_node.name.clone(),
        listen: settings.listen.peers,
        certificate: identity.certificate.into_bytes(),
        key: identity.key.into_bytes(),
        authority: authority.certificate.clone().into_bytes(),
        ephemeral: true,
    };
    let (net, events) = PeerNet::start(&config)?;
    let life = NodeIncarnation { epoch: unix_millis(), incarnation: Incarnation(rand::random()) };
    let own_node = Me { name: local_node.name.clone(), life, location: local_node.location() };
    let start = Instant::now();
    let members = Members::new(rand::random(), start, own_node);
    let membership = Membership {
        members,
        net,
        local_node,
        listed: BTreeMap::new(),
        start,
        metrics,
        draining: false,
        grace: settings.bounds.grace(),
        schedule: Schedule::default(),
        in_grace_period: true,
        routes: Routes::default(),
        dead: BTreeMap::new(),
        scope: Scope::default(),
    };
    Ok(Joined { authority: authority.clone(), membership, events })
}

impl Membership {
    /// Marks this node as ready.
    pub(super) fn mark_ready(&mut self) {
        if !self.draining && self.members.ready() {
            self.schedule.mark_urgent();
        }
    }

    /// Marks this node as draining.
    pub(super) fn mark_draining(&mut self, now: Instant) {
        if !std::mem::replace(&mut self.draining, true) {
            self.members.drain(now);
            self.schedule.mark_urgent();
        }
    }

    /// Applies registrations of nodes.
    pub(super) fn apply_registrations(&mut self, rows: &Rows, is_snapshot: bool) {
        if is_snapshot {
            self.listed.clear();
        }
        for row in &rows.rows {
            let Some(name) = join::node_name(&row.key) else { continue };
            match join::parse_node_address(row) {
                Some(node) => _ = self.listed.insert(name.into(), node),
                None => _ = self.listed.remove(name),
            }
        }
        let instances: Vec<Instance> = self.listed.values().map(instance).collect();
        self.members.apply_instances(Instant::now(), rows.revision, &instances);
        self.schedule.mark_changed();
    }

    /// Runs the timers of the membership and updates the receivers of messages; returns the runners
    /// that were reported as failed. `row` is the catalogue, with its revision, to push to nodes that
    /// have an older one.
    pub(super) fn tick(
        &mut self,
        now: Instant,
        row: Option<&(CatalogRevision, Bytes)>,
    ) -> Vec<CompactString> {
        let mut out = Vec::new();
        if let Some((revision, _)) = row {
            self.members.set_revision(*revision, &mut out);
        }
        self.members.tick(now, &mut out);
        let failed = self.apply_outputs(out, row);
        if self.is_update_due(now) {
            self.update_routes(now);
        }
        failed
    }

    fn is_update_due(&self, now: Instant) -> bool {
        self.schedule.is_due(now, self.members.len())
    }

    /// Handles a peer event; returns the runners that were reported as failed. `row` is the same as
    /// for [`Self::tick`].
    pub(super) fn receive(
        &mut self,
        now: Instant,
        event: Received,
        row: Option<&(CatalogRevision, Bytes)>,
    ) -> Vec<CompactString> {
        let mut out = Vec::new();
        match event {
            Received::Broken(name) => self.members.connection_failed(now, &name, &mut out),
            Received::Message { from, message } => {
                self.members.receive(now, &from, &message, &mut out);
            }
        }
        self.apply_outputs(out, row)
    }

    /// Returns the derived state if an update is due.
    pub(super) fn changed_nodes(&mut self, now: Instant) -> Option<Nodes> {
        let in_grace_period = now < self.start + STARTUP_GRACE_PERIOD;
        let expired =
            std::mem::replace(&mut self.in_grace_period, in_grace_period) && !in_grace_period;
        if !self.is_update_due(now) && !expired {
            return None;
        }
        self.schedule.mark_updated(now);
        let ranked = |node: &Node| match node.state {
            NodeState::Starting | NodeState::Ready => true,
            NodeState::Unknown => in_grace_period,
            _ => false,
        };
        let mut domains = BTreeSet::from([self.local_node.domain.clone()]);
        let mut local = Vec::new();
        for node in self.members.nodes().filter(ranked) {
            let Some(location) = node.location else { continue };
            if location.domain == self.local_node.domain {
                local.push(node.name);
            }
            domains.insert(location.domain);
        }
        if !self.draining {
            local.push(self.local_node.name.clone());
        }
        let ready = node_addresses(self.members.addresses());
        let local_ready = ready.iter().filter(|node| node.domain == self.local_node.domain).count();
        self.scope = Scope::new(&self.local_node.name, ready.len(), local_ready);
        let (ranking, domains) = (Ranking::new(local), domains.len());
        let (listed, next_ready) = match ready.is_empty() {
            true => self.draining_nodes(now),
            false => (ready, None),
        };
        let senders = self.sender_count();
        Some(Nodes { listed, next_ready, senders, ranking, domains, scope: self.scope })
    }

    /// Returns the number of nodes that are registered or running, including this one. One that is
    /// considered dead may only be cut off.
    fn sender_count(&self) -> usize {
        let is_running =
            |node: &Node| !matches!(node.state, NodeState::Gone | NodeState::Forgotten);
        let unlisted = |node: &Node| !self.listed.contains_key(&node.name);
        let running = self.members.nodes().filter(|node| is_running(node) && unlisted(node));
        let own = usize::from(!self.listed.contains_key(&self.local_node.name));
        self.listed.len() + running.count() + own
    }

    /// Returns the draining nodes that stay longest, for address responses, and the time at which the
    /// first one of all draining nodes is expected to have restarted.
    fn draining_nodes(&self, now: Instant) -> (Vec<NodeAddress>, Option<Instant>) {
        let draining = self.members.draining();
        let next_ready = draining.first().map(|(since, _)| *since + self.grace);
        let count = draining.len().div_ceil(LISTED_DRAINING_DIVISOR).max(MIN_LISTED_DRAINING);
        let listing_time = Drain::listing_time(self.grace);
        let listed = draining.into_iter().rev().take(count);
        let listed = listed.filter(|(since, _)| now < *since + listing_time);
        (node_addresses(listed.map(|(_, address)| address)), next_ready)
    }

    /// Returns the running nodes of this node's failure domain that are not registered.
    pub(super) fn unlisted(&self) -> Vec<NodeAddress> {
        let address = |node: Node| {
            let is_running = matches!(node.state, NodeState::Starting | NodeState::Ready);
            let location = node.location.filter(|_| is_running)?;
            let NodeLocation { domain, url, peer } = location;
            let address = NodeAddress::of_member(&Address { name: node.name, url, peer, domain })?;
            (address.domain == self.local_node.domain).then_some(address)
        };
        let own = (!self.draining).then(|| self.local_node.clone());
        let running = self.members.nodes().filter_map(address).chain(own);
        running.filter(|node| !self.listed.contains_key(&node.name)).collect()
    }

    /// Removes and returns the dead nodes of this node's failure domain whose registrations have
    /// exceeded [`RETENTION`].
    pub(super) fn take_stale_registrations(&mut self, now: Instant) -> Vec<CompactString> {
        let is_stale = |(name, since): &(&CompactString, &Instant)| {
            let local =
                self.listed.get(*name).is_some_and(|node| node.domain == self.local_node.domain);
            local && now >= **since + RETENTION
        };
        let stale: Vec<CompactString> =
            self.dead.iter().filter(is_stale).map(|(name, _)| name.clone()).collect();
        stale.iter().for_each(|name| _ = self.dead.remove(name));
        stale
    }

    /// Returns the peer transport.
    pub(super) fn net(&self) -> PeerNet {
        self.net.clone()
    }

    /// Returns the name of this node.
    pub(super) fn name(&self) -> &CompactString {
        &self.local_node.name
    }

    /// Sends a leave message and closes all connections.
    pub(super) async fn send_leave(mut self) {
        let mut out = Vec::new();
        self.members.send_leave(&mut out);
        self.apply_outputs(out, None);
        self.net.close().await;
    }

    fn apply_outputs(
        &mut self,
        out: Vec<Output>,
        row: Option<&(CatalogRevision, Bytes)>,
    ) -> Vec<CompactString> {
        let mut failed = Vec::new();
        for output in out {
            match output {
                Output::Send { to, message } => self.send(&to, &message),
                Output::PushCatalog(target) => {
                    if let Some(message) = row.and_then(catalog_push) {
                        self.send(&[target], &message);
                    }
                }
                Output::Changed { name, from, to } => {
                    let level = match to {
                        NodeState::Starting | NodeState::Ready => log::Level::Debug,
                        _ => log::Level::Info,
                    };
                    log::log!(level, node = name.as_str(); "node state changed from {from:?} to {to:?}");
                    self.schedule.mark_changed();
                    match to {
                        NodeState::Gone => _ = self.dead.insert(name, Instant::now()),
                        _ => _ = self.dead.remove(&name),
                    }
                }
                Output::Hint(hint) => failed.push(hint.runner),
            }
        }
        failed
    }
}

fn catalog_push((revision, value): &(CatalogRevision, Bytes)) -> Option<PeerMessage> {
    let doc = String::from_utf8(value.to_vec()).ok()?;
    Some(PeerMessage::CatalogPush(CatalogPush { revision: *revision, doc }))
}

fn instance(node: &NodeAddress) -> Instance {
    let NodeLocation { domain, url, peer } = node.location();
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

fn node_addresses(addresses: impl IntoIterator<Item = Address>) -> Vec<NodeAddress> {
    addresses.into_iter().filter_map(|address| NodeAddress::of_member(&address)).collect()
}

/// Returns the time in milliseconds since the Unix epoch. It only orders the incarnations of a node,
/// and certificate authorities. A node whose clock was set back raises its epoch when it sees a newer
/// one under its name.
pub(super) fn unix_millis() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.unwrap_or_default().as_millis() as u64
}
