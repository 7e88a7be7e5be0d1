//! `explain`: reconstructs the history of a request, a runner or a catalogue from logs.

use {
    crate::{
        error::{Error, Exit, Result},
        explain::{
            history::{History, Subject},
            line::Logs,
        },
        options::ExplainOptions,
        output::{self, Format},
    },
    std::{
        fs,
        io::{self, Read},
        path::Path,
    },
};

/// File name that denotes standard input.
const STDIN: &str = "-";

/// Reads the logs and prints the history of the subject.
pub fn run(options: &ExplainOptions) -> Result<Exit> {
    let mut logs = Logs::default();
    for path in &options.logs {
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        logs.add(&name, &read(path)?);
    }
    if logs.unreadable > 0 {
        eprintln!("lines that are no log lines, passed over: {}", logs.unreadable);
    }
    let history = Subject::find(&logs, &options.id).map(|subject| History::new(&logs, &subject));
    let Some(history) = history else {
        eprintln!(
            "no line names `{}`: give the logs of all instances; a request's next attempt has another id",
            options.id
        );
        return Ok(Exit::Failed);
    };
    output::print(&match options.format {
        Format::Human => history.to_string(),
        Format::Json => output::json::to_json(&history),
    });
    Ok(Exit::Done)
}

/// Reads a log file. Invalid UTF-8 is replaced, so that the other lines of the file can still be parsed.
fn read(path: &Path) -> Result<String> {
    let mut bytes = Vec::new();
    let result = match path.as_os_str() == STDIN {
        true => io::stdin().read_to_end(&mut bytes).map(|_| ()),
        false => fs::read(path).map(|all| bytes = all),
    };
    result.map_err(|source| Error::Read { path: path.into(), source })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
