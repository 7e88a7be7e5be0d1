//! [`Core`], the owner of all control state of a node.

use {
    crate::{
        action::{Action, Reason, Rejection},
        catalog::{Catalog, CatalogDoc, Entry},
        core::entry_state::EntryState,
        event::{Done, Event, RunnerRequest, Verdict},
        fleet::Fleet,
        id::{AccountKey, EntryKey, Revision, RunnerKey, Ticket},
        limits::{Limits, Scope},
        location::Location,
    },
    bilberryfront_wire::instance::Instance,
    rustc_hash::FxHashMap,
    slotmap::SecondaryMap,
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

mod admit;
mod entry_state;

/// Maximum time between two [`Event::Tick`]s.
pub const TICK: Duration = Duration::from_millis(50);

/// All control state of a node.
#[derive(Debug)]
pub struct Core {
    catalog: Arc<Catalog>,
    /// Concurrency limit of each account at each entry, indexed to avoid a search through all
    /// accounts.
    account_limits: FxHashMap<Scope, u32>,
    fleet: Fleet,
    limits: Limits,
    entry_states: SecondaryMap<EntryKey, EntryState>,
    requests: FxHashMap<Ticket, TrackedRequest>,
}

/// A request between its [`Event::Request`] and its end.
#[derive(Clone, Copy, Debug)]
struct TrackedRequest {
    entry: EntryKey,
    account: AccountKey,
    /// Whether it counts towards the concurrency limits.
    admitted: bool,
    stage: Stage,
}

/// Processing stage of a request.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// Waiting in the queue.
    Queued,
    /// Running at a runner since the given time.
    Running { runner: RunnerKey, since: Instant },
    /// Its runner failed and it will request another one.
    AwaitingRetry,
}

impl Core {
    /// Returns an empty core for a node at `location`. Decisions are deterministic for a given
    /// seed. The seed must differ between nodes, because each node derives its subset of runners
    /// from it.
    pub fn new(seed: u64, location: Location) -> Core {
        Core {
            catalog: Arc::default(),
            account_limits: FxHashMap::default(),
            fleet: Fleet::new(seed, location),
            limits: Limits::new(),
            entry_states: SecondaryMap::new(),
            requests: FxHashMap::default(),
        }
    }

