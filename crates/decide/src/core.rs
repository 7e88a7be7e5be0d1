//! The core itself: one value that owns all control state of a node.

use {
    crate::{
        action::{Action, Reason, Rejection},
        catalog::{Catalog, CatalogDoc, Entry},
        core::lane::Lane,
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
mod lane;

/// Longest time between two ticks.
pub const TICK: Duration = Duration::from_millis(50);

/// All control state of a node.
#[derive(Debug)]
pub struct Core {
    catalog: Arc<Catalog>,
    /// Bound of each account at each entry: a look-up in place of a search through all accounts.
    access: FxHashMap<Scope, u32>,
    fleet: Fleet,
    limits: Limits,
    lanes: SecondaryMap<EntryKey, Lane>,
    tickets: FxHashMap<Ticket, Held>,
}

/// A request that the core knows.
#[derive(Clone, Copy, Debug)]
struct Held {
    entry: EntryKey,
    account: AccountKey,
    /// Whether it counts against the limits.
    admitted: bool,
    stage: Stage,
}

/// Where a request is.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// In the queue.
    Waiting,
    /// At a runner since then.
    Running { runner: RunnerKey, since: Instant },
    /// Its runner failed it, and it will ask for another.
    Between,
}

impl Core {
    /// A core that knows nothing yet, of a node at `place`. Equal seeds decide equally; the seed
    /// also tells the nodes apart when each chooses the runners that it talks to.
    pub fn new(seed: u64, place: Location) -> Core {
        Core {
            catalog: Arc::default(),
            access: FxHashMap::default(),
            fleet: Fleet::new(seed, place),
            limits: Limits::new(),
            lanes: SecondaryMap::new(),
            tickets: FxHashMap::default(),
        }
    }

    /// Takes one event that happened at `now` and appends what is to be done to `out`. `now` never
    /// goes back.
    ///
    /// Each [`RunnerRequest`] is answered once, by this step or a later one, with a grant or a refusal, unless
    /// it is forgotten first. A refused request is over: its admission is given back.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Catalog { revision, doc } => self.renew(now, revision, &doc, out),
            Event::Instances(list) => {
                self.fleet.list(list);
                self.limits.listed(self.fleet.nodes());
                self.pump_all(now, out);
            }
            Event::Load { runner, report } => {
                self.fleet.report(runner, &report);
                self.pump_of(now, runner, out);
            }
            Event::LoadMissing { runner } => self.fleet.silent(now, runner),
            Event::Request(ask) => self.ask(now, &ask, out),
            Event::Cancel(ticket) => self.forget(now, ticket, out),
            Event::Started(ticket) => self.begun(ticket),
            Event::Done(done) => self.done(now, &done, out),
            Event::Peers(peers) => {
                self.limits.peers(&peers);
                self.pump_all(now, out);
            }
            Event::Tick => {
                self.expire(now, out);
                self.pump_all(now, out);
            }
        }
    }

    /// The catalogue in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// All runners known.
    pub fn runners(&self) -> impl Iterator<Item = (RunnerKey, &Instance)> {
        self.fleet.iter()
    }

    /// Runners to poll for load: eligible ones, and draining ones, as only their own report can end
    /// the draining state.
    pub fn watched(&self) -> impl Iterator<Item = (RunnerKey, &Instance)> {
        self.fleet.watched()
    }

    /// Requests admitted by this node, per entry and account.
    pub fn usage(&self) -> Vec<(EntryKey, AccountKey, u32)> {
        self.limits.usage()
    }

    /// Requests of the entry that wait at this node.
    pub fn waiting(&self, entry: EntryKey) -> usize {
        self.lanes.get(entry).map_or(0, Lane::waiting)
    }

    fn renew(&mut self, now: Instant, revision: Revision, doc: &CatalogDoc, out: &mut Vec<Action>) {
        if revision <= self.catalog.revision {
            return;
        }
        self.catalog = Arc::new(self.catalog.updated(revision, doc));
        self.access = access(&self.catalog);
        let entries = &self.catalog.entries;
        self.limits.keep(|e| entries.contains_key(e));
        let lanes = self.lanes.keys().collect::<Vec<_>>();
        for entry in lanes {
            self.weed(entry, out);
            if !self.catalog.entries.contains_key(entry) {
                self.lanes.remove(entry);
            }
        }
        self.pump_all(now, out);
    }

    /// Refuses the waiting requests that the catalogue in force no longer allows.
    fn weed(&mut self, entry: EntryKey, out: &mut Vec<Action>) {
        let denied = |account| !self.access.contains_key(&Scope::account(entry, account));
        let queue = &mut self.lanes[entry].queue;
        let reason = match self.catalog.entries.contains_key(entry) {
            true => Reason::NoAccess,
            false => Reason::NoEntry,
        };
        for waiter in queue.take(|w| denied(w.ask.account)) {
            self.refuse(waiter.ask.ticket, reason, None, out);
        }
    }

    fn forget(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Action>) {
        let Some(&held) = self.tickets.get(&ticket) else { return };
        match held.stage {
            Stage::Running { .. } => return,
            Stage::Between => {}
            Stage::Waiting => _ = self.lanes[held.entry].queue.remove(ticket),
        }
        self.close(ticket);
        self.pump(now, held.entry, out);
    }

    fn begun(&mut self, ticket: Ticket) {
        if let Some(Held { stage: Stage::Running { runner, .. }, .. }) = self.tickets.get(&ticket) {
            self.fleet.begun(*runner);
        }
    }

    fn done(&mut self, now: Instant, done: &Done, out: &mut Vec<Action>) {
        let Some(held) = self.tickets.get_mut(&done.ticket) else { return };
        let Stage::Running { runner, since } = held.stage else { return };
        let entry = held.entry;
        self.fleet.done(now, runner, done);
        match done.will_retry {
            true => held.stage = Stage::Between,
            false => self.close(done.ticket),
        }
        if let (Verdict::Ok, Some(lane)) = (done.verdict, self.lanes.get_mut(entry)) {
            lane.served(now.duration_since(since));
        }
        self.pump(now, entry, out);
    }

    /// Ends a request that the core knows, and gives back its admission.
    fn close(&mut self, ticket: Ticket) {
        let Some(held) = self.tickets.remove(&ticket) else { return };
        if held.admitted {
            self.limits.leave(held.entry, held.account);
        }
    }

    fn refuse(
        &mut self,
        ticket: Ticket,
        reason: Reason,
        retry: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        self.close(ticket);
        out.push(Action::Reject(Rejection { ticket, reason, retry_after: retry }));
    }

    fn pump_all(&mut self, now: Instant, out: &mut Vec<Action>) {
        let waiting = self.lanes.iter().filter(|(_, l)| l.waiting() > 0);
        let entries = waiting.map(|(e, _)| e).collect::<Vec<_>>();
        entries.into_iter().for_each(|e| self.pump(now, e, out));
    }

    fn pump_of(&mut self, now: Instant, runner: RunnerKey, out: &mut Vec<Action>) {
        let Some(instance) = self.fleet.instance(runner) else { return };
        if let Some(entry) = self.catalog.entry(&instance.entry) {
            self.pump(now, entry, out);
        }
    }

    /// Whether the node's shares leave room for the request, or it has its admission already.
    fn admits(&mut self, entry: &Entry, ask: &RunnerRequest) -> bool {
        if self.tickets.get(&ask.ticket).is_some_and(|h| h.admitted) {
            return true;
        }
        let scope = Scope::account(ask.entry, ask.account);
        let Some(&most) = self.access.get(&scope) else { return false };
        self.limits.room(Scope::of(ask.entry), entry.limits.concurrent)
            && self.limits.room(scope, most)
    }
}

fn access(catalog: &Catalog) -> FxHashMap<Scope, u32> {
    let all = catalog.entries.iter().flat_map(|(k, e)| e.accounts.iter().map(move |a| (k, a)));
    all.filter_map(|(entry, access)| {
        let account = catalog.account(&access.account)?;
        Some((Scope::account(entry, account), access.concurrent))
    })
    .collect()
}
