//! Sending to other nodes.

use {
    super::Membership,
    crate::{
        fanout::{self, Fanout, Peer, Scope},
        readers::Ranking,
    },
    bilberryfront_decide::member::{
        Node, PeerMessage, Target,
        message::{Hint, HintKind, Load, NodeState, RelayedLoad},
    },
    compact_str::CompactString,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Maximum number of nodes for which messages are sent to all; above it, to heartbeat targets.
const FULL_MESH_LIMIT: usize = 100;
/// Maximum age of [`Routes`] while no node changes its state; a node may change its address.
const ROUTES_AGE: Duration = Duration::from_millis(250);

/// Receivers of this node's messages.
pub(super) struct Routes {
    at: Instant,
    /// Running nodes.
    peers: Vec<Peer>,
    fanout: Fanout,
}

impl Routes {
    /// No receivers yet.
    pub(super) fn new(start: Instant) -> Routes {
        Routes { at: start, peers: Vec::new(), fanout: Fanout::default() }
    }

    /// Whether they should be computed anew.
    pub(super) fn are_old(&self, now: Instant) -> bool {
        now >= self.at + ROUTES_AGE
    }
}

impl Membership {
    /// Computes the receivers of messages anew.
    pub(super) fn update_routes(&mut self, now: Instant) {
        let peers = self.running_peers();
        let epoch = fanout::epoch(self.start, now);
        let fanout = Fanout::new(&self.me.name, &self.me.domain, peers.clone(), epoch);
        self.routes = Routes { at: now, peers, fanout };
    }

    /// Sends a message to all nodes, or to the heartbeat targets above [`FULL_MESH_LIMIT`].
    pub(in crate::control) fn broadcast(&self, message: &PeerMessage) {
        let peers = &self.routes.peers;
        let to = match peers.len() {
            ..=FULL_MESH_LIMIT => peers.iter().map(|peer| peer.target.clone()).collect(),
            _ => self.members.targets(),
        };
        self.send(&to, message);
    }

    /// Sends a message to all nodes of the own failure domain.
    pub(in crate::control) fn broadcast_local(&self, message: &PeerMessage) {
        self.send(&self.routes.fanout.local, message);
    }

    /// Sends a message to the first reader of each other failure domain.
    pub(in crate::control) fn send_to_readers(&self, message: &PeerMessage) {
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
    pub(in crate::control) fn send_to(&self, name: &str, message: &PeerMessage) {
        if let Some(target) = self.members.target(name) {
            self.send(&[target], message);
        }
    }

    /// Sends a load update to the nodes that know these runners. `domain` is the failure domain of a
    /// runner.
    pub(in crate::control) fn send_load<'a>(
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
                let Load { failed, restarts, budgets, limits, draining, .. } = load.clone();
                let stated = Load { limits, draining, ..Load::default() };
                let group = local.iter().filter(|peer| self.scope.includes(&peer.name));
                let group: Vec<Target> = group.cloned().collect();
                self.send_if_any(&group, Load { failed, restarts, budgets, ..own });
                // Replicas elsewhere are not reported: they delay no other request.
                let others = fanout::restrict(load, |load| {
                    load.running > 0 && is_local(&load.runner) && !is_own(&load.runner)
                });
                self.send_if_any(local, Load { runners: others.runners, ..stated.clone() });
                for relay in relays {
                    let theirs = fanout::restrict(load, |load| {
                        load.running > 0 && domain(&load.runner) == Some(&relay.domain)
                    });
                    self.send_relayed(relay, Load { runners: theirs.runners, ..stated.clone() });
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
    pub(in crate::control) fn relay_load(&self, relayed: &RelayedLoad) {
        if relayed.forward {
            let relayed = RelayedLoad { forward: false, ..relayed.clone() };
            self.broadcast_local(&PeerMessage::RelayedLoad(relayed));
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
            Ok(bytes) => self.metrics.peer_sent(message, bytes * to.len()),
            Err(error) => log::warn!("cannot encode a peer message: {error}"),
        }
    }
}
