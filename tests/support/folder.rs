//! Folders for tests, and runs of the program in them.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

/// Result of a run of the program.
pub(crate) struct Outcome {
    pub(crate) code: Option<i32>,
    pub(crate) stdout: String,
    /// Standard error, with each run of white space and frame characters replaced by one space.
    pub(crate) stderr: String,
}

/// Returns a new, empty folder for one test.
pub(crate) fn folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// Runs the program and waits until it exits.
pub(crate) fn run(folder: &Path, args: &[&str]) -> Outcome {
    let output = Command::new(env!("CARGO_BIN_EXE_bilberryfront"))
        .args(args)
        .current_dir(folder)
        .env("NO_COLOR", "1")
        .env_remove("BILBERRYFRONT_NODE")
        .env_remove("BILBERRYFRONT_KEY_FILE")
        .output()
        .unwrap();
    Outcome {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: normalize(&String::from_utf8(output.stderr).unwrap()),
    }
}

fn normalize(text: &str) -> String {
    text.replace(['│', '×'], " ").split_whitespace().collect::<Vec<_>>().join(" ")
}
