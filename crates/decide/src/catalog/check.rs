//! Validation of a catalogue beyond what its types guarantee.

use {
    super::{CatalogDoc, Entry, Limits},
    compact_str::CompactString,
    rustc_hash::FxHashSet,
    std::fmt,
};

/// Maximum number of accounts; each node holds all of them in memory.
pub const MAX_ACCOUNTS: usize = 10_000;
/// Maximum number of entries.
pub const MAX_ENTRIES: usize = 1_000;
/// Maximum number of versions per entry: the old one, the new one and a few earlier ones.
pub const MAX_VERSIONS: usize = 16;
/// Maximum number of keys per account: one, or two during a key rotation.
pub const MAX_KEYS: usize = 2;
/// Maximum length of a name in bytes.
pub const MAX_NAME: usize = 64;
/// Length of a SHA-256 digest in hex digits.
const DIGEST_LEN: usize = 64;

/// One step of the path from the root of a document to a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A field of an object.
    Field(&'static str),
    /// An element of an array.
    Item(usize),
}

/// A fault and the path of the invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path from the root of the document.
    pub path: Vec<Step>,
    /// Kind of the fault.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    /// Writes path and fault, such as ``entries[0].owner: the owner is empty``.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, step) in self.path.iter().enumerate() {
            match step {
                Step::Field(name) if i == 0 => f.write_str(name)?,
                Step::Field(name) => write!(f, ".{name}")?,
                Step::Item(index) => write!(f, "[{index}]")?,
            }
        }
        write!(f, ": {}", self.kind)
    }
}

/// Kind of fault of a value in a catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum FaultKind {
    /// Two elements of a list have the same name, or two accounts the same key.
    #[error("`{0}` is there twice")]
    Duplicate(CompactString),
    /// A name can't be used as a URL path segment.
    #[error("`{0}` is not a name")]
    InvalidName(CompactString),
    /// The entry has no owner.
    #[error("the owner is empty")]
    EmptyOwner,
    /// The current version isn't among those that may be served.
    #[error("version `{0}` is not among `versions`")]
    UnknownVersion(CompactString),
    /// An entry grants access to an account that doesn't exist.
    #[error("no account is named `{0}`")]
    UnknownAccount(CompactString),
    /// A key is not a lower-case hex SHA-256 digest.
    #[error("not a SHA-256 digest")]
    InvalidDigest,
    /// A limit of 0 would reject every request.
    #[error("the limit is 0")]
    ZeroLimit,
    /// A list that needs at least one element is empty.
    #[error("the list is empty")]
    EmptyList,
    /// A list has more elements than the system is designed for.
    #[error("{found} elements, more than {max}")]
    TooMany {
        /// Length of the list.
        found: usize,
        /// Maximum length of the list.
        max: usize,
    },
}

impl FaultKind {
    /// Returns advice for the operator on how to correct the fault.
    pub fn help(&self) -> String {
        match self {
            FaultKind::Duplicate(_) => "give each its own name, or remove one".into(),
            FaultKind::InvalidName(_) => {
                format!("use up to {MAX_NAME} letters, digits, `-`, `_` and `.`, and no other sign")
            }
            FaultKind::EmptyOwner => "write the team that answers for the entry".into(),
            FaultKind::UnknownVersion(_) => "add it to `versions`, or choose one of them".into(),
            FaultKind::UnknownAccount(_) => {
                "add it to `accounts` of the catalogue, or correct it".into()
            }
            FaultKind::InvalidDigest => {
                "write 64 lower-case hex digits, as printed by: printf %s \"$KEY\" | sha256sum"
                    .into()
            }
            FaultKind::ZeroLimit => {
                "write a number above 0, or leave it out for the default".into()
            }
            FaultKind::EmptyList => "write at least one element".into(),
            FaultKind::TooMany { max, .. } => format!("keep at most {max}"),
        }
    }
}

/// Returns whether `text` is a valid name, which can be used as a URL path segment.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=MAX_NAME).contains(&text.len()) && text.bytes().all(allowed)
}

/// Returns whether `text` is a lower-case hex SHA-256 digest.
pub fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_LEN && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}

