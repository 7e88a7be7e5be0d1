//! Execution of the subcommands.

pub mod admission;
pub mod catalogue;
pub mod check;
pub mod completions;
pub mod explain;
pub mod moves;
pub mod nodes;
pub mod relay;
pub mod serve;

use {
    crate::{
        cli,
        error::{Error, Exit, Result},
        operator::client::NodeClient,
        options::{NodeOptions, Options},
        output::{Format, Output},
    },
    std::{fs, path::Path, process::ExitCode},
    tokio::runtime::{Builder, Runtime},
};

/// Parses the command line, runs the command and prints its error, if any.
pub fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match run(Options::from_matches(&matches)) {
        Ok(exit) => exit.into(),
        Err(error) => {
            let exit = error.exit();
            eprintln!("{:?}", miette::Report::new(error));
            exit.into()
        }
    }
}

/// Runs a command.
pub fn run(options: Options) -> Result<Exit> {
    match options {
        Options::Serve { settings } => serve::run(&settings),
        Options::Relay { settings } => relay::run(&settings),
        Options::Check { kind, files } => Ok(check::run(kind, &files)),
        Options::Explain(options) => explain::run(&options),
        Options::Admission(options) => admission::run(&options),
        Options::Completions(shell) => Ok(completions::run(shell)),
        Options::Catalogue { node, command } => {
            let session = Session::new(node)?;
            runtime()?.block_on(catalogue::run(&session, &command))
        }
        Options::Move { node, command } => {
            let session = Session::new(node)?;
            runtime()?.block_on(moves::run(&session, &command))
        }
        Options::Nodes { node } => {
            let session = Session::new(node)?;
            runtime()?.block_on(nodes::run(&session))
        }
    }
}

/// Client and output of a command that sends requests to a node.
pub struct Session {
    /// Client of the node.
    pub node: NodeClient,
    /// Formatter of the results.
    pub output: Box<dyn Output>,
    format: Format,
}

impl Session {
    fn new(options: NodeOptions) -> Result<Session> {
        let key = read_key(&options.key_file)?;
        Ok(Session {
            node: NodeClient::new(options.url, key),
            output: options.format.output(),
            format: options.format,
        })
    }

    /// Prints a progress message. JSON output omits these: it is a single document with the result.
    pub fn print_progress(&self, text: &str) {
        if self.format == Format::Human {
            crate::output::print(text);
        }
    }
}

fn read_key(path: &Path) -> Result<String> {
    let text =
        fs::read_to_string(path).map_err(|source| Error::Read { path: path.into(), source })?;
    let key = text.trim();
    match !key.is_empty() && key.bytes().all(|b| b.is_ascii_graphic()) {
        true => Ok(key.into()),
        false => Err(Error::Key { path: path.into() }),
    }
}

fn runtime() -> Result<Runtime> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Error::System { attempt: "start a runtime", source })
}
