//! Checks of the invalid files of `tests/data`.

use {
    crate::{data::data, folder::run},
    std::{fs, path::Path},
};

/// Checks that `check` reports for each invalid file of a kind what the `line`, `message` and
/// `help` comments in that file state; returns the number of files.
pub(crate) fn check_invalid_files(folder: &Path, kind: &str) -> usize {
    let files = data(kind);
    let invalid = files.iter().filter(|(name, _)| name != "good.jsonc");
    invalid
        .map(|(name, text)| {
            fs::write(folder.join(name), text).unwrap();
            let outcome = run(folder, &["check", "--kind", kind, name]);
            let stderr = &outcome.stderr;
            assert_eq!(outcome.code, Some(1), "{name}: {stderr}");
            assert_eq!(outcome.stdout, "", "{name}");
            let line = format!("[{name}:{}:", expected(text, "line"));
            assert!(stderr.contains(&line), "{name}, {line}: {stderr}");
            let message = expected(text, "message");
            assert!(stderr.contains(message), "{name}, {message}: {stderr}");
            let help = expected(text, "help");
            assert!(stderr.contains(help), "{name}, {help}: {stderr}");
        })
        .count()
}

fn expected<'a>(text: &'a str, field: &str) -> &'a str {
    let prefix = format!("// {field}: ");
    text.lines().find_map(|line| line.strip_prefix(&prefix)).unwrap()
}
