//! Simulated network: reachability between instances, and messages between nodes.

use {
    crate::gate::{Gate, ProcessState},
    bilberryfront::peer::{Peers, Received, Result},
    bilberryfront_decide::member::{PeerMessage, Target},
    compact_str::CompactString,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{sync::mpsc, time::sleep},
};

/// Name of the platform in checks of reachability.
pub(crate) const PLATFORM: &str = "platform";
/// Latency of a message in one direction.
pub(crate) const ONE_WAY_LATENCY: Duration = Duration::from_millis(1);
/// Time after which an unresponsive connection is closed.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of messages queued for a node.
const INBOX_CAPACITY: usize = 1_024;

/// The network; clones share the state.
#[derive(Clone, Default)]
pub(crate) struct Net {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// Instances on the side of the partition that does not include the platform.
    isolated: BTreeSet<CompactString>,
    nodes: BTreeMap<CompactString, (Gate, mpsc::Sender<Received>)>,
}

/// Peer endpoint of one node.
#[derive(Clone)]
pub(crate) struct PeerEndpoint {
    net: Net,
    name: CompactString,
    gate: Gate,
}

impl Net {
    /// Partitions these instances from all others; an empty list ends the partition.
    pub(crate) fn isolate(&self, isolated: &[CompactString]) {
        self.state.lock().unwrap().isolated = isolated.iter().cloned().collect();
    }

    /// Returns whether the two instances can reach each other.
    pub(crate) fn is_connected(&self, one: &str, two: &str) -> bool {
        let isolated = &self.state.lock().unwrap().isolated;
        isolated.contains(one) == isolated.contains(two)
    }

    /// Waits until the two can reach each other. Data sent during a partition is delivered afterwards, as
    /// by a retransmission.
    pub(crate) async fn wait_until_connected(&self, one: &str, two: &str) {
        while !self.is_connected(one, two) {
            sleep(ONE_WAY_LATENCY * 10).await;
        }
    }

    /// Registers a starting node, and returns its peer endpoint and inbox.
    pub(crate) fn peer_endpoint(
        &self,
        name: &str,
        gate: &Gate,
    ) -> (PeerEndpoint, mpsc::Receiver<Received>) {
        let (sender, receiver) = mpsc::channel(INBOX_CAPACITY);
        let node = (gate.clone(), sender);
        self.state.lock().unwrap().nodes.insert(name.into(), node);
        (PeerEndpoint { net: self.clone(), name: name.into(), gate: gate.clone() }, receiver)
    }

    fn node(&self, name: &str) -> Option<(Gate, mpsc::Sender<Received>)> {
        self.state.lock().unwrap().nodes.get(name).cloned()
    }

    async fn deliver(self, from: CompactString, to: CompactString, message: PeerMessage) {
        sleep(ONE_WAY_LATENCY).await;
        let alive = self.node(&to).filter(|(gate, _)| gate.process_state() != ProcessState::Dead);
        if let Some((_, inbox)) = alive.filter(|_| self.is_connected(&from, &to)) {
            // A full inbox drops the message, as the real peer endpoint does.
            _ = inbox.try_send(Received::Message { from, message });
            return;
        }
        if !self.is_connected(&from, &to) {
            sleep(IDLE_TIMEOUT).await;
        }
        if let Some((_, inbox)) = self.node(&from) {
            _ = inbox.try_send(Received::Broken(to));
        }
    }
}

impl Peers for PeerEndpoint {
    fn send(&self, to: &[Target], message: &PeerMessage) -> Result<()> {
        for target in to {
            let (from, to) = (self.name.clone(), target.name.clone());
            tokio::spawn(self.net.clone().deliver(from, to, message.clone()));
        }
        Ok(())
    }

    async fn close(&self) {
        self.gate.wait_until_running().await;
        sleep(ONE_WAY_LATENCY).await;
    }
}
