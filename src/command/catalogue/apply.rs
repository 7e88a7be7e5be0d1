//! `catalogue apply`: puts a file in force.

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

/// Shows what the file changes, and applies it on condition that nothing changes meanwhile.
pub async fn run(session: &Session, options: &ApplyOptions) -> Result<Exit> {
    let doc = catalogue::load(&options.file)?;
    let now = session.node.catalogue().await?;
    check_revision(&now, options)?;
    let differences = diff(&now.catalogue, &doc);
    if differences.is_empty() {
        print(&session.output.unchanged(now.revision, "the file says the same"));
        return Ok(Exit::Done);
    }
    session.tell(&session.output.differences(now.revision, &differences));
    if options.dry_run {
        print(&session.output.unchanged(now.revision, "this was a dry run"));
        return Ok(Exit::Done);
    }
    let proposal = Proposal {
        expect: now.revision,
        apply: format_compact!("{:032x}", rand::random::<u128>()),
        comment: options.comment.clone(),
        catalogue: doc,
    };
    let accepted = session.node.propose(&proposal).await?;
    print(&session.output.accepted(accepted));
    Ok(Exit::Done)
}

/// The file was made from an older revision: applying it would undo the changes since.
fn check_revision(now: &CatalogueRevision, options: &ApplyOptions) -> Result<()> {
    match options.expect {
        Some(expect) if expect != now.revision => Err(Error::Conflict {
            detail: format!("revision {} is in force and not {expect}", now.revision),
        }),
        _ => Ok(()),
    }
}
