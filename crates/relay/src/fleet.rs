//! The runners, as one traffic thread sees them: what they say of themselves, what this node has them
//! do, and how they have behaved.

mod choose;
mod load;
mod trouble;

pub use self::{
    choose::{Version, Wanted},
    load::Load,
    trouble::Trouble,
};

use {
    self::load::Others,
    crate::{
        pool::{Line, Pool},
        view::{Registration, State},
    },
    bilberryfront_decide::member::message::Restart,
    compact_str::CompactString,
    rand::{SeedableRng, rngs::SmallRng},
    rustc_hash::{FxHashMap, FxHashSet},
    slotmap::{SlotMap, new_key_type},
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{sync::Notify, time::Instant},
};

/// Time after which a stranger is asked again who it is: many requests meet the same one, and what came
/// of the first answer shows within this time.
const MEET_AGAIN: Duration = Duration::from_secs(1);

new_key_type! {
    /// A runner in one of its lives.
    pub struct RunnerKey;
}

/// All runners. Clones share them.
#[derive(Clone)]
pub struct Fleet {
    inner: Rc<RefCell<Inner>>,
    changed: Rc<Notify>,
    lost: Rc<Notify>,
    random: Rc<RefCell<SmallRng>>,
}

#[derive(Default)]
struct Inner {
    /// Whether registrations were ever taken over.
    known: bool,
    runners: SlotMap<RunnerKey, Runner>,
    by_id: FxHashMap<CompactString, RunnerKey>,
    services: FxHashMap<CompactString, Vec<RunnerKey>>,
    /// Ids of runners that failed since the other nodes were told.
    failures: Vec<CompactString>,
    /// Runners that started anew, found since the other nodes were told.
    restarts: Vec<Restart>,
    /// This node's failure domain; empty while it isn't known.
    domain: CompactString,
    /// Unlisted runners that were met at others' addresses, and when.
    strangers: FxHashMap<CompactString, Instant>,
}

struct Runner {
    registration: Registration,
    pool: Pool,
    trouble: Trouble,
    /// What this node has under way at its engine.
    own: Load,
    /// Calls of this node that are under way there, where it is a plain service.
    calls: u32,
    /// What the other nodes have.
    others: Others,
    /// Whether `own` changed since the others were told.
    untold: bool,
}

/// Where to send, and what to expect there.
#[derive(Clone, Debug)]
pub struct Place {
    /// The runner.
    pub key: RunnerKey,
    /// Its id.
    pub id: CompactString,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: CompactString,
}

/// A request's claim on a runner; dropping it gives back what it took.
pub struct Lease {
    fleet: Fleet,
    /// The runner.
    pub place: Place,
    claim: Claim,
}

/// What a request takes of its runner.
#[derive(Clone, Copy)]
enum Claim {
    /// A call to a plain service.
    Call,
    /// A part of an engine.
    Work(Load),
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet::seeded(rand::random())
    }
}

impl Fleet {
    /// A fleet without runners whose choices repeat for the same seed.
    pub fn seeded(seed: u64) -> Fleet {
        let random = Rc::new(RefCell::new(SmallRng::seed_from_u64(seed)));
        Fleet { inner: Rc::default(), changed: Rc::default(), lost: Rc::default(), random }
    }

    /// Says which failure domain this node is in.
    pub fn set_domain(&self, domain: &CompactString) {
        self.inner.borrow_mut().domain.clone_from(domain);
    }

    /// Takes over the newest registrations. A runner that has left or started anew loses its idle
    /// connections; what still runs there goes on.
    pub fn update(&self, registrations: &[Registration]) {
        let inner = &mut *self.inner.borrow_mut();
        inner.known = true;
        let listed: FxHashSet<&str> = registrations.iter().map(|r| r.id.as_str()).collect();
        let gone: Vec<CompactString> =
            inner.by_id.keys().filter(|id| !listed.contains(id.as_str())).cloned().collect();
        for id in gone {
            inner.by_id.remove(&id).map(|key| inner.runners.remove(key));
        }
        for registration in registrations {
            inner.register(registration);
        }
        inner.services.clear();
        for (key, runner) in &inner.runners {
            let service = runner.registration.service.clone();
            inner.services.entry(service).or_default().push(key);
        }
    }

