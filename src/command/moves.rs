//! `move`: starts, shows and undoes version moves, through a node.

use {
    super::Session,
    crate::{
        error::{Error, Exit, Result},
        operator::message::{MoveReport, MoveRequest, MoveState},
        options::MoveCommand,
        output::{human, print},
    },
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// Interval between two polls of a move that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time for which a node may not respond while a move is waited for.
const RETRY_WINDOW: Duration = Duration::from_secs(30);

/// Runs `start`, `status`, `list` or `undo`.
pub async fn run(session: &Session, command: &MoveCommand) -> Result<Exit> {
    match command {
        MoveCommand::Start { request, wait } => start(session, request, *wait).await,
        MoveCommand::Status(entry) => {
            print_report(session, &session.node.move_of(entry).await?);
            Ok(Exit::Done)
        }
        MoveCommand::List => {
            print(&session.output.moves(&session.node.moves().await?));
            Ok(Exit::Done)
        }
        MoveCommand::Undo(entry) => {
            session.node.undo_move(entry).await?;
            print_report(session, &session.node.move_of(entry).await?);
            Ok(Exit::Done)
        }
    }
}

async fn start(session: &Session, request: &MoveRequest, wait: bool) -> Result<Exit> {
    let accepted = session.node.start_move(request).await?;
    if !wait {
        print_report(session, &session.node.move_of(&request.entry).await?);
        return Ok(Exit::Done);
    }
    let report = wait_for_end(session, &request.entry, &accepted.id).await?;
    print_report(session, &report);
    match report.state {
        MoveState::Adopted => Ok(Exit::Done),
        _ => Ok(Exit::Failed),
    }
}

/// Waits for the end of a move and prints each change of its progress.
///
/// A settled move has not ended: a late verdict still rolls it back.
async fn wait_for_end(session: &Session, entry: &str, id: &str) -> Result<MoveReport> {
    let mut last_response = Instant::now();
    let mut last_line = String::new();
    loop {
        match session.node.move_of(entry).await {
            Ok(report) if report.id != id => return Err(superseded(&report)),
            Ok(report) if report.state.is_final() => return Ok(report),
            Ok(report) => {
                last_response = Instant::now();
                let line = human::moves::progress(&report);
                if line != last_line {
                    session.print_progress(&line);
                    last_line = line;
                }
            }
            // A busy or restarting node responds again soon; the move continues meanwhile.
            Err(error) if is_permanent(&error) || last_response.elapsed() > RETRY_WINDOW => {
                return Err(error);
            }
            Err(_) => {}
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn is_permanent(error: &Error) -> bool {
    error.exit() != Exit::Unreachable
}

fn superseded(report: &MoveReport) -> Error {
    Error::Refused {
        title: "The move was superseded by another one".into(),
        detail: format!("the latest move of the entry is {} to {}", report.id, report.to),
    }
}

fn print_report(session: &Session, report: &MoveReport) {
    print(&session.output.move_of(report));
}
