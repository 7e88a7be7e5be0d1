//! Choice of the version for a request during a version move.

use {
    crate::control::{moves::Trial, view::View},
    bilberryfront_decide::{
        id::{AccountKey, EntryKey},
        mover::{Choice, Split},
    },
    compact_str::CompactString,
    tokio::time::Instant,
    xxhash_rust::xxh64::xxh64,
};

/// The version chosen for one request.
#[derive(Clone, Debug, Default)]
pub struct Chooser {
    split: Option<Split>,
    choice: Choice,
    trial: Option<Trial>,
}

impl Chooser {
    /// Chooses the version of a new request. `hash` must be uniformly distributed.
    pub fn new(
        view: &View,
        entry: EntryKey,
        account: AccountKey,
        route: CompactString,
        hash: u64,
    ) -> Chooser {
        let split = view.splits.get(&entry).cloned();
        let choice = split.as_ref().map(|s| s.choose(Instant::now(), hash)).unwrap_or_default();
        let names = view.catalog.entries.get(entry).zip(view.catalog.accounts.get(account));
        let trial = names.map(|(entry, account)| Trial {
            entry: entry.name.clone(),
            route,
            choice,
            account: xxh64(account.name.as_bytes(), 0),
        });
        Chooser { split, choice, trial }
    }

    /// Returns the version that the request must use; `None` for the catalogue's version.
    pub fn version(&self) -> Option<&CompactString> {
        self.split.as_ref().map(|s| s.version(self.choice))
    }

    /// Returns the trial of the request's first attempt, once. The version of later attempts isn't
    /// chosen at random, so their results would bias the comparison.
    pub fn trial(&mut self) -> Option<Trial> {
        self.trial.take()
    }

    /// Returns whether the new version was chosen.
    pub fn is_new(&self) -> bool {
        self.choice.new
    }

    /// Changes the choice from the new version to the old one, and returns whether it was the new
    /// one. A caller that has received nothing yet need not be affected by a version that can't
    /// serve it.
    pub fn fall_back(&mut self) -> bool {
        std::mem::replace(&mut self.choice.new, false)
    }
}
