//! `catalogue apply`: replaces the catalogue in force with a file.

use {
    crate::{
        catalogue::{self, diff::diff, store::CatalogueRevision},
        command::Session,
        error::{Error, Exit, Result},
        operator::message::Proposal,
        options::ApplyOptions,
        output::print,
    },
    compact_str::format_compact,
};

/// Prints the changes and applies the file, provided that the revision in force does not change meanwhile.
pub async fn run(session: &Session, options: &ApplyOptions) -> Result<Exit> {
    let doc = catalogue::load(&options.file)?;
    let current = session.node.catalogue().await?;
    check_revision(&current, options)?;
    let differences = diff(&current.catalogue, &doc);
    if differences.is_empty() {
        print(&session.output.unchanged(current.revision, "the file says the same"));
        return Ok(Exit::Done);
    }
    session.print_progress(&session.output.differences(current.revision, &differences));
    if options.dry_run {
        print(&session.output.unchanged(current.revision, "this was a dry run"));
        return Ok(Exit::Done);
    }
    let proposal = Proposal {
        expect: current.revision,
        apply: format_compact!("{:032x}", rand::random::<u128>()),
        comment: options.comment.clone(),
        catalogue: doc,
    };
    let accepted = session.node.propose(&proposal).await?;
    print(&session.output.accepted(accepted));
    Ok(Exit::Done)
}

/// Rejects a file that is based on another revision: applying it would revert the changes made since.
fn check_revision(current: &CatalogueRevision, options: &ApplyOptions) -> Result<()> {
    match options.expect {
        Some(expect) if expect != current.revision => Err(Error::Conflict {
            detail: format!("revision {} is in force and not {expect}", current.revision),
        }),
        _ => Ok(()),
    }
}
