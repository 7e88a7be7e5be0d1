//! Registry of runners, built from their registrations in the store.

use {
    crate::{log_messages::RUNNER_GONE, records::Records, store::Row, view::Registration},
    bilberryfront_decide::member::message::Restart,
    compact_str::CompactString,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    tokio::time::Instant,
};

/// Time after an outage within which live runners re-register: 2 s by the platform's guarantee,
/// plus propagation.
const RELIST: Duration = Duration::from_millis(2_500);

/// All registrations.
///
/// Registrations expire while the store is unavailable, although the runners are up. Entries that
/// disappear around an outage are therefore kept until the runners had time to re-register.
#[derive(Debug, Default)]
pub struct RunnerRegistry {
    entries: BTreeMap<CompactString, Entry>,
    published: Option<Arc<Vec<Registration>>>,
    outage: Outage,
}

#[derive(Debug)]
struct Entry {
    registration: Registration,
    missing: bool,
}

/// Whether a missing entry means a removed runner.
#[derive(Clone, Copy, Debug, Default)]
enum Outage {
    /// It does.
    #[default]
    None,
    /// The store is unavailable.
    Down,
    /// The store is available again; it does from this time on.
    Until(Instant),
}

impl RunnerRegistry {
    /// Current registrations.
    pub fn runners(&self) -> Arc<Vec<Registration>> {
        self.published.clone().unwrap_or_default()
    }

    /// Whether a list was ever loaded.
    pub fn is_known(&self) -> bool {
        self.published.is_some()
    }

    /// The store became unavailable.
    pub fn down(&mut self) {
        self.outage = Outage::Down;
    }

    /// The store became available.
    pub fn up(&mut self, now: Instant) {
        self.outage = Outage::Until(now + RELIST);
    }

    /// Replaces the table; returns whether anything changed.
    pub fn replace<R: Records>(&mut self, now: Instant, rows: &[Row], records: &R) -> bool {
        let listed: BTreeSet<&str> = rows.iter().map(|r| r.key.as_str()).collect();
        let shutdown: Vec<CompactString> =
            self.entries.keys().filter(|id| !listed.contains(id.as_str())).cloned().collect();
        shutdown.iter().for_each(|id| self.remove(now, id));
        rows.iter().for_each(|row| self.take(now, row, records));
        self.publish()
    }

    /// Applies changed rows; returns whether anything changed.
    pub fn update<R: Records>(&mut self, now: Instant, rows: &[Row], records: &R) -> bool {
        rows.iter().for_each(|row| self.take(now, row, records));
        self.publish()
    }

    /// Removes entries that did not return after an outage; returns whether there were any.
    pub fn settle(&mut self, now: Instant) -> bool {
        let Outage::Until(until) = self.outage else { return false };
        if now < until {
            return false;
        }
        self.outage = Outage::None;
        self.entries.retain(|id, entry| {
            if entry.missing {
                log::info!(runner = id.as_str(); "runner did not return after the outage");
            }
            !entry.missing
        });
        self.publish()
    }

    /// Replaces entries of runners that restarted under new ids during an outage; returns whether
    /// anything changed.
    ///
    /// The store cannot report the new ids meanwhile, and the runners reject requests for the old
    /// ones. A new entry counts as missing until the runner re-registers.
    pub fn adopt_restarts(&mut self, restarts: &[Restart]) -> bool {
        if matches!(self.outage, Outage::None) {
            return false;
        }
        restarts.iter().for_each(|restart| self.restart(restart));
        self.publish()
    }

    fn restart(&mut self, restart: &Restart) {
        let Some(former) = self.entries.get(&restart.former) else { return };
        if self.entries.contains_key(&restart.id) {
            return;
        }
        // Ranks before the former incarnation, and after whatever registers at the address.
        let born = former.registration.born + 1;
        let id = restart.id.clone();
        let former = former.registration.clone();
        let registration = Registration { id: id.clone(), born, assumed: true, ..former };
        log::info!(runner = id.as_str(), former = restart.former.as_str();
            "runner restarted during a store outage");
        self.entries.remove(&restart.former);
        self.entries.insert(id, Entry { registration, missing: true });
    }

    fn take<R: Records>(&mut self, now: Instant, row: &Row, records: &R) {
        let Some(value) = &row.value else { return self.remove(now, &row.key) };
        match records.registration(&row.key, value) {
            Ok(registration) => self.register(registration),
            Err(error) => {
                // Not written by a runner.
                log::warn!(runner = row.key.as_str(); "invalid registration: {error}");
                self.entries.remove(&row.key);
            }
        }
    }

    fn register(&mut self, registration: Registration) {
        let known = self.entries.get(&registration.id).map(|e| &e.registration);
        if known.is_none_or(|k| k.state != registration.state || k.born != registration.born) {
            log::info!(runner = registration.id.as_str(), service = registration.service.as_str(),
                born = registration.born; "runner is {:?}", registration.state);
        }
        let id = registration.id.clone();
        self.entries.insert(id, Entry { registration, missing: false });
    }

    fn remove(&mut self, now: Instant, id: &CompactString) {
        let held = match self.outage {
            Outage::None => false,
            Outage::Down => true,
            Outage::Until(until) => now < until,
        };
        match self.entries.get_mut(id) {
            Some(entry) if held => entry.missing = true,
            Some(_) => {
                log::info!(runner = id.as_str(); "{RUNNER_GONE}");
                self.entries.remove(id);
            }
            None => {}
        }
    }

    fn publish(&mut self) -> bool {
        let runners = living(self.entries.values().map(|e| &e.registration));
        let changed = self.published.as_ref().is_none_or(|old| **old != runners);
        if changed {
            self.published = Some(Arc::new(runners));
        }
        changed
    }
}

/// Drops runners whose address belongs to a newer registration. The entry of a restarted runner
/// stays until it expires, and requests for the old id would be rejected.
fn living<'a>(entries: impl Iterator<Item = &'a Registration> + Clone) -> Vec<Registration> {
    let mut newest = BTreeMap::<_, u64>::new();
    for entry in entries.clone() {
        let born = newest.entry(entry.address).or_default();
        *born = entry.born.max(*born);
    }
    entries.filter(|e| e.born >= newest[&e.address]).cloned().collect()
}
