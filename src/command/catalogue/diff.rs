//! `catalogue diff`: compares a file with the catalogue in force.

use {
    crate::{
        catalogue::{self, diff::diff},
        command::Session,
        error::{Exit, Result},
        output::print,
    },
    std::path::Path,
};

/// Prints all fields that differ; the exit code is [`Exit::Failed`] if there are any.
pub async fn run(session: &Session, file: &Path) -> Result<Exit> {
    let doc = catalogue::load(file)?;
    let current = session.node.catalogue().await?;
    let differences = diff(&current.catalogue, &doc);
    print(&session.output.differences(current.revision, &differences));
    match differences.is_empty() {
        true => Ok(Exit::Done),
        false => Ok(Exit::Failed),
    }
}