    /// Whether this node has learned which runners there are.
    pub fn is_known(&self) -> bool {
        self.inner.borrow().known
    }

    /// Whether what goes to a failure domain crosses a border.
    pub fn is_far(&self, domain: &CompactString) -> bool {
        self.inner.borrow().domain != *domain
    }

    /// An idle connection to a runner.
    pub fn idle(&self, key: RunnerKey, now: Instant) -> Option<Line> {
        self.inner.borrow_mut().runners.get_mut(key)?.pool.take(now)
    }

    /// Keeps a connection to a runner.
    pub fn keep(&self, key: RunnerKey, line: Line, limit: Option<Duration>) {
        if let Some(runner) = self.inner.borrow_mut().runners.get_mut(key) {
            runner.pool.put(Instant::now(), line, limit);
        }
    }

    /// Claims a part of an engine, and tells the other nodes.
    pub fn lease(&self, place: Place, load: Load) -> Lease {
        self.change(place.key, |own| *own += load);
        Lease { fleet: self.clone(), place, claim: Claim::Work(load) }
    }

    /// Claims a slot of a plain runner for one call.
    ///
    /// The others aren't told: most calls have ended before the word of them could change a choice, and two
    /// messages a call to each node would be most of what nodes say to each other. A runner that is full
    /// says so itself.
    pub fn call(&self, place: Place) -> Lease {
        if let Some(runner) = self.inner.borrow_mut().runners.get_mut(place.key) {
            runner.calls += 1;
        }
        Lease { fleet: self.clone(), place, claim: Claim::Call }
    }

    fn end_call(&self, key: RunnerKey) {
        if let Some(runner) = self.inner.borrow_mut().runners.get_mut(key) {
            runner.calls -= 1;
        }
    }

    fn change(&self, key: RunnerKey, change: impl FnOnce(&mut Load)) {
        if let Some(runner) = self.inner.borrow_mut().runners.get_mut(key) {
            change(&mut runner.own);
            runner.untold = true;
            self.changed.notify_one();
        }
    }

    /// The runner that has this place's address now, in whatever life.
    pub fn at(&self, place: &Place) -> Option<Place> {
        let inner = self.inner.borrow();
        if inner.runners.contains_key(place.key) {
            return Some(place.clone());
        }
        let here = |(_, r): &(RunnerKey, &Runner)| r.registration.address == place.address;
        inner.runners.iter().find(here).map(|(key, _)| inner.place(key))
    }

    /// Whether what a runner held is gone: it has left, started anew, or failed and not been heard of
    /// since.
    pub fn is_lost(&self, key: RunnerKey) -> bool {
        self.inner.borrow().runners.get(key).is_none_or(|r| r.trouble.has_failed())
    }

    /// A sign of life of a runner.
    pub fn alive(&self, key: RunnerKey, now: Instant) {
        if let Some(runner) = self.inner.borrow_mut().runners.get_mut(key) {
            runner.trouble.alive(now);
        }
    }

    /// When a runner last gave a sign of life to this node.
    pub fn heard(&self, key: RunnerKey) -> Option<Instant> {
        self.inner.borrow().runners.get(key)?.trouble.heard()
    }

    /// A runner broke a connection, didn't take one or fell silent.
    pub fn failed(&self, key: RunnerKey, now: Instant) {
        self.inner.borrow_mut().failed(key, now);
        self.changed.notify_one();
        self.lost.notify_waiters();
    }

    /// Returns once a runner is held to be lost.
    pub async fn until_lost(&self, key: RunnerKey) {
        loop {
            let changed = self.lost.notified();
            if self.is_lost(key) {
                return;
            }
            changed.await;
        }
    }

