//! `catalogue get`: shows the catalogue in force.

use crate::{
    command::Session,
    error::{Exit, Result},
    output::print,
};

/// Prints the catalogue in force.
pub async fn run(session: &Session) -> Result<Exit> {
    let current = session.node.catalogue().await?;
    print(&session.output.catalogue(&current));
    Ok(Exit::Done)
}