    /// Processes one event that happened at `now` and appends the resulting actions to `out`. `now`
    /// must not decrease between calls.
    ///
    /// Each [`RunnerRequest`] is answered exactly once, by this step or a later one, with a grant
    /// or a rejection, unless it is cancelled first. A rejection ends the request and releases its
    /// admission, except that of an [`Event::Replace`].
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Catalog { revision, doc } => self.apply_catalog(now, revision, &doc, out),
            Event::Instances(list) => {
                self.fleet.apply_list(list);
                self.limits.set_listed_nodes(self.fleet.nodes());
                self.grant_queued_for_all(now, out);
            }
            Event::Load { runner, report } => {
                self.fleet.apply_report(runner, &report);
                self.grant_queued_for_runner(now, runner, out);
            }
            Event::LoadMissing { runner } => self.fleet.load_missing(now, runner),
            Event::Request(request) => self.submit(now, &request, out),
            Event::Replace { request, done } => self.replace(now, &request, &done, out),
            Event::Cancel(ticket) => self.cancel(now, ticket, out),
            Event::Started(ticket) => self.started(ticket),
            Event::Done(done) => self.complete(now, &done, out),
            Event::Peers(peers) => {
                self.limits.set_peers(&peers);
                self.grant_queued_for_all(now, out);
            }
            Event::Tick => {
                self.expire(now, out);
                self.grant_queued_for_all(now, out);
            }
        }
    }

    /// Returns the current catalogue.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Returns all known runners.
    pub fn runners(&self) -> impl Iterator<Item = (RunnerKey, &Instance)> {
        self.fleet.iter()
    }

    /// Returns the runners to poll for load: the eligible ones of this node's subset, and those
    /// draining by their own report, because only a further report can end that state.
    pub fn polled(&self) -> impl Iterator<Item = (RunnerKey, &Instance)> {
        self.fleet.polled()
    }

    /// Returns the number of requests admitted by this node, per entry and account.
    pub fn usage(&self) -> Vec<(EntryKey, AccountKey, u32)> {
        self.limits.usage()
    }

    /// Returns the number of the entry's requests queued at this node.
    pub fn waiting(&self, entry: EntryKey) -> usize {
        self.entry_states.get(entry).map_or(0, EntryState::waiting)
    }

    fn apply_catalog(
        &mut self,
        now: Instant,
        revision: Revision,
        doc: &CatalogDoc,
        out: &mut Vec<Action>,
    ) {
        if revision <= self.catalog.revision {
            return;
        }
        self.catalog = Arc::new(self.catalog.updated(revision, doc));
        self.account_limits = account_limits(&self.catalog);
        let entries = &self.catalog.entries;
        self.limits.retain_entries(|e| entries.contains_key(e));
        let entry_states = self.entry_states.keys().collect::<Vec<_>>();
        for entry in entry_states {
            self.reject_disallowed(entry, out);
            if !self.catalog.entries.contains_key(entry) {
                self.entry_states.remove(entry);
            }
        }
        self.grant_queued_for_all(now, out);
    }

    /// Rejects the queued requests that the current catalogue no longer allows.
    fn reject_disallowed(&mut self, entry: EntryKey, out: &mut Vec<Action>) {
        let is_denied =
            |account| !self.account_limits.contains_key(&Scope::account(entry, account));
        let queue = &mut self.entry_states[entry].queue;
        let reason = match self.catalog.entries.contains_key(entry) {
            true => Reason::NoAccess,
            false => Reason::NoEntry,
        };
        for queued in queue.remove_matching(|q| is_denied(q.request.account)) {
            self.reject(queued.request.ticket, reason, None, out);
        }
    }

    fn cancel(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Action>) {
        let Some(&tracked) = self.requests.get(&ticket) else { return };
        match tracked.stage {
            Stage::Running { .. } => return,
            Stage::AwaitingRetry => {}
            Stage::Queued => _ = self.entry_states[tracked.entry].queue.remove(ticket),
        }
        self.release(ticket);
        self.grant_queued(now, tracked.entry, out);
    }

    fn started(&mut self, ticket: Ticket) {
        if let Some(TrackedRequest { stage: Stage::Running { runner, .. }, .. }) =
            self.requests.get(&ticket)
        {
            self.fleet.started(*runner);
        }
    }

    fn complete(&mut self, now: Instant, done: &Done, out: &mut Vec<Action>) {
        let Some(tracked) = self.requests.get_mut(&done.ticket) else { return };
        let Stage::Running { runner, since } = tracked.stage else { return };
        let entry = tracked.entry;
        self.fleet.complete(now, runner, done);
        match done.will_retry {
            true => tracked.stage = Stage::AwaitingRetry,
            false => self.release(done.ticket),
        }
        if let (Verdict::Ok, Some(state)) = (done.verdict, self.entry_states.get_mut(entry)) {
            state.record_success(now.duration_since(since));
        }
        self.grant_queued(now, entry, out);
    }

    /// Stops tracking a request and releases its admission.
    fn release(&mut self, ticket: Ticket) {
        let Some(tracked) = self.requests.remove(&ticket) else { return };
        if tracked.admitted {
            self.limits.release(tracked.entry, tracked.account);
        }
    }

    fn reject(
        &mut self,
        ticket: Ticket,
        reason: Reason,
        retry: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        self.release(ticket);
        out.push(Action::Reject(Rejection { ticket, reason, retry_after: retry }));
    }

    fn grant_queued_for_all(&mut self, now: Instant, out: &mut Vec<Action>) {
        let waiting = self.entry_states.iter().filter(|(_, s)| s.waiting() > 0);
        let entries = waiting.map(|(e, _)| e).collect::<Vec<_>>();
        entries.into_iter().for_each(|e| self.grant_queued(now, e, out));
    }

    fn grant_queued_for_runner(&mut self, now: Instant, runner: RunnerKey, out: &mut Vec<Action>) {
        let Some(instance) = self.fleet.instance(runner) else { return };
        if let Some(entry) = self.catalog.entry(&instance.entry) {
            self.grant_queued(now, entry, out);
        }
    }

    /// Returns whether the request is already admitted or fits into this node's shares of the
    /// limits.
    fn is_within_limits(&mut self, entry: &Entry, request: &RunnerRequest) -> bool {
        if self.requests.get(&request.ticket).is_some_and(|r| r.admitted) {
            return true;
        }
        let scope = Scope::account(request.entry, request.account);
        let Some(&limit) = self.account_limits.get(&scope) else { return false };
        self.limits.has_room(Scope::of(request.entry), entry.limits.concurrent)
            && self.limits.has_room(scope, limit)
    }
}

fn account_limits(catalog: &Catalog) -> FxHashMap<Scope, u32> {
    let all = catalog.entries.iter().flat_map(|(k, e)| e.accounts.iter().map(move |a| (k, a)));
    all.filter_map(|(entry, access)| {
        let account = catalog.account(&access.account)?;
        Some((Scope::account(entry, account), access.concurrent))
    })
    .collect()
}
