//! From an ask to its grant or refusal.

use {
    super::{Core, Held, Stage},
    crate::{
        action::{Action, Grant, Reason},
        catalog::Entry,
        event::{Purpose, RunnerRequest},
        fleet::Fleet,
        id::{EntryKey, PoolKey, RunnerKey, Ticket},
        limits::Scope,
        queue::Waiter,
        route::Want,
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// When a refused request may try again if no runner is there.
const NO_RUNNER_RETRY: Duration = Duration::from_secs(1);
/// Shortest and longest time after which a refused caller is asked back.
const RETRY_LEAST: Duration = Duration::from_millis(250);
const RETRY_MOST: Duration = Duration::from_secs(60);
/// Shortest bound on the wait of a request that lost its runner: the bound of a new one may be short,
/// but here an answer that is half delivered would be thrown away.
const AGAIN_LEAST: Duration = Duration::from_secs(3);
/// `Retry-After` before any request duration is known.
const RETRY_UNKNOWN: Duration = Duration::from_secs(1);

impl Core {
    /// Takes an ask: grants, queues or refuses it.
    pub(super) fn ask(&mut self, now: Instant, ask: &RunnerRequest, out: &mut Vec<Action>) {
        let ticket = ask.ticket;
        let known = self.tickets.get(&ticket).copied();
        if known.is_some_and(|h| !matches!(h.stage, Stage::Between)) {
            return;
        }
        let catalog = Arc::clone(&self.catalog);
        let Some(entry) = catalog.entries.get(ask.entry) else {
            return self.refuse(ticket, Reason::NoEntry, None, out);
        };
        let scope = Scope::account(ask.entry, ask.account);
        let Some(&most) = self.access.get(&scope) else {
            return self.refuse(ticket, Reason::NoAccess, None, out);
        };
        if self.pool(entry, ask).is_none() {
            return self.refuse(ticket, Reason::NoRunner, Some(NO_RUNNER_RETRY), out);
        }
        let admitted = known.is_some_and(|h| (h.entry, h.account) == (ask.entry, ask.account));
        if !admitted {
            self.close(ticket);
        }
        if !admitted && self.limits.full(scope, most) {
            let retry = self.account_retry(ask);
            return self.refuse(ticket, Reason::AccountLimit, Some(retry), out);
        }
        let held = Held { entry: ask.entry, account: ask.account, admitted, stage: Stage::Waiting };
        self.tickets.insert(ticket, held);
        if !self.lanes.contains_key(ask.entry) {
            self.lanes.insert(ask.entry, Default::default());
        }
        self.renew_budget(now, ask.entry, entry);
        if self.lanes[ask.entry].queue.is_empty()
            && self.may_go(entry, ask)
            && let Some(runner) = self.find(now, entry, ask)
        {
            return self.grant(now, ask, runner, out);
        }
        self.enqueue(now, entry, ask, out);
    }

    /// Queues a request, grants what may go, and refuses it at once if it would wait too long.
    fn enqueue(&mut self, now: Instant, entry: &Entry, ask: &RunnerRequest, out: &mut Vec<Action>) {
        let (key, ticket) = (ask.entry, ask.ticket);
        let most = longest(entry, ask.purpose);
        self.lanes[key].queue.push(Waiter { ask: ask.clone(), until: now + most });
        self.pump(now, key, out);
        if !self.waits(ticket) {
            return;
        }
        let wait = self.expected(ask);
        if let Some(wait) = wait.filter(|w| *w > most) {
            self.lanes[key].queue.remove(ticket);
            let (reason, retry) = match ask.purpose {
                Purpose::Retry => (Reason::NoBudget, wait),
                Purpose::Resume | Purpose::First => (Reason::WaitTooLong, wait - most),
            };
            return self.refuse(ticket, reason, Some(bounded(retry)), out);
        }
        while self.lanes[key].queue.len() > entry.limits.queue as usize {
            let Some(waiter) = self.lanes[key].queue.shed() else { break };
            let retry = self.drained(key, 1 + entry.limits.queue as usize / 2);
            self.refuse(waiter.ask.ticket, Reason::EntryLimit, Some(retry), out);
        }
    }

    /// Grants what waits for the entry, in order, as far as shares, budget and runners allow.
    pub(super) fn pump(&mut self, now: Instant, key: EntryKey, out: &mut Vec<Action>) {
        let catalog = Arc::clone(&self.catalog);
        let Some(entry) = catalog.entries.get(key) else { return };
        if self.lanes.get(key).is_none_or(|l| l.queue.is_empty()) {
            return;
        }
        self.renew_budget(now, key, entry);
        let mut full = Vec::new();
        while self.retry_next(now, entry, key, &mut full, out) {}
        while self.first_next(now, entry, key, &mut full, out) {}
    }

    /// Refuses what has waited out its time, or waits for a version whose last runner went. The
    /// latter would else learn only seconds later what is known already.
    pub(super) fn expire(&mut self, now: Instant, out: &mut Vec<Action>) {
        let catalog = Arc::clone(&self.catalog);
        let fleet = &self.fleet;
        let over =
            |entry: &Entry, w: &Waiter| w.until <= now || pool(fleet, entry, &w.ask).is_none();
        let lanes = self.lanes.iter_mut().filter(|(_, l)| !l.queue.is_empty());
        let late = lanes
            .filter_map(|(key, lane)| Some((catalog.entries.get(key)?, lane)))
            .flat_map(|(entry, lane)| lane.queue.take(|w| over(entry, w)))
            .collect::<Vec<_>>();
        for Waiter { ask, .. } in late {
            let pool = catalog.entries.get(ask.entry).and_then(|e| self.pool(e, &ask));
            let (reason, retry) = match (pool, ask.purpose) {
                (None, _) => (Reason::NoRunner, NO_RUNNER_RETRY),
                (_, Purpose::Retry) if !self.lanes[ask.entry].budget.funded() => {
                    (Reason::NoBudget, self.lanes[ask.entry].budget.wait(0))
                }
                _ => (Reason::WaitTooLong, self.drained(ask.entry, 1)),
            };
            self.refuse(ask.ticket, reason, Some(bounded(retry)), out);
        }
    }

    /// Grants the first of those who go ahead of the firsts, if it may go.
    fn retry_next(
        &mut self,
        now: Instant,
        entry: &Entry,
        key: EntryKey,
        full: &mut Vec<PoolKey>,
        out: &mut Vec<Action>,
    ) -> bool {
        let next = self.lanes[key].queue.heads().into_iter().find_map(|ask| {
            let runner = self.try_find(now, entry, &ask, full)?;
            Some((ask, runner))
        });
        let Some((ask, runner)) = next else { return false };
        self.lanes[key].queue.remove(ask.ticket);
        self.grant(now, &ask, runner, out);
        true
    }

    /// Grants the next first request whose account and version have room.
    fn first_next(
        &mut self,
        now: Instant,
        entry: &Entry,
        key: EntryKey,
        full: &mut Vec<PoolKey>,
        out: &mut Vec<Action>,
    ) -> bool {
        if !self.limits.room(Scope::of(key), entry.limits.concurrent) {
            return false;
        }
        let limits = &self.limits;
        let running = |account| limits.running(Scope::account(key, account));
        for account in self.lanes[key].queue.order(running) {
            let Some(head) = self.lanes[key].queue.head(account) else { continue };
            let ask = head.ask.clone();
            if let Some(runner) = self.try_find(now, entry, &ask, full) {
                self.lanes[key].queue.pop(account);
                self.grant(now, &ask, runner, out);
                return true;
            }
        }
        false
    }

    /// Finds a runner, but doesn't search again in a pool just found full.
    fn try_find(
        &mut self,
        now: Instant,
        entry: &Entry,
        ask: &RunnerRequest,
        full: &mut Vec<PoolKey>,
    ) -> Option<RunnerKey> {
        let pool = self.pool(entry, ask)?;
        if full.contains(&pool) || !self.may_go(entry, ask) {
            return None;
        }
        let runner = self.find(now, entry, ask);
        if runner.is_none() && ask.avoid.is_none() {
            full.push(pool);
        }
        runner
    }

    /// Whether shares, budget and pace let the request go now.
    fn may_go(&mut self, entry: &Entry, ask: &RunnerRequest) -> bool {
        let budget = self.lanes[ask.entry].budget;
        let paced = match ask.purpose {
            Purpose::Retry => budget.ready(),
            Purpose::Resume => budget.paced(),
            Purpose::First => true,
        };
        paced && self.admits(entry, ask)
    }

    fn find(&mut self, now: Instant, entry: &Entry, ask: &RunnerRequest) -> Option<RunnerKey> {
        let pool = self.pool(entry, ask)?;
        let probe = ask.purpose == Purpose::First && ask.avoid.is_none();
        self.fleet.pick(now, pool, &Want { prefix: ask.prefix, avoid: ask.avoid, probe })
    }

    fn grant(
        &mut self,
        now: Instant,
        ask: &RunnerRequest,
        runner: RunnerKey,
        out: &mut Vec<Action>,
    ) {
        let held =
            self.tickets.get_mut(&ask.ticket).expect("a request has its ticket until it ends");
        held.stage = Stage::Running { runner, since: now };
        if !std::mem::replace(&mut held.admitted, true) {
            self.limits.enter(ask.entry, ask.account);
        }
        let budget = &mut self.lanes[ask.entry].budget;
        match ask.purpose {
            Purpose::Retry => budget.spend(),
            Purpose::Resume => budget.step(),
            Purpose::First => {}
        }
        self.fleet.sent(runner, ask.ticket, ask.purpose == Purpose::First);
        let instance = self.fleet.instance(runner).expect("a picked runner is known");
        let (url, version) = (instance.url.clone(), instance.version.clone());
        out.push(Action::Grant(Grant { ticket: ask.ticket, runner, url, version }));
    }

    fn pool(&self, entry: &Entry, ask: &RunnerRequest) -> Option<PoolKey> {
        pool(&self.fleet, entry, ask)
    }

    fn waits(&self, ticket: Ticket) -> bool {
        self.tickets.get(&ticket).is_some_and(|h| matches!(h.stage, Stage::Waiting))
    }

    /// Expected wait of a request that was just queued, if enough is known to say.
    fn expected(&self, ask: &RunnerRequest) -> Option<Duration> {
        let lane = &self.lanes[ask.entry];
        let limits = &self.limits;
        let running = |a| limits.running(Scope::account(ask.entry, a));
        let ahead = match ask.purpose {
            Purpose::Retry => return Some(lane.budget.wait(lane.queue.agains.len() - 1)),
            Purpose::Resume => lane.queue.agains.len() + lane.queue.resumes.len() - 1,
            Purpose::First => lane.queue.ahead(ask.account, running),
        };
        lane.drain(ahead + 1, limits.running(Scope::of(ask.entry)))
    }

    fn drained(&self, entry: EntryKey, count: usize) -> Duration {
        let running = self.limits.running(Scope::of(entry));
        let drain = self.lanes.get(entry).and_then(|l| l.drain(count, running));
        bounded(drain.unwrap_or(RETRY_UNKNOWN))
    }

    /// When one of the account's requests, wherever it runs, should have ended.
    fn account_retry(&self, ask: &RunnerRequest) -> Duration {
        let running = self.limits.known(Scope::account(ask.entry, ask.account));
        let drain = self.lanes.get(ask.entry).and_then(|l| l.drain(1, running));
        bounded(drain.unwrap_or(RETRY_UNKNOWN))
    }

    fn renew_budget(&mut self, now: Instant, key: EntryKey, entry: &Entry) {
        let running = self.limits.running(Scope::of(key));
        let lane = &mut self.lanes[key];
        let overload = lane.queue.len() * 2 > entry.limits.queue as usize;
        lane.budget.renew(now, running, overload);
    }
}

/// Runners of the version that must serve the request, if there are any.
fn pool(fleet: &Fleet, entry: &Entry, ask: &RunnerRequest) -> Option<PoolKey> {
    fleet.pool(&entry.name, ask.pin.as_ref().unwrap_or(&entry.version))
}

/// Longest wait of a request.
fn longest(entry: &Entry, purpose: Purpose) -> Duration {
    let most = Duration::from_millis(entry.limits.wait_ms.into());
    match purpose {
        Purpose::Retry => most.max(AGAIN_LEAST),
        Purpose::First | Purpose::Resume => most,
    }
}

fn bounded(retry: Duration) -> Duration {
    retry.clamp(RETRY_LEAST, RETRY_MOST)
}
