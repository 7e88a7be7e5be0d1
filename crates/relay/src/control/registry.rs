//! Registry of runners, built from their registrations in the store.

use {
    crate::{
        log_messages::RUNNER_REMOVED,
        records::Records,
        store::Row,
        view::{Registration, State},
    },
    bilberryfront_decide::member::message::Restart,
    compact_str::CompactString,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Time after an outage of the store within which a restarted runner registers again.
const REREGISTER_TIME: Duration = Duration::from_millis(2_500);

/// Time after which a registration from a backup is used although its runner had left before the
/// restoration. The store removes registrations of runners that are not running sooner.
const REVIVE_DELAY: Duration = Duration::from_secs(5);
/// Retention time of removals; longer than the age of any backup.
const REMOVAL_TTL: Duration = Duration::from_secs(60);

/// All registrations.
///
/// Registrations expire while the store is unavailable, although the runners are running. Entries
/// that are removed during or shortly after an outage are therefore kept until the runners have had
/// time to register again.
#[derive(Debug, Default)]
pub struct RunnerRegistry {
    entries: BTreeMap<CompactString, Entry>,
    /// Removed runners by id.
    removals: BTreeMap<CompactString, Removal>,
    /// Latest known era of the store.
    era: u64,
    published: Option<Arc<Vec<Registration>>>,
    /// Whether any entry may be other than `Listed`.
    unsettled: bool,
}

#[derive(Debug)]
struct Entry {
    registration: Registration,
    presence: Presence,
}

/// Removal of a runner.
#[derive(Clone, Copy, Debug)]
struct Removal {
    at: Instant,
    /// Era of the store.
    era: u64,
    /// Start time of the incarnation.
    born: u64,
    /// Last state.
    state: State,
}

/// Registration state of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// The runner is registered.
    Listed,
    /// The runner is not registered, but its entry is kept until this time.
    Missing(Instant),
    /// The runner has restarted during an outage of the store and could not register yet.
    Adopted,
    /// The registration was restored from a backup after the runner had left, and is not used before
    /// this time.
    Withheld(Instant),
}

impl Entry {
    fn is_withheld(&self) -> bool {
        matches!(self.presence, Presence::Withheld(_))
    }
}

impl RunnerRegistry {
    /// Returns the current registrations.
    pub fn runners(&self) -> Arc<Vec<Registration>> {
        self.published.clone().unwrap_or_default()
    }

    /// Returns whether a list of registrations has been loaded.
    pub fn is_loaded(&self) -> bool {
        self.published.is_some()
    }

    /// Returns the failure domain of a runner.
    pub fn domain(&self, id: &str) -> Option<&CompactString> {
        self.entries.get(id).map(|entry| &entry.registration.domain)
    }

    /// Applies changed rows; returns whether anything changed. Removed entries are kept for
    /// `grace`.
    pub fn update<R: Records>(
        &mut self,
        now: Instant,
        rows: &[Row],
        grace: Duration,
        records: &R,
    ) -> bool {
        self.removals.retain(|_, removal| now < removal.at + REMOVAL_TTL);
        self.era = rows.iter().map(|row| row.revision.era).fold(self.era, u64::max);
        rows.iter().for_each(|row| self.apply_row(now, row, grace, records));
        self.publish()
    }

    /// Deletes entries that this node no longer holds; returns whether there were any. The runners
    /// have not left.
    pub fn release(&mut self, ids: &[CompactString]) -> bool {
        let released = ids.iter().filter(|id| self.entries.remove(*id).is_some()).count();
        released > 0 && self.publish()
    }

    /// Removes entries whose runners did not register again in time; returns whether there were
    /// any. `settled` is true if the store is available and all running runners are registered
    /// there.
    pub fn remove_expired(&mut self, now: Instant, settled: bool) -> bool {
        if !self.unsettled {
            return false;
        }
        for (id, entry) in &mut self.entries {
            match entry.presence {
                Presence::Adopted if settled => {
                    entry.presence = Presence::Missing(now + REREGISTER_TIME);
                }
                Presence::Withheld(until) if now >= until => {
                    log::info!(runner = id.as_str(); "runner is registered since the restoration");
                    entry.presence = Presence::Listed;
                }
                _ => {}
            }
        }
        let is_expired = |(id, entry): (&CompactString, &Entry)| {
            let expired = matches!(entry.presence, Presence::Missing(until) if now >= until);
            expired.then(|| id.clone())
        };
        let expired: Vec<CompactString> = self.entries.iter().filter_map(is_expired).collect();
        for id in &expired {
            log::info!(runner = id.as_str(); "runner did not register again after the store outage");
            self.drop_entry(now, id);
        }
        self.unsettled = self.entries.values().any(|entry| entry.presence != Presence::Listed);
        self.publish()
    }

