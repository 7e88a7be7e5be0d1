//! Requests that wait at this node for a runner of one entry.

use {
    crate::{
        event::{Purpose, RunnerRequest},
        id::{AccountKey, Ticket},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, VecDeque},
    },
    tokio::time::Instant,
};

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    /// The request.
    pub(crate) ask: RunnerRequest,
    /// When it is refused.
    pub(crate) until: Instant,
}

/// The three lanes of an entry's queue, in the order in which they go.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// Admitted requests that lost their runner.
    pub(crate) agains: VecDeque<Waiter>,
    /// Callers that lost their node.
    pub(crate) resumes: VecDeque<Waiter>,
    firsts: BTreeMap<AccountKey, VecDeque<Waiter>>,
    len: usize,
}

impl Queue {
    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.agains.is_empty() && self.resumes.is_empty() && self.len == 0
    }

    /// Requests that count against the entry's bound: those not admitted yet.
    pub(crate) fn len(&self) -> usize {
        self.len + self.resumes.len()
    }

    /// Puts a request at the end of its lane.
    pub(crate) fn push(&mut self, waiter: Waiter) {
        match waiter.ask.purpose {
            Purpose::Retry => self.agains.push_back(waiter),
            Purpose::Resume => self.resumes.push_back(waiter),
            Purpose::First => {
                self.len += 1;
                self.firsts.entry(waiter.ask.account).or_default().push_back(waiter);
            }
        }
    }

    /// Of those who go ahead of the firsts, the first of each version: a version with no room must
    /// not hold up the others.
    pub(crate) fn heads(&self) -> Vec<RunnerRequest> {
        let mut heads = Vec::<RunnerRequest>::new();
        for ask in self.agains.iter().chain(&self.resumes).map(|w| &w.ask) {
            if !heads.iter().any(|h| (h.purpose, &h.pin) == (ask.purpose, &ask.pin)) {
                heads.push(ask.clone());
            }
        }
        heads
    }

    /// Accounts whose first requests wait, the one with the least running first, then the one that
    /// has waited longest.
    ///
    /// An account that floods the queue runs more than the others and so comes after them: its
    /// flood delays only itself.
    pub(crate) fn order(&self, running: impl Fn(AccountKey) -> u32) -> Vec<AccountKey> {
        let heads = self.firsts.iter().filter_map(|(a, q)| Some((*a, q.front()?)));
        let mut order = heads.map(|(a, w)| (running(a), w.until, a)).collect::<Vec<_>>();
        order.sort_unstable();
        order.into_iter().map(|(.., a)| a).collect()
    }

    /// The first request of an account's own.
    pub(crate) fn head(&self, account: AccountKey) -> Option<&Waiter> {
        self.firsts.get(&account)?.front()
    }

    /// Takes an account's first request.
    pub(crate) fn pop(&mut self, account: AccountKey) -> Option<Waiter> {
        let lane = self.firsts.get_mut(&account)?;
        let waiter = lane.pop_front();
        self.shrink(account, usize::from(waiter.is_some()));
        waiter
    }

    /// Takes the newest request of the account that has most of them waiting. Dropping from the
    /// longest lane leaves a place in a full queue to the account that has few.
    pub(crate) fn shed(&mut self) -> Option<Waiter> {
        let longest = self.firsts.iter().max_by_key(|(a, q)| (q.len(), Reverse(**a)));
        let account = longest.map(|(a, _)| *a);
        let Some(account) = account else { return self.resumes.pop_back() };
        let waiter = self.firsts.get_mut(&account)?.pop_back();
        self.shrink(account, usize::from(waiter.is_some()));
        waiter
    }

    /// Takes a request out, wherever it is.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        let mut taken = self.take(|w| w.ask.ticket == ticket);
        taken.pop()
    }

    /// Takes out all requests that `drop` names, in the order of the lanes.
    pub(crate) fn take(&mut self, drop: impl Fn(&Waiter) -> bool) -> Vec<Waiter> {
        let mut taken = Vec::new();
        let firsts = self.firsts.values_mut();
        for lane in [&mut self.agains, &mut self.resumes].into_iter().chain(firsts) {
            if lane.iter().any(&drop) {
                let (out, rest) = lane.drain(..).partition::<VecDeque<_>, _>(&drop);
                taken.extend(out);
                *lane = rest;
            }
        }
        self.firsts.retain(|_, q| !q.is_empty());
        self.len = self.firsts.values().map(VecDeque::len).sum();
        taken
    }

    /// Requests that go before the newest first request of this account's: all of its own, and of
    /// each other account as many as it takes to run as much.
    pub(crate) fn ahead(&self, account: AccountKey, running: impl Fn(AccountKey) -> u32) -> usize {
        let own = self.firsts.get(&account).map_or(0, VecDeque::len);
        let most = running(account) as usize + own;
        let turns =
            self.firsts.iter().map(|(a, q)| q.len().min(most - most.min(running(*a) as usize)));
        self.agains.len() + self.resumes.len() + turns.sum::<usize>().saturating_sub(1)
    }

    fn shrink(&mut self, account: AccountKey, by: usize) {
        self.len -= by;
        if self.firsts.get(&account).is_some_and(VecDeque::is_empty) {
            self.firsts.remove(&account);
        }
    }
}
