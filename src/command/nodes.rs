//! `nodes`: lists nodes.

use {
    super::Session,
    crate::{
        error::{Exit, Result},
        output::print,
    },
};

/// Prints all nodes that are known to the contacted node.
pub async fn run(session: &Session) -> Result<Exit> {
    let nodes = session.node.nodes().await?;
    print(&session.output.nodes(&nodes));
    Ok(Exit::Done)
}
