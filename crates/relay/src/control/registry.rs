//! Which runners there are, by their own entries in the store.

use {
    crate::{lines::RUNNER_GONE, records::Records, store::Row, view::Registration},
    bilberryfront_decide::member::message::Restart,
    compact_str::CompactString,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    tokio::time::Instant,
};

/// Time after the store's return by which living runners are listed again (2 s, by its operators),
/// and a report's way here.
const RELIST: Duration = Duration::from_millis(2_500);

/// All registrations.
///
/// Entries lapse while the store can't take the runners' reports, though the runners are well. Taken
/// at its word, the store's first answer after an outage would leave requests without any runner; so
/// an entry that is missing around an outage is kept until its runner has had the time to report.
#[derive(Debug, Default)]
pub struct Listing {
    entries: BTreeMap<CompactString, Entry>,
    published: Option<Arc<Vec<Registration>>>,
    outage: Outage,
}

#[derive(Debug)]
struct Entry {
    registration: Registration,
    missing: bool,
}

/// Whether missing entries mean that their runners are gone.
#[derive(Clone, Copy, Debug, Default)]
enum Outage {
    /// They do.
    #[default]
    None,
    /// The store doesn't answer.
    Down,
    /// It answers again; they do from this time on.
    Until(Instant),
}

impl Listing {
    /// The registrations that count.
    pub fn runners(&self) -> Arc<Vec<Registration>> {
        self.published.clone().unwrap_or_default()
    }

    /// Whether a list was ever had.
    pub fn is_known(&self) -> bool {
        self.published.is_some()
    }

    /// The store stopped answering.
    pub fn down(&mut self) {
        self.outage = Outage::Down;
    }

    /// The store answers again.
    pub fn up(&mut self, now: Instant) {
        self.outage = Outage::Until(now + RELIST);
    }

    /// Takes all rows of the table; says whether anything changed.
    pub fn replace<R: Records>(&mut self, now: Instant, rows: &[Row], records: &R) -> bool {
        let listed: BTreeSet<&str> = rows.iter().map(|r| r.key.as_str()).collect();
        let gone: Vec<CompactString> =
            self.entries.keys().filter(|id| !listed.contains(id.as_str())).cloned().collect();
        gone.iter().for_each(|id| self.remove(now, id));
        rows.iter().for_each(|row| self.take(now, row, records));
        self.publish()
    }

    /// Takes changed rows; says whether anything changed.
    pub fn update<R: Records>(&mut self, now: Instant, rows: &[Row], records: &R) -> bool {
        rows.iter().for_each(|row| self.take(now, row, records));
        self.publish()
    }

    /// Drops entries that stayed away after an outage; says whether there were any.
    pub fn settle(&mut self, now: Instant) -> bool {
        let Outage::Until(until) = self.outage else { return false };
        if now < until {
            return false;
        }
        self.outage = Outage::None;
        self.entries.retain(|id, entry| {
            if entry.missing {
                log::info!(runner = id.as_str(); "a runner stayed away after the outage");
            }
            !entry.missing
        });
        self.publish()
    }

    /// Lets runners that started anew under other ids have their former entries, while the store can't
    /// say so itself; says whether anything changed.
    ///
    /// Engines that crash in an outage are back within seconds under ids that only the store tells. Known
    /// by their former ids alone they refuse everything, and the requests of a whole failure domain
    /// after another pile up on the rest. The new entry counts as missing: unless the runner registers
    /// soon after the store's return, it goes like any other.
    pub fn take_over(&mut self, restarts: &[Restart]) -> bool {
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
        // Goes before its former life, and behind whoever registers at the address.
        let born = former.registration.born + 1;
        let id = restart.id.clone();
        let former = former.registration.clone();
        let registration = Registration { id: id.clone(), born, assumed: true, ..former };
        log::info!(runner = id.as_str(), former = restart.former.as_str();
            "a runner started anew while the store is away");
        self.entries.remove(&restart.former);
        self.entries.insert(id, Entry { registration, missing: true });
    }

    fn take<R: Records>(&mut self, now: Instant, row: &Row, records: &R) {
        let Some(value) = &row.value else { return self.remove(now, &row.key) };
        match records.registration(&row.key, value) {
            Ok(registration) => self.register(registration),
            Err(error) => {
                // Written by somebody else than a runner: it names none, and the others hold.
                log::warn!(runner = row.key.as_str(); "an entry names no runner: {error}");
                self.entries.remove(&row.key);
            }
        }
    }

    fn register(&mut self, registration: Registration) {
        let known = self.entries.get(&registration.id).map(|e| &e.registration);
        if known.is_none_or(|k| k.state != registration.state || k.born != registration.born) {
            log::info!(runner = registration.id.as_str(), service = registration.service.as_str(),
                born = registration.born; "a runner is {:?}", registration.state);
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

/// Leaves out a runner whose address belongs to one that was born later.
///
/// A runner that starts anew mostly takes a new id, and its old entry stays until it lapses, for
/// seconds: whatever is sent to the old one meanwhile, copies of running requests among it, is refused
/// or can't be found again.
fn living<'a>(entries: impl Iterator<Item = &'a Registration> + Clone) -> Vec<Registration> {
    let mut newest = BTreeMap::<_, u64>::new();
    for entry in entries.clone() {
        let born = newest.entry(entry.address).or_default();
        *born = entry.born.max(*born);
    }
    entries.filter(|e| e.born >= newest[&e.address]).cloned().collect()
}
