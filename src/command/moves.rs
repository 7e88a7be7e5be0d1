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

/// Time between two looks at a move that is waited for.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// How long a node may give no answer while a move is waited for.
const RETRY_WINDOW: Duration = Duration::from_secs(30);

/// Does one of `start`, `status`, `list` and `undo`.
pub async fn run(session: &Session, command: &MoveCommand) -> Result<Exit> {
    match command {
        MoveCommand::Start { request, wait } => start(session, request, *wait).await,
        MoveCommand::Status(entry) => {
            show(session, &session.node.move_of(entry).await?);
            Ok(Exit::Done)
        }
        MoveCommand::List => {
            print(&session.output.moves(&session.node.moves().await?));
            Ok(Exit::Done)
        }
        MoveCommand::Undo(entry) => {
            session.node.undo_move(entry).await?;
            show(session, &session.node.move_of(entry).await?);
            Ok(Exit::Done)
        }
    }
}

async fn start(session: &Session, request: &MoveRequest, wait: bool) -> Result<Exit> {
    let accepted = session.node.start_move(request).await?;
    if !wait {
        show(session, &session.node.move_of(&request.entry).await?);
        return Ok(Exit::Done);
    }
    let report = follow(session, &request.entry, &accepted.id).await?;
    show(session, &report);
    match report.state {
        MoveState::Adopted => Ok(Exit::Done),
        _ => Ok(Exit::Failed),
    }
}

/// Follows a move to its end, and tells people each change.
///
/// A settled move isn't at its end: a late verdict still takes it back.
async fn follow(session: &Session, entry: &str, id: &str) -> Result<MoveReport> {
    let mut answered = Instant::now();
    let mut printed = String::new();
    loop {
        match session.node.move_of(entry).await {
            Ok(report) if report.id != id => return Err(replaced(&report)),
            Ok(report) if report.state.is_final() => return Ok(report),
            Ok(report) => {
                answered = Instant::now();
                let line = human::moves::progress(&report);
                if line != printed {
                    session.tell(&line);
                    printed = line;
                }
            }
            // A node that is busy or starts anew answers again soon; the move goes on without it.
            Err(error) if is_lasting(&error) || answered.elapsed() > RETRY_WINDOW => {
                return Err(error);
            }
            Err(_) => {}
        }
        sleep(LOOK_EVERY).await;
    }
}

fn is_lasting(error: &Error) -> bool {
    error.exit() != Exit::Unreachable
}

fn replaced(report: &MoveReport) -> Error {
    Error::Refused {
        title: "Another move came after it".into(),
        detail: format!("move {} to {} is the entry's latest", report.id, report.to),
    }
}

fn show(session: &Session, report: &MoveReport) {
    print(&session.output.move_of(report));
}
