//! Catalogue of the entries to serve and the accounts that may use them, as written by operators.

pub mod check;

pub use check::{Fault, FaultKind, Step, is_digest};

use {
    crate::id::{AccountKey, EntryKey, Revision},
    compact_str::CompactString,
    rustc_hash::{FxHashMap, FxHashSet},
    serde::{Deserialize, Serialize},
    slotmap::SlotMap,
};

/// Catalogue document as written by operators, with unresolved names.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogDoc {
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Served entries.
    pub entries: Vec<Entry>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name.
    pub name: CompactString,
    /// Lower-case hex SHA-256 digests of the account's keys; two during a key rotation.
    pub keys: Vec<CompactString>,
}

/// A served model or service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Unique name: the `model` of completions, and a path segment for services.
    pub name: CompactString,
    /// Team responsible for the entry.
    pub owner: CompactString,
    /// Urgency of its requests.
    pub class: Class,
    /// Kind of its runners.
    pub kind: Kind,
    /// Versions that may be served at all.
    pub versions: Vec<CompactString>,
    /// Version that receives all traffic while no move is in progress; one of `versions`.
    pub version: CompactString,
    /// Limits of single requests and of all requests together.
    #[serde(default)]
    pub limits: Limits,
    /// Accounts that may use the entry, each with its own limit.
    pub accounts: Vec<Access>,
}

/// Urgency of an entry's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person waits for the response.
    Interactive,
    /// The response may be delayed.
    Batch,
}

/// Kind of the runners of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines, served at `/v1/completions`.
    Engine,
    /// Plain services, served at `/v1/services/ENTRY/PATH`.
    Service,
}

/// Limits of an entry. Concurrency limits apply to all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of tokens per answer.
    pub max_tokens: u32,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u32,
    /// Maximum number of concurrent requests.
    pub concurrent: u32,
    /// Maximum number of requests queued at one node.
    pub queue: u32,
    /// Maximum wait for a runner in milliseconds, after which the request is rejected.
    pub wait_ms: u32,
    /// Maximum wait for a runner's first token in milliseconds, before another runner is tried.
    pub first_ms: u32,
    /// Maximum pause between tokens in milliseconds, before the generation moves to another runner; also the
    /// maximum wait for another runner to confirm a response that states no end.
    pub stall_ms: u32,
    /// Maximum duration of a call of a plain service in milliseconds, over all runners tried.
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
    /// Maximum number of concurrent requests of the account at all nodes together.
    pub concurrent: u32,
}

/// Catalogue with its names resolved to keys that are stable across revisions.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Revision of the catalogue.
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
    /// Returns the next catalogue, made from `doc`; existing names keep their keys.
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

    /// Returns the entry with this name.
    pub fn entry(&self, name: &str) -> Option<EntryKey> {
        self.entry_names.get(name).copied()
    }

    /// Returns the account with this name.
    pub fn account(&self, name: &str) -> Option<AccountKey> {
        self.account_names.get(name).copied()
    }

    /// Returns the account that has a key with this digest.
    pub fn account_by_key(&self, digest: &str) -> Option<AccountKey> {
        self.digests.get(digest).copied()
    }

    /// Returns the account's access to the entry, if any.
    pub fn access(&self, entry: EntryKey, account: AccountKey) -> Option<&Access> {
        let name = &self.accounts.get(account)?.name;
        self.entries.get(entry)?.accounts.iter().find(|a| a.account == *name)
    }

    /// Returns the catalogue as a document.
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
