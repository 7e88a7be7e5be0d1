//! Runners for calls.

use {
    super::job::Job,
    crate::{
        control::Control,
        traffic::{chooser::Chooser, lease::Lease},
    },
    bilberryfront_decide::{
        action::{Reason, Rejection},
        event::Purpose,
        id::{RunnerKey, Ticket},
    },
};

/// Runner that a call needs.
pub(super) struct Wanted {
    /// Ticket of the call's first attempt.
    pub(super) ticket: Ticket,
    /// Purpose of the attempt.
    pub(super) purpose: Purpose,
    /// Runner that failed before.
    pub(super) avoid: Option<RunnerKey>,
}

impl Wanted {
    /// Returns the runner for a first attempt.
    pub(super) fn first(control: &Control) -> Wanted {
        Wanted { ticket: control.next_ticket(), purpose: Purpose::First, avoid: None }
    }
}

/// Acquires a runner; one of the old version if a move has none of the new version.
pub(super) async fn acquire(
    control: &Control,
    job: &Job,
    wanted: &mut Wanted,
    chooser: &mut Chooser,
) -> Result<Lease, Rejection> {
    loop {
        let pin = chooser.version().cloned();
        let &mut Wanted { ticket, purpose, avoid } = wanted;
        match control.request_runner(job.runner_request(ticket, purpose, avoid, pin)).await {
            Ok(grant) => return Ok(Lease::new(control.clone(), grant, chooser.trial())),
            Err(rejection) if rejection.reason == Reason::NoRunner && chooser.fall_back() => {
                *wanted = Wanted { avoid, ..Wanted::first(control) };
            }
            Err(rejection) => return Err(rejection),
        }
    }
}
