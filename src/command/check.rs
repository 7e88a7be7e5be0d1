//! `check`: validates settings and catalogue files without a node.

use {
    crate::{
        catalogue,
        error::{Exit, Result},
        options::FileKind,
        settings::{self, locate::Document},
    },
    std::path::{Path, PathBuf},
};

/// Validates all files and prints all faults of each.
pub fn run(kind: Option<FileKind>, files: &[PathBuf]) -> Exit {
    let mut exit = Exit::Done;
    for path in files {
        match check(kind, path) {
            Ok(summary) => println!("{}: {summary}", path.display()),
            Err(error) => {
                exit = error.exit();
                eprintln!("{:?}", miette::Report::new(error));
            }
        }
    }
    exit
}

fn check(kind: Option<FileKind>, path: &Path) -> Result<String> {
    let kind = match kind {
        Some(kind) => kind,
        None => detect_kind(&Document::read(path)?),
    };
    match kind {
        FileKind::Relay => {
            let settings = settings::relay::load(path)?;
            Ok(format!("good settings of entry instance `{}`", settings.name))
        }
        FileKind::Settings => {
            let settings = settings::load(path)?;
            Ok(format!("good settings of node `{}`", settings.name))
        }
        FileKind::Catalogue => {
            let catalog = catalogue::load(path)?;
            let (entries, accounts) = (catalog.entries.len(), catalog.accounts.len());
            Ok(format!("good catalogue: {entries} entries, {accounts} accounts"))
        }
    }
}

fn detect_kind(doc: &Document) -> FileKind {
    if doc.has_any(&["accounts", "entries"]) {
        FileKind::Catalogue
    } else if doc.has_any(&["store", "bounds"]) {
        FileKind::Relay
    } else {
        FileKind::Settings
    }
}