impl CatalogDoc {
    /// Returns all faults in document order.
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = FaultCollector::default();
        self.check_accounts(&mut faults);
        self.check_entries(&mut faults);
        faults.found
    }

    fn check_accounts(&self, faults: &mut FaultCollector) {
        let field = Step::Field("accounts");
        // An empty list usually means a truncated or wrong file, and would stop all traffic at
        // once.
        faults.require_non_empty(&[field], self.accounts.len());
        faults.require_at_most(&[field], self.accounts.len(), MAX_ACCOUNTS);
        let mut names = FxHashSet::default();
        let mut digests = FxHashSet::default();
        for (i, account) in self.accounts.iter().enumerate() {
            let at = [field, Step::Item(i)];
            faults.check_name(&[at[0], at[1], Step::Field("name")], &account.name, &mut names);
            let keys = [at[0], at[1], Step::Field("keys")];
            faults.require_non_empty(&keys, account.keys.len());
            faults.require_at_most(&keys, account.keys.len(), MAX_KEYS);
            for (k, digest) in account.keys.iter().enumerate() {
                faults.check_digest(
                    &[keys[0], keys[1], keys[2], Step::Item(k)],
                    digest,
                    &mut digests,
                );
            }
        }
    }

    fn check_entries(&self, faults: &mut FaultCollector) {
        let field = Step::Field("entries");
        faults.require_non_empty(&[field], self.entries.len());
        faults.require_at_most(&[field], self.entries.len(), MAX_ENTRIES);
        let accounts: FxHashSet<&str> = self.accounts.iter().map(|a| a.name.as_str()).collect();
        let mut names = FxHashSet::default();
        for (i, entry) in self.entries.iter().enumerate() {
            let at = [field, Step::Item(i)];
            faults.check_name(&[at[0], at[1], Step::Field("name")], &entry.name, &mut names);
            if entry.owner.trim().is_empty() {
                faults.add(&[at[0], at[1], Step::Field("owner")], FaultKind::EmptyOwner);
            }
            check_versions(faults, at, entry);
            check_limits(faults, at, &entry.limits);
            check_access(faults, at, entry, &accounts);
        }
    }
}

fn check_versions(faults: &mut FaultCollector, at: [Step; 2], entry: &Entry) {
    let field = [at[0], at[1], Step::Field("versions")];
    faults.require_non_empty(&field, entry.versions.len());
    faults.require_at_most(&field, entry.versions.len(), MAX_VERSIONS);
    let mut names = FxHashSet::default();
    for (i, version) in entry.versions.iter().enumerate() {
        faults.check_name(&[field[0], field[1], field[2], Step::Item(i)], version, &mut names);
    }
    if !entry.versions.contains(&entry.version) {
        let path = [at[0], at[1], Step::Field("version")];
        faults.add(&path, FaultKind::UnknownVersion(entry.version.clone()));
    }
}

fn check_limits(faults: &mut FaultCollector, at: [Step; 2], limits: &Limits) {
    // Destructured without `..`, so that a new limit can't be omitted from the check.
    let Limits { max_tokens, body_bytes, concurrent, queue, wait_ms, first_ms, stall_ms, call_ms } =
        *limits;
    let values = [
        ("max_tokens", max_tokens),
        ("body_bytes", body_bytes),
        ("concurrent", concurrent),
        ("queue", queue),
        ("wait_ms", wait_ms),
        ("first_ms", first_ms),
        ("stall_ms", stall_ms),
        ("call_ms", call_ms),
    ];
    for (name, _) in values.iter().filter(|(_, value)| *value == 0) {
        faults.add(&[at[0], at[1], Step::Field("limits"), Step::Field(name)], FaultKind::ZeroLimit);
    }
}

fn check_access(
    faults: &mut FaultCollector,
    at: [Step; 2],
    entry: &Entry,
    accounts: &FxHashSet<&str>,
) {
    let mut names = FxHashSet::default();
    for (i, access) in entry.accounts.iter().enumerate() {
        let path = |field| [at[0], at[1], Step::Field("accounts"), Step::Item(i), field];
        let (account, concurrent) = (Step::Field("account"), Step::Field("concurrent"));
        if !accounts.contains(access.account.as_str()) {
            faults.add(&path(account), FaultKind::UnknownAccount(access.account.clone()));
        }
        if !names.insert(access.account.as_str()) {
            faults.add(&path(account), FaultKind::Duplicate(access.account.clone()));
        }
        if access.concurrent == 0 {
            faults.add(&path(concurrent), FaultKind::ZeroLimit);
        }
    }
}

#[derive(Default)]
struct FaultCollector {
    found: Vec<Fault>,
}

impl FaultCollector {
    fn add(&mut self, path: &[Step], kind: FaultKind) {
        self.found.push(Fault { path: path.to_vec(), kind });
    }

    fn require_non_empty(&mut self, path: &[Step], found: usize) {
        if found == 0 {
            self.add(path, FaultKind::EmptyList);
        }
    }

    fn require_at_most(&mut self, path: &[Step], found: usize, max: usize) {
        if found > max {
            self.add(path, FaultKind::TooMany { found, max });
        }
    }

    fn check_name<'a>(&mut self, path: &[Step], name: &'a str, known: &mut FxHashSet<&'a str>) {
        if !is_name(name) {
            self.add(path, FaultKind::InvalidName(name.into()));
        }
        if !known.insert(name) {
            self.add(path, FaultKind::Duplicate(name.into()));
        }
    }

    /// Checks a key's digest. If two accounts had the same digest, the requests of one would be
    /// attributed to the other.
    fn check_digest<'a>(&mut self, path: &[Step], digest: &'a str, known: &mut FxHashSet<&'a str>) {
        if !is_digest(digest) {
            self.add(path, FaultKind::InvalidDigest);
        }
        if !known.insert(digest) {
            self.add(path, FaultKind::Duplicate(digest.into()));
        }
    }
}
