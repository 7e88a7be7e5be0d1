//! The catalogue: what operators say is to be served.

pub mod check;

pub use check::{Fault, FaultKind, Step, is_digest};

use {
    crate::id::{AccountKey, EntryKey, Revision},
    compact_str::CompactString,
    rustc_hash::{FxHashMap, FxHashSet},
    serde::{Deserialize, Serialize},
    slotmap::SlotMap,
};

/// The catalogue as operators write it, before its names are resolved to keys.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogDoc {
    /// Who may call.
    pub accounts: Vec<Account>,
    /// What is served.
    pub entries: Vec<Entry>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name.
    pub name: CompactString,
    /// Lower-case hex SHA-256 digests of the account's keys; two while a key is being changed.
    pub keys: Vec<CompactString>,
}

/// One thing served.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Unique name, `model` in completions and a path segment for services.
    pub name: CompactString,
    /// Team that answers for it.
    pub owner: CompactString,
    /// How urgent its requests are.
    pub class: Class,
    /// What its runners are.
    pub kind: Kind,
    /// Versions that may be served.
    pub versions: Vec<CompactString>,
    /// The version that gets all traffic while no move is under way; one of `versions`.
    pub version: CompactString,
    /// Bounds on what one request and all requests may use.
    #[serde(default)]
    pub limits: Limits,
    /// Accounts that may use the entry, each with its own bound.
    pub accounts: Vec<Access>,
}

/// How urgent an entry's requests are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person waits for it.
    Interactive,
    /// May be late.
    Batch,
}

/// What runs an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines, reached by `/v1/completions`.
    Engine,
    /// Plain services, reached by `/v1/services/ENTRY/PATH`.
    Service,
}

/// Bounds of an entry. Counts are for the whole system, not a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Most tokens of one answer.
    pub max_tokens: u32,
    /// Most bytes of one request's body.
    pub body_bytes: u32,
    /// Most requests running at once.
    pub concurrent: u32,
    /// Most requests waiting at one node.
    pub queue: u32,
    /// Longest wait for a runner, in milliseconds; past it the request is refused.
    pub wait_ms: u32,
    /// Longest wait for the first token of a runner, in milliseconds, before another is asked.
    pub first_ms: u32,
    /// Longest silence of a running generation, in milliseconds, before it moves to another runner.
    pub stall_ms: u32,
    /// Longest call of a plain service, in milliseconds, whatever number of runners is tried.
    pub call_ms: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_tokens: 4_096,
            body_bytes: 1 << 20,
            concurrent: 1_000,
            queue: 100,
            wait_ms: 5_000,
            first_ms: 3_000,
            stall_ms: 2_000,
            call_ms: 10_000,
        }
    }
}

/// An account's access to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Access {
    /// Name of the account.
    pub account: CompactString,
    /// Most requests of the account running at once in the whole system.
    pub concurrent: u32,
}

/// A catalogue in force: its names resolved to keys that stay the same over revisions.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Its number.
    pub revision: Revision,
    /// Entries.
    pub entries: SlotMap<EntryKey, Entry>,
    /// Accounts.
    pub accounts: SlotMap<AccountKey, Account>,
    entry_names: FxHashMap<CompactString, EntryKey>,
    account_names: FxHashMap<CompactString, AccountKey>,
    digests: FxHashMap<CompactString, AccountKey>,
}

impl Catalog {
    /// Makes the next catalogue from `doc`; names that stay keep their keys.
    pub fn updated(&self, revision: Revision, doc: &CatalogDoc) -> Catalog {
        let mut next = Catalog { revision, ..self.clone() };
        let entries: FxHashSet<_> = doc.entries.iter().map(|e| &e.name).collect();
        let accounts: FxHashSet<_> = doc.accounts.iter().map(|a| &a.name).collect();
        next.entries.retain(|_, e| entries.contains(&e.name));
        next.accounts.retain(|_, a| accounts.contains(&a.name));
        for entry in &doc.entries {
            match self.entry(&entry.name) {
                Some(key) => next.entries[key] = entry.clone(),
                None => _ = next.entries.insert(entry.clone()),
            }
        }
        for account in &doc.accounts {
            match self.account(&account.name) {
                Some(key) => next.accounts[key] = account.clone(),
                None => _ = next.accounts.insert(account.clone()),
            }
        }
        next.index();
        next
    }

    /// Finds an entry by name.
    pub fn entry(&self, name: &str) -> Option<EntryKey> {
        self.entry_names.get(name).copied()
    }

    /// Finds an account by name.
    pub fn account(&self, name: &str) -> Option<AccountKey> {
        self.account_names.get(name).copied()
    }

    /// Finds the account that has a key with this digest.
    pub fn account_by_key(&self, digest: &str) -> Option<AccountKey> {
        self.digests.get(digest).copied()
    }

    /// The account's access to the entry, if it has any.
    pub fn access(&self, entry: EntryKey, account: AccountKey) -> Option<&Access> {
        let name = &self.accounts.get(account)?.name;
        self.entries.get(entry)?.accounts.iter().find(|a| a.account == *name)
    }

    /// The catalogue in the form that operators write.
    pub fn doc(&self) -> CatalogDoc {
        CatalogDoc {
            accounts: self.accounts.values().cloned().collect(),
            entries: self.entries.values().cloned().collect(),
        }
    }

    fn index(&mut self) {
        self.entry_names = self.entries.iter().map(|(k, e)| (e.name.clone(), k)).collect();
        self.account_names = self.accounts.iter().map(|(k, a)| (a.name.clone(), k)).collect();
        self.digests = self
            .accounts
            .iter()
            .flat_map(|(k, a)| a.keys.iter().map(move |digest| (digest.clone(), k)))
            .collect();
    }
}
