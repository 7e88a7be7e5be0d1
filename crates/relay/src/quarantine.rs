//! Quarantine of requests that crash the runners that run them.
//!
//! A request is suspect after a runner has crashed while running it, and quarantined after
//! [`MAX_CRASHES`] of them, counted by all nodes together. A completed run clears it. After the
//! quarantine has expired, the request may run again; another crash renews the quarantine.
//!
//! Requests that only share a part of their prompts are compared in [`prompts`].

mod evidence;
mod fingerprint;
mod patterns;
mod prompts;

pub use self::evidence::{MIN_CRASHES, SOUND_TIME};
pub(crate) use self::fingerprint::fingerprint;
use {
    self::prompts::Prompts,
    crate::{
        call::Call,
        catalog::Kind,
        log_messages::{QUARANTINE_ENDED, QUARANTINED},
    },
    bilberryfront_decide::member::message::{CrashReport, RequestId},
    rand::Rng,
    rustc_hash::FxHashMap,
    std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration},
    tokio::{sync::Notify, time::Instant},
};

/// Crashed runners from which a request is quarantined.
pub const MAX_CRASHES: usize = 3;
/// Crashed runners from which a request is sent to an idle runner and reported to peers.
const SUSPECT_CRASHES: usize = 2;
/// Time after its last crash for which a request is quarantined.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Upper bound of the random part of [`QUARANTINE_TIME`], as a share of it, so that nodes do not try
/// the request again at the same time.
const EXPIRY_JITTER: f64 = 0.2;
/// Time after the last crash within which another one does not renew a quarantine. Reports of the same crash
/// differ by the time that they take.
const MIN_RENEWAL: Duration = Duration::from_secs(5);
/// Time after its last crash for which a request that is not quarantined is remembered.
const SUSPECT_TIME: Duration = Duration::from_secs(600);
/// Window in which crashes of several runners count as an outage, not as caused by a request.
const OUTAGE_WINDOW: Duration = Duration::from_millis(100);
/// Crashes within [`OUTAGE_WINDOW`] from which an outage is assumed. Fewer may have several causes.
const MIN_OUTAGE_CRASHES: usize = 4;
/// Time for which a crashed runner may still be listed.
const CRASH_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of remembered requests.
pub const MAX_ENTRIES: usize = 256;

/// Requests that have crashed runners. Clones share their state.
#[derive(Clone)]
pub struct Quarantine {
    inner: Rc<RefCell<Inner>>,
    changed: Rc<Notify>,
    /// Notified when a request is quarantined.
    quarantined: Rc<Notify>,
}

struct Inner {
    entries: FxHashMap<RequestId, Entry>,
    /// Requests cleared since the last report to peers.
    cleared: Vec<RequestId>,
    /// Changes of quarantined requests by this node that the store does not have yet.
    stored: Vec<CrashReport>,
    /// Recent crashes found by this node.
    recent: VecDeque<RecentCrash>,
    prompts: Prompts,
    /// Time after its last crash after which this node runs a quarantined request again.
    expiry: Duration,
}

/// Crash of a runner that held a request.
#[derive(Clone, Copy, Debug)]
pub struct RunnerCrash {
    /// Hash of the runner's incarnation.
    pub runner: u64,
    /// Time at which the request was sent to the runner.
    pub sent_at: Instant,
    /// Time of the crash, which may have been found later.
    pub at: Instant,
    /// Time for which the runner had responded; `None` if the response had not begun, in which case other
    /// requests are suspected rather than this one.
    pub age: Option<Duration>,
}

impl RunnerCrash {
    /// Creates a crash that is found at once.
    pub fn now(runner: u64, sent_at: Instant, age: Option<Duration>) -> RunnerCrash {
        RunnerCrash { runner, sent_at, at: Instant::now(), age }
    }
}

/// A crash found by this node.
struct RecentCrash {
    runner: u64,
    at: Instant,
    /// Requests that the runner ran.
    requests: Vec<RequestId>,
}

/// Crashes that one request has caused.
struct Entry {
    /// Hashes of the last crashed runners, at most [`MAX_CRASHES`].
    runners: Vec<u64>,
    last: Instant,
    /// Whether the entry has to be reported to peers.
    dirty: bool,
    /// Whether peers know the entry.
    is_shared: bool,
}

impl Default for Quarantine {
    fn default() -> Quarantine {
        let expiry = QUARANTINE_TIME.mul_f64(1.0 + rand::rng().random_range(0.0..EXPIRY_JITTER));
        let inner = Inner {
            entries: FxHashMap::default(),
            cleared: Vec::new(),
            stored: Vec::new(),
            recent: VecDeque::new(),
            prompts: Prompts::default(),
            expiry,
        };
        Quarantine {
            inner: Rc::new(RefCell::new(inner)),
            changed: Rc::default(),
            quarantined: Rc::default(),
        }
    }
}

impl Quarantine {
    /// Returns the time for which a request is still quarantined, if it is.
    pub fn time_left(&self, call: &Call) -> Option<Duration> {
        let inner = self.inner.borrow();
        inner.request_time_left(call).max(inner.prompts.time_left(call, inner.expiry))
    }

