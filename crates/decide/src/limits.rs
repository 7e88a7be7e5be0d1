//! A node's share of global concurrency limits.
//!
//! A node may run its current requests plus an equal part of the global headroom. The shares of `n`
//! nodes add up to the limit, plus the requests started since the last exchange, plus at most
//! `n - 1` by rounding. Shares follow demand: the unused share of an idle node goes to the others.

use {
    crate::{
        event::PeerUse,
        id::{AccountKey, EntryKey},
    },
    rustc_hash::FxHashMap,
};

/// Scope of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Scope {
    /// The entry.
    pub(crate) entry: EntryKey,
    /// The account; `None` for all accounts together.
    pub(crate) account: Option<AccountKey>,
}

impl Scope {
    /// Returns the scope of an entry's limit.
    pub(crate) fn of(entry: EntryKey) -> Scope {
        Scope { entry, account: None }
    }

    /// Returns the scope of an account's limit at an entry.
    pub(crate) fn account(entry: EntryKey, account: AccountKey) -> Scope {
        Scope { entry, account: Some(account) }
    }
}

/// Usage and share of one limit.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    running: u32,
    /// `running` when the share was first computed after exchange number `share_exchange`.
    running_at_exchange: u32,
    share_exchange: u64,
    share: u32,
    limit: u32,
    /// Value of [`Limits::epoch`] for which the share was computed; 0 if it never was.
    share_epoch: u64,
}

/// Usage of all limits, by this node and its peers.
#[derive(Debug)]
pub(crate) struct Limits {
    usages: FxHashMap<Scope, Usage>,
    peers: FxHashMap<Scope, u32>,
    peer_nodes: u32,
    listed_nodes: u32,
    /// Number of exchanges with peers so far.
    exchange: u64,
    /// Incremented whenever an input of the shares changes.
    epoch: u64,
}

impl Limits {
    /// Returns limits without running requests and without known peers.
    pub(crate) fn new() -> Limits {
        Limits {
            usages: FxHashMap::default(),
            peers: FxHashMap::default(),
            peer_nodes: 0,
            listed_nodes: 0,
            exchange: 0,
            epoch: 1,
        }
    }

    /// Replaces the usage of the other nodes.
    pub(crate) fn set_peers(&mut self, peers: &PeerUse) {
        self.peer_nodes = peers.nodes;
        self.peers.clear();
        for &(entry, account, running) in &peers.running {
            *self.peers.entry(Scope { entry, account: Some(account) }).or_default() += running;
            *self.peers.entry(Scope { entry, account: None }).or_default() += running;
        }
        self.exchange += 1;
        self.epoch += 1;
    }

    /// Sets the number of nodes in the instance list, including this one.
    pub(crate) fn set_listed_nodes(&mut self, nodes: usize) {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        if self.listed_nodes != nodes {
            self.listed_nodes = nodes;
            self.epoch += 1;
        }
    }

    /// Returns whether this node's share allows one more request.
    pub(crate) fn has_room(&mut self, scope: Scope, limit: u32) -> bool {
        let share = self.share(scope, limit);
        self.running(scope) < share
    }

    /// Returns whether the known usage of all nodes has reached the limit.
    pub(crate) fn is_full(&self, scope: Scope, limit: u32) -> bool {
        self.total(scope) >= limit
    }

    /// Returns the number of admitted requests known at all nodes.
    pub(crate) fn total(&self, scope: Scope) -> u32 {
        self.running(scope).saturating_add(self.peer_running(scope))
    }

    /// Returns the number of requests admitted at this node.
    pub(crate) fn running(&self, scope: Scope) -> u32 {
        self.usages.get(&scope).map_or(0, |u| u.running)
    }

    /// Records an admitted request.
    pub(crate) fn admit(&mut self, entry: EntryKey, account: AccountKey) {
        for account in [None, Some(account)] {
            self.usages.entry(Scope { entry, account }).or_default().running += 1;
        }
    }

    /// Records the end of an admitted request.
    pub(crate) fn release(&mut self, entry: EntryKey, account: AccountKey) {
        for account in [None, Some(account)] {
            if let Some(used) = self.usages.get_mut(&Scope { entry, account }) {
                used.running = used.running.saturating_sub(1);
            }
        }
    }

    /// Returns the running requests by entry and account, for the exchange with peers.
    pub(crate) fn usage(&self) -> Vec<(EntryKey, AccountKey, u32)> {
        let used = self.usages.iter().filter(|(_, u)| u.running > 0);
        let mut usage =
            used.filter_map(|(s, u)| Some((s.entry, s.account?, u.running))).collect::<Vec<_>>();
        usage.sort_unstable();
        usage
    }

    /// Drops the usage of entries that are no longer in the catalogue and have no running requests.
    pub(crate) fn retain_entries(&mut self, known: impl Fn(EntryKey) -> bool) {
        self.usages.retain(|s, u| u.running > 0 || known(s.entry));
    }

    /// Returns the number of requests known to be admitted at other nodes.
    fn peer_running(&self, scope: Scope) -> u32 {
        self.peers.get(&scope).copied().unwrap_or_default()
    }

    fn share(&mut self, scope: Scope, limit: u32) -> u32 {
        let peer_running = self.peer_running(scope);
        let nodes = self.listed_nodes.max(self.peer_nodes.saturating_add(1));
        // A node that reaches fewer peers than are in service would claim the share that the
        // missing peers still use, and the limit would be exceeded by it. Its share may not grow
        // meanwhile.
        let is_partitioned = self.peer_nodes.saturating_add(1) < self.listed_nodes;
        let (epoch, exchange) = (self.epoch, self.exchange);
        let used = self.usages.entry(scope).or_default();
        if used.share_epoch == epoch && used.limit == limit {
            return used.share;
        }
        // Assume that each peer has started as many requests since the last exchange as this node.
        // Ignoring them would admit a simultaneous burst at every node.
        let unreported =
            used.running.saturating_sub(used.running_at_exchange).saturating_mul(nodes - 1);
        let in_use = used.running.saturating_add(peer_running).saturating_add(unreported);
        let headroom = limit.saturating_sub(in_use);
        let share = used.running.min(limit) + headroom.div_ceil(nodes);
        used.share = match is_partitioned && used.share_epoch > 0 {
            true => share.min(used.share),
            false => share,
        };
        if used.share_exchange != exchange {
            (used.running_at_exchange, used.share_exchange) = (used.running, exchange);
        }
        (used.limit, used.share_epoch) = (limit, epoch);
        used.share
    }
}
