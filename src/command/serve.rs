//! `serve`: runs a node.

use {
    crate::{
        error::{Exit, Result},
        logs, node, settings,
    },
    std::path::Path,
};

/// Runs a node until it has drained.
pub fn run(path: &Path) -> Result<Exit> {
    let settings = settings::load(path)?;
    logs::start(&settings.log);
    node::run(&settings)?;
    Ok(Exit::Done)
}
