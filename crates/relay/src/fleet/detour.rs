//! Selection of the nodes through which a partitioned node connects to the runners.

use {
    super::{Endpoint, Fleet, RunnerKey},
    crate::{shards, view::NodeAddress},
    compact_str::CompactString,
    rand::seq::SliceRandom,
    rustc_hash::FxHashMap,
    std::{cmp::Reverse, time::Duration},
    tokio::time::Instant,
};

/// Maximum number of nodes that are tried for one connection.
const MAX_NODES: usize = 16;
/// Number of nodes that hold the runner most likely, which decide on the others.
const MIN_HOLDERS: usize = 3;
/// Time for which a node is not tried again after it did not reach a runner.
const RETRY_TIME: Duration = Duration::from_millis(300);

/// Last results of connections through other nodes.
#[derive(Debug, Default)]
pub(super) struct Detours {
    results: FxHashMap<CompactString, Detour>,
}

#[derive(Clone, Copy, Debug)]
struct Detour {
    at: Instant,
    result: DetourResult,
}

/// Result of a connection through another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetourResult {
    /// Connected.
    Connected,
    /// Connections of the other node are refused: the runner is down, or that node is partitioned.
    Refused,
    /// The other node does not reach the runner, or cannot be reached itself.
    Failed,
}

/// Preference of nodes; the first one is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Connected,
    Untried,
    Failed,
}

impl Detours {
    fn record(&mut self, node: &CompactString, result: DetourResult) {
        self.results.insert(node.clone(), Detour { at: Instant::now(), result });
    }

    fn tier(&self, node: &str) -> Tier {
        match self.results.get(node) {
            None => Tier::Untried,
            Some(detour) if detour.result == DetourResult::Connected => Tier::Connected,
            Some(_) => Tier::Failed,
        }
    }

    fn may_try(&self, node: &str, now: Instant) -> bool {
        let failed = self.results.get(node).filter(|d| d.result == DetourResult::Failed);
        failed.is_none_or(|detour| now >= detour.at + RETRY_TIME)
    }
}

impl Fleet {
    /// Records the result of a connection through another node to a runner.
    pub fn record_detour(&self, key: RunnerKey, node: &CompactString, result: DetourResult) {
        if let Some((_, path)) = self.inner.borrow_mut().path(key) {
            path.detours.record(node, result);
        }
    }

    /// Returns nodes that probably reach a runner, best first. Those of a failure domain in which others
    /// have failed come late, as domains are often partitioned as a whole.
    pub fn tunnel_nodes(&self, endpoint: &Endpoint) -> Vec<NodeAddress> {
        let inner = self.inner.borrow();
        let now = Instant::now();
        let service = inner.runners.get(endpoint.key).map(|r| r.registration.service.as_str());
        let held = service.and_then(|service| inner.services.get(service)).map_or(0, Vec::len);
        let position = shards::shard(&endpoint.id);
        // Other nodes do not know the runner if its service is divided.
        let common = |node: &NodeAddress| match shards::may_be_divided(held) {
            true => shards::common_shards(shards::shard(&node.name), position),
            false => 1,
        };
        let none = Detours::default();
        let path = service.and_then(|service| inner.paths.get(service));
        let detours = path.map_or(&none, |path| &path.detours);
        let is_candidate = |node: &&NodeAddress| {
            node.name != inner.me
                && !inner.is_peer_partitioned(&node.name, service, now)
                && detours.may_try(&node.name, now)
        };
        let mut nodes: Vec<&NodeAddress> = inner.nodes.iter().filter(is_candidate).collect();
        nodes.shuffle(&mut *self.random.borrow_mut());
        nodes.sort_by_key(|node| Reverse(common(node)));
        let least = nodes.iter().take(MIN_HOLDERS).next_back().map_or(0, |node| common(node));
        nodes.retain(|node| common(node) >= least);
        let mut tried = FxHashMap::<&str, usize>::default();
        for node in inner.nodes.iter().filter(|n| detours.tier(&n.name) == Tier::Failed) {
            *tried.entry(&node.domain).or_default() += 1;
        }
        let mut chosen = Vec::new();
        while chosen.len() < MAX_NODES {
            let rank = |(_, node): &(usize, &&NodeAddress)| {
                let tier = detours.tier(&node.name);
                let tried = tried.get(node.domain.as_str()).copied().unwrap_or_default();
                (Reverse(common(node)), tier, tried, node.domain != endpoint.domain)
            };
            let best = nodes.iter().enumerate().min_by_key(rank).map(|(index, _)| index);
            let Some(index) = best else { break };
            let node = nodes.swap_remove(index);
            *tried.entry(&node.domain).or_default() += 1;
            chosen.push(node.clone());
        }
        chosen
    }

    /// Waits until a connection to a runner may be attempted again, directly or through another node;
    /// returns whether that is the case before `end`.
    pub async fn wait_for_path(&self, endpoint: &Endpoint, end: Instant) -> bool {
        let waited = async {
            while self.has_no_path(endpoint) {
                tokio::time::sleep(RETRY_TIME / 4).await;
            }
        };
        tokio::time::timeout_at(end, waited).await.is_ok()
    }

    /// Returns whether this node is partitioned from a runner, and all other nodes that may reach it
    /// have just failed to.
    pub fn has_no_path(&self, endpoint: &Endpoint) -> bool {
        self.is_partitioned(endpoint.key) && self.tunnel_nodes(endpoint).is_empty()
    }
}