    /// Returns whether a request should run without others beside it.
    pub fn is_suspect(&self, call: &Call) -> bool {
        self.inner.borrow().find(call).is_some_and(|entry| entry.runners.len() >= SUSPECT_CRASHES)
    }

    /// Returns the number of quarantined requests and patterns of prompts.
    pub fn len(&self) -> usize {
        let inner = self.inner.borrow();
        let now = Instant::now();
        let requests = inner.entries.values().filter(|entry| inner.is_quarantined(entry, now));
        requests.count() + inner.prompts.len(inner.expiry)
    }

    /// Returns whether nothing is quarantined.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until a request is quarantined.
    pub async fn wait_until_quarantined(&self, call: &Call) {
        loop {
            let changed = self.quarantined.notified();
            if self.time_left(call).is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Records the crash of a runner while it ran a request; returns whether that is evidence against the
    /// request.
    pub fn record_crash(&self, call: &Call, crash: &RunnerCrash) -> bool {
        let now = Instant::now();
        let mut inner = self.inner.borrow_mut();
        let id = fingerprint(call);
        if !inner.is_evidence(id, crash, now) {
            return false;
        }
        if inner.add(id, &[crash.runner], crash.at) {
            let entry = inner.entries.get_mut(&id).expect("the entry was added");
            // The node that saw a single crash sees the next one as well if it tries again.
            let is_first = entry.runners.len() < SUSPECT_CRASHES && is_retried(call);
            let is_late = now > crash.at + OUTAGE_WINDOW;
            entry.dirty |= !is_first || is_late;
            self.changed.notify_one();
            if entry.runners.len() >= MAX_CRASHES {
                log::warn!(request = call.head.id.as_str(), route = call.route.name.as_str(),
                    fingerprint = display(id).as_str(); "{QUARANTINED}");
                let report = inner.entries[&id].report(id, now);
                inner.stored.push(report);
                self.quarantined.notify_waiters();
            }
        }
        true
    }

    /// Records a complete response to a request, which clears it.
    pub fn record_response(&self, call: &Call) {
        let mut inner = self.inner.borrow_mut();
        if inner.entries.is_empty() {
            return;
        }
        let id = fingerprint(call);
        let crashes = inner.entries.get(&id).map_or(0, |entry| entry.runners.len());
        if crashes >= MAX_CRASHES {
            inner.stored.push(CrashReport { id, runners: Vec::new(), age_ms: 0 });
        }
        if inner.clear(id) {
            self.changed.notify_one();
        }
    }

    /// Returns a handle that is notified when [`Quarantine::take_update`] has something to report.
    pub fn changes(&self) -> Rc<Notify> {
        self.changed.clone()
    }

    /// Takes the changes since the last call, for peers.
    pub fn take_update(&self) -> Vec<CrashReport> {
        let inner = &mut *self.inner.borrow_mut();
        let now = Instant::now();
        let cleared = std::mem::take(&mut inner.cleared).into_iter();
        let cleared = cleared.map(|id| CrashReport { id, runners: Vec::new(), age_ms: 0 });
        let dirty = inner.entries.iter_mut().filter(|(_, entry)| entry.dirty);
        let changed = dirty.map(|(id, entry)| {
            entry.dirty = false;
            entry.is_shared = true;
            entry.report(*id, now)
        });
        cleared.chain(changed).take(MAX_ENTRIES).collect()
    }

    /// Takes the quarantined requests that the store does not have yet; those without runners are to be
    /// deleted there.
    pub fn take_stored(&self) -> Vec<CrashReport> {
        std::mem::take(&mut self.inner.borrow_mut().stored)
    }

    /// Returns the quarantined requests, for peers that have started or missed an update.
    pub fn snapshot(&self) -> Vec<CrashReport> {
        let inner = self.inner.borrow();
        let now = Instant::now();
        let quarantined = inner.entries.iter().filter(|(_, e)| inner.is_quarantined(e, now));
        quarantined.map(|(id, entry)| entry.report(*id, now)).collect()
    }

    /// Applies a report of a peer.
    pub fn apply(&self, reports: &[CrashReport]) {
        let now = Instant::now();
        let mut inner = self.inner.borrow_mut();
        for CrashReport { id, runners, age_ms } in reports {
            if runners.is_empty() {
                inner.entries.remove(id);
                continue;
            }
            let Some(at) = instant_of(*age_ms, now) else { continue };
            if !inner.add(*id, runners, at) {
                continue;
            }
            let entry = inner.entries.get_mut(id).expect("the entry was added");
            entry.is_shared = true;
            // Peers do not know a crash that this node has not reported.
            if entry.runners.len() > runners.len() {
                entry.dirty = true;
                self.changed.notify_one();
            }
            if entry.runners.len() >= MAX_CRASHES {
                log::warn!(fingerprint = display(*id).as_str(); "{QUARANTINED}, reported by a peer");
                self.quarantined.notify_waiters();
            }
        }
    }
}

impl Inner {
    /// Returns the entry of a request. Hashes its body only if there are entries.
    fn find(&self, call: &Call) -> Option<&Entry> {
        if self.entries.is_empty() {
            return None;
        }
        self.entries.get(&fingerprint(call))
    }

    fn request_time_left(&self, call: &Call) -> Option<Duration> {
        let entry = self.find(call)?;
        let left = (entry.last + self.expiry).saturating_duration_since(Instant::now());
        (entry.runners.len() >= MAX_CRASHES && !left.is_zero()).then_some(left)
    }

    fn is_quarantined(&self, entry: &Entry, now: Instant) -> bool {
        entry.runners.len() >= MAX_CRASHES && now < entry.last + self.expiry
    }

    /// Records the crash of a runner; returns whether the request may have caused it. The runner must not
    /// have crashed before it was sent, nor several others at the same time on which it did not run.
    fn is_evidence(&mut self, id: RequestId, crash: &RunnerCrash, now: Instant) -> bool {
        let &RunnerCrash { runner, sent_at, at, .. } = crash;
        if self.prompts.crash_time(runner).is_some_and(|at| sent_at > at) {
            return false;
        }
        self.recent.retain(|crash| now < crash.at + CRASH_RETENTION);
        let is_other = |crash: &&RecentCrash| {
            let distance = crash.at.max(at) - crash.at.min(at);
            let is_recent = crash.at > sent_at && distance < OUTAGE_WINDOW;
            crash.runner != runner && is_recent && !crash.requests.contains(&id)
        };
        let is_outage = self.recent.iter().filter(is_other).count() + 1 >= MIN_OUTAGE_CRASHES;
        let known = self.recent.iter_mut().find(|crash| crash.runner == runner);
        match known {
            Some(crash) if sent_at > crash.at => return false,
            Some(crash) => crash.requests.push(id),
            None => self.recent.push_back(RecentCrash { runner, at, requests: vec![id] }),
        }
        !is_outage
    }

    /// Adds crashed runners to an entry; returns whether one of them was not known.
    fn add(&mut self, id: RequestId, runners: &[u64], at: Instant) -> bool {
        if !self.entries.contains_key(&id) {
            self.make_room(Instant::now());
        }
        let new = || Entry { runners: Vec::new(), last: at, dirty: false, is_shared: false };
        let entry = self.entries.entry(id).or_insert_with(new);
        let before = entry.last;
        let mut is_changed = false;
        for runner in runners.iter().take(MAX_CRASHES) {
            // A report on a full entry is mostly about crashes that led to the quarantine, but the entry has
            // only some of them.
            let is_outdated = entry.runners.len() >= MAX_CRASHES && at <= before + MIN_RENEWAL;
            if !entry.runners.contains(runner) && !is_outdated {
                entry.runners.push(*runner);
                is_changed = true;
            }
        }
        let excess = entry.runners.len().saturating_sub(MAX_CRASHES);
        entry.runners.drain(..excess);
        if is_changed {
            entry.last = before.max(at);
        }
        is_changed
    }

    fn clear(&mut self, id: RequestId) -> bool {
        let Some(entry) = self.entries.remove(&id) else { return false };
        log::info!(fingerprint = display(id).as_str(); "{QUARANTINE_ENDED}");
        if entry.is_shared {
            self.cleared.push(id);
        }
        entry.is_shared
    }

    /// Removes expired entries, and if there are still too many, the one with the fewest crashes.
    fn make_room(&mut self, now: Instant) {
        // Longer than the quarantine, so that a crash in the trial after it renews the quarantine.
        let retention = |entry: &Entry| match entry.runners.len() {
            MAX_CRASHES.. => self.expiry * 2,
            _ => SUSPECT_TIME,
        };
        self.entries.retain(|_, entry| now < entry.last + retention(entry));
        if self.entries.len() >= MAX_ENTRIES {
            let least = self.entries.iter().min_by_key(|(_, e)| (e.runners.len(), e.last));
            if let Some(id) = least.map(|(id, _)| *id) {
                self.entries.remove(&id);
            }
        }
    }
}

impl Entry {
    fn report(&self, id: RequestId, now: Instant) -> CrashReport {
        CrashReport { id, runners: self.runners.clone(), age_ms: age_ms(self.last, now) }
    }
}

/// Returns whether the node that has seen an attempt fail may send the request again.
fn is_retried(call: &Call) -> bool {
    let is_repeatable = matches!(call.route.kind, Kind::Idempotent | Kind::Resumable);
    is_repeatable && call.route.attempts > 1
}

/// Returns the age of `at` in milliseconds.
fn age_ms(at: Instant, now: Instant) -> u32 {
    u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
}

/// Returns the time that was `age_ms` milliseconds ago; `None` if this host was not running then.
fn instant_of(age_ms: u32, now: Instant) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(u64::from(age_ms)))
}

/// Returns the fingerprint of a request for logs.
pub fn display_fingerprint(call: &Call) -> String {
    display(fingerprint(call))
}

fn display(id: RequestId) -> String {
    format!("{:016x}{:032x}", id.account, id.request)
}