    /// Replaces entries of runners that have restarted with new ids during an outage, or removes
    /// them if the new incarnation cannot be used; returns whether anything changed.
    ///
    /// During an outage the store does not report these restarts, and each request to an old id is
    /// rejected and costs a retry. If the registrations are `settled`, restarts are ignored.
    pub fn adopt_restarts(&mut self, restarts: &[Restart], settled: bool) -> bool {
        if settled {
            return false;
        }
        restarts.iter().for_each(|restart| self.restart(restart));
        self.publish()
    }

    fn restart(&mut self, restart: &Restart) {
        let Some(former) = self.entries.get(&restart.former) else { return };
        let Some(id) = restart.id.clone() else {
            log::info!(runner = restart.former.as_str(); "{RUNNER_REMOVED}");
            _ = self.entries.remove(&restart.former);
            return;
        };
        if self.entries.contains_key(&id) {
            return;
        }
        // Newer than the former incarnation, and older than any later registration at the address.
        let born = former.registration.born + 1;
        let former = former.registration.clone();
        let registration = Registration { id: id.clone(), born, assumed: true, ..former };
        log::info!(runner = id.as_str(), former = restart.former.as_str();
            "runner restarted during a store outage");
        self.entries.remove(&restart.former);
        self.entries.insert(id, Entry { registration, presence: Presence::Adopted });
        self.unsettled = true;
    }

    fn apply_row<R: Records>(&mut self, now: Instant, row: &Row, grace: Duration, records: &R) {
        let Some(value) = &row.value else { return self.remove(now, &row.key, grace) };
        match records.parse_registration(&row.key, value) {
            Ok(registration) => self.register(now, registration),
            Err(error) => {
                // The row was not written by a runner.
                log::warn!(runner = row.key.as_str(); "invalid registration: {error}");
                self.entries.remove(&row.key);
            }
        }
    }

    /// Registers a runner. A registration from a backup does not undo what is known of its
    /// incarnation.
    fn register(&mut self, now: Instant, mut registration: Registration) {
        let known = self.entries.get(&registration.id).map(|e| &e.registration);
        let known = known.filter(|known| known.born == registration.born);
        if known.is_some_and(|known| known.state == State::Draining) {
            registration.state = State::Draining;
        }
        let removal = self.removals.remove(&registration.id);
        let removal = removal.filter(|r| r.era < self.era && r.born == registration.born);
        if let Some(removal) = removal {
            registration.state = removal.state;
            return self.withhold(now, registration);
        }
        if known.is_none_or(|known| known.state != registration.state) {
            log::info!(runner = registration.id.as_str(), service = registration.service.as_str(),
                born = registration.born; "runner is {:?}", registration.state);
        }
        let id = registration.id.clone();
        self.entries.insert(id, Entry { registration, presence: Presence::Listed });
    }

    fn withhold(&mut self, now: Instant, registration: Registration) {
        log::info!(runner = registration.id.as_str();
            "registration of a removed runner restored from a backup");
        let presence = Presence::Withheld(now + REVIVE_DELAY);
        self.entries.insert(registration.id.clone(), Entry { registration, presence });
        self.unsettled = true;
    }

    fn remove(&mut self, now: Instant, id: &CompactString, grace: Duration) {
        match self.entries.get_mut(id) {
            Some(entry) if !grace.is_zero() && !entry.is_withheld() => {
                entry.presence = Presence::Missing(now + grace);
                self.unsettled = true;
            }
            Some(_) => {
                log::info!(runner = id.as_str(); "{RUNNER_REMOVED}");
                self.drop_entry(now, id);
            }
            None => {}
        }
    }

    fn drop_entry(&mut self, now: Instant, id: &CompactString) {
        let Some(entry) = self.entries.remove(id) else { return };
        let Registration { born, state, .. } = entry.registration;
        let removal = Removal { at: now, era: self.era, born, state };
        self.removals.insert(id.clone(), removal);
    }

    fn publish(&mut self) -> bool {
        let used = self.entries.values().filter(|entry| !entry.is_withheld());
        let runners = without_replaced(used.map(|entry| &entry.registration));
        let changed = self.published.as_ref().is_none_or(|old| **old != runners);
        if changed {
            self.published = Some(Arc::new(runners));
        }
        changed
    }
}

/// Returns the registrations without those whose address has a newer registration. The registration
/// of a restarted runner's former incarnation exists until it expires, and requests to the old id
/// would be rejected.
fn without_replaced<'a>(
    entries: impl Iterator<Item = &'a Registration> + Clone,
) -> Vec<Registration> {
    let mut newest = BTreeMap::<_, u64>::new();
    for entry in entries.clone() {
        let born = newest.entry(entry.address).or_default();
        *born = entry.born.max(*born);
    }
    entries.filter(|e| e.born >= newest[&e.address]).cloned().collect()
}
