//! `catalogue history`: shows the changes of the catalogue with their authors, times and reasons.

use crate::{
    command::Session,
    error::{Exit, Result},
    output::print,
};

/// Prints the latest changes.
pub async fn run(session: &Session) -> Result<Exit> {
    let entries = session.node.history().await?;
    print(&session.output.history(&entries));
    Ok(Exit::Done)
}
