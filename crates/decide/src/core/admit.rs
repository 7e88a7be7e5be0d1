//! Admission: processing of a runner request up to its grant or rejection.

use {
    super::{Core, Stage, TrackedRequest},
    crate::{
        action::{Action, Grant, Reason, Rejection},
        catalog::Entry,
        event::{Done, Purpose, RunnerRequest},
        fleet::Fleet,
        id::{EntryKey, PoolKey, RunnerKey, Ticket},
        limits::Scope,
        queue::QueuedRequest,
        route::Criteria,
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// `Retry-After` of a rejection for lack of a runner.
const NO_RUNNER_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Bounds of the `Retry-After` of a rejection.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Minimum for the longest queue wait of a request that lost its runner. The entry's `wait_ms` may
/// be short, but rejecting such a request discards a partially delivered answer.
const MIN_RETRY_WAIT: Duration = Duration::from_secs(3);
/// `Retry-After` while no request duration has been measured.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Core {
    /// Grants, queues or rejects a request.
    pub(super) fn submit(&mut self, now: Instant, request: &RunnerRequest, out: &mut Vec<Action>) {
        let ticket = request.ticket;
        let known = self.requests.get(&ticket).copied();
        if known.is_some_and(|r| !matches!(r.stage, Stage::AwaitingRetry)) {
            return;
        }
        let catalog = Arc::clone(&self.catalog);
        let Some(entry) = catalog.entries.get(request.entry) else {
            return self.reject(ticket, Reason::NoEntry, None, out);
        };
        let scope = Scope::account(request.entry, request.account);
        let Some(&limit) = self.account_limits.get(&scope) else {
            return self.reject(ticket, Reason::NoAccess, None, out);
        };
        if self.pool(entry, request).is_none() {
            return self.reject(ticket, Reason::NoRunner, Some(NO_RUNNER_RETRY_AFTER), out);
        }
        let admitted =
            known.is_some_and(|r| (r.entry, r.account) == (request.entry, request.account));
        if !admitted {
            self.release(ticket);
        }
        if !admitted && self.limits.is_full(scope, limit) {
            let retry = self.account_retry_after(request);
            return self.reject(ticket, Reason::AccountLimit, Some(retry), out);
        }
        let tracked = TrackedRequest {
            entry: request.entry,
            account: request.account,
            admitted,
            stage: Stage::Queued,
        };
        self.requests.insert(ticket, tracked);
        if !self.entry_states.contains_key(request.entry) {
            self.entry_states.insert(request.entry, Default::default());
        }
        self.refill_budget(now, request.entry, entry);
        if self.entry_states[request.entry].queue.is_empty()
            && self.may_start(entry, request)
            && let Some(runner) = self.find_runner(now, entry, request)
        {
            return self.grant(now, request, runner, out);
        }
        self.enqueue(now, entry, request, out);
    }

    /// Grants another runner to a request whose runner is silent, if that is possible at once. Otherwise
    /// the request keeps its runner, which may only be slow.
    pub(super) fn replace(
        &mut self,
        now: Instant,
        request: &RunnerRequest,
        done: &Done,
        out: &mut Vec<Action>,
    ) {
        match self.find_replacement(now, request) {
            Ok((silent, runner)) => {
                self.fleet.complete(now, silent, done);
                self.grant(now, request, runner, out);
            }
            Err(reason) => {
                let rejection = Rejection { ticket: request.ticket, reason, retry_after: None };
                out.push(Action::Reject(rejection));
            }
        }
    }

    /// Returns the runner of a granted request and one that can replace it. A suspect one is probably silent
    /// as well.
    fn find_replacement(
        &mut self,
        now: Instant,
        request: &RunnerRequest,
    ) -> Result<(RunnerKey, RunnerKey), Reason> {
        let tracked = self.requests.get(&request.ticket).ok_or(Reason::NoRunner)?;
        let Stage::Running { runner: silent, .. } = tracked.stage else {
            return Err(Reason::NoRunner);
        };
        let catalog = Arc::clone(&self.catalog);
        let entry = catalog.entries.get(request.entry).ok_or(Reason::NoEntry)?;
        if !self.entry_states.contains_key(request.entry) {
            return Err(Reason::NoEntry);
        }
        self.refill_budget(now, request.entry, entry);
        if !self.may_start(entry, request) {
            return Err(Reason::NoBudget);
        }
        let runner =
            self.find_runner(now, entry, request).filter(|key| self.fleet.is_healthy(*key));
        Ok((silent, runner.filter(|key| *key != silent).ok_or(Reason::NoRunner)?))
    }

    /// Queues a request and grants the queued requests that can start. Rejects the new request
    /// immediately if its expected wait exceeds the maximum, and sheds requests over the queue
    /// limit.
    fn enqueue(
        &mut self,
        now: Instant,
        entry: &Entry,
        request: &RunnerRequest,
        out: &mut Vec<Action>,
    ) {
        let (key, ticket) = (request.entry, request.ticket);
        let max_wait = max_wait(entry, request.purpose);
        self.entry_states[key]
            .queue
            .push(QueuedRequest { request: request.clone(), deadline: now + max_wait });
        self.grant_queued(now, key, out);
        if !self.is_queued(ticket) {
            return;
        }
        let wait = self.expected_wait(request);
        if let Some(wait) = wait.filter(|w| *w > max_wait) {
            self.entry_states[key].queue.remove(ticket);
            let (reason, retry) = match request.purpose {
                Purpose::Retry => (Reason::NoBudget, wait),
                Purpose::Resume | Purpose::First => (Reason::WaitTooLong, wait - max_wait),
            };
            return self.reject(ticket, reason, Some(clamp_retry_after(retry)), out);
        }
        while self.entry_states[key].queue.len() > entry.limits.queue as usize {
            let Some(queued) = self.entry_states[key].queue.shed() else { break };
            let retry = self.retry_after_completions(key, 1 + entry.limits.queue as usize / 2);
            self.reject(queued.request.ticket, Reason::EntryLimit, Some(retry), out);
        }
    }

    /// Grants queued requests of the entry, in priority order, while shares, retry budget and
    /// runners allow.
    pub(super) fn grant_queued(&mut self, now: Instant, key: EntryKey, out: &mut Vec<Action>) {
        let catalog = Arc::clone(&self.catalog);
        let Some(entry) = catalog.entries.get(key) else { return };
        if self.entry_states.get(key).is_none_or(|s| s.queue.is_empty()) {
            return;
        }
        self.refill_budget(now, key, entry);
        let mut full = Vec::new();
        while self.grant_next_prioritized(now, entry, key, &mut full, out) {}
        while self.grant_next_first(now, entry, key, &mut full, out) {}
    }

    /// Rejects queued requests whose deadline has passed or whose version has no runner left.
    /// Without the second check these would wait for their deadline although no runner can serve
    /// them.
    pub(super) fn expire(&mut self, now: Instant, out: &mut Vec<Action>) {
        let catalog = Arc::clone(&self.catalog);
        let fleet = &self.fleet;
        let is_expired = |entry: &Entry, q: &QueuedRequest| {
            q.deadline <= now || pool(fleet, entry, &q.request).is_none()
        };
        let entry_states = self.entry_states.iter_mut().filter(|(_, s)| !s.queue.is_empty());
        let expired = entry_states
            .filter_map(|(key, state)| Some((catalog.entries.get(key)?, state)))
            .flat_map(|(entry, state)| state.queue.remove_matching(|q| is_expired(entry, q)))
            .collect::<Vec<_>>();
        for QueuedRequest { request, .. } in expired {
            let pool = catalog.entries.get(request.entry).and_then(|e| self.pool(e, &request));
            let (reason, retry) = match (pool, request.purpose) {
                (None, _) => (Reason::NoRunner, NO_RUNNER_RETRY_AFTER),
                (_, Purpose::Retry) if !self.entry_states[request.entry].budget.has_budget() => {
                    (Reason::NoBudget, self.entry_states[request.entry].budget.expected_wait(0))
                }
                _ => (Reason::WaitTooLong, self.retry_after_completions(request.entry, 1)),
            };
            self.reject(request.ticket, reason, Some(clamp_retry_after(retry)), out);
        }
    }

    /// Grants the next retry or resume that can start, and returns whether there was one.
    fn grant_next_prioritized(
        &mut self,
        now: Instant,
        entry: &Entry,
        key: EntryKey,
        full: &mut Vec<PoolKey>,
        out: &mut Vec<Action>,
    ) -> bool {
        let next = self.entry_states[key].queue.heads().into_iter().find_map(|request| {
            let runner = self.find_runner_unless_full(now, entry, &request, full)?;
            Some((request, runner))
        });
        let Some((request, runner)) = next else { return false };
        self.entry_states[key].queue.remove(request.ticket);
        self.grant(now, &request, runner, out);
        true
    }

    /// Grants the next first request whose account and version have capacity, and returns whether
    /// there was one.
    fn grant_next_first(
        &mut self,
        now: Instant,
        entry: &Entry,
        key: EntryKey,
        full: &mut Vec<PoolKey>,
        out: &mut Vec<Action>,
    ) -> bool {
        if !self.limits.has_room(Scope::of(key), entry.limits.concurrent) {
            return false;
        }
        let limits = &self.limits;
        let running = |account| limits.running(Scope::account(key, account));
        for account in self.entry_states[key].queue.accounts_by_priority(running) {
            let Some(head) = self.entry_states[key].queue.head(account) else { continue };
            let request = head.request.clone();
            if let Some(runner) = self.find_runner_unless_full(now, entry, &request, full) {
                self.entry_states[key].queue.pop(account);
                self.grant(now, &request, runner, out);
                return true;
            }
        }
        false
    }

    /// Finds a runner, skipping pools already found full during this pass.
    fn find_runner_unless_full(
        &mut self,
        now: Instant,
        entry: &Entry,
        request: &RunnerRequest,
        full: &mut Vec<PoolKey>,
    ) -> Option<RunnerKey> {
        let pool = self.pool(entry, request)?;
        if full.contains(&pool) || !self.may_start(entry, request) {
            return None;
        }
        let runner = self.find_runner(now, entry, request);
        if runner.is_none() && request.avoid.is_none() {
            full.push(pool);
        }
        runner
    }

    /// Returns whether shares, retry budget and pace allow the request to start now.
    fn may_start(&mut self, entry: &Entry, request: &RunnerRequest) -> bool {
        let budget = self.entry_states[request.entry].budget;
        let paced = match request.purpose {
            Purpose::Retry => budget.can_retry(),
            Purpose::Resume => budget.is_within_pace(),
            Purpose::First => true,
        };
        paced && self.is_within_limits(entry, request)
    }

    fn find_runner(
        &mut self,
        now: Instant,
        entry: &Entry,
        request: &RunnerRequest,
    ) -> Option<RunnerKey> {
        let pool = self.pool(entry, request)?;
        let may_probe = request.purpose == Purpose::First && request.avoid.is_none();
        self.fleet.pick(
            now,
            pool,
            &Criteria { prefix: request.prefix, avoid: request.avoid, may_probe },
        )
    }

    fn grant(
        &mut self,
        now: Instant,
        request: &RunnerRequest,
        runner: RunnerKey,
        out: &mut Vec<Action>,
    ) {
        let tracked =
            self.requests.get_mut(&request.ticket).expect("a request is tracked until it ends");
        tracked.stage = Stage::Running { runner, since: now };
        if !std::mem::replace(&mut tracked.admitted, true) {
            self.limits.admit(request.entry, request.account);
        }
        let budget = &mut self.entry_states[request.entry].budget;
        match request.purpose {
            Purpose::Retry => budget.consume_retry(),
            Purpose::Resume => budget.consume_pace(),
            Purpose::First => {}
        }
        self.fleet.record_sent(runner, request.ticket, request.purpose == Purpose::First);
        let instance = self.fleet.instance(runner).expect("a picked runner is in the fleet");
        let (url, version) = (instance.url.clone(), instance.version.clone());
        out.push(Action::Grant(Grant { ticket: request.ticket, runner, url, version }));
    }

    fn pool(&self, entry: &Entry, request: &RunnerRequest) -> Option<PoolKey> {
        pool(&self.fleet, entry, request)
    }

    fn is_queued(&self, ticket: Ticket) -> bool {
        self.requests.get(&ticket).is_some_and(|r| matches!(r.stage, Stage::Queued))
    }

    /// Returns the expected wait of a request that was just queued, or `None` if no request
    /// duration is known.
    fn expected_wait(&self, request: &RunnerRequest) -> Option<Duration> {
        let state = &self.entry_states[request.entry];
        let limits = &self.limits;
        let running = |a| limits.running(Scope::account(request.entry, a));
        let ahead = match request.purpose {
            Purpose::Retry => {
                return Some(state.budget.expected_wait(state.queue.retries.len() - 1));
            }
            Purpose::Resume => state.queue.retries.len() + state.queue.resumes.len() - 1,
            Purpose::First => state.queue.requests_ahead(request.account, running),
        };
        state.time_to_finish(ahead + 1, limits.running(Scope::of(request.entry)))
    }

    fn retry_after_completions(&self, entry: EntryKey, count: usize) -> Duration {
        let running = self.limits.running(Scope::of(entry));
        let drain = self.entry_states.get(entry).and_then(|s| s.time_to_finish(count, running));
        clamp_retry_after(drain.unwrap_or(DEFAULT_RETRY_AFTER))
    }

    /// Returns the expected time until one of the account's requests ends, at any node.
    fn account_retry_after(&self, request: &RunnerRequest) -> Duration {
        let running = self.limits.total(Scope::account(request.entry, request.account));
        let drain = self.entry_states.get(request.entry).and_then(|s| s.time_to_finish(1, running));
        clamp_retry_after(drain.unwrap_or(DEFAULT_RETRY_AFTER))
    }

    fn refill_budget(&mut self, now: Instant, key: EntryKey, entry: &Entry) {
        let running = self.limits.running(Scope::of(key));
        let state = &mut self.entry_states[key];
        let overload = state.queue.len() * 2 > entry.limits.queue as usize;
        state.budget.refill(now, running, overload);
    }
}

/// Returns the pool of the version that must serve the request, if it has eligible runners.
fn pool(fleet: &Fleet, entry: &Entry, request: &RunnerRequest) -> Option<PoolKey> {
    fleet.pool(&entry.name, request.pin.as_ref().unwrap_or(&entry.version))
}

/// Returns the longest time that a request may wait in the queue.
fn max_wait(entry: &Entry, purpose: Purpose) -> Duration {
    let max_wait = Duration::from_millis(entry.limits.wait_ms.into());
    match purpose {
        Purpose::Retry => max_wait.max(MIN_RETRY_WAIT),
        Purpose::First | Purpose::Resume => max_wait,
    }
}

fn clamp_retry_after(retry: Duration) -> Duration {
    retry.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
