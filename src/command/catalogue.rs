//! `catalogue`: shows and changes the catalogue in force, through a node.

pub mod apply;
pub mod diff;
pub mod get;
pub mod history;

use {
    super::Session,
    crate::{
        error::{Exit, Result},
        options::CatalogueCommand,
    },
};

/// Runs `get`, `diff`, `apply` or `history`.
pub async fn run(session: &Session, command: &CatalogueCommand) -> Result<Exit> {
    match command {
        CatalogueCommand::Get => get::run(session).await,
        CatalogueCommand::Diff { file } => diff::run(session, file).await,
        CatalogueCommand::Apply(options) => apply::run(session, options).await,
        CatalogueCommand::History => history::run(session).await,
    }
}
