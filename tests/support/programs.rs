//! Paths of the programs that the tests start.

use {
    bilberryfront_harness::fleet::Programs,
    std::{path::Path, process::Command},
};

/// Returns the program under test and the stand-in that is built beside the tests.
pub(crate) fn programs() -> Programs {
    Programs { standin, product }
}

fn product() -> Command {
    Command::new(env!("CARGO_BIN_EXE_bilberryfront"))
}

fn standin() -> Command {
    let product = Path::new(env!("CARGO_BIN_EXE_bilberryfront"));
    let folder = product.parent().expect("the path of the built program has a parent folder");
    Command::new(folder.join("examples").join("standin"))
}
