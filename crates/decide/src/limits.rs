//! A node's share of global limits.
//!
//! A node may run its current requests plus an equal part of the global headroom. Over `n` nodes
//! the sum is the limit, plus requests started since the last exchange, plus at most `n - 1` by
//! rounding. Shares follow demand: idle nodes lend theirs.

use {
    crate::{
        event::PeerUse,
        id::{AccountKey, EntryKey},
    },
    rustc_hash::FxHashMap,
};

/// What a limit is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Scope {
    /// The entry.
    pub(crate) entry: EntryKey,
    /// The account, or all of them.
    pub(crate) account: Option<AccountKey>,
}

impl Scope {
    /// The limit of an entry.
    pub(crate) fn of(entry: EntryKey) -> Scope {
        Scope { entry, account: None }
    }

    /// The limit of an account at an entry.
    pub(crate) fn account(entry: EntryKey, account: AccountKey) -> Scope {
        Scope { entry, account: Some(account) }
    }
}

/// Use and share of one limit.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    running: u32,
    /// `running` when the share was first reckoned after the exchange `reported`.
    before: u32,
    reported: u64,
    share: u32,
    limit: u32,
    /// State of knowledge for which the share was reckoned; 0 for never.
    epoch: u64,
}

/// All limits at this node.
#[derive(Debug)]
pub(crate) struct Limits {
    uses: FxHashMap<Scope, Use>,
    peers: FxHashMap<Scope, u32>,
    nodes: u32,
    listed: u32,
    exchange: u64,
    epoch: u64,
}

impl Limits {
    /// Nothing runs, and no other node is known.
    pub(crate) fn new() -> Limits {
        Limits {
            uses: FxHashMap::default(),
            peers: FxHashMap::default(),
            nodes: 0,
            listed: 0,
            exchange: 0,
            epoch: 1,
        }
    }

    /// Takes what the other nodes use.
    pub(crate) fn peers(&mut self, peers: &PeerUse) {
        self.nodes = peers.nodes;
        self.peers.clear();
        for &(entry, account, running) in &peers.running {
            *self.peers.entry(Scope { entry, account: Some(account) }).or_default() += running;
            *self.peers.entry(Scope { entry, account: None }).or_default() += running;
        }
        self.exchange += 1;
        self.epoch += 1;
    }

    /// Takes the number of nodes in the instance list, this one among them.
    pub(crate) fn listed(&mut self, nodes: usize) {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        if self.listed != nodes {
            self.listed = nodes;
            self.epoch += 1;
        }
    }

    /// Whether this node's share leaves room for one more.
    pub(crate) fn room(&mut self, scope: Scope, limit: u32) -> bool {
        let share = self.share(scope, limit);
        self.running(scope) < share
    }

    /// Whether the whole system, as far as this node knows, is at the limit.
    pub(crate) fn full(&self, scope: Scope, limit: u32) -> bool {
        self.known(scope) >= limit
    }

    /// Requests admitted in the whole system, as far as this node knows.
    pub(crate) fn known(&self, scope: Scope) -> u32 {
        self.running(scope).saturating_add(self.others(scope))
    }

    /// Requests admitted at this node.
    pub(crate) fn running(&self, scope: Scope) -> u32 {
        self.uses.get(&scope).map_or(0, |u| u.running)
    }

    /// A request was admitted.
    pub(crate) fn enter(&mut self, entry: EntryKey, account: AccountKey) {
        for account in [None, Some(account)] {
            self.uses.entry(Scope { entry, account }).or_default().running += 1;
        }
    }

    /// An admitted request is over.
    pub(crate) fn leave(&mut self, entry: EntryKey, account: AccountKey) {
        for account in [None, Some(account)] {
            if let Some(used) = self.uses.get_mut(&Scope { entry, account }) {
                used.running = used.running.saturating_sub(1);
            }
        }
    }

    /// Running requests, for peers.
    pub(crate) fn usage(&self) -> Vec<(EntryKey, AccountKey, u32)> {
        let used = self.uses.iter().filter(|(_, u)| u.running > 0);
        let mut usage =
            used.filter_map(|(s, u)| Some((s.entry, s.account?, u.running))).collect::<Vec<_>>();
        usage.sort_unstable();
        usage
    }

    /// Drops the entries that the catalogue no longer has.
    pub(crate) fn keep(&mut self, known: impl Fn(EntryKey) -> bool) {
        self.uses.retain(|s, u| u.running > 0 || known(s.entry));
    }

    /// Requests known to be admitted at other nodes.
    fn others(&self, scope: Scope) -> u32 {
        self.peers.get(&scope).copied().unwrap_or_default()
    }

    fn share(&mut self, scope: Scope, limit: u32) -> u32 {
        let others = self.others(scope);
        let nodes = self.listed.max(self.nodes.saturating_add(1));
        // A node that hears of fewer peers than are in service would take their part as well as
        // they themselves, and the limit would be passed by as much. So it keeps what it had.
        let cut_off = self.nodes.saturating_add(1) < self.listed;
        let (epoch, exchange) = (self.epoch, self.exchange);
        let used = self.uses.entry(scope).or_default();
        if used.epoch == epoch && used.limit == limit {
            return used.share;
        }
        // Peers may have started as many requests since the last exchange; ignoring them would
        // admit a simultaneous burst twice.
        let unseen = used.running.saturating_sub(used.before).saturating_mul(nodes - 1);
        let taken = used.running.saturating_add(others).saturating_add(unseen);
        let free = limit.saturating_sub(taken);
        let share = used.running.min(limit) + free.div_ceil(nodes);
        used.share = match cut_off && used.epoch > 0 {
            true => share.min(used.share),
            false => share,
        };
        if used.reported != exchange {
            (used.before, used.reported) = (used.running, exchange);
        }
        (used.limit, used.epoch) = (limit, epoch);
        used.share
    }
}
