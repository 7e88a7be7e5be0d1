//! `relay`: runs an entry instance on the users' platform.

use {
    crate::{
        error::{Exit, Result},
        logs, settings,
    },
    bilberryfront_platform::{Http, RowCodec, RowStore},
    bilberryfront_relay::node,
    std::path::Path,
};

/// Runs an instance until it has drained.
pub fn run(path: &Path) -> Result<Exit> {
    let settings = settings::relay::load(path)?;
    logs::start_stdout(&settings.log.level);
    let store = settings.store;
    node::run(&settings, Http, RowCodec, move || RowStore::new(store))?;
    Ok(Exit::Done)
}