    /// Whether a runner is neither listed nor was met at another's address a moment ago.
    pub fn is_stranger(&self, id: &CompactString, now: Instant) -> bool {
        let inner = &mut *self.inner.borrow_mut();
        inner.strangers.retain(|_, met| now < *met + MEET_AGAIN);
        !inner.by_id.contains_key(id) && inner.strangers.insert(id.clone(), now).is_none()
    }

    /// A runner was found to have started anew under another id.
    pub fn restarted(&self, restart: Restart) {
        self.inner.borrow_mut().restarts.push(restart);
        self.changed.notify_one();
    }

    /// A runner said that it has no room.
    pub fn full(&self, key: RunnerKey, now: Instant) {
        if let Some(runner) = self.inner.borrow_mut().runners.get_mut(key) {
            runner.trouble.full(now);
        }
    }

    /// The service of a runner that is listed.
    pub fn service(&self, key: RunnerKey) -> Option<CompactString> {
        Some(self.inner.borrow().runners.get(key)?.registration.service.clone())
    }

    /// Runners of a service that take requests.
    pub fn ready(&self, service: &str) -> usize {
        let inner = self.inner.borrow();
        let keys = inner.services.get(service).into_iter().flatten();
        keys.filter(|k| inner.runners[**k].registration.state == State::Ready).count()
    }
}

impl Inner {
    fn register(&mut self, registration: &Registration) {
        let key = self.by_id.get(&registration.id).copied();
        if let Some(known) = key.and_then(|k| self.runners.get_mut(k)) {
            let old = &known.registration;
            let same = (old.assumed || old.born == registration.born)
                && (old.address, &old.service) == (registration.address, &registration.service);
            if same {
                known.registration = registration.clone();
                return;
            }
            // Another life: its connections, load and faults are those of a process that has ended.
            key.map(|k| self.runners.remove(k));
        }
        let runner = Runner {
            registration: registration.clone(),
            pool: Pool::default(),
            trouble: Trouble::default(),
            own: Load::default(),
            calls: 0,
            others: Others::default(),
            untold: false,
        };
        let key = self.runners.insert(runner);
        self.by_id.insert(registration.id.clone(), key);
    }

    fn failed(&mut self, key: RunnerKey, now: Instant) {
        let Some(runner) = self.runners.get_mut(key) else { return };
        runner.trouble.failed(now);
        runner.pool.clear();
        self.failures.push(runner.registration.id.clone());
        self.doubt_neighbours(key, now);
    }

    /// Doubts a runner's neighbours when it isn't the only one that failed: a failure domain mostly goes
    /// down as a whole, and each neighbour tried in vain would cost a request its time. One that is
    /// heard of after all is trusted again at once.
    fn doubt_neighbours(&mut self, key: RunnerKey, now: Instant) {
        let Registration { service, domain, .. } = &self.runners[key].registration;
        let all = self.services.get(service).into_iter().flatten().copied();
        let near = all.filter(|k| self.runners[*k].registration.domain == *domain);
        let near: Vec<RunnerKey> = near.collect();
        let failed = near.iter().filter(|k| self.runners[**k].trouble.failed_lately(now));
        if failed.count() >= trouble::DOMAIN_FAILURES {
            near.iter().for_each(|k| self.runners[*k].trouble.doubt(now));
        }
    }
}

impl Lease {
    /// A sign of life of the runner.
    pub fn alive(&self) {
        self.fleet.alive(self.place.key, Instant::now());
    }

    /// The prompt is read: the first output came.
    pub fn read(&mut self) {
        if let Claim::Work(load) = &mut self.claim {
            let read = Load { unread: std::mem::take(&mut load.unread), ..Load::default() };
            self.fleet.change(self.place.key, |own| *own -= read);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        match self.claim {
            Claim::Work(load) => self.fleet.change(self.place.key, |own| *own -= load),
            Claim::Call => self.fleet.end_call(self.place.key),
        }
    }
}
