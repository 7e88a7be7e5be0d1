//! A bounded log of the calls of a stand-in and their results.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard},
};

/// Maximum entries; the oldest is removed for a new one.
const CAPACITY: usize = 65_536;

/// A log whose entries can be updated later.
pub struct Log<T>(Mutex<Entries<T>>);

/// Identifier of an entry of a [`Log`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryId(u64);

struct Entries<T> {
    /// Identifier of the oldest entry in `kept`.
    first: u64,
    kept: VecDeque<T>,
}

impl<T> Default for Log<T> {
    fn default() -> Log<T> {
        Log(Mutex::new(Entries { first: 0, kept: VecDeque::new() }))
    }
}

impl<T: Clone> Log<T> {
    /// Appends an entry and returns its identifier.
    pub fn push(&self, entry: T) -> EntryId {
        let mut entries = self.lock();
        if entries.kept.len() == CAPACITY {
            entries.kept.pop_front();
            entries.first += 1;
        }
        entries.kept.push_back(entry);
        EntryId(entries.first + entries.kept.len() as u64 - 1)
    }

    /// Updates an entry, if it has not been removed.
    pub fn update(&self, id: EntryId, change: impl FnOnce(&mut T)) {
        let mut entries = self.lock();
        let position = id.0.checked_sub(entries.first);
        if let Some(entry) = position.and_then(|p| entries.kept.get_mut(p as usize)) {
            change(entry);
        }
    }

    /// Returns the entries, oldest first.
    pub fn entries(&self) -> Vec<T> {
        self.lock().kept.iter().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Entries<T>> {
        self.0.lock().expect("no holder of this lock panics")
    }
}
