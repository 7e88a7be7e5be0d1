//! Queue of the requests of one entry that wait at this node for a runner.

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

/// A waiting request.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    /// The request.
    pub(crate) request: RunnerRequest,
    /// Time at which the request is rejected.
    pub(crate) deadline: Instant,
}

/// Queue of an entry, divided into three priority classes. Retries come before resumes, and resumes
/// before first requests.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// Admitted requests whose runner failed.
    pub(crate) retries: VecDeque<QueuedRequest>,
    /// Requests of callers that resume an interrupted stream.
    pub(crate) resumes: VecDeque<QueuedRequest>,
    firsts: BTreeMap<AccountKey, VecDeque<QueuedRequest>>,
    first_count: usize,
}

impl Queue {
    /// Returns whether no request is waiting.
    pub(crate) fn is_empty(&self) -> bool {
        self.retries.is_empty() && self.resumes.is_empty() && self.first_count == 0
    }

    /// Returns the number of requests that count towards the entry's queue limit: those not
    /// admitted.
    pub(crate) fn len(&self) -> usize {
        self.first_count + self.resumes.len()
    }

    /// Appends a request to its priority class.
    pub(crate) fn push(&mut self, queued: QueuedRequest) {
        match queued.request.purpose {
            Purpose::Retry => self.retries.push_back(queued),
            Purpose::Resume => self.resumes.push_back(queued),
            Purpose::First => {
                self.first_count += 1;
                self.firsts.entry(queued.request.account).or_default().push_back(queued);
            }
        }
    }

    /// Returns the first retry and the first resume of each pinned version, in queue order. A
    /// version without capacity thus doesn't block the others.
    pub(crate) fn heads(&self) -> Vec<RunnerRequest> {
        let mut heads = Vec::<RunnerRequest>::new();
        for request in self.retries.iter().chain(&self.resumes).map(|w| &w.request) {
            if !heads.iter().any(|h| (h.purpose, &h.pin) == (request.purpose, &request.pin)) {
                heads.push(request.clone());
            }
        }
        heads
    }

    /// Returns the accounts with waiting first requests, ordered by the number of running requests,
    /// lowest first, then by the deadline of their first waiting request.
    ///
    /// An account that floods the queue has more running requests than the others and is served
    /// after them, so that it delays only its own requests.
    pub(crate) fn accounts_by_priority(
        &self,
        running: impl Fn(AccountKey) -> u32,
    ) -> Vec<AccountKey> {
        let heads = self.firsts.iter().filter_map(|(a, q)| Some((*a, q.front()?)));
        let mut order = heads.map(|(a, w)| (running(a), w.deadline, a)).collect::<Vec<_>>();
        order.sort_unstable();
        order.into_iter().map(|(.., a)| a).collect()
    }

    /// Returns the oldest waiting first request of an account.
    pub(crate) fn head(&self, account: AccountKey) -> Option<&QueuedRequest> {
        self.firsts.get(&account)?.front()
    }

    /// Removes and returns the oldest waiting first request of an account.
    pub(crate) fn pop(&mut self, account: AccountKey) -> Option<QueuedRequest> {
        let queue = self.firsts.get_mut(&account)?;
        let queued = queue.pop_front();
        self.record_removed(account, usize::from(queued.is_some()));
        queued
    }

    /// Removes and returns the newest request of the account with the most waiting ones. Shedding
    /// from the longest queue leaves room for accounts with few requests when the queue is full.
    pub(crate) fn shed(&mut self) -> Option<QueuedRequest> {
        let longest = self.firsts.iter().max_by_key(|(a, q)| (q.len(), Reverse(**a)));
        let account = longest.map(|(a, _)| *a);
        let Some(account) = account else { return self.resumes.pop_back() };
        let queued = self.firsts.get_mut(&account)?.pop_back();
        self.record_removed(account, usize::from(queued.is_some()));
        queued
    }

    /// Removes and returns the request with the given ticket, from any priority class.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let mut removed = self.remove_matching(|w| w.request.ticket == ticket);
        removed.pop()
    }

    /// Removes and returns all requests that match `predicate`, in the order of the priority
    /// classes.
    pub(crate) fn remove_matching(
        &mut self,
        predicate: impl Fn(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        let firsts = self.firsts.values_mut();
        for queue in [&mut self.retries, &mut self.resumes].into_iter().chain(firsts) {
            if queue.iter().any(&predicate) {
                let (out, rest) = queue.drain(..).partition::<VecDeque<_>, _>(&predicate);
                removed.extend(out);
                *queue = rest;
            }
        }
        self.firsts.retain(|_, q| !q.is_empty());
        self.first_count = self.firsts.values().map(VecDeque::len).sum();
        removed
    }

    /// Returns the number of requests served before the newest first request of this account: all
    /// older ones of its own, and of each other account as many as it needs to reach the same
    /// number of running requests.
    pub(crate) fn requests_ahead(
        &self,
        account: AccountKey,
        running: impl Fn(AccountKey) -> u32,
    ) -> usize {
        let own = self.firsts.get(&account).map_or(0, VecDeque::len);
        let own_total = running(account) as usize + own;
        let ahead = self
            .firsts
            .iter()
            .map(|(a, q)| q.len().min(own_total - own_total.min(running(*a) as usize)));
        self.retries.len() + self.resumes.len() + ahead.sum::<usize>().saturating_sub(1)
    }

    fn record_removed(&mut self, account: AccountKey, count: usize) {
        self.first_count -= count;
        if self.firsts.get(&account).is_some_and(VecDeque::is_empty) {
            self.firsts.remove(&account);
        }
    }
}
